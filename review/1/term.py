"""The same fault by planned work alone, run by hand: a scheduler that holds a queue is stopped and started.

Every scheduler, store and worker is sound and stays there. TROUBLE=1: SIGTERM to the scheduler that took
the messages; 0: none. Exits with 1 if messages are `pending` at the end though no worker has had any for 6 s.
"""

from __future__ import annotations

import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))
from rig import lost
from rig.deployment import Deployment
from rig.standins import ask, at_once

MESSAGES, BODY = 300, 100_000
END_S = 75.0  # after the first message; below retain_s


def play(d: Deployment) -> int:
    d.add("edge-east-2", "edge", "east")
    workers = lost.begin(d, {f"disk-{zone}-1": zone for zone in lost.ZONES}, capacity=2, work_s=0.3)
    time.sleep(lost.CALM_S)
    began = time.monotonic()
    accepted = lost.take(d, MESSAGES, BODY, 500.0, 0, ["edge-east-1"])
    time.sleep(2.0)
    if lost.TROUBLE == "1":
        machine = d.machines["edge-east-1"]
        machine.term()
        time.sleep(0.5)
        machine.start()
    time.sleep(max(0.0, began + END_S - time.monotonic()))
    runs = [run for worker in workers for run in worker.runs]
    idle = time.monotonic() - max(run.at for run in runs)
    states = at_once(lambda sent: ask(d, sent.name, machine=d.machines["edge-east-2"]).body, accepted)
    pending = sum(b"pending" in state for state in states)
    d.record.say(
        f"{END_S:.0f} s after the first was sent: {len({run.rid for run in runs})} have run, "
        f"{pending} are pending, no worker has had one for {idle:.1f} s"
    )
    return 1 if pending and idle >= 6.0 else 0


if __name__ == "__main__":
    lost.main(Path(sys.argv[1]), play, "accepted messages are pending and no longer tried")
