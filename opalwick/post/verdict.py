"""What an attempt came to: above all, whether the request may have run."""

from __future__ import annotations

from enum import Enum

from opalwick.interface import Outcome


class Verdict(Enum):
    """`ran`: True, False, or None where nobody knows."""

    DONE = ("done", True, Outcome.FINISHED)
    FAILED = ("failed", True, Outcome.ERROR)  # this attempt; a later one may succeed
    REFUSED = ("refused for good", True, Outcome.ERROR)
    FULL = ("turned away", False, Outcome.FULL)
    ABSENT = ("another worker, or none, is there", False, Outcome.NO_CONNECTION)
    RUNNING = ("its first run is still on", False, Outcome.NOT_SENT)
    NOT_SENT = ("not sent", False, Outcome.NOT_SENT)
    SILENT = ("no answer in time", None, Outcome.TIMED_OUT)
    BROKEN = ("the connection broke", None, Outcome.BROKEN)
    CANCELLED = ("taken back", None, Outcome.CANCELLED)

    def __init__(self, text: str, ran: bool | None, outcome: Outcome) -> None:
        self.text, self.ran, self.outcome = text, ran, outcome


def of_status(status: int, not_run: bool, sealed: bool) -> Verdict:
    """Of a worker's whole answer."""
    if 200 <= status < 300 and sealed:
        return Verdict.DONE
    if status == 421:
        return Verdict.ABSENT
    if not_run:
        return Verdict.RUNNING if status == 409 else Verdict.FULL
    if status == 422:
        return Verdict.REFUSED
    return Verdict.FAILED if status == 500 else Verdict.BROKEN
