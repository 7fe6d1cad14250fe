"""Which workers a gateway's dispatchers use for each service, and by how many connections, as the
configuration, the directory, data residency and maintenance have it. No I/O; part of `scheduling.py`.
"""

from __future__ import annotations

from collections.abc import Iterable

from opalwick.post.gateway.connection_budget import choose_workers, connection_budget
from opalwick.post.gateway.delivery_state import DeliveryState
from opalwick.post.gateway.dispatchers import Dispatcher, WorkerRow, worker_rows
from opalwick.post.gateway.item import Item
from opalwick.post.gateway.routes import Routes
from opalwick.post.maintenance.resting import Resting
from opalwick.post.residency.policy import Policy
from opalwick.post.wire_pb2 import Conf, Worker


def dispatcher_name(svc: str, home: str) -> str:
    """Name of the dispatcher of a service for one country. The separator can't occur in service names."""
    return f"{svc}\x1f{home}" if home else svc


class WorkerSelection(DeliveryState):
    """The dispatchers of all services."""

    def configured(self, conf: Conf) -> None:
        """Applies a configuration."""
        self.routes = Routes(conf)
        services = {service.name: service for service in conf.services}
        for name, dispatcher in list(self.dispatchers.items()):
            known, new = dispatcher.service, services.get(dispatcher.service.name)
            if new is None or (known.rate, known.dedup, known.static) != (new.rate, new.dedup, new.static):
                # deliveries in flight go on; messages that were not sent are rescheduled
                del self.dispatchers[name]
                dispatcher.permit_queue.clear()
                self.residency_queues.pop(name, None)
                for item in list(self.items.values()):
                    if item.dispatcher_name == name and not item.in_flight:
                        item.queued = False
                        self.schedule_at(self.now, item)
            else:
                dispatcher.service = new
                if known.max_conns != new.max_conns:
                    self.refresh_workers(new.name)
        for name, service in services.items():
            if name not in self.dispatchers:
                self.dispatchers[name] = Dispatcher(
                    service,
                    self.settings,
                    self.zones,
                    self.gateway_count,
                    self.seed ^ len(self.dispatchers),
                    self.now,
                )
                self.wake_at = min(self.wake_at, self.dispatchers[name].wake_at)
                self.refresh_workers(name)
        self.reroute()

    def reroute(self) -> None:
        """Reschedules waiting messages whose route now leads to another service, or is gone."""

        def moved(item: Item) -> bool:
            return (
                not self.update_route(item)
                or item.route is None
                or (dispatcher_name(item.route.svc, item.message.home) != item.dispatcher_name)
            )

        waiting = [
            item
            for dispatcher in self.dispatchers.values()
            for item in dispatcher.permit_queue.remove_if(moved)
        ]
        waiting += [item for queue in self.residency_queues.values() for item in queue.remove_if(moved)]
        for item in waiting:
            item.queued = False
            self.schedule_at(self.now, item)

    def listed(self, workers: dict[str, Worker], changed: Iterable[str]) -> None:
        """`workers`: all workers. `changed`: services whose list of workers has changed."""
        self.workers = workers
        for svc in changed:
            self.refresh_workers(svc)

    def dispatchers_of(self, svc: str) -> list[Dispatcher]:
        """The service's own dispatcher, and one for each country to which messages of it are restricted."""
        names = (svc, *self.residency_dispatchers.get(svc, ()))
        return [dispatcher for name in names if (dispatcher := self.dispatchers.get(name)) is not None]

    def refresh_workers(self, svc: str) -> None:
        """Recomputes which workers the service's dispatchers use, and by how many connections."""
        dispatchers = self.dispatchers_of(svc)
        for dispatcher in dispatchers:
            for place in dispatcher.addresses:
                self.connection_limits.pop(place, None)
        for dispatcher in dispatchers:
            self.refresh_dispatcher(dispatcher)

    def refresh_dispatcher(self, dispatcher: Dispatcher) -> None:
        most = dispatcher.service.max_conns
        if dispatcher.service.static:
            host, _, port = dispatcher.service.static.rpartition(":")
            self.connection_limits[host, int(port)] = connection_budget(most, 1, self.gateway_count)[1]
            return
        there = [
            row
            for row in worker_rows(self.workers, dispatcher.service.name, self.resting)
            if not dispatcher.country or self.in_country(dispatcher, row)
        ]
        # a worker also runs messages without data residency: all gateways share its connections
        count, each = connection_budget(most, sum(not row.draining for row in there), self.gateway_count)
        mine = choose_workers(there, self.node, self.settings.zone, count)
        dispatcher.addresses = {(row.host, row.port) for row in mine}
        self.connection_limits.update(dict.fromkeys(dispatcher.addresses, each))
        self.apply(dispatcher, dispatcher.set_workers(self.now, mine))

    def rest(self, rules: list[str]) -> None:
        """Workers whose rack is drained or unavailable get no deliveries, as if they were draining."""
        if list(self.resting.rules) != rules:
            self.resting = Resting(rules)
            for svc in dict.fromkeys(dispatcher.service.name for dispatcher in self.dispatchers.values()):
                self.refresh_workers(svc)

    def in_flight_at_resting(self) -> int:
        """Deliveries in flight at resting workers."""
        if not self.resting:
            return 0
        return sum(
            dispatcher.in_flight_at_resting(self.resting, self.workers)
            for dispatcher in self.dispatchers.values()
        )

    def in_country(self, dispatcher: Dispatcher, row: WorkerRow) -> bool:
        """Whether the worker is in the dispatcher's country."""
        return (
            self.policy is not None
            and not self.workers[row.id].disputed
            and self.policy.country(row.zone) == dispatcher.country
        )

    def governed(self, policy: Policy | None, country: str) -> None:
        """Applies a data residency policy and this gateway's country: the workers in each country may have
        changed. Messages keep their country; those of other countries return to their stores.
        """
        self.policy, self.country = policy, country
        for name, dispatcher in list(self.dispatchers.items()):
            if dispatcher.country and dispatcher.service.static:
                del self.dispatchers[name]  # made again, with a new check of the endpoint's country
                for item in list(self.items.values()):
                    if item.dispatcher_name == name and not item.in_flight:
                        item.queued = False
                        self.schedule_at(self.now, item)
                self.residency_queues.pop(name, None)
            elif dispatcher.country:
                self.refresh_workers(dispatcher.service.name)
        self.return_to_stores(lambda item: item.message.home not in ("", country))

    def dispatcher_of(self, item: Item) -> Dispatcher | None:
        """The dispatcher of its service that has the workers at which it may run; None if there is none."""
        assert item.route is not None
        svc, home = item.route.svc, item.message.home
        dispatcher = self.dispatchers.get(name := dispatcher_name(svc, home))
        base = self.dispatchers.get(svc)
        if dispatcher is None and home and base is not None:
            static, policy = base.service.static, self.policy
            near = not static or (policy is not None and policy.endpoints.get(static) == home)
            dispatcher = self.dispatchers[name] = Dispatcher(
                base.service,
                self.settings,
                self.zones,
                self.gateways_in_country,
                self.seed ^ len(self.dispatchers),
                self.now,
                home,
                near,
            )
            self.wake_at = min(self.wake_at, dispatcher.wake_at)
            if name not in (names := self.residency_dispatchers.setdefault(svc, [])):
                names.append(name)
            self.refresh_workers(svc)
        return dispatcher

    def counters(self, count: int, in_country: int = 0) -> None:
        """Number of gateways. `in_country`: those in this gateway's country, which share the workers there
        for messages with data residency.
        """
        if (count, max(1, in_country)) == (self.gateway_count, self.gateways_in_country):
            return
        self.gateway_count, self.gateways_in_country = max(1, count), max(1, in_country)
        for dispatcher in list(self.dispatchers.values()):
            dispatcher.terms.schedulers = (
                self.gateways_in_country if dispatcher.country else self.gateway_count
            )
            if not dispatcher.country:
                self.refresh_workers(dispatcher.service.name)

    def update_route(self, item: Item) -> bool:
        """Updates its route to the configuration in force. Returns whether there is one."""
        message = item.message
        if self.routes is not None:
            item.route = self.routes.find(message.host.decode("latin-1"), message.target.decode("latin-1"))
        return item.route is not None
