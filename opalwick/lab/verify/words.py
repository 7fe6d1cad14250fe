"""Peer messages in transit, as bytes: the sender keeps no reference to them, as with a socket."""

from __future__ import annotations

from typing import Any

from opalwick.post.wire_pb2 import Envelope

KINDS: dict[str, Any] = {name: type(getattr(Envelope(), name)) for name in Envelope.DESCRIPTOR.fields_by_name}
EncodedMessage = tuple[str, bytes]  # kind, serialized message


def encode(kind: str, message: Any) -> EncodedMessage:
    return kind, message.SerializeToString(deterministic=True)


def decode(encoded: EncodedMessage) -> Any:
    return KINDS[encoded[0]].FromString(encoded[1])
