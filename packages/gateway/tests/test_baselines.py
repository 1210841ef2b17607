"""Tests that each decision beats a simple baseline, by replayed loads."""

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
    """Against first come, first served, and against refusal only at the deadline."""

    def test_small_accounts_beside_a_dominant_one(self):
        assert replay_dominant_account().share("one") > replay_dominant_account(
            fair=False
        ).share("one")

    def test_burst(self):
        early, patient = replay_burst(), replay_burst(refuse_early=False)
        assert early.refused_late < patient.refused_late
        assert early.mean_wait() < patient.mean_wait()
        served = sum(early.served.values())
        assert served >= 0.9 * sum(patient.served.values())


class TestRefusal:
    """Against one retry time for all callers."""

    def test_retries_do_not_arrive_in_one_wave(self):
        peak = peak_retry_wave(jittered_retry_after())
        assert peak < 0.1 * peak_retry_wave(fixed_retry_after)


class TestRetries:
    """Against retrying every failure."""

    def test_failing_service_is_not_flooded_with_retries(self):
        limited = replay_retries(with_retry_budget, failing=0.6)
        assert (
            limited.max_retry_ratio
            < replay_retries(without_retry_budget, failing=0.6).max_retry_ratio
        )
        assert limited.max_retry_ratio <= 0.2 + 100 / 2000

    def test_occasional_failures_are_all_retried(self):
        limited = replay_retries(with_retry_budget, failing=0.05)
        assert (
            limited.served == replay_retries(without_retry_budget, failing=0.05).served
        )


class TestChains:
    """Against choosing the chain with the fewest requests."""

    def test_no_request_exceeds_the_capacity_of_its_chain(self):
        chains = uneven_chains()
        by_capacity = replay_chains(choose_by_capacity, chains, rate=30.0)
        by_requests = replay_chains(choose_least_outstanding, chains, rate=30.0)
        assert by_capacity.evicted == 0 < by_requests.evicted
        assert by_capacity.served > by_requests.served


class TestCopies:
    """Against as many copies of the model as fit in memory."""

    def test_kv_cache_sustains_a_higher_rate_than_more_copies(self):
        planned, _ = apply_plan(empty_layout())
        filled = fill_memory(empty_layout())
        assert len(layout_chains(filled)) > len(layout_chains(planned))
        assert sustainable_request_rate(planned) > 2 * sustainable_request_rate(filled)


class TestDataCentres:
    """Against finding chains without regard to data centres."""

    def test_no_traffic_between_data_centres(self):
        layout, _ = apply_plan(empty_layout())
        assert moved_megabytes(layout) == 0
        assert moved_megabytes(layout, near_first=False) > 0


class TestSlowServers:
    """Against finding and choosing chains without the reported slowdowns."""

    def test_requests_avoid_a_slow_server(self):
        layout, _ = apply_plan(empty_layout())
        reported = mean_request_seconds(layout, slowdown=12.0)
        assert reported < 0.7 * mean_request_seconds(
            layout, slowdown=12.0, slowdown_reported=False
        )


class TestPlacement:
    """Against splitting the layers of each data centre by memory."""

    def test_loss_of_any_one_server(self):
        planned, equal = replay_losses(apply_plan), replay_losses(split_equally)
        assert planned.broken < equal.broken
        assert planned.loaded < 0.5 * equal.loaded

    def test_baseline_assigns_the_layers_of_every_data_centre(self):
        layout, loaded = split_equally(empty_layout())
        assert loaded == 3 * 80
        assert len(layout) == len(empty_layout())
