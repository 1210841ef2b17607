"""
Copies.

The configuration and the list of servers, from a peer while the store is away.
"""

import time
from collections.abc import Callable

import msgspec
import xxhash

from kumquatway_gateway.http1 import (
    CallerConnection,
    Fetcher,
    FetchFailed,
    Incoming,
)
from kumquatway_gateway.model import LayerRange, Server, ServerState

PATH = "/copy"
MEDIA_TYPE = b"application/msgpack"
TIMEOUT_SECONDS = 0.6


class _Server(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    id: str
    service: str
    address: str
    data_centre: str
    leaving: bool
    born: int
    accelerator: str
    start: int
    stop: int
    version: int
    slots: int


class Copy(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """
    What a peer has.

    :param revision: of the configuration.
    :param document: the configuration as the store keeps it.
    :param age: seconds since the peer's list of servers was read.
    :param grace: seconds for which entries that lapsed with the store stay listed.
    """

    revision: int
    document: bytes
    age: float
    listed: tuple[_Server, ...]
    grace: float = 0.0

    def servers(self) -> dict[str, Server]:
        """
        Give the list of servers.

        :return: the servers by id.
        """
        return {one.id: _to_server(one) for one in self.listed}


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Copy)


class CopyServer:
    """
    Answers peers.

    :param revision: gives the revision in force.
    :param document: gives the configuration's document.
    :param servers: gives the list of servers.
    :param read_at: gives when the list was read, seconds of `clock`.
    :param grace: gives the seconds for which lapsed entries stay listed.
    """

    def __init__(
        self,
        *,
        revision: Callable[[], int],
        document: Callable[[], bytes],
        servers: Callable[[], dict[str, Server]],
        read_at: Callable[[], float],
        grace: Callable[[], float],
        clock: Callable[[], float] = time.monotonic,
    ):
        self.revision = revision
        self.document = document
        self.servers = servers
        self.read_at = read_at
        self.grace = grace
        self.clock = clock

    def answer(self, caller: CallerConnection, incoming: Incoming) -> None:
        """
        Answer a peer's request.

        :param caller: the peer's connection.
        :param incoming: the request.
        """
        copy = Copy(
            revision=self.revision(),
            document=self.document(),
            age=min(1e6, self.clock() - self.read_at()),
            listed=tuple(_from_server(one) for one in self.servers().values()),
            grace=self.grace(),
        )
        fields = [(b"Content-Type", MEDIA_TYPE)]
        caller.respond(200, fields, _encoder.encode(copy), keep=True)


class Copies:
    """
    Asks peers.

    :param fetcher: makes the calls.
    """

    def __init__(self, *, fetcher: Fetcher):
        self.fetcher = fetcher

    async def fetch(self, address: str) -> Copy | None:
        """
        Ask a peer for what it has.

        :param address: where the peer answers, `host:port`.
        :return: its copy, or None if it did not answer with one.
        """
        try:
            answer = await self.fetcher.fetch(
                address, "GET", PATH, timeout=TIMEOUT_SECONDS
            )
            return _decoder.decode(answer.body) if answer.status == 200 else None
        except (FetchFailed, msgspec.MsgspecError):
            return None


def is_copy_request(incoming: Incoming) -> bool:
    """
    Tell whether a peer asks for a copy.

    :param incoming: a request on the peers' address.
    :return: True if it does.
    """
    return incoming.method == "GET" and incoming.target == PATH


def stamp_servers(servers: dict[str, Server]) -> int:
    """
    Sum up a list of servers in a number, the same one at each entry.

    :param servers: by id.
    :return: 64 bits.
    """
    listed = sorted((_from_server(one) for one in servers.values()), key=lambda s: s.id)
    return xxhash.xxh3_64_intdigest(_encoder.encode(listed))


def _from_server(server: Server) -> _Server:
    return _Server(
        id=server.id,
        service=server.service,
        address=server.address,
        data_centre=server.data_centre,
        leaving=server.state is ServerState.LEAVING,
        born=server.born,
        accelerator=server.accelerator,
        start=server.layers.start,
        stop=server.layers.stop,
        version=server.version,
        slots=server.slots,
    )


def _to_server(one: _Server) -> Server:
    return Server(
        id=one.id,
        service=one.service,
        address=one.address,
        data_centre=one.data_centre,
        state=ServerState.LEAVING if one.leaving else ServerState.READY,
        born=one.born,
        accelerator=one.accelerator,
        layers=LayerRange(start=one.start, stop=one.stop),
        version=one.version,
        slots=one.slots,
    )


__all__ = ["Copies", "Copy", "CopyServer", "is_copy_request", "stamp_servers"]
