"""Tests of the demo's ports."""

from kumquatway._demo import _ports


class TestPorts:
    """No address is given twice."""

    def test_a_port_that_is_found_again_is_passed_over(self, monkeypatch):
        found = iter(["127.0.0.1:1", "127.0.0.1:1", "127.0.0.1:2"])
        monkeypatch.setattr(_ports, "_given", set())
        monkeypatch.setattr(_ports, "_probe", lambda: next(found))
        assert _ports.free_address() == "127.0.0.1:1"
        assert _ports.free_address() == "127.0.0.1:2"
