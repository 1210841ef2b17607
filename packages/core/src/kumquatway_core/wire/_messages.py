"""
Messages.

Frozen structs of the codec, each tagged with its name on the wire. Positions are
absolute: the first prompt token of a request is at position 0 in each attempt.
"""

import enum

import msgspec


class _Message(msgspec.Struct, frozen=True, kw_only=True, tag=True, array_like=True):
    """What every message has: a tag and a compact array form."""


class VMState(enum.StrEnum):
    """Whether a VM takes new work: only a live one does."""

    LIVE = "live"
    LEAVING = "leaving"
    SICK = "sick"


class Stage(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """
    One stage of a route.

    :param vm: name of the VM.
    :param address: where its agent listens, `host:port`.
    :param incarnation: the life of the agent that the route was made for.
    :param first: its first layer.
    :param end: one past its last layer.
    """

    vm: str
    address: str
    incarnation: int
    first: int
    end: int


class StreamSetup(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """
    What each stage learns of a stream with its first step.

    :param request: the request's id.
    :param attempt: counts the routes tried, from 1.
    :param route: the stages, covering every layer once.
    :param entry: address of the entry that delivers the answer.
    :param model: name of the model.
    :param version: version of the weights.
    :param adapter: name of the adapter, or "".
    :param prompt_tokens: tokens before the first generated position.
    :param end_position: one past the last position that may be generated.
    :param seed: of sampling.
    :param priority: 0 is served first.
    :param epoch: counts the routes of one attempt, from 1; a splice raises it.
    :param known: generated tokens (little-endian u32) that the caller already has.
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

    :param request: the request's id.
    :param attempt: the attempt it belongs to.
    :param stage: index in the route of the stage that receives it.
    :param layer: the next layer to run; 0 asks to embed tokens.
    :param position: the first position in `data`.
    :param count: the number of positions in `data`.
    :param data: tokens (little-endian u32) for layer 0, else activations.
    :param open: sent with the first step of a stream on a stage.
    :param epoch: the route's epoch that the sender knows; an older one is refused.
    :param replay: the data was retained and is sent again after a failure.
    :param chains: the digest over the generated tokens up to each generated
        position in `data` (little-endian u32); none for layer 0, whose data tell.
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
    """The items of one engine step for one next hop."""

    items: tuple[StepItem, ...]


class Ack(_Message):
    """
    Says what arrived, which gives the sender room for more.

    :param sequence: every message up to this one was taken in.
    """

    sequence: int


class GeneratedToken(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """
    One generated token.

    :param request: the request's id.
    :param attempt: the attempt it belongs to.
    :param position: its absolute position.
    :param token: token id.
    :param text: its text.
    :param finish: "" or why the stream ended: `stop` or `length`.
    :param chain: the digest over the generated tokens that it follows from.
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
    A stage could not go on with a stream.

    :param stage: index of the stage that failed, in the route.
    :param vm: the VM of that stage, so that a late message about a replaced one
        does no harm.
    :param reason: a value of `Reason`.
    """

    request: str
    attempt: int
    stage: int
    vm: str
    reason: str
    detail: str


class Cancel(_Message):
    """The entry needs these attempts no more: (request, attempt) pairs."""

    items: tuple[tuple[str, int], ...]


class Splice(_Message):
    """
    Tells a live stage that stages of its route were replaced.

    The stage before a replaced one sends its retained activations to the new one.

    :param stage: index of the stage that receives this message.
    :param open: what the new stages learn, with the new route and a higher epoch.
    """

    stage: int
    setup: StreamSetup


class Call(_Message):
    """
    A call of a plain service.

    :param call: unique id of this try.
    :param headers: pairs of name and value.
    :param timeout: seconds the agent may wait for the upstream.
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
    The end of a call.

    :param ran: `ran`, `not-run` or `may-have-run`.
    :param reason: a value of `Reason`.
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

    :param waiting: items not yet in an engine step.
    :param streams: streams that it holds.
    :param step_seconds: smoothed time of one engine step, seconds.
    :param tokens_per_second: smoothed tokens run.
    """

    waiting: int = 0
    streams: int = 0
    step_seconds: float = 0.0
    tokens_per_second: float = 0.0


class Status(_Message):
    """
    What an agent says of its VM.

    :param version: rises with every change but that of the load.
    :param service: name of the plain service it serves, or "".
    :param http_address: where it serves health, metrics and events.
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
    """Asks an agent for its status now and at each change."""

    address: str


class Drain(_Message):
    """
    Tells an agent that its VM leaves.

    :param leave: False takes the drain back.
    """

    vm: str
    leave: bool


class Order(_Message):
    """
    Tells an agent to have its engine load or unload a range; idempotent.

    :param order: unique id of this try.
    :param fence: fencing number of the lease under which it is given.
    :param load: whether to load or unload.
    :param timeout: seconds that the agent may spend on it.
    """

    order: str
    vm: str
    fencing_number: int
    load: bool
    holding: Holding
    timeout: float


class OrderReply(_Message):
    """
    The end of an order.

    :param done: the engine holds what the order asks for.
    :param fence: the highest fencing number that the agent has seen.
    """

    order: str
    vm: str
    done: bool
    highest_fencing_number: int
    detail: str = ""


class AccountDemand(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """
    What one entry asks for of one client account.

    :param account: its name.
    :param demand: smoothed demand, 1 is the account's configured rate.
    :param held: the part of the rate that the entry may use now.
    """

    account: str
    demand: float
    current_share: float


class Demands(_Message):
    """
    What one entry asks for of the accounts of one owner.

    :param entry: address of the asker.
    :param round: given back with the answer.
    """

    entry: str
    items: tuple[AccountDemand, ...]
    round_number: int = 0


class Grants(_Message):
    """
    The parts of the accounts' rates, in the order of the items asked for.

    :param parts: 0 to 1 each.
    :param round: of the demands.
    """

    shares: tuple[float, ...]
    round_number: int = 0


class RevisionSeen(_Message):
    """
    Tells a peer which revision of the text is in force here.

    :param address: of the sender, for a copy if the peer has a higher one.
    """

    address: str
    number: int


class RevisionCopy(_Message):
    """
    A revision of the text for a peer that has an older one.

    :param data: the encoded revision.
    """

    number: int
    data: bytes


class Beat(_Message):
    """
    A heartbeat, answered on the same connection.

    :param clock: the sender's hybrid logical clock.
    """

    clock: int
    sequence: int


class BeatReply(_Message):
    """The answer to a heartbeat, with the answerer's incarnation."""

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
