"""Stand-in members of a fleet for tests of the judge: a correct one, and others with one planted fault each.
`fleet_members.py NAME CONFIGURATION` runs one as a process.

Every member sends heartbeats to all others. An exclusive task is leased from a majority of the members, its
owner shares a limit out in equal parts that expire, and outcomes are passed on with their age.
"""

from __future__ import annotations

import sys
from typing import Any

from opalwick.lab.fleet.agents import Agent, main

HEARTBEAT, GONE, STALL = (
    0.2,
    2.5,
    0.5,
)  # seconds: heartbeat interval; silence until gone; a gap that counts as a stall
LEASE, MARGIN = 1.5, 1.05  # seconds, and the factor by which voters wait longer than owners
RATE, BURST = 60.0, 15.0  # of the limit "calls"


class Sound(Agent):
    """The correct member."""

    def on_start(self) -> None:
        n, now = self.members, self.now
        self.heard_at = {
            i: now for i in range(n) if i != self.me
        }  # by heartbeat, or by report of a member in contact
        self.direct = dict(self.heard_at)  # by heartbeat
        self.lives = dict.fromkeys(self.heard_at, 0)
        self.gone: dict[int, bool] = {}
        self.last_heartbeat, self.heartbeats, self.stalled_at = now, 0, -1.0
        # as a voter: to whom the lease is promised, until when, and the highest number seen; a restarted
        # member may have lost a promise
        self.promised: tuple[int, int] | None = None
        self.promised_until, self.number = (now + LEASE * MARGIN if self.life > 1 else now), 0
        self.votes: set[int] = set()
        self.asked_at, self.owned_until, self.own = now, -1.0, 0
        self.part, self.part_until = 0.0, -1.0
        self.outcomes: dict[int, float] = {}  # stamp: creation time by the local clock
        self.used: set[int] = set()  # stamps, each used once
        if self.me == 0:
            self.row("limit", "calls", RATE, BURST)
        self.wake_at = now

    # ---- every heartbeat

    def on_wake(self) -> None:
        if self.now - self.last_heartbeat > STALL:
            self.after_stall()
        self.last_heartbeat, self.wake_at = self.now, self.now + HEARTBEAT
        self.heartbeats += 1
        self.send_heartbeat()
        for i, at in self.heard_at.items():
            if self.now - at > GONE and not self.gone.get(i):
                self.mark_gone(i)
        self.seek_lease()
        self.spend()
        if self.me == 1 % self.members and self.heartbeats % 10 == 0:
            stamp = self.life * 100_000 + self.heartbeats
            self.row("made", "worker w1 is bad", stamp)
            self.outcomes[stamp] = self.now
            self.used.add(stamp)
        for stamp, made in self.outcomes.items():
            self.broadcast(v=stamp, age=round(self.now - made, 3))
        self.outcomes = {stamp: made for stamp, made in self.outcomes.items() if self.now - made < 2.0}

    def after_stall(self) -> None:
        """After a stall: silence meanwhile means nothing, and leases are void until renewed."""
        self.stalled_at = self.now
        self.heard_at = dict.fromkeys(self.heard_at, self.now)
        self.owned_until = self.part_until = -1.0

    def send_heartbeat(self) -> None:
        there = [i for i, at in self.direct.items() if self.now - at < 2.0 * HEARTBEAT]
        self.broadcast(b=self.life, near=there)

    def mark_gone(self, i: int) -> None:
        self.gone[i] = True
        self.row("believes", i, "gone", self.lives[i])

    def on_message(self, sender: int, fields: dict[str, Any]) -> None:
        if self.now - self.last_heartbeat > STALL:
            self.after_stall()
            self.last_heartbeat = self.now
        if self.now - self.stalled_at < HEARTBEAT and "v" in fields:
            return  # it may have been queued for the whole stall
        if "b" in fields:
            self.there(sender, int(fields["b"]))
            for i in fields["near"]:  # reported by a member in contact, which tolerates one-way failures
                if i in self.heard_at and not self.gone.get(i):
                    self.heard_at[i] = self.now
        elif "ask" in fields:
            self.vote(sender, int(fields["life"]), int(fields["ask"]))
        elif "vote" in fields:
            self.voted(sender, fields)
        elif "part" in fields:
            self.part, self.part_until = float(fields["part"]), self.now + float(fields["for"])
        elif "v" in fields and fields["v"] not in self.used and float(fields["age"]) < 2.0:
            made = self.now - float(fields["age"])
            self.used.add(fields["v"])
            self.outcomes[fields["v"]] = made
            self.row("used", "worker w1 is bad", fields["v"], round(self.now - made, 3))

    def there(self, i: int, life: int) -> None:
        if life < self.lives[i]:
            return  # from a former process
        self.heard_at[i] = self.direct[i] = self.now
        if self.gone.get(i, True) or life > self.lives[i]:
            self.gone[i], self.lives[i] = False, life
            self.row("believes", i, "alive", life)

    # ---- the exclusive lease, granted by a majority

    def seek_lease(self) -> None:
        owns = self.now < self.owned_until
        first = all(i > self.me for i, at in self.heard_at.items() if not self.gone.get(i, True))
        if not first:
            return  # an owner too: its lease expires, and the first member takes over
        # a new ownership has the highest known number plus one, a renewal the same number
        if not owns:
            self.own = max(self.number, self.own) + 1
        self.asked_at, self.votes = self.now, set()
        self.vote(self.me, self.life, self.own)
        self.broadcast(ask=self.own, life=self.life)
        self.act()
        if self.now < self.owned_until:
            self.share()

    def vote(self, sender: int, life: int, number: int) -> None:
        free = self.now >= self.promised_until or self.promised == (sender, life)
        if not free or number < self.number:
            if sender != self.me:
                self.send(sender, vote=False, n=self.number)
            return
        self.promised, self.promised_until, self.number = (sender, life), self.now + LEASE * MARGIN, number
        if sender == self.me:
            self.voted(self.me, {"vote": True, "n": number})
        else:
            self.send(sender, vote=True, n=number)

    def voted(self, sender: int, fields: dict[str, Any]) -> None:
        if not fields["vote"]:
            self.number = max(self.number, int(fields["n"]))
        elif fields["n"] == self.own:
            self.votes.add(sender)
            if len(self.votes) > self.members // 2:
                self.owned_until = self.asked_at + LEASE / MARGIN
                self.row("claims", "pace", self.own, self.when(self.owned_until))

    def act(self) -> None:
        if self.now < self.owned_until:
            self.row("acts", "pace", self.own)
            self.send(self.members, act="pace", n=self.own, life=self.life)

    # ---- a limit, shared out in equal parts

    def share(self) -> None:
        part = self.shares()
        for i in range(self.members):
            until = self.now + 0.8
            self.row("granted", "calls", i, part, self.when(until))
            if i == self.me:
                self.part, self.part_until = part, until
            else:
                self.send(i, part=part, **{"for": 0.7})

    def shares(self) -> float:
        return RATE / self.members

    def spend(self) -> None:
        self.row("wanted", "calls", 2.0 * RATE * HEARTBEAT / self.members)
        if self.now + 1e-9 < self.part_until:
            self.row("spent", "calls", self.part * HEARTBEAT)


# ---- one fault each


class EverybodyDead(Sound):
    """Declares all others dead at once."""

    def on_wake(self) -> None:
        super().on_wake()
        if self.heartbeats == 30 and self.me == 0:
            for i in self.heard_at:
                self.mark_gone(i)


class NeverDetects(Sound):
    """Reports no member as gone."""

    def mark_gone(self, i: int) -> None: ...


class AccusesAfterAPause(Sound):
    """Counts a stall of its own as silence of the others."""

    def after_stall(self) -> None:
        super().after_stall()
        for i in self.heard_at:
            self.mark_gone(i)


class TwoOwners(Sound):
    """Keeps its ownership after a pause, whatever its lease."""

    def after_stall(self) -> None:
        owned = self.owned_until > 0
        super().after_stall()
        if owned and self.own:
            self.owned_until = self.now + LEASE
            self.row("claims", "pace", self.own, self.when(self.owned_until))


class ActsAfterItsLease(Sound):
    """Acts as owner after its lease has expired."""

    def after_stall(self) -> None:
        until = self.owned_until
        super().after_stall()
        self.owned_until = until

    def act(self) -> None:
        if self.owned_until > 0:
            self.row("acts", "pace", self.own)
            self.send(self.members, act="pace", n=self.own, life=self.life)


class OldNumbers(Sound):
    """Acts with an outdated number at a receiver that doesn't check."""

    def on_wake(self) -> None:
        super().on_wake()
        if self.own and self.heartbeats % 5 == 0:
            self.send(self.members, act="pace", n=max(0, self.own - 1), life=self.life, checked=False)


class GrantsTooMuch(Sound):
    """Shares out more than the limit."""

    def shares(self) -> float:
        return 1.5 * RATE / self.members


class SpendsWhatLapsed(Sound):
    """Uses its part of the limit after it has expired."""

    def spend(self) -> None:
        self.row("wanted", "calls", 2.0 * RATE * HEARTBEAT / self.members)
        if self.part_until > 0:
            self.row("spent", "calls", 0.2 * self.part * HEARTBEAT)


class OldVerdictAsNew(Sound):
    """Uses outcomes without regard to their age."""

    def on_message(self, sender: int, fields: dict[str, Any]) -> None:
        if "v" in fields:
            fields = {**fields, "age": 0.0}
            self.used.discard(fields["v"])
        super().on_message(sender, fields)


class LongWords(Sound):
    """Sends a message over the limit of 256 bytes."""

    def send_heartbeat(self) -> None:
        super().send_heartbeat()
        self.send((self.me + 1) % self.members, pad="x" * 247)  # 257 bytes in all


class NeverHeals(Sound):
    """Never accepts a member again once it was gone."""

    def there(self, i: int, life: int) -> None:
        if not self.gone.get(i, False) or i not in self.gone or life > self.lives[i]:
            super().there(i, life)


class SameLife(Sound):
    """Mistakes a restarted process for the former one."""

    def there(self, i: int, life: int) -> None:
        super().there(i, min(life, self.lives[i] or life))


class Vacates(Sound):
    """Only the first owner ever takes the lease."""

    def seek_lease(self) -> None:
        if self.me == 0:
            super().seek_lease()


SOUND = Sound
PLANTED: dict[type[Sound], tuple[str, str]] = {
    # with the property that it violates, and the scenario that shows it
    EverybodyDead: ("false", "calm"),
    NeverDetects: ("detect", "lost"),
    AccusesAfterAPause: ("false", "stopped"),
    TwoOwners: ("two owners", "stopped"),
    ActsAfterItsLease: ("lapsed", "stopped"),
    OldNumbers: ("late harm", "stopped"),
    GrantsTooMuch: ("over", "calm"),
    SpendsWhatLapsed: ("past its grant", "split"),
    OldVerdictAsNew: ("told as new", "calm"),
    LongWords: ("longest", "calm"),
    NeverHeals: ("agree", "split"),
    SameLife: ("agree", "lost"),
    Vacates: ("vacant", "lost"),
}

if __name__ == "__main__":
    name = sys.argv.pop(1)
    main({member.__name__: member for member in (SOUND, *PLANTED)}[name])
