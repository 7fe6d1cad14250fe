"""A controller's status for operators: the view, workers and nodes, lease holders, the configuration."""

from __future__ import annotations

import json
from typing import Any

from opalwick.post.residency.policy import in_force
from opalwick.post.controller.role import Controller
from opalwick.post.operators import elapsed
from opalwick.post.wire_pb2 import Conf

NOW = frozenset(("epoch", "gen", "voters", "workers", "nodes", "duties"))


def worker_state(worker: Any) -> str:
    return "gone" if worker.gone else "silent" if worker.silent else "draining" if worker.draining else "up"


def duties(role: Controller) -> dict[str, Any]:
    return {
        duty: {"holder": who, "until": until - role.now}
        for duty, (who, until) in sorted(role.leases.grants.items())
        if until > role.now
    }


def status(role: Controller) -> dict[str, Any]:
    v, registry = role.views, role.registry
    return {
        "ctl": "%s:%d" % role.settings.binds.get("ctl", ("", 0)),
        "state": v.state,
        "active": v.active,
        "settled": v.has_primary,
        "blank": v.lost_state,
        "member": v.member,
        "epoch": v.view.epoch,
        "promised": v.promised,
        "primary": v.primary,
        "view": {"primary": v.view.primary, "members": list(v.view.members), "voters": v.voters},
        "hears_primary": elapsed(role.now, v.primary_seen_at),
        "voters_heard": {ip: elapsed(role.now, at) for ip, at in sorted(v.answered_at.items())},
        "conf": max(0, v.known_gen),
        "conf_here": max(0, v.read_key(v.conf)[0]),
        "changes": len(v.queue),
        "reads": len(v.reads),
        "calls_waiting": len(role.waiting),
        "grants_in": max(0.0, role.leases.no_grants_until - role.now),
        "duties": duties(role),
        "workers": [
            {
                "id": w.id,
                "svc": w.svc,
                "zone": w.zone,
                "address": f"{w.host}:{w.port}",
                "gen": w.gen,
                "capacity": w.capacity,
                "state": worker_state(w),
                "calls": w.calls,
                "age": elapsed(role.now, registry.seen_at.get(w.id)),
            }
            for w in role.directory.workers.values()
        ],
    }


def conf(role: Controller) -> dict[str, Any]:
    """The newest configuration on this controller's disk. Only an active primary's is certainly in force."""
    v = role.views
    stored = role.last_conf if v.active and role.last_conf else v.conf if v.member else b""
    found = Conf.FromString(stored)
    return {
        "node": role.node,
        "state": v.state,
        "epoch": v.view.epoch,
        "gen": int(found.gen),
        "in_force": v.active and bool(stored),
        "conf": json.loads(found.said) if found.said else None,
    }


def home(role: Controller, look: Any) -> dict[str, Any]:
    """The newest data-residency policy on this controller's disk, and the country of each zone under it."""
    there = conf(role)
    v = role.views
    stored = role.last_conf if v.active and role.last_conf else v.conf if v.member else b""
    found = Conf.FromString(stored)
    policy = in_force(found, role.settings)
    return {
        "in_force": there["in_force"],
        "policy": int(found.home.gen),
        "said": json.loads(found.home.said) if found.home.said else None,
        "zones": {zone: policy.country(zone) for zone in role.settings.zones} if policy is not None else {},
        "depots": {n.node: policy.country(n.zone) for n in role.nodes("depot")} if policy is not None else {},
    }


def metrics(role: Controller) -> list[Any]:
    v, states = role.views, dict[tuple[str, str], int]()
    for worker in role.directory.workers.values():
        key = worker.svc, worker_state(worker)
        states[key] = states.get(key, 0) + 1
    return [
        ("primary", False, "Whether it is the primary and a majority answers it.", [({}, float(v.active))]),
        (
            "settled",
            False,
            "Whether it is the primary or has recently received from one.",
            [({}, float(v.has_primary))],
        ),
        ("blank", False, "Lost its disk state and does not vote yet.", [({}, float(v.lost_state))]),
        (
            "workers_by_state",
            False,
            "Workers registered at this controller.",
            [({"service": svc, "state": state}, count) for (svc, state), count in sorted(states.items())],
        ),
    ]
