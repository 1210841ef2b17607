"""Tests that each decision beats the simple way of taking it, by replayed loads."""

from replays import (
    apply_plan,
    choose_by_capacity,
    choose_least_outstanding,
    empty_layout,
    fill_memory,
    fixed_retry_after,
    jittered_retry_after,
    layout_chains,
    mean_request_seconds,
    moved_megabytes,
    peak_retry_wave,
    replay_burst,
    replay_chains,
    replay_dominant_account,
    replay_losses,
    replay_retries,
    split_equally,
    sustainable_request_rate,
    uneven_chains,
    with_retry_budget,
    without_retry_budget,
)


class TestWaiting:
    """Against first come first served, and against refusal only when full."""

    def test_small_accounts_beside_a_large_one(self):
        assert replay_dominant_account().share("one") > replay_dominant_account(
            fair=False
        ).share("one")

    def test_a_burst(self):
        ours, patient = replay_burst(), replay_burst(refuse_early=False)
        assert ours.refused_late < patient.refused_late
        assert ours.mean_wait() < patient.mean_wait()
        served = sum(ours.served.values())
        assert served >= 0.9 * sum(patient.served.values())


class TestRefusal:
    """Against one time to return for all."""

    def test_returns_come_as_no_wave(self):
        peak = peak_retry_wave(jittered_retry_after())
        assert peak < 0.1 * peak_retry_wave(fixed_retry_after)


class TestRepeats:
    """Against repeating whatever fails."""

    def test_a_failing_service_is_not_stormed(self):
        ours = replay_retries(with_retry_budget, failing=0.6)
        assert (
            ours.max_retry_ratio
            < replay_retries(without_retry_budget, failing=0.6).max_retry_ratio
        )
        assert ours.max_retry_ratio <= 0.2 + 100 / 2000

    def test_single_failures_are_mended_as_well(self):
        ours = replay_retries(with_retry_budget, failing=0.05)
        assert ours.served == replay_retries(without_retry_budget, failing=0.05).served


class TestChains:
    """Against the chain with the fewest requests."""

    def test_nothing_is_sent_where_it_does_not_fit(self):
        chains = uneven_chains()
        ours = replay_chains(choose_by_capacity, chains, rate=30.0)
        least = replay_chains(choose_least_outstanding, chains, rate=30.0)
        assert ours.evicted == 0 < least.evicted
        assert ours.served > least.served


class TestCopies:
    """Against as many copies of the model as fit."""

    def test_room_for_requests_carries_more_than_copies(self):
        ours, _ = apply_plan(empty_layout())
        filled = fill_memory(empty_layout())
        assert len(layout_chains(filled)) > len(layout_chains(ours))
        assert sustainable_request_rate(ours) > 2 * sustainable_request_rate(filled)


class TestDataCentres:
    """Against chains that are found without regard to data centres."""

    def test_little_is_moved_between_data_centres(self):
        layout, _ = apply_plan(empty_layout())
        assert moved_megabytes(layout) == 0
        assert moved_megabytes(layout, near_first=False) > 0


class TestSlowServers:
    """Against chains that are found and chosen blind to the pace of servers."""

    def test_requests_go_around_a_slow_server(self):
        layout, _ = apply_plan(empty_layout())
        ours = mean_request_seconds(layout, slowdown=12.0)
        assert ours < 0.7 * mean_request_seconds(
            layout, slowdown=12.0, slowdown_reported=False
        )


class TestPlacement:
    """Against an equal split of the layers of each data centre."""

    def test_the_loss_of_any_one_server(self):
        ours, equal = replay_losses(apply_plan), replay_losses(split_equally)
        assert ours.broken < equal.broken
        assert ours.loaded < 0.5 * equal.loaded

    def test_the_baseline_lays_out_every_data_centre(self):
        layout, loaded = split_equally(empty_layout())
        assert loaded == 3 * 80
        assert len(layout) == len(empty_layout())
