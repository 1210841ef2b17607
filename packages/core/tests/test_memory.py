"""Tests of the bound on what a process holds for others."""

import subprocess
import sys

import pytest
from hypothesis import given, strategies as st

from kumquatway_core.memory import MemoryBudget


class _Reader:
    """A reader that closes when its share is given up."""

    def __init__(self, budget: MemoryBudget, sender: str):
        self.closed = False
        self.budget = budget
        self.share = budget.begin(sender, self._close)

    def hold(self, size: int) -> None:
        if not self.closed:
            self.budget.resize(self.share, size)

    def _close(self) -> None:
        self.closed = True
        self.budget.resize(self.share, 0)


class TestMemoryBudget:
    """The sender that holds most loses, and the total stays within the bound."""

    def test_the_sender_of_too_much_loses(self):
        budget = MemoryBudget(max_bytes=100)
        sound = _Reader(budget, "sound")
        faulty = [_Reader(budget, "faulty") for _ in range(10)]
        sound.hold(30)
        for reader in faulty:
            reader.hold(20)
        assert not sound.closed
        assert budget.held <= 100
        assert sum(not reader.closed for reader in faulty) == 3

    def test_the_largest_share_of_a_sender_goes_first(self):
        budget = MemoryBudget(max_bytes=100)
        small, large = _Reader(budget, "a"), _Reader(budget, "a")
        small.hold(10)
        large.hold(60)
        _Reader(budget, "b").hold(50)
        assert large.closed
        assert not small.closed

    def test_a_share_alone_may_not_exceed_the_bound(self):
        budget = MemoryBudget(max_bytes=100)
        reader = _Reader(budget, "a")
        reader.hold(101)
        assert reader.closed
        assert budget.held == 0

    def test_what_has_ended_does_not_count(self):
        budget = MemoryBudget(max_bytes=100)
        for _ in range(3):
            reader = _Reader(budget, "a")
            reader.hold(90)
            assert not reader.closed
            reader.hold(0)

    @given(
        st.lists(st.tuples(st.integers(0, 9), st.integers(0, 60)), max_size=200),
    )
    def test_the_total_is_that_of_open_readers(self, growths):
        budget = MemoryBudget(max_bytes=100)
        readers = [_Reader(budget, str(number % 3)) for number in range(10)]
        for number, size in growths:
            readers[number].hold(size)
            assert budget.held == sum(each.share.size for each in readers)
            assert budget.held <= 100
            assert all(each.share.size == 0 for each in readers if each.closed)


# Grows buffers as responses do, with small objects between them, and frees them.
_GROW_AND_FREE = """
import resource, sys
from kumquatway_core.memory import return_large_blocks

def resident():
    with open("/proc/self/statm") as file:
        return int(file.read().split()[1]) * resource.getpagesize()

return_large_blocks()
before, kept = resident(), []
for _ in range(3):
    buffers = [bytearray() for _ in range(40)]
    for _ in range(60):
        for buffer in buffers:
            buffer += bytes(16384)
            kept.append(bytes(600))
    del buffers
print(resident() - before - 600 * len(kept))
"""


@pytest.mark.skipif(sys.platform != "linux", reason="reads /proc")
class TestFreedBuffers:
    """The memory of responses that were freed stayed with the process."""

    def test_are_given_back(self):
        output = subprocess.run(
            [sys.executable, "-c", _GROW_AND_FREE],
            check=True,
            capture_output=True,
            env={"PYTHONPATH": ":".join(sys.path)},
        ).stdout
        assert int(output) < 8 << 20  # of 39 MB that were held at a time
