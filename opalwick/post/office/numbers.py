"""Which content a configuration's number stands for: one, for ever.

The newest configuration carries the digests of those before it, so the answer outlives every member that gave
it: a restart, a takeover, a lost disk. The history is bounded; a number older than all of it was superseded
long ago, and sending it again alters nothing.
"""

from __future__ import annotations

import json
from enum import Enum
from hashlib import blake2b

from opalwick.post.wire_pb2 import Conf, Confirmed

HISTORY = 128  # earlier numbers kept, 22 bytes each: minutes of changes in quick succession
DIGEST_BYTES = 12  # two contents share a digest with a chance of 2**-96


class Match(Enum):
    """What a number that was sent again stands for already."""

    SAME = "the same content"
    OTHER = "another content"
    UNKNOWN = "nothing that is remembered"


def digest(body: bytes) -> bytes:
    """Of a configuration as sent; equal for two JSON texts that differ in blanks or the order of fields."""
    try:
        body = json.dumps(json.loads(body), sort_keys=True, separators=(",", ":")).encode()
    except (ValueError, RecursionError):  # not JSON: compared byte by byte
        pass
    return blake2b(body, digest_size=DIGEST_BYTES).digest()


def content(conf: Conf) -> bytes:
    """The digest of what the operator sent under this configuration's number."""
    return bytes(conf.digest) or digest(conf.said)


def match(newest: Conf, given: Conf) -> Match:
    """What `given.gen` stands for, as far as `newest`, whose number is not lower, remembers."""
    if given.gen == newest.gen:
        known = content(newest)
    else:
        known = next((bytes(one.digest) for one in newest.past if one.gen == given.gen), b"")
    if not known:
        return Match.UNKNOWN
    return Match.SAME if known == content(given) else Match.OTHER


def follow(conf: Conf, newest: Conf) -> None:
    """`conf` is to come after `newest` under a higher number: it takes over the history."""
    del conf.past[:]
    conf.past.extend(newest.past)
    if newest.gen:
        conf.past.append(Confirmed(gen=newest.gen, digest=content(newest)))
    del conf.past[:-HISTORY]
