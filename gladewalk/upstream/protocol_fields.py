"""The caches' protocol over HTTP/1.1 and HTTP/2: request fields, response remarks and load reports."""

from __future__ import annotations

from functools import lru_cache

from .. import interface as api
from ..config.policy_settings import OUTCOME_DETAILS, read_load_report
from ..core.exchange import Attempt, AttemptResult
from ..errors import GladewalkError

AUTHORITY = "app.svc"
HEALTH_CHECK_PATH = "/load"
MAX_HEAD_BYTES = 16 * 1024  # of a response's head, together with interim responses before it
MAX_FIELDS = 100  # of a response's head and trailer, together with interim responses before it
DETAIL_BY_REMARK = dict(
    zip(
        (
            b"mem", b"parent", b"origin", b"shared", b"old",
            b"denied", b"unreached", b"absent", b"crowded", b"behind",
        ),
        OUTCOME_DETAILS[1:],
        strict=True,
    )
)  # fmt: skip


class InvalidResponseError(GladewalkError):
    """An invalid response, or one that does not belong to the request that was sent."""


def request_path(attempt: Attempt) -> str:
    """Returns the path of an attempt's request."""
    request = attempt.open_request.request
    return f"/o/{request.class_name}/{request.object_name}/{request.part}"


def request_fields(attempt: Attempt, now_ms: float) -> list[tuple[str, str]]:
    """Returns the fields of an attempt's request, without method, path and authority."""
    request, decision = attempt.open_request.request, attempt.decision
    remaining_ms = max(1, round(attempt.deadline_ms - now_ms))
    fields = [("X-Ticket", request.trace_id), ("X-Max-Ms", str(remaining_ms))]
    if request.idempotency_key:
        fields.append(("X-Nonce", request.idempotency_key))
    if isinstance(decision, api.Fetch):
        if decision.source != decision.server:  # if the source is the server itself, there is no fill
            fields.append(("Miss-To", decision.source))
        if decision.cache_rank:
            fields.append(("Store-As", str(decision.cache_rank)))
        if decision.max_age_ms > 0:
            fields.append(("No-Older-Than", str(max(1, int(decision.max_age_ms)))))
        directives = [
            directive
            for directive, is_set in (
                ("ride", decision.join_fill),
                ("have-only", decision.cached_only),
                ("through", not decision.parent_caches),
                ("update", decision.revalidate),
            )
            if is_set
        ]
        if directives:
            fields.append(("Handling", "+".join(directives)))
    if request.etag is not None:
        fields.append(("Have", request.etag))
    if request.method == "PUT" or request.body:
        fields.append(("Content-Length", str(len(request.body))))
    return fields


def read_content_length(headers: dict[bytes, bytes]) -> int | None:
    """Returns a body's announced length in bytes, None if it is missing or invalid."""
    length = headers.get(b"content-length", b"")
    return int(length) if length.isdigit() and len(length) < 10 else None


def read_number(text: bytes | None) -> float | None:
    """Returns a field's value as a number, None if it is missing or not a number."""
    try:
        return float(text) if text else None
    except ValueError:
        return None


@lru_cache(1024)  # a cache sends the same report in a few hundred responses before it makes a new one
def parse_load_report(text: bytes | None) -> dict[str, float] | None:
    """Returns a load report such as `inflight:7;util:0.61` by the decision module's field names.

    Invalid values are left out.
    """
    if not text:
        return None
    load = {}
    for field in text.decode("latin-1").split(";"):
        name, _, value = field.partition(":")
        number = read_number(value.encode())
        if number is not None:
            load[name.strip()] = number
    return read_load_report(load)


def read_result(status: int, headers: dict[bytes, bytes]) -> AttemptResult:
    """Returns the result of an attempt with a complete response; the names in `headers` are lower case."""
    is_shed = headers.get(b"x-shed") == b"1"
    if status in (200, 304):
        outcome = api.Status.OK
    elif status == 404:
        outcome = api.Status.MISS
    elif is_shed and status in (503, 504):
        outcome = api.Status.REJECTED if status == 503 else api.Status.NOT_SENT
    else:
        outcome = api.Status.ERROR
    detail = DETAIL_BY_REMARK.get(headers.get(b"x-remark", b""), api.OutcomeDetail.NONE)
    source_wait_ms = read_number(headers.get(b"fill-wait"))
    return AttemptResult(outcome, detail, source_wait_ms, parse_load_report(headers.get(b"x-meter")))
