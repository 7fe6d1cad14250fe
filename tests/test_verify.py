"""`verify` in the small: each case's first states hold, each planted fault is caught, and what stands for a
disk does as the disk does. `python -m opalwick verify` sees the rest."""

from __future__ import annotations

import json
from pathlib import Path
from random import Random

import pytest
from typer.testing import CliRunner

from opalwick.commands import app
from opalwick.lab.verify import leases, offices
from opalwick.lab.verify.explorer import PropertyViolation, replay, search
from opalwick.lab.verify.mutants import MUTANTS, search_mutant
from opalwick.lab.verify.parts import PARTS, SERVING, STORED, Fence, Takeover, depot, office
from opalwick.lab.verify.rows import InMemoryDisk
from opalwick.post.depot.disk import Disk

FEW = 150  # states: what a second or two shows of all parts


@pytest.mark.parametrize("part", sorted(PARTS))
def test_nothing_is_broken_in_the_first_states(part: str) -> None:
    for case in PARTS[part]:
        found = search(case.root(), FEW)
        assert found.violation is None, (case.name, found.violation)
        assert found.exhaustive or found.states >= FEW


@pytest.mark.parametrize("name", sorted(MUTANTS))
def test_a_planted_fault_is_caught(name: str) -> None:
    """And nothing is found without it, in as many states."""
    found = search_mutant(name)
    assert found.violation is not None and found.violation.rule in MUTANTS[name].rules, found
    assert search(MUTANTS[name].root(), min(found.states, FEW)).violation is None


def test_a_trace_is_played_again_to_the_same_breach() -> None:
    from opalwick.lab.verify.mutants import planted_mutant

    found = search_mutant("a_lapsed_counter_goes_on").violation
    assert found is not None
    mutant = MUTANTS["a_lapsed_counter_goes_on"]
    with planted_mutant(mutant):
        replay(mutant.root(), found.trace[:-1])
        with pytest.raises(PropertyViolation, match="two deliverers"):
            replay(mutant.root(), found.trace)


def test_a_copy_shares_nothing_that_alters() -> None:
    """All that may follow is tried, and the world it was tried on is as before."""
    for cases in PARTS.values():
        state = cases[-1].root()
        before = state.key()
        for step in state.enabled():
            state.successor(step)
        getattr(state, "marks", {}).clear()
        assert state.key() == before


def test_leases_that_differ_by_an_exchange_of_offices_are_one() -> None:
    state = leases.LeaseModel(leases.Budget(time=2))
    one, other = (
        replay(state, (("hears", a, "c1/1"), ("hears", b, "c1/1"), ("hears", "c1/1", a)))
        for a, b in (("o1", "o2"), ("o3", "o1"))
    )
    assert one.key() == other.key() != state.key()
    assert one.key() != replay(state, (("hears", "o1", "c1/1"), ("hears", "o2", "c1/1"))).key()


def test_two_depots_cut_off_from_each_other_both_deliver() -> None:
    """The one way that is known and left open, in the design note: no case may come to it unseen."""
    for apart in ("d1", "d2"):
        root = depot(Fence(time=6, reorder=0), *STORED, ("cut", "d1", "d2"), ("cut", "c1", apart))
        found = search(root()).violation
        assert found is not None and found.rule == "two deliverers"
    assert not any(case.root().budget.split for case in PARTS["fence"])  # type: ignore[attr-defined]


def test_a_lost_disk_that_survival_does_not_bear_is_not_played() -> None:
    state = office(Takeover(wipe=2, reorder=0), *SERVING)()
    state = state.successor(("loses its disk", "o2"))
    assert isinstance(state, offices.ControllerModel) and not any(
        s[0] == "loses its disk" for s in state.enabled()
    )


@pytest.mark.parametrize("seed", range(2))
def test_rows_are_what_the_depots_disk_makes_of_the_same_writes(seed: int, tmp_path: Path) -> None:
    draw, rows, disk = Random(seed), InMemoryDisk("d"), Disk(str(tmp_path))
    for _ in range(40):
        mid = f"m{draw.randrange(4)}"
        writes = [
            ("keep", (mid, mid.encode(), draw.random(), 9.0, draw.randrange(3), 0)),
            ("end", (mid, draw.randrange(2), "s", 9.0, "d1 d2")),
            ("tried", (mid, draw.random(), draw.randrange(3), 1)),
            ("holders", (mid, f"d{draw.randrange(3)}")),
            ("drop", (mid,)),
            ("forget", (mid,)),
        ]
        batch = [draw.choice(writes) for _ in range(draw.randrange(1, 4))]
        rows.commit(batch)
        disk.commit(batch)
        assert sorted(rows.letters()) == sorted(disk.letters()) and sorted(rows.ends()) == sorted(disk.ends())
        assert rows.letter(mid) == disk.letter(mid)
    disk.close()


def test_the_command_tells_states_and_names_what_is_faulty() -> None:
    run = CliRunner().invoke
    good = run(app, ["verify", "--part", "lease", "--share", "0.005", "--no-mutants", "--json"])
    told = json.loads(good.stdout.splitlines()[-1])
    assert good.exit_code == 0 and told["states"] > 100
    assert (
        told["broken"] == [] and told["mutants"] == told["caught"] == 0 and list(told["parts"]) == ["lease"]
    )
    for wrong, text in ((["--part", "office"], "takeover, fence, lease"), (["--share", "0"], "more than 0")):
        bad = run(app, ["verify", *wrong])
        assert bad.exit_code == 2 and text in bad.stderr


def test_a_breach_is_told_with_its_way_and_code_1(monkeypatch: pytest.MonkeyPatch) -> None:
    def plant(where: object, name: str, what: object) -> None:
        monkeypatch.setattr(where, name, what)

    MUTANTS["kept_said_before_the_sync"].plant(plant)
    broken = CliRunner().invoke(
        app, ["verify", "--part", "fence", "--share", "0.002", "--no-mutants", "--json"]
    )
    assert broken.exit_code == 1 and "1 c1 offers" in broken.stdout
    assert {"part", "case", "rule", "why", "steps"} == set(
        json.loads(broken.stdout.splitlines()[-1])["broken"][0]
    )
