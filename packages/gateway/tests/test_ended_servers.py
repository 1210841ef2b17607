"""Tests that servers that have ended are forgotten in the end."""

from engines import layer_range, server

from kumquatway_gateway.fleet import Fleet
from kumquatway_gateway.model import LayerReport

MAX_SERVERS = 2000  # far more than are listed at once


class TestServersWithoutEnd:
    """Each server that starts has another ID, reports its layers, and ends."""

    def test_their_reports_are_forgotten(self):
        now = 0.0
        fleet = Fleet(clock=lambda: now)
        for number in range(2 * MAX_SERVERS):
            now += 1.0
            name = f"s{number}"
            started = server(name, "a", "big", layer_range(0, 10))
            fleet.update_servers({name: started})
            report = LayerReport(
                incarnation=started.incarnation,
                layers=layer_range(0, 20),
                sequence=1,
                busy=False,
                reported_at=now,
            )
            assert fleet.update_layers(name, report)
        kept = (fleet.dropped_reports, fleet.layer_reports, fleet.ended_at)
        assert all(len(table) < MAX_SERVERS for table in kept)
        assert len(fleet.layers_listed_at) == 1
