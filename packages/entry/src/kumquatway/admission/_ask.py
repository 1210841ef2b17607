"""
Ask.

What a request wants of the entry before it is sent on, and what that costs.
"""

import enum
from dataclasses import dataclass

from kumquatway_core.text import Priority

PROMPT_TOKEN_COST = 1.0
ANSWER_TOKEN_COST = 2.0
CALL_COST = 50.0
STATUS_READ_COST = 1.0


class Kind(enum.StrEnum):
    """What is asked for."""

    CHAT = "chat"
    STATUS_READ = "status_read"
    SERVICE_CALL = "service_call"


@dataclass(frozen=True, kw_only=True, slots=True)
class Ask:
    """
    A request for admission.

    :param account: name of the client account.
    :param target: name of the model or plain service that would serve it.
    :param kind: what is asked for.
    :param priority: its class; never more urgent than the account's own.
    :param prompt_tokens: tokens to prefill, 0 for a call.
    :param answer_tokens: the bound on tokens to generate, 0 for a call.
    :param deadline: when the answer must be whole, seconds of the injected clock.
    """

    account: str
    target: str
    kind: Kind = Kind.CHAT
    priority: Priority = Priority.NORMAL
    prompt_tokens: int = 0
    answer_tokens: int = 0
    deadline: float = float("inf")

    def tokens(self) -> int:
        """
        Count the tokens that the account's limit is charged at first.

        :return: prompt and answer tokens at most.
        """
        return self.prompt_tokens + self.answer_tokens

    def cost(self) -> float:
        """
        Estimate the service that the request takes.

        :return: cost, in prompt tokens.
        """
        return self.served_cost(self.tokens())

    def served_cost(self, served_tokens: int) -> float:
        """
        Weigh the service that the request took.

        :param served_tokens: tokens run, the prompt's first.
        :return: cost, in prompt tokens.
        """
        if self.kind is Kind.STATUS_READ:
            return STATUS_READ_COST
        if self.kind is Kind.SERVICE_CALL:
            return CALL_COST
        prompt = min(served_tokens, self.prompt_tokens)
        answer = served_tokens - prompt
        return PROMPT_TOKEN_COST * prompt + ANSWER_TOKEN_COST * answer
