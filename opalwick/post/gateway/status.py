"""Status of a gateway for operators: dispatchers, rate limits, held messages and why they wait; metrics."""

from __future__ import annotations

from typing import Any

from opalwick.interface import Phase
from opalwick.post.gateway.rate_limits import MAX_SAVED
from opalwick.post.gateway.dispatchers import Dispatcher
from opalwick.post.gateway.item import Item
from opalwick.post.gateway.admission import HELD_MEMORY_SHARE
from opalwick.post.gateway.role import Gateway
from opalwick.post.names import message_id
from opalwick.post.operators import elapsed

# figures that are current values; all others are counts since the start
NOW = frozenset(("held", "ending", "duties"))


def unready(role: Gateway) -> list[str]:
    """Reasons why the gateway is not ready; empty if it is."""
    reasons, able = [], len(role.intake.eligible())
    if role.leaving:
        reasons.append("it is shutting down")
    if role.rounds.routes is None:
        reasons.append("it has no configuration yet")
    elif not role.confirmed:
        reasons.append(
            "no controller in contact with the primary has confirmed its configuration since it started"
        )
    if able < role.replica_count:
        reasons.append(f"{able} stores accept messages, {role.replica_count} are needed")
    return reasons


def worker_state(worker: Any, now: float) -> str:
    """Whether a worker gets messages, and why not."""
    if worker.phase is not Phase.READY:
        return str(worker.phase.name.lower())
    if worker.ejected_until > now:
        return "silent"  # avoided until then
    return "rests" if worker.backoff_until > now else "ready"


def desk_status(dispatcher: Dispatcher, now: float) -> dict[str, Any]:
    """Status of a service's dispatcher ("desk" is the outer name)."""
    balancer, items = dispatcher.reducer.balancer, dispatcher.reducer.items
    zones = {number: zone for zone, number in dispatcher.zones.items()}
    return {
        "rate": dispatcher.service.rate,
        "dedup": dispatcher.service.dedup,
        "static": dispatcher.service.static,
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
            for id, w in dispatcher.reducer.workers.items()
            if w.phase is not Phase.GONE or w.outstanding
        ],
        "queue": len(dispatcher.permit_queue),
        "jobs": len(items),
        "out": sum(not attempt.ended for job in items.values() for attempt in job.attempts),
        "blocks": len({id(job.block) for job in items.values() if job.block is not None}),
        "firsts": balancer.first_attempts,
        "copies": balancer.hedges,
        "cancels": getattr(dispatcher, "cancels", None),
    }


def ceiling_status(role: Gateway, svc: str) -> dict[str, Any]:
    """Status of a service's rate limit ("ceiling" is the outer name); times in s."""
    limits, held = role.ceilings, role.ceilings.current_lease(svc)
    found: dict[str, Any] = {
        "rate": limits.rates[svc],
        "holder": limits.holders.get(svc, ""),
        "here": held is not None,
        "wants": limits.waiting.get(svc, 0),
    }
    if held is not None:
        found |= {
            "tokens": min(MAX_SAVED, held.tokens + (limits.now - held.refilled_at) * held.rate),
            "until": held.expires_at - limits.now,
        }
    return found


def status(role: Gateway) -> dict[str, Any]:
    """Status of the whole gateway; times in s."""
    rounds, reasons = role.rounds, unready(role)
    missing: dict[str, int] = {}
    for unsent in rounds.unconfirmed_ends.values():
        for node in unsent.missing:
            missing[node] = missing.get(node, 0) + 1
    return {
        "ready": not reasons,
        "why_not": reasons,
        "conf": rounds.routes.gen if rounds.routes is not None else 0,
        "confirmed": role.confirmed,
        "leaving": role.leaving,
        "depots": [
            {
                "node": d.node,
                "zone": d.zone,
                "age": role.now - d.last_heartbeat,
                "leaving": d.leaving,
                "heard_here": elapsed(role.now, role.confirmed_receipt.get(d.node)),
                "sure": d.node in role.confirmed_owners,
            }
            for d in role.intake.stores.values()
        ],
        "keeping": len(role.intake.pending),
        "held": rounds.held(),
        "held_octets": role.held_bytes,
        "parks_over": HELD_MEMORY_SHARE * role.settings.mem_mb * 1e6,
        "oldest_due": max((0.0, *(role.now - item.first_due_at for item in rounds.items.values()))),
        "ends": {
            "waiting": len(rounds.unconfirmed_ends),
            "missing": missing,
            "oldest": max(
                (role.now - unsent.since for unsent in rounds.unconfirmed_ends.values()), default=0.0
            ),
        },
        "desks": {
            name.replace("\x1f", " at "): desk_status(dispatcher, role.now)
            for name, dispatcher in sorted(rounds.dispatchers.items())
        },
        "ceilings": {svc: ceiling_status(role, svc) for svc in sorted(role.ceilings.rates)},
    }


def home(role: Gateway, look: Any) -> dict[str, Any]:
    """Data residency: where this process runs, the guard's counts, and messages that wait, by partner."""
    waiting: dict[str, dict[str, Any]] = {}
    for item in role.rounds.items.values():
        if item.message.home:
            entry = waiting.setdefault(
                role.rounds.partner_of(item),
                {"home": item.message.home, "held": 0, "out": 0, "shelved": 0, "oldest_due": 0.0},
            )
            entry["held"] += 1
            entry["out"] += bool(item.in_flight)
            entry["shelved"] += item.queued and item.dispatcher_name in role.rounds.residency_queues
            entry["oldest_due"] = max(entry["oldest_due"], role.now - item.first_due_at)
    return role.guard.status() | {
        "partners": waiting,
        "sent_home": role.rejected_other_country,
        "short": role.rejected_no_capacity,
        "would_wait": {name: role.short.wait(name, role.now) for name in sorted(role.short.waiting)},
    }


# ---- one message


def why(role: Gateway, item: Item) -> str:
    """Why a message has no outcome yet, as far as this gateway can tell."""
    rounds, now = role.rounds, role.now
    if item.in_flight:
        return "a delivery attempt is in progress"
    if item.expires_at <= now:
        return "its retention has expired: it will be dropped at the next check"
    if item.reassigned:
        return "its stores have assigned it to another gateway"
    if rounds.routes is None or rounds.routes.gen < item.message.gen:
        return f"configuration {item.message.gen}, under which it was accepted, has not been received yet"
    if not role.may_send(item):
        silent = [node for node in item.replicas if not role.fresh(node)]
        unsure = [node for node in item.replicas if role.fresh(node) and node not in role.confirmed_owners]
        if unsure:
            return f"{', '.join(unsure)} must first confirm that this gateway still owns it"
        return f"none of its stores ({', '.join(silent)}) has recently acknowledged this gateway's heartbeats"
    if item.queued and item.dispatcher_name in rounds.residency_queues:
        others = len(rounds.residency_queues[item.dispatcher_name]) - 1
        return f"it waits for a free worker in {item.message.home}, with {others} others"
    if item.queued:
        holder = role.ceilings.holders.get(item.dispatcher_name, "")
        return (
            f"waits for a permit of the rate limit of {item.dispatcher_name}, "
            f"held by {holder or 'an unknown gateway'}"
        )
    if item.scheduled:
        at = next((at for at, _, other in rounds.schedule if other is item), now)
        tried = (
            f"after {item.fails} failed, {item.lost} unknown, {item.rejections} rejected attempts in a row"
        )
        return f"its next attempt is due in {max(0.0, at - now):.2f} s, {tried}"
    dispatcher = rounds.dispatchers.get(item.dispatcher_name)
    if dispatcher is None:
        return f"service {item.dispatcher_name!r} is not configured"
    ready = sum(worker_state(w, now) == "ready" for w in dispatcher.reducer.workers.values())
    svc = item.dispatcher_name.replace("\x1f", " at ")
    return f"it waits for service {svc}: none of its {ready} ready workers has a free slot"


def workers(role: Gateway, item: Item) -> list[dict[str, Any]]:
    """Delivery attempts of the message in progress."""
    dispatcher = role.rounds.dispatchers.get(item.dispatcher_name)
    job = dispatcher.reducer.items.get((item.mid, item.attempt)) if dispatcher is not None else None
    if dispatcher is None or job is None:
        return []
    return [
        {
            "worker": dispatcher.reducer.names.get(attempt.worker),
            "copy": attempt.hedge,
            "age": role.now - item.in_flight[attempt.number],
        }
        for attempt in job.attempts
        if attempt.number in item.in_flight
    ]


def message(role: Gateway, name: str) -> dict[str, Any] | None:
    """Status of a message by its name, or by its request id while this gateway holds it; None if unknown."""
    rounds, mid = role.rounds, message_id(name)
    if (entry := role.intake.pending.get(mid)) is not None:
        return {
            "id": mid,
            "state": "being kept",
            "asked": entry.requested,
            "kept": entry.stored,
            "why": f"{len(entry.stored)} of {role.replica_count} stores have it on disk",
        }
    item = rounds.items.get(mid) or next((i for i in rounds.items.values() if i.message.rid == name), None)
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
    if mid in rounds.unconfirmed_ends:
        outcome, nodes, at = rounds.unconfirmed_ends[mid]
        return {
            "id": mid,
            "state": "complete" if outcome.complete else "dead",
            "seal": outcome.seal,
            "ended": role.now - at,
            "why": f"its outcome is not on disk yet at {', '.join(sorted(nodes))}",
        }
    if mid in rounds.remembered_ends:
        ended, outcome = rounds.remembered_ends[mid]
        state = "ended" if outcome is None else "complete" if outcome.complete else "dead"
        return {"id": mid, "state": state, "ended": role.now - ended, "why": "it has ended"}
    return None


# ---- figures


def metrics(role: Gateway) -> list[Any]:
    """Each metric's name, whether it is a counter, its help text, and its samples (labels, value)."""
    limits, states_of = role.ceilings, {}
    dispatchers = [
        (name.replace("\x1f", " at "), dispatcher)
        for name, dispatcher in sorted(role.rounds.dispatchers.items())
    ]
    for name, dispatcher in dispatchers:
        states: dict[str, int] = {}
        for worker in dispatcher.reducer.workers.values():
            if worker.phase is not Phase.GONE:
                state = worker_state(worker, role.now)
                states[state] = states.get(state, 0) + 1
        states_of[name] = states
    return [
        ("ready", False, "Whether it accepts messages from clients.", [({}, float(not unready(role)))]),
        (
            "configuration",
            False,
            "Generation of the configuration in use.",
            [({}, role.rounds.routes.gen if role.rounds.routes is not None else 0)],
        ),
        (
            "workers",
            False,
            "Workers of a service, by state.",
            [
                ({"service": name, "state": state}, count)
                for name, states in states_of.items()
                for state, count in sorted(states.items())
            ],
        ),
        (
            "desk_queue",
            False,
            "Messages that wait for a permit under the service's rate limit.",
            [({"service": name}, len(dispatcher.permit_queue)) for name, dispatcher in dispatchers],
        ),
        (
            "desk_jobs",
            False,
            "Messages at the dispatcher.",
            [({"service": name}, len(dispatcher.reducer.items)) for name, dispatcher in dispatchers],
        ),
        (
            "desk_first_sends",
            True,
            "First delivery attempts since the start.",
            [
                ({"service": name}, dispatcher.reducer.balancer.first_attempts)
                for name, dispatcher in dispatchers
            ],
        ),
        (
            "desk_copies",
            True,
            "Hedged delivery attempts since the start.",
            [({"service": name}, dispatcher.reducer.balancer.hedges) for name, dispatcher in dispatchers],
        ),
        (
            "ceiling_held",
            False,
            "Whether this gateway issues the permits of the service's rate limit.",
            [
                ({"service": svc}, float(limits.current_lease(svc) is not None))
                for svc in sorted(limits.rates)
            ],
        ),
    ]
