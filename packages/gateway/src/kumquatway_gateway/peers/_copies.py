"""
Serves and fetches copies of the configuration and of the list of servers.

An entry fetches a copy from a peer when the store cannot be reached, or when the peer's
copy is newer than its own.
"""

import time
from collections.abc import Callable
from typing import TypeVar

import msgspec
import xxhash
from loguru import logger

from kumquatway_core.decoding import (
    Age,
    Amount,
    Count,
    Integer,
    ItemwiseDecoder,
    Layer,
)
from kumquatway_core.exceptions import InvalidData
from kumquatway_gateway.fleet import Membership
from kumquatway_gateway.http1 import (
    CallerConnection,
    Fetcher,
    FetchFailed,
    IncomingRequest,
    Transfer,
)
from kumquatway_gateway.model import Gap, LayerRange, Server, ServerList, ServerState

CONFIGURATION_PATH = "/copy/configuration"
SERVERS_PATH = "/copy/servers"
MEDIA_TYPE = b"application/msgpack"
FETCH_TIMEOUT_SECONDS = 0.6
# Of a configuration, which may be long and is to be in force within 4 s.
CONFIGURATION_TRANSFER = Transfer(silence=FETCH_TIMEOUT_SECONDS, total=3.0)
# Of an entry, 10 Mbit/s, and how long copies of the configuration may take on it.
SLOWEST_LINK_BYTES_PER_SECOND = 1_250_000
MAX_SENDING_SECONDS = 0.5


class _ServerRecord(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    id: str
    service: str
    address: str
    data_centre: str
    leaving: bool
    incarnation: Count
    accelerator: str
    start: Layer
    stop: Layer
    version: Integer
    slots: Count


class ConfigurationCopy(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """
    A peer's configuration.

    :param revision: revision of the configuration.
    :param document: the configuration in the format of the store.
    :param read_in: generation of the store in which the peer read it, 0 if unknown.
    :param reissued_in: generation of the last reissue that the peer knows, or 0.
    """

    revision: Count
    document: bytes
    read_in: Count = 0
    reissued_in: Count = 0


class ServersCopy(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """
    A peer's list of servers, and those that it keeps though the list lacks them.

    :param age: seconds since the list was read from the store.
    :param records: the servers in the list and those that are kept.
    :param grace: seconds for which servers that the list lacks are kept after an outage
        of the store, for older versions.
    :param listed_at: when the store had the list, by its clock, seconds; 0 if unknown.
    :param generation: generation of the store that the list is from, 0 if unknown.
    :param gap: start and end of the last time for which the peer knows no list, by the
        store's clock, seconds; None if servers that the list lacks are not kept.
    :param lapsed: IDs of the servers that the list lacks.
    """

    age: Age
    records: tuple[_ServerRecord, ...]
    grace: Amount = 0.0
    listed_at: Amount = 0.0
    generation: Count = 0
    gap: tuple[Amount, Amount] | None = None
    lapsed: tuple[str, ...] = ()

    def server_list(self) -> ServerList:
        """Return the list as the store had it."""
        return ServerList(
            servers=self._servers(lapsed=False),
            listed_at=self.listed_at,
            generation=self.generation,
        )

    def lapsed_servers(self) -> dict[str, Server]:
        """
        Return the servers that the peer keeps though the list lacks them.

        :return: the servers by ID.
        """
        return self._servers(lapsed=True)

    def _servers(self, *, lapsed: bool) -> dict[str, Server]:
        names = frozenset(self.lapsed)
        return {
            record.id: _to_server(record)
            for record in self.records
            if (record.id in names) is lapsed
        }


_encoder = msgspec.msgpack.Encoder()
_configuration_decoder = ItemwiseDecoder(ConfigurationCopy, codec=msgspec.msgpack)
_servers_decoder = ItemwiseDecoder(ServersCopy, codec=msgspec.msgpack)
_Copy = TypeVar("_Copy")


class CopyServer:
    """
    Serves this entry's copies to peers.

    :param revision: returns the revision of the configuration that this entry uses.
    :param document: returns the configuration in the format of the store.
    :param membership: the servers, and the list that they are from.
    :param read_at: returns when the list was read from the store, seconds of `clock`.
    :param read_in: returns the generation of the store that the configuration was read
        in.
    :param reissued_in: returns the generation of the last reissue known, or 0.
    :param clock: returns monotonic seconds.
    """

    def __init__(
        self,
        *,
        revision: Callable[[], int],
        document: Callable[[], bytes],
        membership: Membership,
        read_at: Callable[[], float],
        read_in: Callable[[], int] = lambda: 0,
        reissued_in: Callable[[], int] = lambda: 0,
        clock: Callable[[], float] = time.monotonic,
    ):
        self.revision = revision
        self.read_in = read_in
        self.reissued_in = reissued_in
        self.document = document
        self.membership = membership
        self.read_at = read_at
        self.clock = clock
        self._sending_until = float("-inf")  # configurations, on the slowest link
        self._handlers = {
            CONFIGURATION_PATH: self._copy_configuration,
            SERVERS_PATH: self._copy_servers,
        }

    def handles(self, incoming: IncomingRequest) -> bool:
        """
        Return whether a request is for one of the copies.

        :param incoming: a request to this entry's address for peers.
        :return: True if `handle` serves it.
        """
        return incoming.method == "GET" and incoming.target in self._handlers

    def handle(self, caller: CallerConnection, incoming: IncomingRequest) -> None:
        """
        Respond with the requested copy.

        Load pattern: the first entries with a long configuration announce it, and all
        that cannot read the store ask these few. Those that are refused ask the next
        ones that announce it.

        :param caller: connection of the peer.
        :param incoming: a request for which `handles` is true.
        """
        is_configuration = incoming.target == CONFIGURATION_PATH
        if is_configuration and not self._may_send_configuration():
            caller.respond(503, [], b"", keep_alive=True)
            return
        copy = self._handlers[incoming.target]()
        fields = [(b"Content-Type", MEDIA_TYPE)]
        caller.respond(200, fields, _encoder.encode(copy), keep_alive=True)

    def _may_send_configuration(self) -> bool:
        """Tell whether the copies before have left, and count one more if so."""
        now = self.clock()
        if self._sending_until - now > MAX_SENDING_SECONDS:
            return False
        seconds = len(self.document()) / SLOWEST_LINK_BYTES_PER_SECOND
        self._sending_until = max(now, self._sending_until) + seconds
        return True

    def _copy_configuration(self) -> ConfigurationCopy:
        return ConfigurationCopy(
            revision=self.revision(),
            document=self.document(),
            read_in=self.read_in(),
            reissued_in=self.reissued_in(),
        )

    def _copy_servers(self) -> ServersCopy:
        membership = self.membership
        lapsed = membership.lapsed()
        listed = membership.newest.servers if membership.newest else {}
        age = self.clock() - self.read_at()
        return ServersCopy(
            age=min(1e6, age),
            records=tuple(_to_record(one) for one in {**listed, **lapsed}.values()),
            grace=membership.grace_left(age),
            listed_at=membership.newest.listed_at if membership.newest else 0.0,
            generation=membership.newest.generation if membership.newest else 0,
            gap=encode_gap(membership),
            lapsed=tuple(lapsed),
        )


class CopyClient:
    """
    Fetches copies from peers.

    :param fetcher: sends the requests.
    """

    def __init__(self, *, fetcher: Fetcher):
        self.fetcher = fetcher

    async def fetch_configuration(self, address: str) -> ConfigurationCopy | None:
        """
        Fetch a peer's configuration.

        :param address: address of the peer, `host:port`.
        :return: the copy, or None if the request failed or returned no valid copy.
        """
        return await self._fetch(
            address,
            CONFIGURATION_PATH,
            _configuration_decoder,
            CONFIGURATION_TRANSFER,
        )

    async def fetch_servers(self, address: str) -> ServersCopy | None:
        """
        Fetch a peer's list of servers.

        :param address: address of the peer, `host:port`.
        :return: the copy, or None if the request failed or returned no valid copy.
        """
        return await self._fetch(address, SERVERS_PATH, _servers_decoder)

    async def _fetch(
        self,
        address: str,
        path: str,
        decoder: ItemwiseDecoder[_Copy],
        transfer: Transfer | None = None,
    ) -> _Copy | None:
        def skip(field: str, error: InvalidData) -> None:
            logger.warning(
                "ignored an invalid part of {} in {} of peer {}: {}",
                field,
                path,
                address,
                error,
            )

        try:
            response = await self.fetcher.fetch(
                address,
                "GET",
                path,
                timeout=FETCH_TIMEOUT_SECONDS,
                transfer=transfer,
            )
            if response.status != 200:
                return None
            return decoder.decode(response.body, skip)
        except FetchFailed:
            return None
        except InvalidData as error:
            logger.warning("ignored an invalid {} of peer {}: {}", path, address, error)
            return None


def encode_gap(membership: Membership) -> tuple[float, float] | None:
    """
    Return what to tell peers of the last gap between two lists.

    :param membership: the servers, and the list that they are from.
    :return: start and end by the store's clock, seconds; None if it is over for long.
    """
    gap = membership.gaps.last
    if gap is None or membership.is_up_to_date():
        return None
    return gap.start, gap.end


def decode_gap(gap: tuple[float, float] | None) -> Gap | None:
    """
    Return the gap that a peer tells of, see `encode_gap`.

    :param gap: start and end by the store's clock, seconds, or None.
    """
    return None if gap is None else Gap(start=gap[0], end=gap[1])


def digest_servers(servers: dict[str, Server]) -> int:
    """
    Compute a digest of a list of servers, which is equal on all entries.

    :param servers: the servers by ID.
    :return: 64-bit hash.
    """
    records = sorted(
        (_to_record(server) for server in servers.values()),
        key=lambda record: record.id,
    )
    return xxhash.xxh3_64_intdigest(_encoder.encode(records))


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


def _to_server(record: _ServerRecord) -> Server:
    return Server(
        id=record.id,
        service=record.service,
        address=record.address,
        data_centre=record.data_centre,
        state=ServerState.LEAVING if record.leaving else ServerState.READY,
        incarnation=record.incarnation,
        accelerator=record.accelerator,
        layers=LayerRange(start=record.start, stop=record.stop),
        version=record.version,
        slots=record.slots,
    )


__all__ = [
    "ConfigurationCopy",
    "CopyClient",
    "CopyServer",
    "ServersCopy",
    "decode_gap",
    "digest_servers",
    "encode_gap",
]
