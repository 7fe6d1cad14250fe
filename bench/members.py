"""Membership against baselines of the project's own, on the virtual clock. One JSON line a run.

    python bench/members.py [MEMBERS]

`all`: each beats to all, and one unheard for as long as the part takes is gone. `swim`: as published in 2002:
a round robin without a ring, suspicion told at once, no local health, no doubt after a standstill, a death by
one's own judgement. `opalwick`: the part as it ships. The same days, seeds and times.
"""

from __future__ import annotations

import json
import sys
from collections import Counter
from collections.abc import Iterator
from concurrent.futures import ProcessPoolExecutor
from typing import Any

from opalwick.fleet import agent
from opalwick.fleet.membership import Members, Peer, Suspicion
from opalwick.fleet.messages import MessageType
from opalwick.lab.fleet.day import parse
from opalwick.lab.fleet.judge import judge
from opalwick.lab.fleet.virtual import AgentOnly, play


class AllToAll(Members):
    def _due_tick(self, _: object) -> None:
        self._schedule(self.now + self.terms.every, "tick", None)
        for peer in self.ring:
            self._queue(peer.number, MessageType.UPDATES)
            if peer.present and self.now - peer.received_at > self.terms.missed + self.terms.suspect:
                peer.unconfirmed = True
                self._mark_gone(peer, self.now, "unheard")

    def after_stall(self) -> None: ...


class Swim(Members):
    def _ring_targets(self) -> Iterator[Peer]:
        return (peer for peer in self.ring if False)

    def _suspect(self, peer: Peer, began: float, lasts: float) -> None:
        if peer.suspicion is None and peer.present:
            peer.suspicion = Suspicion(began, lasts)
            self._mark_suspect(peer, began, "no answer")
            self._schedule(began + self.terms.missed + self.terms.suspect, "expire", (peer, peer.suspicion))

    def _due_expire(self, whom: tuple[Peer, Suspicion]) -> None:
        if whom[0].suspicion is whom[1] and whom[0].present:
            self._mark_gone(whom[0], self.now, "no answer")

    def _time_factor(self) -> float:
        return 1.0

    def after_stall(self) -> None: ...


MADE = {"all": AllToAll, "swim": Swim, "opalwick": Members}
DAYS = {
    "calm": "",
    "crash": '{ kind = "lost", at = "8 s", lasts = "14 s", of = ["s3"] }',
    "loss 20%": '{ kind = "loss", at = "5 s", lasts = "25 s", part = 1.0, size = 0.2 }',
    "pauses 1.9 s": '{ kind = "stop", at = "8 s", lasts = "1900 ms", part = 0.3 }',
    "stops of 3 s": '{ kind = "stop", at = "8 s", lasts = "3 s", part = 0.3 }',
    "starved": '{ kind = "starve", at = "8 s", lasts = "12 s", part = 0.2, size = 20.0 }',
    "deaf": '{ kind = "deaf", at = "8 s", lasts = "10 s", of = ["s2"] }',
    "one way": '{ kind = "one_way", at = "8 s", lasts = "10 s", of = ["s2"], to = ["s3"] }',
    "halves": '{ kind = "sides", at = "8 s", lasts = "8 s", size = 2.0 }',
}


def run(task: tuple[str, str, int, int]) -> dict[str, Any]:
    who, name, members, seed = task
    agent.Members = MADE[who]  # type: ignore[misc]
    text = (
        f'title = "m"\nlength = "30 s"\nmembers = {members}\nworkers = 2\nparts = ["members"]\n'
        f"load = {{ rate = 0.001, most = 0 }}\nfaults = [{DAYS[name]}]\n"
    )
    found = judge({**play(parse(text, "m"), seed, process=AgentOnly), "rows": []})
    broken = Counter(one["property"] for one in found["broken"])
    return {
        "members": members,
        "who": who,
        "day": name,
        "seed": seed,
        "detect_s": found["detect_s"],
        "false_dead": found["false_dead"],
        "bytes_s": found["bytes_s"],
        "broken": dict(broken),
    }


if __name__ == "__main__":
    count = int(sys.argv[1]) if len(sys.argv) > 1 else 40
    with ProcessPoolExecutor() as pool:
        for done in pool.map(run, [(who, name, count, 1) for name in DAYS for who in MADE]):
            print(json.dumps(done), flush=True)
