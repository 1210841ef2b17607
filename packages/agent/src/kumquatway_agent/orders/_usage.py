"""
Usage.

Which streams need a range of layers that is to be unloaded.
"""

from collections.abc import Iterable

from kumquatway_core.wire import Holding, Stage, StreamSetup


def covers_stage(holding: Holding, open: StreamSetup, stage: Stage) -> bool:
    """
    Tell whether a holding has the layers of a stage.

    :param holding: layers of one model and version.
    :param open: of the stream.
    :param stage: of its route.
    :return: True if the stage can run on this holding alone.
    """
    same = (holding.model, holding.version) == (open.model, open.version)
    return same and holding.first <= stage.first and stage.end <= holding.end


def in_use(
    holding: Holding,
    stages: Iterable[tuple[StreamSetup, Stage]],
    others: tuple[Holding, ...],
) -> bool:
    """
    Tell whether a stream would lose its layers.

    :param holding: to be unloaded.
    :param stages: of each stream, with what the entry says of it.
    :param others: the holdings that stay.
    :return: True if a stream needs this holding.
    """
    return any(
        covers_stage(holding, open, stage)
        and not any(covers_stage(other, open, stage) for other in others)
        for open, stage in stages
    )
