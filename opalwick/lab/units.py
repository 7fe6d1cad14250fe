"""Times in day files: a number with its unit, so that nobody takes one for another."""

from __future__ import annotations

import re

_FORM = re.compile(r"\s*([0-9]+(?:[.][0-9]+)?)\s*(us|ms|s|min|h)\s*")
# divided by: what is written and read again is then the same to the last bit
_UNITS = {"us": 1e6, "ms": 1e3, "s": 1.0, "min": 1.0 / 60.0, "h": 1.0 / 3600.0}


class Seconds(float):
    """Decoded from text such as "250 ms"."""

    @classmethod
    def read(cls, given: object) -> Seconds:
        """ValueError where it is no time with a unit."""
        found = _FORM.fullmatch(given) if isinstance(given, str) else None
        if found is None:
            raise ValueError(f'{given!r} is no time with a unit (us, ms, s, min, h), such as "250 ms"')
        return cls(float(found[1]) / _UNITS[found[2]])


def told(seconds: float) -> str:
    """As a day file has it."""
    if seconds and seconds < 1.0:
        return (
            f"{round(seconds * 1e3, 3):.10g} ms" if seconds >= 1e-3 else f"{round(seconds * 1e6, 3):.10g} us"
        )
    return f"{round(seconds, 6):.10g} s"
