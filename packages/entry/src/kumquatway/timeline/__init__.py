"""
kumquatway.timeline.

The events of many processes in one order, as a table and as lanes.
"""

from kumquatway.timeline._lanes import draw
from kumquatway.timeline._merge import merge
from kumquatway.timeline._table import table

__all__ = ["draw", "merge", "table"]
