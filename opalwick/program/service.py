"""One scheduler as a service: its signals and its log, from the configuration to the exit code."""

from __future__ import annotations

import gc
import os
import signal
import sys

import gevent
from gevent.event import Event
from loguru import logger

from opalwick.program.configuration import BadConfiguration, read
from opalwick.program.core import Core
from opalwick.program.scheduler import Scheduler


def prepared(level: str) -> tuple[Event, Event] | None:
    """The log and the signals of a scheduler, whatever its front: told to end, told to read again.

    None, and it is said, where the level is none. To be called before the configuration is read: one that
    changes meanwhile is read again.
    """
    logger.remove()
    try:
        logger.add(sys.stderr, level=level.upper(), backtrace=False, diagnose=False)
    except ValueError:
        print(f"opalwick: --log is malformed: {level!r} is no level", file=sys.stderr)
        return None
    stop, again = Event(), Event()
    for number, event in ((signal.SIGTERM, stop), (signal.SIGINT, stop), (signal.SIGHUP, again)):
        gevent.signal_handler(number, event.set)
    return stop, again


def run(core: Core) -> int:
    """Until it is told to end."""
    # what is there now stays: later collections look at what came since
    gc.collect()
    gc.freeze()
    core.run()
    return 0


def serve(path: str | None = None, level: str = "INFO") -> int:
    """Until SIGTERM; SIGHUP has it read its configuration again."""
    if (events := prepared(level)) is None:
        return 2
    try:
        scheduler = Scheduler(read(os.environ, path), *events, lambda: read(os.environ, path))
    except BadConfiguration as problem:
        print(f"opalwick: {problem}", file=sys.stderr)
        return 2
    return run(scheduler)
