"""
Generate.

Runs a request to a model and writes its answer, whole or as a stream.
"""

import time
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass

import anyio
import msgspec
from loguru import logger

from kumquatway.api._errors import error_document, error_headers
from kumquatway.api._schema import (
    AnswerMessage,
    ChatChoice,
    ChunkChoice,
    Delta,
    Document,
    TextChoice,
    Usage,
)
from kumquatway.api._stops import StopFilter
from kumquatway.streams import Ask, Session, Streams
from kumquatway_core import RAN, VERDICT_HEADER, Reason, Verdict, may_have_run
from kumquatway_core.events import Event, RequestEnded
from kumquatway_core.exceptions import KumquatwayError
from kumquatway_core.wire import GeneratedToken

WRITE_LOOKS = 4  # looks at a write within its bound
SSE_DONE = b"data: [DONE]\n\n"
STOP = "stop"


class SlowCaller(KumquatwayError):
    """The caller stopped reading its answer."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Form:
    """
    How the answers of one endpoint are written.

    :param whole: makes the choice of a whole answer from text and finish reason.
    :param piece: makes the choice of a chunk.
    :param first: makes the choice of the chunk before the first token, or None.
    """

    prefix: str
    whole_object: str
    chunk_object: str
    whole: Callable[[str, str], ChatChoice | TextChoice]
    piece: Callable[[str, str | None], ChunkChoice | TextChoice]
    first: Callable[[], ChunkChoice] | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class Said:
    """
    A part of an answer.

    :param text: what the caller gets now.
    :param finish: "" or why the answer ended.
    """

    text: str
    finish: str = ""


CHAT = Form(
    prefix="chatcmpl-",
    whole_object="chat.completion",
    chunk_object="chat.completion.chunk",
    whole=lambda text, finish: ChatChoice(
        index=0,
        message=AnswerMessage(role="assistant", content=text),
        finish_reason=finish,
    ),
    piece=lambda text, finish: ChunkChoice(
        index=0, delta=Delta(content=text or None), finish_reason=finish
    ),
    first=lambda: ChunkChoice(
        index=0, delta=Delta(role="assistant", content=""), finish_reason=None
    ),
)
COMPLETION = Form(
    prefix="cmpl-",
    whole_object="text_completion",
    chunk_object="text_completion",
    whole=lambda text, finish: TextChoice(index=0, text=text, finish_reason=finish),
    piece=lambda text, finish: TextChoice(index=0, text=text, finish_reason=finish),
)


class Generated:
    """
    The response of one request, as an ASGI application.

    :param streams: of the entry.
    :param ask: what the caller wants.
    :param form: of the endpoint.
    :param model: as the caller named it.
    :param stream: whether the answer is streamed.
    :param usage: whether a stream ends with its counts.
    :param stops: strings that end the answer.
    :param emit: writes down an event.
    :param write_seconds: bound on one write to the caller.
    :param on_end: called with the generated tokens at the end, in any case.
    """

    def __init__(
        self,
        *,
        streams: Streams,
        ask: Ask,
        form: Form,
        model: str,
        stream: bool,
        usage: bool,
        stops: tuple[str, ...],
        emit: Callable[[Event], object],
        write_seconds: float,
        on_end: Callable[[int], None] = lambda tokens: None,
        clock: Callable[[], float] = time.monotonic,
    ):
        self.clock = clock
        self.ended = False
        self.writing_since: float | None = None
        self.streams = streams
        self.ask = ask
        self.form = form
        self.model = model
        self.stream = stream
        self.usage = usage
        self.emit = emit
        self.write_seconds = write_seconds
        self.on_end = on_end
        self.filter = StopFilter(stops=stops)
        self.created = int(time.time())
        self.tokens = 0
        self.verdict = may_have_run(Reason.CANCELLED, "the caller went away")

    async def __call__(self, scope, receive, send) -> None:
        """Answer; a caller that goes away cancels the request."""
        session = self.streams.open(self.ask)
        try:
            async with anyio.create_task_group() as group:
                group.start_soon(_cancel_on_disconnect, receive, group.cancel_scope)
                group.start_soon(self._watch_writes)
                await self._answer(session, self._bounded(send))
                # Before the tasks end: a caller may ask again at once.
                self._end(session)
                group.cancel_scope.cancel()
        except* SlowCaller:
            logger.info("the caller read nothing for {} s", self.write_seconds)
        finally:
            self._end(session)

    def _end(self, session: Session) -> None:
        """Free what the request holds, once."""
        if self.ended:
            return
        self.ended = True
        self.streams.close(session)
        self.on_end(self.tokens)
        self._emit_end()

    async def _answer(self, session: Session, send) -> None:
        if self.stream:
            await self._send_stream(session, send)
        else:
            await self._send_whole(session, send)

    def _bounded(self, send):
        """Note when a write begins, for the watch over it."""

        async def bounded(message) -> None:
            self.writing_since = self.clock()
            await send(message)
            self.writing_since = None

        return bounded

    async def _watch_writes(self) -> None:
        """Give up a caller that stops reading; one timer serves all writes."""
        while True:
            await anyio.sleep(self.write_seconds / WRITE_LOOKS)
            since = self.writing_since
            if since is None or self.clock() - since < self.write_seconds:
                continue
            detail = f"the caller read nothing for {self.write_seconds:g} s"
            self.verdict = may_have_run(Reason.CANCELLED, detail)
            raise SlowCaller(detail)

    async def _parts(self, session: Session) -> AsyncIterator[Said | Verdict]:
        """Generate the answer; a fault of the entry ends it with a verdict."""
        try:
            async for part in self._texts(session):
                yield part
        except Exception as error:
            logger.opt(exception=error).error("a request failed: {}", error)
            self.verdict = may_have_run(Reason.INTERNAL, "the entry failed")
            yield self.verdict

    async def _texts(self, session: Session) -> AsyncIterator[Said | Verdict]:
        """Turn tokens into text, up to a stop string."""
        async for piece in session.run():
            if isinstance(piece, Verdict):
                self.verdict = piece
                yield piece
                return
            said = self._say(piece)
            if said.finish:
                self.verdict = Verdict(ran=RAN)
            yield said
            if said.finish:
                return

    def _say(self, piece: GeneratedToken) -> Said:
        self.tokens += 1
        text = self.filter.add(piece.text)
        if self.filter.stopped:
            return Said(text=text, finish=STOP)
        if piece.finish:
            return Said(text=text + self.filter.rest(), finish=piece.finish)
        return Said(text=text)

    async def _send_whole(self, session: Session, send) -> None:
        texts = []
        finish = ""
        async for part in self._parts(session):
            if isinstance(part, Verdict):
                await self._send_error(part, send)
                return
            texts.append(part.text)
            finish = part.finish
        choice = self.form.whole("".join(texts), finish)
        document = self._document(self.form.whole_object, choice, self._usage())
        headers = {VERDICT_HEADER: self.verdict.header_value()}
        body = msgspec.json.encode(document)
        await _start(send, 200, "application/json", headers)
        await send({"type": "http.response.body", "body": body})

    async def _send_stream(self, session: Session, send) -> None:
        started = False
        async for part in self._parts(session):
            if isinstance(part, Verdict):
                await self._send_stream_error(part, started, send)
                return
            if not started:
                await self._start_stream(send)
                started = True
            if part.text or part.finish:
                await self._send_part(part, send)
        await self._finish_stream(send)

    async def _start_stream(self, send) -> None:
        headers = {"Cache-Control": "no-store"}
        await _start(send, 200, "text/event-stream", headers)
        if self.form.first is not None:
            await self._send_chunk(self.form.first(), send)

    async def _send_part(self, part: Said, send) -> None:
        if part.text:
            await self._send_chunk(self.form.piece(part.text, None), send)
        if part.finish:
            last = self.form.piece("", part.finish)
            await self._send_chunk(last, send, verdict=self.verdict.header_value())

    async def _send_chunk(self, choice, send, verdict=msgspec.UNSET) -> None:
        document = self._document(self.form.chunk_object, choice, None, verdict)
        await _send_event(send, msgspec.json.encode(document))

    async def _finish_stream(self, send) -> None:
        if self.usage:
            document = self._document(self.form.chunk_object, None, self._usage())
            await _send_event(send, msgspec.json.encode(document))
        trailer = f": {VERDICT_HEADER}: {self.verdict.header_value()}\n\n".encode()
        await send({"type": "http.response.body", "body": trailer + SSE_DONE})

    async def _send_error(self, verdict: Verdict, send) -> None:
        headers = error_headers(verdict)
        await _start(send, verdict.status(), "application/json", headers)
        body = error_document(verdict)
        await send({"type": "http.response.body", "body": body})

    async def _send_stream_error(self, verdict: Verdict, started: bool, send) -> None:
        if not started:
            await self._send_error(verdict, send)
            return
        await _send_event(send, error_document(verdict))
        await self._finish_stream(send)

    def _document(
        self, kind: str, choice, usage: Usage | None, verdict=msgspec.UNSET
    ) -> Document:
        return Document(
            id=self.form.prefix + self.ask.request,
            object=kind,
            created=self.created,
            model=self.model,
            choices=[] if choice is None else [choice],
            usage=usage,
            kumquatway_verdict=verdict,
        )

    def _usage(self) -> Usage:
        prompt = self.ask.prompt_tokens()
        return Usage(
            prompt_tokens=prompt,
            completion_tokens=self.tokens,
            total_tokens=prompt + self.tokens,
        )

    def _emit_end(self) -> None:
        self.emit(
            RequestEnded(
                request=self.ask.request,
                verdict=self.verdict.header_value(),
                status=self.verdict.status(),
                reason=self.verdict.reason.value,
                detail=self.verdict.detail,
            )
        )


async def _cancel_on_disconnect(receive, scope: anyio.CancelScope) -> None:
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            scope.cancel()
            return


async def _start(send, status: int, media_type: str, headers: dict[str, str]) -> None:
    pairs = [(b"content-type", media_type.encode())]
    for name, value in headers.items():
        pairs.append((name.lower().encode(), value.encode()))
    message = {"type": "http.response.start", "status": status, "headers": pairs}
    await send(message)


async def _send_event(send, data: bytes) -> None:
    body = b"data: " + data + b"\n\n"
    await send({"type": "http.response.body", "body": body, "more_body": True})
