"""Strict reading by mashumaro: nothing is taken for what it is not, and a fault names its whole way."""

from __future__ import annotations

import json
from collections.abc import Callable
from dataclasses import field
from typing import Any, TypeVar

from mashumaro.codecs.basic import BasicDecoder
from mashumaro.config import BaseConfig
from mashumaro.exceptions import ExtraKeysError, InvalidFieldValue, MissingField
from returns.result import Failure, Result, Success

T = TypeVar("T")
MOST = 2**63 - 1  # what the disk and the wire hold


class Wrong(ValueError):
    """What is wrong, and where below the place that is being read."""

    def __init__(self, what: str, where: str = "") -> None:
        super().__init__(what)
        self.what, self.where = what, where


def text(value: Any) -> str:
    if type(value) is not str:
        raise Wrong("must be text")
    try:
        value.encode()
    except UnicodeEncodeError:
        raise Wrong("holds half a character") from None
    return value


def filled(value: Any) -> str:
    if not text(value):
        raise Wrong("is empty")
    return str(value)


def flag(value: Any) -> bool:
    if type(value) is not bool:
        raise Wrong("must be true or false")
    return value


def number(value: Any) -> float:
    if type(value) not in (int, float):
        raise Wrong("must be a number")
    if value < 0:
        raise Wrong("must not be below 0")
    if value > MOST:  # a number such as 1e999 too
        raise Wrong(f"must not be above {MOST}")
    return float(value)


def whole(value: Any) -> int:
    # 7.0 is a whole number in JSON, as 7 is
    if not number(value).is_integer():
        raise Wrong("must be a whole number")
    return int(value)


def above(value: Any) -> float:
    if not number(value):
        raise Wrong("must be above 0")
    return float(value)


def from_one(value: Any) -> int:
    if whole(value) < 1:
        raise Wrong("must be at least 1")
    return int(value)


def by(read: Callable[[Any], Any], **default: Any) -> Any:
    return field(metadata={"deserialize": read}, **default)


class Strict(BaseConfig):
    """Left to itself the library would make numbers of text, and pass numbers for text."""

    serialization_strategy = {  # noqa: RUF012 - as the library declares it
        kind: {"deserialize": read}
        for kind, read in ((str, text), (bool, flag), (int, whole), (float, number))
    }


def each(kind: type) -> Callable[[Any], Any]:
    """A list of these, read one by one: the library does not tell which of a list is wrong."""
    decoder: BasicDecoder[Any] = BasicDecoder(kind)

    def read(value: Any) -> Any:
        if type(value) is not list:
            raise Wrong("must be a list")
        return [decoded(decoder, one, f"[{i}]") for i, one in enumerate(value)]

    return read


def one(kind: type) -> Callable[[Any], Any]:
    decoder: BasicDecoder[Any] = BasicDecoder(kind)
    return lambda value: decoded(decoder, value, "")


def decoded(decoder: BasicDecoder[Any], value: Any, where: str) -> Any:
    """`Wrong` with the whole way to what is wrong."""
    if type(value) is not dict:
        raise Wrong("must be an object", where)
    try:
        return decoder.decode(value)
    except MissingField as e:
        raise Wrong("is missing", f"{where}.{e.field_name}") from None
    except ExtraKeysError as e:  # where a kind forbids them
        raise Wrong("is no field here", f"{where}.{min(e.extra_keys)}") from None
    except InvalidFieldValue as e:
        found = e.__context__
        if not isinstance(found, Wrong):
            raise Wrong("is malformed", f"{where}.{e.field_name}") from None
        raise Wrong(found.what, f"{where}.{e.field_name}{found.where}") from None


def plain(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    made = dict(pairs)
    if len(made) < len(pairs):
        keys = [key for key, _ in pairs]
        raise Wrong(f"an object has the key {next(key for key in keys if keys.count(key) > 1)!r} twice")
    return made


def no_constant(name: str) -> None:
    raise Wrong(f"{name} is no number")


def from_json(body: bytes, read: Callable[[Any], T]) -> Result[T, str]:
    """What `read` makes of the body's JSON; it may raise Wrong. A Failure is a sentence, naming the field."""
    try:
        given = json.loads(body.decode("utf-8"), object_pairs_hook=plain, parse_constant=no_constant)
    except Wrong as e:
        return Failure(f"the body is no plain JSON: {e.what}")
    except (ValueError, RecursionError) as e:
        return Failure(f"the body is not JSON: {e}")
    try:
        return Success(read(given))
    except Wrong as e:
        return Failure(f"{e.where.lstrip('.') or 'the body'} {e.what}")
