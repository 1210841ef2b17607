"""
Defines the operators' configuration and the look-ups that a request needs.

Each `Configuration` is one immutable revision.
"""

import enum
from dataclasses import dataclass, field


class RouteKind(enum.Enum):
    """Whether requests of a route may be retried, as the route table states."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAM = "stream"


class DenialReason(enum.Enum):
    """Why the configuration does not allow a request."""

    NO_ROUTE = "no route"
    NO_ACCOUNT = "unknown key"


# Callers of the users' platform leave a stream after the longest of these.
MIN_PATIENCE_SECONDS = 2.0
PATIENCE_OBJECTIVES = 4.0  # times to the first event that the route aims at
PATIENCE_GAPS = 8.0  # pauses between two events that the route aims at


@dataclass(frozen=True, kw_only=True, slots=True)
class Backend:
    """A service that receives a share of a route's requests, by weight."""

    service: str
    weight: float = 1.0


@dataclass(frozen=True, kw_only=True, slots=True)
class Route:
    """
    How requests below one path prefix are served.

    :param timeout: longest time that a caller waits for a response, seconds.
    :param objective: target time to the response (streams: to the first event),
        seconds.
    :param gap_objective: target for the longest pause between two events, seconds.
    :param max_attempts: highest number of servers that one request may be sent to.
    :param priority: 0 is the most urgent.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    backends: tuple[Backend, ...]
    timeout: float
    objective: float
    gap_objective: float = 0.2
    max_attempts: int = 1
    priority: int = 5
    public: bool = False
    resumable: bool = False

    @property
    def max_gap(self) -> float:
        """Return the longest pause in a stream before callers disconnect, seconds."""
        return max(
            MIN_PATIENCE_SECONDS,
            PATIENCE_OBJECTIVES * self.objective,
            PATIENCE_GAPS * self.gap_objective,
        )

    @property
    def idempotent(self) -> bool:
        """Tell whether a request may run more than once."""
        if self.kind is RouteKind.STREAM:
            return self.resumable
        return self.kind is RouteKind.SAFE


@dataclass(frozen=True, kw_only=True, slots=True)
class Accelerator:
    """
    A kind of accelerator.

    :param memory_megabytes: memory for layers and the KV cache.
    :param step_factor: duration of a decode step relative to the reference
        accelerator.
    :param prefill_factor: duration of prefill relative to the reference accelerator.
    """

    name: str
    memory_megabytes: float
    step_factor: float
    prefill_factor: float


def _check_at_least_one(name: str, value: float) -> None:
    if not value >= 1:
        raise ValueError(f"{name}: {value:g} is less than 1")


@dataclass(frozen=True, kw_only=True, slots=True)
class EngineTimings:
    """
    Timings of the reference accelerator when it holds all layers.

    :param step_seconds: duration of a decode step.
    :param seconds_per_sequence: extra step time for each request that is decoding.
    :param seconds_per_context_token: extra step time for each token of context.
    :param prefill_tokens_per_second: prefill rate.
    :param prefill_chunk_tokens: most prompt tokens that are prefilled in one step.
    :param steps_per_pass: decode steps that a server runs before it sends their tokens.
    """

    step_seconds: float
    seconds_per_sequence: float
    seconds_per_context_token: float
    prefill_tokens_per_second: float
    prefill_chunk_tokens: int = 512
    steps_per_pass: int = 1


@dataclass(frozen=True, kw_only=True, slots=True)
class Engine:
    """
    Capacity and timings of the servers of a model service.

    :param layers: number of layers of the whole model.
    :param layer_megabytes: size of the weights of one layer.
    :param kv_bytes_per_token: KV cache of one token over all layers.
    :param max_kv_tokens: highest number of tokens in a server's KV cache.
    :param slots: concurrent requests that the first server of a chain accepts.
    :param load_seconds: time to load all layers.
    :param parallel_loads: number of concurrent loads that still run at full speed.
    :param mean_prompt_tokens: mean length of a prompt.
    :param mean_output_tokens: mean length of a generated answer.
    :param activation_bytes: data sent from one server of a chain to the next for each
        token.
    :param inter_dc_bytes_per_second: bandwidth between two data centres.
    :raises ValueError: if no request can be routed with these parameters.
    """

    layers: int
    layer_megabytes: float
    kv_bytes_per_token: float
    max_kv_tokens: int
    slots: int
    load_seconds: float
    parallel_loads: int
    mean_prompt_tokens: float
    mean_output_tokens: float
    activation_bytes: float
    inter_dc_bytes_per_second: float
    timings: EngineTimings
    accelerators: tuple[Accelerator, ...]

    def __post_init__(self):
        """Check the parameters that others are divided by."""
        rate = self.timings.prefill_tokens_per_second
        tokens = self.mean_prompt_tokens + self.mean_output_tokens
        _check_at_least_one("number of layers", self.layers)
        _check_at_least_one("KV cache bytes of a token", self.kv_bytes_per_token)
        _check_at_least_one("prefill rate, tokens per second", rate)
        _check_at_least_one("mean tokens of prompt and output", tokens)
        _check_at_least_one(
            "bytes per second between data centres", self.inter_dc_bytes_per_second
        )

    def accelerator(self, name: str) -> Accelerator | None:
        """
        Find a kind of accelerator.

        :param name: name of the kind, as servers report it.
        :return: the kind, or None if the configuration does not list it.
        """
        return next((kind for kind in self.accelerators if kind.name == name), None)


@dataclass(frozen=True, kw_only=True, slots=True)
class Service:
    """
    A service behind the gateway.

    :param max_connections: connections that one server accepts from all its clients
        together.
    :param engine: capacity of its model servers, or None for a plain service.
    :param health_path: path of the health check of its servers.
    """

    name: str
    max_connections: int
    engine: Engine | None = None
    health_path: str = "/health"


@dataclass(frozen=True, kw_only=True, slots=True)
class Account:
    """A client account and its API keys."""

    name: str
    keys: tuple[str, ...]
    priority: int | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class Limits:
    """
    Limits on the requests and connections of callers.

    :param header_bytes: highest size of the request line and headers.
    :param body_bytes: highest size of the body.
    :param header_seconds: time from the first byte of the headers to the last.
    :param idle_seconds: time between two requests on a connection.
    """

    header_bytes: int = 16384
    body_bytes: int = 4194304
    header_seconds: float = 3.0
    idle_seconds: float = 15.0


@dataclass(frozen=True, kw_only=True, slots=True)
class Configuration:
    """
    One revision of the configuration.

    :param revision: number of the revision; increases with each change.
    :param accounts: client accounts; empty if no request needs an API key.
    """

    revision: int
    routes: tuple[Route, ...]
    services: tuple[Service, ...]
    accounts: tuple[Account, ...] = ()
    limits: Limits = field(default_factory=Limits)
    by_host: dict[str, tuple[Route, ...]] = field(init=False, repr=False)
    by_key: dict[str, Account] = field(init=False, repr=False)
    by_service: dict[str, Service] = field(init=False, repr=False)

    def __post_init__(self):
        hosts: dict[str, list[Route]] = {}
        for route in self.routes:
            hosts.setdefault(route.host.lower(), []).append(route)
        longest_first = {
            host: tuple(sorted(routes, key=lambda route: -len(route.prefix)))
            for host, routes in hosts.items()
        }
        keys = {key: account for account in self.accounts for key in account.keys}
        services = {service.name: service for service in self.services}
        object.__setattr__(self, "by_host", longest_first)
        object.__setattr__(self, "by_key", keys)
        object.__setattr__(self, "by_service", services)

    def route(self, host: str, path: str) -> Route | None:
        """
        Find the route of a request: the one of its host with the longest prefix.

        :param host: host name without a port, in any case.
        :param path: path without the query.
        :return: the route, or None.
        """
        for route in self.by_host.get(host.lower(), ()):
            if path.startswith(route.prefix):
                return route
        return None

    def account(self, route: Route, key: str) -> Account | DenialReason | None:
        """
        Find the client account of a request.

        :param route: route of the request.
        :param key: API key that the caller sent, or "".
        :return: the account, None if the route needs none, or why the request is
            denied.
        """
        if not self.accounts or (route.public and not key):
            return None
        account = self.by_key.get(key)
        if account is None and route.public:
            return None
        return account if account is not None else DenialReason.NO_ACCOUNT
