"""What must never be so fails the test in which it is."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

import pytest

from opalwick.post import events


@pytest.fixture(autouse=True)
def no_violation(request: pytest.FixtureRequest, monkeypatch: pytest.MonkeyPatch) -> Iterator[None]:
    """No process of this test says an event of a violation, but where the test brings one about on purpose
    and has the mark `violates`.
    """
    found: list[tuple[int, dict[str, Any]]] = []
    say = events.emit

    def heard(number: int, **fields: Any) -> None:
        if number in events.VIOLATIONS:
            found.append((number, fields))
        say(number, **fields)

    monkeypatch.setattr(events, "emit", heard)
    yield
    assert bool(found) == bool(request.node.get_closest_marker("violates")), found[:3]
