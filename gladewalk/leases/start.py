"""Reads the `[leases]` table and builds a director's lease service from it."""

from __future__ import annotations

import random
from collections.abc import Mapping
from dataclasses import dataclass

from ..config.options import Options
from ..config.platform import ConfigError, read_address
from ..core.clocks import InstantConverter, SteadyClock
from ..core.counters import Counters
from ..core.deadlines import Deadlines
from ..core.outcome_counters import Outcome
from ..members.authenticator import MessageAuthenticator, load_key_ring
from ..store.persistence import PersistenceService
from .candidate import LeaseCandidate
from .configuration import LeaseConfig
from .fenced_operations import FencedOperationQueue
from .fleet_report import FleetReport
from .holder_tasks import PURGE_TASK, REPORT_TASK, LeaseHolderTasks
from .outputs import GRANT_SPACE, PURGE_SPACE
from .purge_requests import PurgeRequests
from .transport import Address, LeaseClock, LeaseService
from .voter import Voter, decode_grants

REPORTED_OUTCOMES = {"served": Outcome.COMPLETED, "refused": Outcome.REJECTED, "failed": Outcome.FAILED}
RENEWAL_INTERVAL_LEASES = 0.3  # this and the next two: durations as multiples of the lease
ROUND_TIMEOUT_LEASES = 0.25
MAX_RETRY_DELAY_LEASES = 0.2
STALE_REPORT_INTERVALS = 5.0  # report intervals without a director's metrics until it is listed as missing
MAX_NAME_CHARACTERS = 64
RUN_NUMBER_BITS = 48  # of the random numbers from which a run counts; far below a message's 63 bits
RESOURCE_PREFIX = "@"  # of the names of fenced resources; no director's name begins with it


@dataclass(slots=True, frozen=True)
class LeaseSettings:
    """The `[leases]` table with its addresses parsed."""

    config: LeaseConfig
    listen: Address
    directors: dict[str, Address]
    resources: dict[str, tuple[Address, ...]]  # by task

    def resource_names(self) -> dict[str, tuple[str, ...]]:
        """Returns the names of each task's fenced resources."""
        return {
            task: tuple(f"{RESOURCE_PREFIX}{task}/{index}" for index in range(len(addresses)))
            for task, addresses in self.resources.items()
        }

    def addresses(self) -> dict[str, Address]:
        """Returns the address of every director and fenced resource by name."""
        addresses = dict(self.directors)
        for task, names in self.resource_names().items():
            addresses.update(zip(names, self.resources[task], strict=True))
        return addresses


class _AddressReader:
    """Parses the addresses of the table; raises `ConfigError` with the file and the invalid key."""

    def __init__(self, path: str) -> None:
        self.path = path

    def error(self, key: str, reason: object) -> ConfigError:
        return ConfigError(f"{self.path}: leases.{key}: {reason}")

    def address(self, key: str, text: str) -> Address:
        try:
            return read_address(text)
        except ConfigError as error:
            raise self.error(key, error) from error

    def addresses(self, key: str, texts: Mapping[str, str]) -> dict[str, Address]:
        return {name: self.address(key, text) for name, text in texts.items()}


def read_lease_settings(options: Options, name: str) -> LeaseSettings:
    """Returns the checked `[leases]` table of director `name`; raises `ConfigError` with the invalid key."""
    table = options.leases
    assert table is not None
    reader = _AddressReader(options.path)
    config = LeaseConfig(
        table.lease_ms,
        table.max_clock_drift,
        table.stop_margin_ms,
        table.grant_margin_ms,
        renewal_interval_ms=table.lease_ms * RENEWAL_INTERVAL_LEASES,
        round_timeout_ms=table.lease_ms * ROUND_TIMEOUT_LEASES,
        max_retry_delay_ms=table.lease_ms * MAX_RETRY_DELAY_LEASES,
    )
    if (problem := config.validation_error()) is not None:
        raise ConfigError(f"{options.path}: leases.{problem}")
    listen = reader.address("listen", table.listen)
    directors = reader.addresses("peers", table.peers)
    hubs = tuple(reader.address("hubs", text) for text in table.hubs)
    collector = (reader.address("report_to", table.report_to),) if table.report_to else ()
    custom = reader.addresses("duties", table.duties)
    _check_names(reader, name, directors)
    resources: dict[str, tuple[Address, ...]] = {task: (address,) for task, address in custom.items()}
    for task, addresses in ((PURGE_TASK, hubs), (REPORT_TASK, collector)):
        if addresses and task in resources:
            raise reader.error("duties", f"{task} is a duty of the director's own: see hubs and report_to")
        if addresses:
            resources[task] = addresses
    if not resources:
        raise reader.error("duties", "there is none, and neither hubs nor report_to")
    _check_store(options)
    return LeaseSettings(config, listen, directors, resources)


def _check_names(reader: _AddressReader, name: str, directors: Mapping[str, Address]) -> None:
    if name not in directors:
        raise reader.error("peers", f"this director ({name}) is not among them")
    for director in directors:
        if not 0 < len(director) <= MAX_NAME_CHARACTERS or director.startswith(RESOURCE_PREFIX):
            raise reader.error("peers", "a name has 1 to 64 characters and does not begin with @")


def _check_store(options: Options) -> None:
    if options.store is None:
        raise ConfigError(f"{options.path}: store.folder: is missing, and [leases] keeps its promises there")
    if options.store.policy == "none":
        raise ConfigError(f"{options.path}: store.policy: 'none' would forget what [leases] promised")


def read_request_counts(counters: Mapping[str, int]) -> dict[str, int]:
    """Returns a director's counts of final answers by outcome, over all classes, and of attempts."""
    counts = dict.fromkeys(REPORTED_OUTCOMES, 0)
    for name, count in counters.items():
        for outcome, end in REPORTED_OUTCOMES.items():
            if name.startswith("downstream_requests.") and name.endswith(f".{end}"):
                counts[outcome] += count
    counts["attempts"] = counters.get("attempts.written", 0)
    return counts


def build_lease_service(
    name: str,
    options: Options,
    persistence: PersistenceService,
    steady_clock: SteadyClock,
    instants: InstantConverter,
    deadlines: Deadlines,
    counters: Counters,
) -> tuple[LeaseService, Address]:
    """Builds the service that `[leases]` configures; `LeaseService.listen` at the returned address starts it.

    Raises `ConfigError` for a table or a key file that cannot be used.
    """
    table, settings = options.leases, read_lease_settings(options, name)
    assert table is not None
    key_ring = load_key_ring(options.resolve_path(table.keys))
    authenticator = MessageAuthenticator(key_ring, table.max_clock_skew_ms)
    clock = LeaseClock(table.clock_rate)
    rng = random.Random(random.SystemRandom().getrandbits(64))
    directors, resources = tuple(sorted(settings.directors)), settings.resource_names()
    now_ms = clock()
    voter = Voter(name, settings.config, now_ms, decode_grants(persistence.log.items(GRANT_SPACE)))
    last_round_number, last_sync_number, last_operation_number = (
        rng.getrandbits(RUN_NUMBER_BITS) for _ in range(3)
    )
    candidate = LeaseCandidate(
        name, directors, tuple(sorted(resources)), settings.config, rng, now_ms, last_round_number
    )
    purges = report = None
    if PURGE_TASK in resources and table.hubs:
        stored = persistence.log.items(PURGE_SPACE)
        purges = PurgeRequests(name, directors, resources[PURGE_TASK], rng, stored, last_sync_number)
    if REPORT_TASK in resources and table.report_to:
        report = FleetReport(
            name,
            directors,
            incarnation=int(instants.current_instant().unix_ms),  # higher at every later start
            stale_after_ms=STALE_REPORT_INTERVALS * table.report_interval_ms,
            read_counts=lambda: read_request_counts(counters),
        )
    operations = FencedOperationQueue(name, resources, last_operation_number)
    holder_tasks = LeaseHolderTasks(
        candidate, operations, purges, report, table.fence_interval_ms, table.report_interval_ms, now_ms
    )
    service = LeaseService(
        voter,
        candidate,
        holder_tasks,
        settings.addresses(),
        authenticator,
        persistence.writer,
        clock,
        steady_clock,
        instants,
        deadlines,
        counters,
    )
    return service, settings.listen
