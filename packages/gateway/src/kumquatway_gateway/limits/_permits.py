"""
Hands out permits to send requests to servers that have a limit.

All entries share the limit of a server. One of them issues the permits; the others ask
it for each one, so that no part of the limit is reserved for an entry without requests.
"""

import asyncio
import math
import random as _random
import time
from collections import deque
from collections.abc import Callable, Collection
from dataclasses import dataclass, field

from loguru import logger

from kumquatway_core.exceptions import InvalidData
from kumquatway_gateway.limits._issuer import Issue, PermitIssuer
from kumquatway_gateway.limits._messages import (
    PermitRequest,
    PermitResponse,
    decode,
    encode,
)
from kumquatway_gateway.limits._named import NamedLimit, NamedLimits
from kumquatway_gateway.limits._ranking import IssuerRanking
from kumquatway_gateway.model import Server

RESPONSE_SECONDS = 0.06  # after which a request for permits counts as lost
PERMIT_SECONDS = 0.5  # after its arrival, within which a permit must be used
MAX_COUNT = 16  # permits in one request
MIN_WAIT_SECONDS = 0.02  # after a denial
MAX_WAIT_SECONDS = 8.0
# Since the last denial, in which a server's limit counts as too low for its requests.
SHORTAGE_SECONDS = 3.0
UNKNOWN_SERVER_SECONDS = 0.3  # until the issuer has probably read the newest list


@dataclass(frozen=True, kw_only=True, slots=True, eq=False)
class _Waiter:
    """A request that waits for a permit until some time, monotonic seconds."""

    future: asyncio.Future[bool]
    until: float


@dataclass(frozen=True, kw_only=True, slots=True)
class _Question:
    """A request for permits that was sent to another entry."""

    address: str
    number: int
    count: int
    sent_at: float


@dataclass(kw_only=True, slots=True)
class _Account:
    """
    Permits of this entry for one incarnation of a server.

    :param in_hand: ends of the validity of unused permits, monotonic seconds.
    :param question: request for permits that has no response yet.
    :param exhausted_until: until when the issuer has no permit.
    :param denied_at: when the issuer last had none.
    """

    server: Server
    in_hand: deque[float] = field(default_factory=deque)
    waiters: deque[_Waiter] = field(default_factory=deque)
    question: _Question | None = None
    exhausted_until: float = float("-inf")
    denied_at: float = float("-inf")


class Permits:
    """
    Permits of this entry, and those that it issues to others.

    Servers without a limit need none. Without peers, an entry is its own issuer.

    :param limits: the limits of the servers.
    :param find_server: returns a listed server by its ID, or None.
    :param learn: records what another entry knows about a server's limit.
    :param address: address of this entry for peers, `host:port`.
    :param addresses: returns the addresses of the other entries.
    :param send: sends a message to another entry; it may get lost.
    :param on_issued: called when permits arrive from another entry, or are not needed
        any more.
    :param on_outcome: called with the outcome of each request for permits.
    :param clock: monotonic seconds.
    :param random: returns a random number from 0 to 1.
    """

    def __init__(
        self,
        *,
        limits: NamedLimits,
        find_server: Callable[[str], Server | None],
        learn: Callable[[str, NamedLimit], None],
        address: str = "",
        addresses: Callable[[], Collection[str]] = tuple,
        send: Callable[[str, bytes], None] = lambda address, data: None,
        on_issued: Callable[[], None] = lambda: None,
        on_outcome: Callable[[str], None] = lambda outcome: None,
        clock: Callable[[], float] = time.monotonic,
        random: Callable[[], float] = _random.random,
    ):
        self.limits = limits
        self.find_server = find_server
        self.learn = learn
        self.address = address
        self.send = send
        self.on_issued = on_issued
        self.on_outcome = on_outcome
        self.clock = clock
        self.ranking = IssuerRanking(address=address, addresses=addresses, clock=clock)
        self.issuer = PermitIssuer(
            limits=limits, ranking=self.ranking, clock=clock, random=random
        )
        self.accounts: dict[str, _Account] = {}  # by server ID
        # Those that wait for a response or have requests waiting.
        self.unsettled: dict[str, _Account] = {}
        self.pings: dict[str, float] = {}  # when they were sent, by address
        self._last_number = 0

    def needs(self, server: Server) -> bool:
        """
        Tell whether a request to a server needs a permit.

        :param server: a listed server.
        """
        return self.limits.rate(server) is not None

    def seconds_exhausted(self, server: Server) -> float:
        """
        Return for how long there is certainly no permit for a server.

        :param server: a listed server.
        :return: seconds, 0 if one may be had at once.
        """
        account = self._known_account(server)
        if account is None or not self.needs(server) or self._in_hand(account):
            return 0.0
        return max(0.0, account.exhausted_until - self.clock())

    def is_short(self, server: Server) -> bool:
        """
        Tell whether a server recently had fewer permits than this entry wanted.

        :param server: a listed server.
        """
        account = self._known_account(server)
        if account is None or not self.needs(server):
            return False
        return self.clock() - account.denied_at < SHORTAGE_SECONDS

    def is_ready(self, server: Server) -> bool:
        """
        Tell whether a request may be sent to a server without asking for a permit.

        :param server: a listed server.
        """
        account = self._known_account(server)
        in_hand = account is not None and self._in_hand(account)
        return in_hand or not self.needs(server)

    def try_take(self, server: Server) -> bool:
        """
        Take a permit that is in hand, or ask for one for a later call.

        :param server: a listed server.
        :return: whether a request may be sent to the server now.
        """
        if not self.needs(server):
            return True
        account = self._account(server)
        if not self._in_hand(account):
            self._ask(account)
        if not self._in_hand(account):
            return False
        account.in_hand.popleft()
        return True

    async def take(self, server: Server, patience: float) -> bool:
        """
        Take a permit, and wait for it if necessary.

        :param server: a listed server.
        :param patience: how long to wait, seconds.
        :return: whether a request may be sent to the server now; False at once if there
            will be no permit in time.
        """
        if self.try_take(server):
            return True
        account = self._account(server)
        until = self.clock() + patience
        if account.exhausted_until >= until:
            return False
        future = asyncio.get_running_loop().create_future()
        waiter = _Waiter(future=future, until=until)
        account.waiters.append(waiter)
        self.unsettled[server.id] = account
        try:
            async with asyncio.timeout(patience):
                return await asyncio.shield(future)
        except TimeoutError:
            return future.done() and future.result()
        except asyncio.CancelledError:
            if future.done() and future.result():
                self.give_back(server)
            raise
        finally:
            if waiter in account.waiters:
                account.waiters.remove(waiter)

    def give_back(self, server: Server) -> None:
        """
        Give back a permit whose request did not reach the server.

        :param server: server that the permit was for.
        """
        if self.needs(server):
            account = self._account(server)
            account.in_hand.append(self.clock() + PERMIT_SECONDS)
            self._serve_waiters(account)

    def check(self) -> None:
        """Ask again after lost responses and ended waits; called periodically."""
        now = self.clock()
        for address, sent_at in list(self.pings.items()):
            if now - sent_at >= RESPONSE_SECONDS:
                del self.pings[address]
                self.ranking.record_failure(address)
        for account in list(self.unsettled.values()):
            self._check_account(account, now)
            settled = account.question is None and not account.waiters
            if settled and self.unsettled.get(account.server.id) is account:
                del self.unsettled[account.server.id]

    def _check_account(self, account: _Account, now: float) -> None:
        if self.find_server(account.server.id) is not account.server:
            self._move_account(account)
        elif not self.needs(account.server):
            self._drop(account, permitted=True)
            self.on_issued()
        else:
            self._check_question(account, now)
            if account.waiters:
                self._ask(account)

    def receive(self, data: bytes) -> None:
        """
        Handle a message of another entry.

        :param data: the message.
        """
        try:
            message = decode(data)
        except InvalidData as error:
            logger.warning("ignored an invalid message about permits: {}", error)
            return
        if isinstance(message, PermitRequest):
            self._respond(message)
        else:
            self._receive_response(message)

    def forget_all_but(self, server_ids: Collection[str]) -> None:
        """
        Forget everything about servers that are no longer listed.

        :param server_ids: IDs of the listed servers.
        """
        self.limits.forget_all_but(server_ids)
        self.issuer.forget_all_but(server_ids)
        self.ranking.forget_all_but(server_ids)
        for name in [name for name in self.accounts if name not in server_ids]:
            self._drop(self.accounts[name], permitted=False)

    # this entry asks

    def _known_account(self, server: Server) -> _Account | None:
        account = self.accounts.get(server.id)
        if account is None or account.server.incarnation != server.incarnation:
            return None
        return account

    def _account(self, server: Server) -> _Account:
        account = self._known_account(server)
        if account is None:
            if server.id in self.accounts:
                self._drop(self.accounts[server.id], permitted=False)
            account = self.accounts[server.id] = _Account(server=server)
        return account

    def _in_hand(self, account: _Account) -> bool:
        now = self.clock()
        while account.in_hand and account.in_hand[0] <= now:
            account.in_hand.popleft()
        return bool(account.in_hand)

    def _ask(self, account: _Account) -> None:
        """Ask for the permits that are missing, unless there certainly is none."""
        while account.question is None and self.clock() >= account.exhausted_until:
            count = min(MAX_COUNT, max(1, len(account.waiters)))
            issuer = self.ranking.issuer(account.server)
            if issuer != self.address:
                self._send_question(account, issuer, count)
                return
            issue = self.issuer.issue(account.server, self.address, count)
            self._accept(account, count, issue)
            if not account.waiters:
                return

    def _send_question(self, account: _Account, issuer: str, count: int) -> None:
        self._last_number += 1
        account.question = _Question(
            address=issuer,
            number=self._last_number,
            count=count,
            sent_at=self.clock(),
        )
        self.unsettled[account.server.id] = account
        self._send_request(issuer, account.server, self._last_number, count)

    def _send_request(
        self, address: str, server: Server, number: int, count: int
    ) -> None:
        limit = self.limits.get(server)
        message = PermitRequest(
            sender=self.address,
            number=number,
            server=server.id,
            incarnation=server.incarnation,
            count=count,
            rate=limit.rate if limit else None,
            age=self.clock() - limit.observed_at if limit else 0.0,
        )
        self.send(address, encode(message))

    def _check_question(self, account: _Account, now: float) -> None:
        question = account.question
        if question is None or now - question.sent_at < RESPONSE_SECONDS:
            return
        account.question = None
        self.ranking.record_failure(question.address)
        self.on_outcome("unanswered")

    def _receive_response(self, message: PermitResponse) -> None:
        self.ranking.record_alive(message.sender)
        self.pings.pop(message.sender, None)
        server = self.find_server(message.server)
        if server is None or server.incarnation != message.incarnation:
            return
        if message.age is not None:
            self._learn(server, message.rate, message.age)
        account = self.accounts.get(server.id)
        if account is None or account.question is None:
            return
        if account.question.number != message.number:
            return
        asked = account.question.count
        account.question = None
        count = min(max(0, message.count), asked)
        wait = message.wait if math.isfinite(message.wait) else MAX_WAIT_SECONDS
        self._accept(account, asked, Issue(count=count, wait=wait))
        if account.waiters:
            self._ask(account)
        if self._in_hand(account):
            self.on_issued()

    def _accept(self, account: _Account, asked: int, issue: Issue) -> None:
        """Take over the permits that were issued."""
        now = self.clock()
        account.in_hand.extend([now + PERMIT_SECONDS] * issue.count)
        self.on_outcome("issued" if issue.count == asked else "denied")
        if issue.count < asked:
            wait = min(MAX_WAIT_SECONDS, max(MIN_WAIT_SECONDS, issue.wait))
            account.exhausted_until = now + wait
            account.denied_at = now
        self._serve_waiters(account)

    def _serve_waiters(self, account: _Account) -> None:
        """Give permits to those who wait, and refuse those who would wait in vain."""
        waiters, account.waiters = account.waiters, deque()
        for waiter in waiters:
            if waiter.future.done():
                continue
            if self._in_hand(account):
                account.in_hand.popleft()
                waiter.future.set_result(True)
            elif waiter.until <= account.exhausted_until:
                waiter.future.set_result(False)
            else:
                account.waiters.append(waiter)

    def _move_account(self, account: _Account) -> None:
        """Go on with the current registration of a server, or refuse if it is gone."""
        server = self.find_server(account.server.id)
        if server is not None and server.incarnation == account.server.incarnation:
            account.server = server
        else:
            self._drop(account, permitted=False)

    def _drop(self, account: _Account, *, permitted: bool) -> None:
        """Forget an account, and let its waiting requests go on or refuse them."""
        for table in (self.accounts, self.unsettled):
            if table.get(account.server.id) is account:
                del table[account.server.id]
        waiters, account.waiters = account.waiters, deque()
        for waiter in waiters:
            if not waiter.future.done():
                waiter.future.set_result(permitted)

    def _learn(self, server: Server, rate: float | None, age: float) -> None:
        """Take over what another entry knows about a server's limit."""
        if not age >= 0:
            logger.warning("ignored a limit of server {} of age {}", server.id, age)
            return
        limit = NamedLimit(
            incarnation=server.incarnation, rate=rate, observed_at=self.clock() - age
        )
        self.learn(server.id, limit)

    # this entry is asked

    def _respond(self, message: PermitRequest) -> None:
        self.ranking.record_alive(message.sender)
        server = self.find_server(message.server)
        if server is None or server.incarnation != message.incarnation:
            issue, limit = Issue(count=0, wait=UNKNOWN_SERVER_SECONDS), None
        else:
            self._learn(server, message.rate, message.age)
            count = min(max(0, message.count), MAX_COUNT)
            if count:
                self._ping_superiors(server)
            issue = self.issuer.issue(server, message.sender, count)
            limit = self.limits.get(server)
        response = PermitResponse(
            sender=self.address,
            number=message.number,
            server=message.server,
            incarnation=message.incarnation,
            count=issue.count,
            wait=issue.wait,
            rate=limit.rate if limit else None,
            age=self.clock() - limit.observed_at if limit else None,
        )
        self.send(message.sender, encode(response))

    def _ping_superiors(self, server: Server) -> None:
        """Ask the entries that should issue these permits for a sign of life."""
        for address in self.ranking.superiors(server):
            if not self.ranking.is_silent(address) and address not in self.pings:
                self.pings[address] = self.clock()
                self._send_request(address, server, 0, 0)
