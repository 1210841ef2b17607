"""
Schema.

The bodies of chat and completion requests, and of their answers.
"""

from typing import Literal

import msgspec

MAX_STOPS = 4
TEXT_PART = "text"


Role = Literal["system", "developer", "user", "assistant", "tool", "function"]


class Part(msgspec.Struct, frozen=True, kw_only=True):
    """A part of a message; only text is served."""

    type: str
    text: str = ""


class ChatMessage(msgspec.Struct, frozen=True, kw_only=True):
    """One message of a conversation."""

    role: Role
    content: str | list[Part] | None = None

    def words(self) -> str:
        """
        Join the text of the message.

        :return: its text.
        """
        if isinstance(self.content, str):
            return self.content
        return "".join(part.text for part in self.content or ())

    def has_media(self) -> bool:
        """
        Tell whether a part is no text.

        :return: True for a part such as an image.
        """
        if isinstance(self.content, str):
            return False
        return any(part.type != TEXT_PART for part in self.content or ())


class StreamOptions(msgspec.Struct, frozen=True, kw_only=True):
    """
    Options of a streamed answer.

    :param include_usage: end with a chunk that counts tokens.
    """

    include_usage: bool = False


class GenerateRequest(msgspec.Struct, frozen=True, kw_only=True):
    """
    What chat and completion requests share.

    :param model: `NAME` or `NAME:ADAPTER`.
    """

    model: str
    stream: bool = False
    max_tokens: int | None = None
    max_completion_tokens: int | None = None
    stop: str | list[str] | None = None
    seed: int | None = None
    n: int | None = 1
    stream_options: StreamOptions | None = None

    def stops(self) -> tuple[str, ...]:
        """
        List the strings that end the answer.

        :return: none of them empty.
        """
        if self.stop is None:
            return ()
        found = [self.stop] if isinstance(self.stop, str) else self.stop
        return tuple(stop for stop in found if stop)


class ChatRequest(GenerateRequest, frozen=True, kw_only=True):
    """The body of `POST /v1/chat/completions`."""

    messages: list[ChatMessage]


class CompletionRequest(GenerateRequest, frozen=True, kw_only=True):
    """The body of `POST /v1/completions`."""

    prompt: str | list[str]


class Usage(msgspec.Struct, frozen=True, kw_only=True):
    """Tokens of a request."""

    prompt_tokens: int
    completion_tokens: int
    total_tokens: int


class AnswerMessage(msgspec.Struct, frozen=True, kw_only=True):
    """The message of a whole chat answer."""

    role: str
    content: str


class ChatChoice(msgspec.Struct, frozen=True, kw_only=True):
    """The choice of a whole chat answer."""

    index: int
    message: AnswerMessage
    finish_reason: str
    logprobs: None = None


class TextChoice(msgspec.Struct, frozen=True, kw_only=True):
    """The choice of a completion, whole or one piece."""

    index: int
    text: str
    finish_reason: str | None
    logprobs: None = None


class Delta(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """What a chunk adds to a chat answer."""

    role: str | None = None
    content: str | None = None


class ChunkChoice(msgspec.Struct, frozen=True, kw_only=True):
    """The choice of a chat chunk."""

    index: int
    delta: Delta
    finish_reason: str | None
    logprobs: None = None


class Document(msgspec.Struct, frozen=True, kw_only=True):
    """
    An answer, or a chunk of one.

    :param kumquatway_verdict: in the last chunk with a choice of a stream.
    """

    id: str
    object: str
    created: int
    model: str
    choices: list[ChatChoice] | list[TextChoice] | list[ChunkChoice]
    usage: Usage | None = None
    kumquatway_verdict: str | msgspec.UnsetType = msgspec.UNSET


class ModelEntry(msgspec.Struct, frozen=True, kw_only=True):
    """A model that callers may name."""

    id: str
    object: str = "model"
    created: int = 0
    owned_by: str = "kumquatway"


class ModelList(msgspec.Struct, frozen=True, kw_only=True):
    """The answer of `GET /v1/models`."""

    data: list[ModelEntry]
    object: str = "list"
