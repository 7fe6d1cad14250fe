"""`python -m opalwick.drill`: reads batches from standard input, writes replies to standard output."""

from __future__ import annotations

import gc
import sys

from opalwick.drill.codec import BadFrame, read_frame
from opalwick.drill.host import Host
from opalwick.protocol.settings import InvalidSettings


def main() -> int:
    host = Host()
    gc.freeze()
    source, sink = sys.stdin.buffer, sys.stdout.buffer
    try:
        while (frame := read_frame(source)) is not None:
            sink.write(host.answer(*frame))
            sink.flush()
    except (BadFrame, InvalidSettings) as exc:
        print(f"opalwick: {exc}", file=sys.stderr)
        return 1
    return 0


sys.exit(main())
