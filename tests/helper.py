"""Drives the module alone and prints its decisions as a short trace."""
from __future__ import annotations

from dataclasses import replace
from pathlib import Path

from opalwick.balance import Balancer
from opalwick.interface import (Cancel, Category, Customer, Decision, Defer, Effect, Group, ListForm, Outcome,
                                Phase, Report, Row, Send, Subscribe, Sum, Tell, Terms, Wake, Worker, WorkItem,
                                WriteOff)

TRACES = Path(__file__).parent / "traces"
START = 1000.0


def category(effect: Effect = Effect.RERUNNABLE, group: Group = Group.ALL, **changes: float) -> Category:
    return replace(Category(credit=1.0, effect=effect, group=group, due=0.4, stretch=2.0, expiry=5.0,
                            tardy_credit=0.0, window=2.0), **changes)


class Bench:
    """One scheduler, its workers named by letters, and the trace of what it decides."""

    def __init__(self, workers: str = "ABCD", kinds: list[Category] | None = None, seed: int = 7,
                 **changes) -> None:
        terms = Terms(categories=kinds or [category()], customers=[], zone=0, schedulers=1, hand_offs=4,
                      may_copy=True, may_cancel=True, may_tell=False, retry_after=1.0, by_work=True,
                      excess_credit=0.1, price_cross=0.0, price_tell=0.0, position=0, must_ask=False,
                      ask_every=10.0, fall_multiple=3.0,
                      fall_span=2.0, cold_share=0.25, ramp=10.0, tells_start=True, progress_every=1.0,
                      tick=0.005,
                      report=(Report.FREE_SLOTS,))
        self.terms = replace(terms, **changes)
        self.now, self.lines, self.items = START, [], {}
        self.balancer = Balancer(self.terms, seed, self.now)
        self.workers = {name: Worker(ord(name)) for name in workers}
        self.list(ListForm.CACHED, **{name: Phase.READY for name in workers})
        for w in self.workers.values():
            self.balancer.reported(w, (4.0,))

    def list(self, form: ListForm, zones: str = "", cells: str = "", ready: dict[str, float] | None = None,
             **phases: Phase) -> None:
        rows = []
        for i, (name, phase) in enumerate(phases.items()):
            w = self.workers.setdefault(name, Worker(ord(name)))
            rows.append((w, int(zones[i]) if zones else w.zone, 0, int(cells[i]) if cells else w.cell, phase,
                         (ready or {}).get(name, w.ready_at)))
        self.balancer.listed(form, rows)

    def take(self, *names: str, category: int = 0, work: float = 0.2, expiry: float | None = None,
             subject: int = 0, customer: Customer | None = None) -> None:
        c = self.terms.categories[category]
        for name in names:
            wi = WorkItem(ord(name[0]), c, customer, subject, self.now, self.now + (expiry or c.expiry), work,
                          1.0)
            self.items[name] = wi
            self.balancer.taken(wi)

    def end(self, name: str, number: int = 0, outcome: Outcome = Outcome.FINISHED) -> None:
        ho = self.items[name].hand_offs[number]
        done = self.items[name].answered or outcome is Outcome.FINISHED
        self.balancer.ended(ho, outcome, done)

    def begin(self, name: str, number: int = 0) -> None:
        self.balancer.began(self.items[name].hand_offs[number])

    def pull(self, note: str = "") -> list[Decision]:
        decisions = list(self.balancer.decisions())
        said = [text for decision in decisions if (text := self.word(decision))]
        note = note + ": " if note else ""
        self.lines.append(f"{self.now - START:6.2f}  {note}{', '.join(said) or 'nothing'}")
        return decisions

    def wait(self, seconds: float, note: str = "") -> None:
        """Time passes in steps of ten milliseconds; only moments with a decision are printed."""
        end = self.now + seconds
        while self.now < end - 1e-9:
            self.now = round(min(end, self.now + 0.01), 6)
            self.balancer.clock(self.now)
            if self.now < end - 1e-9:
                before = len(self.lines)
                self.pull()
                if self.lines[-1].endswith("nothing"):
                    del self.lines[before:]
        if note:
            self.lines.append(f"{self.now - START:6.2f}  {note}")

    def word(self, decision: Decision) -> str:
        names = {id(wi): name for name, wi in self.items.items()}
        match decision:
            case Send(ho, _):
                return f"{'copy of' if ho.copy else 'send'} {names[id(ho.wi)]} to {chr(ho.worker.id)}"
            case Cancel(ho):
                return f"cancel {names[id(ho.wi)]} at {chr(ho.worker.id)}"
            case Defer(wi, after):
                return f"defer {names[id(wi)]} for {after:g} s"
            case WriteOff(wi):
                return f"write off {names[id(wi)]}"
            case Subscribe():
                return "subscribe"
            case Tell(to, _, zone, rows):
                return f"tell {to} of zone {zone}:{self.row(rows)}"
            case Sum(to, _, zone, heard, rows):
                return f"sum to {to} of zone {zone} from {heard}:{self.row(rows)}"
            case Wake():
                return ""
        raise AssertionError(decision)

    @staticmethod
    def row(rows: list[Row]) -> str:
        return "".join(f" {chr(w.id)}:{slots:g}" for w, slots, _ in rows) or " nothing"

    def matches(self, name: str) -> None:
        """Compares with the trace kept beside the tests."""
        kept = (TRACES / f"{name}.txt").read_text().splitlines()
        assert self.lines == [line for line in kept if not line.startswith("#")]
