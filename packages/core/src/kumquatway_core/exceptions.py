"""
Exceptions of the kumquatway packages.

They share one base class, so that a caller can catch all of them.
"""


class KumquatwayError(Exception):
    """Base class of every exception raised by the kumquatway packages."""


class ConfigurationError(KumquatwayError):
    """A settings file or a configuration text is invalid; the message lists where."""


class PlatformError(KumquatwayError):
    """The platform's table, object store or VM list could not serve a call."""


class PlatformUnavailable(PlatformError):
    """The store did not carry out the call: nothing was written."""


class ResponseLost(PlatformError):
    """The call may have taken effect, but its response did not arrive."""


class UnreadableRow(PlatformError):
    """The store served a row that cannot be decoded; other rows may be sound."""


class Conflict(PlatformError):
    """
    A compare-and-swap found a different revision than expected.

    :param message: what was compared.
    :param found: actual revision for each expectation that failed.
    """

    def __init__(self, message: str, found: tuple = ()):
        super().__init__(message)
        self.found = found


class WireError(KumquatwayError):
    """A message between processes cannot be decoded or is not allowed."""


class InvalidData(KumquatwayError):
    """Data of another process cannot be decoded, or has fields that are not allowed."""


class ProcessError(KumquatwayError):
    """A supervised child failed more often than its limit allows."""
