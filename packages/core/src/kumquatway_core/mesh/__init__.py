"""
kumquatway_core.mesh.

Delivers messages between processes, in order and once, also across broken
connections.
"""

from kumquatway_core.mesh._heartbeats import (
    AckDelayEstimator,
    heartbeat_interval,
    silence_timeout,
)
from kumquatway_core.mesh._inbox import Inbox, Sender
from kumquatway_core.mesh._mesh import Mesh
from kumquatway_core.mesh._peer import OutgoingMessage, Peer, PeerState
from kumquatway_core.mesh._traffic import Traffic

__all__ = [
    "AckDelayEstimator",
    "Inbox",
    "Mesh",
    "OutgoingMessage",
    "Peer",
    "PeerState",
    "Sender",
    "Traffic",
    "heartbeat_interval",
    "silence_timeout",
]
