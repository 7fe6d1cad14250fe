"""Routes of the configuration in force."""

from __future__ import annotations

from opalwick.post.wire_pb2 import Conf, Route


class Routes:
    """Finds the route of a request by its host and path."""

    def __init__(self, conf: Conf) -> None:
        self.gen = int(conf.gen)
        self.hosts: dict[str, list[tuple[str, Route]]] = {}
        for route in conf.routes:
            self.hosts.setdefault(route.host, []).append((route.stem, route))
        for stems in self.hosts.values():
            stems.sort(key=lambda pair: -len(pair[0]))

    def find(self, host: str, path: str) -> Route | None:
        """The route with the longest matching path prefix, or None. `host` may include a port."""
        name = host.lower()
        stems = self.hosts.get(name)
        if stems is None and (without_port := name.partition(":")[0]) != name:
            stems = self.hosts.get(without_port)
        return next((route for stem, route in stems or () if path.startswith(stem)), None)
