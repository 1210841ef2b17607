"""Tests that a stream is not complete while an event that had begun is missing."""

import asyncio

from parallel_site import HEAD, Site, chunk, event, turns, until
from virtual_time import run_in_virtual_time

FIVE_EVENTS = b"".join(event(n) for n in range(1, 6))


class TestEventOfAnAttemptThatWroteNothing:
    """
    The stream ended as complete before its last event.

    Only the attempt that had written to the caller last was asked for a lost event.
    """

    @staticmethod
    async def _play(*bodies: bytes) -> list:
        """Reset each attempt but the last, which is complete; return the response."""
        site = Site(timeout=6.0, max_attempts=4)
        stream = site.job()
        task = asyncio.create_task(stream.run())
        for number, body in enumerate(bodies, 1):
            await until(lambda count=number: len(site.pool.opened) == count)
            await turns()
            _, connection = site.pool.opened[-1]
            if number == len(bodies):
                connection.data_received(HEAD + body + b"0\r\n\r\n")
            else:
                connection.data_received(HEAD + body)
                await turns()
                connection.connection_lost(ConnectionResetError())
        await asyncio.wait((task,), timeout=1)
        task.cancel()
        return stream.job.caller.log

    def test_is_lost_if_it_was_resumed(self):
        async def scenario():
            log = await self._play(FIVE_EVENTS, chunk(b"id: 6\nda"), b"")
            assert len(log) > 1
            assert ("end",) not in log

        run_in_virtual_time(scenario)

    def test_is_lost_if_it_was_the_first(self):
        async def scenario():
            log = await self._play(chunk(b"id: 1\nda"), b"")
            assert ("end",) not in log

        run_in_virtual_time(scenario)

    def test_is_not_lost_if_the_caller_has_it(self):
        async def scenario():
            log = await self._play(FIVE_EVENTS, chunk(b"id: 3\nda"), b"")
            assert log[-1] == ("end",)

        run_in_virtual_time(scenario)

    def test_is_not_lost_if_it_comes_again(self):
        async def scenario():
            log = await self._play(FIVE_EVENTS, chunk(b"id: 6\nda"), event(6))
            assert log[-1] == ("end",)

        run_in_virtual_time(scenario)


class TestHeadOfAnErrorThatArrivesInParts:
    """Its first part counted as an event that was lost, and the stream did not end."""

    def test_is_no_lost_event(self):
        async def scenario():
            site = Site(timeout=6.0, max_attempts=4)
            stream = site.job()
            task = asyncio.create_task(stream.run())
            await until(lambda: len(site.pool.opened) == 1)
            await turns()
            _, connection = site.pool.opened[-1]
            for data in (
                HEAD + FIVE_EVENTS + chunk(b"HTTP"),
                chunk(b"/1.1 503 \r\n\r\n"),
            ):
                connection.data_received(data)
                await turns()
            await until(lambda: len(site.pool.opened) == 2)
            await turns()
            _, connection = site.pool.opened[-1]
            connection.data_received(HEAD + b"0\r\n\r\n")
            await asyncio.wait((task,), timeout=1)
            task.cancel()
            assert stream.job.caller.log[-1] == ("end",)

        run_in_virtual_time(scenario)
