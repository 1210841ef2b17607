"""Runs scenarios of requests in virtual time: nothing waits, and no instant is late."""

import asyncio
import inspect
import selectors
import socket
import sys
import time
from collections.abc import Callable, Coroutine, Iterator
from contextlib import ExitStack, contextmanager
from types import FunctionType
from typing import TypeVar
from unittest.mock import patch

T = TypeVar("T")
START = 1000.0  # monotonic seconds
DEADLOCK_SECONDS = 10.0  # of real time, without a timer and without a byte
# Share of the time until the next timer for which bytes may still be on their way, in
# real time, and its bounds in seconds.
DELIVERY_SHARE = 0.02
MIN_DELIVERY, MAX_DELIVERY = 0.001, 0.02
CONNECT_RETRY_SECONDS = 1.0  # as Linux has it for the first attempts
_read_real_clock = time.clock_gettime


class Clock:
    """Clock that the event loop advances when it has nothing to do."""

    def __init__(self):
        self.elapsed = 0.0
        self.started_at = time.time()

    def advance(self, seconds: float) -> None:
        """Let time pass."""
        self.elapsed += max(seconds, 0.0)

    def monotonic(self) -> float:
        """Return monotonic seconds."""
        return START + self.elapsed

    def wall(self) -> float:
        """Return seconds since the epoch."""
        return self.started_at + self.elapsed

    def read(self, clock_id: int) -> float:
        """Return seconds of the clock that has some number on Linux."""
        if clock_id in (time.CLOCK_MONOTONIC, time.CLOCK_BOOTTIME):
            return self.monotonic()
        if clock_id == time.CLOCK_REALTIME:
            return self.wall()
        return _read_real_clock(clock_id)


class _Selector(selectors.SelectSelector):
    """Passes the time until the next timer at once."""

    def __init__(self, clock: Clock):
        super().__init__()
        self.clock = clock

    def select(self, timeout: float | None = None) -> list:
        if timeout is None:
            raise RuntimeError("tasks wait for something that never happens")
        self.clock.advance(timeout)
        return []


class _SocketSelector(selectors.DefaultSelector):
    """Passes the time until the next timer once no byte is on its way."""

    def __init__(self, clock: Clock):
        super().__init__()
        self.clock = clock

    def select(self, timeout: float | None = None) -> list:
        if ready := super().select(0):
            return ready
        if timeout is None:
            if ready := super().select(DEADLOCK_SECONDS):
                return ready
            raise RuntimeError("tasks wait for something that never happens")
        if timeout <= 0:
            return []
        delivery = min(max(MIN_DELIVERY, DELIVERY_SHARE * timeout), MAX_DELIVERY)
        if ready := super().select(delivery):
            return ready
        self.clock.advance(timeout)
        return []


class _Loop(asyncio.SelectorEventLoop):
    """
    Event loop that repeats attempts to connect in virtual time.

    :ivar dropping: host and port of listeners for which the kernel drops them.
    """

    def __init__(self, clock: Clock):
        super().__init__(_SocketSelector(clock))
        self.dropping: set[tuple[str, int]] = set()

    async def sock_connect(self, sock: socket.socket, address: tuple) -> None:
        while address in self.dropping:
            await asyncio.sleep(CONNECT_RETRY_SECONDS)
        await super().sock_connect(sock, address)


class _Policy(asyncio.DefaultEventLoopPolicy):
    """Creates event loops of which all wait in virtual time."""

    def __init__(self, clock: Clock):
        super().__init__()
        self.clock = clock

    def new_event_loop(self) -> asyncio.AbstractEventLoop:
        return _Loop(self.clock)


def run_in_virtual_time(scenario: Callable[[], Coroutine[None, None, T]]) -> T:
    """
    Run a scenario without sockets, and return its result.

    :param scenario: creates all that has a clock.
    """
    clock = Clock()

    def create_loop() -> asyncio.AbstractEventLoop:
        return asyncio.SelectorEventLoop(_Selector(clock))

    with replaced_clocks(clock), asyncio.Runner(loop_factory=create_loop) as runner:
        return runner.run(scenario())


@contextmanager
def virtual_time() -> Iterator[Clock]:
    """
    Let all event loops that are created meanwhile run in virtual time.

    Their sockets must be connected within this process: time passes as soon as no byte
    is on its way between them.
    """
    clock = Clock()
    policy = asyncio.get_event_loop_policy()
    with replaced_clocks(clock):
        asyncio.set_event_loop_policy(_Policy(clock))
        try:
            yield clock
        finally:
            asyncio.set_event_loop_policy(policy)


@contextmanager
def replaced_clocks(clock: Clock) -> Iterator[None]:
    """Replace the clocks of this process, and those that functions have by default."""
    clocks = {time.monotonic: clock.monotonic, time.time: clock.wall}
    originals = {replaced: original for original, replaced in clocks.items()}
    with ExitStack() as stack:
        _exchange_defaults(clocks)
        # What a module has by default that was imported meanwhile, too.
        stack.callback(_exchange_defaults, originals)
        stack.enter_context(patch("time.monotonic", clock.monotonic))
        stack.enter_context(patch("time.time", clock.wall))
        stack.enter_context(patch("time.clock_gettime", clock.read))
        yield


def _exchange_defaults(clocks: dict[Callable, Callable]) -> None:
    """Exchange clocks that functions of the project have by default."""

    def exchange(value: object) -> object:
        return clocks.get(value, value) if callable(value) else value

    for function in _functions():
        if function.__defaults__:
            function.__defaults__ = tuple(map(exchange, function.__defaults__))
        for name, value in (function.__kwdefaults__ or {}).items():
            function.__kwdefaults__[name] = exchange(value)


def _functions() -> Iterator[FunctionType]:
    """Return the functions and methods of the project."""
    for name, module in sys.modules.copy().items():
        if not name.startswith("kumquatway"):
            continue
        for value in list(vars(module).values()):
            members = vars(value).values() if isinstance(value, type) else (value,)
            for member in members:
                function = inspect.unwrap(getattr(member, "__func__", member))
                if isinstance(function, FunctionType):
                    yield function
