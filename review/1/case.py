"""Two stores lose their disks, the second long after the first is back; what both kept is lost."""

from __future__ import annotations

import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from rig.deployment import Deployment
from rig.lost import CALM_S, TROUBLE, begin, judge, main, take

SIZE = 30_000  # bytes: the largest gate passage of the site
COUNT, RATE = 2_000, 150.0  # messages, and how many of them a second
DELAY_MS = 60_000  # before which none of them may run; at the site up to 90,000
WIPED_S = 2.0  # as the site's after_ack_wipe of a store
STORES = {"disk-east-1": "east", "disk-west-1": "west", "disk-north-1": "north"}
LOSSES = ["disk-east-1", "disk-west-1"]


def play(d: Deployment) -> int:
    workers = begin(d, STORES)
    accepted = take(d, COUNT, SIZE, RATE, DELAY_MS, ["edge-east-1", "edge-west-1"])
    time.sleep(2.0)
    for name in LOSSES:
        if TROUBLE != "0":
            machine = d.machines[name]
            machine.kill()
            machine.lose_disk()
            time.sleep(WIPED_S)
            machine.start()
        time.sleep(CALM_S)
    return judge(d, accepted, workers, DELAY_MS)


if __name__ == "__main__":
    main(Path(sys.argv[1]), play)
