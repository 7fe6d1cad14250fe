"""Judges a history by the four rules. It imports nothing of the scheduler, and believes only the rows.

Tolerances come with the history's head: `slack` is the longest way between two parties (and, on sockets, the
time that a busy machine may need), `grace` the drains'. A judgement that needs more than the rows tell goes
in the scheduler's favour; each such place says so.
"""

from __future__ import annotations

from collections import Counter
from typing import Any

FINALS = ("finished", "deferred", "written off")


class Item:
    __slots__ = (
        "answered_at",
        "at",
        "category",
        "due",
        "expiry",
        "finals",
        "gone",
        "hand_offs",
        "id",
        "key",
        "result",
        "scheduler",
        "swallowed",
        "want",
        "work",
        "worth",
    )

    def __init__(self, at: int, row: tuple) -> None:
        (
            self.id,
            self.want,
            self.scheduler,
            self.category,
            _,
            self.expiry,
            self.due,
            self.worth,
            self.key,
            self.work,
        ) = row
        self.at = at
        self.finals: list[str] = []
        self.answered_at: int | None = None
        self.gone: tuple[int, str] | None = None
        self.hand_offs: list[Hand] = []
        self.swallowed: list[tuple[int, int]] = []
        self.result: Any = None


class Hand:
    __slots__ = ("at", "began", "dropped_at", "end", "end_at", "item", "result", "worker")

    def __init__(self, item: Item, worker: str, at: int) -> None:
        self.item, self.worker, self.at = item, worker, at
        self.began: int | None = None
        self.end: str | None = None
        self.end_at: int | None = None
        self.result: Any = None
        self.dropped_at: int | None = None  # its connection ended; the work may go on

    def may_have_run(self, now: int) -> bool:
        """As far as any sender can have learnt by then: only a turn-away proves the contrary."""
        return not (self.end == "turned" and self.end_at is not None and self.end_at <= now)


def _us(seconds: float) -> int:
    return round(seconds * 1e6)


class Judge:
    def __init__(self, history: dict[str, Any]) -> None:
        self.history, self.rules = history, history["rules"]
        self.slack, self.grace = _us(self.rules["slack"]), _us(self.rules["grace"])
        self.categories: list[dict[str, Any]] = history["categories"]
        self.groups: dict[str, list] = history["workers"]  # worker: zone, cell
        self.items: dict[Any, Item] = {}
        self.hands: dict[int, Hand] = {}
        self.made: set[Any] = set()
        self.breaches: list[dict[str, Any]] = []
        self.counts: Counter[str] = Counter(lost=0, doubled=0, late_sends=0, pushed_over=0, answered_late=0)
        self.stray = 0  # rows that fit nothing: counted, not judged
        self.leaving: dict[tuple[str, str], int] = {}  # (scheduler, worker): since when it must know
        self.empty: dict[str, list[tuple[int, bool]]] = {}
        self.downs: dict[str, list[int]] = {}
        self.lates: list[tuple[int, float]] = []  # when the emulator was late, and how much
        # scheduler: from when on it is late in everything by how much, starved of CPU
        self.slow: dict[str, list[tuple[int, int]]] = {}
        self.still: dict[str, list[list[float]]] = {}  # scheduler: when it stood still, from and to

    def stood(self, scheduler: str, since: int, until: int) -> bool:
        """A process that stands still is not running: it owes nothing meanwhile, and learns nothing."""
        return any(
            a <= until + self.slack and b >= since - self.slack for a, b in self.still.get(scheduler, [])
        )

    def breach(self, rule: str, at: int, why: str, item: Any = None, worker: str | None = None) -> None:
        self.counts[rule] += 1
        if len(self.breaches) < 200:  # enough to see; the counts go on
            self.breaches.append({"rule": rule, "at": at / 1e6, "why": why, "item": item, "worker": worker})

    # ---- reading

    def allowed(self, at: int, scheduler: str = "") -> int:
        """The tolerance about a moment: the emulator may itself have been late there, or this scheduler had
        too little CPU to be in time."""
        late = [seconds for when, seconds in self.lates if abs(when - at) <= _us(seconds) + 1_000_000]
        return self.slack + _us(max(late, default=0.0)) + self.starved(at, scheduler)

    def starved(self, at: int, scheduler: str) -> int:
        """By how much it is late then: what reached it just before it had its CPU back is late, too."""
        spans = self.slow.get(scheduler, [])
        ends = [since for since, _ in spans[1:]] + [at]
        return max((by for (since, by), end in zip(spans, ends) if since <= at <= end + by), default=0)

    def read(self) -> None:
        self.lates = [(row[0], row[2]) for row in self.history["rows"] if row[1] == "late"]
        for row in self.history["rows"]:
            at, what, *fields = row
            read = getattr(self, f"_{what}", None)
            if read is None:
                self.stray += 1
            else:
                read(at, *fields)
        for item in self.items.values():
            self._settle(item)
        self._effects()

    def _asked(self, at: int, *row: Any) -> None:
        self.items[row[0]] = Item(at, row)

    def _answered(self, at: int, id: Any, final: str, result: Any, _: float) -> None:
        item = self.items.get(id)
        if item is None:
            self.stray += 1
            return
        item.finals.append(final)
        if item.answered_at is None:
            item.answered_at, item.result = at, result
        if final == "finished" and result not in self.made:
            self.breach("lost", at, "finished with a result that no worker had made", id)

    def _gone(self, at: int, id: Any, why: str) -> None:
        if (item := self.items.get(id)) is not None and item.gone is None:
            item.gone = at, why

    def _arrived(self, at: int, hand: int, id: Any, worker: str) -> None:
        item = self.items.get(id)
        if item is None:
            self.breach("doubled", at, "a worker got what no client had asked for", id, worker)
            return
        new = self.hands[hand] = Hand(item, worker, at)
        self._send(new)
        item.hand_offs.append(new)

    def _began(self, at: int, hand: int) -> None:
        if hand in self.hands:
            self.hands[hand].began = at

    def _end(self, at: int, hand: int, how: str, result: Any = None) -> None:
        found = self.hands.get(hand)
        if found is not None and (found.end is None or found.end == "dropped"):
            found.end, found.end_at, found.result = how, at, result
        if result is not None:
            self.made.add(result)

    def _done(self, at: int, hand: int, result: Any) -> None:
        self._end(at, hand, "done", result)

    def _failed(self, at: int, hand: int) -> None:
        self._end(at, hand, "failed")

    def _dropped(self, at: int, hand: int) -> None:
        self._end(at, hand, "dropped")
        if hand in self.hands:
            self.hands[hand].dropped_at = at

    def _turned(self, at: int, hand: int) -> None:
        self._end(at, hand, "turned")

    def _broke(self, at: int, hand: int) -> None:
        self._end(at, hand, "broke")

    def _swallowed(self, at: int, id: Any, worker: str, until: int) -> None:
        if id in self.items:
            self.items[id].swallowed.append((at, until))

    def _told(self, at: int, scheduler: str, worker: str, phase: str) -> None:
        spans = self.still.get(scheduler)
        if phase == "ready":
            self.leaving.pop((scheduler, worker), None)
        elif spans and spans[-1][1] > at:
            self.leaving.setdefault((scheduler, worker), -1)  # known once it runs again
        else:
            self.leaving.setdefault((scheduler, worker), at)

    _deemed = _told

    def _paused(self, at: int, scheduler: str) -> None:
        self.still.setdefault(scheduler, []).append([at, float("inf")])

    def _resumed(self, at: int, scheduler: str) -> None:
        spans = self.still.get(scheduler)
        if spans:
            spans[-1][1] = min(spans[-1][1], at)
        for key, since in self.leaving.items():
            if key[0] == scheduler and since < 0:
                self.leaving[key] = at

    def _starved(self, at: int, scheduler: str, seconds: float) -> None:
        self.slow.setdefault(scheduler, []).append((at, _us(seconds)))

    def _fell(self, at: int, worker: str, cold: bool) -> None:
        if cold:
            self.breach("pushed_over", at, "a cold worker fell", None, worker)

    def _up(self, at: int, scheduler: str) -> None:
        # the one that comes up knows only its old list until it is told anew
        for key in [key for key in self.leaving if key[0] == scheduler]:
            del self.leaving[key]

    def _down(self, at: int, scheduler: str) -> None:
        self.downs.setdefault(scheduler, []).append(at)
        self._resumed(at, scheduler)

    def _none(self, at: int, scheduler: str, none: bool) -> None:
        self.empty.setdefault(scheduler, []).append((at, none))

    def _late(self, at: int, seconds: float) -> None:
        """Read beforehand."""

    # ---- each hand-off as it arrives

    def _send(self, new: Hand) -> None:
        item, at = new.item, new.at
        c = self.categories[item.category]
        since = self.leaving.get((item.scheduler, new.worker), -1)
        if since >= 0 and at > since + self.grace + self.allowed(at, item.scheduler):
            self.breach("late_sends", at, "to a worker past the grace", item.id, new.worker)
        over = item.answered_at if item.answered_at is not None else item.gone[0] if item.gone else None
        unaware = item.gone is not None and (
            item.gone[1] == "crash" or self.stood(item.scheduler, item.gone[0], at)
        )
        # a starved one may learn late that its client left; but when its own answer goes out nothing of that
        # item follows, however late it is in all
        late = self.allowed(at, item.scheduler if item.answered_at is None else "")
        if over is not None and at > over + late and not unaware:
            self.breach("late_sends", at, "for a work item that had its answer", item.id, new.worker)
        elif at > item.expiry + self.allowed(at, item.scheduler):
            self.breach("late_sends", at, "for a work item past its expiry", item.id, new.worker)
        for before in item.hand_offs:
            if c["effect"] == "rerunnable" or not before.may_have_run(at):
                continue
            if c["effect"] == "exclusive":
                self.breach(
                    "doubled",
                    at,
                    "an exclusive item handed off again though it may have run",
                    item.id,
                    new.worker,
                )
            elif not self._same(c["group"], before.worker, new.worker):
                self.breach(
                    "doubled",
                    at,
                    "a ticketed item that may have run sent outside its group",
                    item.id,
                    new.worker,
                )
            elif at > before.at + _us(c["window"]) + self.slack:
                self.breach("doubled", at, "a ticketed item sent again past its window", item.id, new.worker)
            else:
                continue
            break

    def _same(self, group: str, one: str, other: str) -> bool:
        if group == "all" or one == other:
            return True
        place = 0 if group == "zone" else 1
        return self.groups[one][place] == self.groups[other][place]

    # ---- each work item at the end

    def _settle(self, item: Item) -> None:
        finals, c = item.finals, self.categories[item.category]
        if len(finals) > 1:
            self.breach("lost", item.answered_at or 0, f"two final answers: {', '.join(finals)}", item.id)
        still = self.stood(item.scheduler, item.at, item.expiry)
        if still and len(finals) < 2:
            pass
        elif not finals and not item.gone and item.expiry + self.slack < self.history["ended"]:
            self.breach("lost", item.expiry, "no final answer by its expiry", item.id)
        elif not finals and item.gone and item.gone[1] == "broken":
            self.breach("lost", item.gone[0], "its connection was ended without an answer", item.id)
        elif item.answered_at is not None and item.answered_at > item.expiry + self.allowed(
            item.expiry, item.scheduler
        ):
            self.breach("lost", item.answered_at, "answered after its expiry", item.id)
        if item.answered_at is not None:
            self._deferral(item, c)
            if not still:
                self._held(item)
                self._cancelled(item)

    def _deferral(self, item: Item, c: dict[str, Any]) -> None:
        """A deferral says that asking again is harmless."""
        if item.finals[0] != "deferred" or c["effect"] == "rerunnable":
            return
        if c["effect"] == "ticketed" and c["group"] == "all":
            return
        at = item.answered_at or 0
        # what has arrived by then may have run unless it was turned away; what arrives later, too
        if any(hand.may_have_run(at) for hand in item.hand_offs):
            self.breach("doubled", at, "deferred though it may have run", item.id)

    def _held(self, item: Item) -> None:
        """Given up and yet held back: nothing was out for it, nothing came, and the answer took long."""
        if item.finals[0] == "finished" or item.answered_at is None:
            return
        at, quiet = item.answered_at, item.at
        for hand in item.hand_offs:
            # one that is still out, or whose end the sender need not have seen, is no holding back
            if hand.end in (None, "dropped", "broke") or (hand.end_at or 0) > at:
                return
            quiet = max(quiet, hand.end_at or 0)
        for since, until in item.swallowed:
            if since <= at:
                quiet = max(quiet, min(until, at))
        # a list without a ready worker may fill: waiting for that is allowed
        told = [none for when, none in self.empty.get(item.scheduler, []) if when <= at]
        if (told and told[-1]) or any(
            none and quiet <= when <= at for when, none in self.empty.get(item.scheduler, [])
        ):
            return
        # `held` is for a few moves with their checks; of a starved one each of three is late, and none need
        # have arrived
        moves = 3 * max(self.starved(quiet, item.scheduler), self.starved(at, item.scheduler))
        if at - quiet > _us(self.rules["held"]) + moves + self.allowed(at, item.scheduler):
            self.breach(
                "answered_late", at, f"given up, and answered {(at - quiet) / 1e6:.2f} s later", item.id
            )

    def _cancelled(self, item: Item) -> None:
        """What is still out when the client has its answer is taken back, where that is allowed."""
        if not self.rules["cancel"]:
            return
        over = item.answered_at or 0
        for hand in item.hand_offs:
            end = hand.dropped_at or hand.end_at or self.history["ended"]
            # half a second: far longer than a close takes; a scheduler that died meanwhile closes otherwise
            late = end > over + 500_000 + self.allowed(over, item.scheduler)
            known = hand.at <= over + self.slack and not item.swallowed
            downs = self.downs.get(item.scheduler, [])
            if late and known and not any(over <= down <= end for down in downs):
                self.breach("late_sends", over, "not taken back after the answer", item.id, hand.worker)

    def _effects(self) -> None:
        """Effects that really ran: once a key, whoever asked, as often as the category allows."""
        ran: dict[tuple[int, Any], list[Hand]] = {}
        for hand in self.hands.values():
            c = self.categories[hand.item.category]
            if hand.began is not None and c["effect"] != "rerunnable":
                ran.setdefault((hand.item.category, hand.item.key or hand.item.want), []).append(hand)
        for (_, _key), hands in ran.items():
            # those of one client's further tries are the scheduler's only where it had called them harmless,
            # and that stands above, so only what one work item did twice counts here
            for id, count in Counter(hand.item.id for hand in hands).items():
                if count > 1:
                    self.breach("doubled", max(h.began or 0 for h in hands), f"ran {count} times", id)

    # ---- the report

    def report(self) -> dict[str, Any]:
        wants: dict[Any, list[Item]] = {}
        finals: Counter[str] = Counter()
        for item in self.items.values():
            wants.setdefault(item.want, []).append(item)
            finals[item.finals[0] if item.finals else "left"] += 1
        asked = earned = 0.0
        times: list[float] = []
        by: list[dict[str, Any]] = [{"taken": 0, "wants": 0, "met": 0} for _ in self.categories]
        for items in wants.values():
            first, c = items[0], self.categories[items[0].category]
            row = by[first.category]
            row["taken"], row["wants"] = row["taken"] + len(items), row["wants"] + 1
            # one that its client left is not owed anything, nor are bad clients
            if not first.worth or any(i.gone and i.gone[1] == "left" for i in items):
                row["wants"] -= 1
                continue
            asked += first.worth
            done = next((i for i in items if i.finals and i.finals[0] == "finished"), None)
            if done is not None and done.answered_at is not None:
                times.append((done.answered_at - first.at) / 1e3)
                met = done.answered_at <= first.due
                row["met"] += met
                earned += first.worth * (1.0 if met else c["tardy_credit"])
        times.sort()

        def quantile(q: float) -> float:
            return round(times[min(len(times) - 1, int(q * len(times)))], 3) if times else 0.0

        in_time = sum(row["met"] for row in by) / max(1, sum(row["wants"] for row in by))
        return {
            "taken": len(self.items),
            "finished": finals["finished"],
            "deferred": finals["deferred"],
            "written_off": finals["written off"],
            "left": len(self.items) - sum(finals[final] for final in FINALS),
            "rules": dict(self.counts),
            "figure": round(earned / asked, 5) if asked else 0.0,
            "in_time": round(in_time, 5),
            "latency_ms": {"p50": quantile(0.5), "p99": quantile(0.99), "p999": quantile(0.999)},
            "categories": {
                c["name"]: {"taken": row["taken"], "in_time": round(row["met"] / max(1, row["wants"]), 5)}
                for c, row in zip(self.categories, by)
            },
            "seed": self.history["seed"],
            "day": self.history["title"],
            "policy": self.history["policy"],
            "clock": self.history["clock"],
            "front": self.history.get("front", "http"),
            "void": self.history.get("void", ""),
            "stray": self.stray,
            "breaches": self.breaches,
        }


def judge(history: dict[str, Any]) -> dict[str, Any]:
    """The report of a history; its keys stand in docs/operate/lab.md."""
    found = Judge(history)
    found.read()
    return found.report()


def broken(report: dict[str, Any]) -> int:
    return sum(report["rules"].values())
