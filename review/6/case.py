"""An answer without a length that comes through a machine that stops.

Machine `edge-0` is cut off from all replicas for some seconds and reaches them
through the two others. One of these gets SIGTERM meanwhile.
"""

import pathlib
import signal
import threading
import time

import stand_ins

_STREAMS = 48
_EVENTS = 30
_EVENT_MS = 200


def run(record):
    """Returns whether an answer that ended early looked complete."""
    # One answer in three has neither a length nor chunks.
    replicas = [
        stand_ins.Replica(f"i-{number}",
                          "mustard-llm",
                          record,
                          unframed=lambda count: count % 3 == 0)
        for number in range(3)
    ]
    answers = {}
    with stand_ins.Deployment(record, 3, replicas) as deployment:
        entry, relay, _ = deployment.vms
        if stand_ins.HAS_TROUBLE:
            deployment.cut_from_replicas(entry)
        time.sleep(1.0)

        def send(attempt):
            record.write(f"sent     {attempt}")
            answer = stand_ins.send_request(entry, attempt,
                                            f"/stream/{_EVENTS}/{_EVENT_MS}")
            answers[attempt] = answer
            record.write(
                f"answered {attempt} status {answer.status} "
                f"events {answer.body.count(b'data:')} "
                f"{'complete' if answer.is_complete else 'broken off'}")

        threads = []
        for number in range(_STREAMS):
            threads.append(
                threading.Thread(target=send, args=(f"q{number}",)))
            threads[-1].start()
            time.sleep(0.04)
        if stand_ins.HAS_TROUBLE:
            record.write(f"SIGTERM to {relay.name}")
            relay.send_signal(signal.SIGTERM)
        for each in threads:
            each.join()
        if stand_ins.HAS_TROUBLE:
            deployment.heal_paths(entry)
    whole = b"".join(
        stand_ins.make_event(number, "v1") for number in range(1, _EVENTS + 1))
    broken = [
        attempt for attempt, each in answers.items() if each.status == 200 and
        "mustardwood-replica-signature" in each.headers and
        each.is_complete and each.body != whole
    ]
    record.write(f"answers that ended early and look complete: {broken}")
    return bool(broken)


stand_ins.run_case(run,
                   pathlib.Path(__file__).resolve().parent / "record.txt")
