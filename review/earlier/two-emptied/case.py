"""Two stores are emptied at the same time and removed; then one of those that stay loses its disk.

TROUBLE=1: both orders, then the loss; 0: neither. For comparison: orders (no loss), loss (no order), one (one
order, then the loss), turn (the second order once the first is complete, then the loss).
"""

from __future__ import annotations

import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2]))
from rig import lost
from rig.deployment import Deployment, Impossible

MESSAGES, BODY, RATE, DELAY_MS = 400, 260_000, 60.0, 60_000
STORES = {
    "disk-east-1": "east",
    "disk-east-2": "east",
    "disk-west-1": "west",
    "disk-west-2": "west",
    "disk-north-1": "north",
}


def empty(d: Deployment, *names: str) -> None:
    """Orders stores to be emptied, waits until each is `complete`, and removes it at once with its disk."""
    for name in names:
        if (got := d.order("POST", f"/retire/{name}", b'{"over_s":10}')).status != 200:
            raise Impossible(f"the order to empty {name} was answered with {got.status}")
    until, left = time.monotonic() + 20.0, list(names)
    while left:
        if time.monotonic() > until:
            raise Impossible(f"{left} not emptied in time")
        for name in list(left):
            if b"complete" in d.order("GET", f"/retire/{name}").body:
                left.remove(name)
                d.machines[name].kill()
                d.machines[name].lose_disk()
                del d.machines[name]
        time.sleep(0.05)


def play(d: Deployment) -> int:
    workers = lost.begin(d, STORES)
    accepted = lost.take(d, MESSAGES, BODY, RATE, DELAY_MS, ["edge-east-1"])
    time.sleep(6.0)  # longer than contact_ms and sync_s
    if lost.TROUBLE in ("1", "orders"):
        empty(d, "disk-east-1", "disk-east-2")
    elif lost.TROUBLE == "one":
        empty(d, "disk-east-1")
    elif lost.TROUBLE == "turn":
        empty(d, "disk-east-1")
        empty(d, "disk-east-2")
    if lost.TROUBLE in ("1", "loss", "one", "turn"):
        time.sleep(5.0)  # longer than sync_s after the last one was removed
        machine = d.machines["disk-west-1"]
        machine.kill()
        machine.lose_disk()
        time.sleep(2.0)
        machine.start()
        time.sleep(lost.CALM_S)
    return lost.judge(d, accepted, workers, DELAY_MS)


if __name__ == "__main__":
    lost.main(Path(sys.argv[1]), play)
