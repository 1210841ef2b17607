"""
Configuration.

The operators' configuration in force, ready for look-ups by request.
"""

import enum
from dataclasses import dataclass, field


class RouteKind(enum.Enum):
    """What may be repeated, as the route's table says."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAM = "stream"


class DenialReason(enum.Enum):
    """Why the configuration does not allow a request."""

    NO_ROUTE = "no route"
    NO_ACCOUNT = "unknown key"


@dataclass(frozen=True, kw_only=True, slots=True)
class Backend:
    """A service that takes a share of a route, by weight."""

    service: str
    weight: float = 1.0


@dataclass(frozen=True, kw_only=True, slots=True)
class Route:
    """
    How the requests below one prefix are served.

    :param timeout: longest time that a caller is kept waiting, seconds.
    :param objective: to the answer (streams: first event) that is on time, seconds.
    :param gap_objective: longest pause between events that is on time, seconds.
    :param attempts: the most servers that may be given one request.
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
    def idempotent(self) -> bool:
        """Tell whether a request may run more than once."""
        if self.kind is RouteKind.STREAM:
            return self.resumable
        return self.kind is RouteKind.SAFE


@dataclass(frozen=True, kw_only=True, slots=True)
class Accelerator:
    """
    A kind of accelerator.

    :param megabytes: memory for layers and requests.
    :param step_factor: how much longer a step takes than on the reference.
    :param read_factor: the same for reading prompts.
    """

    name: str
    memory_megabytes: float
    step_factor: float
    prefill_factor: float


@dataclass(frozen=True, kw_only=True, slots=True)
class EngineTimings:
    """
    Times of the reference accelerator with all layers.

    :param step: seconds a token step takes.
    :param per_sequence: seconds more for each request that is writing.
    :param per_context_token: seconds more for each token of context.
    :param read_tokens: prompt tokens read in a second.
    """

    step_seconds: float
    seconds_per_sequence: float
    seconds_per_context_token: float
    prefill_tokens_per_second: float


@dataclass(frozen=True, kw_only=True, slots=True)
class Engine:
    """
    What the servers of a model service can do.

    :param layers: of the whole model.
    :param layer_megabytes: weights of one layer.
    :param token_bytes: request memory of a token over all layers.
    :param max_tokens: most tokens in a server's request memory.
    :param slots: requests that a first server takes at once.
    :param load_seconds: to load all layers.
    :param parallel_loads: loads that run at full speed together.
    :param usual_prompt: mean prompt, tokens.
    :param usual_answer: mean answer, tokens.
    :param activation_bytes: sent from part to part for a token.
    :param pipe_bytes: between two data centres, bytes a second.
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

    def accelerator(self, name: str) -> Accelerator | None:
        """
        Find a kind of accelerator.

        :param name: as servers report it.
        :return: the kind, or None where it is unknown.
        """
        return next((kind for kind in self.accelerators if kind.name == name), None)


@dataclass(frozen=True, kw_only=True, slots=True)
class Service:
    """
    A service behind the gateway.

    :param max_connections: that a server accepts from all callers together.
    :param engine: what its model servers can do, or None for a plain service.
    :param health_path: where its servers say whether they take work.
    """

    name: str
    max_connections: int
    engine: Engine | None = None
    health_path: str = "/health"


@dataclass(frozen=True, kw_only=True, slots=True)
class Account:
    """A client account and the keys that speak for it."""

    name: str
    keys: tuple[str, ...]
    priority: int | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class Limits:
    """
    What a caller may send.

    :param header_bytes: size of a request's head.
    :param body_bytes: size of its body.
    :param header_seconds: from the first byte of a head to its last.
    :param idle_seconds: between requests on a connection.
    """

    header_bytes: int = 16384
    body_bytes: int = 4194304
    header_seconds: float = 3.0
    idle_seconds: float = 15.0


@dataclass(frozen=True, kw_only=True, slots=True)
class Configuration:
    """
    One revision of the configuration.

    :param revision: rises with each change.
    :param accounts: empty where no request needs a key.
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
        Find the route of a request: of its host, the longest prefix wins.

        :param host: without a port, in any case.
        :param path: without the query.
        :return: the route, or None.
        """
        for route in self.by_host.get(host.lower(), ()):
            if path.startswith(route.prefix):
                return route
        return None

    def account(self, route: Route, key: str) -> Account | DenialReason | None:
        """
        Find the client account of a request.

        :param route: of the request.
        :param key: as the caller sent it, or "".
        :return: the account, None where the route needs none, or the refusal.
        """
        if not self.accounts or (route.public and not key):
            return None
        account = self.by_key.get(key)
        if account is None and route.public:
            return None
        return account if account is not None else DenialReason.NO_ACCOUNT
