"""
Defines the messages between processes.

Each message is an array on the wire, tagged with the name of its class. Positions
are absolute: the first prompt token of a request is at position 0 in each attempt.
"""

import enum

import msgspec


class _Message(msgspec.Struct, frozen=True, kw_only=True, tag=True, array_like=True):
    """Base of all messages: tagged and encoded as an array."""


class VMState(enum.StrEnum):
    """State of a VM; only a live VM accepts new work."""

    LIVE = "live"
    LEAVING = "leaving"
    SICK = "sick"


class Stage(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """
    One stage of a route.

    :param vm: name of the VM.
    :param address: `host:port` where the agent of the VM listens.
    :param incarnation: incarnation of the agent when the route was chosen.
    :param first: first layer of the stage.
    :param end: one past the last layer of the stage.
    """

    vm: str
    address: str
    incarnation: int
    first: int
    end: int


class StreamSetup(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """
    Parameters of a stream, sent to each stage with its first step.

    :param request: ID of the request.
    :param attempt: number of the attempt, from 1; each attempt has its own route.
    :param route: the stages, which together cover every layer once.
    :param entry: address of the entry that delivers the generated tokens.
    :param model: name of the model.
    :param version: version of the weights.
    :param adapter: name of the adapter, or "".
    :param prompt_tokens: number of tokens before the first generated position.
    :param end_position: one past the last position that may be generated.
    :param seed: sampling seed.
    :param priority: priority of the request; 0 is served first.
    :param epoch: number of the route within the attempt, from 1; a splice raises it.
    :param known_tokens: generated tokens (little-endian u32) that the caller
        already has.
    """

    request: str
    attempt: int
    route: tuple[Stage, ...]
    entry: str
    model: str
    version: str
    adapter: str
    prompt_tokens: int
    end_position: int
    seed: int
    priority: int
    epoch: int = 1
    known_tokens: bytes = b""


class StepItem(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """
    One stream's part of a step.

    :param request: ID of the request.
    :param attempt: number of the attempt.
    :param stage: index in the route of the receiving stage.
    :param layer: next layer to run; at 0 the stage embeds tokens first.
    :param position: first position in `data`.
    :param count: number of positions in `data`.
    :param data: tokens (little-endian u32) for layer 0, else activations.
    :param epoch: route epoch of the sender; the receiver refuses an older epoch
        than its own.
    :param setup: parameters of the stream; sent with the first step on a stage.
    :param replay: True if `data` was retained and is sent again after a failure.
    :param prefix_digests: digests over the generated tokens up to each generated
        position in `data` (little-endian u32); empty for layer 0, where the
        receiver computes them from the tokens in `data`.
    """

    request: str
    attempt: int
    stage: int
    layer: int
    position: int
    count: int
    data: bytes
    epoch: int = 1
    setup: StreamSetup | None = None
    replay: bool = False
    prefix_digests: bytes = b""


class Steps(_Message):
    """Output of one engine step for the next stage, with one item per stream."""

    items: tuple[StepItem, ...]


class Ack(_Message):
    """
    Acknowledges received messages, so that the sender may send more.

    :param sequence: sequence number up to which all messages were received.
    """

    sequence: int


class GeneratedToken(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """
    One generated token.

    :param request: ID of the request.
    :param attempt: number of the attempt.
    :param position: absolute position of the token.
    :param token: ID of the token.
    :param text: text of the token.
    :param finish: why the stream ended, `stop` or `length`, or "" if it goes on.
    :param prefix_digest: digest over the generated tokens before this one.
    """

    request: str
    attempt: int
    position: int
    token: int
    text: str
    finish: str = ""
    prefix_digest: int = 0


class Pieces(_Message):
    """Generated tokens of one engine step for one entry."""

    items: tuple[GeneratedToken, ...]


class Trouble(_Message):
    """
    Reports that a stage cannot continue a stream.

    :param request: ID of the request.
    :param attempt: number of the attempt.
    :param stage: index in the route of the failed stage.
    :param vm: name of the VM of that stage; lets the entry ignore a late message
        about a stage that was already replaced.
    :param reason: a value of `Reason`.
    :param detail: description of the failure.
    """

    request: str
    attempt: int
    stage: int
    vm: str
    reason: str
    detail: str


class Cancel(_Message):
    """Cancels attempts, given as pairs of request ID and attempt number."""

    items: tuple[tuple[str, int], ...]


class Splice(_Message):
    """
    Tells a live stage that other stages of its route were replaced.

    The stage before a replaced stage sends its retained activations to the new stage.

    :param stage: index in the route of the receiving stage.
    :param setup: parameters of the stream, with the new route and a higher epoch.
    """

    stage: int
    setup: StreamSetup


class Call(_Message):
    """
    Calls a plain service.

    :param call: unique ID of this attempt.
    :param request: ID of the request.
    :param entry: address of the entry that sends the call.
    :param service: name of the service.
    :param incarnation: incarnation of the agent that the call is meant for.
    :param method: HTTP method.
    :param path: HTTP path.
    :param headers: pairs of name and value.
    :param body: body of the HTTP request.
    :param timeout: seconds that the agent may wait for the upstream.
    :param idempotent: whether the call may safely run twice.
    """

    call: str
    request: str
    entry: str
    service: str
    incarnation: int
    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    timeout: float
    idempotent: bool


class CallReply(_Message):
    """
    Reports the result of a call.

    :param call: ID from the `Call`.
    :param verdict: `ran`, `not-run` or `may-have-run`.
    :param reason: a value of `Reason`.
    :param status: HTTP status of the response.
    :param headers: pairs of name and value.
    :param body: body of the HTTP response.
    :param detail: description of a failure.
    """

    call: str
    verdict: str
    reason: str
    status: int = 0
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""
    detail: str = ""


class Holding(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """A range of layers that an engine has loaded."""

    model: str
    version: str
    first: int
    end: int
    adapters: tuple[str, ...] = ()


class Load(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """
    How busy an upstream is.

    :param waiting: number of items that wait for an engine step.
    :param streams: number of open streams.
    :param step_seconds: smoothed duration of an engine step in seconds.
    :param tokens_per_second: smoothed rate of processed tokens.
    """

    waiting: int = 0
    streams: int = 0
    step_seconds: float = 0.0
    tokens_per_second: float = 0.0


class Status(_Message):
    """
    Reports the state of a VM, as its agent sees it.

    :param vm: name of the VM.
    :param address: `host:port` where the agent listens.
    :param incarnation: incarnation of the agent.
    :param version: number that rises with every change except of `load`.
    :param data_centre: data centre of the VM.
    :param accelerator: type of its accelerator.
    :param state: whether the VM accepts new work.
    :param holdings: ranges of layers that its engine has loaded.
    :param service: name of the plain service that the VM serves, or "".
    :param load: how busy the upstream is.
    :param rack: rack of the VM.
    :param http_address: `host:port` where the agent serves health, metrics and
        events.
    """

    vm: str
    address: str
    incarnation: int
    data_centre: str
    accelerator: str
    state: VMState
    version: int
    holdings: tuple[Holding, ...] = ()
    service: str = ""
    load: Load = Load()
    rack: str = ""
    http_address: str = ""


class Subscribe(_Message):
    """Asks an agent to send its status now and at each change."""

    address: str


class Drain(_Message):
    """
    Drains a VM, or cancels the drain.

    :param vm: name of the VM.
    :param leave: True to drain, False to cancel the drain.
    """

    vm: str
    leave: bool


class Order(_Message):
    """
    Orders an agent to load or unload a range of layers; idempotent.

    :param order: unique ID of this attempt.
    :param vm: name of the VM.
    :param fencing_number: fencing number of the sender's lease.
    :param load: True to load, False to unload.
    :param holding: the range of layers.
    :param timeout: seconds that the agent may spend on the order.
    """

    order: str
    vm: str
    fencing_number: int
    load: bool
    holding: Holding
    timeout: float


class OrderReply(_Message):
    """
    Reports the result of an order.

    :param order: ID from the `Order`.
    :param vm: name of the VM.
    :param done: whether the engine's layers are as ordered.
    :param highest_fencing_number: highest fencing number that the agent has seen.
    :param detail: why the order was not carried out.
    """

    order: str
    vm: str
    done: bool
    highest_fencing_number: int
    detail: str = ""


class AccountDemand(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """
    Demand of one entry for the rate of one client account.

    :param account: name of the account.
    :param demand: smoothed demand, as a multiple of the account's configured rate.
    :param current_share: share of the rate that the entry may use now, 0 to 1.
    """

    account: str
    demand: float
    current_share: float


class Demands(_Message):
    """
    Demands of one entry, sent to the entry that divides these accounts' rates.

    :param entry: address of the sender.
    :param items: demands by account.
    :param round_number: number that the `Grants` in reply repeats.
    """

    entry: str
    items: tuple[AccountDemand, ...]
    round_number: int = 0


class Grants(_Message):
    """
    Grants shares of the accounts' rates, in the order of the demanded items.

    :param shares: shares from 0 to 1.
    :param round_number: number from the `Demands`.
    """

    shares: tuple[float, ...]
    round_number: int = 0


class RevisionSeen(_Message):
    """
    Tells a peer which revision of the text is current at the sender.

    :param address: address of the sender, to which a peer with a higher revision
        sends a copy.
    :param number: number of the revision.
    """

    address: str
    number: int


class RevisionCopy(_Message):
    """
    Sends a revision of the text to a peer that has an older one.

    :param number: number of the revision.
    :param data: the encoded revision.
    """

    number: int
    data: bytes


class Beat(_Message):
    """
    Heartbeat; the receiver answers on the same connection.

    :param clock: hybrid logical clock of the sender.
    :param sequence: number of the heartbeat.
    """

    clock: int
    sequence: int


class BeatReply(_Message):
    """
    Reply to a heartbeat.

    :param clock: hybrid logical clock of the replying process.
    :param sequence: number of the heartbeat.
    :param incarnation: incarnation of the replying process.
    """

    clock: int
    sequence: int
    incarnation: int


Message = (
    Steps
    | Ack
    | Pieces
    | Trouble
    | Cancel
    | Splice
    | Call
    | CallReply
    | Status
    | Subscribe
    | Drain
    | Order
    | OrderReply
    | Demands
    | Grants
    | RevisionSeen
    | RevisionCopy
    | Beat
    | BeatReply
)
