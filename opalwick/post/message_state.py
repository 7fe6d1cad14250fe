"""States of a message as a store reports them to a gateway (`Told.state` of `wire.proto`)."""

from __future__ import annotations

from enum import IntEnum


class MessageState(IntEnum):
    UNKNOWN = 0  # this store has no message with that name
    PENDING = 1  # not finished
    COMPLETE = 2  # finished successfully
    DEAD = 3  # finished without success
    UNSURE = 4  # this store cannot determine it


FOUND = frozenset((MessageState.PENDING, MessageState.COMPLETE, MessageState.DEAD))
WITH_BODY = frozenset((MessageState.PENDING, MessageState.DEAD))  # the message's body is still stored

# in answers to clients
CLIENT_STATES = {
    MessageState.PENDING: "pending",
    MessageState.COMPLETE: "complete",
    MessageState.DEAD: "dlq",
}
