"""Settings files: values that are read, and errors that are reported."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

import pytest

from opalwick.post.settings import Bounds, InvalidFile, Survive, parse, read

MINIMAL = "node=n1\nrole=post\nip=10.1.0.25\naz=maipu\nport_range=7240,7255\n"
EDGE = (
    MINIMAL
    + """serves=edge
zones.maipu=santiago
binds.front=10.1.0.25:8044
binds.ready=10.1.0.25:8045
seeds=10.1.0.29:8046,10.2.0.17:8046
bootstrap=true
caps.cpu=0.537
beat_ms=1200
policy=base,drain
survive.zones=1
bounds.ack_ms=2500
bounds.sync_s=4.5
new.field=ignored
"""
)


def test_all_values_are_read():
    s = parse("# comment\r\n\r\n" + EDGE, "f")
    assert (s.zone, s.region, s.serves, s.ports) == ("maipu", "santiago", ("edge",), (7240, 7255))
    assert s.binds == {"front": ("10.1.0.25", 8044), "ready": ("10.1.0.25", 8045)}
    assert s.seeds == (("10.1.0.29", 8046), ("10.2.0.17", 8046)) and s.policy == ("base", "drain")
    assert (s.bootstrap, s.counted, s.cpu, s.beat, s.datadir) == (True, False, 0.537, 1.2, "")
    assert s.survive == Survive(1, 1, 0) and s.bounds == Bounds(ack=2.5)


@pytest.mark.parametrize(
    "text, errors",
    [
        (
            MINIMAL
            + "caps.cpu=zero\ncaps.nofile=1.5\nbootstrap=yes\nseeds=10.1.0.29:80,there:1\nbounds.ack_ms=nan",
            [
                "f:6: caps.cpu: must be a number of at least 0, not 'zero'",
                "f:7: caps.nofile: must be a whole number, not '1.5'",
                "f:8: bootstrap: must be true or false, not 'yes'",
                "f:9: seeds: must be IPv4:PORT, not 'there:1'",
                "f:10: bounds.ack_ms: must be a number of at least 0, not 'nan'",
            ],
        ),
        (
            MINIMAL + "serves=edge,ctl,disk\nbinds.front=10.1.0.25:0\n",
            [
                "f:7: binds.front: must be IPv4:PORT, not '10.1.0.25:0'",
                "f: binds.ready: missing",
                "f: binds.ctl: missing",
                "f: datadir: missing",
            ],
        ),
        (
            MINIMAL + "torn\n\0\0\na=b\\\nu=\\u12\n",
            [
                "f:6: not a line of the form key=value",
                "f:7: not a line of the form key=value",
                "f:8: not a line of the form key=value",
                "f:9: u: invalid escape sequence",
            ],
        ),
        (
            "ip=10.1\nport_range=9,8\nnode=\n",
            [
                "f:1: ip: must be an IPv4 address, not '10.1'",
                "f:2: port_range: must be FIRST,LAST, two ports, not '9,8'",
                "f:3: node: empty",
                "f: az: missing",
                "f: role: missing",
            ],
        ),
    ],
)
def test_every_error_is_reported(text, errors):
    with pytest.raises(InvalidFile) as raised:
        parse(text, "f")
    assert str(raised.value).split("\n") == errors


def test_unreadable_file(tmp_path):
    path = tmp_path / "settings.conf"
    with pytest.raises(InvalidFile, match=r"settings\.conf: No such file"):
        read(str(path))
    path.write_bytes(EDGE.encode() + b"\xff\n")
    with pytest.raises(InvalidFile, match=r"settings\.conf:19: not valid UTF-8"):
        read(str(path))


@pytest.mark.parametrize("signal_name", ["SIGHUP", "SIGTERM"])
def test_signal_during_start_does_not_end_the_process(signal_name: str) -> None:
    """A signal that arrived before the handlers were installed terminated the process."""
    code = f"""
import os, signal, sys
from opalwick.post import __main__ as program, settings
def read(path):
    os.kill(os.getpid(), signal.{signal_name})
    raise settings.InvalidFile("the file is read after that")
settings.read = read
sys.exit(program.main(["carrier", "counter"]))
"""
    env = {"OPALWICK_CONFIG": "any", "PYTHONPATH": str(Path(__file__).parent.parent), "PATH": "/usr/bin"}
    result = subprocess.run([sys.executable, "-c", code], env=env, capture_output=True, text=True, timeout=30)
    assert (result.returncode, result.stderr) == (2, "the file is read after that\n")
