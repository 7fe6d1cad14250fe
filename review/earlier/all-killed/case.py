"""All machines that count are killed at once; one store does not return, an empty one takes its place. Later
another store loses its disk.

TROUBLE=1: all of it; 0: nothing. For comparison: kill (all are killed and all return, then the later loss),
replace (one store is replaced while all others run, then the later loss), first (all but the later loss).
"""

from __future__ import annotations

import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2]))
from rig import lost
from rig.deployment import Deployment

MESSAGES, BODY, RATE, DELAY_MS = 300, 5_000, 100.0, 65_000
RECOVERED_S = 20.0  # longer than recover_s (12 s), and than contact_ms and sync_s


def play(d: Deployment) -> int:
    workers = lost.begin(d, {f"disk-{zone}-1": zone for zone in lost.ZONES})
    accepted = lost.take(d, MESSAGES, BODY, RATE, DELAY_MS, ["edge-east-1", "edge-west-1"])
    time.sleep(6.0)  # longer than contact_ms and sync_s
    gone = d.machines["disk-west-1"]
    if lost.TROUBLE in ("1", "first", "kill"):
        counted = d.of("core") + d.of("disk")
        for machine in counted:
            machine.kill()
        time.sleep(1.3)
        for machine in counted:
            if machine is not gone or lost.TROUBLE == "kill":
                machine.start()
    elif lost.TROUBLE == "replace":
        gone.kill()
        time.sleep(1.3)
    if lost.TROUBLE in ("1", "first", "replace"):
        gone.lose_disk()
        del d.machines[gone.name]
        time.sleep(0.7)
        d.add("disk-west-2", "disk", "west").start()
    if lost.TROUBLE != "0":
        time.sleep(RECOVERED_S)
        d.wait_ready()
    if lost.TROUBLE not in ("0", "first"):
        machine = d.machines["disk-east-1"]
        machine.kill()
        machine.lose_disk()
        time.sleep(2.0)
        machine.start()
        time.sleep(lost.CALM_S)
    return lost.judge(d, accepted, workers, DELAY_MS)


if __name__ == "__main__":
    lost.main(Path(sys.argv[1]), play)
