"""
The exceptions of kumquatway.

One root, so that a caller of the packages can catch everything of theirs.
"""


class KumquatwayError(Exception):
    """Root of every exception raised by the packages of kumquatway."""


class ConfigurationError(KumquatwayError):
    """A settings file or a text is refused; the message names each place."""


class PlatformError(KumquatwayError):
    """The platform's table, object store or VM list could not serve a call."""


class PlatformUnavailable(PlatformError):
    """The call did not reach the store: nothing was written."""


class ResponseLost(PlatformError):
    """The call may have taken effect; its answer did not arrive."""


class Conflict(PlatformError):
    """
    A compare-and-swap found another revision than the expected one.

    :param found: the revision found for each expectation that failed.
    """

    def __init__(self, message: str, found: tuple = ()):
        super().__init__(message)
        self.found = found


class WireError(KumquatwayError):
    """A message between processes could not be decoded or is not allowed."""


class ProcessError(KumquatwayError):
    """A supervised child failed more often than its limit allows."""
