"""The catalogue of events against the code, both ways; the bound on lines; the operators' pages' figures."""

from __future__ import annotations

import ast
import re
from importlib import import_module
from pathlib import Path
from types import SimpleNamespace

import pytest

from opalwick.post import events
from opalwick.post.counter.role import Counter
from opalwick.post.depot.role import Depot
from opalwick.post.office.role import Office
from opalwick.post.settings import parse

HERE = Path(__file__).parent.parent
PAGES = HERE / "docs" / "operate"
SETTINGS = "node=n\nrole=x\nip=127.0.0.1\naz=a\nport_range=7300,7315\nzones.a=r\nseeds=127.0.0.1:1\n"
ROLES = {
    "counter": lambda: Counter(parse(SETTINGS, ""), 1, 0.0, 8),
    "depot": lambda: Depot(parse(SETTINGS, ""), 1, 0.0, "d"),
    "office": lambda: Office(parse(SETTINGS, ""), 1, 0.0, None),
}


def rows(page: str, first: str) -> list[list[str]]:
    """Of the tables whose rows begin so."""
    found = re.findall(rf"^\| {first} \|.*$", (PAGES / page).read_text(), re.M)
    return [[cell.strip() for cell in row.strip("|").split("|")] for row in found]


def said(sayers: tuple[str, ...] = ("events.say", "self.event", "self.trace")) -> dict[int, set[str]]:
    """Every number that the code says, with its fields; `*`: some that only the running process knows."""
    found: dict[int, set[str]] = {}
    for path in sorted((HERE / "opalwick" / "post").rglob("*.py")):
        for node in ast.walk(ast.parse(path.read_text())):
            if not isinstance(node, ast.Call) or not isinstance(node.func, ast.Attribute) or not node.args:
                continue
            first, whose = node.args[0], ast.unparse(node.func)
            if whose in sayers:
                fields = {keyword.arg or "*" for keyword in node.keywords}
            elif "self.event" in sayers and whose.endswith("events.append") and isinstance(first, ast.Tuple):
                first, given = first.elts
                assert isinstance(given, ast.Dict)
                fields = {ast.literal_eval(key) for key in given.keys if key is not None}
            else:
                continue
            if isinstance(first, ast.Constant):  # else it is passed on
                assert found.setdefault(first.value, fields) == fields, f"{path}: {first.value}: other fields"
    return found


def test_every_event_is_in_the_catalogue_and_every_entry_is_said() -> None:
    told = {
        int(number): set(re.findall(r"`(\w+)`", fields)) | ({"*"} if "see below" in fields else set())
        for number, _, _, fields, _ in rows("events.md", r"\d{3}")
    }
    assert said() == told
    assert {row[1] for row in rows("events.md", r"\d{3}")} <= {"info", "warning", "error", "trace"}
    # only what nobody asked for is unbounded, and so of the level trace
    traced = {int(row[0]) for row in rows("events.md", r"\d{3}") if row[1] == "trace"}
    assert said(("self.trace",)).keys() == traced


@pytest.mark.parametrize("role", ROLES)
def test_the_figures_are_in_the_catalogue(role: str) -> None:
    told = {name.strip("`"): kind for _, name, kind, _ in rows("events.md", role)}
    assert told.keys() == ROLES[role]().figures().keys()
    now = import_module(f"opalwick.post.{role}.status").NOW
    assert {name for name, kind in told.items() if kind == "now"} - {"state"} == now


def test_the_constants_on_the_page_are_those_in_force() -> None:
    table = rows("post.md", r"`[A-Z_]+`")
    assert len(table) > 15
    for name, module, value, _ in table:
        found = getattr(import_module("opalwick.post." + module.strip("`")), name.strip("`"))
        assert found == float(value), f"docs/operate/post.md: {name}"


def test_a_storm_of_one_number_is_bounded_and_counted(monkeypatch: pytest.MonkeyPatch) -> None:
    lines: list[dict] = []
    clock = SimpleNamespace(monotonic=lambda: clock.now, now=7.0)
    monkeypatch.setattr(events, "time", clock)
    monkeypatch.setattr(events, "_written", {})
    monkeypatch.setattr(events.eliot, "log_message", lambda **fields: lines.append(fields))
    for number in [205] * (events.MOST + 10) + [206]:
        events.say(number, gen=1)
    assert [line["message_type"] for line in lines] == ["post:205"] * events.MOST + ["post:206"]
    clock.now = 8.1
    events.say(205, gen=2)
    events.say(205, gen=3)
    assert lines[-2:] == [
        {"message_type": "post:205", "gen": 2, "passed_over": 10},
        {"message_type": "post:205", "gen": 3},
    ]
