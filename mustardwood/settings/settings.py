"""Settings of the processes of one VM."""

import msgspec

from mustardwood.settings import tls_files


class Settings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings that a process needs before it can connect to other processes.

    The agent, the scheduler and the entry of a VM can share one settings file.

    Attributes:
        vm: Name of the VM in the platform's list.
        ip: IPv4 address on which its processes listen.
        zone: Availability zone.
        region: Region.
        platform_url: Base URL of the platform's key-value service and of its
            list of VMs.
        agent_link_port: TCP port of the agent's link.
        scheduler_link_port: TCP port of the scheduler's link.
        entry_link_port: TCP port of the entry's link.
        callers_port: TCP port of the HTTP interface for callers.
        agent_operators_port: TCP port of the agent's HTTP interface for
            operators.
        scheduler_operators_port: TCP port of the scheduler's HTTP interface for
            operators.
        entry_operators_port: TCP port of the entry's HTTP interface for
            operators.
        operators_token_hash: Hexadecimal SHA-256 digest of the operators'
            bearer token; if empty, no token is checked.
        operators_tls: TLS files of the HTTP interfaces for operators; None for
            HTTP without TLS.
        callers_tls: TLS files of the HTTP interface for callers; None for HTTP
            without TLS.
        links_tls: TLS files of the links between processes; None for TCP
            without TLS.
        endpoints_tls: Whether endpoints may have HTTPS URLs. If false, the TLS
            libraries are not loaded unless something else needs them.
        platform_timeout_seconds: Timeout of one call to the platform, in
            seconds.
        drain_seconds: Maximum duration of a graceful shutdown, in seconds.
        burn_minute_seconds: Length of a minute of the burn report, in seconds.
            All VMs must have the same value, and all windows scale with it.
            Only tests need another value than 60.
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
