"""What a message's name costs: time to make, read and refuse one; octets on a store's disk and in a word.

python bench/message_names.py        # the last line is one JSON object
"""

from __future__ import annotations

import json
import os
import sys
import tempfile
import timeit
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parents[1]))

from opalwick.post.names import NameGenerator, complete_name, parse_name
from opalwick.post.store.disk import Disk
from opalwick.post.wire_pb2 import Envelope, Kept, Letter

ROUNDS = 50_000
RECORDS = 20_000
BODY = 600  # octets of a small message
HOST = "lode17.example"
REQUEST = "9c41d07be2a35f68"
EARLIER = "11mfsdg.mtxd9fus."  # what names inside began with in the version before
STORES = ("disk-maipu-1", "disk-quilicura-1")


def microseconds(work: object) -> float:
    """Of one call, the best of five series."""
    return round(min(timeit.repeat(work, number=ROUNDS, repeat=5)) / ROUNDS * 1e6, 2)  # type: ignore[arg-type]


def octets_on_disk(names: list[str]) -> float:
    """Of one message, as the database's file has it."""
    with tempfile.TemporaryDirectory() as folder:
        disk = Disk(folder)
        for at in range(0, len(names), 500):
            part = names[at : at + 500]
            letters = [(name, Letter(mid=name, rid=REQUEST, body=bytes(BODY))) for name in part]
            disk.commit([("keep", (name, one.SerializeToString(), 0.0, 9e9, 0, 0)) for name, one in letters])
        disk.db.execute("pragma wal_checkpoint(truncate)")
        kept = os.path.getsize(disk.path)
        disk.close()
    return round(kept / len(names), 1)


def main() -> None:
    given = NameGenerator("edge-quilicura-1", 1_796_224_016_390, os.urandom)
    name = complete_name(given.begin_name(40_000), STORES, HOST)
    new = [complete_name(given.begin_name(n), STORES, HOST) for n in range(RECORDS)]
    old = [EARLIER + str(n) for n in range(RECORDS)]
    word = [len(Envelope(kept=Kept(mid=mid)).SerializeToString()) for mid in (name, old[-1])]
    print(
        json.dumps(
            {
                "letters": len(name),
                "make_us": microseconds(lambda: complete_name(given.begin_name(40_000), STORES, HOST)),
                "read_us": microseconds(lambda: parse_name(name, HOST)),
                "refuse_us": microseconds(lambda: parse_name(name + "x", HOST)),
                "octets_of_a_word": word[0],
                "octets_of_a_word_before": word[1],
                "octets_on_disk": octets_on_disk(new),
                "octets_on_disk_before": octets_on_disk(old),
            }
        )
    )


if __name__ == "__main__":
    main()
