"""
Spec.

What one process of stand-ins serves, as a JSON file says it.
"""

from dataclasses import dataclass
from pathlib import Path

import msgspec

from kumquatway_core.platform import VM
from kumquatway_core.wire import Holding


@dataclass(frozen=True, kw_only=True, slots=True)
class HoldingSpec:
    """A range of layers that an engine holds at its start."""

    model: str
    version: str
    first: int
    end: int
    adapters: tuple[str, ...] = ()

    def holding(self) -> Holding:
        """
        Make the message form.

        :return: the holding.
        """
        return Holding(
            model=self.model,
            version=self.version,
            first=self.first,
            end=self.end,
            adapters=self.adapters,
        )


@dataclass(frozen=True, kw_only=True, slots=True)
class EngineSpec:
    """
    An engine.

    :param address: where it listens, `host:port`.
    :param layer_us: microseconds for a layer, whatever the batch.
    :param token_us: microseconds for a layer and a token.
    :param load_s: to load one layer, seconds.
    """

    address: str
    holdings: tuple[HoldingSpec, ...] = ()
    layer_us: float = 0.0
    token_us: float = 0.0
    slots: int = 256
    memory_mib: int = 80_000
    layer_mib: int = 512
    load_s: float = 0.0
    checks_fencing: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class ServiceSpec:
    """
    A plain service.

    :param address: where it listens.
    :param seconds: that a call takes.
    """

    address: str
    seconds: float = 0.0


@dataclass(frozen=True, kw_only=True, slots=True)
class PlatformSpec:
    """
    The platform's services.

    :param lag: age of what the VM list shows, seconds.
    """

    tables: str
    objects: str
    vms: str
    lag: float = 0.0
    listed: tuple[VM, ...] = ()


@dataclass(frozen=True, kw_only=True, slots=True)
class StandInsSpec:
    """Everything that one process of stand-ins serves."""

    platform: PlatformSpec | None = None
    engines: tuple[EngineSpec, ...] = ()
    services: tuple[ServiceSpec, ...] = ()


def read_spec(path: Path) -> StandInsSpec:
    """
    Read a spec.

    :param path: of a JSON file.
    :return: the spec.
    """
    return msgspec.json.decode(path.read_bytes(), type=StandInsSpec)
