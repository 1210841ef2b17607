"""
Request.

What a caller asked for, decoded once.
"""

from dataclasses import dataclass

from kumquatway_gateway.http1 import Headers


@dataclass(frozen=True, kw_only=True, slots=True)
class GenerationSize:
    """
    The size of a generation.

    :param tokens: of the prompt.
    :param max_answer: most tokens of the answer.
    :param hint: the caller's estimate of the answer's tokens, or 0.
    """

    prompt_tokens: int
    max_output_tokens: int
    output_tokens_hint: int = 0


@dataclass(frozen=True, kw_only=True, slots=True)
class Request:
    """
    One attempt of a caller.

    :param id: of this attempt, "" if the caller sent none.
    :param target: path and query, as sent.
    :param arrived: when its head was read, seconds of the monotonic clock.
    :param patience: how long the caller will wait, seconds.
    :param last_event: the last event that the caller has, or "".
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

    @property
    def path(self) -> str:
        """Give the target without its query."""
        return self.target.partition("?")[0]
