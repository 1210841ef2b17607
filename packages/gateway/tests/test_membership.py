"""Tests of the list of servers through outages of the store."""

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
    """The list of servers."""

    def setup_method(self):
        self.clock = _Clock()
        self.members = Membership(clock=self.clock)
        self.members.update([_server("one"), _server("two")])

    def test_a_removed_entry_is_gone_at_once_however_long_the_list_was_quiet(self):
        self.clock.now += 1.9
        assert set(self.members.update([_server("one")])) == {"one"}

    def test_a_failed_call_alone_is_no_outage(self):
        self.members.record_store_failure()
        self.clock.now += 0.3
        assert set(self.members.update([_server("one")])) == {"one"}

    def test_entries_that_lapse_with_the_store_get_time_to_return(self):
        self.members.record_store_failure()
        self.clock.now += 4.0
        assert set(self.members.update([])) == {"one", "two"}
        assert not self.members.is_up_to_date()
        self.clock.now += REREGISTRATION_GRACE_SECONDS + 0.1
        assert self.members.update([_server("one")]).keys() == {"one"}
        assert self.members.is_up_to_date()

    def test_a_leaving_server_gets_no_time(self):
        self.members.update([_server("one", state=ServerState.LEAVING)])
        self.members.record_store_failure()
        self.clock.now += 4.0
        assert self.members.update([]) == {}

    def test_a_reused_address_ends_the_server_that_had_it(self):
        self.members.record_store_failure()
        self.clock.now += 4.0
        found = self.members.update([_server("three", address="one:1")])
        assert set(found) == {"two", "three"}


class TestFleet:
    """What an entry believes of servers."""

    def setup_method(self):
        self.clock = _Clock()
        self.fleet = Fleet(clock=self.clock)
        self.one = _server("one", incarnation=7, layers=LayerRange(start=0, stop=4))
        self.fleet.update_servers({"one": self.one})

    def _held(
        self, start: int, stop: int, sequence: int, incarnation: int = 7
    ) -> LayerReport:
        return LayerReport(
            incarnation=incarnation,
            layers=LayerRange(start=start, stop=stop),
            sequence=sequence,
            busy=False,
            reported_at=self.clock.now,
        )

    def test_a_report_is_fresher_than_the_list(self):
        assert self.fleet.update_layers("one", self._held(0, 8, 1))
        assert self.fleet.layers(self.one) == LayerRange(start=0, stop=8)
        assert self.fleet.sequence(self.one) == 1

    def _list(self, start: int, stop: int) -> Server:
        layers = LayerRange(start=start, stop=stop)
        server = _server("one", incarnation=7, layers=layers)
        self.fleet.update_servers({"one": server})
        return server

    def test_the_list_catches_up_with_an_old_report(self):
        self.fleet.update_layers("one", self._held(0, 8, 1))
        self.clock.now += 3.0
        server = self._list(2, 4)
        assert self.fleet.layers(server) == LayerRange(start=2, stop=4)
        assert self.fleet.sequence(server) == 1

    def test_an_entry_of_before_the_report_may_come_late(self):
        self.fleet.update_layers("one", self._held(0, 8, 2))
        self.clock.now += 1.0
        server = self._list(0, 6)
        assert self.fleet.layers(server) == LayerRange(start=0, stop=8)

    def test_an_entry_that_does_not_change_tells_nothing(self):
        """A server that is cut off from the store still says what it holds."""
        self.fleet.update_layers("one", self._held(0, 8, 1))
        for _ in range(10):
            self.clock.now += 1.0
            self.fleet.update_servers({"one": self.one})
        assert self.fleet.layers(self.one) == LayerRange(start=0, stop=8)

    def test_a_report_of_an_order_in_progress_outlives_a_list_that_agrees(self):
        held = replace(self._held(0, 4, 1), busy=True)
        self.fleet.update_layers("one", held)
        self.fleet.update_servers({"one": self.one})
        assert self.fleet.layer_reports["one"].busy

    def test_the_count_of_orders_outlives_a_lapsed_entry(self):
        self.fleet.update_layers("one", self._held(0, 8, 3))
        self.fleet.update_servers({})
        server = self._list(0, 8)
        assert self.fleet.sequence(server) == 3

    def test_a_list_of_before_an_outage_does_not_catch_up(self):
        self.fleet.update_layers("one", self._held(0, 8, 1))
        self.clock.now += 3.0
        self.fleet.update_servers({"one": self.one}, up_to_date=False)
        assert self.fleet.layers(self.one) == LayerRange(start=0, stop=8)

    def test_a_report_of_another_life_counts_for_nothing(self):
        assert not self.fleet.update_layers("one", self._held(0, 8, 1, incarnation=8))
        assert self.fleet.layers(self.one) == LayerRange(start=0, stop=4)

    def test_fewer_orders_are_an_older_report(self):
        self.fleet.update_layers("one", self._held(0, 8, 2))
        self.clock.now += 0.1
        assert not self.fleet.update_layers("one", self._held(0, 6, 1))

    def test_layers_take_memory_until_the_order_that_gives_them_up_is_done(self):
        busy = replace(self._held(0, 2, 1), busy=True)
        self.fleet.update_layers("one", busy)
        assert self.fleet.layers(self.one) == LayerRange(start=0, stop=2)
        assert self.fleet.loaded(self.one) == 4
        self.clock.now += 1.0
        self.fleet.update_layers("one", self._held(0, 2, 1))
        assert self.fleet.loaded(self.one) == 2

    def test_layers_that_are_loaded_take_memory_from_the_start(self):
        self.fleet.update_layers(
            "one", replace(self._held(0, 4, 1), busy=True, loaded=9)
        )
        assert self.fleet.loaded(self.one) == 9

    def test_the_newest_mark_counts(self):
        now = self.clock.now
        down = HealthStatus(incarnation=7, down=True, observed_at=now, reason="silent")
        late = HealthStatus(
            incarnation=7, down=False, observed_at=now - 1, reason="answered"
        )
        assert self.fleet.update_health("one", down)
        assert not self.fleet.update_health("one", late)
        assert not self.fleet.is_up(self.one)

    def test_a_mark_ends_with_the_life_it_is_about(self):
        self.fleet.set_health(self.one, down=True, reason="silent")
        again = _server("one", incarnation=9)
        self.fleet.update_servers({"one": again})
        assert self.fleet.is_up(again)
        old = HealthStatus(
            incarnation=7, down=True, observed_at=self.clock.now + 1, reason="late word"
        )
        assert not self.fleet.update_health("one", old)

    def test_a_server_that_left_unannounced_may_still_serve(self):
        """Its entry is removed, and it finishes what it has over many seconds."""
        self.fleet.update_servers({})
        assert not self.fleet.has_ended("one")

    def test_a_server_that_says_it_takes_no_work_still_serves_unlisted(self):
        self.fleet.set_health(
            self.one, down=True, refuses_work=True, reason="takes no work"
        )
        self.fleet.update_servers({})
        assert not self.fleet.has_ended("one")

    def test_a_server_that_was_silent_has_ended_once_it_is_unlisted(self):
        self.fleet.set_health(self.one, down=True, reason="silent")
        assert not self.fleet.has_ended("one")
        self.fleet.update_servers({})
        assert self.fleet.has_ended("one")

    def test_a_server_whose_address_is_anothers_has_ended(self):
        self.fleet.update_servers({"two": _server("two", address=self.one.address)})
        assert self.fleet.has_ended("one")

    def test_ended_servers_are_not_remembered_for_ever(self):
        self.fleet.set_health(self.one, down=True, reason="silent")
        self.fleet.update_servers({})
        self.clock.now += ENDED_RETENTION_SECONDS + 1
        self.fleet.update_servers({"two": _server("two")})
        assert not self.fleet.ended_at

    def test_each_change_of_what_routing_uses_is_counted(self):
        before = self.fleet.generation
        self.fleet.update_layers("one", self._held(0, 4, 1))
        assert self.fleet.generation == before
        self.fleet.update_layers("one", self._held(0, 8, 2))
        assert self.fleet.generation == before + 1
