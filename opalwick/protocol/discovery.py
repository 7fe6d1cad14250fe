"""The list of workers: a continuous watch (long poll) at discovery, and decoding of its entries."""

from __future__ import annotations

import json
import time
import zlib
from collections.abc import Callable, Iterable
from typing import Any

from opalwick.interface import ListForm, Phase
from opalwick.protocol.http import Malformed, read_message
from opalwick.protocol.settings import NameMaps
from opalwick.transport.connection import Address, Connection, new_connection
from opalwick.transport.limits import Limits

_PHASES = {"ready": Phase.READY, "draining": Phase.DRAINING, "gone": Phase.GONE}
LONG_AGO = -1e9  # seconds; before the origin of any process's clock


def parse_address(text: Any, least: int = 1) -> Address:
    """Parses `host:port`, with a port of at least `least`. Raises ValueError."""
    host, colon, port = text.rpartition(":") if isinstance(text, str) else ("", "", "")
    if not host or not colon or not port.isdigit() or not least <= int(port) < 65536:
        raise ValueError(f"not an address: {text!r}")
    return host, int(port)


def _share(given: Any) -> float:
    """Returns a worker's size; 0 (unknown) if it is malformed, so that the worker stays usable."""
    return float(given) if isinstance(given, (int, float)) and 0 < given < 1e6 else 0.0


def parse_list(data: Any, names: NameMaps, unix: float) -> tuple[int, bool, list[tuple]]:
    """Decodes a list: its version, whether it is complete, and its entries as the reducer's rows.

    `unix` is the Unix time at the origin of the process's clock. Raises ValueError if it is not a list of
    workers; a malformed entry is skipped, as it must not make the other workers unusable.
    """
    try:
        version, whole, hosts = int(data["seq"]), bool(data["whole"]), list(data["hosts"])
    except (TypeError, KeyError, OverflowError) as problem:
        raise ValueError(f"not a list of workers: {problem}") from None
    found = []
    for entry in hosts:
        try:
            name, born, zone = str(entry["host"]), float(entry.get("born_ms", 0)), names.zone(entry["site"])
            if zone > 255:  # peer messages have one byte for a zone
                continue
            # a hash, so that a worker has the same id at every scheduler
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
                    parse_address(entry["dial"]),
                    _share(entry.get("share")),
                )
            )
        except (TypeError, KeyError, ValueError, AttributeError, OverflowError):
            continue
    return version, whole, found


def encode_list(version: int, found: Iterable[tuple], names: NameMaps, unix: float) -> dict[str, Any]:
    """Encodes rows to a complete list: the inverse of `parse_list`."""
    zones, kinds = ({i: name for name, i in given.items()} for given in (names.zones, names.kinds))
    health = {phase: text for text, phase in _PHASES.items()}
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
                "health": health[phase],
                "share": share,
                "born_ms": round((ready_at + unix) * 1000.0) if ready_at > LONG_AGO else 0,
            }
            for name, _, zone, kind, cell, phase, ready_at, place, share in found
        ],
    }


class Discovery:
    """Watches the list of workers over one connection, by sequential calls from the greenlet that runs
    `watch`."""

    def __init__(
        self,
        address: Address,
        version: int,
        names: NameMaps,
        unix: float,
        limits: Limits,
        on_list: Callable[[ListForm, list[tuple]], None],
    ) -> None:
        self.address, self.version, self.names, self.unix = address, version, names, unix
        self.limits, self.on_list = limits, on_list
        self.connection: Connection | None = None
        self.address_changed = False  # the address changed since the current call began

    def set_address(self, address: Address) -> None:
        """Changes the address. Aborts the current call: the old address may not answer, or have no more
        updates."""
        self.address, self.address_changed = address, True
        self.close()

    def watch(self) -> None:
        """Runs until a call fails; then the reducer decides when to start another watch."""
        wait = 0.0  # the first call returns at once, which confirms the watch
        try:
            while True:
                self.address_changed = False
                try:
                    version, whole, found = self.call(wait)
                except (OSError, Malformed, ValueError):
                    if not self.address_changed:
                        raise
                    self.close()
                    wait = 0.0  # restarted at the new address, without a pause
                    continue
                self.version = version
                if found or whole or not wait:
                    self.on_list(ListForm.FULL if whole else ListForm.CHANGES, found)
                wait = self.limits.watch
        except (OSError, Malformed, ValueError):
            pass
        finally:
            # on any exception: a watch that is not reported as failed would never be restarted
            self.close()
            self.on_list(ListForm.FAILED, [])

    def call(self, wait: float) -> tuple[int, bool, list[tuple]]:
        """Makes one call that waits up to `wait` seconds for changes. Raises OSError, Malformed,
        ValueError."""
        # calls that do not wait still queue at discovery, which fails them itself if that takes too long
        until = time.monotonic() + (wait + self.limits.watch_grace if wait else self.limits.discovery_call)
        target = f"/api/targets?since={self.version}&timeout_ms={max(1, int(wait * 1000))}"
        data = f"GET {target} HTTP/1.1\r\nHost: discovery\r\n\r\n".encode()
        if self.connection is not None and self.connection.readable():
            self.close()
        if self.connection is None:
            self.connection = new_connection(self.limits.ring)
            self.connection.connect(self.address, self.limits.connect)
        self.connection.write(data, until - time.monotonic())
        found = read_message(self.connection, self.limits, until, self.limits.list)
        if not found.keep_alive:
            self.close()
        if found.status != 200:
            raise ValueError(f"discovery answered {found.status}")
        return parse_list(json.loads(found.body), self.names, self.unix)

    def has_unread(self) -> bool:
        """Whether unread data, a list or a part of one, is in the socket."""
        return self.connection is not None and self.connection.readable()

    def close(self) -> None:
        if self.connection is not None:
            self.connection.close()
            self.connection = None
