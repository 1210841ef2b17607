"""
The interfaces through which a gateway reads its configuration, servers and peers.

An adapter implements each of them for the store in use.
"""

import enum
from dataclasses import dataclass
from typing import Protocol

from kumquatway_gateway.model import Configuration, ServerList


@dataclass(frozen=True, kw_only=True, slots=True)
class ConfigurationDocument:
    """
    An encoded configuration, as its source stores it.

    :param revision: rises with each change, unless the store came back from an older
        copy and gives out revisions again.
    :param data: the encoded configuration.
    :param read_in: generation of the store that it was read in, 0 if unknown.
    :param written_in: generation that it was certainly written in, 0 if it may be from
        an older one.
    """

    revision: int
    data: bytes
    read_in: int = 0
    written_in: int = 0


class StoreCallKind(enum.Enum):
    """The purpose of a call of the store."""

    READ = "read"
    FOLLOW = "follow"
    WRITE = "write"


class StoreCallOutcome(enum.Enum):
    """The outcome of a call of the store."""

    DONE = "done"
    CONFLICT = "conflict"  # a row had another revision than expected
    BEHIND = "behind"  # the store no longer keeps the requested changes
    REFUSED = "refused"  # the store does not accept work now
    UNREACHED = "unreached"  # the call was not sent
    LOST = "lost"  # sent, but no usable response arrived


@dataclass(frozen=True, kw_only=True, slots=True)
class StoreCall:
    """
    A call of the store that has ended.

    :param seconds: duration of the call.
    """

    kind: StoreCallKind
    outcome: StoreCallOutcome
    seconds: float


class ConfigurationSource(Protocol):
    """
    Reads the operators' configuration.

    :ivar generation: generation of the store at the last reading, 0 if unknown.
    :ivar read_at: time of that reading by the store's clock, seconds.
    """

    generation: int
    read_at: float

    async def poll(self, wait: float) -> ConfigurationDocument | None:
        """
        Wait for a change of the configuration.

        :param wait: longest time to wait, seconds.
        :return: the newest document, or None if this process already has it.
        :raises PlatformError: if the store did not respond.
        """

    def decode(self, document: bytes) -> Configuration:
        """
        Decode a configuration document.

        :param document: the encoded configuration.
        :raises ConfigurationError: if it is not a valid configuration.
        """


class ServerSource(Protocol):
    """Reads the platform's list of servers."""

    async def poll(self, wait: float) -> ServerList:
        """
        Wait for a change of the list of servers.

        :param wait: longest time to wait, seconds.
        :return: the whole list.
        :raises PlatformError: if the store did not respond.
        """


class EntrySource(Protocol):
    """
    Registers this entry and reads the addresses of all entries.

    :ivar generation: generation of the store; an older copy may lack this entry.
    """

    generation: int

    async def announce(self, address: str) -> None:
        """
        Register the address at which peers reach this entry.

        :param address: the address to register.
        :raises PlatformError: if the store did not respond.
        """

    async def addresses(self) -> set[str]:
        """
        Read the addresses of all registered entries.

        :raises PlatformError: if the store did not respond.
        """
