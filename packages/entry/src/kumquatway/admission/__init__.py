"""
kumquatway.admission.

Limits, fair queueing and refusals of requests at an entry.
"""

from kumquatway.admission._admission import Admission, Limits
from kumquatway.admission._ask import Ask, Kind
from kumquatway.admission._capacity import Capacity
from kumquatway.admission._entry import EntryAdmission
from kumquatway.admission._exchange import Exchange
from kumquatway.admission._queueing import Queueing
from kumquatway.admission._split import Split
from kumquatway.admission._ticket import Ticket, Waiting
from kumquatway_core.wire import AccountDemand, Demands, Grants

__all__ = [
    "Admission",
    "Ask",
    "Capacity",
    "AccountDemand",
    "Demands",
    "EntryAdmission",
    "Exchange",
    "Grants",
    "Kind",
    "Limits",
    "Queueing",
    "Split",
    "Ticket",
    "Waiting",
]
