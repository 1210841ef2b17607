"""
Tracks the generation of the store.

A store that comes back from an older copy has lost what it acknowledged since then, and
gives out the same revisions again. Its generation rises each time.
"""

from loguru import logger

from kumquatway_core.exceptions import PlatformUnavailable, ResponseLost

GENERATION_HEADER = "Kumquatway-Store-Generation"  # of the table service's responses
UNKNOWN_GENERATION = 0  # before the first response, and of stores that tell none
FIRST_GENERATION = 1  # nothing was lost before it


class GenerationTracker:
    """
    The newest generation that responses of the store have shown.

    :ivar current: the generation, or `UNKNOWN_GENERATION`.
    """

    def __init__(self):
        self.current = UNKNOWN_GENERATION

    def observe(self, generation: int) -> None:
        """
        Record the generation that a response shows.

        :param generation: the generation, or `UNKNOWN_GENERATION` if it shows none.
        :raises ResponseLost: if a newer generation is known. What the response says may
            have been lost since.
        """
        if generation == UNKNOWN_GENERATION or generation == self.current:
            return
        if generation < self.current:
            raise ResponseLost(
                f"response of generation {generation} of the store, "
                f"which is in generation {self.current}"
            )
        if self.current != UNKNOWN_GENERATION:
            logger.warning(
                "the store came back from an older copy: generation {} after {}",
                generation,
                self.current,
            )
        self.current = generation

    def check_before_write(self, expected: int) -> None:
        """
        Check that the revisions which a write expects still have their meaning.

        :param expected: generation in which they were read, or `UNKNOWN_GENERATION`.
        :raises PlatformUnavailable: if the store has another generation.
        """
        if expected not in (UNKNOWN_GENERATION, self.current):
            raise PlatformUnavailable(
                f"not written: the expected revisions are of generation {expected} of "
                f"the store, which is in generation {self.current}"
            )

    def check_unchanged(self, expected: int) -> None:
        """
        Check after a response that the store is in the generation of earlier ones.

        :param expected: generation of the earlier responses, or `UNKNOWN_GENERATION`.
        :raises ResponseLost: if the store has another generation. A write may have been
            lost, or have replaced another row with the expected revision.
        """
        if expected not in (UNKNOWN_GENERATION, self.current):
            raise ResponseLost(
                f"the store went from generation {expected} to {self.current} meanwhile"
            )
