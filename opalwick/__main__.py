"""python -m opalwick: the command line."""
from opalwick.program.main import app

app()
