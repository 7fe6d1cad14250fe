"""Decodes the settings that a scheduler is started with; the keys of settings are used in this module
only."""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from opalwick.interface import Category, Customer, Effect, Group, LoadMetric, ReportSource, SchedulerConfig

_EFFECTS = {"repeatable": Effect.IDEMPOTENT, "by_key": Effect.KEYED, "once": Effect.AT_MOST_ONCE}
_REPORT = {"active": LoadMetric.IN_FLIGHT, "waiting": LoadMetric.WAITING}
_REPORTS = {"piggyback": ReportSource.RESPONSES, "pull": ReportSource.PROBES, "silent": ReportSource.NONE}
# whether the worker list gives fixed sizes; `live` is a figure that varies with load, not a size
_SIZED = {"silent": False, "live": False, "nominal": True, "rough": True}
_MICRO = 1e-6


class InvalidSettings(Exception):
    """A required setting is missing, or a setting is malformed or contradicts another."""


def flatten(nested: Any, path: str = "") -> dict[str, str]:
    """Flattens nested settings to a map from dotted path to text.

    A list of plain values becomes one text joined by commas, a list of objects `count` and numbered paths.
    """
    if isinstance(nested, Mapping):
        entries = [(str(key), value) for key, value in nested.items()]
    elif isinstance(nested, list) and any(isinstance(value, Mapping) for value in nested):
        entries = [("count", len(nested)), *((str(i), value) for i, value in enumerate(nested))]
    else:
        return {path: ",".join(map(_text, nested)) if isinstance(nested, list) else _text(nested)}
    values: dict[str, str] = {}
    for key, value in entries:
        values |= flatten(value, f"{path}.{key}" if path else key)
    return values


def _text(value: Any) -> str:
    if isinstance(value, bool):
        return "true" if value else "false"
    return str(value).replace(" ", "_").replace(",", "_")


class SettingValues:
    """Typed access to flattened settings; times are returned in seconds.

    Methods raise InvalidSettings where a value is missing without a default, or malformed.
    """

    def __init__(self, values: Mapping[str, str]) -> None:
        self._values = values

    def text(self, key: str, default: str | None = None) -> str:
        value = self._values.get(key, default)
        if value is None:
            raise InvalidSettings(f"setting {key} is missing")
        return value

    def number(self, key: str, default: float | None = None) -> float:
        text = self.text(key, None if default is None else str(default))
        try:
            value = float(text)
        except ValueError:
            value = math.nan
        if not math.isfinite(value) or value < 0:
            raise InvalidSettings(f"setting {key} is malformed: {text!r}")
        return value

    def seconds(self, key: str, default: float | None = None) -> float:
        return self.number(key, None if default is None else default / _MICRO) * _MICRO

    def flag(self, key: str, default: str | None = None) -> bool:
        text = self.text(key, default)
        if text not in ("true", "false"):
            raise InvalidSettings(f"setting {key} is malformed: {text!r}")
        return text == "true"

    def choice(self, key: str, choices: Any, default: str | None = None) -> Any:
        text = self.text(key, default)
        try:
            return choices[text]
        except (KeyError, TypeError):
            raise InvalidSettings(f"setting {key} is malformed: {text!r}") from None

    def elements(self, key: str) -> list[str]:
        """Returns the elements of a list of plain values; an empty list if the key is missing."""
        return [part for part in self._values.get(key, "").split(",") if part]


def read_scheduler_config(given: Mapping[str, str]) -> SchedulerConfig:
    """Builds the scheduler's configuration. Raises InvalidSettings."""
    values = SettingValues(given)
    stretches = values.elements("family-info.class-stretch")
    groups, kinds = {group.value: group for group in Group}, values.elements("family-info.class-kind")
    known = {"-1", *map(str, range(len(values.elements("skus"))))}
    for kind in kinds:
        if kind not in known:
            raise InvalidSettings(
                f"setting family-info.class-kind is malformed: {kind!r} is no index into skus"
            )
    categories = []
    for i in range(int(values.number("categories.count"))):
        prefix = f"categories.{i}."
        try:
            stretch = (
                float(stretches[i]) if i < len(stretches) else values.number(prefix + "aim-stretch", 0.0)
            )
        except ValueError:
            raise InvalidSettings(
                f"setting family-info.class-stretch is malformed: {stretches[i]!r}"
            ) from None
        expiry = values.seconds(prefix + "expiry-us")
        categories.append(
            Category(
                values.number(prefix + "credit"),
                values.choice(prefix + "effect", _EFFECTS),
                values.choice(prefix + "group", groups, "all"),
                values.seconds(prefix + "due-time-us"),
                stretch,
                expiry,
                values.number(prefix + "tardy-credit", 0.0),
                values.seconds(prefix + "window-us", expiry),
                int(kinds[i]) if i < len(kinds) else -1,
            )
        )
    customers = [
        Customer(values.number(f"tenants.{i}.quota-per-s", 0.0))
        for i in range(int(values.number("tenants.count", 0.0)))
    ]
    extra = {f"x{n}": values.text(f"family-info.report-x{n}", "") for n in (0, 1)}
    report = tuple(
        LoadMetric.FREE_SLOTS if extra.get(name) == "free_slots" else _REPORT.get(name, "")
        for name in values.elements("load-report.names")
    )
    return SchedulerConfig(
        categories=categories,
        customers=customers,
        zone=int(values.number("az", 0.0)),
        schedulers=max(1, int(values.number("peers-total"))),
        max_attempts=int(values.number("ceilings.max-hand-offs")),
        may_hedge=values.flag("ceilings.parallel-tries"),
        may_cancel=values.flag("ceilings.may-cancel"),
        may_message_peers=values.flag("ceilings.peers"),
        max_retry_after=(
            values.seconds("ceilings.max-retry-after-us", 0.0) if values.flag("ceilings.retry-after") else 0.0
        ),
        credit_per_work=values.choice("credit-basis", {"work": True, "request": False}),
        excess_credit=values.number("excess-credit", 1.0),
        price_cross_zone=values.number("prices.cross-zone", 0.0),
        price_peer_message=values.number("prices.peer", 0.0),
        position=int(values.number("position", 0.0)),
        must_subscribe=values.choice("discovery", {"ask": True, "push": False}),
        subscribe_within=values.seconds("guarantees.ask-every-us", 10.0),
        overload_multiple=values.number("guarantees.fall-multiple"),
        overload_span=values.seconds("guarantees.fall-us"),
        cold_share=values.number("guarantees.cold-share"),
        ramp=values.seconds("guarantees.ramp-time-us"),
        reports_start=values.flag("family-info.tells-start", "false"),
        progress_every=values.seconds("family-info.progress-us", 0.0),
        tick=values.seconds("tick-us", 0.005),
        cpu_per_item=values.seconds("ceilings.cpu-us-per-request", 0.0),
        fixed_sizes=values.choice("weights", _SIZED, "silent"),
        may_probe=values.flag("ceilings.may-probe", "false"),
        price_probe=values.number("prices.probe", 0.0),
        price_fetch=values.number("prices.origin", 0.0),
        marks_retries=values.flag("callers.marks-retry", "false"),
        only_draining_binds=values.flag("guarantees.only-draining-binds", "false"),
        report_source=values.choice("load-report.how", _REPORTS, "piggyback"),
        load_metrics=report,
    )


def reject_contradictions(given: Mapping[str, str]) -> None:
    """Raises InvalidSettings if settings of load reports contradict each other."""
    values = SettingValues(given)
    names, how = values.elements("load-report.names"), values.text("load-report.how", "piggyback")
    for name in names:
        if names.count(name) > 1:
            raise InvalidSettings(f"load-report.names holds {name!r} twice")
    if how == "silent" and names:
        raise InvalidSettings(f"load-report.names holds {names[0]!r}, but load-report.how is 'silent'")
    if how == "pull" and not names:
        raise InvalidSettings(
            "load-report.names is empty, but load-report.how is 'pull': probes would report nothing"
        )
    if how == "pull" and not values.flag("ceilings.may-probe", "false"):
        raise InvalidSettings(
            "ceilings.may-probe is not true, but load-report.how is 'pull': nothing would be reported"
        )


@dataclass(slots=True)
class NameMaps:
    """Maps names used on the wire to categories, customers and indices."""

    categories: dict[str, Category]
    customers: dict[str, Customer]
    zones: dict[str, int]
    kinds: dict[str, int]
    load_metrics: list[str]  # of a load report, in the order of SchedulerConfig.load_metrics

    def zone(self, name: str) -> int:
        """Returns the index of a zone; assigns the next one to a new name."""
        return self.zones.setdefault(name, len(self.zones))

    def kind(self, name: str) -> int:
        """Returns the index of a kind of worker; assigns the next one to a new name."""
        return self.kinds.setdefault(name, len(self.kinds))


def read_name_maps(given: Mapping[str, str], terms: SchedulerConfig) -> NameMaps:
    """Builds the maps of names. Raises InvalidSettings."""
    values = SettingValues(given)
    zones, kinds = (
        {name: i for i, name in enumerate(values.elements(key))} for key in ("localities", "skus")
    )
    return NameMaps(
        {values.text(f"categories.{i}.name"): c for i, c in enumerate(terms.categories)},
        {values.text(f"tenants.{i}.name"): c for i, c in enumerate(terms.customers)},
        zones,
        kinds,
        values.elements("load-report.names"),
    )
