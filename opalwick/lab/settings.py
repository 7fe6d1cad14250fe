"""A day as the configuration of a scheduler: the same settings for both clocks."""

from __future__ import annotations

from typing import Any

from opalwick.lab.day import Day

_EFFECTS = {"rerunnable": "repeatable", "ticketed": "by_key", "exclusive": "once"}


def _us(seconds: float) -> int:
    return round(seconds * 1e6)


def settings(day: Day, scheduler: int) -> dict[str, Any]:
    """What `docs/operate/configuration.md` lists under `settings`."""
    ramp = max(float(m.ramp) for m in day.models)
    return {
        "az": scheduler % len(day.zones),
        "position": scheduler,
        "peers-total": day.schedulers,
        "categories": [
            {
                "name": k.name,
                "credit": k.credit,
                "effect": _EFFECTS[k.effect],
                "group": k.group,
                "due-time-us": _us(k.due),
                "expiry-us": _us(k.expiry),
                "tardy-credit": k.tardy_credit,
                "window-us": _us(k.window),
                "aim-stretch": k.stretch,
            }
            for k in day.categories
        ],
        "tenants": [{"name": c.name, "quota-per-s": c.quota} for c in day.customers],
        "ceilings": {
            "conn-idle-us": _us(day.network.idle),
            "connect-timeout-us": _us(day.network.connect),
            "max-hand-offs": day.allow.hand_offs,
            "max-open": 20000,
            "may-cancel": day.allow.cancel,
            "parallel-tries": day.allow.copies,
            "peers": day.allow.words,
            "retry-after": day.allow.retry_after > 0,
            "max-retry-after-us": _us(day.allow.retry_after),
        },
        "credit-basis": "work",
        "excess-credit": 0.1,
        "discovery": "ask",
        "localities": list(day.zones),
        "skus": [m.name for m in day.models],
        "family-info": {
            "tells-start": day.allow.starts,
            "progress-us": _us(day.allow.progress),
            "report-x0": "free slots",
        },
        "guarantees": {
            "ask-every-us": _us(day.listing.ask_every),
            "cold-share": min(m.cold_share for m in day.models),
            "fall-multiple": day.rules.fall_multiple,
            "fall-us": _us(day.rules.fall_span),
            "ramp-time-us": _us(ramp),
        },
        "load-report": {"names": ["x0", "active"]},
        "prices": {"peer": 0.01, "cross-zone": 0.0},
        "tick-us": 2000,
    }


def known(day: Day, dial: dict[str, str], cells: dict[str, int]) -> dict[str, Any]:
    """The list of workers as a scheduler knows it when the day begins; `dial` by worker's name."""
    hosts, i = [], 0
    for model in day.models:
        for _ in range(model.count):
            hosts.append(
                {
                    "host": f"w{i}",
                    "dial": dial[f"w{i}"],
                    "site": day.zones[i % len(day.zones)],
                    "class": model.name,
                    "block": cells.get(f"w{i}", 0),
                    "health": "ready",
                    "share": 1.0,
                    "born_ms": 0,
                }
            )
            i += 1
    return {"seq": 1, "whole": True, "hosts": hosts}


def configuration(
    day: Day,
    scheduler: int,
    *,
    listen: str,
    discovery: str,
    dial: dict[str, str],
    cells: dict[str, int],
    peers: list[str],
    peer_listen: str | None,
    seed: int,
) -> dict[str, Any]:
    """What `serve` reads."""
    return {
        "name": f"s{scheduler}",
        "listen": listen,
        "discovery": discovery,
        "seed": f"{seed:x}",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "peer_listen": peer_listen,
        "peers": peers,
        "known": known(day, dial, cells),
        "settings": settings(day, scheduler),
    }


class Ports:
    """Fixed places on loopback for a day put up by hand. ValueError where the ports do not suffice."""

    def __init__(self, day: Day, first: int) -> None:
        workers, n = sum(m.count for m in day.models), day.schedulers
        if not 1024 <= first <= 65535 - workers - 3 * n:
            raise ValueError(f"{first} to {first + workers + 3 * n} are no ports that may be used")
        self.listen = [first + i for i in range(n)]
        self.lists = [first + n + i for i in range(n)]
        self.peers = [first + 2 * n + i for i in range(n)]
        self.dial = {f"w{i}": first + 3 * n + i for i in range(workers)}


def configuration_of(day: Day, scheduler: int, ports: Ports) -> dict[str, Any]:
    from opalwick.lab.world.world import World

    cells = {w.name: w.cell for w in World(day, 1).workers.values()}
    return configuration(
        day,
        scheduler,
        listen=f"127.0.0.1:{ports.listen[scheduler]}",
        discovery=f"127.0.0.1:{ports.lists[scheduler]}",
        dial={name: f"127.0.0.1:{port}" for name, port in ports.dial.items()},
        cells=cells,
        peers=[f"127.0.0.1:{port}" for port in ports.peers],
        peer_listen=f"127.0.0.1:{ports.peers[scheduler]}" if day.allow.words else None,
        seed=scheduler + 1,
    )
