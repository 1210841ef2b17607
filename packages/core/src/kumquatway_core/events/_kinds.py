"""
Kinds.

The frozen structs of events, each tagged with its kind.
"""

import msgspec


class _Event(msgspec.Struct, frozen=True, kw_only=True, tag_field="kind"):
    """
    What every event has.

    :param request: the id of the request that it is about, or "".
    :param vm: the VM that it is about, or "".
    :param detail: one line for people.
    """

    request: str = ""
    vm: str = ""
    detail: str = ""


class ProcessStarted(_Event, tag="process_started"):
    """The process is ready."""

    incarnation: int = 0


class ProcessStopped(_Event, tag="process_stopped"):
    """The process ends its graceful shutdown."""


class RequestStarted(_Event, tag="request_started"):
    """
    A request was admitted.

    :param account: the client account.
    :param target: the model or the service.
    """

    account: str
    target: str


class RequestEnded(_Event, tag="request_ended"):
    """
    A request got its answer or its error.

    :param verdict: `ran`, `not-run` or `may-have-run`.
    :param status: the HTTP status.
    :param reason: a value of `Reason`.
    """

    verdict: str
    status: int
    reason: str = "none"


class Refused(_Event, tag="refused"):
    """
    A request was refused before any work.

    :param reason: a value of `Reason`.
    :param account: the client account, or "" if unknown.
    """

    reason: str
    account: str = ""


class RouteChosen(_Event, tag="route_chosen"):
    """
    An attempt got its route.

    :param attempt: counts the routes tried, from 1.
    :param vms: the VM of each stage, in order.
    """

    attempt: int
    vms: tuple[str, ...]


class StageFailed(_Event, tag="stage_failed"):
    """
    A stage could not go on with a stream.

    :param stage: its index in the route.
    :param reason: a value of `Reason`.
    """

    attempt: int
    stage: int
    reason: str


class StreamRecovered(_Event, tag="stream_recovered"):
    """
    A stream goes on after a failure.

    :param means: such as `import`, `replay` or `prefill`.
    :param position: the first position that is generated again.
    :param seconds: from the failure's detection to the next token.
    """

    attempt: int
    means: str
    position: int
    seconds: float


class MembershipChanged(_Event, tag="membership_changed"):
    """
    A VM joined, left or was replaced.

    :param state: such as `live`, `leaving` or `gone`.
    :param incarnation: the life of its agent.
    """

    state: str
    incarnation: int


class LeaseChanged(_Event, tag="lease_changed"):
    """
    A lease was taken, renewed late, lost or given back.

    :param lease: the name of the duty.
    :param state: such as `taken`, `lost` or `released`.
    :param fencing: the fencing number.
    """

    lease: str
    state: str
    fencing: int


class ConfigurationChanged(_Event, tag="configuration_changed"):
    """
    A revision of the text came into force in this process.

    :param revision: its number.
    :param source: such as `store`, `peer` or `admin`.
    """

    revision: int
    source: str


class DrainChanged(_Event, tag="drain_changed"):
    """
    A drain began or ended.

    :param state: such as `draining` or `drained`.
    """

    state: str


class DependencyChanged(_Event, tag="dependency_changed"):
    """
    Something that the process needs was lost or regained.

    :param name: such as `store`.
    :param state: `lost` or `regained`.
    """

    name: str
    state: str


class LayersOrdered(_Event, tag="layers_ordered"):
    """
    A server was ordered to hold layers.

    :param start: the first layer.
    :param stop: one past the last layer.
    :param loads: layers that it has to load.
    :param fencing: the fencing number of the order.
    :param outcome: what the server said.
    """

    start: int
    stop: int
    loads: int
    fencing: int
    outcome: str


class ChainsChanged(_Event, tag="chains_changed"):
    """
    The chains that a process sends requests over changed.

    :param service: the model service.
    :param chains: each chain's VMs, and its room for requests in tokens.
    """

    service: str
    chains: tuple[str, ...]


Event = (
    ProcessStarted
    | ProcessStopped
    | RequestStarted
    | RequestEnded
    | Refused
    | RouteChosen
    | StageFailed
    | StreamRecovered
    | MembershipChanged
    | LeaseChanged
    | ConfigurationChanged
    | DrainChanged
    | DependencyChanged
    | LayersOrdered
    | ChainsChanged
)

KINDS = tuple(kind.__struct_config__.tag for kind in Event.__args__)


def kind_of(event: Event) -> str:
    """
    Tell the kind of an event.

    :param event: any event.
    :return: one of `KINDS`.
    """
    return event.__struct_config__.tag


def concerns(event: Event, vm: str) -> bool:
    """
    Tell whether an event is about a VM.

    :param event: any event.
    :param vm: the name of the VM.
    :return: True if the event names it, a route's stages included.
    """
    return event.vm == vm or (type(event) is RouteChosen and vm in event.vms)
