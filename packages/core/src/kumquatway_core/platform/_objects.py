"""Client of the platform's object store."""

from http import HTTPStatus
from urllib.parse import quote, urlencode

import msgspec

from kumquatway_core.decoding import Decoder
from kumquatway_core.exceptions import ResponseLost
from kumquatway_core.platform._channel import Channel, decode_body
from kumquatway_core.platform._messages import ObjectNames

_names_decoder = Decoder(ObjectNames, codec=msgspec.msgpack)


class Objects:
    """
    Reads, writes, deletes and lists objects.

    :param channel: channel to the object store.
    """

    def __init__(self, *, channel: Channel):
        self.channel = channel

    async def get(self, name: str) -> bytes | None:
        """
        Read an object.

        :param name: name of the object.
        :return: content of the object, or None if it does not exist.
        :raises PlatformError: if the store did not serve the call.
        """
        response = await self.channel.call_idempotent("GET", _object_path(name))
        if response.status_code == HTTPStatus.NOT_FOUND:
            return None
        _expect_ok(response.status_code)
        return response.content

    async def put(self, name: str, data: bytes) -> None:
        """
        Write a whole object. This is idempotent.

        :param name: name of the object.
        :param data: new content of the object.
        :raises PlatformError: if the store did not confirm the write.
        """
        response = await self.channel.call_idempotent("PUT", _object_path(name), data)
        _expect_ok(response.status_code)

    async def delete(self, name: str) -> None:
        """
        Delete an object if it exists.

        :param name: name of the object.
        :raises PlatformError: if the store did not confirm the deletion.
        """
        response = await self.channel.call_idempotent("DELETE", _object_path(name))
        _expect_ok(response.status_code)

    async def list_names(
        self, prefix: str = "", after: str = "", limit: int = 100
    ) -> tuple[str, ...]:
        """
        List a page of object names, in order.

        :param prefix: prefix of the names.
        :param after: last name of the previous page, or "" for the first page.
        :param limit: maximum number of names to return.
        :return: the names.
        :raises PlatformError: if the store did not serve the call.
        """
        query = urlencode({"prefix": prefix, "after": after, "limit": limit})
        response = await self.channel.call_idempotent("GET", f"/objects?{query}")
        _expect_ok(response.status_code)
        return decode_body(_names_decoder, response.content).names


def _object_path(name: str) -> str:
    return "/objects/" + quote(name)


def _expect_ok(status: int) -> None:
    if status != HTTPStatus.OK:
        raise ResponseLost(f"the object store responded with status {status}")
