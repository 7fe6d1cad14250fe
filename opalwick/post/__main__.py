"""The two programs: `python -m opalwick.post carrier counter|depot`, `python -m opalwick.post postmaster`.

With `--trace` behind it a process writes events of single messages as well (`docs/operate/events.md`).
"""

from __future__ import annotations

import os
import signal
import sys


def main(arguments: list[str]) -> int:
    import gevent
    from gevent.event import Event

    from opalwick.post import events
    from opalwick.post.link import Process
    from opalwick.post.settings import Faulty, read

    path = os.environ.get("OPALWICK_CONFIG", "")
    if not path:
        print("opalwick post: OPALWICK_CONFIG names no settings file", file=sys.stderr)
        return 2
    try:
        settings = read(path)
    except Faulty as problem:
        print(problem, file=sys.stderr)
        return 2
    traced = arguments[-1:] == ["--trace"]
    events.begin(traced)
    if traced:
        arguments = arguments[:-1]
    stop, again = Event(), Event()
    for number, event in ((signal.SIGTERM, stop), (signal.SIGINT, stop), (signal.SIGHUP, again)):
        gevent.signal_handler(number, event.set)
    # each role imports only what it needs: a start costs a small machine whole seconds
    if arguments == ["carrier", "counter"]:
        from opalwick.post.counter.agent import CounterShell

        CounterShell(settings, Process(stop, again, path)).serve()
    elif arguments == ["carrier", "depot"]:
        from opalwick.post.depot.agent import DepotShell

        DepotShell(settings, Process(stop, again, path)).serve()
    elif arguments == ["postmaster"]:
        from opalwick.post.office.agent import OfficeShell

        OfficeShell(settings, Process(stop, again, path)).serve()
    else:
        print("usage: opalwick.post carrier counter | carrier depot | postmaster [--trace]", file=sys.stderr)
        return 2
    events.say(902)
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
