"""
Queue.

The steps that wait for one range of layers: decodes before prefills.
"""

import heapq
import itertools
from collections import Counter

from kumquatway_agent.stage._streams import Stream, Work

_order = itertools.count()

Rank = tuple[int, int]


class Queue:
    """Waiting steps, by priority and then by age."""

    def __init__(self):
        self.decodes: list[tuple[int, int, Work]] = []
        self.prefills: list[tuple[int, int, Work]] = []
        self.behind: Counter[Stream] = Counter()

    def add(self, work: Work) -> None:
        """
        Put a step in the queue; a stream's steps stay in their order.

        :param work: to run.
        """
        waits = work.count > 1 or work.stream in self.behind
        if waits:
            self.behind[work.stream] += 1
        heap = self.prefills if waits else self.decodes
        heapq.heappush(heap, (work.stream.open.priority, next(_order), work))

    def rank(self) -> Rank:
        """
        Find how urgent the queue is.

        :return: priority and age of its most urgent step; less goes first.
        """
        heads = [heap[0] for heap in (self.decodes, self.prefills) if heap]
        return min(head[:2] for head in heads)

    def pop_decode(self) -> Work | None:
        """
        Take the most urgent decode.

        :return: None if there is none.
        """
        return heapq.heappop(self.decodes)[2] if self.decodes else None

    def pop_prefill(self) -> Work | None:
        """
        Take the most urgent chunk of a prompt.

        :return: None if there is none.
        """
        if not self.prefills:
            return None
        work = heapq.heappop(self.prefills)[2]
        self.behind[work.stream] -= 1
        if not self.behind[work.stream]:
            del self.behind[work.stream]
        return work

    def is_empty(self) -> bool:
        """
        Tell whether nothing waits.

        :return: True if nothing waits.
        """
        return not self.decodes and not self.prefills
