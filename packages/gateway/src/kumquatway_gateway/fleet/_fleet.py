"""
Tracks what this entry knows about each server.

Combines the server list with newer layer reports, health and slowdowns, from this
entry and its peers.
"""

import time
from collections.abc import Callable
from dataclasses import dataclass, replace

from kumquatway_core.events import Event, MembershipChanged
from kumquatway_gateway.fleet._pauses import Pauses
from kumquatway_gateway.limits import NamedLimit, NamedLimits, Permits
from kumquatway_gateway.model import (
    LayerRange,
    LayerReport,
    Server,
    ServerNotice,
    ServerState,
    may_be_copy,
)

# The list lags behind the servers by a heartbeat of 1.2 s and the 0.8 s that the store
# adds in the users' deployments.
LIST_LAG_SECONDS = 2.2
SLOWDOWN_THRESHOLD = 1.5  # factor above which a server counts as slow
MIN_SLOWDOWN_CHANGE = 0.2  # relative change of the factor that counts as a change
# How long ended servers are remembered: longer than callers wait (20 s).
ENDED_RETENTION_SECONDS = 30.0
AVOID_SECONDS = 0.4  # after a server reported that it is full or gives up layers
MAX_UNLISTED_REPORTS = 1000  # of servers that may be listed again
LIMIT_NOTICE_SECONDS = 1.0  # least time between sending changed limits to peers
NO_INCARNATION = 0  # of a server that reports none


@dataclass(frozen=True, kw_only=True, slots=True)
class HealthStatus:
    """
    An observation that a server is down or up.

    :param incarnation: incarnation of the server that was observed.
    :param observed_at: time of the observation, monotonic seconds.
    :param ended: whether the incarnation has certainly ended, rather than being
        unreachable.
    :param refuses_work: whether the server responds and finishes its requests, but
        accepts no new work.
    """

    incarnation: int
    down: bool
    observed_at: float
    reason: str
    ended: bool = False
    refuses_work: bool = False

    def says_the_same_as(self, other: "HealthStatus") -> bool:
        """
        Tell whether two observations differ at most in their time and reason.

        :param other: an observation of the same server.
        """
        times = {"observed_at": self.observed_at, "reason": self.reason}
        return replace(other, **times) == self


@dataclass(frozen=True, kw_only=True, slots=True)
class Slowdown:
    """
    How many times longer than usual a server's work takes.

    :param incarnation: incarnation of the server that was observed.
    :param observed_at: time of the last observation, monotonic seconds.
    :param changed_at: when the factor last changed noticeably, monotonic seconds.
    """

    incarnation: int
    factor: float
    observed_at: float
    changed_at: float

    def is_recent(self, now: float, window: float) -> bool:
        """
        Tell whether to send this slowdown to peers.

        :param now: monotonic seconds.
        :param window: how long an observation or a change counts as recent, seconds.
        :return: False for an old observation, and for a server that has worked at
            normal speed for longer than `window`.
        """
        if now - self.observed_at >= window:
            return False
        return self.factor > SLOWDOWN_THRESHOLD or now - self.changed_at < window


class Fleet:
    """
    The servers as routing and placement see them.

    :param emit: called with each event.
    :param clock: monotonic seconds.
    """

    def __init__(
        self,
        *,
        emit: Callable[[Event], None] = lambda event: None,
        clock: Callable[[], float] = time.monotonic,
    ):
        self.emit = emit
        self.clock = clock
        self.servers: dict[str, Server] = {}
        self.by_address: dict[str, Server] = {}
        self.health: dict[str, HealthStatus] = {}
        self.layer_reports: dict[str, LayerReport] = {}
        # Time of the first list that showed the layers which are listed now, by server.
        self.layers_listed_at: dict[str, float] = {}
        # The last report of each server that the list has caught up with.
        self.dropped_reports: dict[str, LayerReport] = {}
        # Incarnations that are known to leave, whatever the list says.
        self.leaving: dict[str, int] = {}
        self.pauses = Pauses(clock=clock)
        self.limits = NamedLimits(clock=clock)
        self.limits_sent_at = float("-inf")
        # An entry with peers replaces these by permits that it shares with them.
        self.permits = Permits(
            limits=self.limits,
            find_server=self.find_server,
            learn=self.update_limit,
            clock=clock,
        )
        self.ended_at: dict[str, float] = {}  # of servers that ended and are unlisted
        # When servers whose incarnation was seen to end responded again, or infinity.
        self.resumed_at: dict[str, float] = {}
        self.avoided_until: dict[str, float] = {}
        self.slowdowns: dict[str, Slowdown] = {}
        self.listed_at = float("-inf")  # time of the last list that was up to date
        self.generation = 0  # incremented on each change that affects routing
        self.on_change: Callable[[], None] = lambda: None
        # Called on changes that this entry observed itself.
        self.on_local_change: Callable[[], None] = lambda: None
        # Whether this entry has a request in progress at a server, by its ID.
        self.has_request_in_progress: Callable[[str], bool] = _never

    def update_servers(
        self,
        servers: dict[str, Server],
        *,
        up_to_date: bool = True,
        as_of: float | None = None,
    ) -> None:
        """
        Replace the list of servers.

        :param servers: all servers, by ID.
        :param up_to_date: whether the servers were recently able to write their
            registrations.
        :param as_of: when the store had this list, monotonic seconds; by default now.
        """
        as_of = self.clock() if as_of is None else as_of
        if up_to_date:
            self.listed_at = as_of
        if servers is not self.servers:
            self._record_listed_layers(servers, as_of)
        dropped = self._drop_outdated_reports(servers)
        if servers == self.servers:
            if dropped:
                self.mark_changed()
            return
        self._emit_changes(servers)
        self._record_ended(servers)
        self._replace_restarted(servers)
        self._keep_leaving(servers)
        self.servers = dict(servers)
        self.by_address = {server.address: server for server in servers.values()}
        for name in [name for name in self.layer_reports if name not in servers]:
            self._drop_report(name)
        unlisted = [name for name in self.dropped_reports if name not in servers]
        for name in unlisted[:-MAX_UNLISTED_REPORTS]:
            del self.dropped_reports[name]
        for table in (self.health, self.leaving, self.avoided_until, self.slowdowns):
            for name in [name for name in table if name not in servers]:
                del table[name]
        self.pauses.forget_all_but(servers)
        self.permits.forget_all_but(servers)
        for name in [
            n for n, status in self.health.items() if self._is_outdated(n, status)
        ]:
            del self.health[name]
        self.mark_changed()

    def _keep_leaving(self, servers: dict[str, Server]) -> None:
        """
        Keep in mind which servers leave, if an older copy of the list says otherwise.

        A server that leaves never returns within the same incarnation.
        """
        for name, known in self.servers.items():
            server = servers.get(name)
            if (
                server is not None
                and server.incarnation == known.incarnation != NO_INCARNATION
                and known.state is ServerState.LEAVING
                and server.state is ServerState.READY
            ):
                self.leaving[name] = known.incarnation

    def _record_listed_layers(self, servers: dict[str, Server], as_of: float) -> None:
        """Record when each server's layers were first listed as they are now."""
        for name, server in servers.items():
            known = self.servers.get(name)
            if (
                known is None
                or known.incarnation != server.incarnation
                or known.layers != server.layers
            ):
                self.layers_listed_at[name] = as_of
        for name in [name for name in self.layers_listed_at if name not in servers]:
            del self.layers_listed_at[name]

    def _drop_outdated_reports(self, servers: dict[str, Server]) -> bool:
        """
        Drop reports that the list agrees with, or has certainly caught up with.

        If the registration has not changed since the report, the report is kept: its
        server may be cut off from the store.
        """
        dropped = False
        for name, report in list(self.layer_reports.items()):
            server = servers.get(name)
            if server is None or server.incarnation != report.incarnation:
                continue
            # The list does not show whether a server is still carrying out an order.
            agrees = server.layers == report.layers and not report.busy
            changed = self.layers_listed_at[name] > report.reported_at
            late = self.listed_at - report.reported_at > LIST_LAG_SECONDS
            if agrees or (changed and late):
                dropped = dropped or not agrees
                self._drop_report(name)
        return dropped

    def _record_ended(self, servers: dict[str, Server]) -> None:
        """
        Record which of the servers that are no longer listed have ended.

        Some servers leave without notice: they still respond and finish their requests.
        """
        now = self.clock()
        used_addresses = {server.address for server in servers.values()}
        for name, server in self.servers.items():
            if name in servers:
                continue
            if server.address in used_addresses or not self.is_responding(server):
                self.ended_at[name] = now
        cutoff = now - ENDED_RETENTION_SECONDS
        for name in [name for name, at in self.ended_at.items() if at < cutoff]:
            del self.ended_at[name]

    def _replace_restarted(self, servers: dict[str, Server]) -> None:
        """
        Forget the ends of incarnations that the list no longer has.

        What servers said after they had restarted counts for the incarnation that the
        list has now.
        """
        for name, resumed_at in list(self.resumed_at.items()):
            server, known = servers.get(name), self.servers[name]
            if server is not None and server.incarnation == known.incarnation:
                continue
            if server is not None:
                self.pauses.pass_on(known, server, since=resumed_at)
                self.limits.pass_on(known, server, since=resumed_at)
            del self.resumed_at[name]

    def _drop_report(self, server_id: str) -> None:
        self.dropped_reports[server_id] = self.layer_reports.pop(server_id)

    def mark_changed(self) -> None:
        """Record a change that affects routing."""
        self.generation += 1
        self.on_change()

    def layers(self, server: Server) -> LayerRange:
        """
        Return the layers that a server offers, from its newest report or the list.

        :param server: a listed server.
        :return: its layers.
        """
        report = self.layer_reports.get(server.id)
        if report is None or report.incarnation != server.incarnation:
            return server.layers
        return report.layers

    def loaded(self, server: Server) -> int:
        """
        Count the layers that occupy a server's memory.

        Layers that it gives up stay in memory until the requests that use them have
        ended. Memory for layers that it loads is reserved from the start.

        :param server: a listed server.
        :return: number of layers, at least those that it offers.
        """
        offered = len(self.layers(server))
        report = self.layer_reports.get(server.id)
        if (
            report is None
            or report.incarnation != server.incarnation
            or not report.busy
        ):
            return offered
        return max(offered, report.loaded, len(server.layers))

    def sequence(self, server: Server) -> int:
        """
        Return the number of orders that a server has started, as last reported.

        :param server: a listed server.
        :return: number of orders.
        """
        for reports in (self.layer_reports, self.dropped_reports):
            report = reports.get(server.id)
            if report is not None and report.incarnation == server.incarnation:
                return report.sequence
        return 0

    def is_up(self, server: Server) -> bool:
        """
        Tell whether a server may be given work.

        :param server: a listed server.
        :return: False if it is leaving or down.
        """
        if self.is_leaving(server):
            return False
        status = self.health.get(server.id)
        return status is None or not status.down

    def is_leaving(self, server: Server) -> bool:
        """
        Tell whether a server shuts down, from its registration or its own responses.

        :param server: a listed server.
        """
        return (
            server.state is ServerState.LEAVING
            or self.leaving.get(server.id) == server.incarnation
        )

    def is_responding(self, server: Server) -> bool:
        """
        Tell whether a server still works on the requests that it has in progress.

        A server that is full or about to end refuses new connections, but finishes its
        requests. A connection to it that is still open distinguishes this from a crash.

        :param server: a listed server.
        :return: False if it does not respond; True if it is leaving.
        """
        status = self.health.get(server.id)
        if status is None or not status.down or status.refuses_work:
            return True
        return status.ended and self.has_request_in_progress(server.id)

    def is_avoided(self, server: Server) -> bool:
        """
        Tell whether a server recently refused work.

        :param server: a listed server.
        :return: True until the time set by `avoid` has passed.
        """
        return self.avoided_until.get(server.id, 0.0) > self.clock()

    def avoid(self, server: Server, seconds: float = AVOID_SECONDS) -> None:
        """
        Send a server no new work for a short time.

        :param server: a server that refused work.
        :param seconds: how long to avoid it.
        """
        self.avoided_until[server.id] = self.clock() + seconds
        self.mark_changed()

    def has_ended(self, server_id: str) -> bool:
        """
        Tell whether a server's incarnation has certainly ended.

        :param server_id: ID of the server.
        :return: True if its VM refuses connections, if it did not respond until its
            registration was removed, or if another server has its address.
        """
        if server_id in self.ended_at and server_id not in self.servers:
            return True
        status = self.health.get(server_id)
        refuses = status is not None and status.down and status.ended
        return refuses and not self.has_request_in_progress(server_id)

    def has_run_ended(self, server: Server) -> bool:
        """
        Tell whether one run of a server has certainly ended.

        :param server: a server as it was listed; it may have started again since.
        """
        known = self.servers.get(server.id)
        if known is not None and known.incarnation != server.incarnation:
            return True
        return self.has_ended(server.id)

    def may_have_restarted(self, server_id: str) -> bool:
        """
        Tell whether a listed server may be a later incarnation than the list says.

        :param server_id: ID of a server that responds.
        :return: True if its incarnation was seen to end, until a list would show the
            next one. A list shows none of a server that reports no incarnation, and
            another server may have its address before its registration lapses.
        """
        resumed_at = self.resumed_at.get(server_id)
        if resumed_at is None:
            return False
        if self.listed_at < resumed_at + LIST_LAG_SECONDS:
            return True
        server = self.servers[server_id]
        return server.incarnation == NO_INCARNATION or self._shares_address(server)

    def _shares_address(self, server: Server) -> bool:
        """Tell whether another server, which may respond in its place, is listed."""
        return any(
            other.address == server.address and other.id != server.id
            for other in self.servers.values()
        )

    def set_health(
        self,
        server: Server,
        *,
        down: bool,
        reason: str,
        ended: bool = False,
        refuses_work: bool = False,
    ) -> None:
        """
        Record this entry's observation that a server is down or up.

        :param server: a listed server.
        :param down: whether it does not respond or accepts no work.
        :param reason: what was observed.
        :param ended: whether its incarnation has certainly ended.
        :param refuses_work: whether it responds but accepts no work.
        """
        status = HealthStatus(
            incarnation=server.incarnation,
            down=down,
            observed_at=self.clock(),
            reason=reason,
            ended=ended,
            refuses_work=refuses_work,
        )
        if self.update_health(server.id, status):
            self.on_local_change()

    def update_health(
        self, server_id: str, status: HealthStatus, *, is_copy: bool = False
    ) -> bool:
        """
        Store an observation of this entry or of a peer, if it is the newest.

        :param server_id: ID of the server.
        :param status: the observation.
        :param is_copy: whether a peer sent it, so that its age lacks the time that it
            was on its way.
        :return: whether the server went down or up.
        """
        server = self.servers.get(server_id)
        if server is None or server.incarnation != status.incarnation:
            return False
        known = self.health.get(server_id)
        if status.down and status.ended:
            self._record_end(server_id, status)
        if known is not None and known.observed_at >= status.observed_at:
            return False
        is_repeated = known is not None and known.says_the_same_as(status)
        if (
            is_copy
            and is_repeated
            and may_be_copy(status.observed_at, known.observed_at)
        ):
            return False
        was_down = known is not None and known.down
        self.health[server_id] = status
        if not status.down:
            self._record_response(server_id, status)
        if was_down == status.down:
            return False
        self._emit(server, "down" if status.down else "up", status.reason)
        self.mark_changed()
        return True

    def _record_end(self, server_id: str, status: HealthStatus) -> None:
        """Record that an incarnation was seen to end, also before the last word."""
        if status.observed_at <= self.resumed_at.get(server_id, float("-inf")):
            return
        known = self.health.get(server_id)
        responds = known is not None and not known.down
        if responds and known.observed_at >= status.observed_at:
            self.resumed_at[server_id] = known.observed_at
        else:
            self.resumed_at[server_id] = float("inf")

    def _record_response(self, server_id: str, status: HealthStatus) -> None:
        if server_id in self.resumed_at:
            resumed_at = min(self.resumed_at[server_id], status.observed_at)
            self.resumed_at[server_id] = resumed_at

    def update_layers(
        self, server_id: str, report: LayerReport, *, is_copy: bool = False
    ) -> bool:
        """
        Store a report of a server's layers, if it is the newest.

        Of two reports, the one after more orders is newer, then the one after their
        end, then the later one. Reports that are older than the list are ignored.

        :param server_id: ID of the server.
        :param report: the server's report.
        :param is_copy: whether a peer sent it, so that its age lacks the time that it
            was on its way.
        :return: whether the report was stored.
        """
        server = self.servers.get(server_id)
        if server is None or (
            report.incarnation and report.incarnation != server.incarnation
        ):
            return False
        known = self.layer_reports.get(server_id)
        same_incarnation = known is not None and known.incarnation == report.incarnation
        if same_incarnation and (known.progress(), known.reported_at) >= (
            report.progress(),
            report.reported_at,
        ):
            return False
        if is_copy and self._is_repeated(server_id, report):
            return False
        if self.listed_at - report.reported_at > LIST_LAG_SECONDS:
            return False
        before = (self.layers(server), self.loaded(server))
        self.layer_reports[server_id] = report
        if (self.layers(server), self.loaded(server)) != before:
            self.mark_changed()
        return True

    def _is_repeated(self, server_id: str, report: LayerReport) -> bool:
        """Tell whether this entry had a peer's report already, or a newer one."""
        known = self.layer_reports.get(server_id)
        if known is not None:
            return known.says_the_same_as(report)
        dropped = self.dropped_reports.get(server_id)
        return (
            dropped is not None
            and dropped.incarnation == report.incarnation
            and dropped.progress() >= report.progress()
            and report.reported_at - dropped.reported_at < LIST_LAG_SECONDS
        )

    def slowdown(self, server: Server) -> float:
        """
        Return how many times longer than usual a server's work takes.

        :param server: a listed server.
        :return: the factor, 1 if none was reported.
        """
        slowdown = self.slowdowns.get(server.id)
        return (
            slowdown.factor
            if slowdown and slowdown.incarnation == server.incarnation
            else 1.0
        )

    def is_slow(self, server: Server) -> bool:
        """
        Tell whether a server's work takes much longer than usual.

        :param server: a listed server.
        """
        return self.slowdown(server) > SLOWDOWN_THRESHOLD

    def update_slowdown(
        self,
        server_id: str,
        incarnation: int,
        factor: float,
        observed_at: float,
        *,
        is_copy: bool = False,
    ) -> None:
        """
        Store a server's slowdown, if it is the newest observation.

        :param server_id: ID of the server.
        :param incarnation: incarnation of the server that was observed.
        :param factor: how many times longer than usual its work takes.
        :param observed_at: time of the observation, monotonic seconds.
        :param is_copy: whether a peer sent it, so that its age lacks the time that it
            was on its way.
        """
        server = self.servers.get(server_id)
        if server is None or server.incarnation != incarnation:
            return
        known = self.slowdowns.get(server_id)
        if known is not None and observed_at <= known.observed_at:
            return
        is_repeated = known is not None and known.factor == factor
        if is_copy and is_repeated and may_be_copy(observed_at, known.observed_at):
            return
        before = self.slowdown(server)
        differs = abs(before - factor) > MIN_SLOWDOWN_CHANGE * before
        last_change = known.changed_at if known is not None else float("-inf")
        self.slowdowns[server_id] = Slowdown(
            incarnation=incarnation,
            factor=factor,
            observed_at=observed_at,
            changed_at=observed_at if differs else last_change,
        )
        if differs:
            self._emit(server, "slow" if factor > 1 else "usual", f"pace {factor:.1f}")
            self.mark_changed()

    def mark_leaving(self, server_id: str, incarnation: int) -> bool:
        """
        Record that a server is leaving, as it or a peer says.

        :param server_id: ID of the server.
        :param incarnation: incarnation that is leaving.
        :return: whether this was not known.
        """
        server = self.servers.get(server_id)
        if (
            server is None
            or server.incarnation != incarnation
            or self.is_leaving(server)
        ):
            return False
        self.leaving[server_id] = incarnation
        self._emit(server, "leaving", "before its registration said so")
        self.mark_changed()
        return True

    def find_server(self, server_id: str) -> Server | None:
        """Return a listed server by its ID, or None."""
        return self.servers.get(server_id)

    def record_notice(
        self, server: Server, notice: ServerNotice, asked_at: float | None = None
    ) -> None:
        """
        Record what a server said about itself in a response to this entry.

        If the list names its next run by now, a pause and a limit count for that run,
        which may have responded.

        :param server: server that responded.
        :param notice: what it said.
        :param asked_at: when the request was sent, monotonic seconds; by default now.
        """
        if notice.leaving and self.mark_leaving(server.id, server.incarnation):
            self.on_local_change()
        server = self.servers.get(server.id, server)
        if not notice.limit_is_unknown:
            asked_at = self.clock() if asked_at is None else asked_at
            self._record_limit(server, notice.max_request_rate, asked_at)
        if notice.pause_seconds and self.pauses.start(server, notice.pause_seconds):
            self._emit(server, "paused", f"asked for {notice.pause_seconds:.2f} s")
            self.mark_changed()

    def update_limit(self, server_id: str, limit: NamedLimit) -> None:
        """
        Store what a peer knows about a server's limit, if it is newer.

        :param server_id: ID of the server.
        :param limit: the peer's knowledge.
        """
        server = self.servers.get(server_id)
        if server is not None and self.limits.receive(server, limit):
            self._emit_limit(server, "as a peer says")

    def _record_limit(
        self, server: Server, rate: float | None, asked_at: float
    ) -> None:
        if server.id not in self.servers:
            return
        if self.limits.observe(server, rate, asked_at):
            self._emit_limit(server, "as it says")
            if self.clock() - self.limits_sent_at >= LIMIT_NOTICE_SECONDS:
                self.limits_sent_at = self.clock()
                self.on_local_change()

    def _emit_limit(self, server: Server, source: str) -> None:
        self.mark_changed()
        rate = self.limits.rate(server)
        if rate is None:
            self._emit(server, "unlimited", source)
        else:
            detail = f"takes {rate:g} requests/s from all entries, {source}"
            self._emit(server, "limited", detail)

    def _is_outdated(self, server_id: str, status: HealthStatus) -> bool:
        return self.servers[server_id].incarnation != status.incarnation

    def _emit_changes(self, servers: dict[str, Server]) -> None:
        for name, server in servers.items():
            known = self.servers.get(name)
            if known is None or known.incarnation != server.incarnation:
                layers = f"{server.layers.start}-{server.layers.stop}"
                self._emit(server, "joined", f"{server.service}, holds {layers}")
            elif known.state is not server.state:
                self._emit(server, server.state.value)
        for name, server in self.servers.items():
            if name not in servers:
                self._emit(server, "gone")

    def _emit(self, server: Server, state: str, detail: str = "") -> None:
        self.emit(
            MembershipChanged(
                vm=server.id,
                state=state,
                incarnation=server.incarnation,
                detail=f"{server.address} {detail}".rstrip(),
            )
        )


def _never(server_id: str) -> bool:
    return False
