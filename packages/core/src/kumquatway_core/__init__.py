"""
Code shared by the gateway, the entry and the agent.
"""

from kumquatway_core import exceptions
from kumquatway_core._incarnation import new_incarnation
from kumquatway_core._supervise import Supervisor
from kumquatway_core._verdict import (
    MAY_HAVE_RUN,
    NOT_RUN,
    RAN,
    VERDICT_HEADER,
    Reason,
    Verdict,
    may_have_run,
    not_run,
)

__all__ = [
    "VERDICT_HEADER",
    "MAY_HAVE_RUN",
    "NOT_RUN",
    "RAN",
    "Reason",
    "Supervisor",
    "Verdict",
    "exceptions",
    "may_have_run",
    "new_incarnation",
    "not_run",
]
