"""Client of the platform's transactional table service."""

from http import HTTPStatus

import httpx
import msgspec

from kumquatway_core.decoding import Decoder, parse_count
from kumquatway_core.exceptions import Conflict, ResponseLost
from kumquatway_core.platform._channel import Channel, decode_body
from kumquatway_core.platform._generation import (
    GENERATION_HEADER,
    UNKNOWN_GENERATION,
    GenerationTracker,
)
from kumquatway_core.platform._messages import (
    Committed,
    Conflicts,
    Key,
    ReadRequest,
    Row,
    Rows,
    ScanRequest,
    Transaction,
)

_encoder = msgspec.msgpack.Encoder()
_rows_decoder = Decoder(Rows, codec=msgspec.msgpack)
_committed_decoder = Decoder(Committed, codec=msgspec.msgpack)
_conflicts_decoder = Decoder(Conflicts, codec=msgspec.msgpack)


class Table:
    """
    Reads rows and commits transactions.

    :param channel: channel to the table service.
    """

    def __init__(self, *, channel: Channel):
        self.channel = channel
        self.generations = GenerationTracker()

    @property
    def generation(self) -> int:
        """Return the generation of the store, or `UNKNOWN_GENERATION`."""
        return self.generations.current

    async def read(self, keys: tuple[Key, ...]) -> tuple[Row, ...]:
        """
        Read rows, all at the same moment.

        :param keys: keys of the rows.
        :return: the rows that exist.
        :raises PlatformError: if the service did not serve the call.
        """
        return await self._fetch_rows("/rows/read", ReadRequest(keys=keys))

    async def scan(
        self, table: str, prefix: str = "", after: str = "", limit: int = 100
    ) -> tuple[Row, ...]:
        """
        Read a page of rows in the order of their keys.

        :param table: name of the table.
        :param prefix: prefix of the keys.
        :param after: last key of the previous page, or "" for the first page.
        :param limit: maximum number of rows to return.
        :return: the rows.
        :raises PlatformError: if the service did not serve the call.
        """
        scan = ScanRequest(table=table, prefix=prefix, after=after, limit=limit)
        return await self._fetch_rows("/rows/scan", scan)

    async def commit(
        self, transaction: Transaction, generation: int = UNKNOWN_GENERATION
    ) -> Committed:
        """
        Commit a transaction. The call is never retried here.

        :param transaction: the expectations, writes and deletes.
        :param generation: generation of the store in which the expected revisions were
            read, if there are any.
        :return: the new revisions of the rows written.
        :raises Conflict: if an expectation failed; nothing was written.
        :raises PlatformUnavailable: if the service could not be reached or refused the
            call; nothing was written.
        :raises ResponseLost: if the transaction may have been applied or may still be.
        """
        self.generations.check_before_write(generation)
        body = _encoder.encode(transaction)
        response = await self.channel.call("POST", "/transactions", body)
        self._observe(response)
        if response.status_code == HTTPStatus.CONFLICT:
            found = decode_body(_conflicts_decoder, response.content).found
            raise Conflict(f"{len(found)} rows had another revision", found)
        _expect_ok(response.status_code)
        self.generations.check_unchanged(generation)
        return decode_body(_committed_decoder, response.content)

    async def _fetch_rows(
        self, path: str, request: ReadRequest | ScanRequest
    ) -> tuple[Row, ...]:
        response = await self.channel.call_idempotent(
            "POST", path, _encoder.encode(request)
        )
        self._observe(response)
        _expect_ok(response.status_code)
        return decode_body(_rows_decoder, response.content).rows

    def _observe(self, response: httpx.Response) -> None:
        value = response.headers.get(GENERATION_HEADER, "")
        number = parse_count(value.encode())
        self.generations.observe(UNKNOWN_GENERATION if number is None else number)


def _expect_ok(status: int) -> None:
    if status != HTTPStatus.OK:
        raise ResponseLost(f"the table service responded with status {status}")
