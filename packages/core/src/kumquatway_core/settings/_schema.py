"""
Data classes of the settings of an entry and of an agent.
"""

import enum
from dataclasses import dataclass
from typing import Annotated

from msgspec import Meta

from kumquatway_core.toml import (
    Address,
    Digest,
    Name,
    Url,
    integer_range,
    positive_number,
)

MAX_SHUTDOWN_SECONDS = 3600.0
MAX_RETAINED_MIB = 1024 * 1024
MAX_REQUEST_KIB = 1024 * 1024

Seconds = Annotated[float, positive_number(MAX_SHUTDOWN_SECONDS)]


class LogFormat(enum.StrEnum):
    """Format of the log lines."""

    HUMAN = "human"
    JSON = "json"


class LogLevel(enum.StrEnum):
    """Lowest level of the records that are logged."""

    DEBUG = "debug"
    INFO = "info"
    WARNING = "warning"
    ERROR = "error"


@dataclass(frozen=True, kw_only=True, slots=True)
class LogSettings:
    """
    Settings of the log.

    :param format: format of the lines: for people, or JSON for programs.
    :param level: lowest level of the records that are logged.
    """

    format: LogFormat = LogFormat.HUMAN
    level: LogLevel = LogLevel.INFO


@dataclass(frozen=True, kw_only=True, slots=True)
class PlatformSettings:
    """
    URLs of the platform's services.

    :param tables: URLs of the transactional table service.
    :param objects: URLs of the object store.
    :param vms: URL of the list of VMs.
    """

    tables: Annotated[tuple[Url, ...], Meta(min_length=1)]
    objects: Annotated[tuple[Url, ...], Meta(min_length=1)]
    vms: Url


@dataclass(frozen=True, kw_only=True, slots=True)
class LimitSettings:
    """
    Limits on the requests of callers.

    :param header_kib: maximum size of all headers of a request, KiB.
    :param body_kib: maximum size of the body of a request, KiB.
    :param prompt_tokens: maximum length of the prompt of a request, tokens.
    :param json_depth: maximum nesting depth of objects and arrays in a body.
    """

    header_kib: Annotated[int, integer_range(1, MAX_REQUEST_KIB)] = 16
    body_kib: Annotated[int, integer_range(1, MAX_REQUEST_KIB)] = 4096
    prompt_tokens: Annotated[int, integer_range(1, 10_000_000)] = 131_072
    json_depth: Annotated[int, integer_range(1, 500)] = 64


@dataclass(frozen=True, kw_only=True, slots=True)
class EntrySettings:
    """
    The settings of `kumquatway serve`.

    :param name: name of this process, in the time line and in logs.
    :param data_centre: name of the data centre that it runs in.
    :param mesh_address: address at which agents and other entries reach it.
    :param mesh_bind: address that it listens on for the mesh, or "" for
        `mesh_address`.
    :param caller_address: address that it listens on for callers.
    :param admin_address: address that it listens on for operators.
    :param platform: URLs of the platform's services.
    :param admin_keys: SHA-256 digests of the operators' bearer keys.
    :param limits: limits on requests.
    :param log: settings of the log.
    :param text_file: path of the initial text, used if the store has none, or "".
    :param planner: whether this entry may plan the placement.
    :param seeds: mesh addresses of other entries, for a start while the platform
        does not respond.
    :param shutdown_s: maximum duration of a graceful shutdown, seconds.
    """

    name: Name
    data_centre: Name
    mesh_address: Address
    caller_address: Address
    admin_address: Address
    platform: PlatformSettings
    admin_keys: Annotated[tuple[Digest, ...], Meta(min_length=1)]
    limits: LimitSettings = LimitSettings()
    log: LogSettings = LogSettings()
    text_file: str = ""
    mesh_bind: Address = ""
    planner: bool = True
    seeds: tuple[Address, ...] = ()
    shutdown_s: Seconds = 60.0


@dataclass(frozen=True, kw_only=True, slots=True)
class EngineSettings:
    """
    Settings of the engine that belongs to an agent.

    :param url: URL that the engine listens on.
    """

    url: Url


@dataclass(frozen=True, kw_only=True, slots=True)
class ServiceSettings:
    """
    Settings of the plain service that belongs to an agent.

    :param name: name of the service in the text.
    :param url: URL that the service listens on.
    """

    name: Name
    url: Url


@dataclass(frozen=True, kw_only=True, slots=True)
class AgentSettings:
    """
    The settings of `kumquatway-agent`.

    :param vm: name of the VM that it runs on.
    :param data_centre: name of the data centre that it runs in.
    :param mesh_address: address at which entries and other agents reach it.
    :param mesh_bind: address that it listens on for the mesh, or "" for
        `mesh_address`.
    :param http_address: address at which it serves health and metrics.
    :param platform: URLs of the platform's services.
    :param rack: name of the rack of the VM, or "".
    :param accelerator: kind of the VM's accelerator; required with an engine.
    :param engine: settings of its engine, or None.
    :param service: settings of its plain service, or None.
    :param retained_mib: maximum memory for retained activations, MiB.
    :param log: settings of the log.
    :param shutdown_s: maximum duration of a graceful shutdown, seconds.
    """

    vm: Name
    data_centre: Name
    mesh_address: Address
    http_address: Address
    platform: PlatformSettings
    mesh_bind: Address = ""
    rack: str = ""
    accelerator: str = ""
    engine: EngineSettings | None = None
    service: ServiceSettings | None = None
    retained_mib: Annotated[int, integer_range(1, MAX_RETAINED_MIB)] = 64
    log: LogSettings = LogSettings()
    shutdown_s: Seconds = 60.0
