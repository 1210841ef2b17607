"""
kumquatway_core.settings.

Settings that a process reads from a TOML file at its start, such as its addresses.
"""

from kumquatway_core.settings._read import read_agent, read_entry
from kumquatway_core.settings._schema import (
    AgentSettings,
    EngineSettings,
    EntrySettings,
    LimitSettings,
    LogFormat,
    LogLevel,
    LogSettings,
    PlatformSettings,
    ServiceSettings,
)

__all__ = [
    "AgentSettings",
    "EngineSettings",
    "EntrySettings",
    "LimitSettings",
    "LogFormat",
    "LogLevel",
    "LogSettings",
    "PlatformSettings",
    "ServiceSettings",
    "read_agent",
    "read_entry",
]
