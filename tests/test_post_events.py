"""Events, figures and constants in the documentation match the code; the rate limit of log lines."""

from __future__ import annotations

import ast
import re
from importlib import import_module
from pathlib import Path
from types import SimpleNamespace

import pytest

from opalwick.post import events
from opalwick.post.controller.role import Controller
from opalwick.post.gateway.role import Gateway
from opalwick.post.operators import PACKAGES
from opalwick.post.settings import parse
from opalwick.post.store.role import StoreRole

HERE = Path(__file__).parent.parent
PAGES = HERE / "docs" / "operate"
SETTINGS = "node=n\nrole=x\nip=127.0.0.1\naz=a\nport_range=7300,7315\nzones.a=r\nseeds=127.0.0.1:1\n"
ROLES = {
    "counter": lambda: Gateway(parse(SETTINGS, ""), 1, 0.0, 8),
    "depot": lambda: StoreRole(parse(SETTINGS, ""), 1, 0.0, "d"),
    "office": lambda: Controller(parse(SETTINGS, ""), 1, 0.0, None),
}


LOGGERS = ("events.emit", "self.event", "self.controller.event", "self.store.event", "self.trace")


def rows(page: str, first: str) -> list[list[str]]:
    """Cells of all table rows on a page whose first cell matches."""
    found = re.findall(rf"^\| {first} \|.*$", (PAGES / page).read_text(), re.M)
    return [[cell.strip() for cell in row.strip("|").split("|")] for row in found]


def logged(
    loggers: tuple[str, ...] = LOGGERS,
) -> dict[int, set[str]]:
    """All event numbers that the code logs, with their fields; `*`: fields determined at run time."""
    found: dict[int, set[str]] = {}
    for path in sorted((HERE / "opalwick" / "post").rglob("*.py")):
        for node in ast.walk(ast.parse(path.read_text())):
            if not isinstance(node, ast.Call) or not isinstance(node.func, ast.Attribute) or not node.args:
                continue
            first, function = node.args[0], ast.unparse(node.func)
            if function in loggers:
                fields = {keyword.arg or "*" for keyword in node.keywords}
            elif (
                "self.event" in loggers
                and function.endswith("events.append")
                and isinstance(first, ast.Tuple)
            ):
                first, given = first.elts
                assert isinstance(given, ast.Dict)
                fields = {ast.literal_eval(key) for key in given.keys if key is not None}
            else:
                continue
            if isinstance(first, ast.Constant):  # otherwise the number is a parameter
                assert found.setdefault(first.value, fields) == fields, f"{path}: {first.value}: other fields"
    return found


def test_every_event_is_in_the_catalogue_and_every_entry_is_logged() -> None:
    documented = {
        int(number): set(re.findall(r"`(\w+)`", fields)) | ({"*"} if "see below" in fields else set())
        for number, _, _, fields, _ in rows("events.md", r"\d{3}")
    }
    assert logged() == documented
    assert {row[1] for row in rows("events.md", r"\d{3}")} <= {"info", "warning", "error", "trace"}
    # only events of level trace, which are off by default, have no rate limit
    traced = {int(row[0]) for row in rows("events.md", r"\d{3}") if row[1] == "trace"}
    assert logged(("self.trace",)).keys() == traced


@pytest.mark.parametrize("role", ROLES)
def test_the_figures_are_in_the_catalogue(role: str) -> None:
    documented = {name.strip("`"): kind for _, name, kind, _ in rows("events.md", role)}
    assert documented.keys() == ROLES[role]().figures().keys()
    now = import_module(f"opalwick.post.{PACKAGES[role]}.status").NOW
    assert {name for name, kind in documented.items() if kind == "now"} - {"state"} == now


def test_the_constants_on_the_page_are_those_in_force() -> None:
    table = rows("post.md", r"`[A-Z_]+`")
    assert len(table) > 15
    for name, module, value, _ in table:
        found = getattr(import_module("opalwick.post." + module.strip("`")), name.strip("`"))
        assert found == float(value), f"docs/operate/post.md: {name}"


def test_bursts_of_one_event_are_limited_and_counted(monkeypatch: pytest.MonkeyPatch) -> None:
    lines: list[dict] = []
    clock = SimpleNamespace(monotonic=lambda: clock.now, now=7.0)
    monkeypatch.setattr(events, "time", clock)
    monkeypatch.setattr(events, "_written", {})
    monkeypatch.setattr(events.eliot, "log_message", lambda **fields: lines.append(fields))
    for number in [205] * (events.MAX_PER_SECOND + 10) + [206]:
        events.emit(number, gen=1)
    assert [line["message_type"] for line in lines] == ["post:205"] * events.MAX_PER_SECOND + ["post:206"]
    clock.now = 8.1
    events.emit(205, gen=2)
    events.emit(205, gen=3)
    assert lines[-2:] == [
        {"message_type": "post:205", "gen": 2, "passed_over": 10},
        {"message_type": "post:205", "gen": 3},
    ]
