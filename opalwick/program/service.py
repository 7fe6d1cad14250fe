"""Runs one scheduler as a service: logging, signals and exit code."""

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


def prepare(level: str) -> tuple[Event, Event] | None:
    """Sets up logging and signal handlers; returns the events for shutdown and for reloading.

    Returns None, after an error on stderr, if the log level is unknown. Call this before the configuration
    is read, so that a SIGHUP for a change made meanwhile is not lost.
    """
    logger.remove()
    try:
        logger.add(sys.stderr, level=level.upper(), backtrace=False, diagnose=False)
    except ValueError:
        print(f"opalwick: --log is malformed: {level!r} is not a log level", file=sys.stderr)
        return None
    stop, reload = Event(), Event()
    for number, event in ((signal.SIGTERM, stop), (signal.SIGINT, stop), (signal.SIGHUP, reload)):
        gevent.signal_handler(number, event.set)
    return stop, reload


def run(core: Core) -> int:
    """Runs until a signal requests shutdown; returns the exit code."""
    # objects of the start-up live as long as the process: frozen, they are left out of later collections
    gc.collect()
    gc.freeze()
    core.run()
    return 0


def serve(path: str | None = None, level: str = "INFO") -> int:
    """Runs a scheduler until SIGTERM and returns the exit code; SIGHUP reloads the configuration."""
    if (events := prepare(level)) is None:
        return 2
    try:
        scheduler = Scheduler(read(os.environ, path), *events, lambda: read(os.environ, path))
    except BadConfiguration as exc:
        print(f"opalwick: {exc}", file=sys.stderr)
        return 2
    return run(scheduler)
