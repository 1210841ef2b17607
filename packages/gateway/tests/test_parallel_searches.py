"""Tests of the search for another server, and of connections, in rare orders."""

import asyncio
import time

from parallel_site import HEAD, Site, event, finish_beside, turns
from virtual_time import run_in_virtual_time

from kumquatway_gateway.http1 import Listener
from kumquatway_gateway.model import Limits


class TestDeadlineBesideTheEnd:
    """The timer of the deadline runs between the steps of two tasks."""

    def test_an_answer_that_is_complete_is_not_aborted(self):
        """The timer of the deadline runs between the attempt's step and the job's."""

        async def scenario():
            site = Site(timeout=5.0)
            stream = site.job()
            await finish_beside(site, stream, lambda: stream.job.timeout._on_timeout())
            assert stream.job.caller.log[-1] == ("end",), stream.job.caller.log[-1]

        asyncio.run(scenario())


class TestDeadlineOfARefusedRequest:
    """The only send of a request was refused as not run, and its deadline passes."""

    REFUSAL = b"HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n"

    def _statuses(self, *, is_sent_again: bool) -> list[int]:
        """Return what the caller is told; the other chain is full, or silent."""

        async def scenario():
            site = Site(chains="ab", slots=1, timeout=0.5)
            stream = site.job()
            task = asyncio.create_task(stream.run())
            await turns()
            other_tasks = []
            for _ in range(0 if is_sent_again else 2):
                other = site.job()
                other.job.deadline += 5.0
                other_tasks.append(asyncio.create_task(other.run()))
                await turns()
            site.pool.opened[0][1].data_received(self.REFUSAL)
            await asyncio.wait([task])
            for each in other_tasks:
                each.cancel()
            assert len(stream.job.sent_to) == (2 if is_sent_again else 1)
            return [rest[0] for _, *rest in stream.job.caller.log]

        return run_in_virtual_time(scenario)

    def test_is_told_that_it_has_not_run(self):
        """It was told that it may have run."""
        assert self._statuses(is_sent_again=False) == [503]

    def test_is_told_that_it_may_have_run_if_a_server_has_it(self):
        assert self._statuses(is_sent_again=True) == [504]


class TestStreamThatMayGoOnOnlyWhereItWas:
    """The attempts of a stream are used up, and its server is full."""

    def test_goes_on_before_new_requests(self):
        async def scenario():
            site = Site(chains="a", slots=1, timeout=6.0, max_attempts=1)
            stream = site.job()
            task = asyncio.create_task(stream.run())
            await turns()
            a = site.pool.opened[0][1]
            a.data_received(HEAD + b"".join(event(n) for n in range(1, 6)))
            others = []

            def arrive():
                other = site.job()
                others.append((other, asyncio.create_task(other.run())))

            arrive()
            arrive()
            await turns()
            a.connection_lost(ConnectionResetError())
            await turns()
            handled, begun = 1, time.monotonic()
            while time.monotonic() < begun + 3.0 and not stream.attempts:
                arrive()
                await asyncio.sleep(0.1)
                for _, conn in site.pool.opened[handled:]:
                    handled += 1
                    if not stream.attempts:
                        conn.data_received(HEAD + event(1) + b"0\r\n\r\n")
            resumed = bool(stream.attempts)
            for each in [task, *(t for _, t in others)]:
                each.cancel()
            assert resumed

        asyncio.run(scenario())


class TestErrorInTheSearch:
    """The search for another server raises an unexpected exception."""

    def test_ends_no_living_attempt(self):
        async def scenario():
            site = Site()
            stream = site.job()
            task = asyncio.create_task(stream.run())
            await turns()
            a = site.pool.opened[0][1]
            a.data_received(HEAD + event(1))
            await turns()

            def claim(*args, **kwargs):
                raise ZeroDivisionError

            site.router.claim = claim
            [attempt] = stream.attempts
            attempt._suspect(frozenset({attempt.chain.first_server.id}))
            await turns(10)
            assert not task.done(), repr(task.exception())
            assert not a.transport.aborted
            task.cancel()

        asyncio.run(scenario())


class TestErrorInTheRelease:
    """Giving back the capacity of an attempt raises an exception."""

    def test_does_not_leave_the_request_waiting(self):
        async def scenario():
            site = Site(timeout=3.0)
            stream = site.job()
            task = asyncio.create_task(stream.run())
            await turns()
            a = site.pool.opened[0][1]
            original = site.router.release

            def release(claim):
                original(claim)
                raise ZeroDivisionError

            site.router.release = release
            a.data_received(HEAD + event(1) + b"0\r\n\r\n")
            await turns(10)
            done = task.done()
            task.cancel()
            assert stream.completed and done

        asyncio.run(scenario())


class TestHalfOfTheNextHead:
    """A request comes in one segment with the beginning of the next one."""

    def _last(self, split):
        async def scenario():
            served = []

            async def serve(caller, incoming):
                served.append(incoming.target)
                await asyncio.sleep(0.2)
                caller.respond(200, [], b"ok", keep_alive=True)

            listener = Listener(limits=Limits, serve=serve)
            await listener.start("127.0.0.1:0")
            port = listener.server.sockets[0].getsockname()[1]
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            first = b"GET /1 HTTP/1.1\r\nHost: h\r\n\r\n"
            second = b"GET /2 HTTP/1.1\r\nHo"
            if split:
                writer.write(first)
                await asyncio.sleep(0.05)
                writer.write(second)
            else:
                writer.write(first + second)
            await asyncio.sleep(0.05)
            listener.drain()
            await asyncio.sleep(0.25)
            writer.write(b"st: h\r\n\r\n")
            try:
                data = await asyncio.wait_for(reader.read(), 2)
            except (ConnectionError, TimeoutError) as error:
                data = repr(error).encode()
            listener.close()
            return served, data.count(b"200 OK")

        return asyncio.run(scenario())

    def test_is_answered_like_one_in_its_own_segment(self):
        apart, together = self._last(True), self._last(False)
        assert apart == together


class TestContinueBesideAnAnswer:
    """A pipelined request asks whether to send its body."""

    def test_is_not_written_into_it(self):
        async def scenario():
            async def serve(caller, incoming):
                caller.start_stream(200, [], keep_alive=True)
                caller.write_chunk(b"a" * 10)
                await asyncio.sleep(0.2)
                caller.write_chunk(b"b" * 10)
                caller.end_stream()

            listener = Listener(limits=Limits, serve=serve)
            await listener.start("127.0.0.1:0")
            port = listener.server.sockets[0].getsockname()[1]
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(b"GET /1 HTTP/1.1\r\nHost: h\r\n\r\n")
            await asyncio.sleep(0.05)
            writer.write(
                b"POST /2 HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\n"
                b"Content-Length: 5\r\n\r\n"
            )
            await asyncio.sleep(0.4)
            data = await reader.read(1000)
            listener.close()
            assert data.find(b"100 Continue") < 0 or data.find(
                b"100 Continue"
            ) > data.find(b"0\r\n\r\n"), data

        asyncio.run(scenario())
