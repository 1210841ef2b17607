"""
What each decision of waiting, routing and placement gains over the simple way.

The loads are those that the gateway's tests replay, in virtual time and with a seed:
the same figures each time.
"""

import sys
from pathlib import Path

TESTS = Path(__file__).parent.parent / "packages/gateway/tests"


def main() -> None:
    """Print the table."""
    sys.path.insert(0, str(TESTS))
    import replays  # found through TESTS

    print("| decision | figure | baseline | baseline's | ours |")
    print("| --- | --- | --- | --- | --- |")
    for row in (
        *_waiting(replays),
        *_repeats(replays),
        *_chains(replays),
        *_layouts(replays),
        *_placement(replays),
    ):
        print(f"| {' | '.join(row)} |")


def _waiting(replays):
    fair, queue = (
        replays.replay_dominant_account(),
        replays.replay_dominant_account(fair=False),
    )
    yield (
        "who goes next",
        "share served of accounts beside one with 30 times their load",
        "first come first served",
        f"{queue.share('one'):.2f}, {queue.share('two'):.2f}",
        f"{fair.share('one'):.2f}, {fair.share('two'):.2f}",
    )
    early, patient = replays.replay_burst(), replays.replay_burst(refuse_early=False)
    for figure, value in (
        ("refused after waiting, of 1.7 times the load", "refused_late"),
        ("mean wait of those served, s", "mean_wait"),
        ("served", "served"),
    ):
        yield (
            "who is refused",
            figure,
            "whoever waited to the end",
            _figure(patient, value),
            _figure(early, value),
        )
    yield (
        "when to return",
        "returns in the worst tenth of a second, of 400 refused",
        "the same time for all",
        str(replays.peak_retry_wave(replays.fixed_retry_after)),
        str(replays.peak_retry_wave(replays.jittered_retry_after())),
    )


def _figure(outcome, value: str) -> str:
    if value == "refused_late":
        return str(outcome.refused_late)
    if value == "mean_wait":
        return f"{outcome.mean_wait():.2f}"
    return str(sum(outcome.served.values()))


def _repeats(replays):
    for failing in (0.05, 0.3, 0.6):
        ours = replays.replay_retries(replays.with_retry_budget, failing=failing)
        free = replays.replay_retries(replays.without_retry_budget, failing=failing)
        yield (
            "repeats",
            f"repeats a request at the worst, and served; {failing:.0%} fail",
            "always",
            f"{free.max_retry_ratio:.2f}, {free.served:.2f}",
            f"{ours.max_retry_ratio:.2f}, {ours.served:.2f}",
        )


def _chains(replays):
    chains = replays.uneven_chains()
    for rate in (20.0, 30.0, 40.0):
        ours = replays.replay_chains(replays.choose_by_capacity, chains, rate=rate)
        least = replays.replay_chains(
            replays.choose_least_outstanding, chains, rate=rate
        )
        yield (
            "which chain",
            f"served, and sent where it did not fit; {rate:.0f} a second",
            "fewest requests",
            f"{least.served:.2f}, {least.evicted:.2f}",
            f"{ours.served:.2f}, {ours.evicted:.2f}",
        )


def _layouts(replays):
    layout, _ = replays.apply_plan(replays.empty_layout())
    filled = replays.fill_memory(replays.empty_layout())
    yield (
        "copies or room",
        "usual requests a second that the room of all chains allows",
        "as many copies as fit",
        f"{replays.sustainable_request_rate(filled):.1f}",
        f"{replays.sustainable_request_rate(layout):.1f}",
    )
    yield (
        "near chains first",
        "megabytes that a usual request moves between data centres",
        "blind to data centres",
        f"{replays.moved_megabytes(layout, near_first=False):.1f}",
        f"{replays.moved_megabytes(layout):.1f}",
    )
    for slowdown in (4.0, 12.0):
        blind = replays.mean_request_seconds(
            layout, slowdown=slowdown, slowdown_reported=False
        )
        ours = replays.mean_request_seconds(layout, slowdown=slowdown)
        yield (
            "slow servers",
            f"seconds of a usual request; one server is {slowdown:.0f} times slower",
            "blind to the pace of servers",
            f"{blind:.2f}",
            f"{ours:.2f}",
        )


def _placement(replays):
    ours = replays.replay_losses(replays.apply_plan)
    equal = replays.replay_losses(replays.split_equally)
    yield (
        "which layers",
        "layers loaded after the loss of a server, mean",
        "equal split",
        f"{equal.loaded:.1f}",
        f"{ours.loaded:.1f}",
    )
    yield (
        "which layers",
        "data centres without a chain until then, mean",
        "equal split",
        f"{equal.broken:.2f}",
        f"{ours.broken:.2f}",
    )


if __name__ == "__main__":
    main()
