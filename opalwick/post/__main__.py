"""The data plane and control plane programs.

`python -m opalwick.post carrier counter` runs a gateway, `carrier depot` a store, `postmaster` a controller.
With `--trace` a process also logs the events of single messages (`docs/operate/events.md`); with
`--metrics PORT/PATH` it serves its metrics there too, in addition to the operators' server.
"""

from __future__ import annotations

import os
import signal
import sys
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from opalwick.post.operators import MetricsEndpoint


USAGE = "usage: opalwick.post carrier counter | carrier depot | postmaster [--trace] [--metrics PORT/PATH]"


class Options(NamedTuple):
    trace: bool
    metrics: MetricsEndpoint | None


def split_options(arguments: list[str]) -> tuple[list[str], Options]:
    """The words that select the program and role, and the options after them; raises ValueError."""
    from opalwick.post.operators import MetricsEndpoint

    words, trace, metrics = list[str](), False, None
    rest = iter(arguments)
    for argument in rest:
        if argument == "--trace":
            trace = True
        elif argument == "--metrics":
            try:
                metrics = MetricsEndpoint.parse(next(rest, ""))
            except ValueError as problem:
                raise ValueError(f"--metrics {problem}") from None
        elif argument.startswith("-"):
            raise ValueError(f"{argument}: unknown option. {USAGE}")
        else:
            words.append(argument)
    return words, Options(trace, metrics)


def main(arguments: list[str]) -> int:
    # without a handler SIGHUP would terminate the process; the settings are read after this point
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    import gevent
    from gevent.event import Event

    from opalwick.post import events
    from opalwick.post.link import Process, file_stamp
    from opalwick.post.settings import InvalidFile, read

    path = os.environ.get("OPALWICK_CONFIG", "")
    if not path:
        print("opalwick post: OPALWICK_CONFIG names no settings file", file=sys.stderr)
        return 2
    stop, reload = Event(), Event()
    for number, event in ((signal.SIGTERM, stop), (signal.SIGINT, stop), (signal.SIGHUP, reload)):
        gevent.signal_handler(number, event.set)
    settings_stamp = file_stamp(path)
    try:
        settings = read(path)
    except InvalidFile as problem:
        print(problem, file=sys.stderr)
        return 2
    try:
        arguments, options = split_options(arguments)
    except ValueError as problem:
        print(f"opalwick post: {problem}", file=sys.stderr)
        return 2
    events.begin(options.trace)
    process = Process(stop, reload, path, options.metrics, settings_stamp)
    # each role imports only what it needs, since imports take seconds on a small machine
    if arguments == ["carrier", "counter"]:
        from opalwick.post.gateway.process import GatewayShell

        GatewayShell(settings, process).serve()
    elif arguments == ["carrier", "depot"]:
        from opalwick.post.store.process import StoreShell

        StoreShell(settings, process).serve()
    elif arguments == ["postmaster"]:
        from opalwick.post.controller.process import ControllerShell

        ControllerShell(settings, process).serve()
    else:
        print(USAGE, file=sys.stderr)
        return 2
    events.emit(902)
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
