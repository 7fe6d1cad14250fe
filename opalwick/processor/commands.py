"""`python -m opalwick processor FILE`. The processor's dependencies are imported only when it runs."""

from __future__ import annotations

from typing import Annotated

import typer

app = typer.Typer(add_completion=False)


@app.command()
def processor(
    file: Annotated[str, typer.Argument(help="Settings file; see deploy/processor.toml.")],
    log: Annotated[str, typer.Option(help="Minimum log level.")] = "INFO",
) -> None:
    """Runs an external processor for proxies (gRPC, envoy.service.ext_proc.v3) until SIGTERM."""
    try:
        from opalwick.processor.server import serve
    except ModuleNotFoundError as exc:
        typer.echo(
            f"opalwick: {exc.name} is missing: pip install 'opalwick[processor]', "
            "or -r requirements-processor.txt",
            err=True,
        )
        raise typer.Exit(2) from None
    raise typer.Exit(serve(file, log))


def check(file: str) -> str:
    """Checks a processor's settings file; returns a summary. Raises ValueError with the fault."""
    try:
        from opalwick.settings_file import InvalidFile
        from opalwick.processor.configuration import read
    except ModuleNotFoundError as exc:
        raise ValueError(f"{exc.name} is missing: pip install 'opalwick[processor]'") from None
    try:
        settings = read(file, 0)
    except InvalidFile as exc:
        raise ValueError(str(exc)) from None
    return (
        f"{settings.scheduler.name}: processor on {settings.listen[0]}:{settings.listen[1]}, "
        f"{len(settings.scheduler.scheduler_config.categories)} categories, {len(settings.rules)} rules, "
        f"{settings.limits.connections} connections of {settings.limits.streams} streams"
    )
