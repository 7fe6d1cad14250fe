"""A store is down while another one is retired; what both kept is then on one disk only, and goes with it."""

from __future__ import annotations

import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from rig.deployment import Deployment, Impossible
from rig.lost import CALM_S, TROUBLE, begin, judge, main, take

SIZE = 5_000  # bytes of a gate passage
COUNT, RATE = 300, 50.0  # messages, and how many of them a second
DELAY_MS = 60_000  # before which none of them may run; at the site up to 90,000
DOWN_S = 2.8  # as the site's node_kill of a store
WIPED_S = 2.0  # as the site's after_ack_wipe of a store
STORES = {"disk-east-1": "east", "disk-west-1": "west", "disk-north-1": "north", "disk-east-2": "east"}


def play(d: Deployment) -> int:
    workers = begin(d, STORES)
    accepted = take(d, COUNT, SIZE, RATE, DELAY_MS, ["edge-east-1", "edge-west-1"])
    time.sleep(2.0)
    store, leaving = d.machines["disk-east-1"], d.machines["disk-west-1"]
    if d.order("POST", f"/retire/{leaving.name}", b'{"over_s":10}').status != 200:
        raise Impossible("the order to empty a store was not taken")
    ordered = time.monotonic()
    down = TROUBLE != "0"
    if down:
        store.kill()
    complete = False
    while not complete or down:
        if time.monotonic() - ordered > 25.0:
            raise Impossible("the store did not report that it is empty")
        if down and time.monotonic() - ordered >= DOWN_S:
            store.start()
            down = False
        if not complete and b"complete" in d.order("GET", f"/retire/{leaving.name}").body:
            complete = True
            leaving.kill()
            leaving.lose_disk()
            d.record.say(
                f"{leaving.name} was complete after {time.monotonic() - ordered:.1f} s and is removed"
            )
        time.sleep(0.1)
    time.sleep(CALM_S)
    if TROUBLE != "0":
        store.kill()
        store.lose_disk()
        time.sleep(WIPED_S)
        store.start()
    time.sleep(CALM_S)
    return judge(d, accepted, workers, DELAY_MS)


if __name__ == "__main__":
    main(Path(sys.argv[1]), play)
