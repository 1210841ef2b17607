"""Tracks which servers asked this entry to send nothing for a while."""

import time
from collections.abc import Callable, Collection
from dataclasses import dataclass

from loguru import logger

from kumquatway_gateway.model import Server

MAX_PAUSE_SECONDS = 120.0  # longer than any caller of the users' platform waits
# The users' platform tolerates two requests in a pause; a health check sends up to two.
MAX_CHECKS_PER_PAUSE = 1


@dataclass(kw_only=True, slots=True)
class _Pause:
    """
    A pause that one incarnation of a server asked for.

    :param asked_at: when it last asked for it, monotonic seconds.
    :param until: end of the pause, monotonic seconds.
    :param checks_left: health checks that may still reach the server.
    """

    incarnation: int
    asked_at: float
    until: float
    checks_left: int = MAX_CHECKS_PER_PAUSE


class Pauses:
    """
    The pauses that servers asked this entry for; other entries have their own.

    Load pattern: a few crawling servers turn requests away and name the time after
    which they have caught up. Requests and retries that reach them before that time
    are refused as well, and make the callers wait.

    :param clock: monotonic seconds.
    """

    def __init__(self, *, clock: Callable[[], float] = time.monotonic):
        self.clock = clock
        self._pauses: dict[str, _Pause] = {}

    def start(self, server: Server, seconds: float) -> bool:
        """
        Start a pause; one that ends earlier than the current one changes nothing.

        :param server: server that asked for it.
        :param seconds: for how long; limited to `MAX_PAUSE_SECONDS`.
        :return: whether the server was not paused before.
        """
        if seconds > MAX_PAUSE_SECONDS:
            logger.warning(
                "server {} asked for a pause of {} s, limited to {} s",
                server.id,
                seconds,
                MAX_PAUSE_SECONDS,
            )
            seconds = MAX_PAUSE_SECONDS
        now = self.clock()
        until = now + seconds
        current = self._current(server)
        if current is not None:
            current.asked_at = now
            current.until = max(current.until, until)
            return False
        self._pauses[server.id] = _Pause(
            incarnation=server.incarnation, asked_at=now, until=until
        )
        return True

    def pass_on(self, server: Server, next_run: Server, *, since: float) -> None:
        """
        Count a pause for the next run of a server, which asked for it.

        :param server: the server as it was listed before.
        :param next_run: the server as it is listed now.
        :param since: when the next run first responded, monotonic seconds.
        """
        current = self._current(server)
        if current is not None and current.asked_at >= since:
            current.incarnation = next_run.incarnation

    def is_paused(self, server: Server) -> bool:
        """
        Tell whether a server is to get no requests now.

        :param server: a listed server.
        """
        return self._current(server) is not None

    def end(self, server: Server) -> float:
        """
        Return when the pause of a server ends.

        :param server: a listed server.
        :return: monotonic seconds; the present if it is not paused.
        """
        current = self._current(server)
        return self.clock() if current is None else current.until

    def may_check(self, server: Server) -> bool:
        """
        Tell whether a health check may be sent; counts those of a paused server.

        :param server: a listed server.
        """
        current = self._current(server)
        if current is None:
            return True
        if not current.checks_left:
            return False
        current.checks_left -= 1
        return True

    def forget_all_but(self, server_ids: Collection[str]) -> None:
        """
        Forget the pauses of servers that are no longer listed.

        :param server_ids: IDs of the listed servers.
        """
        for name in [name for name in self._pauses if name not in server_ids]:
            del self._pauses[name]

    def _current(self, server: Server) -> _Pause | None:
        pause = self._pauses.get(server.id)
        if pause is None or pause.incarnation != server.incarnation:
            return None
        return pause if pause.until > self.clock() else None
