"""
Words.

Times and events in words, for the table and the lanes.
"""

from datetime import UTC, datetime

import msgspec

from kumquatway_core.events import Event, physical_milliseconds

_MS_PER_SECOND = 1000
_COMMON = frozenset(("request", "vm", "detail"))


def show_time(stamp: int) -> str:
    """
    Write the time of a stamp.

    :param stamp: a stamp of a hybrid logical clock.
    :return: UTC, such as `2026-12-03 22:14:50.123`.
    """
    moment = datetime.fromtimestamp(physical_milliseconds(stamp) / _MS_PER_SECOND, UTC)
    return moment.replace(tzinfo=None).isoformat(" ", timespec="milliseconds")


def show_event(event: Event) -> str:
    """
    Write what an event says beside its request and VM.

    :param event: any event.
    :return: its values by name, and its detail.
    """
    names = [field.name for field in msgspec.structs.fields(event)]
    shown = [
        f"{name}={_show(getattr(event, name))}" for name in names if name not in _COMMON
    ]
    if event.detail:
        shown.append(f"({event.detail})")
    return " ".join(shown)


def _show(value: object) -> str:
    if isinstance(value, tuple):
        return " > ".join(value)
    return f"{value:.3f}" if isinstance(value, float) else str(value)
