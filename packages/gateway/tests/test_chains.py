"""Tests that chains contain every layer, and that the best one is chosen."""

from engines import ENGINE, layer_range, server

from kumquatway_gateway.chains import (
    CandidateServer,
    ChainLoad,
    choose_chain,
    find_chains,
)


def _candidate(
    name: str, centre: str, start: int, stop: int, **fields
) -> CandidateServer:
    kind = fields.pop("kind", "big")
    member = server(name, centre, kind)
    return CandidateServer(server=member, layers=layer_range(start, stop), **fields)


def _runs_all_layers(chain) -> bool:
    position = 0
    for stage in chain.stages:
        if stage.layers.start != position:
            return False
        position = stage.layers.stop
    return position == ENGINE.layers


class TestPaths:
    """Chains run every layer once and in order."""

    def test_adjacent_ranges_form_a_chain(self):
        [chain] = find_chains(
            ENGINE, [_candidate("x", "a", 0, 40), _candidate("y", "a", 40, 80)]
        )
        assert [stage.server.id for stage in chain.stages] == ["x", "y"]
        assert _runs_all_layers(chain)

    def test_overlapping_layers_run_once(self):
        candidates = [_candidate("x", "a", 0, 50), _candidate("y", "a", 30, 80)]
        [chain] = find_chains(ENGINE, candidates)
        assert _runs_all_layers(chain)

    def test_no_chain_across_a_gap(self):
        assert not find_chains(
            ENGINE, [_candidate("x", "a", 0, 40), _candidate("y", "a", 41, 80)]
        )

    def test_chains_share_no_server(self):
        candidates = [
            _candidate("x", "a", 0, 80, slowdown=9.0),
            _candidate("y", "a", 20, 60),
            _candidate("z", "a", 0, 80),
        ]
        chains = find_chains(ENGINE, candidates)
        names = [stage.server.id for chain in chains for stage in chain.stages]
        assert len(names) == len(set(names))
        assert all(_runs_all_layers(chain) for chain in chains)

    def test_two_copies_with_other_boundaries_form_two_chains(self):
        """The cheapest chain by itself would use parts of servers of both copies."""
        coarse = [(start, start + 20, "big") for start in range(0, 80, 20)]
        fine = [(start, start + 16, "small") for start in range(0, 80, 16)]
        slow = {("big", 20), ("big", 60)}
        candidates = [
            _candidate(
                f"{kind}{start}",
                "x",
                start,
                stop,
                kind=kind,
                slowdown=9.0 if (kind, start) in slow else 1.0,
            )
            for start, stop, kind in coarse + fine
        ]
        chains = find_chains(ENGINE, candidates)
        assert len(chains) == 2
        assert all(_runs_all_layers(chain) for chain in chains)

    def test_chains_within_a_data_centre_come_first(self):
        candidates = [
            _candidate("a1", "a", 0, 40),
            _candidate("a2", "a", 40, 80),
            _candidate("b1", "b", 0, 40),
            _candidate("c2", "c", 40, 80),
        ]
        first, second = find_chains(ENGINE, candidates)
        assert first.crossings == 0
        assert second.crossings == 1

    def test_slow_server_is_avoided(self):
        candidates = [
            _candidate("x", "a", 0, 40),
            _candidate("slow", "a", 40, 80, slowdown=12.0),
            _candidate("fast", "a", 40, 80),
        ]
        assert find_chains(ENGINE, candidates)[0].stages[1].server.id == "fast"

    def test_token_capacity_is_that_of_the_smallest_stage(self):
        candidates = [
            _candidate("x", "a", 0, 19),
            *[
                _candidate(f"m{n}", "a", 19 + 9 * n, min(80, 28 + 9 * n), kind="middle")
                for n in range(7)
            ],
        ]
        [chain] = find_chains(ENGINE, candidates)
        assert 12_000 < chain.token_capacity < 13_000


class TestTokenCapacity:
    """Load pattern: layers are loaded and unloaded under load."""

    def test_layers_being_loaded_or_unloaded_occupy_memory(self):
        spans = [(start, start + 16) for start in range(0, 80, 16)]
        stable = [_candidate(f"s{start}", "a", start, stop) for start, stop in spans]
        changing = [_candidate(f"m{start}", "b", *s) for s in spans for start in s[:1]]
        changing[2] = _candidate("m32", "b", 32, 48, layers_in_memory=19)
        full, reduced = find_chains(ENGINE, [*stable, *changing])
        assert full.token_capacity > 40_000
        assert reduced.token_capacity == reduced.stages[2].token_capacity < 15_000


class TestChoice:
    """Load pattern: a third of the capacity is lost while the rest is in use."""

    def setup_method(self):
        candidates = [
            _candidate(f"{name}{start}" if start else name, centre, start, start + 16)
            for name, centre in (("x", "a"), ("y", "b"))
            for start in range(0, 80, 16)
        ]
        self.chains = find_chains(ENGINE, candidates)
        self.token_capacity = self.chains[0].token_capacity

    def _choose(self, loads: dict[str, ChainLoad], **fields):
        chosen = choose_chain(
            self.chains, loads, tokens=900, slots=4, home="a", **fields
        )
        return chosen.first_server.id if chosen else None

    def test_local_chain_if_loads_are_similar(self):
        assert self._choose({}) == "x"

    def test_remote_chain_if_local_one_is_much_fuller(self):
        assert (
            self._choose({"x": ChainLoad(tokens=0.5 * self.token_capacity, requests=2)})
            == "y"
        )

    def test_none_without_free_tokens(self):
        full = ChainLoad(tokens=self.token_capacity, requests=2)
        assert self._choose({"x": full, "y": full}) is None

    def test_none_without_free_slots(self):
        full = ChainLoad(tokens=0.1, requests=4)
        assert self._choose({"x": full, "y": full}) is None

    def test_idle_chain_accepts_a_request_of_any_size(self):
        assert choose_chain(self.chains, {}, tokens=1e9, slots=4, home="a") is not None

    def test_chain_with_recent_failures_is_avoided(self):
        assert self._choose({"x": ChainLoad(failure_rate=0.5)}) == "y"

    def test_chain_with_slow_servers_is_avoided(self):
        """Load pattern: some servers take many times their normal time."""
        slow = [
            _candidate(f"x{n}", "a", n, n + 16, slowdown=12.0) for n in range(0, 80, 16)
        ]
        fast = [_candidate(f"y{n}", "b", n, n + 16) for n in range(0, 80, 16)]
        self.chains = find_chains(ENGINE, [*slow, *fast])
        assert self._choose({}) == "y0"

    def test_excluded_servers_are_avoided(self):
        assert self._choose({}, avoid={"x"}) == "y"
        assert self._choose({}, avoid={"x", "y"}) is None
