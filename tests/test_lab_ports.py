"""Ports for the processes of simulated days: no two runs at the same time hand out the same one."""

from __future__ import annotations

import random
import socket
import subprocess
import sys

import pytest

from opalwick.lab.sockets.ports import BLOCK_SIZE, HOST, LAST, PortBlocks

DRAWS = """
import random, sys
from opalwick.lab.sockets.ports import free_port
draw = random.Random(1)
print(*(free_port(draw) for _ in range(40)), flush=True)
sys.stdin.read()
"""


def test_processes_that_draw_alike_at_the_same_time_share_no_port() -> None:
    """None of the ports is bound yet: a member binds its own when its process is up, a second later."""
    runs = [
        subprocess.Popen([sys.executable, "-c", DRAWS], stdin=subprocess.PIPE, stdout=subprocess.PIPE)
        for _ in range(3)
    ]
    drawn = [run.stdout.readline().split() for run in runs]
    for run in runs:
        run.communicate()
    assert [len(ports) for ports in drawn] == [40, 40, 40]
    assert len(set().union(*drawn)) == 120


@pytest.fixture
def blocks():
    base = LAST  # three blocks beyond the range that free_port claims: other runs have none of these ports
    made = PortBlocks(base, base + 3 * BLOCK_SIZE)
    yield made
    made.close()


def test_a_port_of_an_earlier_day_is_handed_out_again_and_one_in_use_is_not(blocks: PortBlocks) -> None:
    draw = random.Random(2)
    drawn = [blocks.take(draw) for _ in range(3 * (BLOCK_SIZE - 1))]
    assert len(set(drawn)) == len(drawn) and not any(port % BLOCK_SIZE == 0 for port in drawn)
    with socket.create_server((HOST, drawn[0])):
        assert blocks.take(draw) == drawn[1]
    assert [blocks.take(draw), blocks.take(draw)] == [drawn[2], drawn[3]]


def test_without_a_free_port_the_error_says_so(blocks: PortBlocks) -> None:
    other = PortBlocks(blocks.bases.start, blocks.bases.stop)
    for _ in range(3 * (BLOCK_SIZE - 1)):
        other.take(random.Random(3))
    with pytest.raises(OSError, match="no free port found"):
        blocks.take(random.Random(4))
    other.close()
    assert blocks.take(random.Random(4)) % BLOCK_SIZE
