"""
Accounts.

The limits of the client accounts that were active a short time ago.
"""

import math
from collections import OrderedDict
from collections.abc import Callable

from kumquatway.admission._bucket import Bucket
from kumquatway_core.text import Account

IDLE_SECONDS = 10.0
SWEEP_ACCOUNTS = 32


class AccountState:
    """
    One active account's buckets and requests in progress.

    :param spec: the account, as the text gives it.
    :param share: this entry's part of its limits, 0 to 1.
    :param now: seconds of the injected clock.
    """

    __slots__ = ("spec", "share", "requests", "tokens", "running", "seen")

    def __init__(self, *, spec: Account, share: float, now: float):
        self.spec = spec
        self.share = share
        self.requests = Bucket(
            rate=spec.requests_per_second * share, burst=spec.burst, now=now
        )
        self.tokens = Bucket(
            rate=spec.tokens_per_second * share, burst=spec.burst, now=now
        )
        self.running = 0
        self.seen = now

    def update(self, spec: Account, share: float, now: float) -> None:
        """
        Bring the buckets up to now, the text and the share in force.

        :param spec: the account, as the text gives it.
        :param share: this entry's part of its limits, 0 to 1.
        :param now: seconds of the injected clock.
        """
        self.seen = now
        self.requests.refill(now)
        self.tokens.refill(now)
        if spec is self.spec and share == self.share:
            return
        self.spec = spec
        self.share = share
        self.requests.resize(spec.requests_per_second * share, spec.burst)
        self.tokens.resize(spec.tokens_per_second * share, spec.burst)

    def max_running(self) -> int:
        """
        Bound the requests in progress at this entry.

        :return: requests, at least 1.
        """
        return max(1, math.ceil(self.spec.max_concurrent * self.share))

    def spent(self) -> bool:
        """
        Tell whether forgetting the state would give the account more.

        :return: True if it must be kept.
        """
        full = self.requests.level >= self.requests.size
        return self.running > 0 or not full or self.tokens.level < self.tokens.size


class Accounts:
    """
    The states of the active accounts, the longest idle first.

    :param lookup: finds an account in the text in force.
    :param share: gives this entry's part of an account's limits, 0 to 1.
    """

    def __init__(
        self,
        *,
        lookup: Callable[[str], Account | None],
        share: Callable[[str], float],
    ):
        self.lookup = lookup
        self.share = share
        self.states: OrderedDict[str, AccountState] = OrderedDict()

    def get(self, name: str, now: float) -> AccountState | None:
        """
        Find the state of an account, made at its first request.

        :param name: the account.
        :param now: seconds of the injected clock.
        :return: the state, or None for an unknown account.
        """
        spec = self.lookup(name)
        if spec is None:
            return None
        share = self.share(name)
        state = self.states.get(name)
        if state is None:
            state = AccountState(spec=spec, share=share, now=now)
            self.states[name] = state
        else:
            state.update(spec, share, now)
            self.states.move_to_end(name)
        return state

    def sweep(self, now: float) -> None:
        """
        Forget accounts that have been idle and owe nothing.

        :param now: seconds of the injected clock.
        """
        for _ in range(min(SWEEP_ACCOUNTS, len(self.states))):
            name, state = next(iter(self.states.items()))
            if now - state.seen < IDLE_SECONDS:
                return
            state.requests.refill(now)
            state.tokens.refill(now)
            if state.spent():
                state.seen = now
                self.states.move_to_end(name)
            else:
                del self.states[name]
