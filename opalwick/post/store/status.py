"""Reports for operators: what a store has and for whom, its links, and its dead messages."""

from __future__ import annotations

import base64
import math
import time
from typing import Any

from opalwick.post.gateway.routes import Routes
from opalwick.post.store.disk import Row
from opalwick.post.store.gateway_leases import LAPSE
from opalwick.post.store.records import Entry
from opalwick.post.store.role import StoreRole
from opalwick.post.residency.audit import rows as rows_of
from opalwick.post.residency.audit import with_digest
from opalwick.post.names import message_id
from opalwick.post.wire_pb2 import Letter, Route

NOW = frozenset(
    ("pending", "ends", "settled", "to_copy", "oldest_copy", "thin", "surplus", "missing", "learner")
)
PAGE = 100  # dead messages in one answer at most
MAX_READ = 1000  # dead messages read for one answer at most
READ_STEP = 50  # read in one turn of the disk's thread: delays a batch by a millisecond


def status(role: StoreRole) -> dict[str, Any]:
    """The answer to a request for the store's status."""
    store, now = role.store, role.now
    unowned = [entry for entry in store.entries.values() if not entry.owner]
    due = [now - entry.due for entry in store.entries.values() if entry.due <= now]
    lost = store.rebalancing.lost_stores()
    counts = store.rebalancing.replica_counts(lost)
    return {
        "retiring": sorted(store.rebalancing.retiring),
        "empty": store.rebalancing.empty,
        "moving": len(store.rebalancing.moves) + len(store.rebalancing.end_moves),
        "lost": sorted(lost),
        # by the number of replicas that are left on other than lost or retiring stores
        "thin": {str(left): count for left, count in sorted(counts.items())},
        **store.repair_figures(),
        "disk": role.disk,
        "settled": store.settled,
        "leaving": store.leaving,
        "awaits": sorted(store.comparison.awaited),
        "unheard": sorted((store.expected or set()) - store.reported - set(store.peers)),
        "pending": len(store.entries),
        "ends": len(store.ends),
        "dead": sum(not end.complete for end in store.ends.values()),
        "octets": store.stored_bytes,
        "room": int(store.room) if math.isfinite(store.room) else None,
        "disk_queue": len(role.queue),
        "owners": {
            who: {"messages": len(mids), "alive": store.alive(who)}
            for who, mids in sorted(store.owned.items())
            if mids
        },
        "waiting": len(unowned),
        "waiting_due": sum(entry.due <= now for entry in unowned),
        "oldest_due": max(due, default=0.0),
        "counters": [
            {
                "node": c.node,
                "life": c.incarnation,
                "zone": c.zone,
                "age": now - c.last_seen,
                "linked": c.linked,
                "ready": c.ready,
                "leaving": c.leaving,
            }
            for c in store.gateways.values()
        ],
        "peers": [
            {
                "node": node,
                "age": now - at,
                "settled": store.peers_settled.get(node, False),
                "hears": sum(now - heard < LAPSE for heard in store.peer_reports.get(node, {}).values()),
            }
            for node, at in sorted(store.peers.items())
        ],
    }


def home(role: StoreRole, look: Any) -> dict[str, Any]:
    """The data residency report: this process's country, the guard's counts, stored messages by home, and the
    audit list of its disk.
    """
    kept: dict[str, int] = {}
    for entry in role.store.entries.values():
        if entry.home:
            kept[entry.home] = kept.get(entry.home, 0) + 1
    return role.guard.status() | {"kept": kept, "list": with_digest(look(lambda disk: rows_of(disk.db)))}


# ---- one message


def why(role: StoreRole, entry: Entry) -> str:
    """Why the message has not ended, as far as this store can say."""
    store = role.store
    if entry.owner:
        if not store.alive(entry.owner):
            return (
                f"{entry.owner} delivers it, but no store receives its heartbeats: it is assigned again next"
            )
        if entry.assigned_at:
            return f"it was assigned to {entry.owner}, which has not acknowledged it yet"
        return f"{entry.owner} delivers it: ask there"
    if entry.due > role.now:
        return f"it is due in {entry.due - role.now:.2f} s"
    if not store.is_acting(entry):
        first = next((h for h in entry.replicas if h != role.node), "")
        return f"{first} has it too, comes before this store in its list of replicas and assigns it"
    if store.leaving:
        return "this store is shutting down: the next replica assigns it"
    if not store.settled:
        return "this store has just started and is still comparing its state with the other stores"
    if not store.candidates():
        return "no gateway is ready and in contact with this store"
    return "it is assigned next"


def message(role: StoreRole, name: str) -> dict[str, Any] | None:
    """The report on one message by its name; None: it is not here."""
    store, mid = role.store, message_id(name)
    if (end := store.ends.get(mid)) is not None:
        return {
            "id": mid,
            "state": "complete" if end.complete else "dead",
            "seal": end.seal,
            "told_for": end.until - role.now,
            "why": "it has ended",
        }
    if (entry := store.entries.get(mid)) is None:
        return None
    return {
        "id": mid,
        "state": "pending",
        "why": why(role, entry),
        "owner": entry.owner,
        "claim": entry.claim,
        "depots": list(entry.replicas),
        "acts": store.is_acting(entry),
        "fails": entry.fails,
        "lost": entry.lost,
        "octets": entry.size,
        "home": entry.home,
        "due_in": entry.due - role.now,
        "until_in": entry.until - role.now,
    }


# ---- dead messages; functions that are passed to `look` run in the disk's thread


def rows(disk: Any, mids: list[str]) -> list[Row]:
    """The rows of these messages; those that are not on the disk are left out."""
    read = f"select {', '.join(Row._fields)} from letters where mid = ?"
    found = (disk.db.execute(read, (mid,)).fetchone() for mid in mids)
    return [Row._make(row) for row in found if row is not None]


def route_of(role: StoreRole, message: Letter) -> Route | None:
    """The route that the message would take by the present configuration."""
    conf = role.directory.conf
    if conf is None:
        return None
    return Routes(conf).find(message.host.decode("latin-1"), message.target.decode("latin-1"))


def cause(row: Row, route: Route | None) -> str:
    """Why the message is dead, as far as its row shows it."""
    if route is None:
        return "no route takes it any more"
    causes = ["refused for good (422)"]
    if row.fails + 1 >= route.tries:  # the last failure is only in the end, not counted in the row
        causes.insert(0, f"its attempt {route.tries} of {route.tries} failed")
    if row.until <= time.time():
        causes.append("its time ran out")
    return ", or ".join(causes)


def summary(role: StoreRole, row: Row) -> dict[str, Any]:
    """The report on one dead message, without its body."""
    message = Letter.FromString(row.letter)
    route = route_of(role, message)
    return {
        "id": row.mid,
        "rid": message.rid,
        "route": route.name if route is not None else "",
        "host": message.host.decode("latin-1"),
        "target": message.target.decode("latin-1"),
        "octets": len(message.body),
        "fails": row.fails,
        "lost": row.lost,
        "cause": cause(row, route),
        "told_for": role.store.ends[row.mid].until - role.now if row.mid in role.store.ends else 0.0,
    }


def dead(role: StoreRole, look: Any, route: str = "", after: str = "") -> dict[str, Any]:
    """Dead messages of a route (empty: of all routes), by id, after the id `after`. `more`: there may be
    further ones after `last`.
    """
    names = sorted(mid for mid, end in role.store.ends.items() if not end.complete and mid > after)
    found: list[dict[str, Any]] = []
    last, read = after, 0
    while read < min(len(names), MAX_READ) and len(found) < PAGE:
        part = names[read : read + READ_STEP]
        here = {row.mid: row for row in look(lambda disk, part=part: rows(disk, part))}
        for mid in part:
            if len(found) >= PAGE:
                break
            read, last = read + 1, mid
            if mid in here:  # a message that was never here can be dead here too, without bytes
                one = summary(role, here[mid])
                if not route or one["route"] == route:
                    found.append(one)
    return {"node": role.node, "dead": found, "last": last, "more": read < len(names)}


def dead_one(role: StoreRole, look: Any, name: str) -> dict[str, Any] | None:
    """The report on one dead message with its fields and body; None: it is not here or not dead."""
    mid = message_id(name)
    end = role.store.ends.get(mid)
    if end is None or end.complete or not (found := look(lambda disk: rows(disk, [mid]))):
        return None
    message = Letter.FromString(found[0].letter)
    return summary(role, found[0]) | {
        "node": role.node,
        "method": message.method.decode("latin-1"),
        "conf": message.gen,
        "depots": found[0].holders.split() or list(message.holders),
        "fields": [[f.name.decode("latin-1"), f.value.decode("latin-1")] for f in message.fields],
        "body": base64.b64encode(message.body).decode(),
    }


# ---- metrics


def metrics(role: StoreRole) -> list[Any]:
    """The store's metrics: name, whether the value only grows, help text, and samples (labels, value)."""
    store, now = role.store, role.now
    due = [entry.due for entry in store.entries.values() if entry.due <= now]
    return [
        (
            "oldest_due_seconds",
            False,
            "Seconds since the message that has been due longest became due.",
            [({}, now - min(due, default=now))],
        ),
        (
            "waiting_due",
            False,
            "Messages that are due and have no owner.",
            [({}, sum(not entry.owner and entry.due <= now for entry in store.entries.values()))],
        ),
        (
            "dead_messages",
            False,
            "Messages that ended without a success and are still on record.",
            [({}, sum(not end.complete for end in store.ends.values()))],
        ),
        ("kept_octets", False, "Bytes of the messages on the disk.", [({}, store.stored_bytes)]),
        (
            "owned",
            False,
            "Messages that a gateway process delivers.",
            [({"owner": who}, len(mids)) for who, mids in sorted(store.owned.items()) if mids],
        ),
        (
            "depot_heard",
            False,
            "Whether a heartbeat of another store was received recently.",
            [({"node": node}, float(now - at < LAPSE)) for node, at in sorted(store.peers.items())],
        ),
    ]
