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
from opalwick.program.scheduler import Scheduler


def serve(path: str | None = None, level: str = "INFO") -> int:
    """Until SIGTERM; SIGHUP has it read its configuration again."""
    logger.remove()
    try:
        logger.add(sys.stderr, level=level.upper(), backtrace=False, diagnose=False)
    except ValueError:
        print(f"opalwick: --log is malformed: {level!r} is no level", file=sys.stderr)
        return 2
    stop, again = Event(), Event()
    # before the configuration is read: one that changes meanwhile is read again
    for number, event in ((signal.SIGTERM, stop), (signal.SIGINT, stop), (signal.SIGHUP, again)):
        gevent.signal_handler(number, event.set)
    try:
        scheduler = Scheduler(read(os.environ, path), stop, again, lambda: read(os.environ, path))
    except BadConfiguration as problem:
        print(f"opalwick: {problem}", file=sys.stderr)
        return 2
    # what is there now stays: later collections look at what came since
    gc.collect()
    gc.freeze()
    scheduler.run()
    return 0
