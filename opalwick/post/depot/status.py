"""What a depot tells operators: what it keeps, for whom, whom it hears, and its dead messages."""

from __future__ import annotations

import base64
import math
import time
from typing import Any

from opalwick.post.counter.routes import Routes
from opalwick.post.depot.disk import Row
from opalwick.post.depot.keeping import LAPSE
from opalwick.post.depot.records import Entry
from opalwick.post.depot.role import Depot
from opalwick.post.home.audit import rows as rows_of
from opalwick.post.home.audit import signed
from opalwick.post.names import message_id
from opalwick.post.wire_pb2 import Letter, Route

NOW = frozenset(("pending", "ends", "settled"))
PAGE = 100  # dead messages of one answer
SCAN = 1000  # that are read for it at most
STEP = 50  # in one turn of the disk's thread: a millisecond that a batch waits


def status(role: Depot) -> dict[str, Any]:
    k, now = role.keeping, role.now
    waits = [entry for entry in k.entries.values() if not entry.owner]
    due = [now - entry.due for entry in k.entries.values() if entry.due <= now]
    return {
        "retiring": sorted(k.moving.retiring),
        "empty": k.moving.empty,
        "moving": len(k.moving.on_way),
        "disk": role.disk,
        "settled": k.settled,
        "leaving": k.leaving,
        "awaits": sorted(k.awaits),
        "unheard": sorted((k.expected or set()) - k.reported - set(k.peers)),
        "pending": len(k.entries),
        "ends": len(k.ends),
        "dead": sum(not end.complete for end in k.ends.values()),
        "octets": k.held,
        "room": int(k.room) if math.isfinite(k.room) else None,
        "disk_queue": len(role.queue),
        "owners": {
            who: {"messages": len(mids), "alive": k.alive(who)}
            for who, mids in sorted(k.owned.items())
            if mids
        },
        "waiting": len(waits),
        "waiting_due": sum(entry.due <= now for entry in waits),
        "oldest_due": max(due, default=0.0),
        "counters": [
            {
                "node": c.node,
                "life": c.life,
                "zone": c.zone,
                "age": now - c.heard_at,
                "linked": c.linked,
                "ready": c.ready,
                "leaving": c.leaving,
            }
            for c in k.counters.values()
        ],
        "peers": [
            {
                "node": node,
                "age": now - at,
                "settled": k.peers_settled.get(node, False),
                "hears": sum(now - heard < LAPSE for heard in k.peers_hear.get(node, {}).values()),
            }
            for node, at in sorted(k.peers.items())
        ],
    }


def home(role: Depot, look: Any) -> dict[str, Any]:
    """Where this process is, what its guard has seen, what it keeps by home, and the list on its disk."""
    kept: dict[str, int] = {}
    for entry in role.keeping.entries.values():
        if entry.home:
            kept[entry.home] = kept.get(entry.home, 0) + 1
    return role.guard.status() | {"kept": kept, "list": signed(look(lambda disk: rows_of(disk.db)))}


# ---- one message


def why(role: Depot, entry: Entry) -> str:
    """Why it has not ended, as this depot sees it."""
    k = role.keeping
    if entry.owner:
        if not k.alive(entry.owner):
            return f"{entry.owner} delivers it, and no depot hears it any more: it is assigned anew next"
        if entry.asked_at:
            return f"it was assigned to {entry.owner}, which has not said that it has it"
        return f"{entry.owner} delivers it: ask there"
    if entry.due > role.now:
        return f"it is due in {entry.due - role.now:.2f} s"
    if not k.acts(entry):
        first = next((h for h in entry.holders if h != role.node), "")
        return f"{first} keeps it too, stands before this depot and assigns it"
    if k.leaving:
        return "this depot is to end: the next one assigns it"
    if not k.settled:
        return "this depot has just started and still hears what happened meanwhile"
    if not k.takers():
        return "no counter is ready and heard here"
    return "it is assigned next"


def message(role: Depot, name: str) -> dict[str, Any] | None:
    k, mid = role.keeping, message_id(name)
    if (end := k.ends.get(mid)) is not None:
        return {
            "id": mid,
            "state": "complete" if end.complete else "dead",
            "seal": end.seal,
            "told_for": end.until - role.now,
            "why": "it has ended",
        }
    if (entry := k.entries.get(mid)) is None:
        return None
    return {
        "id": mid,
        "state": "pending",
        "why": why(role, entry),
        "owner": entry.owner,
        "claim": entry.claim,
        "depots": list(entry.holders),
        "acts": k.acts(entry),
        "fails": entry.fails,
        "lost": entry.lost,
        "octets": entry.size,
        "home": entry.home,
        "due_in": entry.due - role.now,
        "until_in": entry.until - role.now,
    }


# ---- dead messages; what `look` runs is in the disk's thread


def rows(disk: Any, mids: list[str]) -> list[Row]:
    read = f"select {', '.join(Row._fields)} from letters where mid = ?"
    found = (disk.db.execute(read, (mid,)).fetchone() for mid in mids)
    return [Row._make(row) for row in found if row is not None]


def routed(role: Depot, letter: Letter) -> Route | None:
    conf = role.directory.conf
    if conf is None:
        return None
    return Routes(conf).find(letter.host.decode("latin-1"), letter.target.decode("latin-1"))


def cause(row: Row, route: Route | None) -> str:
    """As far as it can be told from what is kept."""
    if route is None:
        return "no route takes it any more"
    may = ["refused for good (422)"]
    if row.fails + 1 >= route.tries:  # the last failure is told with the end alone
        may.insert(0, f"its attempt {route.tries} of {route.tries} failed")
    if row.until <= time.time():
        may.append("its time ran out")
    return ", or ".join(may)


def summary(role: Depot, row: Row) -> dict[str, Any]:
    letter = Letter.FromString(row.letter)
    route = routed(role, letter)
    return {
        "id": row.mid,
        "rid": letter.rid,
        "route": route.name if route is not None else "",
        "host": letter.host.decode("latin-1"),
        "target": letter.target.decode("latin-1"),
        "octets": len(letter.body),
        "fails": row.fails,
        "lost": row.lost,
        "cause": cause(row, route),
        "told_for": role.keeping.ends[row.mid].until - role.now if row.mid in role.keeping.ends else 0.0,
    }


def dead(role: Depot, look: Any, route: str = "", after: str = "") -> dict[str, Any]:
    """Those of a route (of all, where none is named), by id, after that one. `more`: there may be further
    ones after `last`."""
    names = sorted(mid for mid, end in role.keeping.ends.items() if not end.complete and mid > after)
    found: list[dict[str, Any]] = []
    last, read = after, 0
    while read < min(len(names), SCAN) and len(found) < PAGE:
        part = names[read : read + STEP]
        here = {row.mid: row for row in look(lambda disk, part=part: rows(disk, part))}
        for mid in part:
            if len(found) >= PAGE:
                break
            read, last = read + 1, mid
            if mid in here:  # what it never had is dead here too, but without octets
                one = summary(role, here[mid])
                if not route or one["route"] == route:
                    found.append(one)
    return {"node": role.node, "dead": found, "last": last, "more": read < len(names)}


def dead_one(role: Depot, look: Any, name: str) -> dict[str, Any] | None:
    mid = message_id(name)
    end = role.keeping.ends.get(mid)
    if end is None or end.complete or not (found := look(lambda disk: rows(disk, [mid]))):
        return None
    letter = Letter.FromString(found[0].letter)
    return summary(role, found[0]) | {
        "node": role.node,
        "method": letter.method.decode("latin-1"),
        "conf": letter.gen,
        "depots": found[0].holders.split() or list(letter.holders),
        "fields": [[f.name.decode("latin-1"), f.value.decode("latin-1")] for f in letter.fields],
        "body": base64.b64encode(letter.body).decode(),
    }


# ---- figures


def metrics(role: Depot) -> list[Any]:
    k, now = role.keeping, role.now
    due = [entry.due for entry in k.entries.values() if entry.due <= now]
    return [
        (
            "oldest_due_seconds",
            False,
            "How long the message that is due longest has been.",
            [({}, now - min(due, default=now))],
        ),
        (
            "waiting_due",
            False,
            "Due, and nobody's to deliver.",
            [({}, sum(not entry.owner and entry.due <= now for entry in k.entries.values()))],
        ),
        (
            "dead_messages",
            False,
            "Ended without a success, and still told.",
            [({}, sum(not end.complete for end in k.ends.values()))],
        ),
        ("kept_octets", False, "Of messages on the disk.", [({}, k.held)]),
        (
            "owned",
            False,
            "Messages that a counter's process delivers.",
            [({"owner": who}, len(mids)) for who, mids in sorted(k.owned.items()) if mids],
        ),
        (
            "depot_heard",
            False,
            "Whether another depot was heard of late.",
            [({"node": node}, float(now - at < LAPSE)) for node, at in sorted(k.peers.items())],
        ),
    ]
