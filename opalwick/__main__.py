"""python -m opalwick: the command line."""

import sys

if sys.argv[1:] == ["serve"]:
    # as deployed: without the command line parser a restart takes a third less time, and 10 MB less memory
    from opalwick.program.service import serve

    sys.exit(serve())

from opalwick.commands import app  # noqa: E402

app()
