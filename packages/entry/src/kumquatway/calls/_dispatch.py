"""
Dispatch.

Brings a call to an upstream, once where it may not run twice.
"""

import hashlib
import secrets
import time
from collections.abc import Callable

from kumquatway.calls._calls import Answer, Calls, ServiceAsk
from kumquatway.membership import Member
from kumquatway.protect import Avoid, RetryBudget, RetryPolicy, retry
from kumquatway.routing import choose_upstream
from kumquatway_core import NOT_RUN, Reason as Why, Verdict, may_have_run, not_run
from kumquatway_core.claims import (
    Answer as StoredAnswer,
    Claim,
    Claims,
    Finished,
    Granted,
    Refused,
)

ID_BYTES = 8
RETRY_AFTER = 1.0  # seconds


class Dispatcher:
    """
    Dispatches the calls of one entry.

    :param calls: in flight.
    :param claims: of keys of calls that may not run twice.
    :param usable: lists the VMs that may take new work.
    :param background: runs a task that outlives the request.
    :param budget: pays for retries.
    """

    def __init__(
        self,
        *,
        calls: Calls,
        claims: Claims,
        usable: Callable[[], list[Member]],
        background: Callable,
        budget: RetryBudget,
        clock: Callable[[], float] = time.monotonic,
    ):
        self.calls = calls
        self.claims = claims
        self.usable = usable
        self.background = background
        self.budget = budget
        self.clock = clock

    async def run(self, ask: ServiceAsk, account: str, key: str) -> Answer | Verdict:
        """
        Run a call.

        :param ask: what the caller wants.
        :param account: the client account.
        :param key: the caller's idempotency key, or "".
        :return: the answer, or the verdict over all tries.
        """
        deadline = self.clock() + ask.timeout
        policy = RetryPolicy(
            budget=self.budget,
            idempotent=ask.idempotent,
            deadline=deadline,
            clock=self.clock,
        )

        async def send(attempt: int, avoid: Avoid) -> Answer | Verdict:
            member = self._choose(ask, avoid)
            if member is None:
                detail = f"no upstream of {ask.service}"
                return not_run(Why.NO_UPSTREAM, detail, RETRY_AFTER)
            avoid.add(member.vm)
            if key and not ask.idempotent:
                return await self._send_claimed(ask, member, account, key)
            return await self.calls.send(ask, member)

        return await retry(policy, send)

    def _choose(self, ask: ServiceAsk, avoid: Avoid) -> Member | None:
        usable = self.usable()
        found = choose_upstream(
            members=usable, service=ask.service, avoid=avoid.upstreams
        )
        return found or choose_upstream(members=usable, service=ask.service)

    async def _send_claimed(
        self, ask: ServiceAsk, member: Member, account: str, key: str
    ) -> Answer | Verdict:
        """Claim the key, and dispatch only if the claim is granted."""
        result = await self.claims.claim(
            account=account,
            key=key,
            digest=digest(ask),
            upstream=member.vm,
            attempt=secrets.token_hex(ID_BYTES),
        )
        if isinstance(result, Finished):
            return _restored(result.answer)
        if isinstance(result, Refused):
            return result.verdict
        if not isinstance(result, Granted):
            return may_have_run(Why.IN_PROGRESS, "claimed before")
        return await self._send_granted(ask, member, result.claim)

    async def _send_granted(
        self, ask: ServiceAsk, member: Member, claim: Claim
    ) -> Answer | Verdict:
        outcome = await self.calls.send(ask, member)
        if isinstance(outcome, Answer):
            self.background(self.claims.complete, claim, _stored(outcome))
        elif outcome.ran is NOT_RUN:
            await self.claims.abandon(claim)
        return outcome


def digest(ask: ServiceAsk) -> str:
    """
    Tell requests apart that come with the same key.

    :param ask: what the caller wants.
    :return: SHA-256 of service, method, path and body, hexadecimal.
    """
    found = hashlib.sha256()
    for part in (ask.service, ask.method, ask.path):
        found.update(part.encode() + b"\0")
    found.update(ask.body)
    return found.hexdigest()


def _stored(answer: Answer) -> StoredAnswer:
    return StoredAnswer(status=answer.status, headers=answer.headers, body=answer.body)


def _restored(answer: StoredAnswer) -> Answer:
    return Answer(status=answer.status, headers=answer.headers, body=answer.body)
