"""Divides the memory limit of a process among what it holds for its peers. No I/O.

The limit covers a fixed part (the program and its tables when full), a cost for each connection, and the
bytes that peers make the director hold: input of clients, responses of servers, lines of the feed. What is
left for the latter is divided into fixed shares, so that no kind of peer can use up the room of another.
Compare Envoy's overload manager, which has one budget for the process, and HAProxy's fixed buffers.
"""

from __future__ import annotations

from dataclasses import dataclass

BYTES_PER_MB = 1_000_000

TARGET_FRACTION = 0.8
"""Fraction of the memory limit that the process may reach; the allocator needs the rest."""

PROGRAM_BYTES = 30_000_000
"""Memory of a process without peers."""

TABLES_BYTES = 12_000_000
"""Memory of all tables that are bounded in number, when full (`docs/bounds.md`)."""

CONNECTION_BYTES = 10_000
"""Memory of a client's connection with its open request, without their payloads, and of its server's."""

CONNECTIONS_FRACTION = 0.35
"""Fraction of the memory beyond the fixed part that connections of clients may take."""

RESPONSES_FRACTION = 0.4
CLIENT_INPUT_FRACTION = 0.3
FEED_FRACTION = 0.1
"""Fractions of what is left then; the remainder allows for copies that are being made."""

FEED_EXPANSION = 8
"""Memory that a line of the feed takes once it is parsed, as a multiple of its length."""

ROOMY_TARGET_BYTES = 50_000_000
"""From this target on, each connection to a server may hold a large read."""

LARGE_READ_BYTES = 64 * 1024
SMALL_READ_BYTES = 16 * 1024
MIN_SHARE_BYTES = 500_000
MIN_CONNECTIONS = 85  # a third of 256 descriptors
MAX_RESPONSES_BYTES = 64_000_000
MAX_LINE_BYTES = 4 * 1024 * 1024
MIN_LINE_BYTES = 1024 * 1024  # a whole list of 3,200 servers has some 0.75 MB


@dataclass(frozen=True, slots=True)
class MemoryPlan:
    """What a process may hold.

    Attributes:
        target_bytes: The memory that the process may reach.
        client_connections: The most connections of clients.
        client_input_bytes: Input of clients: heads, bodies, requests that wait or are open.
        response_bytes: Responses of servers, until their clients have taken them.
        feed_line_bytes: The longest line of the feed.
        server_read_bytes: The size of one read from a server, which may wait on each connection.
    """

    target_bytes: int
    client_connections: int
    client_input_bytes: int
    response_bytes: int
    feed_line_bytes: int
    server_read_bytes: int


def plan_memory(limit_mb: float, max_descriptors: int, process_count: int = 1) -> MemoryPlan:
    """Divides a memory limit.

    Args:
        limit_mb: The limit of all processes together.
        max_descriptors: File descriptors of one process; clients use at most a third of them.
        process_count: How many processes share the limit.
    """
    target_bytes = int(limit_mb * BYTES_PER_MB * TARGET_FRACTION / process_count)
    variable_bytes = max(0, target_bytes - PROGRAM_BYTES - TABLES_BYTES)
    affordable = int(variable_bytes * CONNECTIONS_FRACTION / CONNECTION_BYTES)
    connections = min(max_descriptors // 3, max(MIN_CONNECTIONS, affordable))
    spare_bytes = max(0, variable_bytes - connections * CONNECTION_BYTES)
    line_bytes = int(spare_bytes * FEED_FRACTION / FEED_EXPANSION)
    return MemoryPlan(
        target_bytes=target_bytes,
        client_connections=connections,
        client_input_bytes=max(MIN_SHARE_BYTES, int(spare_bytes * CLIENT_INPUT_FRACTION)),
        response_bytes=min(MAX_RESPONSES_BYTES, max(MIN_SHARE_BYTES, int(spare_bytes * RESPONSES_FRACTION))),
        feed_line_bytes=min(MAX_LINE_BYTES, max(MIN_LINE_BYTES, line_bytes)),
        server_read_bytes=LARGE_READ_BYTES if target_bytes >= ROOMY_TARGET_BYTES else SMALL_READ_BYTES,
    )
