"""Exceptions of the importer and the router of nginx's routing."""

from __future__ import annotations

from ..errors import GladewalkError


class NginxConfigError(GladewalkError):
    """A configuration cannot be imported; one `file:line: directive: why` on each line of the text."""


class RoutingTableError(GladewalkError, ValueError):
    """A value of a directive, or of a table's row, cannot be used; the text says why."""


class DirectiveValueError(RoutingTableError):
    """A text is not a value of the form that its directive takes."""


class RegexError(RoutingTableError):
    """A pattern does not compile; the text says why and where."""


class ServerNameError(RoutingTableError):
    """A name cannot be a server's."""


class UnknownVariableError(RoutingTableError):
    """A variable cannot be known here."""


class DuplicateLocationError(RoutingTableError):
    """Two locations beside one another have the same pattern."""


class RewriteStepError(RoutingTableError):
    """A step of the rewrite module is not one that can be executed here."""


class MalformedRequestError(GladewalkError, ValueError):
    """A request is answered 400 before any routing; the text says why."""


class RequestTargetError(MalformedRequestError):
    """A request target that nginx answers 400."""


class HostError(MalformedRequestError):
    """A Host field that names no host."""


class MatchLimitError(GladewalkError):
    """A regex match was abandoned at its limit: the request cannot be routed."""
