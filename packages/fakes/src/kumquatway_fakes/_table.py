"""
Table service.

Rows in memory with revisions, and transactions over many of them.
"""

from dataclasses import dataclass

import msgspec
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from kumquatway_core.platform import (
    ABSENT,
    FIRST_GENERATION,
    GENERATION_HEADER,
    Committed,
    Conflicts,
    Expectation,
    Key,
    ReadRequest,
    Row,
    Rows,
    ScanRequest,
    Transaction,
)
from kumquatway_fakes._faults import Gate, reply

_read = msgspec.msgpack.Decoder(ReadRequest)
_scan = msgspec.msgpack.Decoder(ScanRequest)
_transaction = msgspec.msgpack.Decoder(Transaction)


@dataclass(frozen=True, kw_only=True, slots=True)
class Snapshot:
    """A copy of the table service's rows, and the revision of the last write in it."""

    rows: dict[Key, Row]
    revision: int


class TableService:
    """
    The stand-in of the transactional table service.

    :param seed: of the faults.
    """

    def __init__(self, *, seed: int = 0):
        self.gate = Gate(seed=seed)
        self.rows: dict[Key, Row] = {}
        self.revision = ABSENT
        self.generation = FIRST_GENERATION
        self.app = Starlette(
            routes=[
                Route("/rows/read", self._read, methods=["POST"]),
                Route("/rows/scan", self._scan, methods=["POST"]),
                Route("/transactions", self._commit, methods=["POST"]),
                *self.gate.routes(),
            ]
        )

    def get(self, table: str, key: str) -> Row | None:
        """
        Look at a row, as tests do.

        :param table: the table's name.
        :param key: the row's key.
        :return: the row, if it exists.
        """
        return self.rows.get(Key(table=table, key=key))

    def take_snapshot(self) -> Snapshot:
        """
        Copy the rows, as a backup does.

        :return: the copy.
        """
        return Snapshot(rows=dict(self.rows), revision=self.revision)

    def restore(self, snapshot: Snapshot) -> None:
        """
        Come back from a copy: what was written since is lost, in a new generation.

        :param snapshot: the copy.
        """
        self.rows = dict(snapshot.rows)
        self.revision = snapshot.revision
        self.generation += 1

    def apply(self, transaction: Transaction) -> Committed | Conflicts:
        """
        Run a transaction at once.

        :param transaction: the expectations and the writes.
        :return: the new revisions, or those found.
        """
        found = tuple(
            self._found(expectation)
            for expectation in transaction.expectations
            if self._found(expectation) != expectation
        )
        if found:
            return Conflicts(found=found)
        for key in transaction.deletes:
            self.rows.pop(key, None)
        return Committed(revisions=tuple(self._put(put) for put in transaction.puts))

    def _found(self, expectation: Expectation) -> Expectation:
        row = self.get(expectation.table, expectation.key)
        revision = row.revision if row else ABSENT
        return Expectation(
            table=expectation.table, key=expectation.key, revision=revision
        )

    def _put(self, put) -> int:
        self.revision += 1
        self.rows[Key(table=put.table, key=put.key)] = Row(
            table=put.table, key=put.key, value=put.value, revision=self.revision
        )
        return self.revision

    async def _read(self, request: Request) -> Response:
        question = _read.decode(await request.body())
        return await self.gate.read(
            lambda: self._reply(Rows(rows=self._pick(question)))
        )

    async def _scan(self, request: Request) -> Response:
        question = _scan.decode(await request.body())
        return await self.gate.read(
            lambda: self._reply(Rows(rows=self._page(question)))
        )

    async def _commit(self, request: Request) -> Response:
        transaction = _transaction.decode(await request.body())

        def effect() -> Response:
            outcome = self.apply(transaction)
            return self._reply(outcome, 200 if isinstance(outcome, Committed) else 409)

        return await self.gate.write(effect)

    def _reply(self, message: msgspec.Struct, status: int = 200) -> Response:
        response = reply(message, status)
        response.headers[GENERATION_HEADER] = str(self.generation)
        return response

    def _pick(self, question: ReadRequest) -> tuple[Row, ...]:
        return tuple(self.rows[key] for key in question.keys if key in self.rows)

    def _page(self, question: ScanRequest) -> tuple[Row, ...]:
        keys = sorted(
            key.key
            for key in self.rows
            if key.table == question.table
            and key.key.startswith(question.prefix)
            and key.key > question.after
        )
        page = keys[: question.limit]
        return tuple(self.rows[Key(table=question.table, key=key)] for key in page)
