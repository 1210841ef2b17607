"""
kumquatway.streams.

The requests to models that are in flight at this entry.
"""

from kumquatway.streams._in_flight import InFlight
from kumquatway.streams._session import Ask, Routes, Session
from kumquatway.streams._streams import Streams

__all__ = ["Ask", "InFlight", "Routes", "Session", "Streams"]
