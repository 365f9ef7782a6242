"""Names of the control socket's queries."""

from __future__ import annotations

from enum import StrEnum


class Query(StrEnum):
    """The queries of the control protocol; a director rejects the queries of parts that are not enabled."""

    LIST_QUERIES = "views"
    MEMBERS = "members"
    LEASES = "leases"
    STORE = "store"
    HAND_ON = "hand_on"
    PURGE = "purge"
    PURGE_STATUS = "order"
