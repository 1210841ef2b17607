"""
Schema.

The data classes of the operators' text. No VM is named in it.
"""

import enum
from dataclasses import dataclass, field


class Priority(enum.StrEnum):
    """The class of service of a client account, most urgent first."""

    URGENT = "urgent"
    NORMAL = "normal"
    BULK = "bulk"


@dataclass(frozen=True, kw_only=True, slots=True)
class Model:
    """
    A model that is served as a pipeline of layer ranges.

    :param layers: the number of layers, counted from 0.
    :param layer_mib: the weights of one layer, MiB.
    :param version: the version in force.
    :param adapters: the adapters that callers may name.
    :param demand: the share of the fleet it should get, relative to others.
    :param max_context: prompt and answer together, tokens.
    :param depends_on: services or models that must be served for it.
    :param activation_bytes: what one token carries from stage to stage, bytes.
    """

    layers: int
    layer_mib: int = 512
    version: str = "1"
    adapters: tuple[str, ...] = ()
    demand: float = 1.0
    max_context: int = 8192
    depends_on: tuple[str, ...] = ()
    activation_bytes: int = 16 * 1024


@dataclass(frozen=True, kw_only=True, slots=True)
class Service:
    """
    A plain service beside the models.

    :param checks_fencing: its upstreams refuse an order with an older number.
    :param timeout: the bound on one call, seconds.
    :param depends_on: services or models that must be served for it.
    """

    checks_fencing: bool = False
    timeout: float = 30.0
    depends_on: tuple[str, ...] = ()


@dataclass(frozen=True, kw_only=True, slots=True)
class Account:
    """
    A client account.

    :param keys: SHA-256 digests of its bearer keys, hexadecimal.
    :param share: its weight in fair queueing.
    :param priority: its class of service.
    :param requests_per_second: sustained requests, over all entries.
    :param tokens_per_second: sustained prompt and answer tokens, over all entries.
    :param burst: seconds of the sustained rate it may use at once.
    :param max_concurrent: requests in progress, over all entries.
    """

    keys: tuple[str, ...]
    share: float = 1.0
    priority: Priority = Priority.NORMAL
    requests_per_second: float = 100.0
    tokens_per_second: float = 100_000.0
    burst: float = 2.0
    max_concurrent: int = 1000


@dataclass(frozen=True, kw_only=True, slots=True)
class DataCentre:
    """
    A data centre.

    :param region: the region it lies in.
    """

    region: str


@dataclass(frozen=True, kw_only=True, slots=True)
class Accelerator:
    """
    A kind of accelerator.

    :param memory_mib: memory for weights and KV cache, MiB.
    :param layer_us: time of one layer for one decode step of a batch, microseconds.
    :param token_us: time of one layer for each token of a batch, microseconds.
    :param checks_fencing: its engines refuse an order with an older number.
    """

    memory_mib: int
    layer_us: float
    token_us: float
    checks_fencing: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class Text:
    """The whole text, as operators accepted it."""

    name: str
    models: dict[str, Model] = field(default_factory=dict)
    services: dict[str, Service] = field(default_factory=dict)
    accounts: dict[str, Account] = field(default_factory=dict)
    data_centres: dict[str, DataCentre] = field(default_factory=dict)
    accelerators: dict[str, Accelerator] = field(default_factory=dict)
