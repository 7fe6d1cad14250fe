"""The controller's role: calls of workers and operators, the views, the directory, leases. No I/O.

The shell writes `batch()` to the disk and reports it with `synced()`. On the wire and in settings the roles
are spelled "office" (controller), "counter" (gateway) and "depot" (store).
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any


from opalwick.post.directory import is_empty
from opalwick.post.residency.policy_file import too_few_stores
from opalwick.post.names import process_id
from opalwick.post.controller import conf_history
from opalwick.post.controller.http_api import HttpApi
from opalwick.post.controller.leases import LeaseTable
from opalwick.post.controller.notices import Notices, first_call
from opalwick.post.controller.registry import Registry
from opalwick.post.controller.retirement import Retirement
from opalwick.post.controller.views import OK, Save, Stored, Views
from opalwick.post.controller.maintenance_window import Window
from opalwick.post.settings import Settings
from opalwick.post.base_role import Link, RoleBase
from opalwick.post.wire_pb2 import (
    Conf,
    Forward,
    Forwarded,
    Home,
    Known,
    Leased,
    News,
    Node,
    Pulse,
)
from opalwick.protocol.server_connection import Call

PRIMARY_TIMEOUT = 0.85  # s for the primary's answer: callers time out after 1 s
MAX_WAITING_CALLS = 256  # calls that wait for the primary; more get 503
# s since the last message of a controller until it counts as out of touch: four keepalives
CONTACT_TIMEOUT = 1.0
# share of the grace period of a shutdown in which leadership and membership are handed over
HANDOVER_SHARE = 0.25
MIN_SHUTDOWN = 0.3  # s from the order to shut down until the end at the earliest: pending calls are answered


class Controller(RoleBase):
    """State machine of a controller."""

    role = "office"

    def __init__(self, settings: Settings, life: int, now: float, stored: Stored | None) -> None:
        """`stored`: the record on the disk; None at the first start or after its loss."""
        self.views = Views(
            settings.ip,
            settings.survive.boxes + 1,
            stored,
            [host for host, _ in settings.seeds],
            not settings.bootstrap,
            now,
        )
        super().__init__(settings, life, now)
        self.registry = Registry(settings.beat, now)
        self.directory = self.registry.directory
        self.leases = LeaseTable(now, stored is None and settings.bootstrap)
        self.saves: list[Save] = []
        self.waiting: dict[int, tuple[float, Callable[[int, bytes], None]]] = {}
        self.calls = first_call(life)
        self.notices = Notices(self.views, life)
        self.shutdown_at = 0.0  # s, when it was told to shut down
        self.last_conf = b""
        self.empty: dict[str, bool] = {}  # by store: whether it reported that it has no messages left
        self.votes = self.ip in self.views.voters
        self.directory_changed = False  # the directory changed since it was last stored
        self.reported_holders: dict[Link, dict[str, str]] = {}
        self.window = Window(self)
        self.retirement = Retirement(self)
        self.api = HttpApi(self)
        for ip in self.views.voters:
            self.maintain_link(ip)
        self.event(202, epoch=self.views.view.epoch, blank=self.views.lost_state, known=stored is not None)

    def clock(self, now: float) -> None:
        self.now = self.views.now = self.registry.now = now

    # ---- links

    def heartbeat_content(self, link: Link) -> Pulse:
        return Pulse(
            settled=self.views.has_primary, gen=max(0, self.views.known_gen), leaving=self.views.leaving
        )

    def on_link_up(self, link: Link) -> None:
        peer = link.peer
        if peer.role == "office":
            self.views.linked.add(peer.ip)
        link.send("news", self.registry.whole(self.now))
        link.send("pulse", self.heartbeat(link))
        fresh = self.registry.node(
            self.now, Node(node=peer.node, role=peer.role, zone=peer.zone, ip=peer.ip, life=peer.life)
        )
        self.spread(fresh, True, link.peer.node)

    def on_link_down(self, link: Link) -> None:
        self.reported_holders.pop(link, None)
        if link.peer.role == "office" and self.controller_link(link.peer.ip) is None:
            self.views.linked.discard(link.peer.ip)
            self.views.shutting_down.discard(link.peer.ip)
            self.views.without_primary.discard(link.peer.ip)

    def on_process_ended(self, node: str) -> None:
        self.empty.pop(node, None)
        self.window.process_ended(node)

    def handle(self, link: Link, kind: str, message: Any) -> None:
        v = self.views
        if link.peer.role == "office":
            sender = link.peer.ip
            match kind:
                case "pulse":
                    (v.without_primary.discard if message.settled else v.without_primary.add)(sender)
                    (v.shutting_down.add if message.leaving else v.shutting_down.discard)(sender)
                case "spread":
                    self.take_news(link, message.news)
                    link.send("known", Known(call=message.call, view=v.view))
                case "known":
                    self.notices.known(sender, message)
                case "resign":
                    v.resigned(sender, message)
                case "beat":
                    v.beats(sender, message)
                case "beaten":
                    v.beaten(sender, message)
                case "installed":
                    v.installs(sender, message)
                case "canvass" | "vote" | "install" | "write" | "written":
                    getattr(v, kind)(sender, message)
                case "forward":
                    self.handle_forward(link, message)
                case "forwarded":
                    self.reply(message.call, message.status, message.body)
                case "news":
                    self.take_news(link, message)
        elif kind == "pulse":
            if link.peer.role == "depot":
                self.empty[link.peer.node] = message.empty
            self.window.pulse(link.peer.node, link.peer.role, message)
        elif kind == "lease":
            who = process_id(link.peer.node, link.peer.life)
            granted = (
                self.leases.lease(self.now, who, list(message.duties), message.span) if self.votes else []
            )
            if message.call:
                in_use = self.leases.holders(self.now)
                same = self.reported_holders.get(link) == in_use
                self.reported_holders[link] = in_use
                link.send(
                    "leased",
                    Leased(
                        call=message.call,
                        granted=granted,
                        held={} if same else in_use,
                        same=same,
                        voters=len(self.views.voters) if self.votes else 0,
                    ),
                )

    def take_news(self, link: Link, update: News) -> None:
        """Applies another controller's update and forwards what is new to gateways and stores first."""
        fresh, changed = self.registry.apply(update)
        if changed:
            self.spread(fresh, True, link.peer.node, offices=False)
        for node in fresh.nodes:
            if node.role == "office":
                self.maintain_link(node.ip)

    def spread(self, update: News, changed: bool, but: str = "", offices: bool = True) -> None:
        """Sends an update to the other controllers, and to gateways and stores if it concerns them."""
        if is_empty(update):
            return
        self.directory_changed = self.directory_changed or changed
        for link in [
            *(self.links_to("office") if offices else []),
            *(self.links_to("counter") + self.links_to("depot") if changed else []),
        ]:
            if link.peer.node != but:
                link.send("news", update)

    def controller_link(self, ip: str) -> Link | None:
        """The link to the controller with that IP address."""
        return next((link for link in self.links_to("office") if link.peer.ip == ip), None)

    # ---- effects of the views

    def settle(self) -> None:
        v = self.views
        while True:
            saves, sends, answers, committed = v.effects()
            if not (saves or sends or answers or committed):
                break
            self.saves += saves
            for to, kind, message in sends:
                self.deliver(to, kind, message)
            for conf in committed:
                self.publish(conf)
            for call, status in answers:
                self.reply(call, status, b"")
        for number, fields in v.events:
            self.event(number, **fields)
        v.events.clear()
        if self.votes != (votes := self.ip in v.voters):
            self.votes = votes
            self.event(213, votes=votes, voters=",".join(v.voters))
            if votes:
                self.leases.joins(self.now)

    def deliver(self, to: str, kind: str, message: Any) -> None:
        if to == self.ip:
            v = self.views
            own: dict[str, Callable[[str, Any], None]] = {
                "vote": v.vote,
                "installed": v.installs,
                "written": v.written,
                "install": v.install,
                "write": v.write,
            }
            own[kind](to, message)
        elif (link := self.controller_link(to)) is not None:
            link.send(kind, message)

    def batch(self) -> list[Save]:
        """The pending writes; the last record includes all earlier ones."""
        waits, self.saves = self.saves, []
        return waits

    def synced(self, saves: list[Save]) -> None:
        """Sends the messages that had to wait for these writes."""
        for save in saves:
            for to, kind, message in save.then:
                self.deliver(to, kind, message)

    def publish(self, conf: bytes) -> None:
        """Sends a configuration that is in force to all nodes."""
        self.last_conf = conf
        sent = Conf.FromString(conf)
        self.window.published(sent)
        sent.said = sent.digest = b""
        del sent.past[:]
        if sent.HasField("home"):
            sent.home.ClearField("said")
            sent.home.ClearField("keepers")
        if sent.HasField("window"):
            sent.window.ClearField("state")
        update = News(conf=sent)
        self.directory.merge(update)
        self.spread(update, True)
        # a gateway that waits for its confirmation need not wait for the next keepalive
        for link in self.links_to("counter"):
            link.send("pulse", self.heartbeat(link))

    # ---- calls

    def reply(self, call: int, status: int, body: bytes) -> None:
        if (wait := self.waiting.pop(call, None)) is not None:
            wait[1](status, body)

    def wait(self, answer: Callable[[int, bytes], None]) -> int:
        """Registers a waiting call and returns its number; without a reply in time `answer` gets 504."""
        self.calls += 1
        self.waiting[self.calls] = self.now + PRIMARY_TIMEOUT, answer
        return self.calls

    def at_primary(self, what: str, body: bytes, answer: Callable[[int, bytes], None]) -> None:
        """Executes an operator's call here or at the primary; the answer comes within PRIMARY_TIMEOUT."""
        v = self.views
        if len(self.waiting) >= MAX_WAITING_CALLS:
            answer(503, b"")
            return
        if v.state == "primary":
            self.carry_out(what, body, answer)
        elif v.primary and (link := self.controller_link(v.primary)) is not None:
            link.send("forward", Forward(call=self.wait(answer), what=what, body=body))
        else:
            answer(503, b"")

    def carry_out(self, what: str, body: bytes, answer: Callable[[int, bytes], None]) -> None:
        """At the primary: executes a call."""
        v = self.views
        if what == "put":
            # state beside the operator's text is carried over into the next configuration
            following, newest = Conf.FromString(body), Conf.FromString(v.newest())
            following.seq = newest.seq
            if following.gen > newest.gen:
                conf_history.follow(following, newest)
            following.retiring.extend(newest.retiring)
            following.emptied.extend(newest.emptied)
            if newest.HasField("window"):
                following.window.CopyFrom(newest.window)
            if newest.HasField("home"):
                following.home.CopyFrom(newest.home)
            v.put(self.wait(answer), following.SerializeToString())
        elif what == "retire":
            # a refusal is final, so a controller that is no longer the primary must not give one
            v.read(
                self.wait(
                    lambda status, _: (
                        self.retirement.retire(body.decode(), answer) if status == OK else answer(status, b"")
                    )
                )
            )
        elif what == "home":
            self.change_policy(Home.FromString(body), answer)
        elif what.startswith("window/"):
            self.window.carry_out(what[7:], body, answer)
        elif what == "retired":
            v.read(
                self.wait(
                    lambda status, _: (
                        self.retirement.report(body.decode(), answer) if status == OK else answer(status, b"")
                    )
                )
            )
        else:

            def read(status: int, _: bytes) -> None:
                if status != 200:
                    answer(status, b"")
                elif self.last_conf:
                    current = Conf.FromString(self.last_conf)
                    said = current.said if what == "get" else current.home.said
                    answer(200 if said else 404, said)
                else:
                    answer(404, b"")

            v.read(self.wait(read))

    def change_policy(self, home: Home, answer: Callable[[int, bytes], None]) -> None:
        """At the primary: replaces the data-residency policy. The new one must be newer and sent by an
        authorized keeper, and each country must have enough stores for all replicas.
        """
        v, key, home.by = self.views, home.by, ""
        newest = Conf.FromString(v.newest())
        if not newest.gen:
            answer(503, b"")  # without a configuration there are no partners
            return
        if home.gen <= newest.home.gen:
            v.put(self.wait(answer), v.newest())
            return
        if newest.home.keepers and all(key != keeper.digest for keeper in newest.home.keepers):
            answer(403, b"only a keeper of the policy in force may change it")
            return
        if {one.name: one.region for one in home.zones} != self.settings.zones:
            answer(422, b"zones: the office that took it and the primary have them in other regions")
            return
        depots = [node for node in self.nodes("depot") if node.node not in newest.retiring]
        if why := too_few_stores(home, self.settings.zones, depots, self.settings.survive.boxes + 1):
            answer(422, why.encode())
            return
        newest.home.CopyFrom(home)
        newest.seq += 1
        self.event(214, gen=home.gen, partners=len(home.partners))
        v.put(self.wait(answer), newest.SerializeToString())

    def handle_forward(self, link: Link, message: Forward) -> None:
        def answer(status: int, body: bytes) -> None:
            link.send("forwarded", Forwarded(call=message.call, status=status, body=body))

        if self.views.state != "primary":
            answer(503, b"")
            return
        self.carry_out(message.what, message.body, answer)

    def window_moved(self, serial: int, phase: str, what: str, at: float) -> None:
        self.event(215, window=serial, phase=phase, what=what, at=at)

    @property
    def in_touch(self) -> bool:
        """Whether a majority of the voters, including itself, was heard from within CONTACT_TIMEOUT."""
        heard = {
            link.peer.ip
            for link in self.links_to("office")
            if self.now - link.last_received < CONTACT_TIMEOUT
        }
        return Views.is_majority(self.views.view, {self.ip} | heard)

    def called(self, call: Call) -> None:
        """Handles an HTTP call; raises Malformed with the status and text of the answer."""
        self.api.called(call)

    # ---- stored copy of the directory

    def directory_to_store(self) -> bytes | None:
        """The directory to store; None if it has not changed."""
        if not self.directory_changed:
            return None
        self.directory_changed = False
        found = self.directory.whole()
        found.ClearField("conf")
        return found.SerializeToString()

    def load_directory(self, stored: bytes) -> None:
        """Loads the stored directory, so that workers get work before their next heartbeat, and stores have
        the list of nodes to wait for.
        """
        self.registry.apply(News.FromString(stored))

    # ---- time

    def tick(self) -> None:
        self.views.tick(self.now)
        if self.views.reaches_majority:  # otherwise this controller may be the one that is cut off
            self.spread(self.registry.tick(self.now), True, offices=False)
            if self.views.active:
                self.spread(self.registry.missing(self.now, {*self.links, self.node}), True)
                self.retirement.record_emptied()
                self.retirement.remove_retired()
        self.window.tick()
        self.notices.tick(self.now)
        # a put may be in force without an answer, so the outcome is unknown
        for call in [call for call, (until, _) in self.waiting.items() if until <= self.now]:
            self.reply(call, 504, b"")

    # ---- shutdown

    def leave(self) -> None:
        """Starts a shutdown: leadership and membership are handed over first, if another can take them."""
        self.shutdown_at = self.now
        self.views.leave()
        for link in self.links_to("office"):
            link.send("pulse", self.heartbeat(link))

    @property
    def gone(self) -> bool:
        """Whether the shutdown may end: the handover is complete, or its time is over."""
        age = self.now - self.shutdown_at
        return (
            bool(self.shutdown_at)
            and age >= MIN_SHUTDOWN
            and (not self.views.needed or age >= HANDOVER_SHARE * self.settings.bounds.grace)
        )

    def figures(self) -> dict[str, Any]:
        v = self.views
        return {
            "epoch": v.view.epoch,
            "state": v.state,
            "gen": v.known_gen,
            "voters": len(v.voters),
            "workers": sum(not (w.gone or w.silent) for w in self.directory.workers.values()),
            "nodes": len(self.directory.nodes),
            "duties": len(self.leases.holders(self.now)),
        }
