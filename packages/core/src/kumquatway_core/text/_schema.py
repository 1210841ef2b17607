"""
Data classes of the text that operators edit; the text names no VMs.
"""

import enum
from dataclasses import dataclass, field
from typing import Annotated

from msgspec import Meta

from kumquatway_core.toml import Digest, Name, integer_range, positive_number

MAX_LAYERS = 10_000
MAX_MEMORY_MIB = 16 * 1024 * 1024
MAX_TOKENS = 100_000_000
MAX_RATE_PER_SECOND = 1e9
MAX_WEIGHT = 1e6
MAX_DURATION_SECONDS = 86_400.0
MAX_LAYER_TIME_US = 1e9
MAX_VERSION_LENGTH = 128  # characters
MAX_ACTIVATION_BYTES = 64 * 1024 * 1024

Weight = Annotated[float, positive_number(MAX_WEIGHT)]
Rate = Annotated[float, positive_number(MAX_RATE_PER_SECOND)]
Seconds = Annotated[float, positive_number(MAX_DURATION_SECONDS)]
Microseconds = Annotated[float, Meta(ge=0, le=MAX_LAYER_TIME_US)]
MemoryMib = Annotated[int, integer_range(1, MAX_MEMORY_MIB)]


class Priority(enum.StrEnum):
    """Priority class of a client account, most urgent first."""

    URGENT = "urgent"
    NORMAL = "normal"
    BULK = "bulk"


@dataclass(frozen=True, kw_only=True, slots=True)
class Model:
    """
    A model, served as a pipeline of layer ranges.

    :param layers: number of layers; their indexes start at 0.
    :param layer_mib: size of the weights of one layer, MiB.
    :param version: current version of the model.
    :param adapters: names of the adapters that callers may request.
    :param demand: weight of the model's share of the fleet, relative to other models.
    :param max_context: maximum length of prompt and answer together, tokens.
    :param depends_on: names of the services and models that it needs.
    :param activation_bytes: size of the activations of one token between two stages,
        bytes.
    """

    layers: Annotated[int, integer_range(1, MAX_LAYERS)]
    layer_mib: MemoryMib = 512
    version: Annotated[str, Meta(min_length=1, max_length=MAX_VERSION_LENGTH)] = "1"
    adapters: tuple[Name, ...] = ()
    demand: Weight = 1.0
    max_context: Annotated[int, integer_range(2, MAX_TOKENS)] = 8192
    depends_on: tuple[Name, ...] = ()
    activation_bytes: Annotated[int, integer_range(1, MAX_ACTIVATION_BYTES)] = 16 * 1024


@dataclass(frozen=True, kw_only=True, slots=True)
class Service:
    """
    A plain service, which is not a model.

    :param checks_fencing: whether its upstreams refuse an order whose fencing number
        is lower than the highest that they have seen.
    :param timeout: timeout of one call, seconds.
    :param depends_on: names of the services and models that it needs.
    """

    checks_fencing: bool = False
    timeout: Seconds = 30.0
    depends_on: tuple[Name, ...] = ()


@dataclass(frozen=True, kw_only=True, slots=True)
class Account:
    """
    A client account.

    :param keys: SHA-256 digests of its bearer keys, hexadecimal.
    :param share: weight in fair queueing.
    :param priority: priority class of its requests.
    :param requests_per_second: sustained request rate, summed over all entries.
    :param tokens_per_second: sustained rate of prompt and answer tokens, summed over
        all entries.
    :param burst: size of a burst, as seconds of the sustained rate.
    :param max_concurrent: maximum number of requests in progress, over all entries.
    """

    keys: Annotated[tuple[Digest, ...], Meta(min_length=1)]
    share: Weight = 1.0
    priority: Priority = Priority.NORMAL
    requests_per_second: Rate = 100.0
    tokens_per_second: Rate = 100_000.0
    burst: Seconds = 2.0
    max_concurrent: Annotated[int, integer_range(1, MAX_TOKENS)] = 1000


@dataclass(frozen=True, kw_only=True, slots=True)
class DataCentre:
    """
    A data centre.

    :param region: name of its region.
    """

    region: Name


@dataclass(frozen=True, kw_only=True, slots=True)
class Accelerator:
    """
    A kind of accelerator.

    :param memory_mib: memory for weights and KV cache, MiB.
    :param layer_us: time of one layer for one decode step of a batch, microseconds.
    :param token_us: time of one layer for each token of a batch, microseconds.
    :param checks_fencing: whether its engines refuse an order whose fencing number is
        lower than the highest that they have seen.
    """

    memory_mib: MemoryMib
    layer_us: Microseconds
    token_us: Microseconds
    checks_fencing: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class Text:
    """The text: the configuration that operators edit as one document."""

    name: Name
    models: dict[Name, Model] = field(default_factory=dict)
    services: dict[Name, Service] = field(default_factory=dict)
    accounts: dict[Name, Account] = field(default_factory=dict)
    data_centres: dict[Name, DataCentre] = field(default_factory=dict)
    accelerators: dict[Name, Accelerator] = field(default_factory=dict)
