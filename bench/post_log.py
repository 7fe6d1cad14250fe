"""What an event costs: microseconds and octets, written, passed over, and as figures. Prints one JSON line.

python bench/post_log.py [TIMES]
"""

from __future__ import annotations

import io
import json
import sys
import time

import eliot

from opalwick.post import events


def cost(times: int, most: int, number: int, **fields: object) -> tuple[float, float]:
    """Microseconds an event, and octets a line that was written."""
    events.MAX_PER_SECOND, out = most, io.StringIO()
    events._written.clear()
    to = eliot.FileDestination(file=out)
    eliot.add_destinations(to)
    began = time.perf_counter()
    for _ in range(times):
        events.emit(number, **fields)
    spent = time.perf_counter() - began
    eliot.remove_destination(to)
    lines = out.getvalue().splitlines()
    return 1e6 * spent / times, sum(map(len, lines)) / max(1, len(lines))


def main() -> None:
    times = int(sys.argv[1]) if len(sys.argv) > 1 else 20000
    figures = {f"figure_{i}": i * 1000 for i in range(30)}
    cost(1000, times, 205, gen=7, epoch=3)  # warms up
    small, octets = cost(times, 10 * times, 205, gen=7, epoch=3)
    large, more = cost(times, 10 * times, 903, **figures)
    over, _ = cost(times, 0, 205, gen=7, epoch=3)
    print(
        json.dumps(
            {
                "events": times,
                "written_us": round(small, 1),
                "written_octets": round(octets),
                "figures_us": round(large, 1),
                "figures_octets": round(more),
                "passed_over_us": round(over, 2),
            }
        )
    )


if __name__ == "__main__":
    main()
