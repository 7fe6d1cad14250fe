"""A machine with a real process on it: its settings file, its folder, signals."""

from __future__ import annotations

import ctypes
import shutil
import signal
import subprocess
import sys
from pathlib import Path
from typing import TYPE_CHECKING, Any

from opalwick.lab.post.process import RESTART_DELAY, MAX_PROBLEMS

if TYPE_CHECKING:
    from opalwick.lab.post.sockets.world import SocketWorld

FRONT, READY, CTL, PORTS = 8263, 8268, 8262, (7300, 7315)
LINKS = 7310  # where a process listens for links; the first of PORTS is its relay's
PROGRAMS = {"counter": ("carrier", "counter"), "depot": ("carrier", "depot"), "office": ("postmaster",)}
SERVES = {"counter": "edge", "depot": "disk", "office": "ctl"}
LOOK = 0.02  # s between looks whether the process has ended
_DEATH = 1  # prctl's PR_SET_PDEATHSIG: no process outlives the rig, whatever ends that


_LIBC = ctypes.CDLL(None)


def _with_parent() -> None:
    _LIBC.prctl(_DEATH, signal.SIGKILL)


class SocketMachine:
    """As `process.Machine`, to the faults; a process that ends by itself is a FAULT, and started again."""

    def __init__(self, world: SocketWorld, node: str, role: str, zone: str, number: int) -> None:
        self.world, self.node, self.role, self.zone, self.number = world, node, role, zone, number
        self.ip = f"{world.net_of}.{10 + number}"
        self.draw = world.draws.of(f"machine/{node}")
        self.power = True
        self.losses = self.starts = self.downs = self.still = self.told = 0
        self.proc: Any = None
        self.leaving = False
        self.dying: list[Any] = []  # killed, and still in the kernel's hands
        self.folder = world.folder / node
        self.log = world.out / f"{node}.log"

    # ---- its process

    def settings(self) -> str:
        world, day = self.world, self.world.day
        bounds = day.bounds
        lines = [
            f"node={self.node}",
            f"role={self.role}",
            f"serves={SERVES[self.role]}",
            f"ip={self.ip}",
            f"az={self.zone}",
            "region=r",
            *[f"zones.{zone}=r" for zone in day.zones],
            f"port_range={PORTS[0]},{PORTS[1]}",
            f"binds.links={self.ip}:{LINKS}",
            "seeds=" + ",".join(f"{m.ip}:{CTL}" for m in world.of("office")[:3]),
            f"bootstrap={'true' if self.starts == 0 else 'false'}",
            f"counted={'false' if self.role == 'counter' else 'true'}",
            "caps.mem_mb=300",
            "caps.nofile=1024",
            f"caps.disk_mb={day.disk_mb:g}" if self.role == "depot" else "caps.disk_mb=128",
            f"beat_ms={float(day.beat) * 1000:g}",
            "survive.boxes=1",
            *[
                f"bounds.{name}_ms={float(getattr(bounds, name)) * 1000:g}"
                for name in ("contact", "ack", "drain", "loss", "apply", "revert", "skew")
            ],
            *[
                f"bounds.{name}_s={float(getattr(bounds, name)):g}"
                for name in ("sync", "grace", "recover", "ceil_win", "reuse")
            ],
            f"bounds.ceil_excess={bounds.ceil_excess:g}",
        ]
        if self.role == "counter":
            lines += [f"binds.front={self.ip}:{FRONT}", f"binds.ready={self.ip}:{READY}"]
        else:
            lines.append(f"datadir={self.folder}")
        if self.role == "office":
            lines.append(f"binds.ctl={self.ip}:{CTL}")
        return "\n".join(lines) + "\n"

    def start(self) -> None:
        if self.proc is not None or self.downs or self.world.over_:
            return
        self.dying = [proc for proc in self.dying if proc.poll() is None]
        if self.dying:  # its addresses are not free yet
            self.world.agenda.after(LOOK, self.start)
            return
        self.folder.mkdir(exist_ok=True)
        path = self.world.out.absolute() / f"{self.node}.conf"
        path.write_text(self.settings())
        env = {"OPALWICK_CONFIG": str(path), "PYTHONPATH": str(Path(__file__).parents[4]), "PATH": "/usr/bin"}
        with self.log.open("ab") as log:
            self.proc = subprocess.Popen(
                [sys.executable, "-m", "opalwick.post", *PROGRAMS[self.role], "--trace"],
                cwd=self.world.folder,
                env=env,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                preexec_fn=_with_parent,
            )
        self.world.note("up", self.node, self.starts)
        self.starts += 1
        self.leaving = False
        if self.still:
            self.proc.send_signal(signal.SIGSTOP)
        self.world.agenda.after(LOOK, self.look, self.proc)

    def look(self, proc: Any) -> None:
        """Whether it has ended by itself."""
        if self.proc is not proc:
            return
        if (code := proc.poll()) is None:
            self.world.agenda.after(LOOK, self.look, proc)
            return
        if not (self.leaving and code == 0):
            self.problem(f"its process ended by itself with {code}")
        self.gone()
        least, most = RESTART_DELAY
        self.world.agenda.after(least + (most - least) * self.draw.random(), self.start)

    def problem(self, what: str) -> None:
        if len(self.world.problems) < MAX_PROBLEMS:
            self.world.problems.append((self.world.agenda.now, self.node, what, ""))

    def gone(self) -> None:
        self.proc = None
        self.world.note("down", self.node)

    def kill(self) -> None:
        """Waits for nobody: on a busy machine it takes its time to die."""
        if self.proc is not None:
            self.proc.kill()
            self.dying.append(self.proc)
            self.gone()

    # ---- what befalls it

    def down(self, power: bool, wipe: bool = False) -> None:
        """`power`: here as a kill. What its kernel had not written to the disk stays."""
        self.downs += 1
        self.kill()
        if wipe:
            shutil.rmtree(self.folder, ignore_errors=True)

    def back(self) -> None:
        self.downs -= 1
        self.start()

    def freeze(self, still: bool) -> None:
        self.still += 1 if still else -1
        if self.proc is not None and self.still == (1 if still else 0):
            self.proc.send_signal(signal.SIGSTOP if still else signal.SIGCONT)

    def hup(self) -> None:
        """Its settings file changes, in a field that no process knows; SIGHUP."""
        if self.proc is None:
            return
        self.told += 1
        path = self.world.out.absolute() / f"{self.node}.conf"
        fresh = path.with_suffix(".new")
        fresh.write_text(f"{self.settings()}lab.told={self.told}\n")
        fresh.rename(path)
        self.proc.send_signal(signal.SIGHUP)

    def term(self) -> None:
        """SIGTERM, and SIGKILL where it is there too long."""
        if (proc := self.proc) is None or self.leaving:
            return
        self.leaving = True
        proc.send_signal(signal.SIGTERM)

        def too_long() -> None:
            if self.proc is proc:
                self.problem("it did not end within its grace")
                self.kill()
                self.start()

        self.world.agenda.after(float(self.world.day.bounds.grace), too_long)
