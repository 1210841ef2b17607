"""
Schema.

The data classes of both processes' settings.
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

MAX_SHUTDOWN_SECONDS = 3600.0  # seconds
MAX_RETAINED_MIB = 1024 * 1024  # MiB
MAX_REQUEST_KIB = 1024 * 1024  # KiB

Seconds = Annotated[float, positive_number(MAX_SHUTDOWN_SECONDS)]


class LogFormat(enum.StrEnum):
    """How a log line is written."""

    HUMAN = "human"
    JSON = "json"


class LogLevel(enum.StrEnum):
    """The least level that is written."""

    DEBUG = "debug"
    INFO = "info"
    WARNING = "warning"
    ERROR = "error"


@dataclass(frozen=True, kw_only=True, slots=True)
class LogSettings:
    """
    The log.

    :param format: for people or for programs.
    :param level: the least level that is written.
    """

    format: LogFormat = LogFormat.HUMAN
    level: LogLevel = LogLevel.INFO


@dataclass(frozen=True, kw_only=True, slots=True)
class PlatformSettings:
    """
    Where the platform's services are.

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
    Bounds on what a caller may send.

    :param header_kib: all headers of a request, KiB.
    :param body_kib: the body of a request, KiB.
    :param prompt_tokens: the prompt of a request, tokens.
    :param json_depth: nesting of objects and arrays in a body.
    """

    header_kib: Annotated[int, integer_range(1, MAX_REQUEST_KIB)] = 16
    body_kib: Annotated[int, integer_range(1, MAX_REQUEST_KIB)] = 4096
    prompt_tokens: Annotated[int, integer_range(1, 10_000_000)] = 131_072
    json_depth: Annotated[int, integer_range(1, 500)] = 64


@dataclass(frozen=True, kw_only=True, slots=True)
class EntrySettings:
    """
    The settings of `kumquatway serve`.

    :param name: of this process, on the time line and in logs.
    :param data_centre: where it runs.
    :param mesh_address: where agents and entries reach it.
    :param mesh_bind: where it listens to them if that differs, else "".
    :param caller_address: where it listens to callers.
    :param admin_address: where it listens to operators.
    :param platform: where the platform's services are.
    :param admin_keys: SHA-256 digests of the operators' bearer keys.
    :param limits: bounds on requests.
    :param log: the log.
    :param text_file: a text to start with when the store holds none, or "".
    :param planner: whether this entry may plan the placement.
    :param seeds: mesh addresses of other entries, for a start while the platform
        does not answer.
    :param shutdown_s: the bound on a graceful shutdown, seconds.
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
    The engine beside the agent.

    :param url: where it listens.
    """

    url: Url


@dataclass(frozen=True, kw_only=True, slots=True)
class ServiceSettings:
    """
    The plain service beside the agent.

    :param name: its name in the text.
    :param url: where it listens.
    """

    name: Name
    url: Url


@dataclass(frozen=True, kw_only=True, slots=True)
class AgentSettings:
    """
    The settings of `kumquatway-agent`.

    :param vm: the VM that it runs on.
    :param data_centre: where it runs.
    :param mesh_address: where entries and agents reach it.
    :param mesh_bind: where it listens to them if that differs, else "".
    :param http_address: where it serves health and metrics.
    :param platform: where the platform's services are.
    :param rack: the rack of the VM, or "".
    :param accelerator: the kind of its accelerator; required with an engine.
    :param engine: the engine beside it, or None.
    :param service: the plain service beside it, or None.
    :param retained_mib: the bound on retained activations, MiB.
    :param log: the log.
    :param shutdown_s: the bound on a graceful shutdown, seconds.
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
