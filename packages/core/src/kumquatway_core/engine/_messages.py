"""Defines the MessagePack bodies of an engine's HTTP calls."""

import msgspec

from kumquatway_core.wire import Holding

ALL_STREAMS = "*"  # in a cancel call: every stream of the engine
NO_FREE_SLOT = "no free slot"  # error of an output: the engine is full but healthy


class _Body(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Base of all bodies: encoded as an array."""


class StepInput(_Body):
    """
    Input of one stream to an engine step.

    :param stream: name of the stream at the engine.
    :param position: first position in `data`.
    :param count: number of positions in `data`.
    :param data: tokens (little-endian u32) for layer 0, else activations.
    :param sample: whether the step ends with the last layer and samples a token.
    :param seed: sampling seed.
    :param adapter: name of the adapter, or "".
    :param priority: priority of the request; 0 is served first.
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
    """
    A step of several streams over a range of layers.

    :param model: name of the model.
    :param version: version of the weights.
    :param first: first layer to run.
    :param end: one past the last layer to run.
    :param items: input of each stream.
    """

    model: str
    version: str
    first: int
    end: int
    items: tuple[StepInput, ...]


class StepOutput(_Body):
    """
    Output of one stream from an engine step.

    :param stream: name of the stream at the engine.
    :param data: activations of each position; empty if the step sampled or failed.
    :param token: ID of the sampled token.
    :param text: text of the token.
    :param stop: whether the token ends the generated text.
    :param error: why the engine did not run this item, or "".
    """

    stream: str
    data: bytes = b""
    token: int = 0
    text: str = ""
    stop: bool = False
    error: str = ""


class StepReply(_Body):
    """
    Results of a step.

    :param items: outputs in the order of the request's items.
    :param seconds: duration of the step.
    :param cached_tokens: number of prompt tokens found in the prefix cache.
    """

    items: tuple[StepOutput, ...]
    seconds: float
    cached_tokens: int = 0


class KVExport(_Body):
    """
    The KV cache of one stream over a range of layers.

    :param stream: name of the stream at the engine.
    :param model: name of the model.
    :param version: version of the weights.
    :param adapter: name of the adapter, or "".
    :param first: first layer of the range.
    :param end: one past the last layer of the range.
    :param position: one past the last cached position.
    :param data: the cache.
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
    """
    Load of an engine, as it last measured it.

    :param streams: number of open streams.
    :param free_slots: number of streams that it can still open.
    :param step_seconds: duration of a step.
    :param age: seconds since the measurement.
    """

    streams: int
    free_slots: int
    step_seconds: float
    age: float


class EngineState(_Body):
    """
    Loaded layers, load and memory of an engine.

    :param holdings: ranges of layers that are loaded.
    :param load: last measured load.
    :param memory_mib: memory of the engine in MiB.
    :param highest_fencing_number: highest fencing number that the engine has seen;
        0 if it does not check fencing numbers.
    """

    holdings: tuple[Holding, ...]
    load: EngineLoad
    memory_mib: int
    highest_fencing_number: int = 0


class EngineOrder(_Body):
    """
    An order to load or unload a range of layers.

    :param fencing_number: fencing number of the sender's lease.
    :param load: True to load, False to unload.
    :param holding: the range of layers.
    """

    fencing_number: int
    load: bool
    holding: Holding


class EngineOrderReply(_Body):
    """
    The reply to an order.

    :param done: whether the loaded layers are as ordered.
    :param detail: why the order was not carried out.
    """

    done: bool
    detail: str = ""
