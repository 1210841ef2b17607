"""
Holds the sets of features whose requests reach no server, and how they end.
"""

import random
import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace

MAX_BLOCKS = 128  # the one that changed longest ago is dropped first
# From a block to the first trial; each trial that does not end the block makes the time
# four times as long.
FIRST_TRIAL_SECONDS = 60.0
TRIAL_FACTOR = 4.0
MAX_TRIAL_SECONDS = 3600.0
# A block that no request has met for this time after its trial was due is forgotten.
UNUSED_SECONDS = 3600.0
LIFTED_SECONDS = (
    600.0  # for which a lifted block is remembered, so that all entries hear
)
CHECK_SECONDS = 1.0  # between two looks for states to forget
MAX_TRIALS = 64  # as a peer or the store says


@dataclass(frozen=True, kw_only=True, slots=True)
class BlockState:
    """
    What is known of one set of features.

    :param version: incremented with each change; the higher one is newer.
    :param trials: requests that were let through to see if they still crash servers.
    :param lifted: whether such requests get through again.
    :param changed_at: time of the last change, monotonic seconds.
    """

    version: int = 1
    trials: int = 0
    lifted: bool = False
    changed_at: float

    def is_newer(self, other: "BlockState") -> bool:
        """Tell whether this state replaces another one; of two changes, the block."""
        return (self.version, not self.lifted) > (other.version, not other.lifted)

    def trial_at(self) -> float:
        """Return from when on one request may be tried, monotonic seconds."""
        return self.changed_at + trial_delay(self.trials)

    def forgotten_at(self) -> float:
        """Return when this state need not be remembered any more."""
        if self.lifted:
            return self.changed_at + LIFTED_SECONDS
        return self.trial_at() + UNUSED_SECONDS


def trial_delay(trials: int) -> float:
    """
    Return the time from a change of a block until a request is tried.

    Load pattern: the cause of the crashes ends, as a server is repaired or replaced by
    another version, or a request was blocked wrongly. Nobody can know without a trial,
    and each trial may crash a server.

    :param trials: number of trials before.
    """
    counted = min(trials, MAX_TRIALS)  # a peer or a row may name any number
    return min(MAX_TRIAL_SECONDS, FIRST_TRIAL_SECONDS * TRIAL_FACTOR**counted)


class Blocks:
    """
    The sets of features that are blocked, or were until lately.

    :param clock: monotonic seconds.
    """

    def __init__(self, *, clock: Callable[[], float] = time.monotonic):
        self.clock = clock
        self.states: dict[frozenset[str], BlockState] = {}
        self.by_feature: dict[
            str, set[frozenset[str]]
        ] = {}  # by the first one of a set
        self.checked_at = float("-inf")  # for states to forget
        self.unstored: set[frozenset[str]] = set()  # whose state the store may lack

    def active(self) -> list[frozenset[str]]:
        """Return the sets of features that are blocked."""
        return [names for names, state in self.states.items() if not state.lifted]

    def matching(self, features: frozenset[str]) -> list[frozenset[str]]:
        """
        Return the blocked sets that a request meets.

        :param features: features of the request.
        """
        if not self.states:
            return []
        self._drop_forgotten()
        return [
            names
            for feature in features
            for names in self.by_feature.get(feature, ())
            if names <= features and not self.states[names].lifted
        ]

    def block(self, names: frozenset[str]) -> bool:
        """
        Block a set of features.

        :return: whether it was not blocked.
        """
        known = self.states.get(names)
        if known is not None and not known.lifted:
            return False
        version = known.version + 1 if known is not None else 1
        self._set(names, BlockState(version=version, changed_at=self.clock()))
        return True

    def lift(self, names: frozenset[str]) -> None:
        """Record that requests with a blocked set of features get through."""
        state = self.states[names]
        self._set(
            names,
            BlockState(
                version=state.version + 1,
                trials=state.trials,
                lifted=True,
                changed_at=self.clock(),
            ),
        )

    def next_trial(self, names: frozenset[str]) -> BlockState:
        """Return the state of a block once one more request is tried."""
        state = self.states[names]
        return replace(
            state,
            version=state.version + 1,
            trials=min(state.trials + 1, MAX_TRIALS),
            changed_at=self.clock(),
        )

    def merge(
        self, names: frozenset[str], state: BlockState, *, stored: bool = False
    ) -> bool:
        """
        Take over what a peer or the store knows of a set of features, if it is newer.

        :param names: the set of features.
        :param state: what is known.
        :param stored: whether this is what the store holds.
        :return: whether it is news.
        """
        if not names or state.forgotten_at() <= self.clock():
            return False
        known = self.states.get(names)
        if known is None or state.is_newer(known):
            self._set(names, state)
            if stored:
                self.unstored.discard(names)
            return True
        if stored:
            if known.is_newer(state):
                self.unstored.add(names)
            else:
                self.unstored.discard(names)
        return False

    def mark_stored(self, states: Iterable[tuple[frozenset[str], BlockState]]) -> None:
        """Record that states were written to the store."""
        for names, state in states:
            if self.states.get(names) == state:
                self.unstored.discard(names)

    def mark_all_unstored(self) -> None:
        """Record that the store may lack everything."""
        self.unstored = set(self.states)

    def sample(self, count: int) -> list[tuple[frozenset[str], BlockState]]:
        """
        Choose states to tell a peer of: the one that changed last, others at random.

        :param count: highest number of states.
        """
        self._drop_forgotten()
        states = sorted(self.states.items(), key=lambda item: -item[1].changed_at)
        if len(states) <= count:
            return states
        return states[:1] + random.sample(states[1:], count - 1)

    def _set(self, names: frozenset[str], state: BlockState) -> None:
        self.states[names] = state
        self.by_feature.setdefault(min(names), set()).add(names)
        self.unstored.add(names)
        if len(self.states) > MAX_BLOCKS:
            rest = (key for key in self.states if key != names)
            self._drop(min(rest, key=self._drop_order))

    def _drop_order(self, names: frozenset[str]) -> tuple[bool, float]:
        state = self.states[names]
        return (not state.lifted, state.changed_at)

    def _drop(self, names: frozenset[str]) -> None:
        del self.states[names]
        self.unstored.discard(names)
        known = self.by_feature[min(names)]
        known.discard(names)
        if not known:
            del self.by_feature[min(names)]

    def _drop_forgotten(self) -> None:
        now = self.clock()
        if now < self.checked_at + CHECK_SECONDS:
            return
        self.checked_at = now
        for names in [n for n, s in self.states.items() if s.forgotten_at() <= now]:
            self._drop(names)
