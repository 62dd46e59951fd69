"""Settings of the processes of a VM."""

import msgspec

from mustardwood.settings import tls_files


class Settings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What a process must know before it can reach anything else.

    The agent, the scheduler and the entry of a VM can share one file.

    Attributes:
        vm: Name of the VM in the platform's list.
        ip: IP address that its processes listen on.
        zone: Availability zone.
        region: Region.
        platform_url: Base URL of the platform's key-value service and list.
        agent_link_port: TCP port of the agent's link.
        scheduler_link_port: TCP port of the scheduler's link.
        entry_link_port: TCP port of the entry's link.
        callers_port: TCP port of the callers' HTTP.
        agent_operators_port: TCP port of the agent's operators' HTTP.
        scheduler_operators_port: TCP port of the scheduler's operators' HTTP.
        entry_operators_port: TCP port of the entry's operators' HTTP.
        operators_token_hash: Hexadecimal SHA-256 digest of the operators'
            bearer token; empty for no check.
        operators_tls: TLS of the operators' HTTP; None for plain HTTP.
        callers_tls: TLS of the callers' HTTP; None for plain HTTP.
        links_tls: TLS between VMs; None for plain TCP.
        endpoints_tls: Whether endpoints may have HTTPS URLs; false leaves the
            libraries of TLS out where nothing else needs them.
        platform_timeout_seconds: Bound on one call to the platform.
        drain_seconds: Bound on a planned stop.
        burn_minute_seconds: Length of a minute of the report on burn; all VMs
            must have the same, and all windows scale with it. Only tests need
            another value than 60.
        log_level: Lowest level that is logged, as in ``INFO``.
        log_json: Whether log lines are JSON objects.
    """

    vm: str
    ip: str
    zone: str
    region: str
    platform_url: str
    agent_link_port: int = 7101
    scheduler_link_port: int = 7102
    entry_link_port: int = 7103
    callers_port: int = 8080
    agent_operators_port: int = 9101
    scheduler_operators_port: int = 9102
    entry_operators_port: int = 9103
    operators_token_hash: str = ""
    operators_tls: tls_files.TlsFiles | None = None
    callers_tls: tls_files.TlsFiles | None = None
    links_tls: tls_files.TlsFiles | None = None
    endpoints_tls: bool = True
    platform_timeout_seconds: float = 2.0
    drain_seconds: float = 600.0
    burn_minute_seconds: float = 60.0
    log_level: str = "INFO"
    log_json: bool = False
