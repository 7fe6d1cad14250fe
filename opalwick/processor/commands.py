"""`python -m opalwick processor FILE`. Imports the processor itself only when it runs."""

from __future__ import annotations

from typing import Annotated

import typer

app = typer.Typer(add_completion=False)


@app.command()
def processor(
    file: Annotated[str, typer.Argument(help="As deploy/processor.toml.")],
    log: Annotated[str, typer.Option(help="The least level that is logged.")] = "INFO",
) -> None:
    """Runs an external processor for proxies (gRPC, envoy.service.ext_proc.v3) until SIGTERM."""
    try:
        from opalwick.processor.front import serve
    except ModuleNotFoundError as problem:
        typer.echo(
            f"opalwick: {problem.name} is missing: pip install 'opalwick[processor]', "
            "or -r requirements-processor.txt",
            err=True,
        )
        raise typer.Exit(2) from None
    raise typer.Exit(serve(file, log))


def check(file: str) -> str:
    """What a processor's file comes to. Raises ValueError with what is wrong."""
    try:
        from opalwick.checked import Faulty
        from opalwick.processor.configuration import read
    except ModuleNotFoundError as problem:
        raise ValueError(f"{problem.name} is missing: pip install 'opalwick[processor]'") from None
    try:
        found = read(file, 0)
    except Faulty as problem:
        raise ValueError(str(problem)) from None
    return (
        f"{found.scheduler.name}: processor on {found.listen[0]}:{found.listen[1]}, "
        f"{len(found.scheduler.terms.categories)} categories, {len(found.rules)} rules, "
        f"{found.limits.connections} connections of {found.limits.streams} streams"
    )
