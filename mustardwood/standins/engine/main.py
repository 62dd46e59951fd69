"""The program mustardwood-fake-engine."""

import typing

import typer

from mustardwood import timing
from mustardwood.standins import program
from mustardwood.standins.engine import engine_options
from mustardwood.standins.engine import engine_site

_DEFAULTS = engine_options.EngineOptions(("small",))


def main() -> None:
    typer.run(_run)


def _run(
    ip: typing.Annotated[str, typer.Option(help="IP address.")] = "127.0.0.1",
    port: typing.Annotated[int, typer.Option(help="TCP port.")] = 8000,
    model: typing.Annotated[list[str] | None,
                            typer.Option(
                                help="Model served; may be repeated.")] = None,
    base_step_seconds: typing.Annotated[
        float, typer.Option(help="Time of a step without streams."
                           )] = _DEFAULTS.base_step_seconds,
    stream_step_seconds: typing.Annotated[
        float,
        typer.Option(help="Time that each stream adds to a step.")] = _DEFAULTS.
    stream_step_seconds,
    prefill_token_seconds: typing.Annotated[
        float, typer.Option(help="Time for each uncached prompt token."
                           )] = _DEFAULTS.prefill_token_seconds,
    batch_limit: typing.Annotated[
        int, typer.Option(help="Maximum number of streams in the batch."
                         )] = _DEFAULTS.batch_limit,
    queue_limit: typing.Annotated[
        int, typer.Option(
            help="Maximum number of queued requests.")] = _DEFAULTS.queue_limit,
    cache_tokens: typing.Annotated[
        int, typer.Option(help="Capacity of the prefix cache in tokens."
                         )] = _DEFAULTS.cache_tokens,
    load_lag_seconds: typing.Annotated[
        float,
        typer.Option(help="Time between updates of the load report."
                    )] = _DEFAULTS.load_lag_seconds,
    checks_fencing: typing.Annotated[
        bool,
        typer.Option(help="Refuse orders with an outdated fencing "
                     "number.")] = False,
) -> None:
    """Runs a stand-in for a model engine; POST /switch sets its faults."""
    options = engine_options.EngineOptions(tuple(model or _DEFAULTS.models),
                                           base_step_seconds,
                                           stream_step_seconds,
                                           prefill_token_seconds, batch_limit,
                                           queue_limit, cache_tokens,
                                           load_lag_seconds, checks_fencing)

    def start(reactor: typing.Any) -> None:
        site = engine_site.EngineSite(reactor, options, timing.SystemClock(),
                                      ip, port)
        site.port.open()

    program.run_program(start)


if __name__ == "__main__":
    main()
