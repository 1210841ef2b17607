"""
Adds the ID of a request to the log lines of the tasks that work on the request.
"""

from contextlib import AbstractContextManager

from loguru import logger


def request_context(request: str) -> AbstractContextManager[None]:
    """
    Add the ID of a request to each line logged within a context.

    :param request: ID of the request.
    :return: context manager; tasks that are started within it inherit the ID.
    """
    return logger.contextualize(request=request)
