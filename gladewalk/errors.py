"""Base classes of the exceptions that gladewalk itself defines."""


class GladewalkError(Exception):
    """A failure that gladewalk detects; the message says what is wrong and where."""


class InvalidSettingsError(GladewalkError, ValueError):
    """Settings whose values contradict one another or are out of range."""
