"""Interface of the fleet package for front ends, without I/O or a clock."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

from opalwick.fleet.membership import Event, Members, Send, MembershipConfig, Wake

_STATES = {
    "joined": "alive",
    "returned": "alive",
    "cleared": "alive",
    "suspected": "suspected",
    "gone": "gone",
    "left": "left",
}


class Agent:
    """Usage: set the time with clock(), pass in events, then consume decisions(): Send, Wake and Event."""

    def __init__(
        self, me: int, count: int, life: int, now: float, terms: MembershipConfig, seed: int
    ) -> None:
        self.members = Members(me, count, life, now, terms, seed)

    @property
    def life(self) -> int:
        return self.members.life

    @property
    def counts(self) -> dict[str, int]:
        return self.members.counts

    def clock(self, now: float) -> None:
        self.members.clock(now)

    def receive(self, sender: int, payload: bytes) -> None:
        self.members.receive(sender, payload)

    def after_stall(self) -> None:
        self.members.after_stall()

    def leave(self) -> None:
        self.members.leave()

    def decisions(self) -> Iterator[Send | Wake | Event]:
        return self.members.decisions()

    def absent(self) -> frozenset[int]:
        """Members known to be gone or to have left."""
        return frozenset(p.number for p in self.members.peers.values() if p.known and not p.present)

    def record(self, event: Event) -> tuple[Any, ...] | None:
        """The record of an event for the simulation lab, or None.

        "believes": this process's life, the member, its state, its life. "renamed": this process's new life.
        """
        if event.member == self.members.me:
            return ("renamed", event.life) if event.kind == "returned" else None
        state = _STATES.get(event.kind)
        return None if state is None else ("believes", self.life, event.member, state, event.life)

    def as_text(self) -> str:
        """The member list and counters as readable text."""
        m = self.members
        visible = "alone" if m.alone() else "a majority" if m.present_share() > 0.5 else "a minority"
        lines = [
            f"s{m.me} in life {m.life}, incarnation {m.incarnation}: sees {m.present_share():.0%} of "
            f"{m.count} members ({visible}), own health {m.health} (0: well)"
        ]
        lines.append(f"{'member':>8} {'state':10} {'life':>11} {'since':>8} {'heard':>8} {'reach':12} why")
        for row in m.view():
            since, heard = (
                f"{row[key]:.1f} s" if row.get(key) is not None else "-" for key in ("since_s", "heard_s")
            )
            who = f"s{row['member']}"
            lines.append(
                f"{who:>8} {row['state']:10} {row['life']:>11} {since:>8} {heard:>8} "
                f"{row.get('reach', ''):12} {row['why']}"
            )
        lines += [
            f"s{one} receives nothing from s{other}, though others do ({m.now - at:.1f} s ago)"
            for (one, other), at in m.one_way.items()
            if m.now - at < 10.0
        ]
        lines.append(", ".join(f"{name} {value}" for name, value in m.counts.items()))
        return "\n".join(lines) + "\n"
