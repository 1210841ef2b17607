"""
Sources.

Where a gateway gets its configuration, its servers and its peers from; an adapter
gives one implementation each.
"""

import enum
from dataclasses import dataclass
from typing import Protocol

from kumquatway_gateway.model import Configuration, Server


@dataclass(frozen=True, kw_only=True, slots=True)
class ConfigurationDocument:
    """
    A configuration as its source keeps it.

    :param revision: rises with each change.
    """

    revision: int
    data: bytes


class StoreCallKind(enum.Enum):
    """What a call of the store is for."""

    READ = "read"
    FOLLOW = "follow"
    WRITE = "write"


class StoreCallOutcome(enum.Enum):
    """What a call of the store came to."""

    DONE = "done"
    CONFLICT = "conflict"  # a row had another revision
    BEHIND = "behind"  # changes that were asked for are no longer kept
    REFUSED = "refused"  # the store does no work now
    UNREACHED = "unreached"
    LOST = "lost"  # sent, but no answer came that can be read


@dataclass(frozen=True, kw_only=True, slots=True)
class StoreCall:
    """
    A call of the store that has ended.

    :param seconds: it took.
    """

    kind: StoreCallKind
    outcome: StoreCallOutcome
    seconds: float


class ConfigurationSource(Protocol):
    """The operators' configuration in the store."""

    async def poll(self, wait: float) -> ConfigurationDocument | None:
        """
        Wait for a change.

        :param wait: at most, seconds.
        :return: the newest document if it is new to this process, or None.
        :raises PlatformError: if the store did not answer.
        """

    def decode(self, document: bytes) -> Configuration:
        """
        Read a document.

        :raises ConfigurationError: if it is none.
        """


class ServerSource(Protocol):
    """The platform's list of servers."""

    async def poll(self, wait: float) -> tuple[Server, ...]:
        """
        Wait for a change of the list.

        :param wait: at most, seconds.
        :return: all servers in it.
        :raises PlatformError: if the store did not answer.
        """


class EntrySource(Protocol):
    """The entries of the deployment."""

    async def announce(self, address: str) -> None:
        """
        Write down where peers reach this entry.

        :raises PlatformError: if the store did not answer.
        """

    async def addresses(self) -> set[str]:
        """
        Read where the entries are.

        :raises PlatformError: if the store did not answer.
        """
