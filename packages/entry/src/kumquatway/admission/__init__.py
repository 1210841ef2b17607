"""
kumquatway.admission.

Limits, fair queueing and refusals of requests at an entry.
"""

from kumquatway.admission._admission import Admission, Limits
from kumquatway.admission._ask import Ask, Kind
from kumquatway.admission._capacity import Capacity
from kumquatway.admission._grants import DemandItem, Demands, Grants
from kumquatway.admission._split import Split
from kumquatway.admission._ticket import Ticket, Waiting

__all__ = [
    "Admission",
    "Ask",
    "Capacity",
    "DemandItem",
    "Demands",
    "Grants",
    "Kind",
    "Limits",
    "Split",
    "Ticket",
    "Waiting",
]
