"""
Messages.

Bodies of an engine's HTTP calls, MessagePack.
"""

import msgspec

from kumquatway_core.wire import Holding

ALL_STREAMS = "*"  # in a cancel: every stream of the engine
NO_FREE_SLOT = "no free slot"  # in an output: the engine is full, and not broken


class _Body(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """What every body has: a compact array form."""


class StepInput(_Body):
    """
    One stream's part of an engine step.

    :param stream: the engine's name of the stream.
    :param position: the first position in `data`.
    :param count: positions in `data`.
    :param data: tokens (little-endian u32) for layer 0, else activations.
    :param sample: whether the engine ends with the last layer and samples.
    :param seed: of sampling.
    :param adapter: name of the adapter, or "".
    :param priority: 0 is served first.
    """

    stream: str
    position: int
    count: int
    data: bytes
    sample: bool
    seed: int
    adapter: str
    priority: int


class StepRequest(_Body):
    """A step of many streams over the layers from `first` to `end`."""

    model: str
    version: str
    first: int
    end: int
    items: tuple[StepInput, ...]


class StepOutput(_Body):
    """
    One stream's result.

    :param data: activations of each position, empty if sampled or failed.
    :param token: sampled token id.
    :param text: of the token.
    :param stop: the token ends the answer.
    :param error: "" or why the engine did not run this item.
    """

    stream: str
    data: bytes = b""
    token: int = 0
    text: str = ""
    stop: bool = False
    error: str = ""


class StepReply(_Body):
    """
    The results of a step, in the order of its items.

    :param seconds: time of the step.
    :param cached: prompt tokens whose prefix was cached.
    """

    items: tuple[StepOutput, ...]
    seconds: float
    cached_tokens: int = 0


class KVExport(_Body):
    """
    The KV cache of one stream over some layers.

    :param position: one past the last position in it.
    """

    stream: str
    model: str
    version: str
    adapter: str
    first: int
    end: int
    position: int
    data: bytes


class EngineLoad(_Body):
    """How busy an engine says it is, some time ago."""

    streams: int
    free_slots: int
    step_seconds: float
    age: float


class EngineState(_Body):
    """
    What an engine holds.

    :param fence: the highest fencing number that it has seen, 0 if it ignores them.
    """

    holdings: tuple[Holding, ...]
    load: EngineLoad
    memory_mib: int
    highest_fencing_number: int = 0


class EngineOrder(_Body):
    """
    An order to load or unload a range of layers.

    :param fence: fencing number of the lease under which it is given.
    :param load: whether to load or unload.
    """

    fencing_number: int
    load: bool
    holding: Holding


class EngineOrderReply(_Body):
    """
    The answer to an order.

    :param done: the engine holds what the order asks for.
    :param detail: why not.
    """

    done: bool
    detail: str = ""
