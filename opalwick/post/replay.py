"""Replays a recorded trace through the state machines ("cores"), with the results of each input.

Each line is a JSON object: `at` (seconds), `core`, `input` (a method of it) and `fields` (its arguments, a
list). The input `new` creates a core; `name` distinguishes several of one kind. An example is
`docs/operate/post-trace.jsonl`.
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

# module and class by the name that a trace has; these names are part of its format
CORES = {
    "intake": ("gateway.intake", "Intake"),
    "rounds": ("gateway.scheduling", "Rounds"),
    "ceilings": ("gateway.rate_limits", "Ceilings"),
    "keeping": ("store.message_store", "MessageStore"),
    "views": ("controller.views", "Views"),
    "duties": ("controller.leases", "LeaseTable"),
    "registry": ("controller.registry", "Registry"),
    "directory": ("directory", "Directory"),
}


class InvalidTrace(Exception):
    """The trace cannot be replayed: `FILE:LINE: what is wrong`."""


def to_json(value: Any) -> Any:
    """The value as JSON types."""
    if isinstance(value, Message):
        return MessageToDict(value, preserving_proto_field_name=True)
    if isinstance(value, tuple) and hasattr(value, "_asdict"):
        return {key: to_json(one) for key, one in value._asdict().items()}
    if isinstance(value, dict):
        return {str(key): to_json(one) for key, one in value.items()}
    if isinstance(value, (list, tuple)):
        return [to_json(one) for one in value]
    if isinstance(value, (set, frozenset)):
        return sorted(map(to_json, value))
    if isinstance(value, bytes):
        return base64.b64encode(value).decode()
    if isinstance(value, Enum):
        return value.name
    if value is None or isinstance(value, (bool, int, float, str)):
        return value
    return getattr(value, "mid", f"<{type(value).__name__}>")  # a core's own object for a message


def convert(hint: Any, given: Any, core: Any) -> Any:
    """Converts a value of a line to the type of a method's parameter."""
    origin, parts = typing.get_origin(hint), typing.get_args(hint)
    if hint is Any or hint is None:
        return tuple(given) if isinstance(given, list) else given
    if type(None) in parts:  # optional
        rest = [part for part in parts if part is not type(None)]
        return None if given is None else convert(rest[0], given, core)
    if origin in (list, tuple, set):
        return origin(convert(parts[0] if parts else Any, one, core) for one in given)
    if origin is dict:
        return {key: convert(parts[1], one, core) for key, one in given.items()}
    if getattr(origin, "__name__", "") == "Callable":  # a callback that always returns this value
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
        return hint(*(convert(h, one, core) for h, one in zip(hints, args)))
    return given


def arguments(method: Callable[..., Any], given: list[Any], core: Any) -> list[Any]:
    """The arguments of a call, converted; raises TypeError if their number is wrong."""
    hints = typing.get_type_hints(vars(method)["__init__"] if isinstance(method, type) else method)
    signature = inspect.signature(method)
    signature.bind(*given)
    named = [hints.get(name, Any) for name in signature.parameters]
    return [convert(named[min(i, len(named) - 1)], one, core) for i, one in enumerate(given)]


def play(lines: list[str], name: str = "trace") -> Iterator[dict[str, Any]]:
    """Yields for each line its input, the value `returned`, and `left`: the core's `effects()`, kind by kind.

    Raises `InvalidTrace`.
    """
    cores: dict[str, Any] = {}
    for number, line in enumerate(lines, 1):
        if not line.strip() or line.lstrip().startswith("#"):
            continue
        where = f"{name}:{number}"
        try:
            step = json.loads(line)
            at, kind, input_name, fields = (
                float(step["at"]),
                step["core"],
                step["input"],
                step.get("fields", []),
            )
            module, class_name = CORES[kind]
        except json.JSONDecodeError as problem:
            raise InvalidTrace(f"{where}: not JSON: {problem.msg}") from None
        except KeyError as problem:
            key = problem.args[0]
            raise InvalidTrace(
                f"{where}: {key}: missing"
                if key in ("at", "core", "input")
                else f"{where}: core: unknown {key!r}; known are {', '.join(CORES)}"
            ) from None
        except (TypeError, ValueError) as problem:
            raise InvalidTrace(f"{where}: at: must be a number of seconds: {problem}") from None
        if not isinstance(fields, list):
            raise InvalidTrace(f"{where}: fields: must be a list")
        name_of_core = step.get("name", kind)
        try:
            if input_name == "new":
                maker = getattr(import_module(f"opalwick.post.{module}"), class_name)
                cores[name_of_core], returned = maker(*arguments(maker, fields, None)), None
            else:
                if name_of_core not in cores:
                    raise InvalidTrace(
                        f"{where}: {name_of_core!r} does not exist: its first input must be 'new'"
                    )
                core = cores[name_of_core]
                method = getattr(core, input_name, None)
                if input_name.startswith("_") or not inspect.ismethod(method):
                    raise InvalidTrace(f"{where}: input: {kind} has no {input_name!r}")
                # cores without `clock` have the time as an attribute or as an argument of the input
                if hasattr(core, "clock"):
                    core.clock(at)
                elif hasattr(core, "now"):
                    core.now = at
                returned = method(*arguments(method, fields, core))
            effects = getattr(cores[name_of_core], "effects", None)
            left = effects() if effects is not None else ()
        except InvalidTrace:
            raise
        except Exception as problem:  # noqa: BLE001 - any exception of a core is due to the trace
            raise InvalidTrace(
                f"{where}: {name_of_core} {input_name}: {type(problem).__name__}: {problem}"
            ) from None
        yield {
            "line": number,
            "at": at,
            "core": name_of_core,
            "input": input_name,
            "returned": to_json(returned),
            "left": [to_json(one) for one in left] if any(left) else [],
        }


def record(
    core: Any, kind: str, now: Callable[[], float], write: Callable[[str], None], inputs: tuple[str, ...]
) -> None:
    """Writes a line for each further call of these inputs, but not for calls that the core makes itself."""
    nested = False

    def wrap(input_name: str, method: Callable[..., Any]) -> Callable[..., Any]:
        def run(*fields: Any) -> Any:
            nonlocal nested
            if nested:
                return method(*fields)
            write(
                json.dumps({"at": now(), "core": kind, "input": input_name, "fields": to_json(list(fields))})
            )
            nested = True
            try:
                return method(*fields)
            finally:
                nested = False

        return run

    for input_name in inputs:
        setattr(core, input_name, wrap(input_name, getattr(core, input_name)))
