"""The registrations of endpoints in the platform's store."""

import msgspec

from mustardwood import dispatch
from mustardwood import errors
from mustardwood.platform import settings

PREFIX = "servers/"
"""Keys of registrations; the rest of the key is the endpoint's id."""
_STATES = {"ready": False, "draining": True}


class _Entry(msgspec.Struct, frozen=True):
    """A registration on the wire; `born` is the start in Unix milliseconds."""

    service: str
    address: str
    state: str
    zone: str = ""
    slots: int = 1
    born: int = 0


def decode_endpoint(key: str, value: bytes) -> dispatch.Endpoint:
    """Decodes a registration.

    Raises:
        errors.ConfigurationError: If it names no endpoint to use.
    """
    try:
        entry = msgspec.json.decode(value, type=_Entry)
        host, port = settings.parse_address(entry.address)
        is_leaving = _STATES[entry.state]
    except (msgspec.MsgspecError, errors.SettingsError, KeyError) as error:
        raise errors.ConfigurationError(
            f"The registration {key!r} can't be used: {error}.",
            "It is left out; whoever wrote it must correct it.")
    return dispatch.Endpoint(name=key.removeprefix(PREFIX),
                             service=entry.service,
                             host=host,
                             port=port,
                             zone=entry.zone,
                             slots=entry.slots,
                             is_leaving=is_leaving,
                             started=entry.born)
