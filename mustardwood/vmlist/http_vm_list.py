"""The platform's list of VMs over HTTP."""

import http
import typing

import msgspec

from mustardwood import errors
from mustardwood import settings as settings_module
from mustardwood.keyvalue import platform_client
from mustardwood.vmlist import vm_record


class HttpVmList:
    """A `VmList` that is fetched as JSON over HTTP.

    Args:
        client: Sends the HTTP requests.
    """

    def __init__(self, client: platform_client.PlatformClient) -> None:
        self._client = client

    @classmethod
    def from_settings(cls, settings: settings_module.Settings,
                      reactor: typing.Any) -> typing.Self:
        """Returns the list of the platform that the settings name."""
        return cls(
            platform_client.PlatformClient.from_settings(settings, reactor))

    async def fetch(self) -> tuple[vm_record.VmRecord, ...]:
        """Fetches the list.

        Raises:
            UnavailableError: The platform can't be reached, limits the rate of
                requests or sent an invalid response.
        """
        request = platform_client.Request("vms", "GET", "/vms")
        try:
            response = await self._client.send(request)
            if response.status != http.HTTPStatus.OK:
                raise _make_unavailable(f"status {response.status}")
            return msgspec.convert(response.body.get("vms"),
                                   tuple[vm_record.VmRecord, ...])
        except msgspec.ValidationError as error:
            raise _make_unavailable(error) from error
        except errors.RateLimitedError as error:
            raise _make_unavailable(error) from error


def _make_unavailable(cause: object) -> errors.UnavailableError:
    return errors.UnavailableError(f"the list of VMs can't be read: {cause}.",
                                   "Check platform_url, or try again later.")
