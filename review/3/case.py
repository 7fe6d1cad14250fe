"""Stores lose their disks one after the other; how a message has ended is then known to none of them."""

from __future__ import annotations

import sys
import time
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from rig.deployment import Deployment, Impossible
from rig.lost import CALM_S, TROUBLE, begin, main, take
from rig.standins import Sent, ask, at_once

SIZE = 5_000  # bytes of a gate passage
COUNT, RATE = 200, 40.0  # messages, and how many of them a second
WIPED_S = 2.0  # as the site's after_ack_wipe of a store
STATE_S = 120.0  # for which a state is to be told after the end
STORES = {"disk-east-1": "east", "disk-west-1": "west", "disk-north-1": "north"}
# one disk at a time, and the next one once the last machine has been back for more than sync_s
LOSSES = ["disk-east-1", "disk-west-1", "disk-east-1"]


def unknown(d: Deployment, accepted: list[Sent]) -> list[Sent]:
    """The messages whose state some scheduler answers with 404 or 410."""
    found: dict[str, Sent] = {}
    for edge in d.of("edge"):
        answers = at_once(lambda sent, at=edge: ask(d, sent.name, machine=at), accepted)
        told = Counter((got.status, got.body[:20]) for got in answers)
        d.record.say(f"states at {edge.name}: " + ", ".join(f"{n} x {s} {b!r}" for (s, b), n in told.items()))
        for sent, got in zip(accepted, answers):
            if got.status in (404, 410):
                found[sent.rid] = sent
                d.record(f"state of {sent.rid} ({sent.name}) at {edge.name} -> {got.status} {got.body!r}")
    return list(found.values())


def play(d: Deployment) -> int:
    workers = begin(d, STORES)
    accepted = take(d, COUNT, SIZE, RATE, 0, ["edge-east-1", "edge-west-1"])
    time.sleep(CALM_S)
    if len({run.rid for worker in workers for run in worker.runs}) < len(accepted) or unknown(d, accepted):
        raise Impossible("not all messages have run before the disruption")
    for name in LOSSES:
        if TROUBLE != "0":
            machine = d.machines[name]
            machine.kill()
            machine.lose_disk()
            time.sleep(WIPED_S)
            machine.start()
        time.sleep(CALM_S)
        d.record(f"{CALM_S:.0f} s after {name}")
    lost = unknown(d, accepted)
    late = [sent for sent in lost if time.monotonic() - sent.at > STATE_S - 1.0]
    d.record.say(f"404 for the state, within state_s of the end: {len(lost) - len(late)} of {len(accepted)}")
    return 1 if len(lost) > len(late) else 0


if __name__ == "__main__":
    main(Path(sys.argv[1]), play, "the state of accepted messages is answered with 404")
