"""Outcomes of a delivery, and whether the request may have run."""

from __future__ import annotations

from enum import Enum

from opalwick.interface import Outcome


class DeliveryOutcome(Enum):
    """Outcome of one delivery. `ran`: whether the request ran; None if that is unknown."""

    DONE = ("done", True, Outcome.FINISHED)
    FAILED = ("failed", True, Outcome.ERROR)  # this attempt; a later one may succeed
    REFUSED = ("permanently rejected", True, Outcome.ERROR)
    FULL = ("rejected, at capacity", False, Outcome.FULL)
    ABSENT = ("another worker, or none, at the address", False, Outcome.NO_CONNECTION)
    RUNNING = ("an earlier delivery is still running", False, Outcome.NOT_SENT)
    NOT_SENT = ("not sent", False, Outcome.NOT_SENT)
    SILENT = ("timed out", None, Outcome.TIMED_OUT)
    BROKEN = ("connection broken", None, Outcome.BROKEN)
    CANCELLED = ("cancelled", None, Outcome.CANCELLED)

    def __init__(self, text: str, ran: bool | None, outcome: Outcome) -> None:
        self.text, self.ran, self.reducer_outcome = text, ran, outcome

    @property
    def final(self) -> bool:
        """Whether the message has ended with it, so that no other delivery follows."""
        return self in (DeliveryOutcome.DONE, DeliveryOutcome.REFUSED)


def outcome_of_status(status: int, not_run: bool, sealed: bool) -> DeliveryOutcome:
    """Outcome of a complete response. `not_run`: it has X-Not-Run; `sealed`: it has a completion token."""
    if 200 <= status < 300 and sealed:
        return DeliveryOutcome.DONE
    if status == 421:
        return DeliveryOutcome.ABSENT
    if not_run:
        return DeliveryOutcome.RUNNING if status == 409 else DeliveryOutcome.FULL
    if status == 422:
        return DeliveryOutcome.REFUSED
    return DeliveryOutcome.FAILED if status == 500 else DeliveryOutcome.BROKEN
