"""The settings file of a process on the platform."""

import datetime
import ipaddress
import pathlib

import msgspec

from mustardwood import errors

PATH_VARIABLE = "MUSTARDWOOD_BOOT"
"""Environment variable that holds the path of the settings file."""

METRICS_PORT_VARIABLE = "MUSTARDWOOD_METRICS_PORT"
"""Environment variable that holds the port of the metrics page.

The page is not served if the variable is unset.
"""

LEARN_ENGINES_VARIABLE = "MUSTARDWOOD_LEARN_ENGINES"
"""Environment variable that is 1 if decisions use learned engine profiles.

Otherwise they use the speeds of the first users' engines. Learning takes about
a tenth of a small VM's processor time.
"""

HEDGE_SHARE_VARIABLE = "MUSTARDWOOD_HEDGE_SHARE"
"""Environment variable that holds the hedged requests per request."""

HEDGE_QUANTILE_VARIABLE = "MUSTARDWOOD_HEDGE_QUANTILE"
"""Environment variable that holds the quantile of the times to the first byte
after which a request is hedged."""

HEDGE_MIN_DELAY_VARIABLE = "MUSTARDWOOD_HEDGE_MIN_DELAY_MS"
"""Environment variable that holds the minimum delay of hedged requests."""

_CONNECTION_LOSS_MARGIN = datetime.timedelta(seconds=1)
"""Time for the timeout of a watch and for opening another connection."""
_MAX_CALL_TIME = datetime.timedelta(seconds=2)
"""Time for a call that times out and for the next one."""
_MIN_WATCH_WAIT = datetime.timedelta(seconds=1)
_MAX_WATCH_WAIT = datetime.timedelta(seconds=4)
"""Bounds of a watch's wait; it ends within the maximum age of a listing."""
_BATCH_SHARE = 0.15
"""Share of the time in which changes must take effect that delays a watch."""
_MIN_BATCH_DELAY = datetime.timedelta(milliseconds=100)
_MAX_BATCH_DELAY = datetime.timedelta(seconds=1)
"""Bounds of the delay between a change and the next watch."""
_MAX_DUTY_NUMBER = 1e9
"""Largest number of a setting of duties; a time fits into a `timedelta`."""
_BODY_MEMORY_SHARE = 0.5
"""Share of the memory for request bodies; the rest is for all other data."""
_RESPONSE_MEMORY_SHARE = 0.15
"""Share of the memory for the buffers of responses."""
_MAX_PORT = 65_535
_MAX_PORT_DIGITS = 5
_MAX_QUOTED_LENGTH = 60
"""Length to which an invalid address is cut in an error."""


class Listen(msgspec.Struct, frozen=True):
    """Addresses to listen on, as IP:PORT.

    Attributes:
        callers: For callers' requests.
        readiness: For the readiness checks of the load balancer.
        peers: For messages from other VMs of the system; empty if the VM's role
            has no peers.
    """

    callers: str = msgspec.field(name="front_addr")
    readiness: str = msgspec.field(name="ready")
    peers: str = msgspec.field(name="control_plane", default="")


class Bounds(msgspec.Struct, frozen=True):
    """Limits that the platform requires the system to keep.

    Attributes:
        grace_seconds: Time between SIGTERM and SIGKILL.
        key_removal_ms: Time after which a removed API key must be refused.
        contact_ms: Time after a disturbance from which a VM must keep the other
            bounds.
        apply_ms: Time in which a configuration must take effect.
        drain_ms: Time in which VMs must learn that an endpoint leaves.
        keys_fail_closed: Whether requests with API keys are refused while there
            is no current proof that the configuration is the newest.
        retry_share: Number of retries allowed per request, over all VMs.
        spare_retries: Number of retries allowed in addition, over all VMs.
        fencing_enforced: Whether the platform's API checks fencing tokens.
        lease_ms: Time within which no VM may carry out a duty, then another
            VM, then the first one again.
        thaw_ms: Time after a suspension in which late calls are excused.
        report_window_seconds: Length of a window of the usage report.
        usage_error: Largest relative error of a reported number.
        usage_delay_seconds: Time after a window's end at which its usage is
            due.
        max_skew_ms: Largest difference between the clocks of two VMs.
    """

    grace_seconds: float = msgspec.field(name="grace_s", default=8.0)
    key_removal_ms: float = msgspec.field(name="revoke_ms", default=5000.0)
    contact_ms: float = 3000.0
    apply_ms: float = msgspec.field(name="config_apply_ms", default=2000.0)
    drain_ms: float = 2000.0
    keys_fail_closed: bool = msgspec.field(name="fail_closed", default=True)
    retry_share: float = msgspec.field(name="retry_ratio", default=0.1)
    spare_retries: float = msgspec.field(name="retry_burst", default=10.0)
    fencing_enforced: bool = False
    lease_ms: float = 3000.0
    thaw_ms: float = 300.0
    report_window_seconds: float = msgspec.field(name="report_window_s",
                                                 default=5.0)
    usage_error: float = 0.05
    usage_delay_seconds: float = msgspec.field(name="usage_delay_s",
                                               default=10.0)
    max_skew_ms: float = 6000.0


class Store(msgspec.Struct, frozen=True):
    """Address of the platform's store.

    Attributes:
        address: IP:PORT.
    """

    address: str


class CloudApi(msgspec.Struct, frozen=True):
    """The platform's API, which duties call. See `DutySettings` for its checks.

    Attributes:
        address: IP:PORT.
        rate_per_s: Calls per second that the API accepts.
        duties: Names of the duties that one VM at a time carries out.
        duty_per_s: Duty calls per second that it accepts from all VMs.
    """

    address: str
    rate_per_s: float = 50.0
    duties: tuple[str, ...] = ()
    duty_per_s: float = 50.0


class VmLimits(msgspec.Struct, frozen=True):
    """Limits of the VM.

    Attributes:
        memory_mb: Memory in MiB that the process may use; it is killed beyond.
    """

    memory_mb: float = 300.0


class PlatformSettings(msgspec.Struct, frozen=True):
    """The settings that the platform gives a process.

    Unknown fields are ignored.

    Attributes:
        vm: Name of the VM.
        zone: Its availability zone.
        ip: Its IP address.
        listen: Addresses to listen on.
        store: Address of the platform's store.
        bounds: Limits that the platform requires the system to keep.
        limits: Limits of the VM.
        heartbeat_ms: Interval at which endpoints renew their registrations.
        peer_ports: First and last port for messages between VMs.
        is_first_start: Whether the whole system starts for the first time.
        cloud_api: The platform's API; None if there are no duties.
    """

    vm: str = msgspec.field(name="node_name")
    zone: str
    ip: str
    listen: Listen
    store: Store = msgspec.field(name="platform")
    bounds: Bounds = Bounds()
    limits: VmLimits = VmLimits()
    heartbeat_ms: float = 1200.0
    peer_ports: tuple[int, ...] = msgspec.field(name="port_range", default=())
    is_first_start: bool = msgspec.field(name="is_bootstrap", default=False)
    cloud_api: CloudApi | None = None

    @property
    def key_removal_time(self) -> datetime.timedelta:
        """Time after which a removed API key must be refused."""
        return datetime.timedelta(milliseconds=self.bounds.key_removal_ms)

    @property
    def apply_time(self) -> datetime.timedelta:
        """Time in which a change of the configuration takes effect."""
        return datetime.timedelta(milliseconds=self.bounds.apply_ms)

    @property
    def max_body_memory(self) -> int:
        """Maximum size in bytes of all request bodies that are held."""
        return int(self.limits.memory_mb * _BODY_MEMORY_SHARE * 1024 * 1024)

    @property
    def max_response_memory(self) -> int:
        """Maximum size in bytes of the buffers of all responses."""
        return int(self.limits.memory_mb * _RESPONSE_MEMORY_SHARE * 1024 * 1024)

    @property
    def max_watch_wait(self) -> datetime.timedelta:
        """Maximum wait of a watch, after which a dead connection is detected.

        With the margin of the call's timeout and the backoff, changes are late
        by less than the time for which the loss of connections excuses it.
        """
        wait = (datetime.timedelta(milliseconds=self.bounds.contact_ms) -
                _CONNECTION_LOSS_MARGIN)
        return min(max(wait, _MIN_WATCH_WAIT), _MAX_WATCH_WAIT)

    @property
    def max_store_backoff(self) -> datetime.timedelta:
        """Maximum backoff of calls to the store in large deployments.

        Together with a call that times out, it ends within the time for which
        an outage excuses a VM.
        """
        return (datetime.timedelta(milliseconds=self.bounds.contact_ms) -
                _MAX_CALL_TIME)

    @property
    def batch_delay(self) -> datetime.timedelta:
        """Time for which changes are gathered before they are read.

        It is a small part of the time in which changes must take effect.
        """
        delay = datetime.timedelta(
            milliseconds=min(self.bounds.apply_ms, self.bounds.drain_ms) *
            _BATCH_SHARE)
        return min(max(delay, _MIN_BATCH_DELAY), _MAX_BATCH_DELAY)

    @property
    def min_lapse_time(self) -> datetime.timedelta:
        """Shortest store outage in which a registration can expire.

        It expires after three missed heartbeats, and the last heartbeat is at
        most one interval older than the outage.
        """
        return 2 * datetime.timedelta(milliseconds=self.heartbeat_ms)

    @property
    def grace(self) -> datetime.timedelta:
        """Time between SIGTERM and SIGKILL."""
        return datetime.timedelta(seconds=self.bounds.grace_seconds)


def read_settings(path: pathlib.Path) -> PlatformSettings:
    """Reads and checks a settings file.

    Raises:
        errors.SettingsError: If the file can't be read or a value is invalid.
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
            f"The settings file {path} is invalid: "
            f"{error}.",
            "Correct the value or its type.",
            key=_extract_key(str(error)))
    for key, address in (("$.listen.front_addr", found.listen.callers),
                         ("$.listen.ready", found.listen.readiness),
                         ("$.platform.address", found.store.address)):
        parse_address(address, key)
    if found.cloud_api is not None and found.cloud_api.duties:
        _check_duties(found.cloud_api, found.bounds)
    return found


def parse_address(text: str, key: str = "$") -> tuple[str, int]:
    """Splits an address of the form IP:PORT.

    Args:
        text: The address.
        key: Path of the setting that holds it, for the error.

    Returns:
        The IPv4 address and the port, from 1 to 65535.

    Raises:
        errors.SettingsError: If the text does not have that form.
    """
    host, _, port = text.rpartition(":")
    if not _is_ipv4_address(host) or not _is_port(port):
        quoted = repr(text[:_MAX_QUOTED_LENGTH])
        raise errors.SettingsError(f"{key} is {quoted}, which is not IP:PORT.",
                                   "Write it as in 192.0.2.1:8080.",
                                   key=key)
    return host, int(port)


def _is_ipv4_address(text: str) -> bool:
    try:
        ipaddress.IPv4Address(text)
    except ValueError:
        return False
    return True


def _is_port(text: str) -> bool:
    return (text.isascii() and text.isdecimal() and
            len(text) <= _MAX_PORT_DIGITS and 1 <= int(text) <= _MAX_PORT)


def _check_duties(api: CloudApi, bounds: Bounds) -> None:
    """Checks what only duties use, so that other deployments can't fail."""
    parse_address(api.address, "$.cloud_api.address")
    for key, value in (
        ("$.cloud_api.rate_per_s", api.rate_per_s),
        ("$.cloud_api.duty_per_s", api.duty_per_s),
        ("$.bounds.lease_ms", bounds.lease_ms),
        ("$.bounds.report_window_s", bounds.report_window_seconds),
        ("$.bounds.usage_error", bounds.usage_error),
        ("$.bounds.usage_delay_s", bounds.usage_delay_seconds),
    ):
        _check_number(key, value, is_zero_allowed=False)
    for key, value in (("$.bounds.thaw_ms", bounds.thaw_ms),
                       ("$.bounds.max_skew_ms", bounds.max_skew_ms)):
        _check_number(key, value, is_zero_allowed=True)


def _check_number(key: str, value: float, is_zero_allowed: bool) -> None:
    # NaN compares as false, too.
    is_valid = 0 < value <= _MAX_DUTY_NUMBER or value == 0 and is_zero_allowed
    if not is_valid:
        least = "at least 0" if is_zero_allowed else "more than 0"
        raise errors.SettingsError(
            f"{key} is {value:g}, which is not {least} and at most "
            f"{_MAX_DUTY_NUMBER:g}.",
            "Correct the value, or name no duties.",
            key=key)


def _extract_key(message: str) -> str:
    _, found, rest = message.partition("at `")
    return rest.partition("`")[0] if found else "$"
