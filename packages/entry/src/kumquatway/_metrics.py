"""
Metrics.

What the entry counts.
"""

from aioprometheus import Counter, Gauge, Registry

from kumquatway_core.events import (
    Event,
    Refused,
    RequestEnded,
    RequestStarted,
    StageFailed,
    StreamRecovered,
)


class EntryMetrics:
    """The metrics of one entry, in a registry of their own."""

    def __init__(self):
        self.registry = Registry()
        self.requests = self._counter(
            "kumquatway_requests_total", "Requests by verdict and reason."
        )
        self.failures = self._counter(
            "kumquatway_stage_failures_total", "Failures of stages by reason."
        )
        self.recoveries = self._counter(
            "kumquatway_recoveries_total", "Streams that went on after a failure."
        )
        self.admitted = self._counter(
            "kumquatway_admitted_total", "Requests admitted by target."
        )
        self.refused = self._counter(
            "kumquatway_refused_total", "Requests refused by reason."
        )
        self.queued = Gauge(
            "kumquatway_queued",
            "Requests that wait for admission by target.",
            registry=self.registry,
        )
        self.streams = Gauge(
            "kumquatway_streams", "Streams in flight.", registry=self.registry
        )

    def count(self, event: Event) -> None:
        """
        Count what an event says.

        :param event: as written down.
        """
        if isinstance(event, RequestStarted):
            self.admitted.inc({"target": event.target})
        elif isinstance(event, Refused):
            self.refused.inc({"reason": event.reason})
        elif isinstance(event, RequestEnded):
            self.requests.inc({"verdict": event.verdict, "reason": event.reason})
        elif isinstance(event, StageFailed):
            self.failures.inc({"reason": event.reason})
        elif isinstance(event, StreamRecovered):
            self.recoveries.inc({"means": event.means})

    def show_queues(self, queued: dict[str, int]) -> None:
        """
        Set the gauges of the queues.

        :param queued: requests that wait, by target.
        """
        for target, count in queued.items():
            self.queued.set({"target": target}, count)

    def _counter(self, name: str, doc: str) -> Counter:
        return Counter(name, doc, registry=self.registry)
