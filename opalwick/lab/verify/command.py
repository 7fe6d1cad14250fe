"""Command line `python -m opalwick verify`. Imports the models only when it runs."""

from __future__ import annotations

import json
from typing import Annotated, Any

import typer

app = typer.Typer(add_completion=False, help="Model checker for the state machines of the messaging service.")

BROKEN, FAULTY = 1, 2  # exit codes
NAMES = ("takeover", "fence", "lease", "notice", "answer")


def fail(text: str) -> typer.Exit:
    typer.echo(f"opalwick: {text}", err=True)
    return typer.Exit(FAULTY)


def print_trace(trace: tuple[tuple[Any, ...], ...]) -> None:
    """Prints the trace to a violation, one transition a line: process, kind, arguments."""
    for number, (kind, who, *rest) in enumerate(trace, 1):
        typer.echo(f"    {number:3} {who} {kind} {' '.join(map(str, rest))}".rstrip())


def run_cases(names: list[str], share: float) -> tuple[int, list[dict[str, Any]], dict[str, Any]]:
    """Returns the number of states, the violations and a report for each part.

    `share`: factor for the state limit of each case.
    """
    from opalwick.lab.verify.explorer import search_from
    from opalwick.lab.verify.parts import PARTS

    states, violations, parts = 0, list[dict[str, Any]](), dict[str, Any]()
    for name in names:
        cases = []
        for case in PARTS[name]:
            result = search_from(case.root, int(case.max_states * share))
            states += result.states
            coverage = "all" if result.exhaustive else f"all up to step {result.depth}, then no more"
            typer.echo(
                f"{name}: {case.name}: {result.states} states, {result.transitions} transitions, {coverage}, "
                f"{result.seconds:.1f} s"
            )
            if result.violation is not None:
                typer.echo(f"  broken: {result.violation.rule}: {result.violation.detail}")
                print_trace(result.violation.trace)
                violations.append(
                    {
                        "part": name,
                        "case": case.name,
                        "rule": result.violation.rule,
                        "why": result.violation.detail,
                        "steps": len(result.violation.trace),
                    }
                )
            cases.append(
                {
                    "case": case.name,
                    "states": result.states,
                    "transitions": result.transitions,
                    "depth": result.depth,
                    "whole": result.exhaustive,
                    "seconds": round(result.seconds, 2),
                }
            )
        parts[name] = {"states": sum(case["states"] for case in cases), "cases": cases}
    return states, violations, parts


def run_mutants(names: list[str]) -> tuple[int, int]:
    """Returns the number of mutants and how many of them were caught."""
    from opalwick.lab.verify.mutants import MUTANTS, search_mutant

    selected = {name: mutant for name, mutant in MUTANTS.items() if mutant.part in names}
    found = 0
    for name, mutant in selected.items():
        result = search_mutant(name)
        if result.violation is not None and result.violation.rule in mutant.rules:
            found += 1
            typer.echo(
                f"mutant {name}: caught: {result.violation.rule}, {len(result.violation.trace)} steps, "
                f"{result.states} states"
            )
        else:
            typer.echo(f"mutant {name}: NOT caught in {result.states} states: {result.violation}")
    return len(selected), found


@app.command()
def verify(
    as_json: Annotated[
        bool, typer.Option("--json", help="Print the report as JSON on the last line.")
    ] = False,
    part: Annotated[
        list[str] | None, typer.Option(metavar="NAME", help=f"One of {', '.join(NAMES)}; default: all.")
    ] = None,
    share: Annotated[
        float, typer.Option(help="Factor for the state limit of each case; 0.1 for a quick check.")
    ] = 1.0,
    mutants: Annotated[bool, typer.Option(help="Also check that each planted fault is caught.")] = True,
) -> None:
    """Searches the state spaces. Exit code 1: a violation was found, or a planted fault was not caught."""
    unknown = [name for name in part or () if name not in NAMES]
    if unknown:
        raise fail(f"--part {unknown[0]}: unknown; known parts: {', '.join(NAMES)}")
    if not 0.0 < share <= 1000.0:
        raise fail(f"--share {share:g}: must be more than 0 and at most 1000")
    names = [name for name in NAMES if name in (part or NAMES)]
    try:
        states, violations, parts = run_cases(names, share)
        planted, found = run_mutants(names) if mutants else (0, 0)
    except ModuleNotFoundError as problem:
        raise fail(
            f"{problem.name} is missing: pip install 'opalwick[post]', or -r requirements-post.txt"
        ) from None
    typer.echo(
        f"{states} states, {len(violations)} broken"
        + (f", {found} of {planted} planted faults caught" if mutants else "")
    )
    if as_json:
        typer.echo(
            json.dumps(
                {"states": states, "broken": violations, "mutants": planted, "caught": found, "parts": parts}
            )
        )
    raise typer.Exit(BROKEN if violations or found < planted else 0)
