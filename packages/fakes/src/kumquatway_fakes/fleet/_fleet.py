"""
Fleet.

Writes the settings of a deployment and runs its processes.
"""

import hashlib
import json
import signal
import socket
from dataclasses import dataclass, field
from pathlib import Path

import anyio
import httpx
import msgspec

from kumquatway_core.platform import VM, VMKind
from kumquatway_fakes._ports import free_address, hold
from kumquatway_fakes._spec import (
    EngineSpec,
    HoldingSpec,
    PlatformSpec,
    ServiceSpec,
    StandInsSpec,
)
from kumquatway_fakes.fleet._process import Process

ADMIN_KEY = "fleet-admin-key"
READY_TIMEOUT = 60.0  # seconds
READY_POLL = 0.05  # seconds
PLATFORM = "platform"


@dataclass(frozen=True, kw_only=True, slots=True)
class EngineVM:
    """
    A VM with an engine and its agent.

    :param name: of the VM.
    :param retained_mib: bound on the agent's retained activations, MiB.
    :param relayed: others reach the agent through a relay, which the owner of the
        fleet runs from `mesh` to `bind`.
    """

    name: str
    holdings: tuple[HoldingSpec, ...]
    data_centre: str = "dc1"
    accelerator: str = "any"
    layer_us: float = 0.0
    token_us: float = 0.0
    slots: int = 1024
    retained_mib: int = 64
    relayed: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class ServiceVM:
    """
    A VM with a plain service and its agent.

    :param service: name in the text.
    :param seconds: that a call takes.
    """

    name: str
    service: str
    data_centre: str = "dc1"
    seconds: float = 0.0


@dataclass(frozen=True, kw_only=True, slots=True)
class EntryVM:
    """A VM with an entry."""

    name: str
    data_centre: str = "dc1"


@dataclass(frozen=True, kw_only=True, slots=True)
class FleetPlan:
    """
    What a fleet consists of.

    :param source: the text, TOML.
    :param engines_per_process: engines that share a process of stand-ins.
    """

    source: str
    entries: tuple[EntryVM, ...]
    engines: tuple[EngineVM, ...] = ()
    services: tuple[ServiceVM, ...] = ()
    engines_per_process: int = 8
    shutdown_s: float = 10.0
    log_level: str = "info"


@dataclass(kw_only=True, slots=True)
class Addresses:
    """Where each process of a fleet listens, by VM and purpose."""

    found: dict[tuple[str, str], str] = field(default_factory=dict)
    held: list[socket.socket] = field(default_factory=list)

    def of(self, name: str, purpose: str) -> str:
        """
        Find or reserve an address.

        :param name: of a VM.
        :param purpose: such as `mesh`.
        :return: `host:port`.
        """
        key = (name, purpose)
        if key not in self.found:
            address = free_address()
            self.held.append(hold(address))
            self.found[key] = address
        return self.found[key]

    def close(self) -> None:
        """Let go of the addresses."""
        for held in self.held:
            held.close()


class Fleet:
    """
    The processes of one deployment.

    :param plan: what it consists of.
    :param folder: for settings and logs.
    """

    def __init__(self, *, plan: FleetPlan, folder: Path):
        self.plan = plan
        self.folder = folder
        self.addresses = Addresses()
        self.processes: dict[str, Process] = {}

    async def start(self) -> None:
        """Start every process and wait until the entries are ready."""
        self._add_stand_ins()
        for engine in self.plan.engines:
            self._add_agent(engine.name, self._engine_settings(engine))
        for service in self.plan.services:
            self._add_agent(service.name, self._service_settings(service))
        for entry in self.plan.entries:
            self._add_entry(entry)
        for process in self.processes.values():
            process.start()
        await self.ready()

    async def ready(self) -> None:
        """Wait until each entry answers and knows each upstream."""
        upstreams = len(self.plan.engines) + len(self.plan.services)
        with anyio.fail_after(READY_TIMEOUT):
            for entry in self.plan.entries:
                await self._entry_ready(entry.name, upstreams)

    def stop(self) -> None:
        """End every process and let go of the addresses."""
        for process in self.processes.values():
            process.stop()
        self.addresses.close()

    def kill(self, name: str) -> None:
        """
        Kill a process.

        :param name: of its VM.
        """
        self.processes[name].send(signal.SIGKILL)
        self.processes[name].wait()

    def freeze(self, name: str) -> None:
        """
        Pause a process.

        :param name: of its VM.
        """
        self.processes[name].send(signal.SIGSTOP)

    def thaw(self, name: str) -> None:
        """
        Let a paused process go on.

        :param name: of its VM.
        """
        self.processes[name].send(signal.SIGCONT)

    def terminate(self, name: str) -> None:
        """
        Ask a process to end.

        :param name: of its VM.
        """
        self.processes[name].send(signal.SIGTERM)

    def caller_url(self, entry: str) -> str:
        """
        Tell where callers reach an entry.

        :param entry: its name.
        :return: base URL.
        """
        return f"http://{self.addresses.of(entry, 'callers')}"

    def admin_url(self, entry: str) -> str:
        """
        Tell where operators reach an entry.

        :param entry: its name.
        :return: base URL.
        """
        return f"http://{self.addresses.of(entry, 'admin')}"

    def engine_url(self, vm: str) -> str:
        """
        Tell where an engine listens.

        :param vm: its name.
        :return: base URL.
        """
        return f"http://{self.addresses.of(vm, 'engine')}"

    def service_url(self, vm: str) -> str:
        """
        Tell where a plain service listens.

        :param vm: its name.
        :return: base URL.
        """
        return f"http://{self.addresses.of(vm, 'service')}"

    def platform_url(self, purpose: str) -> str:
        """
        Tell where a service of the platform listens.

        :param purpose: `tables`, `objects` or `vms`.
        :return: base URL.
        """
        return f"http://{self.addresses.of(PLATFORM, purpose)}"

    def _add_stand_ins(self) -> None:
        platform = PlatformSpec(
            tables=self.addresses.of(PLATFORM, "tables"),
            objects=self.addresses.of(PLATFORM, "objects"),
            vms=self.addresses.of(PLATFORM, "vms"),
            listed=self._listed(),
        )
        self._add_stand_in(PLATFORM, StandInsSpec(platform=platform))
        specs = [self._engine_spec(engine) for engine in self.plan.engines]
        size = self.plan.engines_per_process
        for index in range(0, len(specs), size):
            spec = StandInsSpec(engines=tuple(specs[index : index + size]))
            self._add_stand_in(f"engines-{index // size}", spec)
        services = tuple(
            ServiceSpec(
                address=self.addresses.of(vm.name, "service"), seconds=vm.seconds
            )
            for vm in self.plan.services
        )
        if services:
            self._add_stand_in("services", StandInsSpec(services=services))

    def _add_stand_in(self, name: str, spec: StandInsSpec) -> None:
        path = self.folder / f"{name}.json"
        path.write_bytes(msgspec.json.encode(spec))
        self._add(name, ["-m", "kumquatway_fakes", str(path)])

    def _add_agent(self, name: str, settings: dict) -> None:
        path = self._write(name, settings)
        code = "from kumquatway_agent._cli import main; main()"
        self._add(name, ["-c", code, "--settings", str(path)])

    def _add_entry(self, entry: EntryVM) -> None:
        text = self.folder / "text.toml"
        text.write_text(self.plan.source)
        settings = {
            "name": entry.name,
            "data_centre": entry.data_centre,
            "mesh_address": self.addresses.of(entry.name, "mesh"),
            "caller_address": self.addresses.of(entry.name, "callers"),
            "admin_address": self.addresses.of(entry.name, "admin"),
            "admin_keys": [hashlib.sha256(ADMIN_KEY.encode()).hexdigest()],
            "text_file": str(text),
            "planner": False,  # the fleet's own plan says what each engine holds
            "seeds": [
                self.addresses.of(other.name, "mesh")
                for other in self.plan.entries
                if other is not entry
            ],
        }
        path = self._write(entry.name, settings)
        code = "from kumquatway._cli import main; main()"
        self._add(entry.name, ["-c", code, "serve", "--settings", str(path)])

    def _add(self, name: str, arguments: list[str]) -> None:
        log = self.folder / f"{name}.log"
        self.processes[name] = Process(name=name, arguments=arguments, log=log)

    def _write(self, name: str, settings: dict) -> Path:
        shared = {
            "shutdown_s": self.plan.shutdown_s,
            "platform": {
                "tables": [self.platform_url("tables")],
                "objects": [self.platform_url("objects")],
                "vms": self.platform_url("vms"),
            },
            "log": {"level": self.plan.log_level},
        }
        path = self.folder / f"{name}.toml"
        path.write_bytes(msgspec.toml.encode(settings | shared))
        return path

    def _engine_settings(self, vm: EngineVM) -> dict:
        bind = self.addresses.of(vm.name, "bind") if vm.relayed else ""
        return self._agent_settings(vm.name, vm.data_centre) | {
            "mesh_bind": bind or self.addresses.of(vm.name, "mesh"),
            "accelerator": vm.accelerator,
            "retained_mib": vm.retained_mib,
            "engine": {"url": self.engine_url(vm.name)},
        }

    def _service_settings(self, vm: ServiceVM) -> dict:
        service = {"name": vm.service, "url": self.service_url(vm.name)}
        return self._agent_settings(vm.name, vm.data_centre) | {"service": service}

    def _agent_settings(self, name: str, data_centre: str) -> dict:
        return {
            "vm": name,
            "data_centre": data_centre,
            "mesh_address": self.addresses.of(name, "mesh"),
            "http_address": self.addresses.of(name, "http"),
        }

    def _engine_spec(self, vm: EngineVM) -> EngineSpec:
        return EngineSpec(
            address=self.addresses.of(vm.name, "engine"),
            holdings=vm.holdings,
            layer_us=vm.layer_us,
            token_us=vm.token_us,
            slots=vm.slots,
        )

    def _listed(self) -> tuple[VM, ...]:
        upstreams = [
            self._vm(vm.name, vm.data_centre)
            for vm in (*self.plan.engines, *self.plan.services)
        ]
        entries = [
            msgspec.structs.replace(
                self._vm(vm.name, vm.data_centre), kind=VMKind.ENTRY
            )
            for vm in self.plan.entries
        ]
        return (*upstreams, *entries)

    def _vm(self, name: str, data_centre: str) -> VM:
        address = self.addresses.of(name, "mesh")
        return VM(name=name, address=address, data_centre=data_centre)

    async def _entry_ready(self, name: str, upstreams: int) -> None:
        headers = {"Authorization": f"Bearer {ADMIN_KEY}"}
        async with httpx.AsyncClient(base_url=self.admin_url(name)) as http:
            while not await _knows(http, headers, upstreams):
                self._check_running()
                await anyio.sleep(READY_POLL)

    def _check_running(self) -> None:
        for process in self.processes.values():
            if not process.running():
                log = process.log.read_text()[-2000:]
                raise RuntimeError(f"{process.name} ended: {log}")


async def _knows(http: httpx.AsyncClient, headers: dict, upstreams: int) -> bool:
    try:
        answer = await http.get("/admin/status", headers=headers)
    except httpx.TransportError:
        return False
    if answer.status_code != httpx.codes.OK:
        return False
    view = json.loads(answer.content)
    live = [member for member in view["members"] if member["state"] == "live"]
    return view["ready"] and len(live) == upstreams
