"""A store loses its disk and returns; long after its `sync_s` another store loses its disk.

TROUBLE=1: both losses, one after the other; 0: none. For comparison: first (the first loss only), second (the
second only).
"""

from __future__ import annotations

import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))
from rig import lost
from rig.deployment import Deployment

MESSAGES, BODY, RATE, DELAY_MS = 1700, 30_000, 150.0, 60_000


def lose(d: Deployment, name: str) -> None:
    """The machine loses its disk and is back 2 s later, at its address."""
    machine = d.machines[name]
    machine.kill()
    machine.lose_disk()
    time.sleep(2.0)
    machine.start()


def play(d: Deployment) -> int:
    workers = lost.begin(d, {f"disk-{zone}-1": zone for zone in lost.ZONES})
    accepted = lost.take(d, MESSAGES, BODY, RATE, DELAY_MS, ["edge-east-1"])
    time.sleep(6.0)  # longer than contact_ms and sync_s
    if lost.TROUBLE in ("1", "first"):
        lose(d, "disk-east-1")
        time.sleep(lost.CALM_S)  # over twice sync_s
    if lost.TROUBLE in ("1", "second"):
        lose(d, "disk-west-1")
        time.sleep(lost.CALM_S)
    return lost.judge(d, accepted, workers, DELAY_MS)


if __name__ == "__main__":
    lost.main(Path(sys.argv[1]), play)
