"""The format in which controllers store a configuration, and gateways read it."""

from __future__ import annotations

from opalwick.post.configuration import Configuration
from opalwick.post.controller import conf_history
from opalwick.post.wire_pb2 import Conf, Route, Service


def packed(found: Configuration, said: bytes) -> bytes:
    """A configuration as controllers store it and gateways read it."""
    routes = [
        Route(
            name=r.name,
            host=r.vhost.lower(),
            stem=r.stem,
            limit=r.limit_ms / 1000.0,
            target=r.target_ms / 1000.0,
            prio=r.prio,
            svc=r.svc,
            tries=r.tries,
            retain=r.retain_s,
            start=r.start_ms / 1000.0,
            deferred=r.type == "deferred",
            fifo=r.fifo,
        )
        for r in found.routing
    ]
    services = [
        Service(
            name=s.name,
            probe=s.probe,
            max_conns=s.max_conns,
            rate=s.rate_per_s,
            dedup=s.dedup,
            static=s.static or "",
        )
        for s in found.backends
    ]
    caps = found.caps
    return Conf(
        gen=found.gen,
        routes=routes,
        services=services,
        head_bytes=caps.head_bytes,
        body_bytes=caps.body_bytes,
        head=caps.head_ms / 1000.0,
        idle=caps.idle_ms / 1000.0,
        said=said,
        digest=conf_history.digest(said),
    ).SerializeToString()
