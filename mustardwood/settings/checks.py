"""Validation of the values in a settings file."""

import collections.abc
import ipaddress
import re
import ssl
import urllib.parse

from mustardwood.settings import problem
from mustardwood.settings import settings as settings_module
from mustardwood.settings import tls_files

MAX_PORT = 65535
"""Highest TCP port."""

LOG_LEVELS = ("DEBUG", "INFO", "WARNING", "ERROR", "CRITICAL")
"""Log levels, from the most to the least verbose."""

_PORT_FIELDS = ("agent_link_port", "scheduler_link_port", "entry_link_port",
                "callers_port", "agent_operators_port",
                "scheduler_operators_port", "entry_operators_port")
_TLS_FIELDS = ("operators_tls", "callers_tls", "links_tls")
_SHA256_DIGEST = re.compile(r"[0-9a-f]{64}")
_Problems = collections.abc.Iterator[problem.Problem]


def list_problems(
        settings: settings_module.Settings) -> tuple[problem.Problem, ...]:
    """Lists the invalid values of the settings."""
    checkers = (_check_names, _check_addresses, _check_ports, _check_values,
                _check_tls)
    return tuple(found for checker in checkers for found in checker(settings))


def _check_names(settings: settings_module.Settings) -> _Problems:
    for name in ("vm", "zone", "region"):
        if not getattr(settings, name).strip():
            yield problem.Problem(f"$.{name}", "the name is empty",
                                  "Give the name from the platform's list.")


def _check_addresses(settings: settings_module.Settings) -> _Problems:
    if not _is_ipv4_address(settings.ip):
        yield problem.Problem("$.ip", f"{settings.ip!r} is no IPv4 address",
                              "Give the VM's own address, as in 192.0.2.1.")
    if not _is_http_url(settings.platform_url):
        yield problem.Problem("$.platform_url",
                              f"{settings.platform_url!r} is no HTTP URL",
                              "Give one as in http://192.0.2.9:7000.")


def _check_ports(settings: settings_module.Settings) -> _Problems:
    owners: dict[int, str] = {}
    for name in _PORT_FIELDS:
        port = getattr(settings, name)
        if not 0 < port <= MAX_PORT:
            yield problem.Problem(f"$.{name}", f"port {port} does not exist",
                                  f"Give a number from 1 to {MAX_PORT}.")
        elif owners.setdefault(port, name) != name:
            yield problem.Problem(f"$.{name}",
                                  f"{owners[port]} has port {port} too",
                                  "Give each its own port.")


def _check_values(settings: settings_module.Settings) -> _Problems:
    digest = settings.operators_token_hash
    if digest and not _SHA256_DIGEST.fullmatch(digest):
        yield problem.Problem("$.operators_token_hash",
                              "this is no SHA-256 digest",
                              "Make one with `mustardwood hash-key`.")
    for name in ("platform_timeout_seconds", "drain_seconds"):
        if not 0 < getattr(settings, name) < float("inf"):
            yield problem.Problem(f"$.{name}", "the value is not positive",
                                  "Give a finite number above zero.")
    if settings.log_level not in LOG_LEVELS:
        yield problem.Problem("$.log_level",
                              f"no level is named {settings.log_level!r}",
                              f"Use one of {', '.join(LOG_LEVELS)}.")


def _check_tls(settings: settings_module.Settings) -> _Problems:
    for name in _TLS_FIELDS:
        files = getattr(settings, name)
        if files is not None:
            yield from _check_tls_files(f"$.{name}", files)
    operators = settings.operators_tls
    if operators is not None and operators.authority:
        yield problem.Problem("$.operators_tls.authority",
                              "operators show a token, not a certificate",
                              "Leave it out; set operators_token_hash.")
    links = settings.links_tls
    if links is not None and not links.authority:
        yield problem.Problem(
            "$.links_tls.authority", "links without an authority verify nobody",
            "Name the file with the authority's certificate.")


def _check_tls_files(key: str, files: tls_files.TlsFiles) -> _Problems:
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    try:
        context.load_cert_chain(files.certificate, files.key)
    except (OSError, ValueError) as error:
        yield problem.Problem(f"{key}.certificate",
                              f"certificate and key can't be used: {error}",
                              "Name PEM files that belong together.")
    if not files.authority:
        return
    try:
        context.load_verify_locations(files.authority)
    except (OSError, ValueError) as error:
        yield problem.Problem(f"{key}.authority",
                              f"the authority can't be used: {error}",
                              "Name a PEM file with its certificate.")


def _is_ipv4_address(text: str) -> bool:
    try:
        ipaddress.IPv4Address(text)
    except ValueError:
        return False
    return True


def _is_http_url(url: str) -> bool:
    try:
        parts = urllib.parse.urlsplit(url)
        port = parts.port
    except ValueError:
        return False
    return (parts.scheme in ("http", "https") and bool(parts.hostname) and
            port != 0)
