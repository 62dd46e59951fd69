"""A planned stop cuts requests that came on kept connections during the stop.

Two routers serve clients that keep their connections and send the next request
as soon as they have the last answer. One router is stopped with SIGTERM.
"""

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import fleet

GRACE_S = 8.0
CLIENTS = 24
EVENTS, GAP_MS = 64, 80
"""A stream of the mean number of events of `ledger-recon`; it lasts 5.1 s."""


async def use(client, routers, ends_at, start_after):
    """Sends one request after the other on kept connections."""
    await asyncio.sleep(start_after)
    turn = 0
    while time.monotonic() < ends_at:
        if not client.is_connected:
            ready = [each for each in routers if each.is_in_rotation]
            if not ready:
                await asyncio.sleep(0.1)
                continue
            try:
                await client.connect(ready[turn % len(ready)])
            except (OSError, asyncio.TimeoutError):
                await asyncio.sleep(0.1)
                continue
            turn += 1
        await client.call(f"{fleet.STREAM_PATH}{EVENTS}/{GAP_MS}")


def find_losses(clients, replicas, router, stopped_at):
    """Returns the requests that were lost by the stop, by the rule LOST."""
    runs = {run.attempt_id: run for each in replicas for run in each.runs}
    lost = []
    for exchange in (each for client in clients for each in client.exchanges):
        run = runs.get(exchange.attempt_id)
        if (exchange.is_complete or exchange.router != router.name or
                run is None or run.end == "broken" or stopped_at is None):
            continue
        after_s = exchange.sent_at - stopped_at
        if after_s < 0 or exchange.ended_at > stopped_at + GRACE_S + 1:
            continue
        worked_late = (run.ended_at or
                       exchange.ended_at) >= stopped_at + GRACE_S * 5 / 6
        if worked_late and after_s <= 3.0:
            continue
        lost.append(
            f"LOST: {exchange.attempt_id}, sent {after_s:.2f} s after SIGTERM "
            f"on a kept connection and passed on, was cut off after "
            f"{exchange.ended_at - exchange.sent_at:.2f} s "
            f"(status {exchange.status}, {len(exchange.body)} bytes)")
    return lost


async def play(record, folder, routers):
    """Plays the case and returns the breaches."""
    store = fleet.Store()
    await store.start()
    store.put("op/config",
              fleet.json.dumps(fleet.make_configuration()).encode())
    replicas = [fleet.Replica(store, record, "llm", 64) for _ in range(3)]
    for each in replicas:
        await each.start()
    routers += [
        fleet.Router(folder, record, store, f"edge-{number}",
                     f"127.0.71.{number}") for number in (1, 2)
    ]
    for each in routers:
        await each.start()
        asyncio.create_task(each.watch_readiness())
    await fleet.wait_until(lambda: all(each.is_in_rotation for each in routers))
    await asyncio.sleep(2.0)
    ends_at = time.monotonic() + 20.0
    clients = [
        fleet.Client(record, f"client-{number}") for number in range(CLIENTS)
    ]
    tasks = [
        asyncio.create_task(
            use(client, routers[number % 2:] + routers[:number % 2], ends_at,
                number * 0.25)) for number, client in enumerate(clients)
    ]
    await asyncio.sleep(8.0)
    stopped_at = None
    if fleet.is_troubled():
        stopped_at = time.monotonic()
        await routers[0].stop(GRACE_S)
        await routers[0].start()
    await asyncio.gather(*tasks)
    return find_losses(clients, replicas, routers[0], stopped_at)


if __name__ == "__main__":
    fleet.run_case(play, pathlib.Path(__file__).resolve().parent)
