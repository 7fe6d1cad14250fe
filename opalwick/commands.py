"""The command line. What belongs to a package of its own is imported only when it is called, so that nothing
below needs what lies above it: `serve` as deployed imports neither the lab nor the processor."""

from __future__ import annotations

import os
from importlib import import_module
from typing import Annotated, Any, Optional

import typer
from typer.core import TyperGroup

from opalwick import __version__
from opalwick.program.configuration import BadConfiguration, read

# command: the module and the app in it that has it
ELSEWHERE = {
    "lab": "opalwick.lab.commands",
    "processor": "opalwick.processor.commands",
    "verify": "opalwick.lab.verify.command",
}


class Lazy(TyperGroup):
    def list_commands(self, ctx: Any) -> list[str]:
        return [*super().list_commands(ctx), *ELSEWHERE]

    def get_command(self, ctx: Any, cmd_name: str) -> Any:
        if (module := ELSEWHERE.get(cmd_name)) is None:
            return super().get_command(ctx, cmd_name)
        found = typer.main.get_command(import_module(module).app)
        found.name = cmd_name
        return found


app = typer.Typer(
    cls=Lazy,
    add_completion=False,
    no_args_is_help=True,
    pretty_exceptions_enable=False,
    help="A scheduler beside each submitter that pushes work items to workers.",
)
File = Annotated[Optional[str], typer.Argument(help="The configuration; else BALANCER_CONFIG names it.")]


@app.command()
def serve(
    configuration: File = None,
    log: Annotated[str, typer.Option(help="The least level that is logged.")] = "INFO",
) -> None:
    """Runs one scheduler until SIGTERM; SIGHUP has it read its configuration again."""
    from opalwick.program.service import serve as run

    raise typer.Exit(run(configuration, log))


@app.command()
def check(configuration: File = None) -> None:
    """Reads and checks a configuration, and prints what it comes to. A .toml file is a processor's."""
    if configuration is not None and configuration.endswith(".toml"):
        from opalwick.processor.commands import check as check_processor

        try:
            typer.echo(check_processor(configuration))
        except ValueError as problem:
            typer.echo(f"opalwick: {problem}", err=True)
            raise typer.Exit(2) from None
        return
    try:
        found = read(os.environ, configuration)
    except BadConfiguration as problem:
        typer.echo(f"opalwick: {problem}", err=True)
        raise typer.Exit(2) from None
    typer.echo(
        f"{found.name}: listens on {found.listen[0]}:{found.listen[1]}, "
        f"{len(found.terms.categories)} categories, {len(found.peers)} schedulers, "
        f"{found.limits.clients} client and {found.limits.workers} worker connections"
    )
    if found.fleet is not None:
        terms = found.fleet["terms"]
        typer.echo(
            f"fleet.members: a crash is known within {terms.detect:.2f} s without loss; "
            f"a standstill of under {terms.pause:.2f} s is no death"
        )


fleet = typer.Typer(
    no_args_is_help=True, help="What a scheduler holds of the fleet, by its operators' address."
)
app.add_typer(fleet, name="fleet")


@fleet.command()
def members(address: Annotated[str, typer.Argument(metavar="HOST:PORT", help="Of its operators.")]) -> None:
    """The members as one scheduler sees them."""
    from http.client import HTTPConnection, HTTPException

    from opalwick.protocol.discovery import parse_address as place

    try:
        host, port = place(address)
        call = HTTPConnection(host, port, timeout=2.0)
        call.request("GET", "/fleet/members")
        answer = call.getresponse()
        said = answer.read().decode()
    except (OSError, ValueError, HTTPException) as problem:
        typer.echo(f"opalwick: {address}: {problem}", err=True)
        raise typer.Exit(2) from None
    typer.echo(said.rstrip(), err=answer.status != 200)
    if answer.status != 200:
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
    """The post, the ingest and dispatch service: checks, plans, asks and replays; `post --help` has it."""
    try:
        from opalwick.post.commands import run  # a command line of its own, which reads the rest
    except ModuleNotFoundError as problem:
        typer.echo(
            f"opalwick: {problem.name} is missing: pip install 'opalwick[post]', or -r requirements-post.txt",
            err=True,
        )
        raise typer.Exit(2) from None
    raise typer.Exit(run(ctx.args))


@app.command()
def version() -> None:
    """Prints the version."""
    typer.echo(f"opalwick {__version__}")
