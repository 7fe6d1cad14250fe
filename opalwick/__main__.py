"""python -m opalwick: the command line."""

import sys

if sys.argv[1:] == ["serve"]:
    # as deployed: without the parser of the command line a restart takes a third less, and ten megabytes
    from opalwick.program.service import serve

    sys.exit(serve())

from opalwick.commands import app  # noqa: E402

app()
