"""
Object store.

Bytes under names, in memory.
"""

from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from kumquatway_core.platform import ObjectNames
from kumquatway_fakes._faults import Gate, reply


class ObjectStore:
    """
    The stand-in of the object store.

    :param seed: of the faults.
    """

    def __init__(self, *, seed: int = 0):
        self.gate = Gate(seed=seed)
        self.objects: dict[str, bytes] = {}
        self.app = Starlette(
            routes=[
                Route("/objects", self._list, methods=["GET"]),
                Route("/objects/{name:path}", self._get, methods=["GET"]),
                Route("/objects/{name:path}", self._put, methods=["PUT"]),
                Route("/objects/{name:path}", self._delete, methods=["DELETE"]),
                *self.gate.routes(),
            ]
        )

    async def _list(self, request: Request) -> Response:
        prefix = request.query_params.get("prefix", "")
        after = request.query_params.get("after", "")
        limit = int(request.query_params.get("limit", "100"))

        def effect() -> Response:
            names = sorted(
                name
                for name in self.objects
                if name.startswith(prefix) and name > after
            )
            return reply(ObjectNames(names=tuple(names[:limit])))

        return await self.gate.read(effect)

    async def _get(self, request: Request) -> Response:
        name = request.path_params["name"]

        def effect() -> Response:
            if name not in self.objects:
                return Response(status_code=404)
            return Response(self.objects[name])

        return await self.gate.read(effect)

    async def _put(self, request: Request) -> Response:
        name = request.path_params["name"]
        data = await request.body()

        def effect() -> Response:
            self.objects[name] = data
            return Response()

        return await self.gate.write(effect)

    async def _delete(self, request: Request) -> Response:
        name = request.path_params["name"]

        def effect() -> Response:
            self.objects.pop(name, None)
            return Response()

        return await self.gate.write(effect)
