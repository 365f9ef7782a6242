"""Base class of every exception that gladewalk raises for a reason of its own."""


class GladewalkError(Exception):
    """A failure that gladewalk itself detects; the message says what is wrong and where."""


class InvalidSettingsError(GladewalkError, ValueError):
    """Settings whose values contradict one another or lie outside their range."""
