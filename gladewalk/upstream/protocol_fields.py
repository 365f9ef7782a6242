"""The caches' protocol in words that both transports share: fields of a request, remarks, load reports."""

from __future__ import annotations

from functools import lru_cache

from .. import interface as api
from ..config.policy_settings import OUTCOME_DETAILS, read_load_report
from ..core.exchange import Attempt, AttemptResult

AUTHORITY = "app.svc"
PROBE_PATH = "/load"
HEAD_MOST = 16 * 1024  # bytes before an answer's body, interim answers among them
OBJECT_MOST = 240_000  # bytes of an object: an answer that claims more is none
REMARKS = dict(
    zip(
        (
            b"mem", b"parent", b"origin", b"shared", b"old",
            b"denied", b"unreached", b"absent", b"crowded", b"behind",
        ),
        OUTCOME_DETAILS[1:],
        strict=True,
    )
)  # fmt: skip


class Spoilt(Exception):
    """What came cannot be a good answer, or does not belong to the one that was asked for."""


def request_path(attempt: Attempt) -> str:
    ask = attempt.open_request.request
    return f"/o/{ask.class_name}/{ask.object_name}/{ask.part}"


def request_fields(attempt: Attempt, now_ms: float) -> list[tuple[str, str]]:
    """The fields of an attempt's request beside method, path and host."""
    ask, order = attempt.open_request.request, attempt.order
    fields = [("X-Ticket", ask.trace_id), ("X-Max-Ms", str(max(1, round(attempt.deadline_ms - now_ms))))]
    if ask.idempotency_key:
        fields.append(("X-Nonce", ask.idempotency_key))
    if isinstance(order, api.Fetch):
        if order.source != order.server:  # the server itself as the source means no fill
            fields.append(("Miss-To", order.source))
        if order.cache_rank:
            fields.append(("Store-As", str(order.cache_rank)))
        if order.max_age_ms > 0:
            fields.append(("No-Older-Than", str(max(1, int(order.max_age_ms)))))
        words = [
            word
            for word, on in (
                ("ride", order.join_fill),
                ("have-only", order.cached_only),
                ("through", not order.parent_caches),
                ("update", order.revalidate),
            )
            if on
        ]
        if words:
            fields.append(("Handling", "+".join(words)))
    if ask.etag is not None:
        fields.append(("Have", ask.etag))
    if ask.method == "PUT" or ask.body:
        fields.append(("Content-Length", str(len(ask.body))))
    return fields


def read_length(headers: dict[bytes, bytes]) -> int | None:
    """The body's length as told; None where none is, or none that can be used."""
    length = headers.get(b"content-length", b"")
    return int(length) if length.isdigit() and len(length) < 10 else None


def read_number(text: bytes | None) -> float | None:
    try:
        return float(text) if text else None
    except ValueError:
        return None


@lru_cache(1024)  # a cache repeats its report until it makes a new one, every few hundred answers
def read_meter(text: bytes | None) -> dict[str, float] | None:
    """`inflight:7;util:0.61` under the module's names; a value that is no number is left out."""
    if not text:
        return None
    load = {}
    for field in text.decode("latin-1").split(";"):
        name, _, value = field.partition(":")
        number = read_number(value.encode())
        if number is not None:
            load[name.strip()] = number
    return read_load_report(load)


def read_end(status: int, headers: dict[bytes, bytes]) -> AttemptResult:
    """What a whole answer of a cache says of its attempt."""
    shed = headers.get(b"x-shed") == b"1"
    if status in (200, 304):
        outcome = api.Status.OK
    elif status == 404:
        outcome = api.Status.MISS
    elif shed and status in (503, 504):
        outcome = api.Status.REJECTED if status == 503 else api.Status.NOT_SENT
    else:
        outcome = api.Status.ERROR
    note = REMARKS.get(headers.get(b"x-remark", b""), api.OutcomeDetail.NONE)
    waited_ms, load = read_number(headers.get(b"fill-wait")), read_meter(headers.get(b"x-meter"))
    return AttemptResult(outcome, note, waited_ms, load)
