"""Tests of attempts that run beside each other, in orders that are rare."""

import asyncio
import time

import pytest
from parallel_site import (
    HEAD,
    Site,
    answer_further,
    begin_and_reset,
    begin_two,
    chunk,
    event,
    finish_beside,
    turns,
    until,
)
from virtual_time import run_in_virtual_time

REFUSAL = b"HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n"
FOREIGN = b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 1\r\n\r\nx"


class TestBothAnswerInOneIteration:
    """A silent server and its replacement answer in the same iteration of the loop."""

    def _ids(self, stream):
        return [
            line
            for kind, *rest in stream.job.caller.log
            if kind == "data"
            for line in rest[0].splitlines()
            if line.startswith(b"id:")
        ]

    def test_resumed_and_revived(self):
        async def scenario():
            site = Site()
            stream = site.job()
            task, a, b = await begin_two(site, stream)
            b.data_received(HEAD + event(3))
            a.data_received(event(3))
            await turns()
            a.data_received(event(4) + b"0\r\n\r\n")
            await asyncio.wait_for(task, 1)
            assert self._ids(stream) == [b"id: 1", b"id: 2", b"id: 3", b"id: 4"]

        asyncio.run(scenario())

    def test_two_first_events(self):
        async def scenario():
            site = Site()
            stream = site.job()
            task, a, b = await begin_two(site, stream, first_events=0)
            a.data_received(HEAD + event(1))
            b.data_received(HEAD + event(1))
            await turns()
            task.cancel()
            assert self._ids(stream) == [b"id: 1"]

        asyncio.run(scenario())

    def test_two_whole_responses(self):
        async def scenario():
            site = Site()
            stream = site.job()
            task, a, b = await begin_two(site, stream, first_events=0)
            a.data_received(HEAD + event(1) + b"0\r\n\r\n")
            b.data_received(HEAD + event(1) + b"0\r\n\r\n")
            await asyncio.wait_for(task, 1)
            await turns()
            assert stream.job.caller.log[-1] == ("end",)

        asyncio.run(scenario())


class TestBlockedAsAnotherAttemptAnswers:
    """Requests like one are blocked in the iteration that supersedes its attempt."""

    def test_the_check_of_streams_goes_on(self, monkeypatch):
        """It failed, and recalled no other request of the kind."""

        async def scenario():
            site = Site()
            stream = site.job()
            task, _, b = await begin_two(site, stream, first_events=0)
            b.data_received(HEAD)
            other = site.job()
            other_task = asyncio.create_task(other.run())
            await turns()
            monkeypatch.setattr(site.relay, "is_blocked", lambda job: True)
            site.relay.quarantine.generation += 1
            b.data_received(event(1))
            site.relay.check_streams()
            assert [each.superseded for each in stream.attempts] == [False]
            await until(lambda: other.job.caller.log)
            assert other.job.caller.log[-1][:2] == ("respond", 502)
            task.cancel()
            await asyncio.wait([task, other_task])

        asyncio.run(scenario())


class TestLeak:
    """An attempt that is superseded before it has sent anything holds no capacity."""

    def test_superseded_before_its_task_has_begun(self):
        async def scenario():
            site = Site()
            stream = site.job()
            task = asyncio.create_task(stream.run())
            await turns()
            a = site.pool.opened[0][1]
            a.data_received(HEAD + event(1))
            await turns()
            [attempt] = stream.attempts
            # hold the search back to find the moment at which the attempt is created
            attempt._suspect(frozenset({attempt.chain.first_server.id}))
            for _ in range(20):
                if len(stream.attempts) == 2:
                    break
                await asyncio.sleep(0)
            assert len(stream.attempts) == 2 and len(site.pool.opened) <= 2
            started = len(site.pool.opened) == 2
            a.data_received(event(2) + b"0\r\n\r\n")
            await asyncio.wait_for(task, 1)
            await turns()
            assert (started, len(site.router.claims), site.router.own_loads) == (
                started,
                0,
                {},
            )

        asyncio.run(scenario())

    def test_superseded_in_the_same_iteration(self):
        """The I/O of the silent attempt is handled right after the job's step."""

        async def scenario():
            site = Site()
            stream = site.job()
            original = stream._start_attempt
            loop = asyncio.get_running_loop()
            count = 0

            def start_attempt(claim):
                nonlocal count
                count += 1
                original(claim)

            stream._start_attempt = start_attempt
            task = asyncio.create_task(stream.run())
            await turns()
            a = site.pool.opened[0][1]
            a.data_received(HEAD + event(1))
            await turns()
            [attempt] = stream.attempts
            attempt._suspect(frozenset({attempt.chain.first_server.id}))
            # A callback in each iteration, after all tasks, stands for an I/O handle in
            # the ready queue of the job's step.
            fired = False

            def io():
                nonlocal fired
                if count == 2 and not fired:
                    fired = True
                    a.data_received(event(2) + b"0\r\n\r\n")
                elif not fired:
                    loop.call_soon(io)

            loop.call_soon(io)
            await asyncio.wait_for(task, 1)
            await turns()
            assert fired
            assert (len(site.router.claims), site.router.own_loads) == (0, {})

        asyncio.run(scenario())


class TestStaleSearch:
    """The silent attempt ends while its replacement waits for room."""

    def test_uses_the_place_of_an_attempt_that_has_ended(self):
        """b is full; the stream is silent at a, whose connection is then reset."""

        async def scenario():
            site = Site(timeout=3.0, slots=1)
            other = site.job()
            other_task = asyncio.create_task(other.run())
            await turns()
            site.pool.opened[0][1].data_received(HEAD + event(1))
            stream = site.job()
            task = asyncio.create_task(stream.run())
            await turns()
            a = site.pool.opened[1][1]
            a.data_received(HEAD + b"".join(event(n) for n in range(1, 6)))
            await turns()
            [attempt] = stream.attempts
            attempt._suspect(frozenset({attempt.chain.first_server.id}))
            await turns()
            assert stream.seeking is not None
            a.connection_lost(ConnectionResetError())
            try:
                await until(lambda: len(site.pool.opened) == 3, seconds=1.5)
            finally:
                await asyncio.wait([task])
                other_task.cancel()

        asyncio.run(scenario())


class TestErrors:
    """Servers answer a stream that has begun with errors."""

    def test_a_stream_that_gets_errors_sends_few_requests(self):
        async def scenario():
            site = Site(timeout=3.0, slack=100.0)
            stream = site.job()
            task = asyncio.create_task(stream.run())
            await turns()
            a = site.pool.opened[0][1]
            a.data_received(HEAD + b"".join(event(n) for n in range(1, 6)))
            await turns()
            a.connection_lost(ConnectionResetError())
            answered = 1
            end = time.monotonic() + 1.0
            while time.monotonic() < end:
                await asyncio.sleep(0.001)
                for _, conn in site.pool.opened[answered:]:
                    answered += 1
                    conn.data_received(
                        b"HTTP/1.1 500 Broken\r\nContent-Length: 0\r\n\r\n"
                    )
            sends = len(site.pool.opened)
            task.cancel()
            assert sends <= 10

        asyncio.run(scenario())


class TestEmptyRest:
    """A stream is resumed at a server whose answer is complete and has no new event."""

    @staticmethod
    async def _resume(site, rest, *, partial):
        """Break a stream off after five events, and answer its next attempt."""
        stream = site.job()
        task = asyncio.create_task(stream.run())
        await turns()
        a = site.pool.opened[0][1]
        a.data_received(HEAD + b"".join(event(n) for n in range(1, 6)))
        a.data_received(chunk(partial) if partial else b"")
        await turns()
        a.connection_lost(ConnectionResetError())
        await until(lambda: len(site.pool.opened) == 2)
        await turns()
        site.pool.opened[1][1].data_received(HEAD + rest + b"0\r\n\r\n")
        return stream, task

    @pytest.mark.parametrize("rest", [b"", event(1) + event(5)])
    def test_is_no_end_if_another_event_had_begun(self, rest):
        """The stream ended as complete before its last event."""

        async def scenario():
            site = Site(timeout=6.0, max_attempts=3)
            stream, task = await self._resume(site, rest, partial=b"id: 6\nda")
            await until(lambda: len(site.pool.opened) == 3)
            await turns()
            site.pool.opened[2][1].data_received(HEAD + event(6) + b"0\r\n\r\n")
            await asyncio.wait_for(task, 1)
            *_, (_, last), end = stream.job.caller.log
            assert (last, end) == (b"id: 6\ndata: x\n\n", ("end",))

        run_in_virtual_time(scenario)

    @pytest.mark.parametrize("partial", [b"", b": comment", b"\n"])
    def test_is_the_end_if_none_had(self, partial):
        async def scenario():
            site = Site(timeout=6.0, max_attempts=3)
            stream, task = await self._resume(site, b"", partial=partial)
            await asyncio.wait_for(task, 1)
            assert stream.job.caller.log[-1] == ("end",)
            assert len(site.pool.opened) == 2

        run_in_virtual_time(scenario)


class TestSearchInVain:
    """There are fewer retries than silent requests."""

    def test_is_repeated_for_a_request_without_a_head(self):
        """Four requests are silent at one server; there are two retries at first."""

        async def scenario():
            site = Site(timeout=3.0, slack=2.5)  # two retries
            streams = [site.job() for _ in range(4)]
            tasks = [asyncio.create_task(each.run()) for each in streams]
            await turns()
            assert len(site.pool.opened) == 4
            for stream in streams:
                [attempt] = stream.attempts
                attempt._suspect(
                    frozenset(
                        s for s in ("a0", "b0") if s == attempt.chain.first_server.id
                    )
                )
            await asyncio.sleep(0.1)
            budget = site.relay.retry_budget("model")
            budget.slack = 100.0  # the window has moved on
            await asyncio.sleep(0.1)
            for stream in streams:  # the checks go on
                for attempt in stream.attempts:
                    if attempt.sent_at and attempt.suspects:
                        attempt._suspect(attempt.suspects)
            await asyncio.sleep(0.5)
            sent = len(site.pool.opened)
            for task in tasks:
                task.cancel()
            assert sent == 8

        asyncio.run(scenario())


class TestRetriesForLosses:
    """
    Silent streams spent the last retries, and one that was lost had none.

    Load pattern: one of three chains is silent, at an entry with two retries.
    """

    @staticmethod
    async def _check(site, seconds):
        """Check all streams for stalls, as the entry does, for a while."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            site.relay.check_streams()
            await asyncio.sleep(0.01)

    async def _begin(self, site, count):
        """Begin streams, and fall silent on the chain of the first one."""
        streams = [site.job() for _ in range(count)]
        tasks = [asyncio.create_task(each.run()) for each in streams]
        await turns()
        for _, connection in site.pool.opened:
            connection.data_received(HEAD + event(1) + event(2))
        await turns()
        site.silent = streams[0].attempts[0].chain.first_server
        site.fleet.set_health(site.silent, down=True, reason="test")
        return streams, tasks

    def _play(self, scenario):
        async def cancel_all():
            site = Site(chains="abc", slack=3.0, timeout=6.0, max_attempts=3)
            streams, tasks = await self._begin(site, 8)
            try:
                await scenario(site, streams)
            finally:
                for task in tasks:
                    task.cancel()

        run_in_virtual_time(cancel_all)

    def test_a_lost_stream_finds_one_left_by_silent_ones(self):
        async def scenario(site, streams):
            begun = len(site.pool.opened)
            await self._check(site, 0.5)
            assert len(site.pool.opened) > begun
            stream, attempt = next(
                (stream, *stream.attempts)
                for stream in streams
                if len(stream.attempts) == 1
                and stream.attempts[0].chain.first_server != site.silent
            )
            begun = len(site.pool.opened)
            attempt.connection.connection_lost(ConnectionResetError())
            await self._check(site, 0.1)
            assert len(site.pool.opened) == begun + 1
            assert [each.suspects for each in stream.attempts] == [frozenset()]

        self._play(scenario)

    def test_a_silence_that_lasts_uses_all(self):
        async def scenario(site, streams):
            budget = site.relay.retry_budget("model")
            await self._check(site, 0.5)
            assert budget.remaining() >= 1
            await self._check(site, 1.5)
            assert budget.remaining() < 1

        self._play(scenario)

    def test_a_server_that_has_certainly_ended_is_no_silence(self):
        async def scenario(site, streams):
            [last] = [
                stage.server for stage in streams[0].attempts[0].chain.stages[-1:]
            ]
            site.fleet.set_health(last, down=True, ended=True, reason="test")
            await self._check(site, 0.2)
            assert site.relay.retry_budget("model").remaining() < 1

        self._play(scenario)


class TestFreeRetries:
    """A retry is paid for, unless its connection failed."""

    def test_only_the_retry_after_a_failed_connection_is_free(self):
        async def scenario():
            site = Site(chains="abcd", timeout=3.0, max_attempts=4)
            stream = site.job()
            task = asyncio.create_task(stream.run())
            await turns()
            budget = site.relay.retry_budget("model")
            before = len(budget.retries)
            addresses = {f"{n}0:80" for n in "abcd"}
            first = site.pool.opened[0][0]
            bad = sorted(addresses - {first})[0]
            site.pool.refuse.add(bad)
            # wake until the refused one was tried and one more was sent
            for expected in (2, 3):
                live = [each for each in stream.attempts if not each.suspects]
                for attempt in live:
                    attempt._suspect(frozenset({attempt.chain.first_server.id}))
                await until(lambda n=expected: len(site.pool.opened) == n)
                await turns()
            arrivals = len(site.pool.opened) - 1
            paid = len(budget.retries) - before
            task.cancel()
            assert paid >= arrivals

        asyncio.run(scenario())


class TestFinishedAtTheDeadline:
    """The deadline passes as the response ends."""

    def test_an_answer_that_is_complete_is_not_aborted(self):
        async def scenario():
            site = Site(timeout=0.3)
            stream = site.job()
            task = asyncio.create_task(stream.run())
            await turns()
            a = site.pool.opened[0][1]
            a.data_received(HEAD + event(1))
            await turns()
            # the last bytes and the deadline in one iteration
            a.data_received(b"0\r\n\r\n")
            while not stream.completed:
                await asyncio.sleep(0)
                if stream.completed:
                    break
            log = list(stream.job.caller.log)
            assert log[-1] == ("end",)
            stream.job.timeout.reschedule(0)  # as end_requests does, or the deadline
            await asyncio.wait([task])
            assert stream.job.caller.log[-1] == ("end",), stream.job.caller.log[-1]

        asyncio.run(scenario())

    def test_the_same_by_order_of_callbacks(self):
        """end_requests (or the timer) runs between the attempt's task and the job's."""

        async def scenario():
            site = Site(timeout=0.3)
            stream = site.job()
            site.relay.jobs.add(stream.job)
            await finish_beside(site, stream, site.relay.end_requests)
            assert stream.job.caller.log[-1] == ("end",), stream.job.caller.log[-1]

        asyncio.run(scenario())


class TestResetsBeforeTheHead:
    """A sound server resets new connections for a while."""

    def test_do_not_end_a_stream_while_servers_are_sound(self):
        """Each new connection is reset (maxConns); after 0.6 s they are taken."""

        async def scenario():
            site = Site(timeout=4.0)
            stream = site.job()
            task = asyncio.create_task(stream.run())
            await turns()
            a = site.pool.opened[0][1]
            a.data_received(HEAD + b"".join(event(n) for n in range(1, 6)))
            await turns()
            begun = time.monotonic()
            a.connection_lost(ConnectionResetError())
            handled = 1
            while time.monotonic() < begun + 1.2 and not task.done():
                await asyncio.sleep(0.005)
                for _, conn in site.pool.opened[handled:]:
                    handled += 1
                    if time.monotonic() < begun + 0.6:
                        conn.connection_lost(ConnectionResetError())
                    else:
                        conn.data_received(HEAD + event(6) + b"0\r\n\r\n")
            last = stream.job.caller.log[-1]
            task.cancel()
            assert last == ("end",), last

        run_in_virtual_time(scenario)


class TestResetsAfterTheHead:
    """Sound servers reset connections between the head and the next event."""

    def test_do_not_end_a_stream_that_has_begun(self):
        async def scenario():
            site = Site(chains="abcd", timeout=4.0)
            stream = site.job()
            task = await begin_and_reset(site, stream)
            resets = 0

            def answer(connection):
                nonlocal resets
                resets += 1
                connection.data_received(HEAD)
                if resets <= 2:
                    loop = asyncio.get_running_loop()
                    error = ConnectionResetError()
                    loop.call_later(0.001, connection.connection_lost, error)
                else:
                    connection.data_received(event(6) + b"0\r\n\r\n")

            await answer_further(site, task, answer, seconds=4.0)
            assert resets > 2
            assert stream.job.caller.log[-1] == ("end",), stream.why_ended

        run_in_virtual_time(scenario)


class TestUselessAnswers:
    """A stream that has begun gets nothing that it could go on with."""

    @pytest.mark.parametrize("answer", [REFUSAL, FOREIGN], ids=["refusal", "foreign"])
    def test_it_sends_few_requests(self, answer):
        async def scenario():
            site = Site(timeout=4.0)
            task = await begin_and_reset(site, site.job())
            await answer_further(site, task, lambda each: each.data_received(answer))
            task.cancel()
            assert 1 < len(site.pool.opened) <= 10

        run_in_virtual_time(scenario)


class TestRefusedBeforeTheHead:
    """All servers refuse a request."""

    def test_its_caller_is_told_at_once_after_the_last_refusal(self):
        async def scenario():
            site = Site(chains="abcd", timeout=4.0)
            stream = site.job()
            task = asyncio.create_task(stream.run())
            refused_at = []

            def refuse(connection):
                refused_at.append(time.monotonic())
                connection.data_received(REFUSAL)

            await answer_further(site, task, refuse, seconds=4.0)
            assert [entry[:2] for entry in stream.job.caller.log] == [("respond", 503)]
            assert len(refused_at) > 1
            assert time.monotonic() - refused_at[-1] < 0.01

        run_in_virtual_time(scenario)


class TestFalseBlock:
    """Requests like a stream that has begun are blocked for a moment."""

    def test_the_stream_waits_until_the_block_is_lifted(self):
        async def scenario():
            site = Site(timeout=4.0)
            stream = site.job()
            quarantine = site.relay.quarantine
            task = asyncio.create_task(stream.run())
            await turns()
            [(_, first)] = site.pool.opened
            first.data_received(HEAD + event(1))
            await turns()
            quarantine.seconds_blocked = lambda features: 1.0
            first.connection_lost(ConnectionResetError())
            await asyncio.sleep(0.1)
            assert len(site.pool.opened) == 1
            quarantine.seconds_blocked = lambda features: 0.0
            await until(lambda: len(site.pool.opened) == 2)
            site.pool.opened[1][1].data_received(HEAD + event(2) + b"0\r\n\r\n")
            await asyncio.wait_for(task, 1)
            assert stream.job.caller.log[-1] == ("end",), stream.why_ended

        run_in_virtual_time(scenario)


class TestSupersededWhileItConnects:
    """A silent server goes on while the attempt beside it opens a connection."""

    def test_the_other_server_does_not_count_as_one_that_ran_it(self):
        async def scenario():
            site = Site()
            stream = site.job()
            task = asyncio.create_task(stream.run())
            await turns()
            [(address, first)] = site.pool.opened
            first.data_received(HEAD + event(1))
            await turns()
            site.pool.hang |= {"a0:80", "b0:80"} - {address}
            [attempt] = stream.attempts
            attempt._suspect(frozenset({attempt.chain.first_server.id}))
            await until(lambda: len(stream.attempts) == 2)
            await turns()
            first.data_received(event(2))
            await turns()
            assert stream.attempts == [attempt]
            assert stream.ran_on == set()
            assert stream.job.sent_to == [attempt.chain.first_server.id]
            task.cancel()

        run_in_virtual_time(scenario)
