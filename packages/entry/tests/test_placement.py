"""
Placement.

Plans over random fleets: coverage, memory, spread and few moves.
"""

from collections import defaultdict
from dataclasses import replace

from hypothesis import given, settings, strategies as st

from kumquatway.placement import Fleet, Link, Links, Node, bound, plan, rate
from kumquatway_core.text import Accelerator, DataCentre, Model, Text

KINDS = {
    f"k{speed}": Accelerator(
        memory_mib=gib * 1024, layer_us=400 / speed, token_us=10 / speed
    )
    for speed, gib in ((1, 24), (2, 32), (3, 48), (5, 80), (8, 96))
}


def make_text(models=2, layers=80, layer_mib=1024, version="1"):
    return Text(
        name="t",
        models={
            f"m{i}": Model(layers=layers, layer_mib=layer_mib, version=version)
            for i in range(models)
        },
        data_centres={f"dc{i}": DataCentre(region="r") for i in range(3)},
        accelerators=KINDS,
    )


def make_fleet(count=40, places=3, racks=4, kinds=tuple(KINDS), holdings=None):
    nodes = tuple(
        Node(
            name=f"vm{i:03}",
            data_centre=f"dc{i % places}",
            rack=f"rack{i // places % racks}",
            accelerator=kinds[i % len(kinds)],
            holdings=(holdings or {}).get(f"vm{i:03}", ()),
        )
        for i in range(count)
    )
    return Fleet(nodes=nodes, links=Links(across=Link(latency=0.001, bandwidth=1e9)))


def without(fleet, lost, holdings):
    nodes = tuple(
        Node(
            name=node.name,
            data_centre=node.data_centre,
            rack=node.rack,
            accelerator=node.accelerator,
            holdings=holdings.get(node.name, ()),
        )
        for node in fleet.nodes
        if not lost(node)
    )
    return Fleet(nodes=nodes, links=fleet.links)


def check_memory(holdings, fleet, text):
    for node in fleet.nodes:
        used = sum(
            (h.end - h.first) * text.models[h.model].layer_mib
            for h in holdings[node.name]
        )
        assert used <= 0.8 * text.accelerators[node.accelerator].memory_mib


class TestPlan:
    """A plan of one moment."""

    @settings(derandomize=True, deadline=None, max_examples=60)
    @given(
        count=st.integers(1, 60),
        models=st.integers(1, 4),
        places=st.integers(1, 3),
        racks=st.integers(1, 5),
        layers=st.integers(1, 90),
        layer_mib=st.sampled_from([16, 256, 1024, 4096]),
        kinds=st.lists(st.sampled_from(sorted(KINDS)), min_size=1, max_size=5),
    )
    def test_ranges_tile_the_model_and_fit(
        self, count, models, places, racks, layers, layer_mib, kinds
    ):
        text = make_text(models, layers, layer_mib)
        fleet = make_fleet(count, places, racks, kinds)
        result = plan(text, fleet)
        check_memory(result.holdings, fleet, text)
        for name, flow in result.bounds.items():
            held = [h for hs in result.holdings.values() for h in hs if h.model == name]
            ends = {h.end for h in held}
            assert all(0 <= h.first < h.end <= layers for h in held)
            assert all(h.first == 0 or h.first in ends for h in held)
            assert bool(held) == (flow > 0)

    @settings(derandomize=True, deadline=None, max_examples=30)
    @given(count=st.integers(1, 50), models=st.integers(1, 3))
    def test_shares_conserve_the_flow(self, count, models):
        text = make_text(models)
        result = plan(text, make_fleet(count))
        into, out = defaultdict(float), defaultdict(float)
        last = {
            (name, vm)
            for vm, holdings in result.holdings.items()
            for name in (h.model for h in holdings if h.end == 80)
        }
        for share in result.shares:
            into[share.model, share.target] += share.tokens_per_second
            out[share.model, share.source] += share.tokens_per_second
        for name, flow in result.bounds.items():
            assert abs(out[name, ""] - flow) <= 1e-6 * flow + 0.01
        for key, tokens in into.items():
            if key not in last:
                assert abs(out[key] - tokens) <= 1e-6 * tokens + 0.01

    def test_the_bound_is_near_what_the_hardware_allows(self):
        text, fleet = make_text(), make_fleet()
        most = sum(rate(KINDS[node.accelerator]) for node in fleet.nodes) / 160
        assert min(plan(text, fleet).bounds.values()) > 0.9 * most

    def test_no_vm_rack_or_data_centre_takes_a_model_away(self):
        text, fleet = make_text(), make_fleet()
        holdings = plan(text, fleet).holdings
        for key in (
            lambda node: node.name,
            lambda node: (node.data_centre, node.rack),
            lambda node: node.data_centre,
        ):
            for lost in {key(node) for node in fleet.nodes}:
                rest = without(fleet, lambda n, k=key, x=lost: k(n) == x, holdings)
                assert min(bound(holdings, rest, text).values()) > 0

    def test_vms_that_leave_get_no_layers(self):
        text, fleet = make_text(), make_fleet()
        nodes = tuple(replace(node, live=node.name != "vm000") for node in fleet.nodes)
        result = plan(text, replace(fleet, nodes=nodes))
        assert "vm000" not in result.holdings
        assert result.unserved == ()

    def test_a_model_too_large_is_named(self):
        text = make_text(2, layers=80, layer_mib=1024)
        text.models["m0"] = Model(layers=80, layer_mib=200_000)
        result = plan(text, make_fleet())
        assert result.unserved == ("m0",)
        assert result.bounds["m1"] > 0

    def test_slow_links_keep_pipelines_inside_data_centres(self):
        text, fleet = make_text(1), make_fleet()
        slow = replace(fleet, links=Links(across=Link(latency=0.03, bandwidth=1e6)))
        fast = plan(text, fleet).bounds["m0"]
        assert plan(text, slow).bounds["m0"] > 0.95 * fast
