"""
Configure.

Sets up the one log of a process, which the libraries' logs join.
"""

import logging
import sys
from collections.abc import Callable

from loguru import logger

from kumquatway_core.logs._formats import format_human, format_json
from kumquatway_core.settings import LogFormat, LogLevel

WriteLine = Callable[[str], object]


class _LoguruHandler(logging.Handler):
    """Hands the records of the standard library to loguru."""

    def emit(self, record: logging.LogRecord):
        """
        Log a record again.

        :param record: a record of the standard library.
        """
        named = logger.patch(lambda patched: patched.update(name=record.name))
        level = record.levelname if record.levelno in _SHARED_LEVELS else "DEBUG"
        named.opt(exception=record.exc_info).log(level, "{}", record.getMessage())


_SHARED_LEVELS = (
    logging.DEBUG,
    logging.INFO,
    logging.WARNING,
    logging.ERROR,
    logging.CRITICAL,
)


def configure(
    *,
    log_format: LogFormat,
    level: LogLevel,
    process: str,
    write: WriteLine | None = None,
):
    """
    Set up the log of this process in place of any other.

    :param format: for people or for programs.
    :param level: the least level that is written.
    :param process: the name of the process, on each line.
    :param write: takes each line; standard error by default.
    """
    write = write or sys.stderr.write
    form = format_json if log_format is LogFormat.JSON else format_human
    logger.remove()
    logger.configure(extra={"process": process, "request": ""})
    logger.add(
        lambda message: write(form(message.record)),
        format="{message}",
        level=level.value.upper(),
        backtrace=False,
        diagnose=False,
    )
    logging.basicConfig(handlers=[_LoguruHandler()], level=logging.WARNING, force=True)
