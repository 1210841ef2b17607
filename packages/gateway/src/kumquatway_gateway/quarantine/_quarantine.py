"""
Keeps requests that crash servers away from them, over all entries.
"""

import random
import time
from collections import deque
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass

from loguru import logger

from kumquatway_gateway.fleet import Fleet
from kumquatway_gateway.model import Server
from kumquatway_gateway.quarantine._blocks import Blocks, BlockState, trial_delay
from kumquatway_gateway.quarantine._chance import Surroundings, rarity
from kumquatway_gateway.quarantine._culprits import MIN_CRASHES, find_culprits
from kumquatway_gateway.quarantine._evidence import Crash, CrashKey, Evidence, Suspect
from kumquatway_gateway.quarantine._features import find_identity
from kumquatway_gateway.quarantine._traffic import Traffic

# Within which a server must be known to have ended after an answer broke off or was
# given up. A server that is silent stays on the list for up to 4 s, and longer while
# the store is away.
CONFIRMATION_SECONDS = 15.0
MAX_BROKEN_OFF = 256  # answers that wait for that
MAX_GIVEN_UP = 512
# Without news of the server, before it is checked once more.
RECHECK_SECONDS = 0.3
# A server that answers this long after an answer broke off has not ended with it.
ALIVE_SECONDS = 0.25
# From the news of a crash to its judgement. An entry that knows only its own requests
# would blame one that was there by chance.
SETTLE_SECONDS = 0.3
MIN_JUDGE_SECONDS = 0.1  # between two judgements of all that is due
MAX_JUDGE_SECONDS = 5.0  # between two looks for the cause of a crash, the last ones
RARITY_SECONDS = 0.5  # for which the rarity of a feature is not computed again
MIN_RETRY_SECONDS = 1.0  # until the caller of a blocked request should retry
MAX_ATTEMPT_LENGTH = 6  # of the ID of a caller's attempt; enough to tell a few apart
MAX_LOGGED_SUSPECTS = 4  # of a crash


@dataclass(kw_only=True, slots=True)
class _Unanswered:
    """
    A request without a complete answer, on servers that are not known to have ended.

    :param sent_at: when it was sent, monotonic seconds.
    :param ended_at: when its answer broke off or was given up, monotonic seconds.
    :param broken_off: whether the connection ended, rather than this entry's patience.
    :param recalled: whether this entry took it back, as it had become blocked.
    :param rechecked: whether the first server was checked once more.
    """

    servers: tuple[Server, ...]
    features: frozenset[str]
    attempt: str
    sent_at: float
    ended_at: float
    broken_off: bool
    beginning: bool
    recalled: bool
    rechecked: bool = False


class Quarantine:
    """
    The requests that reach no server, and the evidence against others.

    :param fleet: state of the servers.
    :param entry_count: returns the number of entries.
    :param clock: monotonic seconds.
    """

    def __init__(
        self,
        *,
        fleet: Fleet,
        entry_count: Callable[[], int] = lambda: 1,
        clock: Callable[[], float] = time.monotonic,
    ):
        self.fleet = fleet
        self.entry_count = entry_count
        self.clock = clock
        self.traffic = Traffic(clock=clock)
        self.evidence = Evidence(traffic=self.traffic, clock=clock)
        self.evidence.rarity = self._rarity
        self.rarities: dict[str, float] = {}  # of suspects' features
        self.rarities_until = clock()
        self.blocks = Blocks(clock=clock)
        # Crashes that this entry's own blocks are based on.
        self.block_reasons: dict[frozenset[str], set[CrashKey]] = {}
        self.generation = 0  # incremented with each new block
        self.broken_off: deque[_Unanswered] = deque(maxlen=MAX_BROKEN_OFF)
        self.given_up: deque[_Unanswered] = deque(maxlen=MAX_GIVEN_UP)
        # At least the servers of `broken_off`, and of `given_up`.
        self._broken_off_at: dict[CrashKey, Server] = {}
        self._given_up_at: dict[CrashKey, Server] = {}
        # Those of `broken_off` whose servers were not checked once more.
        self._to_recheck: deque[_Unanswered] = deque(maxlen=MAX_BROKEN_OFF)
        self.judged_at = float("-inf")
        # Crashes that have no known cause yet, and the next two times to look for it.
        self.judge_at: dict[CrashKey, tuple[float, float]] = {}
        # Of the last answer, by ID and incarnation of the server.
        self.answered_at: dict[CrashKey, float] = {}
        self.check_server: Callable[[Server], None] = lambda server: None
        # Called with what became of each answer that broke off.
        self.on_outcome: Callable[[str], None] = lambda outcome: None
        # Called on evidence and changes of blocks that this entry found itself.
        self.on_local_change: Callable[[], None] = lambda: None

    # what is blocked

    def seconds_blocked(self, features: frozenset[str]) -> float:
        """
        Return for how long requests with these features reach no server.

        :param features: features of a request.
        :return: seconds until one of them may be tried; 0 if they are not blocked.
        """
        blocked = self.blocks.matching(features)
        if not blocked:
            return 0.0
        trial_at = max(self.blocks.states[names].trial_at() for names in blocked)
        return max(MIN_RETRY_SECONDS, trial_at - self.clock())

    def due_trials(self, features: frozenset[str]) -> list[frozenset[str]]:
        """
        Return the blocks that a request would try, if all of them may be tried.

        :param features: features of a blocked request.
        """
        blocked = self.blocks.matching(features)
        now = self.clock()
        if any(self.blocks.states[names].trial_at() > now for names in blocked):
            return []
        return blocked

    def begin_trial(self, names: frozenset[str], state: BlockState) -> None:
        """
        Record that this entry lets one blocked request through.

        :param names: the blocked set of features.
        :param state: state of the block from now on.
        """
        if self.blocks.merge(names, state):
            logger.info("trying a request with {}", _describe(names))
            self.on_local_change()

    # what this entry sees

    def record_start(self, features: frozenset[str], server: str) -> None:
        """
        Record that a request is sent to a server.

        :param features: features of the request.
        :param server: ID of the server, of a chain the first one's.
        """
        self.traffic.record_start(features, server)

    def record_end(self, features: frozenset[str], server: str) -> None:
        """
        Record that a request is no longer at its server, whatever became of it.

        :param features: features of the request.
        :param server: ID of the server, as when it was sent.
        """
        self.traffic.record_end(features, server)

    def record_answer(self, server: Server) -> None:
        """
        Record that a server answers.

        :param server: server that sent the head of a response.
        """
        self.answered_at[server.id, server.incarnation] = self.clock()

    def record_beginning(self, features: frozenset[str]) -> None:
        """
        Record that the content of an answer has begun.

        :param features: features of the request.
        """
        self.traffic.record_harmless(features)

    def record_survival(self, features: frozenset[str], sent_at: float) -> None:
        """
        Record that an answer was complete.

        :param features: features of the request.
        :param sent_at: when it was sent, monotonic seconds.
        """
        self.traffic.record_survival(features, self.clock() - sent_at)
        lifted = self.blocks.matching(features)
        for names in lifted:
            self._lift(names)
        if lifted:
            self.on_local_change()

    def record_unanswered(
        self,
        servers: tuple[Server, ...],
        features: frozenset[str],
        sent_at: float,
        *,
        broken_off: bool,
        beginning: bool = False,
        recalled: bool = False,
        attempt: str = "",
    ) -> None:
        """
        Record that a request got no complete answer, and was not refused.

        It counts once one of the servers is known to have ended.

        :param servers: servers that worked on the request.
        :param features: features of the request.
        :param sent_at: when it was sent to the first one, monotonic seconds.
        :param broken_off: whether the connection ended; False if this entry closed it,
            as its caller left, the deadline passed or another server was asked.
        :param beginning: whether the head of the answer had arrived and nothing else.
        :param recalled: whether this entry took it back, as it had become blocked.
        :param attempt: ID of the caller's attempt.
        """
        # The end of a server that leaves needs no other cause.
        present = tuple(s for s in servers if not self.fleet.is_leaving(s))
        if not present:
            return
        unanswered = _Unanswered(
            servers=present,
            features=features,
            attempt=attempt[-MAX_ATTEMPT_LENGTH:],
            sent_at=sent_at,
            ended_at=self.clock(),
            broken_off=broken_off,
            beginning=beginning,
            recalled=recalled,
        )
        if broken_off:
            self.broken_off.append(unanswered)
            self._broken_off_at.update(_by_key(present))
            self._to_recheck.append(unanswered)
        else:
            self.given_up.append(unanswered)
            self._given_up_at.update(_by_key(present))
            self.traffic.record_given_up(features, self.clock() - sent_at)
        self.confirm_crashes()

    def confirm_crashes(self) -> None:
        """Turn answers that did not come into evidence where a server has ended."""
        self._retract_crashes()
        crashes: dict[CrashKey, bool] = {}
        # Hundreds of requests may wait for the end of a few servers.
        ended: dict[CrashKey, bool] = {}
        for waiting, servers in (
            (self.broken_off, self._broken_off_at),
            (self.given_up, self._given_up_at),
        ):
            if self._find_ended(servers.values(), ended) is None:
                self._drop_outlived(waiting, crashes, ended)
                if not waiting:
                    servers.clear()
                continue
            rest = [each for each in waiting if self._is_open(each, crashes, ended)]
            if len(rest) < len(waiting):
                waiting.clear()
                waiting.extend(rest)
            servers.clear()
            servers.update(_by_key(server for each in rest for server in each.servers))
            if waiting is self.broken_off:
                self._to_recheck.clear()
                self._to_recheck.extend(each for each in rest if not each.rechecked)
        self._recheck_due(ended)
        news = [key for key, is_news in crashes.items() if is_news]
        for key in news:
            self._judge_soon(key)
        if news:
            self.on_local_change()
        self._judge_due()
        if not self.broken_off and not self.given_up:
            self.answered_at.clear()

    def _is_open(
        self,
        each: _Unanswered,
        crashes: dict[CrashKey, bool],
        known: dict[CrashKey, bool],
    ) -> bool:
        """
        Tell whether to wait for more; evidence of an end is added to `crashes`.

        :param known: whether servers have ended, as far as they were looked at.
        """
        ended = self._find_ended(each.servers, known)
        if ended is None:
            if self.clock() - each.ended_at < CONFIRMATION_SECONDS:
                self._recheck(each)
                return True
            self.on_outcome("server lives")
            self._record_outlived(each)
            return False
        key = (ended.id, ended.incarnation)
        seconds = each.ended_at - each.sent_at
        if self.answered_at.get(key, 0.0) > each.ended_at + ALIVE_SECONDS:
            if not self._may_have_hung(ended, each):
                self.on_outcome("server lived on")
                return False
            seconds = self.clock() - each.sent_at
        self._add_evidence(key, each, seconds, crashes)
        return False

    def _record_outlived(self, each: _Unanswered) -> None:
        """
        Take note that a server outlived a request that this entry gave up.

        Load pattern: a request takes longer than its callers wait, and servers end of
        themselves.
        """
        if each.broken_off or each.recalled:
            return
        self.traffic.record_harmless(each.features)
        identity = find_identity(each.features)
        if identity is not None:
            self.traffic.note_survival(identity)

    def _may_have_hung(self, ended: Server, each: _Unanswered) -> bool:
        """
        Tell whether a server that answered others later may have ended of a request.

        Load pattern: a request hangs a part of its server, which takes seconds to end.
        An answer to another request says only that the server lived until then.
        """
        if each.broken_off or not self.fleet.has_run_ended(ended):
            return False
        identity = find_identity(each.features)
        return identity is None or (self.traffic.last_survival(identity) < each.sent_at)

    def _add_evidence(
        self,
        key: CrashKey,
        each: _Unanswered,
        seconds: float,
        crashes: dict[CrashKey, bool],
    ) -> None:
        """Add a request that was, or may have been, at a server until its end."""
        if not each.broken_off:
            self.traffic.record_given_up(each.features, each.sent_at - each.ended_at)
        self.traffic.record_loss(each.features, seconds)
        suspect = Suspect(
            features=each.features,
            seconds=seconds,
            beginning=each.beginning,
            attempt=each.attempt,
        )
        is_news = self.evidence.add(key, [suspect], each.ended_at, here=True)
        crashes[key] = crashes.get(key, False) or is_news
        self.on_outcome("crash")
        self._log_suspect(key, each)

    def _recheck(self, each: _Unanswered) -> None:
        """Check a server once more; the check after the end may have been left out."""
        if each.rechecked or not each.broken_off:
            return
        if self.clock() - each.ended_at >= RECHECK_SECONDS:
            each.rechecked = True
            self.check_server(each.servers[0])

    def _log_suspect(self, key: CrashKey, each: _Unanswered) -> None:
        """Log a suspect of a crash, up to a few of each."""
        crash = self.evidence.crashes.get(key)
        if crash is None or len(crash.suspects) > MAX_LOGGED_SUSPECTS:
            return
        logger.info(
            "server {} ended with a request in progress for {:.2f} s ({}): {}",
            key[0],
            each.ended_at - each.sent_at,
            "broken off" if each.broken_off else "given up",
            ", ".join(
                f"{feature} at {crashes} crash(es) since it got through"
                for feature, crashes in self.evidence.describe(each.features)
            ),
        )

    def _has_ended(self, server: Server) -> bool:
        """
        Tell whether a server has ended, or has fallen silent so that it seems so.

        It takes seconds until a silent server is known to have ended.
        """
        if self.fleet.has_run_ended(server):
            return True
        return server.id in self.fleet.servers and not self.fleet.is_responding(server)

    def _drop_outlived(
        self,
        waiting: deque[_Unanswered],
        crashes: dict[CrashKey, bool],
        known: dict[CrashKey, bool],
    ) -> None:
        """
        Wait no longer for those that have waited for long enough, the oldest first.

        Load pattern: hundreds of requests end at once, and none of their servers.
        """
        while waiting and self._has_waited(waiting[0], CONFIRMATION_SECONDS):
            self._is_open(waiting.popleft(), crashes, known)

    def _recheck_due(self, known: dict[CrashKey, bool]) -> None:
        """Check the servers once more that broke off answers a moment ago."""
        due = self._to_recheck
        while due and self._has_waited(due[0], RECHECK_SECONDS):
            each = due.popleft()
            if self._has_waited(each, CONFIRMATION_SECONDS):
                continue
            if self._find_ended(each.servers, known) is None:
                self._recheck(each)

    def _has_waited(self, each: _Unanswered, seconds: float) -> bool:
        return self.clock() - each.ended_at >= seconds

    def _find_ended(
        self, servers: Iterable[Server], known: dict[CrashKey, bool]
    ) -> Server | None:
        """Return the first server that has ended; `known` is looked at and added to."""
        for server in servers:
            key = (server.id, server.incarnation)
            if key not in known:
                known[key] = self._has_ended(server)
            if known[key]:
                return server
        return None

    def _retract_crashes(self) -> None:
        """Forget the crashes of servers that respond again, and did not restart."""
        for server_id, incarnation in list(self.evidence.crashes):
            status = self.fleet.health.get(server_id)
            if status is None or status.incarnation != incarnation or status.down:
                continue
            if self.fleet.may_have_restarted(server_id):
                continue
            known = self.fleet.servers.get(server_id)
            if known is not None and known.incarnation == incarnation:
                self._retract((server_id, incarnation))

    def _retract(self, crash: CrashKey) -> None:
        """Forget a crash, and lift the blocks for which the others are too few."""
        self.evidence.drop(crash)
        lifted = [
            names
            for names in self.blocks.active()
            if crash in self.block_reasons.get(names, ())
            and len(self._reasons_but(names, crash)) < MIN_CRASHES
        ]
        for names in lifted:
            self._lift(names)
        if lifted:
            self.on_local_change()

    def _reasons_but(self, names: frozenset[str], crash: CrashKey) -> set[CrashKey]:
        """Return the crashes that a block is based on, without one of them."""
        self.block_reasons[names].discard(crash)
        return self.block_reasons[names].union(self._at(names))

    # what peers know

    def recent_crashes(self, seconds: float) -> list[tuple[CrashKey, Crash]]:
        """
        Return the crashes that peers should hear of, newest first.

        :param seconds: how long ago this entry may have learned of them.
        :return: ID and incarnation of the server, and what is known of its crash.
        """
        cutoff = self.clock() - seconds
        crashes = self.evidence.crashes.items()
        recent = [item for item in crashes if item[1].updated_at >= cutoff]
        return sorted(recent, key=lambda item: item[1].updated_at, reverse=True)

    def sample_crashes(self) -> list[tuple[CrashKey, Crash]]:
        """
        Choose a crash to tell a peer of, which may have missed it.

        :return: ID and incarnation of the server, and what is known of its crash; empty
            if there is none.
        """
        if not self.evidence.crashes:
            return []
        return [random.choice(list(self.evidence.crashes.items()))]

    def receive_crash(
        self, server: CrashKey, suspects: Iterable[Suspect], age: float
    ) -> None:
        """
        Add what a peer knows of a crash.

        :param server: ID and incarnation of the server.
        :param suspects: requests that were in progress there.
        :param age: seconds since the crash was first known.
        """
        if self.evidence.add(server, suspects, self.clock() - max(0.0, age)):
            self._judge_soon(server)

    def receive_survivals(self, ages: Mapping[str, float]) -> None:
        """
        Take note of requests that got through at a peer.

        :param ages: seconds since a request with each feature last got through there.
        """
        for feature, age in ages.items():
            self.traffic.hear_survival(feature, age)
        self._lift_survivors(n for n in self.blocks.active() if not n.isdisjoint(ages))

    def receive_block(
        self, names: frozenset[str], state: BlockState, *, stored: bool = False
    ) -> None:
        """
        Adopt what a peer or the store knows of a block, if it is newer.

        :param names: the set of features.
        :param state: what is known.
        :param stored: whether the store holds it.
        """
        known = self.blocks.states.get(names)
        was_blocked = known is not None and not known.lifted
        if not self.blocks.merge(names, state, stored=stored):
            return
        if state.lifted:
            if was_blocked:
                _log_lifted(names)
            return
        if not was_blocked:
            self._report_block(names, state)
        # Another entry may have seen too little of them.
        self._lift_survivors([names])

    def _lift_survivors(self, blocked: Iterable[frozenset[str]]) -> None:
        """Lift blocks of what got through after the crashes that led to them."""
        for names in blocked:
            survived_at = min(map(self.traffic.last_survival, names))
            crashes = [self.evidence.crashes[key].seen_at for key in self._at(names)]
            since = min((self.blocks.states[names].changed_at, *crashes))
            later = sum(seen_at > survived_at for seen_at in crashes)
            if survived_at > since and later < MIN_CRASHES:
                self._lift(names)

    def _at(self, names: frozenset[str]) -> list[CrashKey]:
        """Return the crashes at which a request with a set of features was."""
        crashes = self.evidence.crashes
        return [
            key
            for key in self.evidence.by_feature.get(min(names), ())
            if any(names <= s.features for s in crashes[key].suspects.values())
        ]

    # decisions

    def _judge_soon(self, crash: CrashKey) -> None:
        """Judge a crash now, and once entries have told each other what they saw."""
        self._judge([crash], settled=False)
        at = self.clock() + SETTLE_SECONDS
        known = self.judge_at.get(crash)
        if known is None or known[0] > at:
            self.judge_at[crash] = (at, at + SETTLE_SECONDS)

    def _judge_due(self) -> None:
        """
        Judge the crashes whose time has come.

        Load pattern: many servers end within a second, of requests that come all the
        time. Only later it shows that these are few among all requests.
        """
        now = self.clock()
        if now < self.judged_at + MIN_JUDGE_SECONDS:
            return
        due = [key for key, (at, _) in self.judge_at.items() if at <= now]
        if not due:
            return
        self.judged_at = now
        for key in due:
            at, next_at = self.judge_at.pop(key)
            if key in self.evidence.crashes and next_at - at <= MAX_JUDGE_SECONDS:
                self.judge_at[key] = (next_at, next_at + 2 * (next_at - at))
        self._judge(due, settled=True)

    def _judge(self, newest: list[CrashKey], *, settled: bool) -> None:
        """Block what the evidence shows to crash servers."""
        culprits = find_culprits(
            self.evidence,
            newest,
            self._guilty(),
            self._surroundings(),
            settled=settled,
        )
        for names in culprits:
            if self.blocks.block(names):
                self._record_reasons(names)
                self._report_block(names, self.blocks.states[names])
                self.on_local_change()

    def _record_reasons(self, names: frozenset[str]) -> None:
        self.block_reasons[names] = set(self._at(names))
        for lifted in self.block_reasons.keys() - set(self.blocks.active()):
            del self.block_reasons[lifted]

    def _surroundings(self) -> Surroundings:
        return Surroundings(servers=len(self.fleet.servers), entries=self.entry_count())

    def _rarity(self, feature: str) -> float:
        """Return the rarity of a feature, as it was a moment ago."""
        if self.clock() >= self.rarities_until:
            self.rarities.clear()
            self.rarities_until = self.clock() + RARITY_SECONDS
        known = self.rarities.get(feature)
        if known is None:
            known = rarity(self.evidence, feature, self._surroundings())
            self.rarities[feature] = known
        return known

    def _guilty(self) -> dict[CrashKey, set[str]]:
        """Return the features of requests that are blocked by now, by their crash."""
        guilty: dict[CrashKey, set[str]] = {}
        for names in self.blocks.active():
            for key in self._at(names):
                for suspect in self.evidence.crashes[key].suspects.values():
                    if names <= suspect.features:
                        guilty.setdefault(key, set()).update(suspect.features)
        return guilty

    def _report_block(self, names: frozenset[str], state: BlockState) -> None:
        logger.warning(
            "requests with {} crash servers; they reach no server for {:.0f} s",
            _describe(names),
            state.changed_at + trial_delay(state.trials) - self.clock(),
        )
        self.generation += 1

    def _lift(self, names: frozenset[str]) -> None:
        _log_lifted(names)
        self.blocks.lift(names)


def _log_lifted(names: frozenset[str]) -> None:
    logger.warning("requests with {} get through again", _describe(names))


def _describe(names: frozenset[str]) -> str:
    return " and ".join(sorted(names))


def _by_key(servers: Iterable[Server]) -> dict[CrashKey, Server]:
    return {(server.id, server.incarnation): server for server in servers}
