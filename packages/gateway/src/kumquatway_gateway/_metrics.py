"""The Prometheus metrics of a gateway, most of which are derived from its events."""

from collections.abc import Callable, Iterable

from aioprometheus import Counter, Gauge, Histogram, Registry, render

from kumquatway_core.events import (
    DependencyChanged,
    Event,
    LayersOrdered,
    MembershipChanged,
    Refused,
    RequestEnded,
    StageFailed,
    StreamRecovered,
)
from kumquatway_gateway._sources import StoreCall, StoreCallKind

# Upper bounds of the histograms' buckets, in seconds. The latency objectives of the
# users' deployments are 0.1 and 0.5 s; the longest timeout is 20 s.
BUCKET_SECONDS = (0.025, 0.05, 0.1, 0.2, 0.35, 0.5, 1.0, 2.0, 5.0, 10.0, 20.0)


class GatewayMetrics:
    """The metrics of one gateway, in their own registry."""

    def __init__(self):
        self.registry = Registry()
        self.requests = self._counter(
            "kumquatway_requests_total", "Requests by verdict, reason and status class."
        )
        self.refused = self._counter(
            "kumquatway_refused_total", "Requests that were not allowed, by reason."
        )
        self.attempt_failures = self._counter(
            "kumquatway_attempt_failures_total", "Attempts that failed, by reason."
        )
        self.responses = self._counter(
            "kumquatway_responses_total",
            "Responses of servers to callers' requests, by framing and end.",
        )
        self.permits = self._counter(
            "kumquatway_permits_total",
            "Requests for permits for servers that have a limit, by outcome.",
        )
        self.broken_off = self._counter(
            "kumquatway_broken_off_total",
            "Responses that broke off, by what became known of their server.",
        )
        self.recoveries = self._counter(
            "kumquatway_recoveries_total", "Streams that went on elsewhere."
        )
        self.orders = self._counter(
            "kumquatway_orders_total", "Orders to servers, by outcome."
        )
        self.server_changes = self._counter(
            "kumquatway_server_changes_total", "Changes of servers, by state."
        )
        self.dependency_changes = self._counter(
            "kumquatway_dependency_changes_total", "Dependencies lost and regained."
        )
        self.first_events = self._histogram(
            "kumquatway_first_event_seconds", "From the request to its first event."
        )
        self.durations = self._histogram(
            "kumquatway_request_seconds", "From the request to its end, by kind."
        )
        self.gaps = self._histogram(
            "kumquatway_longest_gap_seconds",
            "The longest time between two events of a stream.",
        )
        self.store_calls = self._counter(
            "kumquatway_store_calls_total", "Calls of the store, by kind and outcome."
        )
        self.store_seconds = self._histogram(
            "kumquatway_store_seconds", "From a call of the store to its answer."
        )
        self.waits = self._histogram(
            "kumquatway_wait_seconds", "Waiting for room on a chain."
        )
        self.gauges: dict[str, tuple[Gauge, Callable[[], float]]] = {}

    def add_gauge(self, name: str, help_text: str, value: Callable[[], float]) -> None:
        """
        Add a gauge whose value is computed when the metrics are rendered.

        :param name: name of the metric.
        :param help_text: help text of the metric, one line.
        :param value: returns the current value.
        """
        self.gauges[name] = (Gauge(name, help_text, registry=self.registry), value)

    def observe(self, event: Event) -> None:
        """
        Count an event; kinds of events without a metric are ignored.

        :param event: an event of the gateway.
        """
        match event:
            case RequestEnded():
                self._count_end(event)
            case Refused():
                self.refused.inc({"reason": event.reason})
            case StageFailed():
                self.attempt_failures.inc({"reason": event.reason})
            case StreamRecovered():
                self.recoveries.inc({"means": event.means})
            case LayersOrdered():
                self.orders.inc({"outcome": event.outcome})
            case MembershipChanged():
                self.server_changes.inc({"state": event.state})
            case DependencyChanged():
                self.dependency_changes.inc({"name": event.name, "state": event.state})

    def observe_store_call(self, call: StoreCall) -> None:
        """
        Count a call of the store, and observe its duration.

        :param call: a call that has ended.
        """
        labels = {"kind": call.kind.value, "outcome": call.outcome.value}
        self.store_calls.inc(labels)
        # A FOLLOW call waits for changes, so its duration does not show the latency of
        # the store.
        if call.kind is not StoreCallKind.FOLLOW:
            self.store_seconds.observe({}, call.seconds)

    def observe_response(self, framing: str, end: str) -> None:
        """
        Count a response of a server, or its absence.

        :param framing: what marks the end of its body, or "" if it had no head.
        :param end: how it ended.
        """
        self.responses.inc({"framing": framing, "end": end})

    def observe_permit(self, outcome: str) -> None:
        """
        Count a request for permits for a server that has a limit.

        :param outcome: `issued`, `denied` or `unanswered`.
        """
        self.permits.inc({"outcome": outcome})

    def observe_broken_off(self, outcome: str) -> None:
        """
        Count a response that broke off, once it is known whether its server ended.

        :param outcome: `crash` or `server lives`.
        """
        self.broken_off.inc({"outcome": outcome})

    def render(self) -> tuple[bytes, Iterable[tuple[str, str]]]:
        """
        Render the metrics in the Prometheus text format.

        :return: the response body and its header fields.
        """
        for gauge, value in self.gauges.values():
            gauge.set({}, value())
        body, fields = render(self.registry, [])
        return body, fields.items()

    def _count_end(self, event: RequestEnded) -> None:
        labels = {
            "verdict": event.verdict,
            "reason": event.reason,
            "status": f"{event.status // 100}xx",
        }
        self.requests.inc(labels)

    def _counter(self, name: str, help_text: str) -> Counter:
        return Counter(name, help_text, registry=self.registry)

    def _histogram(self, name: str, help_text: str) -> Histogram:
        return Histogram(
            name, help_text, registry=self.registry, buckets=list(BUCKET_SECONDS)
        )
