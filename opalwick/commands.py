"""The command line. Subcommands of other packages are imported only when they are called, so that `serve` as
deployed imports neither the lab nor the processor."""

from __future__ import annotations

import os
from importlib import import_module
from typing import Annotated, Any, Optional

import typer
from typer.core import TyperGroup

from opalwick import __version__
from opalwick.program.configuration import BadConfiguration, read

# command: module whose `app` implements it
SUBCOMMANDS = {
    "lab": "opalwick.lab.commands",
    "processor": "opalwick.processor.commands",
    "verify": "opalwick.lab.verify.command",
}


class LazyGroup(TyperGroup):
    """Command group that imports the commands in ELSEWHERE on first use."""

    def list_commands(self, ctx: Any) -> list[str]:
        return [*super().list_commands(ctx), *SUBCOMMANDS]

    def get_command(self, ctx: Any, cmd_name: str) -> Any:
        if (module := SUBCOMMANDS.get(cmd_name)) is None:
            return super().get_command(ctx, cmd_name)
        found = typer.main.get_command(import_module(module).app)
        found.name = cmd_name
        return found


app = typer.Typer(
    cls=LazyGroup,
    add_completion=False,
    no_args_is_help=True,
    pretty_exceptions_enable=False,
    help="A scheduler beside each submitter that pushes work items to workers.",
)
File = Annotated[
    Optional[str], typer.Argument(help="Configuration file; by default the one that BALANCER_CONFIG names.")
]


@app.command()
def serve(
    configuration: File = None,
    log: Annotated[str, typer.Option(help="Minimum log level.")] = "INFO",
) -> None:
    """Runs one scheduler until SIGTERM; SIGHUP reloads its configuration."""
    from opalwick.program.service import serve as run

    raise typer.Exit(run(configuration, log))


@app.command()
def check(configuration: File = None) -> None:
    """Validates a configuration and prints a summary. A .toml file is a processor's."""
    if configuration is not None and configuration.endswith(".toml"):
        from opalwick.processor.commands import check as check_processor

        try:
            typer.echo(check_processor(configuration))
        except ValueError as exc:
            typer.echo(f"opalwick: {exc}", err=True)
            raise typer.Exit(2) from None
        return
    try:
        found = read(os.environ, configuration)
    except BadConfiguration as exc:
        typer.echo(f"opalwick: {exc}", err=True)
        raise typer.Exit(2) from None
    typer.echo(
        f"{found.name}: listens on {found.listen[0]}:{found.listen[1]}, "
        f"{len(found.scheduler_config.categories)} categories, {len(found.peers)} schedulers, "
        f"{found.limits.clients} client and {found.limits.workers} worker connections"
    )
    if found.fleet is not None:
        terms = found.fleet["terms"]
        typer.echo(
            f"fleet.members: a crash is detected within {terms.detect:.2f} s without message loss; "
            f"a stall of under {terms.pause:.2f} s does not count as a crash"
        )


fleet = typer.Typer(
    no_args_is_help=True, help="Shows a scheduler's view of the fleet, from its operators' address."
)
app.add_typer(fleet, name="fleet")


@fleet.command()
def members(
    address: Annotated[str, typer.Argument(metavar="HOST:PORT", help="Operators' address of the scheduler.")],
) -> None:
    """Prints the members as one scheduler sees them."""
    from http.client import HTTPConnection, HTTPException

    from opalwick.protocol.discovery import parse_address as parse_address

    try:
        host, port = parse_address(address)
        connection = HTTPConnection(host, port, timeout=2.0)
        connection.request("GET", "/fleet/members")
        response = connection.getresponse()
        body = response.read().decode()
    except (OSError, ValueError, HTTPException) as exc:
        typer.echo(f"opalwick: {address}: {exc}", err=True)
        raise typer.Exit(2) from None
    typer.echo(body.rstrip(), err=response.status != 200)
    if response.status != 200:
        raise typer.Exit(1)


@app.command(
    add_help_option=False,
    context_settings={
        "ignore_unknown_options": True,
        "allow_extra_args": True,
        "allow_interspersed_args": False,
    },
)
def post(ctx: typer.Context) -> None:
    """Commands of the ingest and dispatch service; see `post --help`."""
    try:
        from opalwick.post.commands import run  # has its own parser for the remaining arguments
    except ModuleNotFoundError as exc:
        typer.echo(
            f"opalwick: {exc.name} is missing: pip install 'opalwick[post]', or -r requirements-post.txt",
            err=True,
        )
        raise typer.Exit(2) from None
    raise typer.Exit(run(ctx.args))


@app.command()
def version() -> None:
    """Prints the version."""
    typer.echo(f"opalwick {__version__}")
