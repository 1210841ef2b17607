"""
Types.

What the planner reads and what it answers.
"""

import enum
from collections.abc import Mapping
from dataclasses import dataclass, field

from kumquatway_core.wire import Holding

GIB = 1024**3

Holdings = Mapping[str, tuple[Holding, ...]]


@dataclass(frozen=True, kw_only=True, slots=True)
class Link:
    """
    What joins two VMs.

    :param latency: one way, seconds.
    :param bandwidth: bytes per second.
    """

    latency: float
    bandwidth: float


@dataclass(frozen=True, kw_only=True, slots=True)
class Links:
    """
    The links of a fleet.

    :param within: the port of each VM inside its data centre.
    :param across: all traffic of a pair of data centres that `pairs` lacks.
    :param pairs: by the sorted names of two data centres.
    """

    within: Link = Link(latency=0.0001, bandwidth=1.25e9)
    across: Link = Link(latency=0.001, bandwidth=1.25e9)
    pairs: Mapping[tuple[str, str], Link] = field(default_factory=dict)

    def between(self, one: str, other: str) -> Link:
        """
        Look up the link of two data centres.

        :param one: name of a data centre.
        :param other: name of a data centre, may be the same.
        :return: the link.
        """
        if one == other:
            return self.within
        key = (one, other) if one < other else (other, one)
        return self.pairs.get(key, self.across)


@dataclass(frozen=True, kw_only=True, slots=True)
class Node:
    """
    One VM as the planner sees it.

    :param name: name of the VM.
    :param data_centre: name of its data centre.
    :param rack: name of its rack, unique within the data centre.
    :param accelerator: its kind, a key of the text's accelerators.
    :param live: it takes new work.
    :param holdings: what its engine has loaded.
    """

    name: str
    data_centre: str
    accelerator: str
    rack: str = ""
    live: bool = True
    holdings: tuple[Holding, ...] = ()


@dataclass(frozen=True, kw_only=True, slots=True)
class Fleet:
    """The VMs and the links that join them."""

    nodes: tuple[Node, ...]
    links: Links = Links()

    @property
    def holdings(self) -> dict[str, tuple[Holding, ...]]:
        """The holdings of the live VMs, by VM."""
        return {node.name: node.holdings for node in self.nodes if node.live}


@dataclass(frozen=True, kw_only=True, slots=True)
class Share:
    """
    The flow over one hop of a model's pipelines.

    :param source: VM that sends, or "" for the entries.
    :param target: VM that receives.
    :param tokens_per_second: the weight of the hop in routing.
    """

    model: str
    source: str
    target: str
    tokens_per_second: float


@dataclass(frozen=True, kw_only=True, slots=True)
class Plan:
    """
    Which VM holds which ranges.

    :param holdings: by VM; a VM with nothing to hold has an empty tuple.
    :param bounds: the max-flow of each model, tokens per second.
    :param shares: the flow over each hop.
    :param moved_layers: layers to load to get here from the current holdings.
    """

    holdings: Holdings
    bounds: Mapping[str, float]
    shares: tuple[Share, ...] = ()
    moved_layers: int = 0

    @property
    def unserved(self) -> tuple[str, ...]:
        """The models that the fleet cannot hold."""
        return tuple(name for name, flow in self.bounds.items() if flow <= 0)


@dataclass(frozen=True, kw_only=True, slots=True)
class Limits:
    """
    What a plan and its moves keep to.

    :param min_gain: the share of a model's flow below which nothing is moved.
    :param min_gain_of_all: the share of a model's flow below which single VMs are
        moved, but not the whole fleet.
    :param store_bytes: rate of the weight store, bytes per second.
    :param wave_seconds: the longest time the loads of one wave may take.
    :param floor: the share of the flow in force that stays in service while
        VMs without room for two versions are changed.
    """

    min_gain: float = 0.05
    min_gain_of_all: float = 0.15
    store_bytes: float = 4 * GIB
    wave_seconds: float = 60.0
    floor: float = 0.75


class Action(enum.StrEnum):
    """What a move does."""

    LOAD = "load"
    UNLOAD = "unload"


@dataclass(frozen=True, kw_only=True, slots=True)
class Move:
    """One order to one VM; doing it again changes nothing."""

    vm: str
    action: Action
    holding: Holding


@dataclass(frozen=True, kw_only=True, slots=True)
class Wave:
    """
    Moves that may be made at once, after those of the waves before.

    :param load_bytes: what they take from the weight store.
    :param seconds: the time that the weight store needs for it.
    """

    moves: tuple[Move, ...]
    load_bytes: float
    seconds: float


@dataclass(frozen=True, kw_only=True, slots=True)
class Schedule:
    """
    The moves from one state to another, in order.

    :param waves: one after the other.
    :param stalled: moves that no order allows without too great a loss of flow.
    """

    waves: tuple[Wave, ...]
    stalled: tuple[Move, ...] = ()
