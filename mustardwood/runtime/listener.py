"""Listening for HTTP."""

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
    """Listens on an address, with TLS when `tls` is given."""
    endpoint: typing.Any
    if tls is None:
        endpoint = endpoints.TCP4ServerEndpoint(reactor, port, interface=ip)
    else:
        from twisted.internet import ssl
        context = ssl.DefaultOpenSSLContextFactory(tls.key, tls.certificate)
        endpoint = endpoints.SSL4ServerEndpoint(reactor,
                                                port,
                                                context,
                                                interface=ip)
    return await endpoint.listen(site)
