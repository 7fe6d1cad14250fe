"""The list of workers: a watch kept without a gap, and its entries."""

from __future__ import annotations

import json
import time
import zlib
from collections.abc import Callable, Iterable
from typing import Any

from opalwick.interface import ListForm, Phase
from opalwick.protocol.http import Malformed, received
from opalwick.protocol.settings import Names
from opalwick.transport.connection import Address, Connection, opened
from opalwick.transport.limits import Limits

_PHASES = {"ready": Phase.READY, "draining": Phase.DRAINING, "gone": Phase.GONE}
LONG_AGO = -1e9  # before any start of a clock


def address(text: Any, least: int = 1) -> Address:
    host, colon, port = text.rpartition(":") if isinstance(text, str) else ("", "", "")
    if not host or not colon or not port.isdigit() or not least <= int(port) < 65536:
        raise ValueError(f"not an address: {text!r}")
    return host, int(port)


def _share(given: Any) -> float:
    """A worker's size; an odd one counts as untold, which costs nobody the worker."""
    return float(given) if isinstance(given, (int, float)) and 0 < given < 1e6 else 0.0


def rows(told: Any, names: Names, unix: float) -> tuple[int, bool, list[tuple]]:
    """The version, whether the list is whole, and its entries as the reducer takes them.

    `unix` is the Unix time at which the clock stood at nought. ValueError where a list is no list; an odd
    entry is passed over, as one worker more or less must not cost the others.
    """
    try:
        version, whole, hosts = int(told["seq"]), bool(told["whole"]), list(told["hosts"])
    except (TypeError, KeyError, OverflowError) as problem:
        raise ValueError(f"not a list of workers: {problem}") from None
    found = []
    for entry in hosts:
        try:
            name, born, zone = str(entry["host"]), float(entry.get("born_ms", 0)), names.zone(entry["site"])
            if zone > 255:  # a word to another scheduler gives it a byte
                continue
            # the same number at every scheduler
            number = zlib.crc32(name.encode())
            found.append(
                (
                    name,
                    number,
                    zone,
                    names.kind(entry["class"]),
                    int(entry.get("block", 0)),
                    _PHASES[entry["health"]],
                    born / 1000.0 - unix if born > 0 else LONG_AGO,
                    address(entry["dial"]),
                    _share(entry.get("share")),
                )
            )
        except (TypeError, KeyError, ValueError, AttributeError, OverflowError):
            continue
    return version, whole, found


def listing(version: int, found: Iterable[tuple], names: Names, unix: float) -> dict[str, Any]:
    """The inverse of `rows`."""
    zones, kinds = ({i: name for name, i in given.items()} for given in (names.zones, names.kinds))
    words = {phase: word for word, phase in _PHASES.items()}
    return {
        "seq": version,
        "whole": True,
        "hosts": [
            {
                "host": name,
                "dial": "%s:%d" % place,
                "site": zones[zone],
                "class": kinds[kind],
                "block": cell,
                "health": words[phase],
                "share": share,
                "born_ms": round((ready_at + unix) * 1000.0) if ready_at > LONG_AGO else 0,
            }
            for name, _, zone, kind, cell, phase, ready_at, place, share in found
        ],
    }


class Discovery:
    """Calls are made one after the other, by the greenlet that runs `watch`."""

    def __init__(
        self,
        place: Address,
        version: int,
        names: Names,
        unix: float,
        limits: Limits,
        listed: Callable[[ListForm, list[tuple]], None],
    ) -> None:
        self.place, self.version, self.names, self.unix = place, version, names, unix
        self.limits, self.listed = limits, listed
        self.connection: Connection | None = None
        self.moved = False  # since the call that is on its way began

    def move(self, place: Address) -> None:
        """What is on its way is broken off: the old place may stay silent, or tell nothing any more."""
        self.place, self.moved = place, True
        self.close()

    def watch(self) -> None:
        """Until a call fails: then the reducer asks for another watch when it sees fit."""
        wait = 0.0  # the first answer comes at once: the watch is on
        try:
            while True:
                self.moved = False
                try:
                    version, whole, found = self.call(wait)
                except (OSError, Malformed, ValueError):
                    if not self.moved:
                        raise
                    self.close()
                    wait = 0.0  # begun anew elsewhere, without a pause
                    continue
                self.version = version
                if found or whole or not wait:
                    self.listed(ListForm.FULL if whole else ListForm.CHANGES, found)
                wait = self.limits.watch
        except (OSError, Malformed, ValueError):
            pass
        finally:
            # whatever ended it: a watch that is not known to have failed would never be asked for again
            self.close()
            self.listed(ListForm.FAILED, [])

    def call(self, wait: float) -> tuple[int, bool, list[tuple]]:
        # calls that do not wait still queue at discovery, which fails them itself when that takes too long
        until = time.monotonic() + (wait + self.limits.silent if wait else self.limits.queued)
        target = f"/api/targets?since={self.version}&timeout_ms={max(1, int(wait * 1000))}"
        data = f"GET {target} HTTP/1.1\r\nHost: discovery\r\n\r\n".encode()
        if self.connection is not None and self.connection.readable():
            self.close()
        if self.connection is None:
            self.connection = opened(self.limits.ring)
            self.connection.connect(self.place, self.limits.connect)
        self.connection.write(data, until - time.monotonic())
        found = received(self.connection, self.limits, until, self.limits.list)
        if not found.keep_alive:
            self.close()
        if found.status != 200:
            raise ValueError(f"discovery answered {found.status}")
        return rows(json.loads(found.body), self.names, self.unix)

    def unread(self) -> bool:
        """Whether a list, or a part of one, lies in its socket."""
        return self.connection is not None and self.connection.readable()

    def close(self) -> None:
        if self.connection is not None:
            self.connection.close()
            self.connection = None
