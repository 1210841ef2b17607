"""
Configures the log of a process, including the records of the standard library.
"""

import logging
import sys
from collections.abc import Callable

from loguru import logger

from kumquatway_core.logs._formats import format_human, format_json
from kumquatway_core.settings import LogFormat, LogLevel

WriteLine = Callable[[str], object]


class _LoguruHandler(logging.Handler):
    """Forwards the records of the standard library's logging to loguru."""

    def emit(self, record: logging.LogRecord):
        """
        Log a record with loguru, under the name of its logger.

        :param record: record of the standard library; a level other than the five
            standard ones becomes DEBUG.
        """
        patched_logger = logger.patch(lambda patched: patched.update(name=record.name))
        level = record.levelname if record.levelno in _SHARED_LEVELS else "DEBUG"
        patched_logger.opt(exception=record.exc_info).log(
            level, "{}", record.getMessage()
        )


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
    Configure the log of this process; this replaces any earlier configuration.

    :param log_format: format of the lines.
    :param level: lowest level of the records that are logged.
    :param process: name of the process, written on each line.
    :param write: writes a line; writes to standard error by default.
    """
    write = write or sys.stderr.write
    format_line = format_json if log_format is LogFormat.JSON else format_human
    logger.remove()
    logger.configure(extra={"process": process, "request": ""})
    logger.add(
        lambda message: write(format_line(message.record)),
        format="{message}",
        level=level.value.upper(),
        backtrace=False,
        diagnose=False,
    )
    logging.basicConfig(handlers=[_LoguruHandler()], level=logging.WARNING, force=True)
