"""
Copies.

The configuration and the list of servers, from a peer while the store is away.
"""

import time
from collections.abc import Callable
from typing import TypeVar

import msgspec
import xxhash

from kumquatway_gateway.http1 import (
    CallerConnection,
    Fetcher,
    FetchFailed,
    IncomingRequest,
)
from kumquatway_gateway.model import LayerRange, Server, ServerState

CONFIGURATION_PATH = "/copy/configuration"
SERVERS_PATH = "/copy/servers"
MEDIA_TYPE = b"application/msgpack"
FETCH_TIMEOUT_SECONDS = 0.6


class _ServerRecord(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    id: str
    service: str
    address: str
    data_centre: str
    leaving: bool
    incarnation: int
    accelerator: str
    start: int
    stop: int
    version: int
    slots: int


class ConfigurationCopy(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """
    A peer's configuration.

    :param document: the configuration as the store keeps it.
    """

    revision: int
    document: bytes


class ServersCopy(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """
    A peer's list of servers.

    :param age: seconds since it was read.
    :param grace: seconds for which entries that lapsed with the store stay listed.
    """

    age: float
    records: tuple[_ServerRecord, ...]
    grace: float = 0.0

    def servers(self) -> dict[str, Server]:
        """
        Give the list of servers.

        :return: the servers by id.
        """
        return {one.id: _to_server(one) for one in self.records}


_encoder = msgspec.msgpack.Encoder()
_T = TypeVar("_T")


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
        self._handlers = {
            CONFIGURATION_PATH: self._copy_configuration,
            SERVERS_PATH: self._copy_servers,
        }

    def handles(self, incoming: IncomingRequest) -> bool:
        """
        Tell whether a peer asks for a copy.

        :param incoming: a request on the peers' address.
        :return: True if it does.
        """
        return incoming.method == "GET" and incoming.target in self._handlers

    def handle(self, caller: CallerConnection, incoming: IncomingRequest) -> None:
        """
        Answer a peer's request.

        :param caller: the peer's connection.
        :param incoming: the request.
        """
        copy = self._handlers[incoming.target]()
        fields = [(b"Content-Type", MEDIA_TYPE)]
        caller.respond(200, fields, _encoder.encode(copy), keep_alive=True)

    def _copy_configuration(self) -> ConfigurationCopy:
        return ConfigurationCopy(revision=self.revision(), document=self.document())

    def _copy_servers(self) -> ServersCopy:
        return ServersCopy(
            age=min(1e6, self.clock() - self.read_at()),
            records=tuple(_to_record(one) for one in self.servers().values()),
            grace=self.grace(),
        )


class CopyClient:
    """
    Asks peers.

    :param fetcher: makes the calls.
    """

    def __init__(self, *, fetcher: Fetcher):
        self.fetcher = fetcher

    async def fetch_configuration(self, address: str) -> ConfigurationCopy | None:
        """
        Ask a peer for its configuration.

        :param address: where the peer answers, `host:port`.
        :return: its copy, or None if it did not answer with one.
        """
        return await self._fetch(address, CONFIGURATION_PATH, ConfigurationCopy)

    async def fetch_servers(self, address: str) -> ServersCopy | None:
        """
        Ask a peer for its list of servers.

        :param address: where the peer answers, `host:port`.
        :return: its copy, or None if it did not answer with one.
        """
        return await self._fetch(address, SERVERS_PATH, ServersCopy)

    async def _fetch(self, address: str, path: str, shape: type[_T]) -> _T | None:
        try:
            answer = await self.fetcher.fetch(
                address, "GET", path, timeout=FETCH_TIMEOUT_SECONDS
            )
            if answer.status != 200:
                return None
            return msgspec.msgpack.decode(answer.body, type=shape)
        except (FetchFailed, msgspec.MsgspecError):
            return None


def digest_servers(servers: dict[str, Server]) -> int:
    """
    Sum up a list of servers in a number, the same one at each entry.

    :param servers: by id.
    :return: 64 bits.
    """
    listed = sorted((_to_record(one) for one in servers.values()), key=lambda s: s.id)
    return xxhash.xxh3_64_intdigest(_encoder.encode(listed))


def _to_record(server: Server) -> _ServerRecord:
    return _ServerRecord(
        id=server.id,
        service=server.service,
        address=server.address,
        data_centre=server.data_centre,
        leaving=server.state is ServerState.LEAVING,
        incarnation=server.incarnation,
        accelerator=server.accelerator,
        start=server.layers.start,
        stop=server.layers.stop,
        version=server.version,
        slots=server.slots,
    )


def _to_server(one: _ServerRecord) -> Server:
    return Server(
        id=one.id,
        service=one.service,
        address=one.address,
        data_centre=one.data_centre,
        state=ServerState.LEAVING if one.leaving else ServerState.READY,
        incarnation=one.incarnation,
        accelerator=one.accelerator,
        layers=LayerRange(start=one.start, stop=one.stop),
        version=one.version,
        slots=one.slots,
    )


__all__ = [
    "ConfigurationCopy",
    "CopyClient",
    "CopyServer",
    "ServersCopy",
    "digest_servers",
]
