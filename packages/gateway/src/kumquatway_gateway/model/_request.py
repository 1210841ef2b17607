"""Defines a caller's request, decoded once on arrival."""

from dataclasses import dataclass

from kumquatway_gateway.http1 import Headers


@dataclass(frozen=True, kw_only=True, slots=True)
class GenerationSize:
    """
    Token counts of a generation.

    :param prompt_tokens: length of the prompt.
    :param max_output_tokens: highest length of the answer.
    :param output_tokens_hint: the caller's estimate of the length of the answer, or 0.
    """

    prompt_tokens: int
    max_output_tokens: int
    output_tokens_hint: int = 0


@dataclass(frozen=True, kw_only=True, slots=True)
class Request:
    """
    One request as a caller sent it; a caller's retry is another request.

    :param id: ID of this request, or "" if the caller sent none.
    :param target: path and query, as sent.
    :param arrived_at: when its headers were read, monotonic seconds.
    :param timeout: how long the caller will wait, seconds.
    :param last_event_id: ID of the last event that the caller received, or "".
    :param prompt_parts: IDs of the parts of the prompt in their order, of which other
        prompts may share some; empty where the caller named none.
    """

    id: str
    method: str
    host: str
    target: str
    headers: Headers
    body: bytes
    arrived_at: float
    timeout: float
    api_key: str = ""
    last_event_id: str = ""
    generation_size: GenerationSize | None = None
    prompt_parts: tuple[str, ...] = ()

    @property
    def path(self) -> str:
        """Return the target without its query."""
        return self.target.partition("?")[0]
