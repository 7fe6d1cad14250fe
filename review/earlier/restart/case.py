"""A counter is restarted in an orderly way while messages wait; those that it gives back are never run."""

from __future__ import annotations

import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2]))

from rig.deployment import Deployment
from rig.lost import RETAIN_S, TROUBLE, begin, main, take
from rig.standins import Sent, Worker, ask

SIZE = 250_000  # bytes; the configuration allows 262,144
COUNT, RATE = 600, 60.0  # messages, and how many of them a second
CAPACITY, WORK_S = 2, 0.4  # of each of three workers: fifteen messages a second in all
SETTLED_S = 40.0  # from the machine's new start to the check: the workers need some 28 s for all that waits
CALM_S = 6.0  # in which no worker has had the message
NO_SUCCESS_S = 3.0  # in which no other message has succeeded
STORES = {"disk-east-1": "east", "disk-west-1": "west", "disk-north-1": "north"}


def begun(workers: list[Worker]) -> dict[str, float]:
    """When each message that has run began, by request id."""
    return {run.rid: run.at for worker in workers for run in worker.runs}


def stuck(d: Deployment, accepted: list[Sent], workers: list[Worker]) -> list[Sent]:
    """The messages that the rule calls lost: every scheduler answers `pending`, though none is delayed."""
    at, edges = time.monotonic(), d.of("edge")
    runs = begun(workers)
    waiting = [sent for sent in accepted if sent.rid not in runs]
    states = {
        sent.rid: [ask(d, sent.name, machine=edge) for edge in edges]
        for sent in waiting
        if at - sent.at < RETAIN_S
    }
    for rid, answers in states.items():
        told = ", ".join(f"{edge.name} -> {got.status} {got.body!r}" for edge, got in zip(edges, answers))
        d.record(f"state of {rid}: {told}")
    last, busy = max(runs.values()), sum(worker.running + worker.waiting for worker in workers)
    age = at - min(sent.at for sent in accepted)
    d.record.say(
        f"{len(runs)} of {len(accepted)} have run, the last one {at - last:.1f} s ago; "
        f"the workers hold {busy} messages; the oldest message was sent {age:.0f} s ago"
    )
    if at - last < max(CALM_S, NO_SUCCESS_S) or busy:
        return []  # others still succeed: not what the rule describes
    return [
        sent
        for sent in waiting
        if states.get(sent.rid) and all(b'"pending"' in got.body for got in states[sent.rid])
    ]


def play(d: Deployment) -> int:
    workers = begin(d, STORES, CAPACITY, WORK_S)
    accepted = take(d, COUNT, SIZE, RATE, 0, ["edge-east-1", "edge-west-1"])
    d.record.say(f"{len(begun(workers))} have run so far")
    if TROUBLE != "0":
        machine = d.machines["edge-east-1"]
        machine.term()
        time.sleep(0.5)
        machine.start()
    until = time.monotonic() + SETTLED_S
    while time.monotonic() < until:
        time.sleep(5.0)
        d.record(f"{len(begun(workers))} of {len(accepted)} have run")
    lost = stuck(d, accepted, workers)
    d.record.say(f"pending and given to no worker: {len(lost)} of {len(accepted)}")
    return 1 if lost else 0


if __name__ == "__main__":
    main(Path(sys.argv[1]), play, "accepted messages stay pending and no worker gets them")
