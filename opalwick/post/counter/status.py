"""What a counter tells operators: its desks, its ceilings, what it holds, and why a message waits."""

from __future__ import annotations

from typing import Any

from opalwick.interface import Phase
from opalwick.post.counter.ceilings import MAX_SAVED
from opalwick.post.counter.desks import Dispatcher
from opalwick.post.counter.item import Item
from opalwick.post.counter.role import HELD_MEMORY_SHARE, Gateway
from opalwick.post.names import kept_by
from opalwick.post.operators import elapsed

# figures that tell of now; all others count since the start
NOW = frozenset(("held", "ending", "duties"))


def unready(role: Gateway) -> list[str]:
    """Why it says that it is not ready; nothing where it is."""
    why, able = [], len(role.intake.able())
    if role.leaving:
        why.append("it is to end")
    if role.rounds.routes is None:
        why.append("it has no configuration yet")
    elif not role.confirmed:
        why.append("no office that hears the primary has confirmed its configuration in this life")
    if able < role.replica_count:
        why.append(f"{able} depots take messages, {role.replica_count} are needed")
    return why


def worker_state(worker: Any, now: float) -> str:
    if worker.phase is not Phase.READY:
        return str(worker.phase.name.lower())
    if worker.ejected_until > now:
        return "silent"  # and tried again then
    return "rests" if worker.backoff_until > now else "ready"


def desk_status(desk: Dispatcher, now: float) -> dict[str, Any]:
    balancer, items = desk.reducer.balancer, desk.reducer.items
    zones = {number: zone for zone, number in desk.zones.items()}
    return {
        "rate": desk.service.rate,
        "dedup": desk.service.dedup,
        "static": desk.service.static,
        "workers": [
            {
                "id": id,
                "zone": zones.get(w.zone, ""),
                "state": worker_state(w, now),
                "held": w.outstanding,
                "limit": w.limit,
                "slots": w.slots,
                "pace": w.pace,
                "others": w.others,
            }
            for id, w in desk.reducer.workers.items()
            if w.phase is not Phase.GONE or w.outstanding
        ],
        "queue": len(desk.permit_queue),
        "jobs": len(items),
        "out": sum(not ho.ended for wi in items.values() for ho in wi.attempts),
        "blocks": len({id(wi.block) for wi in items.values() if wi.block is not None}),
        "firsts": balancer.first_attempts,
        "copies": balancer.hedges,
        "cancels": getattr(desk, "cancels", None),
    }


def ceiling_status(role: Gateway, svc: str) -> dict[str, Any]:
    c, held = role.ceilings, role.ceilings.current_lease(svc)
    found: dict[str, Any] = {
        "rate": c.rates[svc],
        "holder": c.holders.get(svc, ""),
        "here": held is not None,
        "wants": c.waiting.get(svc, 0),
    }
    if held is not None:
        found |= {
            "tokens": min(MAX_SAVED, held.tokens + (c.now - held.refilled_at) * held.rate),
            "until": held.expires_at - c.now,
        }
    return found


def status(role: Gateway) -> dict[str, Any]:
    r, why = role.rounds, unready(role)
    missing: dict[str, int] = {}
    for untold in r.unconfirmed_ends.values():
        for node in untold.missing:
            missing[node] = missing.get(node, 0) + 1
    return {
        "ready": not why,
        "why_not": why,
        "conf": r.routes.gen if r.routes is not None else 0,
        "confirmed": role.confirmed,
        "leaving": role.leaving,
        "depots": [
            {
                "node": d.node,
                "zone": d.zone,
                "age": role.now - d.heard_at,
                "leaving": d.leaving,
                "heard_here": elapsed(role.now, role.confirmed_receipt.get(d.node)),
                "sure": d.node in role.confirmed_owners,
            }
            for d in role.intake.depots.values()
        ],
        "keeping": len(role.intake.waits),
        "held": r.held(),
        "held_octets": role.held_bytes,
        "parks_over": HELD_MEMORY_SHARE * role.settings.mem_mb * 1e6,
        "oldest_due": max((0.0, *(role.now - item.first_due_at for item in r.items.values()))),
        "ends": {
            "waiting": len(r.unconfirmed_ends),
            "missing": missing,
            "oldest": max((role.now - untold.since for untold in r.unconfirmed_ends.values()), default=0.0),
        },
        "desks": {
            name.replace("\x1f", " at "): desk_status(desk, role.now)
            for name, desk in sorted(r.dispatchers.items())
        },
        "ceilings": {svc: ceiling_status(role, svc) for svc in sorted(role.ceilings.rates)},
    }


def home(role: Gateway, look: Any) -> dict[str, Any]:
    """Where this process is, what its guard has seen, and what waits here of partners at home."""
    waiting: dict[str, dict[str, Any]] = {}
    for item in role.rounds.items.values():
        if item.message.home:
            one = waiting.setdefault(
                role.rounds.partner_of(item),
                {"home": item.message.home, "held": 0, "out": 0, "shelved": 0, "oldest_due": 0.0},
            )
            one["held"] += 1
            one["out"] += bool(item.in_flight)
            one["shelved"] += item.queued and item.dispatcher_name in role.rounds.residency_queues
            one["oldest_due"] = max(one["oldest_due"], role.now - item.first_due_at)
    return role.guard.status() | {
        "partners": waiting,
        "sent_home": role.rejected_other_country,
        "short": role.rejected_no_capacity,
        "would_wait": {name: role.short.wait(name, role.now) for name in sorted(role.short.waiting)},
    }


# ---- one message


def why(role: Gateway, item: Item) -> str:
    """Why it has not ended, as this counter sees it."""
    r, now = role.rounds, role.now
    if item.in_flight:
        return "a delivery is on its way: its end is awaited"
    if item.expires_at <= now:
        return "its time is over: it ends with the next look"
    if item.reassigned:
        return "its depots have given it to another counter"
    if r.routes is None or r.routes.gen < item.message.gen:
        return f"configuration {item.message.gen}, by which it was taken, is not here yet"
    if not role.may_send(item):
        late = [node for node in item.replicas if not role.fresh(node)]
        unsure = [node for node in item.replicas if role.fresh(node) and node not in role.confirmed_owners]
        if unsure:
            return f"{', '.join(unsure)} must say first that it is still this counter's"
        return f"none of its depots ({', '.join(late)}) has proved of late that it hears this counter"
    if item.queued and item.dispatcher_name in r.residency_queues:
        others = len(r.residency_queues[item.dispatcher_name]) - 1
        return f"it waits for room at a worker in {item.message.home}, with {others} others"
    if item.queued:
        holder = role.ceilings.holders.get(item.dispatcher_name, "")
        return f"it waits for a permit of the ceiling of {item.dispatcher_name}, held by {holder or 'nobody known'}"
    if item.scheduled:
        at = next((at for at, _, other in r.schedule if other is item), now)
        tried = f"after {item.fails} failed, {item.lost} unknown, {item.rejections} turned away in a row"
        return f"its next attempt is due in {max(0.0, at - now):.2f} s, {tried}"
    desk = r.dispatchers.get(item.dispatcher_name)
    if desk is None:
        return f"no service {item.dispatcher_name!r} is known here"
    open_ = sum(worker_state(w, now) == "ready" for w in desk.reducer.workers.values())
    svc = item.dispatcher_name.replace("\x1f", " at ")
    return f"it waits at the desk of {svc}: none of its {open_} workers in use has room"


def workers(role: Gateway, item: Item) -> list[dict[str, Any]]:
    """Where it is on its way to."""
    desk = role.rounds.dispatchers.get(item.dispatcher_name)
    wi = desk.reducer.items.get((item.mid, item.attempt)) if desk is not None else None
    if desk is None or wi is None:
        return []
    return [
        {
            "worker": desk.reducer.names.get(ho.worker),
            "copy": ho.hedge,
            "age": role.now - item.in_flight[ho.number],
        }
        for ho in wi.attempts
        if ho.number in item.in_flight
    ]


def message(role: Gateway, name: str) -> dict[str, Any] | None:
    """By its name, or by its request id while it is held here."""
    r, mid = role.rounds, kept_by(name)
    if (wait := role.intake.waits.get(mid)) is not None:
        return {
            "id": mid,
            "state": "being kept",
            "asked": wait.asked,
            "kept": wait.kept,
            "why": f"{len(wait.kept)} of {role.replica_count} depots have it on their disks",
        }
    item = r.items.get(mid) or next((i for i in r.items.values() if i.message.rid == name), None)
    if item is not None:
        letter = item.message
        return {
            "id": item.mid,
            "rid": letter.rid,
            "state": "held",
            "why": why(role, item),
            "route": item.route.name if item.route is not None else "",
            "svc": item.dispatcher_name,
            "host": letter.host.decode("latin-1"),
            "target": letter.target.decode("latin-1"),
            "octets": len(letter.body),
            "depots": list(item.replicas),
            "claim": item.claim,
            "home": letter.home,
            "home_gen": letter.home_gen,
            "attempts": item.attempt,
            "fails": item.fails,
            "lost": item.lost,
            "turned_away": item.rejections,
            "due_in": item.first_due_at - role.now,
            "until_in": item.expires_at - role.now,
            "out": workers(role, item),
        }
    if mid in r.unconfirmed_ends:
        end, nodes, at = r.unconfirmed_ends[mid]
        return {
            "id": mid,
            "state": "complete" if end.complete else "dead",
            "seal": end.seal,
            "ended": role.now - at,
            "why": f"its end is not on the disks of {', '.join(sorted(nodes))}",
        }
    if mid in r.remembered_ends:
        ended, said = r.remembered_ends[mid]
        state = "ended" if said is None else "complete" if said.complete else "dead"
        return {"id": mid, "state": state, "ended": role.now - ended, "why": "it has ended"}
    return None


# ---- figures


def metrics(role: Gateway) -> list[Any]:
    c, mine = role.ceilings, {}
    desks = [(name.replace("\x1f", " at "), desk) for name, desk in sorted(role.rounds.dispatchers.items())]
    for name, desk in desks:
        states: dict[str, int] = {}
        for worker in desk.reducer.workers.values():
            if worker.phase is not Phase.GONE:
                state = worker_state(worker, role.now)
                states[state] = states.get(state, 0) + 1
        mine[name] = states
    return [
        ("ready", False, "Whether it takes clients.", [({}, float(not unready(role)))]),
        (
            "configuration",
            False,
            "The number that it works by.",
            [({}, role.rounds.routes.gen if role.rounds.routes is not None else 0)],
        ),
        (
            "workers",
            False,
            "Of a service, by what they are taken for.",
            [
                ({"service": name, "state": state}, count)
                for name, states in mine.items()
                for state, count in sorted(states.items())
            ],
        ),
        (
            "desk_queue",
            False,
            "Messages that wait for a permit.",
            [({"service": name}, len(desk.permit_queue)) for name, desk in desks],
        ),
        (
            "desk_jobs",
            False,
            "Messages at the desk.",
            [({"service": name}, len(desk.reducer.items)) for name, desk in desks],
        ),
        (
            "desk_first_sends",
            True,
            "Since its start.",
            [({"service": name}, desk.reducer.balancer.first_attempts) for name, desk in desks],
        ),
        (
            "desk_copies",
            True,
            "Since its start.",
            [({"service": name}, desk.reducer.balancer.hedges) for name, desk in desks],
        ),
        (
            "ceiling_held",
            False,
            "Whether this counter hands out its permits.",
            [({"service": svc}, float(c.current_lease(svc) is not None)) for svc in sorted(c.rates)],
        ),
    ]
