"""The emulated world on the virtual clock: it is what it says, and the same every time."""

from __future__ import annotations

import subprocess
import sys
from concurrent.futures import ProcessPoolExecutor

import msgspec
import pytest
from lab_days import FLEET, day, report

from opalwick.lab.agenda import Agenda
from opalwick.lab.baselines import BASELINES
from opalwick.lab.day import Allow, BadDay, built_in, parse, read, write
from opalwick.lab.faults import begin
from opalwick.lab.hunt import drawn, fails, shrink
from opalwick.lab.kinds import KINDS
from opalwick.lab.ledger import pack
from opalwick.lab.virtual import play
from opalwick.lab.world.worker import Job
from opalwick.lab.world.world import World


def octets(seed: int) -> bytes:
    history = play(day("slow 1 4 0.4 5", "bad_words 2 4 1 0.5", "pauses 1 5 0.5 0.2"), seed)
    return pack({key: value for key, value in history.items() if key != "ledger"}, history["ledger"])


def test_one_seed_gives_one_history_on_one_core_and_on_four() -> None:
    alone = octets(5)
    with ProcessPoolExecutor(4) as pool:
        assert set(pool.map(octets, [5] * 4)) == {alone}
    # nor does the order of hashes count, which each process draws anew
    told = subprocess.run(
        [
            sys.executable,
            "-c",
            "import sys, hashlib; sys.path[:0] = sys.argv[1:3]\n"
            "from test_lab_world import octets; print(hashlib.sha256(octets(5)).hexdigest())",
            *sys.path[:1],
            ".",
        ],
        env={"PYTHONHASHSEED": "77", "PYTHONPATH": ":".join(sys.path)},
        capture_output=True,
        text=True,
        check=True,
    ).stdout.strip()
    import hashlib

    assert told == hashlib.sha256(alone).hexdigest()
    assert octets(6) != alone


def test_a_scheduler_that_is_back_before_it_was_missed_gets_requests_again() -> None:
    world = World(day(), 4)
    front = world.clients.front
    front.lost(0)
    world.agenda.run(0.5)
    front.back(0)
    world.agenda.run(5.0)
    assert front.up == [True, True]
    front.lost(1)
    world.agenda.run(10.0)
    assert front.up == [True, False]


def test_a_fault_shifts_no_draw_of_another_purpose() -> None:
    """What is asked for, by whom and when, is the same whatever goes wrong."""

    def wanted(*faults: str) -> list[tuple]:
        world, found = World(day(*faults), 4), []
        world.clients.on_want = lambda w: found.append(
            (w.first_at, w.category, w.zone, w.work, w.hint, w.key)
        )
        world.clients._send = lambda want, but=-1: None  # type: ignore[method-assign]
        begin(world)
        world.agenda.run(8.0)
        return found

    plain = wanted()
    assert len(plain) > 200
    assert wanted("pauses 1 4 0.5 0.3", "late_reports 2 4 1 1", "wrong_reports 1 2 1 1") == plain
    # a burst adds to them and changes none
    assert set(plain) < set(wanted("burst 1 5 1 4"))


@pytest.mark.parametrize("kind", sorted(set(KINDS)))
def test_each_fault_is_felt_and_breaks_no_rule(kind: str) -> None:
    size = 0.0 if kind != "clock_step" else 3.0
    # a release, so that there are changes for the list's troubles; no words, so that reports count
    around = msgspec.structs.replace(
        day("release 1 5 0.5 0.5"), allow=Allow(words="word" in kind or kind == "split")
    )
    with_it = msgspec.structs.replace(around, faults=[*around.faults, *day(f"{kind} 2 4 0.5 {size}").faults])
    found = report(with_it)
    assert sum(found["rules"].values()) == 0, found["breaches"]
    assert found != report(around)


def test_all_built_in_days_are_sound_and_written_as_they_are_read() -> None:
    for name in built_in():
        found = read(name)
        assert parse(write(found), name) == found
    assert {"calm", "rough", "release", "restarts", "overload", "large"} <= set(built_in())


@pytest.mark.parametrize("name", BASELINES)
def test_a_baseline_keeps_the_rules(name: str) -> None:
    from opalwick.lab.baselines import maker

    found = report(day("slow 1 6 0.5 6", "resets 1 6 0.3 0.3"), maker(name))
    assert sum(found["rules"].values()) == 0, found["breaches"]


def test_the_oracle_is_best_and_random_is_worst() -> None:
    from opalwick.lab.baselines import maker

    hard = day("slow 0 8 0.5 6")
    figures = {name: report(hard, maker(name))["figure"] for name in ("random", "opalwick", "oracle")}
    assert figures["random"] + 0.02 < figures["opalwick"] <= figures["oracle"] + 0.01, figures


@pytest.mark.parametrize(
    "text, told",
    [
        (FLEET + "filll = 0.3\n", "short.toml:36: load.filll: Object contains unknown field"),
        (
            FLEET.replace('due = "200 ms"', "due = 200"),
            "short.toml:16: categories[0].due: 200 is no time with a unit",
        ),
        (
            FLEET.replace('"3 s"', '"3 sec"', 1),
            "short.toml:17: categories[0].expiry: '3 sec' is no time with a unit",
        ),
        (
            FLEET.replace("count = 6", 'count = "six"'),
            "short.toml:8: models[0].count: Expected `int`, got `str`",
        ),
        (FLEET.replace("count = 6", "count = -6"), "short.toml:8: models[0].count: -6 is not from 0 to 5000"),
        (
            FLEET.replace('"exclusive"', '"once"'),
            "short.toml:24: categories[1].effect: 'once' is none of rerunnable",
        ),
        (
            FLEET + '[[faults]]\nkind = "slov"\nat = "1 s"\n',
            "short.toml:37: faults[0].kind: 'slov' is none of",
        ),
        (FLEET + '[[faults]]\nkind = "slow"\nat = "99 s"\n', "short.toml:38: faults[0].at: it begins after"),
        (
            FLEET + '[[faults]]\nkind = "slow"\n',
            "short.toml:36: faults[0]: Object missing required field `at`",
        ),
        (FLEET + "what is this\n", "short.toml:36: not TOML"),
        (FLEET.replace('name = "mark"', 'name = "pay"'), "categories[2].name: 'pay' stands twice"),
    ],
)
def test_a_faulty_day_is_told_by_file_line_and_key(text: str, told: str) -> None:
    with pytest.raises(BadDay) as problem:
        parse(text, "short.toml")
    assert told in str(problem.value)


# ---- a worker by itself


class Alone:
    """One emulated worker; its own words are the trace."""

    def __init__(self, **model: object) -> None:
        text = (
            FLEET.replace("count = 6", "count = 1")
            .replace("schedulers = 2", "schedulers = 1")
            .replace('zones = ["east", "west"]', 'zones = ["east"]')
            .replace("slots = 2\n", "slots = 2\nspeed_spread = 0.0\n")
        )
        for key, value in model.items():
            text = text.replace("slots = 2\n", f"slots = 2\n{key} = {value!r}\n".replace("'", '"'), 1)
        self.world = World(parse(text, "alone"), 1)
        self.worker, self.lines = self.world.workers["w0"], []
        self.jobs: dict[str, Job] = {}

    def hand(
        self, name: str, work: float, slots: float = 1.0, category: int = 0, key: str | None = None
    ) -> Job:
        def tell(what: str, *fields: object) -> None:
            if what != "progressed":
                self.lines.append(f"{self.world.agenda.now:.2f} {name} {what}")

        job = self.jobs[name] = Job(
            self.world.new_attempt_number(), name, category, key, work, slots, 0.0, tell
        )
        self.worker.arrive(job)
        return job

    def until(self, when: float) -> None:
        self.world.agenda.run(when)


def test_the_first_that_waits_holds_up_those_that_would_fit() -> None:
    alone = Alone()
    for name, slots in (("a", 1.0), ("wide", 2.0), ("b", 1.0)):
        alone.hand(name, 1.0, slots)
    alone.until(5.0)
    assert alone.lines == [
        "0.00 a began",
        "1.00 a done",
        "1.00 wide began",
        "2.00 wide done",
        "2.00 b began",
        "3.00 b done",
    ]


def test_a_slower_worker_ends_later_and_a_held_one_says_nothing() -> None:
    alone = Alone()
    alone.hand("a", 0.8)
    alone.until(0.4)
    alone.worker.slowed(2.0)  # half is done; the rest takes twice as long
    alone.until(0.6)
    alone.worker.hold(True)
    alone.hand("b", 0.1)
    alone.until(2.6)
    alone.worker.hold(False)
    alone.until(5.0)
    assert alone.lines == ["0.00 a began", "2.60 b began", "2.80 b done", "3.20 a done"]


@pytest.mark.parametrize(
    "cancel, lines",
    [
        ("waiting", ["0.00 a began", "0.00 b began"]),
        ("all", ["0.00 a began", "0.00 b began"]),
        ("nothing", ["0.00 a began", "0.00 b began"]),
    ],
)
def test_what_a_cancel_drops(cancel: str, lines: list[str]) -> None:
    alone = Alone(cancel=cancel)
    for name in ("a", "b", "c"):
        alone.hand(name, 0.5)
    alone.until(0.1)
    alone.worker.drop(alone.jobs["c"])
    alone.worker.drop(alone.jobs["a"])
    alone.until(0.2)
    left = {"waiting": (2, 0), "all": (1, 0), "nothing": (2, 1)}[cancel]
    assert (len(alone.worker.running), len(alone.worker.waiting)) == left
    alone.until(3.0)
    assert [line for line in alone.lines if line.startswith("0.00")] == lines


def test_a_repeat_within_the_window_runs_once_and_both_hear() -> None:
    alone = Alone()
    alone.hand("a", 0.4, category=2, key="k")
    alone.until(0.1)
    alone.hand("again", 0.4, category=2, key="k")
    alone.until(0.6)
    alone.hand("later", 0.4, category=2, key="k")
    alone.until(1.5)  # past the window of 0.8 s it runs anew
    alone.hand("late", 0.4, category=2, key="k")
    alone.until(3.0)
    assert alone.lines == [
        "0.00 a began",
        "0.40 a done",
        "0.40 again done",
        "0.60 later done",
        "1.50 late began",
        "1.90 late done",
    ]


def test_a_cold_worker_falls_when_it_is_pushed_and_an_old_one_does_not() -> None:
    for cold, fell in ((False, 0), (True, 1)):
        alone = Alone()
        if cold:
            alone.worker.rise()
        for i in range(10):
            if alone.worker.alive:
                alone.hand(f"x{i}", 0.5)
        rows = [row for row in alone.world.ledger.rows if row[1] == "fell"]
        assert len(rows) == fell


def test_a_drain_hands_back_what_waits() -> None:
    alone = Alone()
    for name in ("a", "b", "c"):
        alone.hand(name, 0.5)
    alone.worker.drain()
    alone.hand("d", 0.5)
    alone.until(1.0)
    assert alone.lines == [
        "0.00 a began",
        "0.00 b began",
        "0.00 c turned",
        "0.00 d turned",
        "0.50 a done",
        "0.50 b done",
    ]


def test_the_agenda_keeps_order_and_takes_back() -> None:
    agenda, said = Agenda(), []
    for when, word in ((2.0, "c"), (1.0, "a"), (1.0, "b")):
        entry = agenda.at(when, said.append, word)
    agenda.at(0.5, entry.cancel)
    agenda.at(1.0, lambda: agenda.after(-5.0, said.append, "now"))
    agenda.run(3.0)
    assert said == ["a", "now", "c"] and agenda.now == 3.0


# ---- hunt and shrink


def test_drawn_days_are_the_same_for_the_same_numbers() -> None:
    one, other = drawn(day(), 1, 7), drawn(day(), 1, 7)
    assert one == other and one != drawn(day(), 1, 8)
    assert parse(write(one), "drawn").faults == one.faults


def test_shrink_leaves_the_one_fault_that_counts() -> None:
    from lab_days import MUTANTS

    make, _, (fault,) = MUTANTS["an outcome made up"]
    failing = fails(3, None, make=make)
    small = shrink(day("slow 1 3 0.3 2", fault, "late_reports 2 3 1 1", "list_behind 1 3 1 2"), failing)
    assert [f.kind for f in small.faults] == ["resets"]
    assert failing(small)
    assert sum(m.count for m in small.models) < 6 and 0 < small.load.most < 250
    with pytest.raises(ValueError):
        shrink(day(), failing)
