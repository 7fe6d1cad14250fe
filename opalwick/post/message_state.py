"""How a message stands, as a store tells a gateway (`Told.state` of `wire.proto`)."""

from __future__ import annotations

from enum import IntEnum


class MessageState(IntEnum):
    UNKNOWN = 0  # there is none of that name, as far as this store may have it
    PENDING = 1  # it has not ended
    COMPLETE = 2  # it has succeeded
    DEAD = 3  # it has ended without a success
    UNSURE = 4  # this store cannot tell


FOUND = frozenset((MessageState.PENDING, MessageState.COMPLETE, MessageState.DEAD))
WITH_BODY = frozenset((MessageState.PENDING, MessageState.DEAD))  # the message's octets are still kept

# as clients are told
CLIENT_STATES = {
    MessageState.PENDING: "pending",
    MessageState.COMPLETE: "complete",
    MessageState.DEAD: "dlq",
}
