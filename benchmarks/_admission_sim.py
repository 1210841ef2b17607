"""
Simulation of admission.

A small discrete simulation of one entry and its engines, in virtual time.
"""

import heapq
import random
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field

from kumquatway.admission import Admission, Ask, Capacity, Kind, Ticket, Waiting
from kumquatway_core import Verdict
from kumquatway_core.text import Account, Priority

SLOTS = 32
SECONDS_PER_COST = 1 / 400
PROMPT_TOKENS = 200
ANSWER_TOKENS = 100
COST = PROMPT_TOKENS + 2 * ANSWER_TOKENS
PREFILL_SECONDS = 0.25
DEADLINE_SECONDS = 4.0
PEAK_PER_SECOND = SLOTS / (COST * SECONDS_PER_COST)
ORDER = (Priority.URGENT, Priority.NORMAL, Priority.BULK)


class Timeline:
    """Events in virtual time."""

    def __init__(self):
        self.now = 0.0
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.count = 0

    def clock(self) -> float:
        """
        Give the virtual time.

        :return: seconds.
        """
        return self.now

    def after(self, delay: float, event: Callable[[], None]) -> None:
        """
        Plan an event.

        :param delay: seconds from now.
        :param event: called then.
        """
        self.count += 1
        heapq.heappush(self.events, (self.now + delay, self.count, event))

    def run(self, until: float) -> None:
        """
        Run the events up to a time.

        :param until: seconds.
        """
        while self.events and self.events[0][0] <= until:
            self.now, _, event = heapq.heappop(self.events)
            event()
        self.now = until


class Engine:
    """
    A number of slots with a queue of its own.

    :param timeline: the virtual time.
    :param slots: requests served at once.
    :param order: sorts the queue; lower goes first.
    """

    def __init__(
        self,
        *,
        timeline: Timeline,
        slots: int = SLOTS,
        order: Callable[[Ask], float] = lambda ask: 0.0,
    ):
        self.timeline = timeline
        self.slots = slots
        self.order = order
        self.busy = 0
        self.count = 0
        self.queue: list = []

    def submit(self, ask: Ask, seconds: float, started, ended) -> None:
        """
        Queue a request.

        :param ask: the request.
        :param seconds: how long it holds a slot.
        :param started: called with the seconds spent in the queue.
        :param ended: called at its end.
        """
        self.count += 1
        entry = (self.order(ask), self.count, self.timeline.now, seconds)
        heapq.heappush(self.queue, (*entry, started, ended))
        self._next()

    def _next(self) -> None:
        while self.queue and self.busy < self.slots:
            _, _, since, seconds, started, ended = heapq.heappop(self.queue)
            self.busy += 1
            started(self.timeline.now - since)
            self.timeline.after(seconds, lambda ended=ended: self._end(ended))

    def _end(self, ended: Callable[[], None]) -> None:
        self.busy -= 1
        ended()
        self._next()


@dataclass(kw_only=True, slots=True)
class Source:
    """
    One account's Poisson stream of requests.

    :param per_second: requests offered.
    :param size: factor of the tokens of each request.
    """

    name: str
    per_second: float
    spec: Account = field(default_factory=lambda: account())
    priority: Priority = Priority.NORMAL
    kind: Kind = Kind.CHAT
    size: float = 1.0


@dataclass(kw_only=True, slots=True)
class Outcome:
    """What became of an account's requests."""

    offered: int = 0
    good: int = 0
    late: int = 0
    refused: int = 0
    served: float = 0.0
    first_token: list[float] = field(default_factory=list)
    refusal: list[float] = field(default_factory=list)


def account(**changes) -> Account:
    """
    Make an account without limits that matter.

    :param changes: fields that differ.
    :return: the account.
    """
    values = {
        "keys": (),
        "requests_per_second": 1e6,
        "tokens_per_second": 1e9,
        "max_concurrent": 1_000_000,
    }
    return Account(**(values | changes))


class World:
    """
    Sources, an entry with or without admission, and an engine.

    :param sources: who asks.
    :param policy: `fair`, `fifo` or `priority`; the latter two refuse nothing.
    :param seed: of the random numbers.
    :param warm_up: seconds before outcomes count.
    :param slots: of the engine.
    :param capacity: as in `Admission`.
    """

    def __init__(
        self,
        sources: list[Source],
        *,
        policy: str = "fair",
        seed: int = 1,
        warm_up: float = 10.0,
        slots: int = SLOTS,
        capacity: Callable[[str], Capacity] | None = None,
    ):
        self.timeline = Timeline()
        self.random = random.Random(seed)
        self.sources = {source.name: source for source in sources}
        self.policy = policy
        self.warm_up = warm_up
        self.good = 0
        self.outcomes: dict[str, Outcome] = defaultdict(Outcome)
        order = self._priority if policy == "priority" else lambda ask: 0.0
        self.engine = Engine(timeline=self.timeline, slots=slots, order=order)
        self.admission = Admission(
            lookup=lambda name: self.sources[name].spec,
            capacity=capacity or (lambda target: Capacity()),
            clock=self.timeline.clock,
            random=self.random.random,
        )

    def run(self, seconds: float) -> dict[str, Outcome]:
        """
        Run the world.

        :param seconds: virtual time.
        :return: the outcomes by account.
        """
        for source in self.sources.values():
            self._plan(source)
        self._sweep()
        self.timeline.run(seconds)
        return self.outcomes

    def _sweep(self) -> None:
        self.admission.sweep()
        self.timeline.after(0.05, self._sweep)

    def _plan(self, source: Source) -> None:
        delay = self.random.expovariate(source.per_second)
        self.timeline.after(delay, lambda: self._arrive(source))

    def _arrive(self, source: Source) -> None:
        self._plan(source)
        now = self.timeline.now
        chat = source.kind is Kind.CHAT
        ask = Ask(
            account=source.name,
            target="model",
            kind=source.kind,
            priority=source.priority,
            prompt_tokens=int(PROMPT_TOKENS * source.size) if chat else 0,
            answer_tokens=int(ANSWER_TOKENS * source.size) if chat else 0,
            deadline=now + DEADLINE_SECONDS,
        )
        outcome = Outcome() if now < self.warm_up else self.outcomes[source.name]
        outcome.offered += 1
        if self.policy != "fair":
            self._send(ask, None, outcome, now)
            return
        offered = self.admission.offer(
            ask, lambda result: self._decided(result, ask, outcome, now)
        )
        if not isinstance(offered, Waiting):
            self._decided(offered, ask, outcome, now)

    def _decided(self, result, ask: Ask, outcome: Outcome, since: float) -> None:
        if isinstance(result, Verdict):
            outcome.refused += 1
            outcome.refusal.append(self.timeline.now - since)
        else:
            self._send(ask, result, outcome, since)

    def _send(
        self, ask: Ask, ticket: Ticket | None, outcome: Outcome, since: float
    ) -> None:
        mean = ask.cost() * SECONDS_PER_COST
        seconds = mean * self.random.uniform(0.5, 1.5)

        def started(queueing: float) -> None:
            outcome.first_token.append(self.timeline.now - since + PREFILL_SECONDS)
            if ticket is not None:
                self.admission.observe("model", queueing)

        def ended() -> None:
            if self.timeline.now <= ask.deadline:
                outcome.good += 1
                self.good += self.timeline.now >= self.warm_up
            else:
                outcome.late += 1
            outcome.served += ask.cost()
            if ticket is not None:
                ticket.close(ask.tokens())

        self.engine.submit(ask, seconds, started, ended)

    def _priority(self, ask: Ask) -> float:
        return ORDER.index(ask.priority)


def jain(values: list[float]) -> float:
    """
    Compute Jain's index.

    :param values: service received, each as a part of its due.
    :return: 1 if all are equal, 1 / n if one has all.
    """
    squares = sum(value * value for value in values)
    return sum(values) ** 2 / (len(values) * squares) if squares else 1.0


def quantile(values: list[float], part: float) -> float:
    """
    Find a quantile.

    :param values: at least one.
    :param part: 0 to 1.
    :return: the value at that part of the order.
    """
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(part * len(ordered)))]


def overload(load: float, policy: str = "fair", seconds: float = 60.0) -> World:
    """
    Offer a multiple of the engine's peak from 20 equal accounts.

    :param load: offered over peak.
    :param policy: as in `World`.
    :param seconds: virtual time.
    :return: the world after the run.
    """
    rate = load * PEAK_PER_SECOND / 20
    sources = [Source(name=f"a{i}", per_second=rate) for i in range(20)]
    world = World(sources, policy=policy)
    world.run(seconds)
    return world


def rush(
    policy: str = "fair", seconds: float = 90.0, large: bool = True, scale: int = 1
) -> World:
    """
    Run nine accounts below their share, beside one that offers 10 times its own.

    :param policy: as in `World`.
    :param seconds: virtual time.
    :param large: False leaves the large account out.
    :param scale: factor of the engine's slots and of the offered load.
    :return: the world after the run.
    """
    share = scale * PEAK_PER_SECOND / 10
    sources = [Source(name=f"s{i}", per_second=0.75 * share) for i in range(9)]
    if large:
        sources.append(Source(name="large", per_second=10 * share))
    world = World(sources, policy=policy, slots=scale * SLOTS)
    world.run(seconds)
    return world


def goodput(world: World, seconds: float) -> float:
    """
    Relate the answers in time to the engine's peak.

    :param world: after its run.
    :param seconds: virtual time of the run.
    :return: 0 to 1.
    """
    return world.good / (seconds - world.warm_up) / PEAK_PER_SECOND
