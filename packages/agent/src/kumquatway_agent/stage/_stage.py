"""
Stage.

Takes steps in, has them run, and passes their outputs on.
"""

from collections.abc import Callable

from loguru import logger

from kumquatway_agent.stage._batcher import Batcher, Step
from kumquatway_agent.stage._outgoing import Outgoing, Send
from kumquatway_agent.stage._retained import Output
from kumquatway_agent.stage._streams import Key, Refusal, Stream, Streams, Work
from kumquatway_core import Reason, Verdict
from kumquatway_core.engine import NO_FREE_SLOT, StepOutput
from kumquatway_core.wire import (
    TOKEN_BYTES,
    Cancel,
    GeneratedToken,
    Load,
    Splice,
    StepItem,
    Steps,
    StreamSetup,
    Trouble,
)

PREFILL_CHUNK = 512  # tokens of a prompt in one engine step
STOP = "stop"
LENGTH = "length"


class StageRunner:
    """
    The stage that one agent runs for its engine.

    :param streams: what is known of each stream.
    :param step: runs an engine step.
    :param send: sends a message to an address.
    :param free: frees engine slots by stream name.
    :param on_sick: called with the verdict when the engine fails a step.
    """

    def __init__(
        self,
        *,
        streams: Streams,
        step: Step,
        send: Send,
        free: Callable[[tuple[str, ...]], None],
        on_sick: Callable[[Verdict], None] = lambda verdict: None,
    ):
        self.streams = streams
        self.send = send
        self.free = free
        self.on_sick = on_sick
        self.outgoing = Outgoing(send=send)
        self.batcher = Batcher(
            step=step,
            on_output=self._on_output,
            on_batch_done=self.outgoing.flush,
            on_failure=self._on_failure,
        )

    async def run(self) -> None:
        """Run engine steps until cancelled."""
        await self.batcher.run()

    def load(self) -> Load:
        """
        Report how busy the stage is.

        :return: the load.
        """
        return self.batcher.load(len(self.streams.streams))

    def take_steps(self, steps: Steps) -> None:
        """
        Take in steps from another stage or an entry.

        :param steps: as received.
        """
        for item in steps.items:
            self._take_item(item)
        self.outgoing.flush()

    def take_cancel(self, cancel: Cancel) -> None:
        """
        End streams that an entry needs no more.

        :param cancel: as received.
        """
        self.drop(list(cancel.items))

    def take_splice(self, splice: Splice) -> None:
        """
        Take in a new route, and replay to a stage that was replaced.

        :param splice: as received.
        """
        open = splice.setup
        stream = self.streams.streams.get((open.request, open.attempt))
        if stream is None:
            detail = "unknown stream"
            self._trouble(open, splice.stage, Reason.REFUSED, detail)
            return
        if open.epoch > stream.open.epoch:
            stream.open = open
        if stream.lost_next_hop():
            self._replay(stream)
            self.outgoing.flush()

    def lose_next_hop(self, address: str, reason: Reason) -> None:
        """
        Tell the entries of the streams that cannot be passed on.

        :param address: of an agent that does not answer or restarted.
        :param reason: `SILENCE`, or `UNREACHABLE` if its process has ended.
        """
        for stream in list(self.streams.streams.values()):
            if stream.next_hop().address != address or not stream.done:
                continue
            detail = "the next stage does not answer"
            index = stream.next_index()
            self._trouble(stream.open, index, reason, detail)

    def hand_over(self) -> None:
        """Tell the entries to replace this stage, while it can still be cancelled."""
        for stream in list(self.streams.streams.values()):
            detail = "the VM is leaving"
            open = stream.open
            self._trouble(open, stream.stage, Reason.SHUTTING_DOWN, detail)

    def drop(self, keys: list[Key]) -> None:
        """
        Forget streams and free their slots.

        :param keys: request and attempt of each.
        """
        closed = [self.streams.close(key) for key in keys]
        names = tuple(stream.name() for stream in closed if stream is not None)
        if names:
            self.free(names)

    def _take_item(self, item: StepItem) -> None:
        taken = self.streams.take(item)
        if isinstance(taken, Work):
            self._queue(taken)
        elif isinstance(taken, Output):
            stream = self.streams.streams[(item.request, item.attempt)]
            self._pass_on(stream, taken)
        elif isinstance(taken, Refusal):
            self._refuse(item, taken)

    def _queue(self, work: Work) -> None:
        older = self.streams.older(work.stream.key())
        if older:
            self.drop(older)
        for chunk in _chunks(work):
            self.batcher.add(chunk)

    def _refuse(self, item: StepItem, refusal: Refusal) -> None:
        logger.info("a step of {} is refused: {}", item.request, refusal.detail)
        stream = self.streams.streams.get((item.request, item.attempt))
        open = item.setup or (stream.open if stream else None)
        if open is not None and 0 <= item.stage < len(open.route):
            self._trouble(open, item.stage, refusal.reason, refusal.detail)

    def _on_output(self, work: Work, output: StepOutput) -> None:
        stream = work.stream
        if stream.closed:
            return
        if output.error:
            reason = _reason(output.error)
            self._trouble(stream.open, stream.stage, reason, output.error)
            self.drop([stream.key()])
            return
        stream.done = work.position + work.count
        if stream.is_last():
            self._sampled(stream, output)
            return
        kept = Output(
            position=work.position,
            count=work.count,
            data=output.data,
        )
        self.streams.add_output(stream, kept)
        self._pass_on(stream, kept)

    def _sampled(self, stream: Stream, output: StepOutput) -> None:
        open = stream.open
        position = stream.done
        if position < open.prompt_tokens:
            return
        token = _known_token(open, position)
        if token is None:
            finish = _finish(open, position, output)
            token = output.token
            piece = GeneratedToken(
                request=open.request,
                attempt=open.attempt,
                position=position,
                token=token,
                text=output.text,
                finish=finish,
                prefix_digest=stream.chain_before(position),
            )
            self.outgoing.add_piece(open.entry, piece)
            if finish:
                return
        data = token.to_bytes(TOKEN_BYTES, "little")
        kept = Output(position=position, count=1, data=data)
        self.streams.add_output(stream, kept)
        self._pass_on(stream, kept)

    def _pass_on(self, stream: Stream, output: Output) -> None:
        if stream.lost_next_hop():
            self._replay(stream)
            return
        self._forward(stream, self._item(stream, output))

    def _forward(self, stream: Stream, item: StepItem) -> None:
        stream.sent_to = stream.next_hop()
        self.outgoing.add_step(stream.sent_to.address, item)

    def _replay(self, stream: Stream) -> None:
        """Send all that was passed on before to a stage that has none of it."""
        whole = stream.retained.joined()
        if whole is None and stream.is_last():
            # The entry feeds a new first stage; a repeat brings the tokens back.
            stream.sent_to = stream.next_hop()
            return
        if whole is None:
            detail = "the activations are not retained"
            self._trouble(stream.open, stream.stage, Reason.REFUSED, detail)
            return
        self._forward(stream, self._item(stream, whole, replay=True))

    def _item(self, stream: Stream, output: Output, replay: bool = False) -> StepItem:
        opening = output.position == 0 and not stream.is_last()
        chains = stream.chains_of(output.position, output.count)
        return StepItem(
            request=stream.open.request,
            attempt=stream.open.attempt,
            stage=stream.next_index(),
            layer=stream.next_layer(),
            position=output.position,
            count=output.count,
            data=output.data,
            epoch=stream.open.epoch,
            setup=stream.open if opening else None,
            replay=replay,
            prefix_digests=b"" if stream.is_last() else chains,
        )

    def _on_failure(self, works: list[Work], verdict: Verdict) -> None:
        self.on_sick(verdict)
        for work in works:
            open = work.stream.open
            self._trouble(open, work.stream.stage, verdict.reason, verdict.detail)
        self.drop([work.stream.key() for work in works])

    def _trouble(
        self, open: StreamSetup, stage: int, reason: Reason, detail: str
    ) -> None:
        trouble = Trouble(
            request=open.request,
            attempt=open.attempt,
            stage=stage,
            vm=open.route[stage].vm,
            reason=reason,
            detail=detail,
        )
        self.send(open.entry, trouble)


def _chunks(work: Work) -> list[Work]:
    if work.count <= PREFILL_CHUNK:
        return [work]
    width = len(work.data) // work.count
    chunks = []
    for start in range(0, work.count, PREFILL_CHUNK):
        count = min(PREFILL_CHUNK, work.count - start)
        chunk = Work(
            stream=work.stream,
            position=work.position + start,
            count=count,
            data=work.data[start * width : (start + count) * width],
            replay=work.replay,
        )
        chunks.append(chunk)
    return chunks


def _reason(error: str) -> Reason:
    """Tell an engine that is full from one that is broken."""
    return Reason.OVERLOADED if error == NO_FREE_SLOT else Reason.UPSTREAM_ERROR


def _known_token(open: StreamSetup, position: int) -> int | None:
    """Find the token at a position that the caller already has."""
    start = (position - open.prompt_tokens) * TOKEN_BYTES
    data = open.known_tokens[start : start + TOKEN_BYTES]
    if len(data) < TOKEN_BYTES:
        return None
    return int.from_bytes(data, "little")


def _finish(open: StreamSetup, position: int, output: StepOutput) -> str:
    if output.stop:
        return STOP
    if position + 1 >= open.end_position:
        return LENGTH
    return ""
