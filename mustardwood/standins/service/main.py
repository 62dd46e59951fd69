"""The program mustardwood-fake-service."""

import typing

import typer

from mustardwood.standins import program
from mustardwood.standins.service import service_site


def main() -> None:
    typer.run(_run)


def _run(
    ip: typing.Annotated[str, typer.Option(help="IP address.")] = "127.0.0.1",
    port: typing.Annotated[int, typer.Option(help="TCP port.")] = 8001,
) -> None:
    """Runs a plain service that echoes its calls, for tests."""

    def start(reactor: typing.Any) -> None:
        service_site.ServiceSite(reactor, ip, port).port.open()

    program.run_program(start)


if __name__ == "__main__":
    main()
