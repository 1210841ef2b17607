"""
Metrics.

What the agent counts.
"""

from aioprometheus import Counter, Gauge, Registry


class AgentMetrics:
    """The metrics of one agent, in a registry of their own."""

    def __init__(self):
        self.registry = Registry()
        self.steps = self._counter("kumquatway_agent_steps_total", "Engine steps run.")
        self.tokens = self._counter(
            "kumquatway_agent_tokens_total", "Tokens run through the engine."
        )
        self.calls = self._counter(
            "kumquatway_agent_calls_total", "Calls of the plain service."
        )
        self.streams = self._gauge(
            "kumquatway_agent_streams", "Streams that the stage holds."
        )
        self.retained = self._gauge(
            "kumquatway_agent_retained_bytes", "Activations kept for a replay."
        )

    def _counter(self, name: str, doc: str) -> Counter:
        return Counter(name, doc, registry=self.registry)

    def _gauge(self, name: str, doc: str) -> Gauge:
        return Gauge(name, doc, registry=self.registry)
