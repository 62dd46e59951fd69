"""Listeners for HTTP."""

import typing

from twisted.internet import endpoints
from twisted.internet import interfaces
from twisted.web import server

from mustardwood import settings as settings_module


async def listen_http(
        reactor: typing.Any,
        site: server.Site,
        ip: str,
        port: int,
        tls: settings_module.TlsFiles | None = None
) -> interfaces.IListeningPort:
    """Listens for HTTP on an address, or for HTTPS if `tls` is given."""
    endpoint: typing.Any
    if tls is None:
        endpoint = endpoints.TCP4ServerEndpoint(reactor, port, interface=ip)
    else:
        from mustardwood.runtime import tls_context
        endpoint = endpoints.SSL4ServerEndpoint(
            reactor, port, tls_context.make_tls_context(tls), interface=ip)
    return await endpoint.listen(site)
