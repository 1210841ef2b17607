"""
Streams.

Brings messages and failures to the sessions that they are about.
"""

import itertools
import time
from collections.abc import Callable

import anyio

from kumquatway.streams._session import Ask, Routes, Session, ignore_first
from kumquatway_core import Reason, Verdict
from kumquatway_core.events import Event
from kumquatway_core.wire import Message, Pieces, Trouble

GAP_SAMPLE = 15  # streams

LOOK_INTERVAL = 0.1  # seconds


class Streams:
    """
    Every session of this entry.

    :param entry: address of this entry.
    :param routes: chooses upstreams.
    :param send: sends a message to an address.
    :param emit: writes down an event.
    :param on_first: told the seconds to the first token of each stream.
    """

    def __init__(
        self,
        *,
        entry: str,
        routes: Routes,
        send: Callable[[str, Message], object],
        emit: Callable[[Event], object],
        clock: Callable[[], float] = time.monotonic,
        on_first: Callable[[Session, float], None] = ignore_first,
    ):
        self.clock = clock
        self.entry = entry
        self.routes = routes
        self.send = send
        self.emit = emit
        self.on_first = on_first
        self.sessions: dict[str, Session] = {}
        self.unknown = 0
        self._end: Verdict | None = None

    async def watch(self) -> None:
        """Look at every session now and then, until cancelled."""
        while True:
            await anyio.sleep(LOOK_INTERVAL)
            now = self.clock()
            for session in list(self.sessions.values()):
                session.look(now)

    def open(self, ask: Ask) -> Session:
        """
        Begin a request.

        :param ask: what the caller wants.
        :return: its session; the caller of this method closes it.
        """
        session = Session(
            ask=ask,
            entry=self.entry,
            routes=self.routes,
            send=self.send,
            emit=self.emit,
            on_first=self.on_first,
        )
        self.sessions[ask.request] = session
        if self._end is not None:
            session.give_up(self._end)
        return session

    def close(self, session: Session) -> None:
        """
        End a request and free its upstreams.

        :param session: as opened.
        """
        self.sessions.pop(session.ask.request, None)
        session.close()

    def give_up(self, verdict: Verdict) -> None:
        """
        End every request early, also those that begin later.

        :param verdict: that the callers are told.
        """
        self._end = verdict
        for session in self.sessions.values():
            session.give_up(verdict)

    def usual_gap(self, name: str) -> float:
        """
        Tell the usual time between tokens of some streams of a model.

        :param name: of the model.
        :return: seconds, the middle of a sample; 0 if none has two tokens.
        """
        gaps = (s.usual_gap for s in self.sessions.values() if s.ask.name == name)
        sample = sorted(itertools.islice(filter(None, gaps), GAP_SAMPLE))
        return sample[len(sample) // 2] if sample else 0.0

    def take_pieces(self, pieces: Pieces) -> None:
        """
        Take in tokens.

        :param pieces: as received.
        """
        for piece in pieces.items:
            session = self.sessions.get(piece.request)
            if session is None:
                self.unknown += 1
                continue
            session.take_piece(piece)

    def take_trouble(self, trouble: Trouble, reporter: str = "") -> None:
        """
        Take in a failure of a stage.

        :param trouble: as received.
        :param reporter: address of the agent that says so, "" if not known.
        """
        session = self.sessions.get(trouble.request)
        if session is not None:
            session.take_trouble(trouble, reporter)

    def lose_address(
        self, address: str, detail: str, reason: Reason = Reason.SILENCE
    ) -> None:
        """
        Take in that an agent does not answer, or restarted.

        :param address: of the agent.
        :param detail: one line for people.
        :param reason: `SILENCE`, or `UNREACHABLE` if its process has ended.
        """
        for session in list(self.sessions.values()):
            session.lose_address(address, detail, reason)
