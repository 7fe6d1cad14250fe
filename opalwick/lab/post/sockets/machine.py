"""A machine with a real process: its settings file, its data folder, and signals."""

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
LINKS = 7310  # port on which a process listens for links; its relay listens on the first of PORTS
PROGRAMS = {"counter": ("carrier", "counter"), "depot": ("carrier", "depot"), "office": ("postmaster",)}
SERVES = {"counter": "edge", "depot": "disk", "office": "ctl"}
POLL_INTERVAL = 0.02  # s between checks whether the process has exited
_PR_SET_PDEATHSIG = 1  # prctl option: kills the process when the test rig ends, for whatever reason


_LIBC = ctypes.CDLL(None)


def _die_with_parent() -> None:
    _LIBC.prctl(_PR_SET_PDEATHSIG, signal.SIGKILL)


class SocketMachine:
    """The counterpart of `process.Machine`, with the same interface for faults. A process that exits by
    itself violates the rule FAULT and is restarted."""

    def __init__(self, world: SocketWorld, node: str, role: str, zone: str, number: int) -> None:
        self.world, self.node, self.role, self.zone, self.number = world, node, role, zone, number
        self.ip = f"{world.loopback_net}.{10 + number}"
        self.draw = world.draws.of(f"machine/{node}")
        self.power = True
        self.losses = self.starts = self.downs = self.still = self.reloads = 0
        self.proc: Any = None
        self.leaving = False
        self.dying: list[Any] = []  # processes that were killed and may not have exited yet
        self.folder = world.folder / node
        self.log = world.out / f"{node}.log"

    # ---- the process

    def settings(self) -> str:
        """Returns the text of the settings file."""
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
        """Starts the process unless it runs, a fault keeps the machine down, or the scenario is over."""
        if self.proc is not None or self.downs or self.world.stopped:
            return
        self.dying = [proc for proc in self.dying if proc.poll() is None]
        if self.dying:  # the addresses are not free yet
            self.world.agenda.after(POLL_INTERVAL, self.start)
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
                preexec_fn=_die_with_parent,
            )
        self.world.note("up", self.node, self.starts)
        self.starts += 1
        self.leaving = False
        if self.still:
            self.proc.send_signal(signal.SIGSTOP)
        self.world.agenda.after(POLL_INTERVAL, self.look, self.proc)

    def look(self, proc: Any) -> None:
        """Polls whether the process has exited by itself, and restarts it then."""
        if self.proc is not proc:
            return
        if (code := proc.poll()) is None:
            self.world.agenda.after(POLL_INTERVAL, self.look, proc)
            return
        if not (self.leaving and code == 0):
            self.problem(f"the process exited unexpectedly with code {code}")
        self.gone()
        least, most = RESTART_DELAY
        self.world.agenda.after(least + (most - least) * self.draw.random(), self.start)

    def problem(self, what: str) -> None:
        """Records a problem, which violates the rule FAULT."""
        if len(self.world.problems) < MAX_PROBLEMS:
            self.world.problems.append((self.world.agenda.now, self.node, what, ""))

    def gone(self) -> None:
        """Records that the process has ended."""
        self.proc = None
        self.world.note("down", self.node)

    def kill(self) -> None:
        """Kills the process without waiting for its exit, which may take long on a busy machine."""
        if self.proc is not None:
            self.proc.kill()
            self.dying.append(self.proc)
            self.gone()

    # ---- faults

    def down(self, power: bool, wipe: bool = False) -> None:
        """Kills the process and keeps it down until `back`. `power` makes no difference here: data that the
        kernel has not yet written to the disk is not lost. `wipe`: the data folder is deleted."""
        self.downs += 1
        self.kill()
        if wipe:
            shutil.rmtree(self.folder, ignore_errors=True)

    def back(self) -> None:
        """Ends one `down`; the process starts when no other fault keeps the machine down."""
        self.downs -= 1
        self.start()

    def freeze(self, still: bool) -> None:
        """Adds (True) or removes (False) a fault that stops the process by SIGSTOP."""
        self.still += 1 if still else -1
        if self.proc is not None and self.still == (1 if still else 0):
            self.proc.send_signal(signal.SIGSTOP if still else signal.SIGCONT)

    def hup(self) -> None:
        """Changes the settings file in a field that no process uses, and sends SIGHUP."""
        if self.proc is None:
            return
        self.reloads += 1
        path = self.world.out.absolute() / f"{self.node}.conf"
        fresh = path.with_suffix(".new")
        fresh.write_text(f"{self.settings()}lab.told={self.reloads}\n")
        fresh.rename(path)
        self.proc.send_signal(signal.SIGHUP)

    def term(self) -> None:
        """SIGTERM, followed by SIGKILL if the process has not exited within the grace period."""
        if (proc := self.proc) is None or self.leaving:
            return
        self.leaving = True
        proc.send_signal(signal.SIGTERM)

        def grace_expired() -> None:
            if self.proc is proc:
                self.problem("the process did not exit within its grace period after SIGTERM")
                self.kill()
                self.start()

        self.world.agenda.after(float(self.world.day.bounds.grace), grace_expired)
