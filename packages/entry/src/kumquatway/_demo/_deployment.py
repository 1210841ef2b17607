"""
Deployment.

Entries, agents and stand-ins as tasks of one process.
"""

from dataclasses import dataclass, field

import anyio
import httpx

from kumquatway._entry import Entry
from kumquatway_agent import Agent
from kumquatway_core.http import serve
from kumquatway_core.platform import VM, VMKind
from kumquatway_core.settings import (
    AgentSettings,
    EngineSettings,
    EntrySettings,
    PlatformSettings,
    ServiceSettings,
)
from kumquatway_core.text import parse
from kumquatway_core.wire import Holding
from kumquatway_fakes import (
    Engine,
    ObjectStore,
    PlainService,
    Speed,
    TableService,
    VMListService,
    engine_app,
    free_address,
    service_app,
)

READY_TIMEOUT = 30.0  # seconds
READY_POLL = 0.05  # seconds
SHUTDOWN = 10.0  # seconds


@dataclass(frozen=True, kw_only=True, slots=True)
class Pipeline:
    """
    Engines that hold one model together.

    :param model: its name in the text.
    :param stages: engines in a chain.
    :param replicas: chains.
    :param speed: of each engine.
    """

    model: str
    stages: int
    replicas: int
    speed: Speed = field(default_factory=Speed)


@dataclass(frozen=True, kw_only=True, slots=True)
class Layout:
    """
    What a deployment consists of.

    :param services: upstreams of each plain service, by name.
    :param planned: the engines start empty, and an entry plans what they hold.
    :param admin_key: digest of the operators' bearer key.
    """

    entries: int
    pipelines: tuple[Pipeline, ...]
    services: dict[str, int]
    admin_key: str
    caller_address: str = ""
    planned: bool = False


class Deployment:
    """
    A running deployment.

    :param source: the text to put in force, TOML.
    :param layout: what it consists of.
    """

    def __init__(self, *, source: str, layout: Layout):
        self.source = source
        self.text = parse(source, "text")
        self.layout = layout
        self.table = TableService()
        self.objects = ObjectStore()
        self.vms = VMListService()
        self.engines: dict[str, Engine] = {}
        self.services: dict[str, PlainService] = {}
        self.agents: dict[str, Agent] = {}
        self.entries: list[Entry] = []
        self.platform = self._addresses()
        self.left = anyio.Event()
        self._group: anyio.abc.TaskGroup | None = None

    async def run(self, *, task_status=anyio.TASK_STATUS_IGNORED) -> None:
        """Run until cancelled; started once every upstream may take work."""
        async with anyio.create_task_group() as group:
            self._group = group
            self._start_platform(group)
            await self._start_engines(group)
            await self._start_services(group)
            for _ in range(self.layout.entries):
                await self._start_entry(group)
            await self._ready()
            task_status.started()

    def leave(self) -> None:
        """Let requests in progress end: entries first, then agents."""
        if self._group is not None:
            self._group.start_soon(self._leave)

    async def _leave(self) -> None:
        for entry in self.entries:
            entry.leave()
        with anyio.move_on_after(SHUTDOWN):
            while any(entry.in_progress() for entry in self.entries):
                await anyio.sleep(READY_POLL)
        self.left.set()

    def stop(self) -> None:
        """End every task at once."""
        if self._group is not None:
            self._group.cancel_scope.cancel()

    def vm_name(self, model: str, replica: int, stage: int) -> str:
        """
        Name the VM of an engine.

        :param model: that it holds a range of.
        :param replica: index of the chain.
        :param stage: index in the chain.
        :return: the name.
        """
        return f"{model}-{replica}-{stage}"

    def _addresses(self) -> PlatformSettings:
        return PlatformSettings(
            tables=(f"http://{free_address()}",),
            objects=(f"http://{free_address()}",),
            vms=f"http://{free_address()}",
        )

    def _start_platform(self, group: anyio.abc.TaskGroup) -> None:
        for app, url in (
            (self.table.app, self.platform.tables[0]),
            (self.objects.app, self.platform.objects[0]),
            (self.vms.app, self.platform.vms),
        ):
            group.start_soon(serve, app, url.removeprefix("http://"))

    async def _start_engines(self, group: anyio.abc.TaskGroup) -> None:
        centres = list(self.text.data_centres) or ["local"]
        for pipeline in self.layout.pipelines:
            model = self.text.models[pipeline.model]
            for replica in range(pipeline.replicas):
                centre = centres[replica % len(centres)]
                for stage, holding in enumerate(_split(pipeline, model)):
                    name = self.vm_name(pipeline.model, replica, stage)
                    engine = Engine(
                        holdings=() if self.layout.planned else (holding,),
                        speed=pipeline.speed,
                        layer_mib=model.layer_mib,
                    )
                    await self._start_engine(group, name, centre, engine)

    async def _start_engine(
        self, group: anyio.abc.TaskGroup, name: str, centre: str, engine: Engine
    ) -> None:
        self.engines[name] = engine
        address = free_address()
        group.start_soon(serve, engine_app(engine), address)
        accelerator = next(iter(self.text.accelerators), "any")
        settings = AgentSettings(
            vm=name,
            data_centre=centre,
            mesh_address=free_address(),
            http_address=free_address(),
            platform=self.platform,
            accelerator=accelerator,
            engine=EngineSettings(url=f"http://{address}"),
            shutdown_s=SHUTDOWN,
        )
        await self._start_agent(group, settings)

    async def _start_services(self, group: anyio.abc.TaskGroup) -> None:
        centres = list(self.text.data_centres) or ["local"]
        for service, count in self.layout.services.items():
            for index in range(count):
                name = f"{service}-{index}"
                address = free_address()
                self.services[name] = PlainService()
                group.start_soon(serve, service_app(self.services[name]), address)
                settings = AgentSettings(
                    vm=name,
                    data_centre=centres[index % len(centres)],
                    mesh_address=free_address(),
                    http_address=free_address(),
                    platform=self.platform,
                    service=ServiceSettings(name=service, url=f"http://{address}"),
                    shutdown_s=SHUTDOWN,
                )
                await self._start_agent(group, settings)

    async def _start_agent(
        self, group: anyio.abc.TaskGroup, settings: AgentSettings
    ) -> None:
        agent = Agent(settings=settings)
        self.agents[settings.vm] = agent
        await group.start(agent.run)
        self.vms.put(
            VM(
                name=settings.vm,
                address=settings.mesh_address,
                data_centre=settings.data_centre,
                accelerator=settings.accelerator,
                service=settings.service.name if settings.service else "",
            )
        )

    async def _start_entry(self, group: anyio.abc.TaskGroup) -> None:
        first = not self.entries
        caller = self.layout.caller_address if first else ""
        settings = EntrySettings(
            name=f"entry-{len(self.entries)}",
            data_centre=next(iter(self.text.data_centres), "local"),
            mesh_address=free_address(),
            caller_address=caller or free_address(),
            admin_address=free_address(),
            platform=self.platform,
            admin_keys=(self.layout.admin_key,),
            planner=self.layout.planned,
            shutdown_s=SHUTDOWN,
        )
        self.vms.put(
            VM(
                name=settings.name,
                address=settings.mesh_address,
                data_centre=settings.data_centre,
                kind=VMKind.ENTRY,
            )
        )
        entry = Entry(settings=settings, source=self.source)
        self.entries.append(entry)
        await group.start(entry.run)

    async def _ready(self) -> None:
        """Wait until each entry knows each upstream and answers callers."""
        with anyio.fail_after(READY_TIMEOUT):
            for entry in self.entries:
                await _answers(entry.settings.caller_address)
                while len(entry.members.live()) < len(self.agents):
                    await anyio.sleep(READY_POLL)


def _split(pipeline: Pipeline, model) -> list[Holding]:
    """Split the layers of a model into equal ranges."""
    bounds = [
        model.layers * stage // pipeline.stages for stage in range(pipeline.stages + 1)
    ]
    return [
        Holding(
            model=pipeline.model,
            version=model.version,
            first=first,
            end=end,
            adapters=model.adapters,
        )
        for first, end in zip(bounds, bounds[1:], strict=False)
    ]


async def _answers(address: str) -> None:
    async with httpx.AsyncClient(base_url=f"http://{address}") as http:
        while True:
            try:
                answer = await http.get("/readyz")
                if answer.status_code == httpx.codes.OK:
                    return
            except httpx.TransportError:
                pass
            await anyio.sleep(READY_POLL)
