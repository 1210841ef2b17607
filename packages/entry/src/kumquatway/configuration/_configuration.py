"""
Configuration.

Keeps the highest valid revision of the text in force, and spreads it.
"""

import random
from collections.abc import Callable

import anyio
import msgspec
from loguru import logger

from kumquatway.configuration._parser import Parser
from kumquatway_core.decoding import decode
from kumquatway_core.events import ConfigurationChanged, Event
from kumquatway_core.exceptions import InvalidData
from kumquatway_core.revisions import (
    Accepted,
    EditResult,
    InDoubt,
    Replica,
    Revision,
    Revisions,
)
from kumquatway_core.text import Text
from kumquatway_core.wire import Message, RevisionCopy, RevisionSeen

FANOUT = 3  # peers told at a time
GOSSIP_INTERVAL = 1.0  # seconds
BOOTSTRAP = "bootstrap"  # the author of a first text from a file
BOOTSTRAP_RETRY = 0.5  # seconds
RESOLVE_RETRY = 1.0  # seconds


class Configuration:
    """
    The configuration of one entry.

    :param revisions: the store, with the parser's check.
    :param parser: reads texts.
    :param address: of this entry.
    :param peers: lists the addresses of other entries.
    :param send: sends a message to an address.
    :param emit: writes down an event.
    """

    def __init__(
        self,
        *,
        revisions: Revisions,
        parser: Parser,
        address: str,
        peers: Callable[[], list[str]],
        send: Callable[[str, Message], object],
        emit: Callable[[Event], object],
    ):
        self.revisions = revisions
        self.parser = parser
        self.address = address
        self.peers = peers
        self.send = send
        self.emit = emit
        self.replica = Replica(validate=parser.check, apply=self._apply)
        self.text: Text | None = None
        self.copies: dict[int, Revision] = {}
        self._sources: dict[int, str] = {}
        self._offered = anyio.Event()
        self.doubts: list[InDoubt] = []
        self._doubted = anyio.Event()

    def number(self) -> int:
        """
        Tell the revision in force.

        :return: its number, 0 before the first.
        """
        return self.replica.number

    async def watch(self) -> None:
        """Follow the store until cancelled."""
        await self.replica.watch(self.revisions)

    async def gossip(self) -> None:
        """Tell some peers which revision is in force, until cancelled."""
        while True:
            self.tell_peers()
            await anyio.sleep(GOSSIP_INTERVAL * random.uniform(0.8, 1.2))

    async def take_copies(self) -> None:
        """Take in the copies that peers sent, until cancelled."""
        while True:
            await self._offered.wait()
            self._offered = anyio.Event()
            copies, self.copies = self.copies, {}
            for number in sorted(copies):
                await self._offer(copies[number], "peer")

    async def bootstrap(self, source: str) -> None:
        """
        Store a first text if the store has none.

        :param source: TOML.
        """
        while not self.number():
            edit = await self.revisions.propose(source, 0, BOOTSTRAP)
            if isinstance(edit, Accepted):
                await self._offer(edit.revision, "file")
                return
            logger.debug("the first text is not stored: {}", edit)
            await self.replica.poll(self.revisions)
            await anyio.sleep(BOOTSTRAP_RETRY)

    async def propose(self, source: str, expected: int, author: str) -> EditResult:
        """
        Replace the text, if the expected revision is still in force.

        :param source: TOML.
        :param expected: the revision that the edit was made from.
        :param author: who makes it.
        :return: what became of the edit.
        """
        edit = await self.revisions.propose(source, expected, author)
        if isinstance(edit, Accepted):
            await self._offer(edit.revision, "admin")
        elif isinstance(edit, InDoubt):
            self.doubts.append(edit)
            self._doubted.set()
        return edit

    async def resolve_doubts(self, retry: float = RESOLVE_RETRY) -> None:
        """
        Find out what became of edits in doubt, until cancelled.

        :param retry: between tries, seconds.
        """
        while True:
            await self._doubted.wait()
            self._doubted = anyio.Event()
            while self.doubts:
                await self._resolve(self.doubts[0])
                await anyio.sleep(retry if self.doubts else 0)

    def tell_peers(self) -> None:
        """Tell some peers which revision is in force."""
        peers = self.peers()
        message = RevisionSeen(address=self.address, number=self.number())
        for address in random.sample(peers, min(FANOUT, len(peers))):
            self.send(address, message)

    def take_seen(self, seen: RevisionSeen) -> None:
        """
        Learn which revision a peer has; send it ours if that is higher.

        :param seen: as received.
        """
        if seen.number > self.number():
            # Its answer is a copy; to read the store as well would cost each entry
            # a read of the whole text at each change.
            message = RevisionSeen(address=self.address, number=self.number())
            self.send(seen.address, message)
        elif seen.number < self.number():
            revision = self.replica.current
            data = msgspec.msgpack.encode(revision)
            self.send(seen.address, RevisionCopy(number=revision.number, data=data))

    def take_copy(self, copy: RevisionCopy) -> None:
        """
        Take in a copy from a peer.

        :param copy: as received.
        """
        if copy.number <= self.number():
            return
        try:
            revision = decode(copy.data, Revision, codec=msgspec.msgpack)
        except InvalidData as error:
            logger.warning("a copy of revision {} is broken: {}", copy.number, error)
            return
        if revision.number != copy.number:
            logger.warning(
                "a copy of revision {} says that it is revision {}",
                copy.number,
                revision.number,
            )
            return
        self.copies[revision.number] = revision
        self._offered.set()

    async def _resolve(self, doubt: InDoubt) -> None:
        edit = await self.revisions.resolve(doubt)
        if isinstance(edit, InDoubt):
            return
        self.doubts.remove(doubt)
        logger.info("revision {} in doubt: {}", doubt.revision.number, type(edit))
        if isinstance(edit, Accepted):
            await self._offer(edit.revision, "admin")

    async def _offer(self, revision: Revision, source: str) -> None:
        self._sources[revision.number] = source
        if await self.replica.offer(revision):
            self.tell_peers()
        self._sources.pop(revision.number, None)

    async def _apply(self, revision: Revision) -> None:
        self.text = await self.parser.text(revision.text)
        source = self._sources.get(revision.number, "store")
        event = ConfigurationChanged(revision=revision.number, source=source)
        self.emit(event)
        logger.info("revision {} is in force, from {}", revision.number, source)
