"""Tests of chains: found whole, and chosen by the room that is left."""

from engines import ENGINE, layer_range, server

from kumquatway_gateway.chains import (
    CandidateServer,
    ChainLoad,
    choose_chain,
    find_chains,
)


def _holder(name: str, centre: str, start: int, stop: int, **fields) -> CandidateServer:
    kind = fields.pop("kind", "big")
    one = server(name, centre, kind)
    return CandidateServer(server=one, layers=layer_range(start, stop), **fields)


def _whole(chain) -> bool:
    position = 0
    for part in chain.stages:
        if part.layers.start != position:
            return False
        position = part.layers.stop
    return position == ENGINE.layers


class TestPaths:
    """Every layer once and in order."""

    def test_neighbours(self):
        [chain] = find_chains(
            ENGINE, [_holder("x", "a", 0, 40), _holder("y", "a", 40, 80)]
        )
        assert [p.server.id for p in chain.stages] == ["x", "y"]
        assert _whole(chain)

    def test_overlaps_are_cut(self):
        holders = [_holder("x", "a", 0, 50), _holder("y", "a", 30, 80)]
        [chain] = find_chains(ENGINE, holders)
        assert _whole(chain)

    def test_a_gap_is_no_chain(self):
        assert not find_chains(
            ENGINE, [_holder("x", "a", 0, 40), _holder("y", "a", 41, 80)]
        )

    def test_no_server_twice_and_none_shared(self):
        holders = [
            _holder("x", "a", 0, 80, slowdown=9.0),
            _holder("y", "a", 20, 60),
            _holder("z", "a", 0, 80),
        ]
        chains = find_chains(ENGINE, holders)
        names = [p.server.id for chain in chains for p in chain.stages]
        assert len(names) == len(set(names))
        assert all(_whole(chain) for chain in chains)

    def test_within_a_data_centre_before_across(self):
        holders = [
            _holder("a1", "a", 0, 40),
            _holder("a2", "a", 40, 80),
            _holder("b1", "b", 0, 40),
            _holder("c2", "c", 40, 80),
        ]
        first, second = find_chains(ENGINE, holders)
        assert first.crossings == 0
        assert second.crossings == 1

    def test_a_slow_server_is_gone_around(self):
        holders = [
            _holder("x", "a", 0, 40),
            _holder("slow", "a", 40, 80, slowdown=12.0),
            _holder("fast", "a", 40, 80),
        ]
        assert find_chains(ENGINE, holders)[0].stages[1].server.id == "fast"

    def test_the_room_is_that_of_the_fullest(self):
        holders = [
            _holder("x", "a", 0, 19),
            *[
                _holder(f"m{n}", "a", 19 + 9 * n, min(80, 28 + 9 * n), kind="middle")
                for n in range(7)
            ],
        ]
        [chain] = find_chains(ENGINE, holders)
        assert 12_000 < chain.token_capacity < 13_000


class TestRoom:
    """Load pattern: layers are moved under load."""

    def test_layers_that_are_loaded_or_given_up_take_room(self):
        spans = [(start, start + 16) for start in range(0, 80, 16)]
        still = [_holder(f"s{start}", "a", start, stop) for start, stop in spans]
        moving = [_holder(f"m{start}", "b", *s) for s in spans for start in s[:1]]
        moving[2] = _holder("m32", "b", 32, 48, layers_in_memory=19)
        one, other = find_chains(ENGINE, [*still, *moving])
        assert one.token_capacity > 40_000
        assert other.token_capacity == other.stages[2].token_capacity < 15_000


class TestChoice:
    """Load pattern: a third of the capacity is gone and the rest is in use."""

    def setup_method(self):
        holders = [
            _holder(f"{name}{start}" if start else name, centre, start, start + 16)
            for name, centre in (("x", "a"), ("y", "b"))
            for start in range(0, 80, 16)
        ]
        self.chains = find_chains(ENGINE, holders)
        self.room = self.chains[0].token_capacity

    def _choose(self, loads: dict[str, ChainLoad], **fields):
        chosen = choose_chain(
            self.chains, loads, tokens=900, slots=4, home="a", **fields
        )
        return chosen.first_server.id if chosen else None

    def test_home_on_near_equal_terms(self):
        assert self._choose({}) == "x"

    def test_elsewhere_where_home_is_much_fuller(self):
        assert self._choose({"x": ChainLoad(tokens=0.5 * self.room, requests=2)}) == "y"

    def test_none_without_room(self):
        full = ChainLoad(tokens=self.room, requests=2)
        assert self._choose({"x": full, "y": full}) is None

    def test_none_without_slots(self):
        full = ChainLoad(tokens=0.1, requests=4)
        assert self._choose({"x": full, "y": full}) is None

    def test_one_request_fits_an_idle_chain_whatever_its_size(self):
        assert choose_chain(self.chains, {}, tokens=1e9, slots=4, home="a") is not None

    def test_not_where_requests_lately_failed(self):
        assert self._choose({"x": ChainLoad(failure_rate=0.5)}) == "y"

    def test_not_where_a_part_is_slow(self):
        """Load pattern: some servers take many times their time."""
        slow = [
            _holder(f"x{n}", "a", n, n + 16, slowdown=12.0) for n in range(0, 80, 16)
        ]
        fast = [_holder(f"y{n}", "b", n, n + 16) for n in range(0, 80, 16)]
        self.chains = find_chains(ENGINE, [*slow, *fast])
        assert self._choose({}) == "y0"

    def test_not_what_is_to_be_avoided(self):
        assert self._choose({}, avoid={"x"}) == "y"
        assert self._choose({}, avoid={"x", "y"}) is None
