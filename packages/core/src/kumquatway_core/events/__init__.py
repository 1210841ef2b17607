"""
kumquatway_core.events.

Events of processes, ordered across all processes by a hybrid logical clock.
"""

from kumquatway_core.events._clock import HybridLogicalClock, physical_milliseconds
from kumquatway_core.events._codec import decode_page, encode_page
from kumquatway_core.events._journal import (
    DEFAULT_PAGE_SIZE,
    Journal,
    Page,
    Record,
    matches,
)
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
from kumquatway_core.events._log_line_buffer import LogLineBuffer

__all__ = [
    "KINDS",
    "DEFAULT_PAGE_SIZE",
    "HybridLogicalClock",
    "ChainsChanged",
    "ConfigurationChanged",
    "DependencyChanged",
    "DrainChanged",
    "Event",
    "Journal",
    "LayersOrdered",
    "LeaseChanged",
    "LogLineBuffer",
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
    "decode_page",
    "encode_page",
    "kind_of",
    "matches",
    "physical_milliseconds",
]
