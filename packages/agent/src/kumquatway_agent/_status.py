"""
Status.

What the agent says of its VM, and who wants to hear of it.
"""

from collections import OrderedDict
from collections.abc import Callable

import msgspec

from kumquatway_core.wire import Load, Status, VMState

MAX_SUBSCRIBERS = 1000

Send = Callable[[str, Status], object]


class StatusBoard:
    """
    The newest status, sent to each subscriber at each change.

    :param status: at the start.
    :param load: reads the load now.
    :param send: sends a status to an address.
    """

    def __init__(self, *, status: Status, load: Callable[[], Load], send: Send):
        self.status = status
        self.load = load
        self.send = send
        self.subscribers: OrderedDict[str, None] = OrderedDict()

    def now(self) -> Status:
        """
        Read the status with the load of this moment.

        :return: the status.
        """
        return msgspec.structs.replace(self.status, load=self.load())

    def subscribe(self, address: str) -> None:
        """
        Remember a subscriber and answer it.

        :param address: of an entry.
        """
        self.subscribers[address] = None
        self.subscribers.move_to_end(address)
        if len(self.subscribers) > MAX_SUBSCRIBERS:
            self.subscribers.popitem(last=False)
        self.send(address, self.now())

    def change(self, **changes) -> None:
        """
        Change the status, and tell the subscribers if it differs.

        :param changes: fields of `Status`.
        """
        changed = msgspec.structs.replace(self.status, **changes)
        if changed == self.status:
            return
        version = self.status.version + 1
        self.status = msgspec.structs.replace(changed, version=version)
        for address in list(self.subscribers):
            self.send(address, self.now())

    def state(self) -> VMState:
        """
        Tell whether the VM takes new work.

        :return: its state.
        """
        return self.status.state
