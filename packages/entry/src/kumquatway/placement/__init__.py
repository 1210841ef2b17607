"""
kumquatway.placement.

Which VM holds which layers, and the order in which to get there.
"""

from kumquatway.placement._baselines import equal_split, greedy_swarm
from kumquatway.placement._capacity import BATCH_STREAMS, KV_RESERVE, rate
from kumquatway.placement._flow import bound, flow_shares
from kumquatway.placement._placer import Placer
from kumquatway.placement._plan import moved_layers, plan
from kumquatway.placement._render import PlanView, plan_view, render_plan
from kumquatway.placement._steps import apply_moves, steps
from kumquatway.placement._types import (
    Action,
    Fleet,
    Holdings,
    Limits,
    Link,
    Links,
    Move,
    Node,
    Plan,
    Schedule,
    Share,
    Wave,
)
from kumquatway.placement._vms import read_vms

__all__ = [
    "BATCH_STREAMS",
    "KV_RESERVE",
    "Action",
    "Fleet",
    "Holdings",
    "Limits",
    "Link",
    "Links",
    "Move",
    "Node",
    "Placer",
    "Plan",
    "PlanView",
    "Schedule",
    "Share",
    "Wave",
    "apply_moves",
    "bound",
    "equal_split",
    "flow_shares",
    "greedy_swarm",
    "moved_layers",
    "plan",
    "plan_view",
    "rate",
    "read_vms",
    "render_plan",
    "steps",
]
