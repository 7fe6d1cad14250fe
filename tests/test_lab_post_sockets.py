"""The judge around real processes: a short day with a kill and a freeze, and what the rig itself must do."""

from __future__ import annotations

import os
import socket
from pathlib import Path

import pytest

from opalwick.lab.day import BadDay
from opalwick.lab.post import world as worlds
from opalwick.lab.post.command import code_of, load_scenario
from opalwick.lab.post.day import parse
from opalwick.lab.post.run import run
from opalwick.lab.post.sockets.doors import node_of_connection

SHORT = """title = "short"
length = "1500 ms"
after = "700 ms"
counters = 1
depots = 2
offices = 1
rate = 20.0
[[faults]]
kind = "freeze"
at = "200 ms"
lasts = "300 ms"
of = ["counter-0"]
[[faults]]
kind = "kill"
at = "800 ms"
of = ["counter-0"]
size = 0.2
"""


def test_a_short_day_on_processes(monkeypatch: pytest.MonkeyPatch, tmp_path: Path) -> None:
    monkeypatch.setattr(worlds, "TRAFFIC_DELAY", 0.4)
    monkeypatch.setattr(worlds, "LOOKUP_TIME", 1.0)
    report = run(parse(SHORT, "short"), 1, "sockets", tmp_path)
    folders = [entry for entry in Path("/proc").iterdir() if entry.name.isdigit()]
    assert not any(str(tmp_path) in _settings(folder) for folder in folders)  # it ended all that it started
    if report["void"]:  # what has a time bound cannot be held on this machine now
        pytest.skip(report["void"])
    assert report["accepted"] and report["broken"] == []
    assert "counter-0's process is there again" in report["page"]
    lives = [line for line in (tmp_path / "counter-0.log").read_text().splitlines() if '"post:101"' in line]
    assert len(lives) == 2  # it was ready in each of its lives


def _settings(folder: Path) -> str:
    try:
        return (folder / "environ").read_text(errors="replace")
    except OSError:
        return ""


def test_a_day_with_faults_of_the_virtual_clock_is_refused() -> None:
    with pytest.raises(BadDay, match="stores: --clock sockets cannot bring about power, slow_disk"):
        load_scenario("stores", 1, "sockets")
    assert {fault.kind for seed in range(40) for fault in load_scenario("drawn", seed, "sockets").faults} >= {
        "kill",
        "freeze",
    }
    assert (code_of(2, 0), code_of(2, 1), code_of(0, 0)) == (1, 3, 0)


def test_a_connection_is_told_by_its_process() -> None:
    """Not by the first socket in the table that has the port: one at another address may have it, or one that
    ended.
    """
    mine = {os.getpid(): "counter-7"}
    with socket.socket() as door:
        door.bind(("127.0.0.1", 0))
        door.listen()
        with socket.create_connection(door.getsockname()) as calling:
            near, far = calling.getsockname(), door.getsockname()
            accepted, _ = door.accept()
            assert (
                node_of_connection(near, far, mine) == "counter-7" and node_of_connection(near, far, {}) == ""
            )
            elsewhere = ("127.0.0.9", near[1])
            with socket.socket() as other:
                other.bind(elsewhere)
                other.connect(far)
                assert node_of_connection(near, far, mine) == "counter-7"
                assert node_of_connection(elsewhere, far, mine) == "counter-7"
                assert node_of_connection(elsewhere, near, mine) == ""
    accepted.close()
    assert node_of_connection(near, far, mine) == ""
