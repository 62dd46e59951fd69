"""The settings file of a process on the platform."""

import datetime
import pathlib

import msgspec

from mustardwood import errors

PATH_VARIABLE = "MUSTARDWOOD_BOOT"
"""Environment variable with the path of the settings file."""

METRICS_PORT_VARIABLE = "MUSTARDWOOD_METRICS_PORT"
"""Environment variable with the port of the metrics; none are served without.
"""


class Listen(msgspec.Struct, frozen=True):
    """Addresses to listen on, as IP:PORT.

    Attributes:
        callers: For callers' requests.
        readiness: For the balancer's questions.
        peers: For other VMs of the system; empty if the role has none.
    """

    callers: str = msgspec.field(name="front_addr")
    readiness: str = msgspec.field(name="ready")
    peers: str = msgspec.field(name="control_plane", default="")


class Bounds(msgspec.Struct, frozen=True):
    """Figures that the platform holds the system to.

    Attributes:
        grace_seconds: Time between the signals to stop and to kill.
        key_removal_ms: Time after which a removed API key must be refused.
        keys_fail_closed: Whether keys are refused without a current proof.
        retry_share: Retries allowed for each request, over all VMs.
        spare_retries: Retries allowed besides, over all VMs.
    """

    grace_seconds: float = msgspec.field(name="grace_s", default=8.0)
    key_removal_ms: float = msgspec.field(name="revoke_ms", default=5000.0)
    keys_fail_closed: bool = msgspec.field(name="fail_closed", default=True)
    retry_share: float = msgspec.field(name="retry_ratio", default=0.1)
    spare_retries: float = msgspec.field(name="retry_burst", default=10.0)


class Store(msgspec.Struct, frozen=True):
    """The platform's store.

    Attributes:
        address: IP:PORT.
    """

    address: str


class PlatformSettings(msgspec.Struct, frozen=True):
    """What the platform tells a process; unknown fields are ignored.

    Attributes:
        vm: Name of the VM.
        zone: Its availability zone.
        ip: Its IP address.
        listen: Addresses to listen on.
        store: The store.
        bounds: Figures that the platform holds the system to.
        peer_ports: First and last port for messages between VMs.
    """

    vm: str = msgspec.field(name="node_name")
    zone: str
    ip: str
    listen: Listen
    store: Store = msgspec.field(name="platform")
    bounds: Bounds = Bounds()
    peer_ports: tuple[int, ...] = msgspec.field(name="port_range", default=())

    @property
    def key_removal_time(self) -> datetime.timedelta:
        """Time after which a removed API key must be refused."""
        return datetime.timedelta(milliseconds=self.bounds.key_removal_ms)

    @property
    def grace(self) -> datetime.timedelta:
        """Time between the signals to stop and to kill."""
        return datetime.timedelta(seconds=self.bounds.grace_seconds)


def read_settings(path: pathlib.Path) -> PlatformSettings:
    """Reads and checks a settings file.

    Raises:
        errors.SettingsError: If it can't be read or a value can't work.
    """
    try:
        found = msgspec.toml.decode(path.read_bytes(),
                                    type=PlatformSettings,
                                    strict=False)
    except OSError as error:
        raise errors.SettingsError(
            f"The settings file {path} can't be read: {error.strerror}.",
            f"Set {PATH_VARIABLE} to a file that the process may read.")
    except (msgspec.MsgspecError, ValueError) as error:
        raise errors.SettingsError(
            f"The settings file {path} is wrong: "
            f"{error}.",
            "Correct the value or its type.",
            key=_find_key(str(error)))
    for key, address in (("$.listen.front_addr", found.listen.callers),
                         ("$.listen.ready", found.listen.readiness),
                         ("$.platform.address", found.store.address)):
        parse_address(address, key)
    return found


def parse_address(text: str, key: str = "$") -> tuple[str, int]:
    """Splits IP:PORT.

    Raises:
        errors.SettingsError: If the text is something else.
    """
    host, separator, port = text.rpartition(":")
    if not separator or not host or not port.isdecimal():
        raise errors.SettingsError(f"{key} is {text!r}, which is no IP:PORT.",
                                   "Write it as in 192.0.2.1:8080.",
                                   key=key)
    return host, int(port)


def _find_key(message: str) -> str:
    _, found, rest = message.partition("at `")
    return rest.partition("`")[0] if found else "$"
