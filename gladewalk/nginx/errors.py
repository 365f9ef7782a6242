"""Exceptions of the importer of nginx's configuration and of its router."""

from __future__ import annotations

from ..errors import GladewalkError


class NginxConfigError(GladewalkError):
    """A configuration cannot be imported; each line of the text is `file:line: directive: why`."""


class RoutingTableError(GladewalkError, ValueError):
    """A value of a directive or of a table row is invalid; the text gives the reason."""


class DirectiveValueError(RoutingTableError):
    """A value has a form that its directive does not accept."""


class RegexError(RoutingTableError):
    """A pattern does not compile; the text gives the reason and the position."""


class ServerNameError(RoutingTableError):
    """A text is not a valid server name."""


class UnknownVariableError(RoutingTableError):
    """A string has a `$` without a name, or a variable that is neither supported nor defined by the file."""


class DuplicateLocationError(RoutingTableError):
    """Two locations of the same level have the same pattern."""


class RewriteStepError(RoutingTableError):
    """A table row names a step or condition operator that is not supported."""


class MalformedRequestError(GladewalkError, ValueError):
    """A request is malformed and gets a 400 response before any routing; the text gives the reason."""


class RequestTargetError(MalformedRequestError):
    """A request target is malformed; nginx responds to it with 400."""


class HostError(MalformedRequestError):
    """A Host field does not contain a valid host."""


class MatchLimitError(GladewalkError):
    """A regex match reached its limit and was aborted, so the request cannot be routed."""
