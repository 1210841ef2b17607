"""
Formats.

How one record is written.
"""

import traceback
from datetime import UTC, datetime

import msgspec

from kumquatway_core.logs._redact import redact

_encoder = msgspec.json.Encoder()


class LogLine(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """
    One line of the JSON log.

    :param time: UTC, ISO 8601 with milliseconds.
    :param request: the request's id, or "".
    :param logger: the module that logged.
    :param exception: the traceback, or "".
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
    Write a record as one JSON object.

    :param record: a record of loguru.
    :return: the line, with its end.
    """
    return _encoder.encode(_make_log_line(record)).decode() + "\n"


def format_human(record: dict) -> str:
    """
    Write a record for people.

    :param record: a record of loguru.
    :return: the line, with its end, and the traceback if there is one.
    """
    line = _make_log_line(record)
    request = f" request={line.request}" if line.request else ""
    written = (
        f"{line.time} {line.level:<8}{line.process}{request} "
        f"{line.logger}: {line.message}\n"
    )
    return written + line.exception


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


def _format_time(moment: datetime) -> str:
    utc = moment.astimezone(UTC).replace(tzinfo=None)
    return utc.isoformat(timespec="milliseconds") + "Z"


def _format_exception(record: dict) -> str:
    found = record["exception"]
    if found is None or found.value is None:
        return ""
    return redact("".join(traceback.format_exception(found.value)))
