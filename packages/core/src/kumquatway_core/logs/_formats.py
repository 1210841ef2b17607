"""
Formats log records as JSON or for people.
"""

import traceback
from datetime import UTC, datetime

import msgspec

from kumquatway_core.logs._redact import redact

_encoder = msgspec.json.Encoder()


class LogLine(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """
    One line of the log, with the fields of its JSON form.

    :param time: UTC time, ISO 8601 with milliseconds.
    :param level: level, in lower case.
    :param process: name of the process.
    :param logger: name of the module that logged the line.
    :param message: message, without bearer keys.
    :param request: ID of the request, or "".
    :param exception: traceback, or "".
    """

    time: str
    level: str
    process: str
    logger: str
    message: str
    request: str = ""
    exception: str = ""


def format_json(record: dict) -> str:
    """
    Format a record as a JSON object.

    :param record: record of loguru.
    :return: line with its line break.
    """
    return _encoder.encode(_make_log_line(record)).decode() + "\n"


def format_human(record: dict) -> str:
    """
    Format a record for people.

    :param record: record of loguru.
    :return: line with its line break, followed by the traceback if there is one.
    """
    line = _make_log_line(record)
    request = f" request={line.request}" if line.request else ""
    formatted = (
        f"{line.time} {line.level:<8}{line.process}{request} "
        f"{line.logger}: {line.message}\n"
    )
    return formatted + line.exception


def _make_log_line(record: dict) -> LogLine:
    return LogLine(
        time=_format_time(record["time"]),
        level=record["level"].name.lower(),
        process=record["extra"].get("process", ""),
        logger=record["name"] or "",
        message=redact(record["message"]),
        request=record["extra"].get("request", ""),
        exception=_format_exception(record),
    )


def _format_time(time: datetime) -> str:
    utc = time.astimezone(UTC).replace(tzinfo=None)
    return utc.isoformat(timespec="milliseconds") + "Z"


def _format_exception(record: dict) -> str:
    exception = record["exception"]
    if exception is None or exception.value is None:
        return ""
    return redact("".join(traceback.format_exception(exception.value)))
