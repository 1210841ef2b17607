"""Client of the platform's VM list, which lags behind the actual VMs."""

from http import HTTPStatus

import msgspec

from kumquatway_core.decoding import Decoder
from kumquatway_core.exceptions import ResponseLost
from kumquatway_core.platform._channel import Channel, decode_body
from kumquatway_core.platform._messages import VMs

_vms_decoder = Decoder(VMs, codec=msgspec.json)


class VMList:
    """
    Reads the list of VMs.

    :param channel: channel to the VM list service.
    """

    def __init__(self, *, channel: Channel):
        self.channel = channel

    async def read(self) -> VMs:
        """
        Read the list.

        :return: the VMs and the age of the list.
        :raises PlatformError: if the service did not serve the call.
        """
        response = await self.channel.call_idempotent("GET", "/vms")
        if response.status_code != HTTPStatus.OK:
            raise ResponseLost(
                f"the VM list responded with status {response.status_code}"
            )
        return decode_body(_vms_decoder, response.content)
