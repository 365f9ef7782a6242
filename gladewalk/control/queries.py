"""Names of the queries that a director may support."""

from __future__ import annotations

from enum import StrEnum


class Query(StrEnum):
    """What a director can be asked for; the queries of a part that is off are not supported."""

    LIST_QUERIES = "views"
    MEMBERS = "members"
    LEASES = "leases"
    STORE = "store"
    HAND_ON = "hand_on"
    PURGE = "purge"
    PURGE_STATUS = "order"
