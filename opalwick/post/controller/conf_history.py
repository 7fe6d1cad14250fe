"""Which content belongs to a configuration's number. Each number stands for one content permanently.

The newest configuration carries the digests of the earlier ones, so the answer survives restarts, changes of
the primary and lost disks. The history is bounded; a number older than all of it was superseded long ago, and
sending it again has no effect.
"""

from __future__ import annotations

import json
from enum import Enum
from hashlib import blake2b

from opalwick.post.wire_pb2 import Conf, Confirmed

HISTORY = 128  # earlier numbers in the history, 22 bytes each: enough for minutes of rapid changes
DIGEST_BYTES = 12  # two contents share a digest with a probability of 2**-96


class Match(Enum):
    """The recorded content of a number, compared with the content that was sent."""

    SAME = "the same content"
    OTHER = "another content"
    UNKNOWN = "nothing that is remembered"


def digest(body: bytes) -> bytes:
    """Digest of a configuration as sent; equal for JSON that differs in white space or field order."""
    try:
        body = json.dumps(json.loads(body), sort_keys=True, separators=(",", ":")).encode()
    except (ValueError, RecursionError):  # not JSON: the digest covers the bytes as they are
        pass
    return blake2b(body, digest_size=DIGEST_BYTES).digest()


def content(conf: Conf) -> bytes:
    """The digest of the text that the operator sent under this configuration's number."""
    return bytes(conf.digest) or digest(conf.said)


def match(newest: Conf, sent: Conf) -> Match:
    """Compares `sent` with the history in `newest`, whose number is not lower."""
    if sent.gen == newest.gen:
        known = content(newest)
    else:
        known = next((bytes(one.digest) for one in newest.past if one.gen == sent.gen), b"")
    if not known:
        return Match.UNKNOWN
    return Match.SAME if known == content(sent) else Match.OTHER


def follow(conf: Conf, newest: Conf) -> None:
    """Copies the history from `newest` into `conf`, its successor with a higher number."""
    del conf.past[:]
    conf.past.extend(newest.past)
    if newest.gen:
        conf.past.append(Confirmed(gen=newest.gen, digest=content(newest)))
    del conf.past[:-HISTORY]
