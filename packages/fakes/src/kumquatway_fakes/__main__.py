"""
Run stand-ins as a process of their own: `python -m kumquatway_fakes SPEC`.
"""

import sys
from pathlib import Path

import anyio

from kumquatway_core.http import serve
from kumquatway_fakes._engine import Engine, Speed, engine_app
from kumquatway_fakes._objects import ObjectStore
from kumquatway_fakes._service import PlainService, service_app
from kumquatway_fakes._spec import (
    EngineSpec,
    PlatformSpec,
    ServiceSpec,
    StandInsSpec,
    read_spec,
)
from kumquatway_fakes._table import TableService
from kumquatway_fakes._vms import VMListService


def make_engine(spec: EngineSpec) -> Engine:
    """
    Make an engine.

    :param spec: what it is like.
    :return: the engine.
    """
    return Engine(
        holdings=tuple(found.holding() for found in spec.holdings),
        speed=Speed(layer_us=spec.layer_us, token_us=spec.token_us),
        slots=spec.slots,
        memory_mib=spec.memory_mib,
        layer_mib=spec.layer_mib,
        load_seconds=spec.load_s,
        checks_fencing=spec.checks_fencing,
    )


def make_service(spec: ServiceSpec) -> PlainService:
    """
    Make a plain service.

    :param spec: what it is like.
    :return: the service.
    """
    service = PlainService()
    service.faults.seconds = spec.seconds
    return service


async def serve_platform(spec: PlatformSpec) -> None:
    """
    Serve the platform until cancelled.

    :param spec: where and what.
    """
    vms = VMListService(lag=spec.lag)
    for vm in spec.listed:
        vms.put(vm)
    async with anyio.create_task_group() as group:
        group.start_soon(serve, TableService().app, spec.tables)
        group.start_soon(serve, ObjectStore().app, spec.objects)
        group.start_soon(serve, vms.app, spec.vms)


async def serve_all(spec: StandInsSpec) -> None:
    """
    Serve until cancelled.

    :param spec: what to serve.
    """
    async with anyio.create_task_group() as group:
        if spec.platform is not None:
            group.start_soon(serve_platform, spec.platform)
        for engine in spec.engines:
            group.start_soon(serve, engine_app(make_engine(engine)), engine.address)
        for service in spec.services:
            app = service_app(make_service(service))
            group.start_soon(serve, app, service.address)


def main() -> None:
    """Run the stand-ins."""
    anyio.run(serve_all, read_spec(Path(sys.argv[1])))


if __name__ == "__main__":
    main()
