"""Entry point of the command ``mustardwood-scheduler``."""

from mustardwood import runtime
from mustardwood.scheduler import daemon


def main() -> None:
    """Runs the command line."""
    runtime.run_command("scheduler", daemon.SchedulerDaemon.from_settings,
                        lambda settings: settings.endpoints_tls)


if __name__ == "__main__":
    main()
