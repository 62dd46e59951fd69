"""Plays runs with successive seeds: `python -m <package> --seeds 50`."""

import argparse
import asyncio
import pathlib
import sys
import tempfile

from mustardwood.platform.tests import earlier_builds
from mustardwood.platform.tests.soak import plants
from mustardwood.platform.tests.soak import soak


def main():
    """Plays the runs; exits with 1 if a rule was broken."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--first", type=int, default=1, help="first seed")
    parser.add_argument("--seeds", type=int, default=1, help="number of seeds")
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--vms", type=int, default=3)
    parser.add_argument("--callers", type=int, default=40)
    parser.add_argument("--signals", action="store_true")
    parser.add_argument("--links",
                        action="store_true",
                        help="disturb links, endpoint processes and the store")
    parser.add_argument("--impatient",
                        action="store_true",
                        help="callers resume silent streams elsewhere")
    parser.add_argument("--copies",
                        type=float,
                        default=0.0,
                        help="share of requests that endpoints refuse, with a "
                        "copy of the refusal later")
    parser.add_argument("--repeat",
                        action="store_true",
                        help="callers send refused requests again under the "
                        "same id")
    parser.add_argument("--cut",
                        type=int,
                        default=0,
                        help="number of VMs that are cut from all endpoints")
    parser.add_argument("--unframed",
                        type=float,
                        default=0.0,
                        help="share of streams that end with their connection")
    parser.add_argument("--relays",
                        action="store_true",
                        help="restart and kill the VMs that are not cut")
    parser.add_argument("--changes",
                        action="store_true",
                        help="add routes, many in quick succession")
    parser.add_argument("--megabits",
                        type=float,
                        default=0.0,
                        help="rate of the link from the store to each VM, with "
                        "a large configuration")
    parser.add_argument("--build",
                        default="",
                        metavar="COMMIT",
                        help="let VMs run this build, too, beside this one")
    parser.add_argument("--plant",
                        choices=sorted(plants.FAULTS),
                        default="",
                        help="plant a fault into the VMs")
    parser.add_argument("--stop",
                        type=float,
                        default=0.0,
                        help="seconds for which VMs stop during takeovers")
    parser.add_argument("--delay",
                        type=float,
                        default=0.0,
                        help="seconds from the begin of a takeover to the stop")
    parser.add_argument(
        "--close",
        type=float,
        default=0.0,
        help="seconds for which endpoints work on after a close")
    parser.add_argument("--logs",
                        type=pathlib.Path,
                        help="folder that keeps the logs of the VMs")
    options = parser.parse_args()
    if min(options.seeds, options.vms, options.callers, options.seconds) <= 0:
        parser.error("seeds, VMs, callers and seconds must be positive")
    broken = 0
    for seed in range(options.first, options.first + options.seeds):
        plan = soak.Plan(seed,
                         seconds=options.seconds,
                         vms=options.vms,
                         callers=options.callers,
                         has_signals=options.signals,
                         has_link_faults=options.links,
                         has_impatient_callers=options.impatient,
                         copied_refusals=options.copies,
                         has_repeating_callers=options.repeat,
                         cut_vms=options.cut,
                         unframed=options.unframed,
                         has_relay_restarts=options.relays,
                         has_changes=options.changes,
                         store_megabits=options.megabits,
                         build=options.build,
                         plant=options.plant,
                         takeover_stop_seconds=options.stop,
                         takeover_delay_seconds=options.delay,
                         close_seconds=options.close)
        with tempfile.TemporaryDirectory() as temporary:
            folder = pathlib.Path(temporary)
            if options.logs:
                folder = options.logs / f"seed-{seed}"
                folder.mkdir(parents=True, exist_ok=True)
            try:
                verdict = asyncio.run(soak.play(plan, folder))
            except earlier_builds.BuildError as error:
                print(error, file=sys.stderr)
                sys.exit(2)
        broken += bool(verdict.breaches)
        print(f"seed {seed}: {'BROKEN' if verdict.breaches else 'kept'}, "
              f"{verdict.requests} requests, {verdict.sent} run, "
              f"{verdict.runs} runs, "
              f"{verdict.takeovers} taken over")
        for each in verdict.breaches:
            print(f"  {each}")
        sys.stdout.flush()
    sys.exit(1 if broken else 0)


if __name__ == "__main__":
    main()
