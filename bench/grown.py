"""What a counter, a depot and an office say and spend against the number of counters, on the lab's virtual
clock, on a calm day with the same traffic for each counter. Prints one JSON line for each number.

python bench/grown.py [COUNTERS ...]
"""

from __future__ import annotations

import json
import sys
import time
from collections import Counter
from typing import Any

from opalwick.lab.post.day import Service, parse
from opalwick.lab.post.net import End
from opalwick.lab.post.process import Proc
from opalwick.lab.post.run import play

SPAN = 4.0  # s of traffic
EACH = 4.0  # messages a second for each counter
DAY = """title = "calm"
length = "{span} s"
after = "2 s"
counters = {counters}
depots = {depots}
offices = 8
zones = ["a", "b", "c", "d"]
rate = {rate}
asks = 0.0
delayed = 0.0
poison = 0.0
"""


def measure(counters: int, each_s: float = EACH) -> dict[str, Any]:
    """`each_s`: messages a second for each counter."""
    depots = max(8, min(18, counters // 3))
    day = parse(DAY.format(span=SPAN, counters=counters, depots=depots, rate=each_s * counters), "day")
    day.services = [Service(name="plain", workers=max(4, counters // 4), slots=6)]
    words, octets, spent, base = Counter[str](), Counter[str](), Counter[str](), 1.0
    say, guarded = End.send, Proc.guarded

    def counted(self: End, kind: str, word: Any) -> None:
        if self.net.agenda.now > base:
            role = self.role.role
            words[role] += 1
            words[f"{role} {kind}"] += 1
            octets[role] += word.ByteSize() + 4
        say(self, kind, word)

    def timed(self: Proc, hear: Any, *told: Any) -> None:
        began = time.thread_time()
        guarded(self, hear, *told)
        if self.agenda.now > base:
            spent[self.role.role] += time.thread_time() - began

    End.send, Proc.guarded = counted, timed  # type: ignore[method-assign]
    try:
        world = play(day, 1)
    finally:
        End.send, Proc.guarded = say, guarded  # type: ignore[method-assign]
    span = world.agenda.now - base
    there = {"counter": counters, "depot": depots, "office": 8}
    each = {role: 1.0 / count / span for role, count in there.items()}
    return {
        "counters": counters,
        "depots": depots,
        "offices": 8,
        "words_a_second": {role: round(words[role] * part, 1) for role, part in each.items()},
        "octets_a_second": {role: round(octets[role] * part) for role, part in each.items()},
        "cpu_ms_a_second": {role: round(1000 * spent[role] * part, 2) for role, part in each.items()},
        "most": {
            kind: round(count * each[kind.split()[0]], 1)
            for kind, count in words.most_common(24)
            if " " in kind
        },
    }


if __name__ == "__main__":
    for number in [int(text) for text in sys.argv[1:]] or [8, 16, 32, 64]:
        print(json.dumps(measure(number)), flush=True)
