"""HTTP helpers shared by the entry and the agent."""

from kumquatway_core.http._bearer import bearer_digest
from kumquatway_core.http._client import open_client, open_transport
from kumquatway_core.http._limits import ENCODED_EXTENSION, LIMIT_EXTENSION
from kumquatway_core.http._responses import events_response, metrics_response
from kumquatway_core.http._serve import serve

__all__ = [
    "ENCODED_EXTENSION",
    "LIMIT_EXTENSION",
    "bearer_digest",
    "events_response",
    "metrics_response",
    "open_client",
    "open_transport",
    "serve",
]
