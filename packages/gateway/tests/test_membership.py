"""Tests of the server list in store outages, and of what an entry knows of servers."""

from dataclasses import replace

import pytest

from kumquatway_gateway.fleet import (
    ENDED_RETENTION_SECONDS,
    MAX_GAP_AFTER_FAILURE_SECONDS,
    MAX_GAP_IN_GRACE_SECONDS,
    MAX_GAP_SECONDS,
    REREGISTRATION_GRACE_SECONDS,
    Fleet,
    HealthStatus,
    Membership,
)
from kumquatway_gateway.model import (
    Gap,
    LayerRange,
    LayerReport,
    Server,
    ServerList,
    ServerState,
)


class _Clock:
    def __init__(self):
        self.now = 100.0

    def __call__(self) -> float:
        return self.now


def _server(name: str, **fields) -> Server:
    defaults = {"service": "model", "address": f"{name}:1", "data_centre": "a"}
    return Server(id=name, **{**defaults, **fields})


class TestMembership:
    """The server list, with store failures and lapsed registrations."""

    def setup_method(self):
        self.now = 100.0  # by the store's clock
        self.generation = 1
        self.members = Membership()
        self._update(_server("one"), _server("two"))

    def _update(self, *listed: Server) -> dict[str, Server]:
        return self.members.update(
            ServerList(
                servers={server.id: server for server in listed},
                listed_at=self.now,
                generation=self.generation,
            )
        )

    def _follow(self, seconds: float, *listed: Server) -> None:
        """Read the list every half a second."""
        end = self.now + seconds
        while self.now < end:
            self.now += 0.5
            self._update(*listed)

    def test_removed_server_is_dropped_immediately_without_an_outage(self):
        self._follow(2.0, _server("one"), _server("two"))
        self.members.record_failure()
        self.now += 1.1
        assert set(self._update(_server("one"))) == {"one"}

    def test_a_list_that_was_missed_does_not_start_a_grace_period(self):
        self.now += MAX_GAP_SECONDS - 0.01
        assert set(self._update(_server("one"))) == {"one"}

    def test_registrations_that_lapse_in_an_outage_are_kept_for_the_grace_period(self):
        self.now += 4.0
        assert set(self._update()) == {"one", "two"}
        assert not self.members.is_up_to_date()
        assert self.members.grace_left(0.0) == pytest.approx(
            REREGISTRATION_GRACE_SECONDS
        )
        self._follow(REREGISTRATION_GRACE_SECONDS - 0.4, _server("one"))
        assert set(self.members.servers) == {"one", "two"}
        assert set(self.members.lapsed()) == {"two"}
        self.now += 0.5
        assert self._update(_server("one")).keys() == {"one"}
        assert self.members.is_up_to_date()
        assert self.members.grace_left(0.0) == 0.0

    @pytest.mark.parametrize(
        ("seconds", "failed"),
        [(MAX_GAP_AFTER_FAILURE_SECONDS, True), (MAX_GAP_IN_GRACE_SECONDS, False)],
    )
    def test_second_outage_in_the_grace_period_begins_it_anew(self, seconds, failed):
        self.now += 4.0
        self._update()
        self._follow(1.0, _server("one"))
        if failed:
            self.members.record_failure()
        self.now += seconds + 0.1
        assert set(self._update(_server("one"))) == {"one", "two"}
        self._follow(REREGISTRATION_GRACE_SECONDS - 0.5, _server("one"))
        assert set(self.members.servers) == {"one", "two"}
        self.now += 0.6
        assert set(self._update(_server("one"))) == {"one"}

    def test_failed_read_does_not_begin_the_grace_period_anew_if_a_peer_has_a_list(
        self,
    ):
        self.now += 4.0
        self._update()
        for _ in range(5):
            self.members.record_failure()
            self._follow(0.5, _server("one"))
        assert set(self.members.servers) == {"one"}

    def test_lost_message_does_not_begin_the_grace_period_anew(self):
        self.now += 4.0
        self._update()
        for _ in range(3):
            self.now += MAX_GAP_AFTER_FAILURE_SECONDS + 0.2
            self._update(_server("one"))
        assert set(self.members.servers) == {"one"}

    def test_confirmed_list_does_not_drop_what_lapsed(self):
        self.now += 4.0
        self._update(_server("one"))
        self._follow(1.0, _server("one"))
        assert set(self.members.servers) == {"one", "two"}

    def test_unchanged_list_is_the_same_object(self):
        before = self.members.servers
        self.now += 0.5
        assert self._update(_server("one"), _server("two")) is before

    def test_list_that_was_overtaken_is_ignored(self):
        self.now += 0.5
        self._update(_server("one"))
        self.now -= 0.2
        assert set(self._update(_server("one"), _server("two"))) == {"one"}

    def test_leaving_server_is_not_kept_after_an_outage(self):
        self._update(_server("one", state=ServerState.LEAVING))
        self.now += 4.0
        assert self._update() == {}

    def _restore(self) -> None:
        self.generation += 1
        self.now += 0.1

    def test_servers_that_an_older_copy_lacks_are_kept_for_the_grace_period(self):
        self._restore()
        assert set(self._update(_server("one"))) == {"one", "two"}
        self._follow(REREGISTRATION_GRACE_SECONDS, _server("one"))
        assert set(self._update(_server("one"))) == {"one"}

    def test_servers_that_had_left_are_dropped_from_an_older_copy(self):
        one, two = _server("one"), _server("two")
        self.now += 0.5
        self._update(one)
        self._restore()
        assert set(self._update(one, two)) == {"one"}
        restarted = replace(two, incarnation=7)
        self.now += 0.5
        assert set(self._update(one, restarted)) == {"one", "two"}

    def test_after_the_grace_period_the_list_counts(self):
        one, two = _server("one"), _server("two")
        self.now += 0.5
        self._update(one)
        self._restore()
        self._update(one, two)
        self._follow(REREGISTRATION_GRACE_SECONDS, one, two)
        assert set(self._update(one, two)) == {"one", "two"}

    def test_a_lapsed_registration_may_return_after_an_outage(self):
        one, two = _server("one"), _server("two")
        self._update(one)
        self.now += 4.0
        assert set(self._update(one, two)) == {"one", "two"}

    def test_server_whose_address_is_reused_is_not_kept(self):
        self.now += 4.0
        found = self._update(_server("three", address="one:1"))
        assert set(found) == {"two", "three"}


class TestOutageSeenByAPeer:
    """An entry that starts after an outage cannot know which servers lapsed."""

    def setup_method(self):
        self.members = Membership()
        self._update(100.0)

    def _update(self, listed_at: float) -> None:
        one = {"one": _server("one")}
        self.members.update(ServerList(servers=one, listed_at=listed_at, generation=1))

    def _learn(self, start: float, end: float) -> bool:
        gap = Gap(start=start, end=end)
        if not self.members.may_learn(gap, 1):
            return False
        self.members.learn({"two": _server("two")}, gap)
        return True

    def test_what_the_peer_keeps_is_kept_as_long(self):
        assert self._learn(95.0, 99.7)
        assert set(self.members.servers) == {"one", "two"}
        assert not self._learn(95.0, 99.7)
        self._update(101.0)
        assert set(self.members.servers) == {"one", "two"}
        self._update(102.0)
        assert set(self.members.servers) == {"one"}

    def test_the_list_wins(self):
        gap = Gap(start=95.0, end=99.7)
        assert self.members.may_learn(gap, 1)
        self.members.learn({"one": _server("one", incarnation=9)}, gap)
        assert self.members.servers == {"one": _server("one")}

    def test_an_entry_that_has_a_list_of_that_time_knows_better(self):
        """The peer was frozen."""
        for tick in range(1, 10):
            self._update(100.0 + tick)
        assert not self._learn(104.5, 108.5)

    @pytest.mark.parametrize(
        ("start", "end"), [(90.0, 97.6), (99.9, 100.0), (101.0, 1e15), (99.9, 99.1)]
    )
    def test_a_time_that_is_long_ago_or_ahead_or_reversed_is_ignored(self, start, end):
        assert not self._learn(start, end)

    @pytest.mark.parametrize("end", [100.1, 1e15])
    def test_its_time_ends_with_the_first_list_of_this_entry(self, end):
        assert self._learn(96.0, end)
        assert self.members.kept_until == 100.0 + REREGISTRATION_GRACE_SECONDS

    def test_the_part_without_a_list_of_this_entry_is_learnt(self):
        """The store was away again, and no read of this entry has failed."""
        for listed_at in (104.0, 104.3, 105.2, 105.5):
            self._update(listed_at)
        assert self._learn(104.3, 105.4)
        assert self.members.kept_until == 105.2 + REREGISTRATION_GRACE_SECONDS

    def test_of_another_generation_is_ignored(self):
        assert not self.members.may_learn(Gap(start=95.0, end=99.7), 2)


class TestFrozenEntry:
    """An entry that was frozen has a gap where others have lists."""

    def setup_method(self):
        self.members = Membership()
        servers = {name: _server(name) for name in ("one", "two")}
        self.members.update(ServerList(servers=servers, listed_at=100.0, generation=1))
        self.members.update(
            ServerList(servers={"one": servers["one"]}, listed_at=107.0, generation=1)
        )

    def test_what_left_is_dropped_as_soon_as_it_hears_of_them(self):
        assert set(self.members.servers) == {"one", "two"}
        assert self.members.narrow_gap(90.0, 107.1, 1)
        assert set(self.members.servers) == {"one"}
        assert self.members.is_up_to_date()

    def test_the_grace_period_is_that_of_the_others(self):
        assert self.members.narrow_gap(105.0, 106.9, 1)
        assert self.members.kept_until == 105.0 + REREGISTRATION_GRACE_SECONDS
        assert set(self.members.servers) == {"one", "two"}

    @pytest.mark.parametrize(
        ("since", "until", "generation"),
        [(0.0, 107.1, 1), (90.0, 100.2, 1), (107.0, 107.5, 1), (90.0, 107.1, 2)],
    )
    def test_lists_of_another_time_tell_nothing(self, since, until, generation):
        assert not self.members.narrow_gap(since, until, generation)
        assert set(self.members.servers) == {"one", "two"}

    def test_an_interruption_that_only_a_failed_read_shows_is_not_narrowed(self):
        self.members.record_failure()
        newest = self.members.newest
        self.members.update(replace(newest, listed_at=107.9))
        assert not self.members.narrow_gap(107.0, 108.2, 1)


class TestFleet:
    """Layer reports, health and ended servers, next to the server list."""

    def setup_method(self):
        self.clock = _Clock()
        self.fleet = Fleet(clock=self.clock)
        self.one = _server("one", incarnation=7, layers=LayerRange(start=0, stop=4))
        self.fleet.update_servers({"one": self.one})

    def _report(
        self, start: int, stop: int, sequence: int, incarnation: int = 7
    ) -> LayerReport:
        return LayerReport(
            incarnation=incarnation,
            layers=LayerRange(start=start, stop=stop),
            sequence=sequence,
            busy=False,
            reported_at=self.clock.now,
        )

    def test_report_takes_precedence_over_the_list(self):
        assert self.fleet.update_layers("one", self._report(0, 8, 1))
        assert self.fleet.layers(self.one) == LayerRange(start=0, stop=8)
        assert self.fleet.sequence(self.one) == 1

    def _update_list(self, start: int, stop: int) -> Server:
        layers = LayerRange(start=start, stop=stop)
        server = _server("one", incarnation=7, layers=layers)
        self.fleet.update_servers({"one": server})
        return server

    def test_changed_registration_replaces_an_old_report(self):
        self.fleet.update_layers("one", self._report(0, 8, 1))
        self.clock.now += 3.0
        server = self._update_list(2, 4)
        assert self.fleet.layers(server) == LayerRange(start=2, stop=4)
        assert self.fleet.sequence(server) == 1

    def test_changed_registration_within_the_list_lag_does_not_replace_a_report(self):
        self.fleet.update_layers("one", self._report(0, 8, 2))
        self.clock.now += 1.0
        server = self._update_list(0, 6)
        assert self.fleet.layers(server) == LayerRange(start=0, stop=8)

    def test_unchanged_registration_does_not_replace_a_report(self):
        """A server that is cut off from the store still reports its layers."""
        self.fleet.update_layers("one", self._report(0, 8, 1))
        for _ in range(10):
            self.clock.now += 1.0
            self.fleet.update_servers({"one": self.one})
        assert self.fleet.layers(self.one) == LayerRange(start=0, stop=8)

    def test_report_of_an_order_in_progress_is_kept_if_the_list_has_the_same_layers(
        self,
    ):
        report = replace(self._report(0, 4, 1), busy=True)
        self.fleet.update_layers("one", report)
        self.fleet.update_servers({"one": self.one})
        assert self.fleet.layer_reports["one"].busy

    def test_sequence_is_kept_when_a_registration_lapses(self):
        self.fleet.update_layers("one", self._report(0, 8, 3))
        self.fleet.update_servers({})
        server = self._update_list(0, 8)
        assert self.fleet.sequence(server) == 3

    def test_list_that_is_not_up_to_date_does_not_replace_a_report(self):
        self.fleet.update_layers("one", self._report(0, 8, 1))
        self.clock.now += 3.0
        self.fleet.update_servers({"one": self.one}, up_to_date=False)
        assert self.fleet.layers(self.one) == LayerRange(start=0, stop=8)

    def test_report_of_another_incarnation_is_ignored(self):
        assert not self.fleet.update_layers("one", self._report(0, 8, 1, incarnation=8))
        assert self.fleet.layers(self.one) == LayerRange(start=0, stop=4)

    def test_report_with_a_lower_sequence_is_ignored(self):
        self.fleet.update_layers("one", self._report(0, 8, 2))
        self.clock.now += 0.1
        assert not self.fleet.update_layers("one", self._report(0, 6, 1))

    def test_dropped_layers_occupy_memory_until_the_order_is_done(self):
        busy = replace(self._report(0, 2, 1), busy=True)
        self.fleet.update_layers("one", busy)
        assert self.fleet.layers(self.one) == LayerRange(start=0, stop=2)
        assert self.fleet.loaded(self.one) == 4
        self.clock.now += 1.0
        self.fleet.update_layers("one", self._report(0, 2, 1))
        assert self.fleet.loaded(self.one) == 2

    def test_layers_occupy_memory_from_the_start_of_their_load(self):
        self.fleet.update_layers(
            "one", replace(self._report(0, 4, 1), busy=True, loaded=9)
        )
        assert self.fleet.loaded(self.one) == 9

    def test_report_that_is_first_heard_after_its_order_does_not_outlive_the_list(self):
        busy = replace(self._report(0, 2, 1), busy=True)
        self.clock.now += 1.5
        server = self._update_list(0, 8)
        self.fleet.update_layers("one", busy, is_copy=True)
        self.clock.now += 2.0
        server = self._update_list(0, 8)
        assert self.fleet.layers(server) == LayerRange(start=0, stop=8)

    def test_report_that_is_heard_again_does_not_outlive_the_list(self):
        busy = replace(self._report(0, 2, 1), busy=True)
        self.fleet.update_layers("one", busy)
        self.clock.now += 1.0
        self._update_list(0, 8)
        copy = replace(busy, reported_at=busy.reported_at + 1.5)
        self.fleet.update_layers("one", copy, is_copy=True)
        self.clock.now += 2.0
        server = self._update_list(0, 8)
        assert self.fleet.layers(server) == LayerRange(start=0, stop=8)

    def test_new_report_of_a_peer_replaces_the_list_again(self):
        """A server is cut off from the store, whose list shows older layers of it."""
        self.fleet.update_layers("one", self._report(0, 8, 1))
        self.clock.now += 1.0
        self._update_list(0, 2)
        self.clock.now += 2.0
        server = self._update_list(0, 2)
        assert self.fleet.layers(server) == LayerRange(start=0, stop=2)
        self.fleet.update_layers("one", self._report(0, 8, 1), is_copy=True)
        assert self.fleet.layers(server) == LayerRange(start=0, stop=8)

    def test_report_of_an_order_in_progress_does_not_replace_that_of_its_end(self):
        busy = replace(self._report(0, 2, 1), busy=True)
        self.clock.now += 0.4
        self.fleet.update_layers("one", self._report(0, 8, 1))
        late = replace(busy, reported_at=busy.reported_at + 0.5)
        self.fleet.update_layers("one", late, is_copy=True)
        assert self.fleet.layers(self.one) == LayerRange(start=0, stop=8)

    def test_older_health_status_is_ignored(self):
        now = self.clock.now
        newer = HealthStatus(incarnation=7, down=True, observed_at=now, reason="silent")
        older = HealthStatus(
            incarnation=7, down=False, observed_at=now - 1, reason="answered"
        )
        assert self.fleet.update_health("one", newer)
        assert not self.fleet.update_health("one", older)
        assert not self.fleet.is_up(self.one)

    def test_health_status_applies_to_its_incarnation_only(self):
        self.fleet.set_health(self.one, down=True, reason="silent")
        restarted = _server("one", incarnation=9)
        self.fleet.update_servers({"one": restarted})
        assert self.fleet.is_up(restarted)
        old = HealthStatus(
            incarnation=7,
            down=True,
            observed_at=self.clock.now + 1,
            reason="late message",
        )
        assert not self.fleet.update_health("one", old)

    def test_responding_server_that_is_no_longer_listed_has_not_ended(self):
        """It is no longer registered, but works on its requests for many seconds."""
        self.fleet.update_servers({})
        assert not self.fleet.has_ended("one")

    def test_unlisted_server_that_refuses_work_has_not_ended(self):
        self.fleet.set_health(
            self.one, down=True, refuses_work=True, reason="refuses work"
        )
        self.fleet.update_servers({})
        assert not self.fleet.has_ended("one")

    def test_down_server_has_ended_once_it_is_no_longer_listed(self):
        self.fleet.set_health(self.one, down=True, reason="silent")
        assert not self.fleet.has_ended("one")
        self.fleet.update_servers({})
        assert self.fleet.has_ended("one")

    def test_server_that_starts_again_under_its_id_has_not_ended(self):
        self.fleet.set_health(self.one, down=True, reason="silent")
        self.fleet.update_servers({})
        restarted = replace(self.one, incarnation=self.one.incarnation + 1)
        self.fleet.update_servers({"one": restarted})
        assert not self.fleet.has_ended("one")
        assert self.fleet.has_run_ended(self.one)
        assert not self.fleet.has_run_ended(restarted)

    def test_server_whose_address_is_reused_has_ended(self):
        self.fleet.update_servers({"two": _server("two", address=self.one.address)})
        assert self.fleet.has_ended("one")

    def test_ended_servers_are_forgotten_after_the_retention_time(self):
        self.fleet.set_health(self.one, down=True, reason="silent")
        self.fleet.update_servers({})
        self.clock.now += ENDED_RETENTION_SECONDS + 1
        self.fleet.update_servers({"two": _server("two")})
        assert not self.fleet.ended_at

    def test_generation_counts_changes_that_affect_routing(self):
        before = self.fleet.generation
        self.fleet.update_layers("one", self._report(0, 4, 1))
        assert self.fleet.generation == before
        self.fleet.update_layers("one", self._report(0, 8, 2))
        assert self.fleet.generation == before + 1
