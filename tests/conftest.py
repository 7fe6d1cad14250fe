"""Fails every test in which an invariant is violated."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

import pytest

from opalwick.post import events


@pytest.fixture(autouse=True)
def no_violation(request: pytest.FixtureRequest, monkeypatch: pytest.MonkeyPatch) -> Iterator[None]:
    """Asserts that no process of the test reports a violation event, or that one does if the test causes it
    on purpose and has the mark `violates`.
    """
    found: list[tuple[int, dict[str, Any]]] = []
    say = events.emit

    def recorded(number: int, **fields: Any) -> None:
        if number in events.VIOLATIONS:
            found.append((number, fields))
        say(number, **fields)

    monkeypatch.setattr(events, "emit", recorded)
    yield
    assert bool(found) == bool(request.node.get_closest_marker("violates")), found[:3]
