"""
Objects.

The client of the platform's object store.
"""

from http import HTTPStatus
from urllib.parse import quote, urlencode

import msgspec

from kumquatway_core.exceptions import ResponseLost
from kumquatway_core.platform._channel import Channel, decode_body
from kumquatway_core.platform._messages import ObjectNames

_names_decoder = msgspec.msgpack.Decoder(ObjectNames)


class Objects:
    """
    Keeps bytes under names.

    :param channel: the way to the service.
    """

    def __init__(self, *, channel: Channel):
        self.channel = channel

    async def get(self, name: str) -> bytes | None:
        """
        Read an object.

        :param name: its name.
        :return: its bytes, or None if there is none.
        :raises PlatformError: if the store did not answer.
        """
        response = await self.channel.call_idempotent("GET", _object_path(name))
        if response.status_code == HTTPStatus.NOT_FOUND:
            return None
        _expect_ok(response.status_code)
        return response.content

    async def put(self, name: str, data: bytes) -> None:
        """
        Write an object whole; a repeat does no harm.

        :param name: its name.
        :param data: its bytes.
        :raises PlatformError: if the store did not confirm it.
        """
        response = await self.channel.call_idempotent("PUT", _object_path(name), data)
        _expect_ok(response.status_code)

    async def delete(self, name: str) -> None:
        """
        Remove an object, if there is one.

        :param name: its name.
        :raises PlatformError: if the store did not confirm it.
        """
        response = await self.channel.call_idempotent("DELETE", _object_path(name))
        _expect_ok(response.status_code)

    async def list_names(
        self, prefix: str = "", after: str = "", limit: int = 100
    ) -> tuple[str, ...]:
        """
        List a page of the names of objects, in order.

        :param prefix: what each name begins with.
        :param after: the last name of the page before, or "".
        :param limit: the most names to return.
        :return: the names.
        :raises PlatformError: if the store did not answer.
        """
        query = urlencode({"prefix": prefix, "after": after, "limit": limit})
        response = await self.channel.call_idempotent("GET", f"/objects?{query}")
        _expect_ok(response.status_code)
        return decode_body(_names_decoder, response.content).names


def _object_path(name: str) -> str:
    return "/objects/" + quote(name)


def _expect_ok(status: int) -> None:
    if status != HTTPStatus.OK:
        raise ResponseLost(f"the object store answered {status}")
