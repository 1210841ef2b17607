"""
kumquatway_core.mesh.

Messages between processes over pyzmq: in order, once, across broken connections.
"""

from kumquatway_core.mesh._beats import AckDelay, beat_interval, silence_bound
from kumquatway_core.mesh._inbox import Inbox, Source
from kumquatway_core.mesh._mesh import Mesh
from kumquatway_core.mesh._peer import Parcel, Peer, PeerState
from kumquatway_core.mesh._traffic import Traffic

__all__ = [
    "AckDelay",
    "Inbox",
    "Mesh",
    "Parcel",
    "Peer",
    "PeerState",
    "Source",
    "Traffic",
    "beat_interval",
    "silence_bound",
]
