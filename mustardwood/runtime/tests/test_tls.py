"""Tests of TLS between processes, for callers and for operators."""

import hashlib
import http.client
import json
import ssl
import subprocess
import sys

import msgspec
from OpenSSL import SSL
import pytest

from mustardwood import configuration
from mustardwood import runtime
from mustardwood import settings
from mustardwood.runtime import tls_context
from mustardwood.standins import fleet as fleet_package
from mustardwood.standins.fleet import child_process
from mustardwood.tests import certificates

_KEY = "key-of-tatra"


def _make_document(fleet):
    engine = f"http://{fleet.addresses.find_engine(1)}:8000"
    digest = hashlib.sha256(_KEY.encode()).hexdigest()
    return configuration.Document(
        classes=(configuration.RequestClass("tag", 2, 5.0),),
        default_class="tag",
        organisations=(configuration.Organisation("tatra", (digest,)),),
        models=(configuration.Model("m"),),
        endpoints=(configuration.Endpoint("e1", "m", engine, "zone-a",
                                          "region-a"),))


def _send_request(ip, context):
    body = {"model": "m", "messages": [{"role": "user", "content": "tag"}]}
    connection = http.client.HTTPSConnection(ip,
                                             8080,
                                             timeout=30,
                                             context=context)
    connection.request("POST", "/v1/chat/completions",
                       json.dumps(body).encode(),
                       {"authorization": f"Bearer {_KEY}"})
    return connection.getresponse().status


def _run_cli(*arguments):
    return subprocess.run(
        [sys.executable, "-m", "mustardwood.cli.main", *arguments],
        capture_output=True,
        text=True,
        timeout=60,
        check=False)


@pytest.mark.processes
def test_fleet_with_tls_for_callers_and_links_serves_requests(tmp_path):
    authority = certificates.Authority.from_name("own", tmp_path)
    foreign = certificates.Authority.from_name("foreign", tmp_path)
    with fleet_package.Fleet("127.84.2") as fleet:
        fleet.start_platform()
        fleet.start_engine(1, "m")
        for number in (1, 2):
            files = authority.issue(fleet.addresses.find_vm(number))
            callers = msgspec.structs.replace(files, authority="")
            fleet.start_vm(number,
                           "zone-a",
                           links_tls=files,
                           callers_tls=callers)
        path = tmp_path / "document.json"
        path.write_bytes(msgspec.json.encode(_make_document(fleet)))
        assert "in force on every VM" in fleet.apply(path)
        trusting_context = ssl.create_default_context(
            cafile=str(authority.path))
        for number in (1, 2):
            fleet.wait_until_ready(f"vm-{number}/entry")
            status = _send_request(fleet.addresses.find_vm(number),
                                   trusting_context)
            assert status == http.HTTPStatus.OK
        assert len(fleet.read_json("engine-1", "/log")) == 2
        distrusting_context = ssl.create_default_context(
            cafile=str(foreign.path))
        with pytest.raises(ssl.SSLCertVerificationError):
            _send_request(fleet.addresses.find_vm(1), distrusting_context)


@pytest.mark.processes
def test_status_command_over_tls_requires_trusted_authority(tmp_path):
    authority = certificates.Authority.from_name("own", tmp_path)
    foreign = certificates.Authority.from_name("foreign", tmp_path)
    ip = "127.84.3.1"
    files = msgspec.structs.replace(authority.issue(ip), authority="")
    path = tmp_path / "settings.json"
    path.write_bytes(
        msgspec.json.encode(
            settings.Settings("vm-1",
                              ip,
                              "z",
                              "r",
                              "http://127.84.3.9:1",
                              operators_tls=files)))
    url = f"https://{ip}:9101"
    agent = child_process.ChildProcess("agent", "mustardwood.agent.main",
                                       ("--settings", str(path)),
                                       tmp_path / "log", url)
    agent.start()
    try:
        for _ in range(30):
            result = _run_cli("status", "--agent", url, "--authority",
                              str(authority.path))
            if result.returncode == 0:
                break
        assert result.returncode == 0, result.stderr
        refused = _run_cli("status", "--agent", url, "--authority",
                           str(foreign.path))
        assert refused.returncode == runtime.ExitCode.UNREACHABLE
        assert "certificate verify failed" in refused.stderr
        broken = _run_cli("status", "--agent", url, "--authority", str(path))
        assert broken.returncode == runtime.ExitCode.USAGE
    finally:
        agent.stop(20)


@pytest.mark.processes
def test_handshake_fails_without_client_certificate_of_the_authority(tmp_path):
    authority = certificates.Authority.from_name("own", tmp_path)
    foreign = certificates.Authority.from_name("foreign", tmp_path)
    context = ssl.create_default_context(cafile=str(authority.path))
    server = tls_context.make_tls_context(authority.issue("127.84.3.2"))
    assert _perform_handshake(server, context) is False
    client_files = foreign.issue("127.84.3.3")
    context.load_cert_chain(client_files.certificate, client_files.key)
    assert _perform_handshake(server, context) is False
    client_files = authority.issue("127.84.3.3")
    context.load_cert_chain(client_files.certificate, client_files.key)
    assert _perform_handshake(server, context) is True


def _perform_handshake(server, context):
    """Returns whether each side accepts the certificate of the other."""
    incoming, outgoing = ssl.MemoryBIO(), ssl.MemoryBIO()
    client = context.wrap_bio(incoming, outgoing, server_hostname="127.84.3.2")
    server_connection = SSL.Connection(server.getContext())
    server_connection.set_accept_state()
    is_complete = [False, False]
    for _ in range(10):
        try:
            client.do_handshake()
            is_complete[0] = True
        except ssl.SSLWantReadError:
            pass
        except ssl.SSLError:
            return False
        if outgoing.pending:
            server_connection.bio_write(outgoing.read())
        try:
            server_connection.do_handshake()
            is_complete[1] = True
        except SSL.WantReadError:
            pass
        except SSL.Error:
            return False
        try:
            incoming.write(server_connection.bio_read(65536))
        except SSL.WantReadError:
            pass
    return all(is_complete)
