"""TOML files, validated whole before use: errors name the file, the line and the key.

Times are text with a unit, so that milliseconds are not mistaken for seconds. Needs msgspec, so only
packages that are installed as an extra import it.
"""

from __future__ import annotations

import re
import tomllib
from typing import Any, TypeVar

import msgspec

from opalwick.toml_lines import line_of as line_of

_FORM = re.compile(r"\s*([0-9]+(?:[.][0-9]+)?)\s*(us|ms|s|min|h)\s*")
# divisors, as division gives the exact same float when a written time is read again
_UNITS = {"us": 1e6, "ms": 1e3, "s": 1.0, "min": 1.0 / 60.0, "h": 1.0 / 3600.0}


class Seconds(float):
    """Seconds, decoded from text such as "250 ms"."""

    @classmethod
    def read(cls, given: object) -> Seconds:
        """Parses a time with a unit. Raises ValueError."""
        found = _FORM.fullmatch(given) if isinstance(given, str) else None
        if found is None:
            raise ValueError(f'{given!r} is no time with a unit (us, ms, s, min, h), such as "250 ms"')
        return cls(float(found[1]) / _UNITS[found[2]])


def format_seconds(seconds: float) -> str:
    """A time as text with a unit, as in such a file."""
    if seconds and seconds < 1.0:
        return (
            f"{round(seconds * 1e3, 3):.10g} ms" if seconds >= 1e-3 else f"{round(seconds * 1e6, 3):.10g} us"
        )
    return f"{round(seconds, 6):.10g} s"


class InvalidFile(Exception):
    """The file is invalid; the message names the file, the line and the key."""


def decode_hook(kind: type, given: Any) -> Any:
    """Decoding hook of msgspec for `Seconds`."""
    if kind is Seconds:
        return Seconds.read(given)
    raise NotImplementedError(kind)


def fault_at(
    text: str, name: str, path: list[str | int], what: str, raised: type[InvalidFile] = InvalidFile
) -> InvalidFile:
    """The exception for the fault `what` at `path` in the file `name`, of type `raised`."""
    shown = "".join(f"[{p}]" if isinstance(p, int) else f".{p}" for p in path).lstrip(".")
    return raised(f"{name}:{line_of(text, path)}: {shown or 'the file'}: {what}")


Decoded = TypeVar("Decoded")


def decode(text: str, name: str, kind: type[Decoded], raised: type[InvalidFile] = InvalidFile) -> Decoded:
    """Decodes the text of the file `name`; raises `raised` if it is not TOML or doesn't match the type."""
    try:
        tomllib.loads(text)
    except tomllib.TOMLDecodeError as exc:
        line = re.search(r"line (\d+)", str(exc))
        at = line[1] if line else len(text.splitlines())
        raise raised(f"{name}:{at}: not TOML: {exc}") from None
    try:
        return msgspec.toml.decode(text, type=kind, dec_hook=decode_hook, strict=True)
    except msgspec.ValidationError as exc:
        what, _, at = str(exc).partition(" - at `$")
        path: list[str | int] = [
            int(index) if index else key
            for key, index in re.findall(r"[.]([\w-]+)|\[(\d+)\]", at.rstrip("`"))
        ]
        if unknown := re.search(r"unknown field `([^`]*)`", what):
            path.append(unknown[1])
        raise fault_at(text, name, path, what, raised) from None
