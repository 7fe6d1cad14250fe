"""`python -m opalwick lab`: the command line. Imports the lab itself only when it runs."""

from __future__ import annotations

import json
import sys
from collections.abc import Callable
from dataclasses import asdict
from functools import wraps
from pathlib import Path
from typing import Annotated, Any

import typer

app = typer.Typer(no_args_is_help=True, help="An emulated fleet to load, break and judge schedulers with.")
DayName = Annotated[str, typer.Argument(metavar="DAY", help="A built-in day's name, or a file.")]
Seed = Annotated[int, typer.Option(help="Of all that is drawn.")]
Json = Annotated[bool, typer.Option("--json", help="The whole report as the last line.")]

BROKEN, FAULTY, VOID = 1, 2, 3  # exit codes: a rule was broken; the input is faulty; the machine was too busy


def fail(text: str, code: int = FAULTY) -> typer.Exit:
    typer.echo(f"opalwick: {text}", err=True)
    return typer.Exit(code)


def checked(command: Callable[..., None]) -> Callable[..., None]:
    """Faulty input ends with a line that says what is at fault, and code 2."""

    @wraps(command)
    def run(*fields: Any, **named: Any) -> None:
        try:
            import msgspec  # noqa: F401
            import zstandard  # noqa: F401
        except ImportError as problem:
            raise fail(
                f"{problem.name} is missing: pip install 'opalwick[lab]', or -r requirements-lab.txt"
            ) from None
        from opalwick.lab.day import BadDay
        from opalwick.lab.experiment import BadResults
        from opalwick.lab.ledger import BadHistory

        try:
            command(*fields, **named)
        except (BadDay, BadHistory, BadResults) as problem:
            raise fail(str(problem)) from None
        except ModuleNotFoundError as problem:
            raise fail(
                f"{problem.name} is missing: pip install 'opalwick[lab]', or -r requirements-lab.txt"
            ) from None
        except OSError as problem:
            raise fail(f"{problem.filename or ''}: {problem.strerror}") from None

    return run


def told(report: dict[str, Any], as_json: bool) -> None:
    """Prints a report, and ends with its code."""
    rules = report["rules"]
    typer.echo(f"{report['day']} (seed {report['seed']}, {report['clock']} clock, {report['policy']})")
    typer.echo(
        f"  taken {report['taken']}, finished {report['finished']}, deferred {report['deferred']}, "
        f"written off {report['written_off']}, left {report['left']}"
    )
    typer.echo(
        f"  figure {report['figure']:.4f}, in time {report['in_time']:.4f}, "
        f"p50 {report['latency_ms']['p50']:.0f} ms, p99 {report['latency_ms']['p99']:.0f} ms"
    )
    for breach in report["breaches"][:10]:
        typer.echo(
            f"  broken: {breach['rule']} at {breach['at']:.3f} s: {breach['why']} "
            f"(item {breach['item']}, worker {breach['worker']})"
        )
    for problem in report.get("exits", []):
        typer.echo(f"  crashed: {problem}")
    if not sum(rules.values()):
        typer.echo("  no rule broken")
    if fleet := report.get("fleet"):
        typer.echo(
            f"  fleet of {fleet['members']}: detect {fleet['detect_s']}, false deaths {fleet['false_dead']}, "
            f"owners {fleet['owners']}, limits {fleet['limits']}, stale {fleet['stale_s']}, "
            f"{fleet['bytes_s']} bytes a member a second, the longest word {fleet['longest']}"
        )
        typer.echo(f"  today: {json.dumps(fleet['today'])}")
        if fleet["skipped"]:
            typer.echo(f"  not on this clock, and not played: {', '.join(fleet['skipped'])}")
        for one in fleet["broken"][:10]:
            typer.echo(
                f"  broken promise: {one['property']} at {one['at']:.3f} s: {one['why']} "
                f"({one['seen']:g}, bound {one['bound']:g} {one['unit']})"
            )
    if report["void"]:
        typer.echo(f"  void: {report['void']}")
    if as_json:
        typer.echo(json.dumps(report))
    if report["void"]:
        raise typer.Exit(VOID)
    if sum(rules.values()) or report.get("exits") or (fleet and fleet["broken_count"]):
        raise typer.Exit(BROKEN)


@app.command()
@checked
def days() -> None:
    """The built-in days, a line each."""
    from opalwick.lab.day import built_in, read

    for name in built_in():
        day = read(name)
        faults = ", ".join(dict.fromkeys(f.kind for f in day.faults)) or "no fault"
        typer.echo(
            f"{name:10} {day.title} "
            f"({day.schedulers} schedulers, {sum(m.count for m in day.models)} workers, "
            f"{day.rate():.0f} work items a second, {day.length:g} s; {faults})"
        )


@app.command()
@checked
def faults() -> None:
    """The catalogue of faults, a line each."""
    from opalwick.lab.kinds import KINDS

    for name, kind in sorted(KINDS.items()):
        typer.echo(f"{name:16} {kind.what} (usual size {kind.size:g})")


@app.command()
@checked
def run(
    day: DayName,
    seed: Seed = 1,
    clock: Annotated[str, typer.Option(help="virtual, or sockets: real processes in real time.")] = "virtual",
    policy: Annotated[
        str, typer.Option(help="opalwick, or a baseline; on the virtual clock only.")
    ] = "opalwick",
    front: Annotated[str, typer.Option(help="http, or processor: behind proxies that ask it.")] = "http",
    out: Annotated[Path | None, typer.Option(help="Keeps history, day, result and logs there.")] = None,
    as_json: Json = False,
) -> None:
    """Plays one day and judges it. Exit code 1: a rule was broken; 3: the machine was too busy."""
    from opalwick.lab.baselines import POLICIES
    from opalwick.lab.day import read
    from opalwick.lab.experiment import run as play

    found = read(day)
    if clock not in ("virtual", "sockets"):
        raise fail(f"--clock: {clock!r} is neither virtual nor sockets")
    if policy not in POLICIES:
        raise fail(f"--policy: {policy!r} is none of {', '.join(POLICIES)}")
    if clock == "sockets" and policy != "opalwick":
        raise fail(
            f"--policy: {policy!r} runs on the virtual clock only; sockets play the scheduler as deployed"
        )
    if front not in ("http", "processor"):
        raise fail(f"--front: {front!r} is neither http nor processor")
    if clock == "sockets" and found.schedulers > 16:
        raise fail(f"--clock: sockets on one machine bear 16 schedulers, the day has {found.schedulers}")
    try:
        report = play(found, seed, clock, policy, out, front)
    except RuntimeError as problem:
        raise fail(str(problem), VOID) from None
    told(report, as_json)


@app.command()
@checked
def judge(
    history: Annotated[Path, typer.Argument(help="As `run --out` keeps it.")], as_json: Json = False
) -> None:
    """Judges a kept history again."""
    from opalwick.lab.judge import judge as judge_
    from opalwick.lab.ledger import BadHistory, load

    try:
        kept = load(str(history / "history.zst" if history.is_dir() else history))
        found = judge_(kept)
        if "fleet" in kept:
            from opalwick.lab.fleet.run import of_fleet

            found["fleet"] = of_fleet(kept)
        told(found, as_json)
    except (KeyError, TypeError, ValueError, IndexError, AttributeError) as problem:
        raise BadHistory(f"{history}: a row or the head is not as it must be: {problem!r}") from None


@app.command()
@checked
def sweep(
    file: Annotated[str, typer.Argument(help="TOML: days, policies, seeds, and settings to vary.")],
    out: Annotated[Path, typer.Option(help="What is there already is not run again.")],
    jobs: Annotated[int, typer.Option(help="Processes at once; 0: as many as cores.")] = 0,
) -> None:
    """Plays settings x policies x seeds on the virtual clock; picks up where it was ended."""
    from rich.console import Console
    from rich.progress import BarColumn, MofNCompleteColumn, Progress, TimeRemainingColumn

    from opalwick.lab.experiment import read_sweep, results
    from opalwick.lab.experiment import sweep as run_all

    tasks = read_sweep(file)
    with Progress(
        "runs", BarColumn(), MofNCompleteColumn(), TimeRemainingColumn(), console=Console(file=sys.stderr)
    ) as bar:
        shown = bar.add_task("runs", total=len(tasks))
        for done, _ in run_all(tasks, out, jobs):
            bar.update(shown, completed=done)
    broken = sum(
        sum(one["report"]["rules"].values()) for one in results(out) if one["task"]["policy"] == "opalwick"
    )
    typer.echo(f"{len(tasks)} runs in {out}; rules broken by opalwick: {broken}; next: lab report {out}")
    if broken:
        raise typer.Exit(BROKEN)


@app.command()
@checked
def fleet(
    day: Annotated[str, typer.Argument(metavar="DAY", help="A built-in fleet day or a file; `days`: all.")],
    seed: Seed = 1,
    clock: Annotated[str, typer.Option(help="virtual, or sockets: a process a member.")] = "virtual",
    members: Annotated[int, typer.Option(help="So many, instead of the day's own number; 0: that.")] = 0,
    out: Annotated[Path | None, typer.Option(help="Keeps histories, day, page and logs there.")] = None,
    as_json: Json = False,
) -> None:
    """Plays a day of many members with faults between them, and judges what the fleet promises.

    Exit code 1: a rule or a promise was broken; 3: the machine was too busy.
    """
    from opalwick.lab.fleet.day import built_in, with_members, read
    from opalwick.lab.fleet.run import run as play

    if day == "days":
        for name in built_in():
            one = read(name)
            kinds = ", ".join(dict.fromkeys(f.kind for f in one.faults)) or "no fault"
            typer.echo(f"{name:12} {one.title} ({one.members} members, {one.length:g} s; {kinds})")
        return
    if clock not in ("virtual", "sockets"):
        raise fail(f"--clock: {clock!r} is neither virtual nor sockets")
    if members < 0:
        raise fail(f"--members: {members} is no number of members")
    found = with_members(read(day), members) if members else read(day)
    typer.echo(f"{found.title}: {found.members} members, {found.length:g} s, {clock} clock", err=True)
    try:
        report = play(found, seed, clock, out, lambda over: typer.echo(f"  {over:.0f} s over", err=True))
    except RuntimeError as problem:
        raise fail(str(problem), VOID) from None
    told(report, as_json)


@app.command()
@checked
def report(folder: Annotated[Path, typer.Argument(metavar="DIR", help="Of `run --out` or `sweep`.")]) -> None:
    """Writes one HTML file with tables and plots into the folder."""
    from opalwick.lab.experiment import results
    from opalwick.lab.report import write

    typer.echo(f"the report is {write(results(folder), folder)}")


@app.command()
@checked
def compare(
    one: Annotated[Path, typer.Argument(metavar="DIR")],
    other: Annotated[Path, typer.Argument(metavar="DIR")],
    as_json: Json = False,
) -> None:
    """The second's figures less the first's, over the seeds that both have, with 95% intervals."""
    from opalwick.lab.experiment import BadResults, results
    from opalwick.lab.experiment import compare as compare_

    rows = compare_(results(one), results(other))
    if not rows:
        raise BadResults(f"{one} and {other} have no day, policy and seed in common")
    for row in rows:
        sure = "differs" if row["low"] > 0 or row["high"] < 0 else "no difference shown"
        typer.echo(
            f"{row['day']:30} {row['policy']:15} {row['first']:.4f} {row['second']:.4f} "
            f"{row['difference']:+.4f} ({row['low']:+.4f} to {row['high']:+.4f}, {row['seeds']} seeds): "
            f"{sure}"
        )
    if as_json:
        typer.echo(json.dumps(rows))


@app.command()
@checked
def hunt(
    day: DayName,
    minutes: Annotated[float, typer.Option(help="How long to search.")],
    seed: Seed = 1,
    days: Annotated[int, typer.Option(help="So many at most; 0: any.")] = 0,
    front: Annotated[str, typer.Option(help="http or processor, as in `run`.")] = "http",
    out: Annotated[Path, typer.Option(help="Where bad days are kept.")] = Path("found"),
    jobs: Annotated[int, typer.Option(help="Processes at once; 0: as many as cores.")] = 0,
) -> None:
    """Draws faults, plays them, and keeps the days that break rules or lose most against the oracle."""
    from opalwick.lab.day import read
    from opalwick.lab.fleet.day import is_fleet
    from opalwick.lab.hunt import hunt as search
    from opalwick.lab.hunt import keep

    if not 0 < minutes < 1e4:
        raise fail(f"--minutes: {minutes:g} is no time to search")
    if front not in ("http", "processor"):
        raise fail(f"--front: {front!r} is neither http nor processor")
    if is_fleet(day):
        hunt_fleet(day, seed, days or 200, out, jobs)
        return
    found = []
    for one in search(read(day), seed, minutes, days, jobs, front):
        found.append(one)
        if one["broken"]:
            why = one.get("problem") or "; ".join(b["why"] for b in one["breaches"][:2])
            typer.echo(f"drawn {one['number']}: broken: {why} ({', '.join(one['faults'])})")
    chosen = keep(found, out)
    for one in chosen:
        typer.echo(
            f"drawn-{one['number']}.toml  figure {one['figure']:.4f}, oracle {one['oracle']:.4f}, "
            f"broken {one['broken']}: {', '.join(one['faults'])}"
        )
    broken = sum(1 for one in found if one["broken"])
    typer.echo(
        f"{len(found)} days, {broken} with a broken rule; the worst are in {out}; "
        "play one with: lab run FILE --seed NUMBER"
    )
    if broken:
        raise typer.Exit(BROKEN)


def hunt_fleet(day: str, seed: int, days: int, out: Path, jobs: int) -> None:
    """The same among members: every day that breaks a rule or a promise is kept."""
    from opalwick.lab.fleet.day import read
    from opalwick.lab.fleet.run import hunt as search

    out.mkdir(parents=True, exist_ok=True)
    bad, count = 0, 0
    for one in search(read(day), seed, days, jobs):
        count += 1
        if one["broken"]:
            bad += 1
            file = out / f"fleet-{one['number']}.toml"
            file.write_text(f"# seed {one['number']}; broken {one['broken']}\n" + one["day"])
            typer.echo(f"{file.name}: {'; '.join(one['why'][:2])} ({', '.join(one['faults'])})")
    typer.echo(f"{count} days, {bad} broken; kept in {out}; play one with: lab fleet FILE --seed NUMBER")
    if bad:
        raise typer.Exit(BROKEN)


@app.command()
@checked
def shrink(
    day: DayName,
    seed: Seed,
    policy: Annotated[str, typer.Option()] = "opalwick",
    below: Annotated[
        float | None, typer.Option(help="A figure under this is the failure; else a broken rule is.")
    ] = None,
    out: Annotated[Path, typer.Option(help="The smaller day.")] = Path("shrunk.toml"),
) -> None:
    """Cuts a failing day to the fewest faults, workers and work items that still fail."""
    from opalwick.lab.baselines import POLICIES
    from opalwick.lab.day import read, write
    from opalwick.lab.fleet.day import is_fleet
    from opalwick.lab.hunt import fails
    from opalwick.lab.hunt import shrink as cut

    if is_fleet(day):
        shrink_fleet(day, seed, out)
        return
    if policy not in POLICIES:
        raise fail(f"--policy: {policy!r} is none of {', '.join(POLICIES)}")
    try:
        small = cut(read(day), fails(seed, below, policy), lambda what: typer.echo(f"still fails: {what}"))
    except ValueError as problem:
        raise fail(f"{day}, seed {seed}: {problem}; --below sets a figure that counts as failing") from None
    out.write_text(f"# seed {seed}\n" + write(small))
    typer.echo(
        f"{len(small.faults)} faults, {sum(m.count for m in small.models)} workers, "
        f"{small.load.most or 'all'} work items: {out}"
    )


def shrink_fleet(day: str, seed: int, out: Path) -> None:
    from opalwick.lab.day import write
    from opalwick.lab.fleet.day import read
    from opalwick.lab.fleet.run import shrink as cut

    try:
        small = cut(read(day), seed, lambda what: typer.echo(f"still fails: {what}"))
    except ValueError as problem:
        raise fail(f"{day}, seed {seed}: {problem}") from None
    out.write_text(f"# seed {seed}\n" + write(small))
    typer.echo(f"{len(small.faults)} faults, {small.members} members, {small.workers} workers: {out}")


@app.command()
@checked
def post(
    days: Annotated[
        list[str],
        typer.Argument(
            metavar="DAY...", help="Built-in days of the post, files, `drawn` (by the seed), or `hunt`."
        ),
    ],
    seed: Seed = 1,
    histories: Annotated[int, typer.Option(help="hunt: drawn histories, from that seed on.")] = 2000,
    jobs: Annotated[int, typer.Option(help="hunt: processes at once; 0: as many as cores.")] = 0,
    out: Annotated[Path | None, typer.Option(help="hunt: keeps the days that broke a rule there.")] = None,
    clock: Annotated[
        str, typer.Option(help="virtual, or sockets: the programs themselves, in real time, on loopback.")
    ] = "virtual",
    on: Annotated[str, typer.Option(help="hunt: the day that drawn faults befall, with its own.")] = "calm",
    as_json: Json = False,
) -> None:
    """Plays the post's roles among machines, clients and workers. Exit code 1: a rule was broken; 3: the
    machine was too busy for a day on sockets."""
    from opalwick.lab.post.command import hunted, on_sockets, played

    if clock not in ("virtual", "sockets"):
        raise fail(f"--clock: {clock!r} is neither virtual nor sockets")
    if days != ["hunt"]:
        code = played(days, seed, as_json, clock, out)
    elif clock == "sockets":
        code = on_sockets(seed, histories, as_json)
    else:
        code = hunted(seed, histories, jobs, out, as_json, on)
    if code:
        raise typer.Exit(code)


@app.command()
@checked
def soak(
    seed: Seed = 1,
    seeds: Annotated[int, typer.Option(help="Histories, one after the other, from that seed on.")] = 10,
    minutes: Annotated[float, typer.Option(help="No further one is begun after so many.")] = 10.0,
    out: Annotated[Path, typer.Option(help="Keeps the settings and logs of all processes there.")] = Path(
        "found/soak"
    ),
    short: Annotated[
        bool, typer.Option("--short", help="Without the calm and the planned restarts.")
    ] = False,
    processes: Annotated[
        int, typer.Option(help="About so many, in place of nine: some 40 MB and a twentieth of a core each.")
    ] = 0,
    as_json: Json = False,
) -> None:
    """Real processes of the post on real sockets, under troubles that overlap, then planned restarts. Exit
    code 1: a rule was broken or an invariant did not hold; 3: the machine was too busy for any to count."""
    from opalwick.lab.post.soak import LEAST_PROCESSES, MOST_PROCESSES
    from opalwick.lab.post.soak import soak as soaked

    if processes and not LEAST_PROCESSES <= processes <= MOST_PROCESSES:
        raise fail(
            f"--processes {processes}: from {LEAST_PROCESSES} to {MOST_PROCESSES}, or 0 for the usual ones"
        )
    if seeds < 1 or minutes <= 0.0:
        raise fail(f"--seeds {seeds}, --minutes {minutes:g}: that is no time to soak in")

    def told(number: int, report: dict[str, Any]) -> None:
        typer.echo(f"seed {number}: {report['accepted']} accepted, {len(report['broken'])} broken")
        for breach in report["broken"][:3]:
            typer.echo(f"  broken: {breach['rule']} at {breach['at']:.3f} s: {breach['why']}")
        if report["void"]:
            typer.echo(f"  void: {report['void']}")

    result = soaked(seed, seeds, minutes, out, not short, processes, told)
    typer.echo(
        f"{result.seeds} histories in {result.seconds:.0f} s, {result.void} void, "
        f"{len(result.broken)} broken; sent again: {result.repeats}"
    )
    if as_json:
        typer.echo(json.dumps(asdict(result)))
    if result.broken:
        raise typer.Exit(BROKEN)
    if result.void == result.seeds:
        raise typer.Exit(VOID)


@app.command()
@checked
def configuration(
    day: DayName,
    scheduler: Annotated[int, typer.Option(help="Which of the day's.")] = 0,
    port: Annotated[int, typer.Option(help="The first of the ports; all are on loopback.")] = 21000,
) -> None:
    """Prints the JSON with which `serve` plays that day; `stand` puts a fleet at those addresses."""
    from opalwick.lab.day import read
    from opalwick.lab.settings import Ports, configuration_of

    found = read(day)
    if not 0 <= scheduler < found.schedulers:
        raise fail(f"--scheduler: the day has schedulers 0 to {found.schedulers - 1}")
    try:
        ports = Ports(found, port)
    except ValueError as problem:
        raise fail(f"--port: {problem}") from None
    typer.echo(json.dumps(configuration_of(found, scheduler, ports), indent=2))


@app.command()
@checked
def stand(
    day: DayName,
    seed: Seed = 1,
    port: Annotated[int, typer.Option(help="As in `configuration`.")] = 21000,
    seconds: Annotated[float, typer.Option(help="How long it stands; 0: until Ctrl-C.")] = 0.0,
) -> None:
    """Puts the day's workers and list where `configuration` says, for schedulers that you start yourself."""
    from opalwick.lab.day import read
    from opalwick.lab.settings import Ports
    from opalwick.lab.sockets.stage import serve_environment as put_up

    found = read(day)
    try:
        ports = Ports(found, port)
    except ValueError as problem:
        raise fail(f"--port: {problem}") from None
    typer.echo(
        f"{len(ports.dial)} workers and the list stand at 127.0.0.1:{port} and up; "
        f"a scheduler's configuration: python -m opalwick lab configuration {day} --port {port}"
    )
    put_up(found, seed, ports, seconds)
