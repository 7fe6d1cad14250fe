"""Reads and validates `processor.toml`."""

from __future__ import annotations

import os
import re
from pathlib import Path

from msgspec import Struct, field

from opalwick.settings_file import InvalidFile, Seconds, decode, fault_at
from opalwick.processor.exchange import Proxy
from opalwick.processor.grpc import Bounds
from opalwick.program.configuration import BadConfiguration, Configuration
from opalwick.program.configuration import read as read_scheduler
from opalwick.protocol.discovery import parse_address
from opalwick.transport.connection import Address


class Rule(Struct, forbid_unknown_fields=True):
    """Assigns a category. The first rule whose pattern occurs in the header field applies."""

    header: str
    matches: str
    category: str


class Fields(Struct, forbid_unknown_fields=True):
    """Names of header fields, in lower case. An empty name disables the field."""

    id: str = "x-request-id"
    category: str = "x-service-class"  # by default the first segment of the path
    expiry: str = "x-time-left-ms"  # milliseconds; by default the category's
    key: str = "idempotency-key"
    hint: str = "x-weight-hint"  # microseconds of work
    customer: str = "x-account"
    facts: str = "x-facts"
    # in responses
    unprocessed: str = "x-unprocessed"  # "1": the worker rejected it
    not_sent: str = "x-opalwick-not-sent"  # "1": answered by the proxy, the request never reached the worker
    load: str = "x-backend-load"
    # set by this processor
    worker: str = "x-envoy-original-dst-host"
    name: str = "x-opalwick-worker"
    use_by: str = "x-opalwick-use-by-ms"
    again: str = "x-opalwick-again"


class Proxies(Struct, forbid_unknown_fields=True):
    """How the proxies behave."""

    retries: bool = True  # they open a further call for a request whose response requests it
    use_by: Seconds = Seconds(0.2)
    again_within: Seconds = Seconds(0.5)
    clear_route_cache: bool = False


class Limit(Struct, forbid_unknown_fields=True):
    """Limits on proxies' connections; sizes in bytes."""

    connections: int = 64
    streams: int = 20000  # per connection
    message: int = 262144
    head: int = 32768
    waiting: int = 1048576
    preface: Seconds = Seconds(5)  # until a connection has opened its first stream
    write: Seconds = Seconds(5)  # until a connection that does not accept data is closed


class File(Struct, forbid_unknown_fields=True):
    """Content of `processor.toml`."""

    scheduler: str  # path of the scheduler's JSON configuration, relative to this file
    listen: str
    fields: Fields = field(default_factory=Fields)
    rules: list[Rule] = []
    proxies: Proxies = field(default_factory=Proxies)
    limits: Limit = field(default_factory=Limit)


class Settings:
    """The validated settings, with the scheduler's configuration."""

    def __init__(self, file: File, scheduler: Configuration, listen: Address) -> None:
        self.file, self.scheduler, self.listen = file, scheduler, listen
        self.fields, self.limits = file.fields, file.limits
        self.rules = [
            (rule.header, re.compile(rule.matches), scheduler.names.categories[rule.category])
            for rule in file.rules
        ]
        p = file.proxies
        self.proxy = Proxy(p.retries, float(p.use_by), float(p.again_within))
        self.bounds = Bounds(file.limits.streams, file.limits.message, file.limits.head, file.limits.waiting)


def read(path: str, least_port: int = 1) -> Settings:
    """Reads a settings file. Raises Faulty with the file, line and key of a fault."""
    try:
        text = Path(path).read_text()
    except (OSError, UnicodeDecodeError) as exc:
        raise InvalidFile(f"{path}: cannot be read: {exc}") from None
    file = decode(text, path, File)
    try:
        listen = parse_address(file.listen, least_port)
    except ValueError as exc:
        raise fault_at(text, path, ["listen"], str(exc)) from None
    scheduler_path = Path(path).parent / file.scheduler
    try:
        scheduler = read_scheduler({**os.environ, "BALANCER_LISTEN": file.listen}, str(scheduler_path))
    except BadConfiguration as exc:
        raise fault_at(text, path, ["scheduler"], f"{scheduler_path}: {exc}") from None
    for key in Fields.__struct_fields__:
        name = getattr(file.fields, key)
        if name and not re.fullmatch(r":?[!#$%&'*+.^_`|~0-9a-z-]+", name):
            raise fault_at(text, path, ["fields", key], f"{name!r} is no field name in lower case")
    if not file.fields.id or not file.fields.worker:
        raise fault_at(text, path, ["fields"], "id and worker must not be empty")
    for i, rule in enumerate(file.rules):
        if rule.category not in scheduler.names.categories:
            known = ", ".join(scheduler.names.categories)
            raise fault_at(text, path, ["rules", i, "category"], f"{rule.category!r} is none of {known}")
        try:
            re.compile(rule.matches)
        except re.error as exc:
            raise fault_at(text, path, ["rules", i, "matches"], f"invalid pattern: {exc}") from None
    # a decision counts as a send: the proxy must carry it out before the grace period of a drain is over
    if not 0.01 <= file.proxies.use_by <= 0.24:
        raise fault_at(
            text,
            path,
            ["proxies", "use_by"],
            "must lie from 10 ms to 240 ms, within the grace period of drains",
        )
    if not 0 <= file.proxies.again_within <= 10:
        raise fault_at(text, path, ["proxies", "again_within"], "must lie from 0 s to 10 s")
    for key, minimum in (
        ("connections", 1),
        ("streams", 1),
        ("message", 1024),
        ("head", 1024),
        ("waiting", 4096),
        ("preface", 0.1),
        ("write", 0.1),
    ):
        if not minimum <= getattr(file.limits, key) <= 1 << 30:
            raise fault_at(text, path, ["limits", key], f"must lie from {minimum} to {1 << 30}")
    return Settings(file, scheduler, listen)
