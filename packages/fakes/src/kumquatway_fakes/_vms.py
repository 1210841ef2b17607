"""
VM list.

Shows the VMs as they were some time ago.
"""

import time
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

import msgspec
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from kumquatway_core.platform import VM, VMs
from kumquatway_core.wire import VMState
from kumquatway_fakes._faults import Gate


@dataclass(frozen=True, kw_only=True, slots=True)
class _Version:
    at: float
    vms: tuple[VM, ...]


class VMListService:
    """
    The stand-in of the lagging list of VMs.

    :param lag: age of what it shows, seconds.
    :param clock: a monotonic clock, seconds.
    """

    def __init__(
        self, *, lag: float = 0.0, clock: Callable[[], float] = time.monotonic
    ):
        self.gate = Gate()
        self.lag = lag
        self.clock = clock
        self.vms: dict[str, VM] = {}
        self.versions = deque([_Version(at=float("-inf"), vms=())])
        self.app = Starlette(
            routes=[Route("/vms", self._list, methods=["GET"]), *self.gate.routes()]
        )

    def put(self, vm: VM) -> None:
        """
        Add a VM or replace what is said of it.

        :param vm: the VM.
        """
        self.vms[vm.name] = vm
        self._record()

    def leave(self, name: str) -> None:
        """
        Mark a VM as leaving.

        :param name: its name.
        """
        self.put(msgspec.structs.replace(self.vms[name], state=VMState.LEAVING))

    def remove(self, name: str) -> None:
        """
        Take a VM off the list.

        :param name: its name.
        """
        self.vms.pop(name, None)
        self._record()

    def shown(self) -> VMs:
        """
        Give the list as callers see it now.

        :return: the VMs of `lag` seconds ago.
        """
        shown_at = self.clock() - self.lag
        while len(self.versions) > 1 and self.versions[1].at <= shown_at:
            self.versions.popleft()
        return VMs(vms=self.versions[0].vms, as_of=self.lag)

    def _record(self) -> None:
        version = _Version(at=self.clock(), vms=tuple(self.vms.values()))
        self.versions.append(version)

    async def _list(self, request: Request) -> Response:
        return await self.gate.read(lambda: self._answer())

    def _answer(self) -> Response:
        body = msgspec.json.encode(self.shown())
        return Response(body, media_type="application/json")
