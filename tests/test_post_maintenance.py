"""The maintenance window: declarations, the planner, the coordinator on an emulated fleet, the shares."""

from __future__ import annotations

import json
import random
from collections.abc import Callable
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest
from returns.result import Failure, Success

from opalwick.post.commands import run
from opalwick.post.maintenance import commands as window_commands
from opalwick.post.maintenance import coordinator as coordinator_module
from opalwick.post.maintenance.coordinator import Coordinator, Refused, returned
from opalwick.post.maintenance.fleet import Fleet, LiveWorker, Machine
from opalwick.post.maintenance.needs import unmet_needs
from opalwick.post.maintenance.planner import MAX_UNFAIRNESS, NoPlan, Plan, Planner, plan
from opalwick.post.maintenance.racks import Declaration, parse
from opalwick.post.maintenance.resting import Resting
from opalwick.post.maintenance.shares import MAX_RETRY_AFTER, Share, maxmin
from opalwick.post.maintenance.state import AWAY, DRAINING, State, read

FILE = """name = "night"
longest_s = 400
together = 2
[[racks]]
name = "a"
longest_s = 30
machines = ["depot-0", "office-0", "counter-0"]
nets = ["10.1.0.0/24"]
[[racks]]
name = "b"
longest_s = 30
nets = ["10.2.0.0/24"]
[[racks]]
name = "c"
longest_s = 30
nets = ["10.3.0.0/24"]
[[needs]]
service = "gate"
least = 2
zones = 1
"""


SLOTS = "slots of gate for 1 of its demand: "


def declared(more: str = "", old: str = "", new: str = "") -> Declaration:
    found = parse(FILE.replace(old, new) + more, "night.toml")
    assert isinstance(found, Success), found
    return found.unwrap()


def fleet(workers: int = 2, demand: float = 4.0) -> Fleet:
    """Three racks, each with `workers` workers of two slots; the system's machines are in three zones."""
    units = tuple(
        LiveWorker(f"i-{r}{n}", "gate", "abc"[r], f"10.{r + 1}.0.{n + 1}", 2)
        for r in range(3)
        for n in range(workers)
    )
    machines = tuple(
        Machine(f"{role}-{i}", role, "abc"[i], 1) for role in ("counter", "depot", "office") for i in range(3)
    )
    return Fleet(units, machines, 3, {"gate": demand}, rested=True)


# ---- declarations


@pytest.mark.parametrize(
    ("old", "new", "told"),
    [
        ('nets = ["10.2.0.0/24"]', 'nets = ["10.1.0.0/16"]', "night.toml:12: racks[1].nets[0]: 10.1.0"),
        (
            'nets = ["10.2.0.0/24"]',
            'nets = ["10.2.0.0/33"]',
            "night.toml:12: racks[1].nets[0]: must be a range",
        ),
        ("least = 2", "leats = 2", "night.toml:19: needs[0].leats: is not a known field"),
        ("least = 2", "least = -2", "night.toml:19: needs[0].least: must not be below 0"),
        (
            'name = "b"',
            'name = "a"',
            "night.toml:10: racks[1].name: the name 'a' is at racks[0].name too",
        ),
        (
            "longest_s = 400",
            "longest_s = 20",
            "night.toml:6: racks[0].longest_s: is longer than the window's",
        ),
        ('name = "night"', "name = night", "night.toml:1: not TOML"),
        (
            'nets = ["10.3.0.0/24"]',
            'beside = ["x"]',
            "night.toml:13: racks[2]: is empty: needs machines, nets, ",
        ),
    ],
)
def test_an_invalid_declaration_is_reported_with_its_line(old: str, new: str, told: str) -> None:
    found = parse(FILE.replace(old, new), "night.toml")
    assert isinstance(found, Failure) and found.failure().startswith(told), found


def test_resting_workers_match_by_id_zone_and_address() -> None:
    rests = Resting(["id:i-1", "zone:a", "net:10.2.0.0/24"])
    assert rests("i-1", "z", "h") and rests("i-2", "a", "h") and rests("i-3", "z", "10.2.0.7")
    assert not rests("i-4", "z", "10.3.0.7") and not rests("i-5", "z", "worker.example") and not Resting()


# ---- the planner


def random_case(draw: random.Random) -> tuple[Declaration, Fleet]:
    racks = draw.randrange(3, 8)
    text = f'name = "x"\nlongest_s = 90000\ntogether = {draw.choice((1, 2, 3))}\n'
    units = []
    for r in range(racks):
        longest = draw.choice((30, 30, 45, 60))
        text += f'[[racks]]\nname = "r{r}"\nlongest_s = {longest}\nnets = ["10.{r}.0.0/16"]\n'
        for svc in ("gate", "berth"):
            units += [
                LiveWorker(f"{svc}{r}.{n}", svc, "abc"[r % 3], f"10.{r}.0.{n}", draw.choice((2, 4)))
                for n in range(draw.randrange(0, 4))
            ]
    for svc in ("gate", "berth"):
        text += f'[[needs]]\nservice = "{svc}"\nshare = {draw.choice((0.6, 1.0))}\n'
    found = parse(text, "drawn")
    assert isinstance(found, Success)
    slots = {svc: sum(u.slots for u in units if u.svc == svc) for svc in ("gate", "berth")}
    return found.unwrap(), Fleet(
        tuple(units), fleet().machines, 3, {svc: draw.uniform(0.2, 0.8) * n for svc, n in slots.items()}
    )


def test_random_plans_meet_every_need_and_are_no_worse_than_the_simple_ones() -> None:
    draw, planned, near = random.Random(5), 0, 0
    for _ in range(60):
        declaration, there = random_case(draw)
        p = Planner(declaration, there)
        found = p.plan()
        if isinstance(found, NoPlan):
            assert found.proven and any(unmet_needs(declaration, there, p.down([r])) for r in p.racks)
            continue
        planned += 1
        assert sorted(r for step in found.steps for r in step) == sorted(p.racks)
        for step in found.steps:
            assert len(step) <= declaration.together and not unmet_needs(declaration, there, p.down(step))
        assert max(found.loss.values()) <= MAX_UNFAIRNESS * max(found.fair.values()) + 1e-6
        searched = p.search()
        for other in (p.one_at_a_time(), p.normalized(p.greedy()), p.exact()):
            assert p.key(p.exact())[:3] <= p.key(searched)[:3]
            assert other == p.exact() or p.key(searched) <= p.key(other)
        near += len(searched) <= 1.1 * len(p.exact())
    assert planned > 20 and near == planned


def test_a_need_that_prevents_a_plan_is_named() -> None:
    found = plan(declared(), fleet(1, 5.0))
    assert isinstance(found, NoPlan) and found.proven
    assert found.why == f"rack a cannot go down even alone: {SLOTS}4 left, 5 needed"
    short = plan(declared(old="longest_s = 400", new="longest_s = 70"), fleet(2, 8.0))
    assert isinstance(short, NoPlan) and short.why == "the steps take 90 s, the window has 70"
    assert isinstance(plan(declared(old="longest_s = 400", new="longest_s = 70"), fleet(3, 4.0)), Plan)


def test_racks_go_down_together_only_where_both_may() -> None:
    both = declared(old='nets = ["10.2.0.0/24"]', new='nets = ["10.2.0.0/24"]\nbeside = ["c"]')
    found = plan(both, fleet())
    assert isinstance(found, Plan) and sorted(found.steps) == [("a",), ("b", "c")]


# ---- the coordinator


class Stage:
    """A fleet, a disk that accepts the newest coordinator's states only, and a crew that handles the racks. A
    time step is 0.25 s; a desired state is saved at once, or lost with its coordinator."""

    def __init__(self, declaration: Declaration, there: Fleet) -> None:
        self.d, self.f, self.now = declaration, there, 0.0
        self.saved: bytes = b""
        self.epoch, self.saves = 1, 0
        self.c, self.number = Coordinator(), 1
        self.gone: dict[str, float] = {}  # by rack at the crew: when it returns, in s
        self.never: set[str] = set()
        self.fenced = True
        self.lives = 1
        self.below: list[str] = []  # needs that were not met because of the window
        self.log: list[str] = []
        self.kill: Callable[[State], bool] = lambda state: False
        wanted = self.c.start(declaration, there)
        assert isinstance(wanted, State), wanted
        self.save(self.c, 1, wanted)

    def save(self, c: Coordinator, number: int, state: State) -> None:
        """Like the controllers: refuses an epoch that is not the newest."""
        if number != self.epoch and self.fenced:
            c.refused()
            return
        self.saved, self.saves = state.body(), self.saves + 1
        self.log = [f"{e['what']} {','.join(e.get('racks', [e.get('rack', '')]))}".strip() for e in state.log]
        if self.kill(state):
            self.take_over()
            return
        c.adopt(read(self.saved), self.now)

    def take_over(self) -> None:
        """Starts another coordinator from the state on the disks."""
        self.epoch += 1
        self.c, self.number = Coordinator(), self.epoch
        self.c.adopt(read(self.saved), self.now)

    @property
    def state(self) -> State:
        found = read(self.saved)
        assert found is not None
        return found

    def order(self, what: str, rack: str = "") -> None:
        found = self.c.execute(what, self.now, rack)
        assert isinstance(found, State), found
        self.save(self.c, self.number, found)

    def run(self, seconds: float) -> Stage:
        until = self.now + seconds
        while self.now < until and not self.state.over:
            self.now += 0.25
            self.crew()
            wanted = self.c.next_state(self.now, self.f._replace(empty=frozenset(self.state.depots)))
            if wanted is not None:
                self.save(self.c, self.number, wanted)
            self.judge()
        return self

    def part(self, rack: str) -> tuple[Resting, set[str]]:
        found = self.d.rack(rack)
        return Resting(found.rules), set(found.machines)

    def crew(self) -> None:
        for name, course in self.state.racks.items():
            rests, machines = self.part(name)
            if course.state == AWAY and name not in self.gone and not course.as_is:
                self.gone[name] = self.now + 5.0
                self.whole = self.f
                self.f = self.f._replace(
                    units=tuple(u for u in self.f.units if not rests(*u[:1], u.zone, u.host)),
                    machines=tuple(m for m in self.f.machines if m.name not in machines),
                    missing=(*self.f.missing, *sorted(machines)),
                )
            elif name in self.gone and self.gone[name] <= self.now and name not in self.never:
                self.gone[name] = 1e9
                self.lives += 1
                self.f = self.f._replace(
                    units=(
                        *self.f.units,
                        *(
                            replace_id(u, self.lives, self.now)
                            for u in fleet().units
                            if rests(u.id, u.zone, u.host)
                        ),
                    ),
                    machines=(
                        *self.f.machines,
                        *(m._replace(life=self.lives) for m in fleet().machines if m.name in machines),
                    ),
                    missing=tuple(m for m in self.f.missing if m not in machines),
                )
        warm_at = self.now - 3.0
        self.f = self.f._replace(units=tuple(u._replace(warm=born_at(u) <= warm_at) for u in self.f.units))

    def judge(self) -> None:
        """Records the needs that are not met without the racks that rest or are away."""
        resting = [self.part(name) for name in self.state.racks_in(DRAINING, AWAY)]
        left = self.f._replace(
            units=tuple(u for u in self.f.units if not any(r(u.id, u.zone, u.host) for r, _ in resting))
        )
        self.below += [str(h) for h in unmet_needs(self.d, left, [])]


def replace_id(unit: LiveWorker, life: int, now: float) -> LiveWorker:
    return unit._replace(id=f"{unit.id}/{life}@{now}", warm=False)


def born_at(unit: LiveWorker) -> float:
    return float(unit.id.rpartition("@")[2]) if "@" in unit.id else -1e9


def new_stage(demand: float = 4.0, **changed: str) -> Stage:
    return Stage(declared(**changed), fleet(2, demand))


def test_a_window_completes_and_every_rack_is_warm_before_the_next() -> None:
    s = new_stage(6.0).run(200)
    assert s.state.phase == "done" and not s.below
    assert s.log == [
        "started",
        "drains a",
        "handed over a",
        "back a",
        "drains b",
        "handed over b",
        "back b",
        "drains c",
        "handed over c",
        "back c",
        "done",
    ]
    assert [e["cold"] for e in s.state.log if e["what"] == "back"] == [False] * 3
    assert s.state.lost["gate"] == pytest.approx(3 * 4 * (5 + 3 + 1), rel=0.2)


def test_racks_that_return_together_are_admitted_one_after_the_other() -> None:
    s = new_stage(old='nets = ["10.2.0.0/24"]', new='nets = ["10.2.0.0/24"]\nbeside = ["c"]')
    s.run(100)
    assert s.state.phase == "done" and not s.below and "drains b,c" in s.log
    backs = [(e["at_s"], e["cold"]) for e in s.state.log if e["what"] == "back"]
    assert len(set(backs)) == 3 and not any(cold for _, cold in backs)


def superseded(at: int, fenced: bool) -> Stage:
    """The coordinator stalls after `at` saves; another continues, and the old one resumes late."""
    s = new_stage(6.0)
    s.fenced, s.kill, old = fenced, lambda state: s.saves == at, s.c
    woke = 1e9
    while s.now < 150.0 and not s.state.over:
        s.run(0.25)
        woke = min(woke, s.now + 9.0) if old is not s.c else woke
        if s.now >= woke and (wanted := old.next_state(s.now, s.f)) is not None:
            s.save(old, 1, wanted)
    return s


def complete(s: Stage) -> bool:
    return (
        s.state.phase == "done"
        and not s.below
        and [line[-1] for line in s.log if line.startswith("handed over ")] == ["a", "b", "c"]
    )


@pytest.mark.parametrize("at", range(2, 12))
def test_a_coordinator_that_fails_after_a_step_is_succeeded_by_another(at: int) -> None:
    """The old one, which resumes late, changes nothing, because its epoch is older."""
    s = superseded(at, True)
    assert complete(s) and s.epoch == 2


def test_without_fencing_a_superseded_coordinator_breaks_the_window() -> None:
    assert not all(complete(superseded(at, False)) for at in range(2, 12))


def test_a_crash_elsewhere_delays_the_next_step_and_recalls_racks() -> None:
    s = new_stage(6.0).run(3.0)
    assert s.state.racks_in(AWAY) == ["a"]
    lost = [u for u in s.f.units if u.zone == "c"]
    s.f = s.f._replace(units=tuple(u for u in s.f.units if u not in lost))
    s.run(4.0)
    assert s.state.racks["a"].recalled and s.state.racks_in(DRAINING) == []
    s.run(30.0)
    assert s.state.racks_in(DRAINING, AWAY) == [] and s.c.why == [SLOTS + "4 left, 6 needed"]
    s.f = s.f._replace(units=(*s.f.units, *lost))
    assert s.run(100.0).state.phase == "done"


def test_a_drain_is_called_back_when_the_demand_rises() -> None:
    s = new_stage(6.0).run(1.75)
    s.f = s.f._replace(demand={"gate": 9.0})
    s.run(1.0)
    assert s.log[-1] == "drain called back a" and not s.state.rules and not s.state.depots
    s.run(20.0)
    assert s.state.racks_in(DRAINING, AWAY) == []
    s.f = s.f._replace(demand={"gate": 6.0})
    assert s.run(120.0).state.phase == "done"


def test_a_rack_that_stays_away_blocks_the_window_until_resumed_without_it() -> None:
    s = new_stage(4.0)
    s.never = {"a"}
    s.run(60.0)
    assert (
        s.c.overdue == ["a"]
        and s.c.why == ["rack a is away for too long"]
        and s.state.racks_in(AWAY) == ["a"]
    )
    s.order("resume")
    s.run(120.0)
    assert s.state.phase == "done" and s.state.racks["a"].state == "lost" and not s.below
    # a is away for good; b and c went one after the other, planned with the remaining fleet
    assert "drains b" in s.log and "drains c" in s.log and "net:10.1.0.0/24" in s.state.rules


def test_a_rack_that_stays_away_may_leave_no_plan() -> None:
    s = new_stage(6.0)
    s.never = {"a"}
    s.run(40.0)
    s.order("resume")
    s.run(40.0)
    assert s.state.phase == "running" and s.state.racks_in(AWAY, DRAINING) == [] and "4 needed" not in s.c.why
    assert s.c.why == [SLOTS + "4 left, 6 needed"] and not s.below


def test_pause_resume_and_abort_with_a_rack_half_empty() -> None:
    s = new_stage(6.0)
    s.f = s.f._replace(rested=False)
    s.run(2.0)
    assert s.state.racks_in(DRAINING) == ["a"] and s.state.depots == ["depot-0"]
    s.order("pause")
    s.run(2.0)
    assert s.state.racks_in(DRAINING) == [] and not s.state.depots and s.log[-1] == "drain called back a"
    s.order("resume")
    s.run(6.0)
    s.order("abort")
    s.run(2.0)
    assert s.state.phase == "aborted" and not s.state.rules and not s.state.depots
    assert isinstance(s.c.execute("resume", s.now), Refused)


def test_an_abort_recalls_racks_and_waits_for_them() -> None:
    s = new_stage(6.0).run(3.0)
    s.order("abort")
    s.run(1.0)
    assert s.state.phase == "aborting" and s.state.racks["a"].recalled
    assert s.run(20.0).state.phase == "aborted" and s.state.racks["a"].state == "back"


def test_a_changed_fleet_is_planned_again() -> None:
    s = new_stage(old='nets = ["10.2.0.0/24"]', new='nets = ["10.2.0.0/24"]\nbeside = ["c"]')
    assert ["b", "c"] in [list(step) for step in s.state.steps]
    s.f = s.f._replace(demand={"gate": 6.0})
    s.run(120.0)
    assert "planned anew" in s.log and s.state.phase == "done" and not s.below and "drains b,c" not in s.log


def test_a_rack_with_the_last_worker_of_a_service_is_refused_and_named() -> None:
    there = fleet()
    last = there._replace(units=(*there.units, LiveWorker("i-x", "berth", "b", "10.2.0.9", 1)))
    found = Coordinator().start(declared('[[needs]]\nservice = "berth"\n'), last)
    assert found == Refused(409, "rack b cannot go down even alone: workers of berth: 0 left, 1 needed")


def test_a_window_without_enough_time_begins_no_step() -> None:
    s = new_stage(6.0, old="longest_s = 400", new="longest_s = 90").run(6.0)
    s.order("pause")
    s.run(60.0)
    s.order("resume")
    s.run(10.0)
    assert s.c.why == ["the rest of the window is shorter than the 30 s of the next step"]
    assert s.state.phase == "running" and not s.state.rules and not s.below


MUTANTS: dict[str, tuple[str, Any]] = {
    "hands over with open deliveries": ("rested", lambda f: f._replace(rested=True)),
    "treats racks that never left as returned": ("returned", lambda course, there: True),
    "ignores racks that are away": ("unmet_needs", lambda d, f, down: unmet_needs(d, f, [])),
}


@pytest.mark.parametrize("mutant", MUTANTS)
def test_mutants_of_the_coordinator_are_detected(mutant: str, monkeypatch: pytest.MonkeyPatch) -> None:
    def sound() -> bool:
        s = new_stage(6.0)
        s.f = s.f._replace(rested=False)
        s.run(6.0)
        early = s.state.racks_in(AWAY)
        s.f = s.f._replace(rested=True, demand={"gate": 7.0})
        s.run(60.0)
        at = {
            (e["what"], e.get("rack") or e["racks"][0]): e["at_s"]
            for e in s.state.log
            if e["what"] in ("back", "handed over")
        }
        awaited = all(
            at.get(("back", rack), 0.0) - at.get(("handed over", rack), 0.0) > 5.0 for rack in "abc"
        )
        return not early and not s.below and s.state.phase == "done" and awaited

    assert sound()
    what, planted = MUTANTS[mutant]
    if what == "rested":
        next_state = Coordinator.next_state
        monkeypatch.setattr(Coordinator, "next_state", lambda self, now, f: next_state(self, now, planted(f)))
    else:
        monkeypatch.setattr(coordinator_module, what, planted)
    if what == "unmet_needs":  # visible only when a need is not met
        s = new_stage(6.0).run(1.75)
        s.f = s.f._replace(demand={"gate": 9.0})
        assert s.run(8.0).below
    else:
        assert not sound()


def test_the_state_survives_a_round_trip() -> None:
    s = new_stage(6.0).run(3.0)
    assert read(s.state.body()) == s.state and read(b"") is None
    course = s.state.racks["a"]
    assert not returned(course, coordinator_module.contents(s.d, fleet())["a"])
    assert returned(replace(course, as_is=True), coordinator_module.contents(s.d, s.f)["a"])


# ---- commands


def status(role: str, node: str, **more: Any) -> dict[str, Any]:
    return {"role": role, "node": node, "zone": "a", "life": 1} | more


def test_the_commands_plan_by_the_statuses_of_processes(
    tmp_path: Path, capsys: Any, monkeypatch: pytest.MonkeyPatch
) -> None:
    workers = [
        {
            "id": u.id,
            "svc": u.svc,
            "zone": u.zone,
            "address": f"{u.host}:80",
            "capacity": u.slots,
            "state": "up",
        }
        for u in fleet().units
    ]
    said = [
        status(
            "office",
            f"office-{i}",
            active=not i,
            view={"voters": "abc"},
            workers=workers,
            settled=True,
            ctl=f"127.0.0.1:{i + 1}",
        )
        for i in range(3)
    ]
    said += [status("depot", f"depot-{i}", settled=True) for i in range(3)]
    said += [status("counter", f"counter-{i}", desks={"gate": {"queue": 0, "jobs": 1}}) for i in range(3)]
    answers = {("h", i): one for i, one in enumerate(said)}
    monkeypatch.setattr(window_commands, "fetch_statuses", lambda at: answers)
    file = tmp_path / "w.toml"
    file.write_text(FILE)
    assert run(["maintenance", "plan", str(file), "--json"]) == 0
    assert sorted(map(len, json.loads(capsys.readouterr().out)["steps"])) == [1, 2]
    file.write_text(FILE.replace("least = 2", "least = 5"))
    assert run(["maintenance", "plan", str(file)]) == 1
    assert "workers of gate: 4 left, 5 needed" in capsys.readouterr().out
    file.write_text(FILE.replace("least = 2", "leats = 2"))
    assert run(["maintenance", "start", str(file)]) == 2
    assert f"{file}:19: needs[0].leats" in capsys.readouterr().err
    assert window_commands.offices(answers) == [("127.0.0.1", i + 1) for i in range(3)]


def test_a_report_plots_live_slots_against_needs(tmp_path: Path, capsys: Any) -> None:
    s, record = new_stage(6.0), tmp_path / "record"
    with record.open("w") as out:
        for _ in range(8):
            s.run(5.0)
            now = s.state
            out.write(
                json.dumps(
                    {
                        "window": "night <1>",
                        "phase": now.phase,
                        "step": now.at,
                        "steps": now.steps,
                        "why": [],
                        "ran_s": now.ran_s,
                        "racks": {n: {"state": c.state, "recalled": False} for n, c in now.racks.items()},
                        "log": now.log,
                        "lost": now.lost,
                        "fair": now.fair,
                        "declared": now.declared.json(),
                        "live": {"gate": sum(u.slots for u in s.f.units)},
                        "demand": {"gate": 6.0},
                    }
                )
                + "\n"
            )
    page = tmp_path / "page.html"
    assert run(["maintenance", "report", "--record", str(record), "--out", str(page), "--json"]) == 0
    [share] = json.loads(capsys.readouterr().out)["shares"]
    assert share["over"] == 1.0 and share["slot_seconds"] > 50
    assert page.read_text().count("<polyline") == 3 and "night &lt;1&gt;" in page.read_text()
    record.write_text("no record\n")
    assert run(["maintenance", "report", "--record", str(record)]) == 2
    assert f"{record}:1: this line is not a record" in capsys.readouterr().err


# ---- the shares


def test_max_min_gives_each_its_demand_or_an_equal_part_by_weight() -> None:
    assert maxmin({"a": 1, "b": 9, "c": 9}, {}, 9) == {"a": 1, "b": 4, "c": 4}
    assert maxmin({"a": 9, "b": 9}, {"a": 2.0}, 9) == {"a": 6, "b": 3}
    assert maxmin({"a": 1, "b": 2}, {}, 9) == {"a": 1, "b": 2} and maxmin({}, {}, 9) == {}


def test_unused_shares_are_lent_and_borrowers_wait_first() -> None:
    s = Share({}, {}, 0.0)
    s.observe(0.1, 12.0, {}, 0)
    taken = 0
    while not s.admit("crowd", 0):
        taken += 1
    assert taken == 12 and s.figures["lent"] == 0  # alone it is entitled to all places
    assert s.admit("gate", 0) == 0.0  # another is still accepted, within its half
    s.observe(0.2, 12.0, {"crowd": 12, "gate": 1}, 6)
    waits = [s.admit("crowd", 0) for _ in range(3)]
    assert all(0.0 < w <= MAX_RETRY_AFTER for w in waits)
    assert [s.admit("gate", 0) for _ in range(5)] == [0.0] * 5 and s.admit("gate", 0) > 0.0
    s.observe(0.3, 12.0, {"crowd": 4, "gate": 6}, 8)
    assert [s.admit("crowd", 0) for _ in range(2)] == [0.0] * 2 and s.admit("crowd", 0) > 0.0


def test_over_its_share_the_lower_priority_is_refused_first() -> None:
    s = Share({"r0": "p", "r1": "p"}, {}, 0.0)
    s.observe(0.1, 12.0, {}, 0)
    assert s.admit("r0", 0) == 0.0 == s.admit("r1", 1)
    s.observe(2.1, 12.0, {"p": 5, "q": 9}, 20)  # each is entitled to six, the lower priority to 4.5
    assert s.admit("r1", 1) > 0.0 == s.admit("r0", 0)
    s.observe(2.2, 12.0, {"p": 6, "q": 9}, 1)
    assert 0.0 < s.admit("r0", 0) < s.admit("r1", 1)
