"""The two programs: `python -m opalwick.post carrier counter|depot`, `python -m opalwick.post postmaster`.

With `--trace` behind it a process writes events of single messages as well (`docs/operate/events.md`); with
`--metrics PORT/PATH` it tells its figures there, beside the operators' address.
"""

from __future__ import annotations

import os
import signal
import sys
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from opalwick.post.operators import Metrics


USAGE = "usage: opalwick.post carrier counter | carrier depot | postmaster [--trace] [--metrics PORT/PATH]"


class Options(NamedTuple):
    trace: bool
    metrics: Metrics | None


def split_options(arguments: list[str]) -> tuple[list[str], Options]:
    """The words that name the role, and the options behind them; ValueError names what is wrong."""
    from opalwick.post.operators import Metrics

    words, trace, metrics = list[str](), False, None
    rest = iter(arguments)
    for argument in rest:
        if argument == "--trace":
            trace = True
        elif argument == "--metrics":
            try:
                metrics = Metrics.parse(next(rest, ""))
            except ValueError as problem:
                raise ValueError(f"--metrics {problem}") from None
        elif argument.startswith("-"):
            raise ValueError(f"{argument} is no option. {USAGE}")
        else:
            words.append(argument)
    return words, Options(trace, metrics)


def main(arguments: list[str]) -> int:
    # until there are handlers a SIGHUP would end the process; the settings are read after that
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    import gevent
    from gevent.event import Event

    from opalwick.post import events
    from opalwick.post.link import Process, file_stamp
    from opalwick.post.settings import Faulty, read

    path = os.environ.get("OPALWICK_CONFIG", "")
    if not path:
        print("opalwick post: OPALWICK_CONFIG names no settings file", file=sys.stderr)
        return 2
    stop, again = Event(), Event()
    for number, event in ((signal.SIGTERM, stop), (signal.SIGINT, stop), (signal.SIGHUP, again)):
        gevent.signal_handler(number, event.set)
    seen = file_stamp(path)
    try:
        settings = read(path)
    except Faulty as problem:
        print(problem, file=sys.stderr)
        return 2
    try:
        arguments, options = split_options(arguments)
    except ValueError as problem:
        print(f"opalwick post: {problem}", file=sys.stderr)
        return 2
    events.begin(options.trace)
    process = Process(stop, again, path, options.metrics, seen)
    # each role imports only what it needs: a start costs a small machine whole seconds
    if arguments == ["carrier", "counter"]:
        from opalwick.post.counter.agent import GatewayShell

        GatewayShell(settings, process).serve()
    elif arguments == ["carrier", "depot"]:
        from opalwick.post.depot.agent import StoreShell

        StoreShell(settings, process).serve()
    elif arguments == ["postmaster"]:
        from opalwick.post.office.agent import ControllerShell

        ControllerShell(settings, process).serve()
    else:
        print(USAGE, file=sys.stderr)
        return 2
    events.emit(902)
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
