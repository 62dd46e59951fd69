"""The program mustardwood-fake-platform."""

import typing

import typer
from twisted.web import server

from mustardwood import timing
from mustardwood.standins import listening_port
from mustardwood.standins import program
from mustardwood.standins.platform import platform_site


def main() -> None:
    typer.run(_run)


def _run(
    ip: typing.Annotated[str, typer.Option(help="IP address.")] = "127.0.0.1",
    port: typing.Annotated[int, typer.Option(help="TCP port.")] = 7000,
) -> None:
    """Runs a stand-in for the platform's key-value service and VM list."""

    program.run_program(lambda reactor: start_platform(reactor, ip, port))


def start_platform(reactor: typing.Any, ip: str,
                   port: int) -> listening_port.ListeningPort:
    """Starts a platform stand-in and returns its listening port."""
    site = platform_site.PlatformSite(reactor, timing.SystemClock())
    listening = listening_port.ListeningPort(reactor,
                                             server.Site(site.app.resource()),
                                             ip, port)
    listening.open()
    return listening


if __name__ == "__main__":
    main()
