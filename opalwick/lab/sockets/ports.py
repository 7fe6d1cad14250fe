"""Ports on loopback for the processes of a simulated day, drawn so that concurrent runs never share one.

A port is drawn long before the process it is meant for binds it, so a test bind alone does not protect it
from a run in another process. Each process therefore claims whole blocks of ports: it listens on the first
port of a block for as long as it lives, and hands out only the others.
"""

from __future__ import annotations

import errno
import os
import random
import socket
from collections import deque
from collections.abc import Iterator

HOST = "127.0.0.1"
# below the ports that the kernel deals out for outgoing connections: one of those could be taken in between
FIRST, LAST = 20000, 32000
BLOCK_SIZE = 100  # ports, the first of which is the claim itself
BLOCKS_BEFORE_REUSE = 8  # a process that holds so many hands out ports of earlier days again


class PortBlocks:
    """The blocks that this process holds; `first` and `last` bound the range in which it claims them."""

    def __init__(self, first: int = FIRST, last: int = LAST) -> None:
        self.bases = range(first, last, BLOCK_SIZE)
        self.claims: list[socket.socket] = []
        self.unused: list[int] = []
        self.used: deque[int] = deque()  # the port handed out longest ago comes first
        self.process_id = os.getpid()

    def take(self, draw: random.Random, kind: int = socket.SOCK_STREAM) -> int:
        """A port that can be bound now; `kind` is the type of its socket.

        Raises:
            OSError: EADDRINUSE where no port in the whole range is free.
        """
        for port in self._candidates(draw):
            self.used.append(port)
            if can_bind(port, kind):
                return port
        raise OSError(errno.EADDRINUSE, "no free port found")

    def _candidates(self, draw: random.Random) -> Iterator[int]:
        """Ports never handed out come first, then those of earlier days, then those of further blocks."""
        yield from self._unused(draw, BLOCKS_BEFORE_REUSE)
        for _ in range(len(self.used)):
            yield self.used.popleft()
        yield from self._unused(draw, len(self.bases))

    def _unused(self, draw: random.Random, most_blocks: int) -> Iterator[int]:
        while self.unused or (len(self.claims) < most_blocks and self._claim_block(draw)):
            yield self.unused.pop()

    def _claim_block(self, draw: random.Random) -> bool:
        """Whether a further block could be claimed."""
        for base in draw.sample(self.bases, len(self.bases)):
            claim = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            try:
                claim.bind((HOST, base))
                claim.listen(1)
            except OSError:
                claim.close()
                continue
            self.claims.append(claim)
            self.unused = list(range(base + 1, base + BLOCK_SIZE))
            draw.shuffle(self.unused)
            return True
        return False

    def close(self) -> None:
        """Gives all blocks back."""
        for claim in self.claims:
            claim.close()


def can_bind(port: int, kind: int) -> bool:
    """Whether nobody has bound `port` of loopback for this type of socket."""
    with socket.socket(socket.AF_INET, kind) as tried:
        try:
            tried.bind((HOST, port))
        except OSError:
            return False
    return True


_blocks: PortBlocks | None = None


def free_port(draw: random.Random, kind: int = socket.SOCK_STREAM) -> int:
    """A port that nobody has now and that no other process hands out.

    Raises:
        OSError: EADDRINUSE where there is none.
    """
    global _blocks
    if _blocks is None or _blocks.process_id != os.getpid():  # a forked child claims blocks of its own
        _blocks = PortBlocks()
    return _blocks.take(draw, kind)
