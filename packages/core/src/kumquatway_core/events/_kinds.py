"""
Structs of the events, each tagged with its kind.
"""

import msgspec


class _Event(msgspec.Struct, frozen=True, kw_only=True, tag_field="kind"):
    """
    Fields that all events have.

    :param request: ID of the request that the event concerns, or "".
    :param vm: name of the VM that the event concerns, or "".
    :param detail: description for people, on one line.
    """

    request: str = ""
    vm: str = ""
    detail: str = ""


class ProcessStarted(_Event, tag="process_started"):
    """
    The process is ready.

    :param incarnation: incarnation of the process.
    """

    incarnation: int = 0


class ProcessStopped(_Event, tag="process_stopped"):
    """The process completes its graceful shutdown."""


class RequestStarted(_Event, tag="request_started"):
    """
    A request was admitted.

    :param account: name of the client account.
    :param target: name of the model or of the service.
    """

    account: str
    target: str


class RequestEnded(_Event, tag="request_ended"):
    """
    A request ended with its answer or with an error.

    :param verdict: `ran`, `not-run` or `may-have-run`.
    :param status: HTTP status of the response.
    :param reason: a value of `Reason`.
    """

    verdict: str
    status: int
    reason: str = "none"


class Refused(_Event, tag="refused"):
    """
    A request was refused before any work was done for it.

    :param reason: a value of `Reason`.
    :param account: name of the client account, or "" if unknown.
    """

    reason: str
    account: str = ""


class RouteChosen(_Event, tag="route_chosen"):
    """
    A route was chosen for an attempt of a request.

    :param attempt: number of the attempt, starting at 1.
    :param vms: name of the VM of each stage, in order.
    """

    attempt: int
    vms: tuple[str, ...]


class StageFailed(_Event, tag="stage_failed"):
    """
    A stage could not continue a stream.

    :param attempt: number of the attempt, as in `RouteChosen`.
    :param stage: index of the stage in the route.
    :param reason: a value of `Reason`.
    """

    attempt: int
    stage: int
    reason: str


class StreamRecovered(_Event, tag="stream_recovered"):
    """
    A stream continues after a failure.

    :param attempt: number of the attempt, as in `RouteChosen`.
    :param means: how the stream was recovered, such as `import`, `replay`, `prefill`,
        or `wait` where the VM that had fallen silent goes on.
    :param position: first position that is generated again.
    :param seconds: time from the detection of the failure to the next token, seconds.
    """

    attempt: int
    means: str
    position: int
    seconds: float


class MembershipChanged(_Event, tag="membership_changed"):
    """
    A VM joined, left or was replaced.

    :param state: state of the VM, such as `live`, `leaving` or `gone`.
    :param incarnation: incarnation of the VM's agent.
    """

    state: str
    incarnation: int


class LeaseChanged(_Event, tag="lease_changed"):
    """
    A lease was acquired, renewed late, lost or released.

    :param lease: name of the duty that the lease is for.
    :param state: state of the lease, such as `taken`, `lost` or `released`.
    :param fencing: fencing number of the lease.
    """

    lease: str
    state: str
    fencing: int


class ConfigurationChanged(_Event, tag="configuration_changed"):
    """
    A revision of the text became current in this process.

    :param revision: number of the revision.
    :param source: where the revision came from, such as `store`, `peer` or `admin`.
    """

    revision: int
    source: str


class DrainChanged(_Event, tag="drain_changed"):
    """
    A drain began or ended.

    :param state: state of the drain, such as `draining` or `drained`.
    """

    state: str


class DependencyChanged(_Event, tag="dependency_changed"):
    """
    A dependency of the process was lost or regained.

    :param name: name of the dependency, such as `store`.
    :param state: `lost` or `regained`.
    """

    name: str
    state: str


class LayersOrdered(_Event, tag="layers_ordered"):
    """
    A server was ordered to hold a range of layers.

    :param start: index of the first layer.
    :param stop: index of the last layer plus 1.
    :param loads: number of layers that the server has to load.
    :param fencing: fencing number of the order.
    :param outcome: outcome of the order, as the server reported it.
    """

    start: int
    stop: int
    loads: int
    fencing: int
    outcome: str


class ChainsChanged(_Event, tag="chains_changed"):
    """
    The chains that a process uses for requests changed.

    :param service: name of the model service.
    :param chains: VMs and token capacity of each chain.
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
    Return the kind of an event.

    :param event: any event.
    :return: one of `KINDS`.
    """
    return event.__struct_config__.tag


def concerns(event: Event, vm: str) -> bool:
    """
    Return whether an event concerns a VM.

    :param event: any event.
    :param vm: name of the VM.
    :return: True if the event names the VM, as its subject or as a stage of a route.
    """
    return event.vm == vm or (type(event) is RouteChosen and vm in event.vms)
