"""Requests that were written on a connection and may be sent again.

All requests of a work item repeat its id, and so do all answers to them. On one connection a late or second
answer to an earlier request of an item could not be told from the answer to a later one. So a later request
of the item goes on another connection.
"""

from __future__ import annotations

MAX_UNFINISHED = 64  # ids that a connection remembers; with more it is closed after its use


class UnfinishedRequests:
    """The ids of such requests on one connection."""

    __slots__ = ("ids",)

    def __init__(self) -> None:
        self.ids: set[bytes] = set()

    def add(self, request_id: bytes) -> None:
        """The request is about to be written."""
        if request_id:
            self.ids.add(request_id)

    def finish(self, request_id: bytes) -> None:
        """The request's answer is final: no other request of its work item follows."""
        self.ids.discard(request_id)

    def __contains__(self, request_id: bytes) -> bool:
        return request_id in self.ids

    @property
    def full(self) -> bool:
        """Whether the connection must not be used again, as no further id could be remembered."""
        return len(self.ids) >= MAX_UNFINISHED
