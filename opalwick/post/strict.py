"""Strict decoding with mashumaro: types are not converted, and errors name the full path of a field."""

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
MAX_INTEGER = 2**63 - 1  # largest that the database and the protocol store


class InvalidValue(ValueError):
    """An invalid value: the problem, and the path of the value below the one being read."""

    def __init__(self, problem: str, path: str = "") -> None:
        super().__init__(problem)
        self.problem, self.path = problem, path


def text(value: Any) -> str:
    if type(value) is not str:
        raise InvalidValue("must be a string")
    try:
        value.encode()
    except UnicodeEncodeError:
        raise InvalidValue("contains an unpaired surrogate") from None
    return value


def non_empty(value: Any) -> str:
    if not text(value):
        raise InvalidValue("is empty")
    return str(value)


def flag(value: Any) -> bool:
    if type(value) is not bool:
        raise InvalidValue("must be true or false")
    return value


def number(value: Any) -> float:
    if type(value) not in (int, float):
        raise InvalidValue("must be a number")
    if value < 0:
        raise InvalidValue("must not be below 0")
    if value > MAX_INTEGER:  # also 1e999, which is read as infinity
        raise InvalidValue(f"must not be above {MAX_INTEGER}")
    return float(value)


def integer(value: Any) -> int:
    # JSON does not distinguish 7.0 from 7
    if not number(value).is_integer():
        raise InvalidValue("must be a whole number")
    return int(value)


def positive(value: Any) -> float:
    if not number(value):
        raise InvalidValue("must be above 0")
    return float(value)


def at_least_one(value: Any) -> int:
    if integer(value) < 1:
        raise InvalidValue("must be at least 1")
    return int(value)


def read_by(read: Callable[[Any], Any], **default: Any) -> Any:
    """A dataclass field that is decoded by `read`."""
    return field(metadata={"deserialize": read}, **default)


class StrictConfig(BaseConfig):
    """By default the library would convert strings to numbers, and accept numbers as strings."""

    serialization_strategy = {  # noqa: RUF012 - declared so by the library
        kind: {"deserialize": read}
        for kind, read in ((str, text), (bool, flag), (int, integer), (float, number))
    }


def list_of(kind: type) -> Callable[[Any], Any]:
    """A reader of lists. It decodes item by item, since the library does not report which item is invalid."""
    decoder: BasicDecoder[Any] = BasicDecoder(kind)

    def read(value: Any) -> Any:
        if type(value) is not list:
            raise InvalidValue("must be a list")
        return [decode(decoder, item, f"[{i}]") for i, item in enumerate(value)]

    return read


def object_of(kind: type) -> Callable[[Any], Any]:
    """A reader of objects."""
    decoder: BasicDecoder[Any] = BasicDecoder(kind)
    return lambda value: decode(decoder, value, "")


def decode(decoder: BasicDecoder[Any], value: Any, path: str) -> Any:
    """Decodes an object; raises `InvalidValue` with the full path of the invalid field."""
    if type(value) is not dict:
        raise InvalidValue("must be an object", path)
    try:
        return decoder.decode(value)
    except MissingField as e:
        raise InvalidValue("is missing", f"{path}.{e.field_name}") from None
    except ExtraKeysError as e:  # only for types that forbid them
        raise InvalidValue("is not a known field", f"{path}.{min(e.extra_keys)}") from None
    except InvalidFieldValue as e:
        cause = e.__context__
        if not isinstance(cause, InvalidValue):
            raise InvalidValue("is malformed", f"{path}.{e.field_name}") from None
        raise InvalidValue(cause.problem, f"{path}.{e.field_name}{cause.path}") from None


def unique_keys(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    """The object of these pairs; raises `InvalidValue` if a key repeats."""
    fields = dict(pairs)
    if len(fields) < len(pairs):
        keys = [key for key, _ in pairs]
        raise InvalidValue(
            f"an object has the key {next(key for key in keys if keys.count(key) > 1)!r} twice"
        )
    return fields


def reject_constant(name: str) -> None:
    raise InvalidValue(f"{name} is not a number")


def from_json(body: bytes, read: Callable[[Any], T]) -> Result[T, str]:
    """Parses the body and returns the result of `read`, which may raise `InvalidValue`.

    A Failure is a sentence that names the field.
    """
    try:
        value = json.loads(
            body.decode("utf-8"), object_pairs_hook=unique_keys, parse_constant=reject_constant
        )
    except InvalidValue as e:
        return Failure(f"the body is not plain JSON: {e.problem}")
    except (ValueError, RecursionError) as e:
        return Failure(f"the body is not JSON: {e}")
    try:
        return Success(read(value))
    except InvalidValue as e:
        return Failure(f"{e.path.lstrip('.') or 'the body'} {e.problem}")
