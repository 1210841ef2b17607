"""
kumquatway_core.events.

What a process did, in an order that holds over all processes.
"""

from kumquatway_core.events._clock import Clock, milliseconds
from kumquatway_core.events._codec import decode, encode
from kumquatway_core.events._journal import PAGE, Journal, Page, Record, matches
from kumquatway_core.events._kinds import (
    KINDS,
    ChainsChanged,
    ConfigurationChanged,
    DependencyChanged,
    DrainChanged,
    Event,
    LayersOrdered,
    LeaseChanged,
    MembershipChanged,
    ProcessStarted,
    ProcessStopped,
    Refused,
    RequestEnded,
    RequestStarted,
    RouteChosen,
    StageFailed,
    StreamRecovered,
    kind_of,
)
from kumquatway_core.events._lines import Lines

__all__ = [
    "KINDS",
    "PAGE",
    "Clock",
    "ChainsChanged",
    "ConfigurationChanged",
    "DependencyChanged",
    "DrainChanged",
    "Event",
    "Journal",
    "LayersOrdered",
    "LeaseChanged",
    "Lines",
    "MembershipChanged",
    "Page",
    "ProcessStarted",
    "ProcessStopped",
    "Record",
    "Refused",
    "RequestEnded",
    "RequestStarted",
    "RouteChosen",
    "StageFailed",
    "StreamRecovered",
    "decode",
    "encode",
    "kind_of",
    "matches",
    "milliseconds",
]
