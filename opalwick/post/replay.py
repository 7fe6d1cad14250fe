"""A recorded trace, played step by step through the state machines: what was put in, what they return.

One JSON object a line: `at` (seconds), `core`, `input` (a method of it) and `fields` (its arguments, a list).
`new` makes a core; `name` tells several of one kind apart. `docs/operate/post-trace.jsonl` is an example.
"""

from __future__ import annotations

import base64
import inspect
import json
import typing
from collections.abc import Callable, Iterator
from enum import Enum
from importlib import import_module
from typing import Any

from google.protobuf.json_format import MessageToDict, ParseDict
from google.protobuf.message import Message

# by name: the module and the class
CORES = {
    "intake": ("counter.intake", "Intake"),
    "rounds": ("counter.rounds", "Rounds"),
    "ceilings": ("counter.ceilings", "Ceilings"),
    "keeping": ("depot.keeping", "MessageStore"),
    "views": ("office.views", "Views"),
    "duties": ("office.duties", "LeaseTable"),
    "registry": ("office.registry", "Registry"),
    "directory": ("directory", "Directory"),
}


class BadTrace(Exception):
    """`FILE:LINE: what is wrong`."""


def plain(value: Any) -> Any:
    """As JSON has it."""
    if isinstance(value, Message):
        return MessageToDict(value, preserving_proto_field_name=True)
    if isinstance(value, tuple) and hasattr(value, "_asdict"):
        return {key: plain(one) for key, one in value._asdict().items()}
    if isinstance(value, dict):
        return {str(key): plain(one) for key, one in value.items()}
    if isinstance(value, (list, tuple)):
        return [plain(one) for one in value]
    if isinstance(value, (set, frozenset)):
        return sorted(map(plain, value))
    if isinstance(value, bytes):
        return base64.b64encode(value).decode()
    if isinstance(value, Enum):
        return value.name
    if value is None or isinstance(value, (bool, int, float, str)):
        return value
    return getattr(value, "mid", f"<{type(value).__name__}>")  # a message that a core holds


def value(hint: Any, given: Any, core: Any) -> Any:
    """What a method takes, of what the line has."""
    origin, parts = typing.get_origin(hint), typing.get_args(hint)
    if hint is Any or hint is None:
        return tuple(given) if isinstance(given, list) else given
    if type(None) in parts:  # an optional one
        rest = [part for part in parts if part is not type(None)]
        return None if given is None else value(rest[0], given, core)
    if origin in (list, tuple, set):
        return origin(value(parts[0] if parts else Any, one, core) for one in given)
    if origin is dict:
        return {key: value(parts[1], one, core) for key, one in given.items()}
    if getattr(origin, "__name__", "") == "Callable":  # whatever it is asked, this is the answer
        return lambda *_: given
    if not isinstance(hint, type):
        return given
    if issubclass(hint, Message):
        return ParseDict(given, hint())
    if issubclass(hint, Enum):
        return hint[given]
    if hint is bytes:
        return base64.b64decode(given)
    if hint.__name__ == "Settings":
        from opalwick.post.settings import parse

        return parse("\n".join(f"{key}={one}" for key, one in given.items()), "settings")
    if hint.__name__ == "Item":
        return core.items[given]
    if isinstance(given, (dict, list)):
        args = given if isinstance(given, list) else list(given.values())
        maker = hint if hasattr(hint, "_fields") else vars(hint)["__init__"]
        hints = typing.get_type_hints(maker).values()
        return hint(*(value(h, one, core) for h, one in zip(hints, args)))
    return given


def arguments(method: Callable[..., Any], given: list[Any], core: Any) -> list[Any]:
    hints = typing.get_type_hints(vars(method)["__init__"] if isinstance(method, type) else method)
    signature = inspect.signature(method)
    signature.bind(*given)
    named = [hints.get(name, Any) for name in signature.parameters]
    return [value(named[min(i, len(named) - 1)], one, core) for i, one in enumerate(given)]


def play(lines: list[str], name: str = "trace") -> Iterator[dict[str, Any]]:
    """For each line: what was put in, `returned`, and `left`: its `effects()`, kind by kind."""
    cores: dict[str, Any] = {}
    for number, line in enumerate(lines, 1):
        if not line.strip() or line.lstrip().startswith("#"):
            continue
        where = f"{name}:{number}"
        try:
            told = json.loads(line)
            at, kind, put, fields = float(told["at"]), told["core"], told["input"], told.get("fields", [])
            module, made = CORES[kind]
        except json.JSONDecodeError as problem:
            raise BadTrace(f"{where}: no JSON: {problem.msg}") from None
        except KeyError as problem:
            what = problem.args[0]
            raise BadTrace(
                f"{where}: {what}: missing"
                if what in ("at", "core", "input")
                else f"{where}: core: no {what!r}; there are {', '.join(CORES)}"
            ) from None
        except (TypeError, ValueError) as problem:
            raise BadTrace(f"{where}: at: must be a number of seconds: {problem}") from None
        if not isinstance(fields, list):
            raise BadTrace(f"{where}: fields: must be a list")
        who = told.get("name", kind)
        try:
            if put == "new":
                maker = getattr(import_module(f"opalwick.post.{module}"), made)
                cores[who], returned = maker(*arguments(maker, fields, None)), None
            else:
                if who not in cores:
                    raise BadTrace(f"{where}: {who!r} was not made: its first input is 'new'")
                core = cores[who]
                method = getattr(core, put, None)
                if put.startswith("_") or not inspect.ismethod(method):
                    raise BadTrace(f"{where}: input: {kind} has no {put!r}")
                # without a method of its own for it, the time is an attribute or an argument
                if hasattr(core, "clock"):
                    core.clock(at)
                elif hasattr(core, "now"):
                    core.now = at
                returned = method(*arguments(method, fields, core))
            effects = getattr(cores[who], "effects", None)
            left = effects() if effects is not None else ()
        except BadTrace:
            raise
        except Exception as problem:  # noqa: BLE001 - whatever a core raises is the trace's fault
            raise BadTrace(f"{where}: {who} {put}: {type(problem).__name__}: {problem}") from None
        yield {
            "line": number,
            "at": at,
            "core": who,
            "input": put,
            "returned": plain(returned),
            "left": [plain(one) for one in left] if any(left) else [],
        }


def recorded(
    core: Any, kind: str, now: Callable[[], float], write: Callable[[str], None], inputs: tuple[str, ...]
) -> None:
    """From now on each of these inputs to the core is written as a line; what it calls itself is not."""
    inside = False

    def wrap(put: str, method: Callable[..., Any]) -> Callable[..., Any]:
        def run(*fields: Any) -> Any:
            nonlocal inside
            if inside:
                return method(*fields)
            write(json.dumps({"at": now(), "core": kind, "input": put, "fields": plain(list(fields))}))
            inside = True
            try:
                return method(*fields)
            finally:
                inside = False

        return run

    for put in inputs:
        setattr(core, put, wrap(put, getattr(core, put)))
