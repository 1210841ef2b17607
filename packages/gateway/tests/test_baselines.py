"""Tests that each decision beats the simple way of taking it, by replayed loads."""

from replays import (
    carried,
    chains_of,
    empty_layout,
    equal_returns,
    fill_memory,
    mean_seconds,
    moved_megabytes,
    peak_of_returns,
    pick_by_room,
    pick_least_outstanding,
    play_burst,
    play_chains,
    play_crowd,
    play_losses,
    play_storm,
    settle,
    split_equally,
    spread_returns,
    uneven_chains,
    with_budget,
    without_budget,
)


class TestWaiting:
    """Against first come first served, and against refusal only when full."""

    def test_small_accounts_beside_a_large_one(self):
        assert play_crowd().share("one") > play_crowd(fair=False).share("one")

    def test_a_burst(self):
        ours, patient = play_burst(), play_burst(refuse_early=False)
        assert ours.refused_late < patient.refused_late
        assert ours.mean_wait() < patient.mean_wait()
        served = sum(ours.served.values())
        assert served >= 0.9 * sum(patient.served.values())


class TestRefusal:
    """Against one time to return for all."""

    def test_returns_come_as_no_wave(self):
        peak = peak_of_returns(spread_returns())
        assert peak < 0.1 * peak_of_returns(equal_returns)


class TestRepeats:
    """Against repeating whatever fails."""

    def test_a_failing_service_is_not_stormed(self):
        ours = play_storm(with_budget, failing=0.6)
        assert ours.most < play_storm(without_budget, failing=0.6).most
        assert ours.most <= 0.2 + 100 / 2000

    def test_single_failures_are_mended_as_well(self):
        ours = play_storm(with_budget, failing=0.05)
        assert ours.served == play_storm(without_budget, failing=0.05).served


class TestChains:
    """Against the chain with the fewest requests."""

    def test_nothing_is_sent_where_it_does_not_fit(self):
        chains = uneven_chains()
        ours = play_chains(pick_by_room, chains, rate=30.0)
        least = play_chains(pick_least_outstanding, chains, rate=30.0)
        assert ours.evicted == 0 < least.evicted
        assert ours.served > least.served


class TestCopies:
    """Against as many copies of the model as fit."""

    def test_room_for_requests_carries_more_than_copies(self):
        ours, _ = settle(empty_layout())
        filled = fill_memory(empty_layout())
        assert len(chains_of(filled)) > len(chains_of(ours))
        assert carried(ours) > 2 * carried(filled)


class TestDataCentres:
    """Against chains that are found without regard to data centres."""

    def test_little_is_moved_between_data_centres(self):
        layout, _ = settle(empty_layout())
        assert moved_megabytes(layout) == 0
        assert moved_megabytes(layout, near_first=False) > 0


class TestSlowServers:
    """Against chains that are found and chosen blind to the pace of servers."""

    def test_requests_go_around_a_slow_server(self):
        layout, _ = settle(empty_layout())
        ours = mean_seconds(layout, slowness=12.0)
        assert ours < 0.7 * mean_seconds(layout, slowness=12.0, known=False)


class TestPlacement:
    """Against an equal split of the layers of each data centre."""

    def test_the_loss_of_any_one_server(self):
        ours, equal = play_losses(settle), play_losses(split_equally)
        assert ours.broken < equal.broken
        assert ours.loaded < 0.5 * equal.loaded

    def test_the_baseline_lays_out_every_data_centre(self):
        layout, loaded = split_equally(empty_layout())
        assert loaded == 3 * 80
        assert len(layout) == len(empty_layout())
