"""Tests of the server list in store outages, and of what an entry knows of servers."""

from dataclasses import replace

from kumquatway_gateway.fleet import (
    ENDED_RETENTION_SECONDS,
    REREGISTRATION_GRACE_SECONDS,
    Fleet,
    HealthStatus,
    Membership,
)
from kumquatway_gateway.model import LayerRange, LayerReport, Server, ServerState


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
        self.clock = _Clock()
        self.members = Membership(clock=self.clock)
        self.members.update([_server("one"), _server("two")])

    def test_removed_server_is_dropped_immediately_without_an_outage(self):
        self.clock.now += 1.9
        assert set(self.members.update([_server("one")])) == {"one"}

    def test_single_failed_call_does_not_start_a_grace_period(self):
        self.members.record_store_failure()
        self.clock.now += 0.3
        assert set(self.members.update([_server("one")])) == {"one"}

    def test_registrations_that_lapse_in_an_outage_are_kept_for_the_grace_period(self):
        self.members.record_store_failure()
        self.clock.now += 4.0
        assert set(self.members.update([])) == {"one", "two"}
        assert not self.members.is_up_to_date()
        self.clock.now += REREGISTRATION_GRACE_SECONDS + 0.1
        assert self.members.update([_server("one")]).keys() == {"one"}
        assert self.members.is_up_to_date()

    def test_leaving_server_is_not_kept_after_an_outage(self):
        self.members.update([_server("one", state=ServerState.LEAVING)])
        self.members.record_store_failure()
        self.clock.now += 4.0
        assert self.members.update([]) == {}

    def test_servers_that_an_older_copy_lacks_are_kept_for_the_grace_period(self):
        self.members.record_restore()
        assert set(self.members.update([_server("one")])) == {"one", "two"}
        self.clock.now += REREGISTRATION_GRACE_SECONDS + 0.1
        assert set(self.members.update([_server("one")])) == {"one"}

    def test_servers_that_had_left_are_dropped_from_an_older_copy(self):
        one, two = _server("one"), _server("two")
        self.members.update([one])
        self.members.record_restore()
        assert set(self.members.update([one, two])) == {"one"}
        restarted = replace(two, incarnation=7)
        assert set(self.members.update([one, restarted])) == {"one", "two"}

    def test_after_the_grace_period_the_list_counts(self):
        one, two = _server("one"), _server("two")
        self.members.update([one])
        self.members.record_restore()
        self.members.update([one, two])
        self.clock.now += REREGISTRATION_GRACE_SECONDS + 0.1
        assert set(self.members.update([one, two])) == {"one", "two"}

    def test_a_lapsed_registration_may_return_after_an_outage(self):
        one, two = _server("one"), _server("two")
        self.members.update([one])
        self.members.record_store_failure()
        self.clock.now += 4.0
        assert set(self.members.update([one, two])) == {"one", "two"}

    def test_server_whose_address_is_reused_is_not_kept(self):
        self.members.record_store_failure()
        self.clock.now += 4.0
        found = self.members.update([_server("three", address="one:1")])
        assert set(found) == {"two", "three"}


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
