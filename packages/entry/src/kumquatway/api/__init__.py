"""
kumquatway.api.

What callers see: models as chat and completions, and plain services.
"""

from kumquatway.api._app import caller_app
from kumquatway.api._context import Context
from kumquatway.api._kept import KeptConnections
from kumquatway.api._requests import Requests

__all__ = ["Context", "KeptConnections", "Requests", "caller_app"]
