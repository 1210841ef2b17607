"""Tests of when an order is given again after servers crashed by it."""

from engines import layer_range

from kumquatway_gateway.duties._order_crashes import (
    FIRST_DELAY_SECONDS,
    MAX_CRASHES,
    MAX_DELAY_SECONDS,
    OrderCrashes,
)


class _Clock:
    def __init__(self):
        self.now = 50.0

    def __call__(self) -> float:
        return self.now


class TestOrderCrashes:
    """Servers that crash while they load layers."""

    def setup_method(self):
        self.clock = _Clock()
        self.crashes = OrderCrashes(clock=self.clock)
        self.layers = layer_range(10, 20)

    def _crash(self, count: int) -> None:
        for _ in range(count):
            self.crashes.record_crash("m", self.layers)

    def test_layers_of_another_service_do_not_wait(self):
        self._crash(MAX_CRASHES)
        assert not self.crashes.may_order("m", self.layers)
        assert self.crashes.may_order("n", self.layers)
        self.crashes.record_done("n", self.layers)
        assert not self.crashes.may_order("m", self.layers)

    def test_a_few_crashes_delay_nothing(self):
        self._crash(MAX_CRASHES - 1)
        assert self.crashes.may_order("m", self.layers)

    def test_orders_for_the_same_layers_wait_longer_each_time(self):
        self._crash(MAX_CRASHES)
        assert not self.crashes.may_order("m", layer_range(19, 30))
        assert self.crashes.may_order("m", layer_range(20, 30))
        self.clock.now += FIRST_DELAY_SECONDS
        assert self.crashes.may_order("m", self.layers)
        self._crash(1)
        self.clock.now += FIRST_DELAY_SECONDS
        assert not self.crashes.may_order("m", self.layers)
        self._crash(100)
        self.clock.now += MAX_DELAY_SECONDS
        assert self.crashes.may_order("m", self.layers)

    def test_one_server_at_a_time_tries_again(self):
        self._crash(MAX_CRASHES)
        self.clock.now += FIRST_DELAY_SECONDS
        assert self.crashes.may_order("m", self.layers, [layer_range(20, 30)])
        assert not self.crashes.may_order("m", self.layers, [layer_range(15, 25)])

    def test_a_server_that_loads_them_ends_the_wait(self):
        self._crash(MAX_CRASHES)
        self.crashes.record_done("m", layer_range(5, 25))
        assert self.crashes.may_order("m", self.layers)
