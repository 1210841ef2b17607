"""
Queue.

The steps that wait for one range of layers: decodes, then replays, then prompts.
"""

import heapq
import itertools

from kumquatway_agent.stage._streams import Stream, Work

_order = itertools.count()

Rank = tuple[int, int]
Heap = list[tuple[int, int, Work]]


class Queue:
    """Waiting steps, by priority and then by age."""

    def __init__(self):
        self.decodes: Heap = []
        self.replays: Heap = []
        self.prefills: Heap = []
        self.behind: dict[Stream, list[Heap]] = {}

    def add(self, work: Work) -> None:
        """
        Put a step in the queue; a stream's steps stay in their order.

        :param work: to run.
        """
        heap = self._heap(work)
        if heap is not self.decodes:
            self.behind.setdefault(work.stream, []).append(heap)
        heapq.heappush(heap, (work.stream.open.priority, next(_order), work))

    def rank(self) -> Rank:
        """
        Find how urgent the queue is.

        :return: priority and age of its most urgent step; less goes first.
        """
        heaps = (self.decodes, self.replays, self.prefills)
        return min(heap[0][:2] for heap in heaps if heap)

    def pop_decode(self) -> Work | None:
        """
        Take the most urgent decode.

        :return: None if there is none.
        """
        return heapq.heappop(self.decodes)[2] if self.decodes else None

    def pop_replay(self) -> Work | None:
        """
        Take the most urgent step of a recovery.

        :return: None if there is none.
        """
        return self._pop(self.replays)

    def pop_prefill(self) -> Work | None:
        """
        Take the most urgent chunk of a prompt.

        :return: None if there is none.
        """
        return self._pop(self.prefills)

    def is_empty(self) -> bool:
        """
        Tell whether nothing waits.

        :return: True if nothing waits.
        """
        return not (self.decodes or self.replays or self.prefills)

    def _heap(self, work: Work) -> Heap:
        """Choose where a step waits: behind the stream's others, if there are."""
        waiting = self.behind.get(work.stream)
        if waiting:
            return waiting[-1]
        if work.count == 1:
            return self.decodes
        return self.replays if work.replay else self.prefills

    def _pop(self, heap: Heap) -> Work | None:
        if not heap:
            return None
        work = heapq.heappop(heap)[2]
        waiting = self.behind[work.stream]
        waiting.pop()
        if not waiting:
            del self.behind[work.stream]
        return work
