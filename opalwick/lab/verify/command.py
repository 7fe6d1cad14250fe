"""`python -m opalwick verify`: the command line. Imports the cores only when it runs."""

from __future__ import annotations

import json
from typing import Annotated, Any

import typer

app = typer.Typer(add_completion=False, help="Every interleaving in the small, of the post's own cores.")

BROKEN, FAULTY = 1, 2  # exit codes
NAMES = ("takeover", "fence", "lease", "notice", "answer")


def fail(text: str) -> typer.Exit:
    typer.echo(f"opalwick: {text}", err=True)
    return typer.Exit(FAULTY)


def told(trace: tuple[tuple[Any, ...], ...]) -> None:
    """A way to a breach, a line a step: who, and what befalls it."""
    for number, (kind, who, *rest) in enumerate(trace, 1):
        typer.echo(f"    {number:3} {who} {kind} {' '.join(map(str, rest))}".rstrip())


def explored(names: list[str], share: float) -> tuple[int, list[dict[str, Any]], dict[str, Any]]:
    """States, what is broken, and a report of each part."""
    from opalwick.lab.verify.explorer import explore
    from opalwick.lab.verify.parts import PARTS

    states, broken, parts = 0, list[dict[str, Any]](), dict[str, Any]()
    for name in names:
        cases = []
        for case in PARTS[name]:
            walk = explore(case.root, int(case.most * share))
            states += walk.states
            seen = "all" if walk.whole else f"all up to step {walk.depth}, then no more"
            typer.echo(
                f"{name}: {case.name}: {walk.states} states, {walk.transitions} transitions, {seen}, "
                f"{walk.seconds:.1f} s"
            )
            if walk.breach is not None:
                typer.echo(f"  broken: {walk.breach.rule}: {walk.breach.why}")
                told(walk.breach.trace)
                broken.append(
                    {
                        "part": name,
                        "case": case.name,
                        "rule": walk.breach.rule,
                        "why": walk.breach.why,
                        "steps": len(walk.breach.trace),
                    }
                )
            cases.append(
                {
                    "case": case.name,
                    "states": walk.states,
                    "transitions": walk.transitions,
                    "depth": walk.depth,
                    "whole": walk.whole,
                    "seconds": round(walk.seconds, 2),
                }
            )
        parts[name] = {"states": sum(case["states"] for case in cases), "cases": cases}
    return states, broken, parts


def played(names: list[str]) -> tuple[int, int]:
    """Mutants, and how many were caught."""
    from opalwick.lab.verify.mutants import MUTANTS, caught

    all_of = {name: mutant for name, mutant in MUTANTS.items() if mutant.part in names}
    found = 0
    for name, mutant in all_of.items():
        walk = caught(name)
        if walk.breach is not None and walk.breach.rule in mutant.rules:
            found += 1
            typer.echo(
                f"mutant {name}: caught: {walk.breach.rule}, {len(walk.breach.trace)} steps, "
                f"{walk.states} states"
            )
        else:
            typer.echo(f"mutant {name}: NOT caught in {walk.states} states: {walk.breach}")
    return len(all_of), found


@app.command()
def verify(
    as_json: Annotated[bool, typer.Option("--json", help="The report as the last line.")] = False,
    part: Annotated[
        list[str] | None, typer.Option(metavar="NAME", help=f"Of {', '.join(NAMES)}; else all.")
    ] = None,
    share: Annotated[
        float, typer.Option(help="Of the states of a case that is cut off: 0.1 is a quick look.")
    ] = 1.0,
    mutants: Annotated[bool, typer.Option(help="Whether faults are planted, too, each to be caught.")] = True,
) -> None:
    """Explores the post's cores state by state. Exit code 1: something is broken, or a fault not caught."""
    unknown = [name for name in part or () if name not in NAMES]
    if unknown:
        raise fail(f"--part {unknown[0]}: there are {', '.join(NAMES)}")
    if not 0.0 < share <= 1000.0:
        raise fail(f"--share {share:g}: more than 0, at most 1000")
    names = [name for name in NAMES if name in (part or NAMES)]
    try:
        states, broken, parts = explored(names, share)
        planted, found = played(names) if mutants else (0, 0)
    except ModuleNotFoundError as problem:
        raise fail(
            f"{problem.name} is missing: pip install 'opalwick[post]', or -r requirements-post.txt"
        ) from None
    typer.echo(
        f"{states} states, {len(broken)} broken"
        + (f", {found} of {planted} planted faults caught" if mutants else "")
    )
    if as_json:
        typer.echo(
            json.dumps(
                {"states": states, "broken": broken, "mutants": planted, "caught": found, "parts": parts}
            )
        )
    raise typer.Exit(BROKEN if broken or found < planted else 0)
