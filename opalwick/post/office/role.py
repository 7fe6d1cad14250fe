"""An office as a role: calls of workers and operators, the views, the directory, the duties. No I/O.

The shell takes `batch()` to the disk and reports it with `synced()`.
"""

from __future__ import annotations

import json
import math
from collections.abc import Callable
from typing import Any
from urllib.parse import unquote_to_bytes

from returns.result import Success

from opalwick.post.beats import BAD_ID, is_worker_id
from opalwick.post.beats import parse_heartbeat as read_beat
from opalwick.post.configuration import Configuration, check
from opalwick.post.directory import is_empty
from opalwick.post.home.policy import in_force
from opalwick.post.home.reading import check as check_home
from opalwick.post.home.reading import digest, unkept
from opalwick.post.names import process_id
from opalwick.post.office import numbers
from opalwick.post.office.duties import Duties
from opalwick.post.office.notices import Notices, first_call
from opalwick.post.office.registry import Registry
from opalwick.post.office.views import CONFLICT, OK, SUPERSEDED, UNABLE, Save, Stored, Views
from opalwick.post.office.window import Window
from opalwick.post.settings import Settings
from opalwick.post.station import Link, RoleBase
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
    Route,
    Service,
    Worker,
)
from opalwick.protocol.conversation import Call
from opalwick.protocol.http import Malformed, Message

WAIT = 0.85  # s for the primary's answer: callers wait a second
CALLS = 256  # that wait for the primary at once; over it 503
CONTACT = 1.0  # s since an office was heard that it counts as in touch: four pulses
HANDOVER = 0.25  # share of the time to end in which what rests on this office goes elsewhere
LEAVE = 0.3  # s from the order to end: what was asked is answered


def packed(found: Configuration, said: bytes) -> bytes:
    """As offices keep it and counters read it."""
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
        digest=numbers.digest(said),
    ).SerializeToString()


def racked(body: bytes) -> bytes:
    """The name of the rack that is said to be back; Malformed names the field."""
    try:
        given = json.loads(body)
    except (ValueError, RecursionError):
        raise Malformed(400, "the body is not JSON") from None
    if not isinstance(given, dict) or not isinstance(given.get("rack"), str):
        raise Malformed(400, "rack must be text")
    return str(given["rack"]).encode()


def no_machine(name: str) -> bytes:
    return json.dumps({"err": f"no machine {name!r} keeps messages"}).encode()


class Office(RoleBase):
    role = "office"

    def __init__(self, settings: Settings, life: int, now: float, stored: Stored | None) -> None:
        """`stored`: what the disk has."""
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
        self.duties = Duties(now, stored is None and settings.bootstrap)
        self.saves: list[Save] = []
        self.waiting: dict[int, tuple[float, Callable[[int, bytes], None]]] = {}
        self.calls = first_call(life)
        self.notices = Notices(self.views, life)
        self.left_at = 0.0  # when it was told to end
        self.last_conf = b""
        self.empty: dict[str, bool] = {}  # depots that say that nothing is left there
        self.votes = self.ip in self.views.voters
        self.changed = False  # the directory, since it was remembered
        self.told_held: dict[Link, dict[str, str]] = {}
        self.window = Window(self)
        for ip in self.views.voters:
            self.maintain_link(ip)
        self.event(202, epoch=self.views.view.epoch, blank=self.views.blank, known=stored is not None)

    def clock(self, now: float) -> None:
        self.now = self.views.now = self.registry.now = now

    # ---- links

    def heartbeat_content(self, link: Link) -> Pulse:
        return Pulse(settled=self.views.settled, gen=max(0, self.views.known_gen), leaving=self.views.leaving)

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
        self.told_held.pop(link, None)
        if link.peer.role == "office" and self.office(link.peer.ip) is None:
            self.views.linked.discard(link.peer.ip)
            self.views.leavers.discard(link.peer.ip)

    def handle(self, link: Link, kind: str, word: Any) -> None:
        v = self.views
        if link.peer.role == "office":
            sender = link.peer.ip
            match kind:
                case "pulse":
                    (v.unsettled.discard if word.settled else v.unsettled.add)(sender)
                    (v.leavers.add if word.leaving else v.leavers.discard)(sender)
                case "spread":
                    self.take_news(link, word.news)
                    link.send("known", Known(call=word.call, view=v.view))
                case "known":
                    self.notices.known(sender, word)
                case "resign":
                    v.resigned(sender, word)
                case "beat":
                    v.beats(sender, word)
                case "beaten":
                    v.beaten(sender, word)
                case "installed":
                    v.installs(sender, word)
                case "canvass" | "vote" | "install" | "write" | "written":
                    getattr(v, kind)(sender, word)
                case "forward":
                    self.forwarded(link, word)
                case "forwarded":
                    self.reply(word.call, word.status, word.body)
                case "news":
                    self.take_news(link, word)
        elif kind == "pulse":
            if link.peer.role == "depot":
                self.empty[link.peer.node] = word.empty
            self.window.pulse(link.peer.node, link.peer.role, word)
        elif kind == "lease":
            who = process_id(link.peer.node, link.peer.life)
            granted = self.duties.lease(self.now, who, list(word.duties), word.span) if self.votes else []
            if word.call:
                held = self.duties.holders(self.now)
                same = self.told_held.get(link) == held
                self.told_held[link] = held
                link.send(
                    "leased",
                    Leased(
                        call=word.call,
                        granted=granted,
                        held={} if same else held,
                        same=same,
                        voters=len(self.views.voters) if self.votes else 0,
                    ),
                )

    def take_news(self, link: Link, news: News) -> None:
        """Of another office; what is new of it goes on to all but offices before anything else is said."""
        fresh, changed = self.registry.take(news)
        if changed:
            self.spread(fresh, True, link.peer.node, offices=False)
        for node in fresh.nodes:
            if node.role == "office":
                self.maintain_link(node.ip)

    def spread(self, news: News, changed: bool, but: str = "", offices: bool = True) -> None:
        """To the other offices; to counters and depots only what changes something for them."""
        if is_empty(news):
            return
        self.changed = self.changed or changed
        for link in [
            *(self.links_to("office") if offices else []),
            *(self.links_to("counter") + self.links_to("depot") if changed else []),
        ]:
            if link.peer.node != but:
                link.send("news", news)

    def office(self, ip: str) -> Link | None:
        return next((link for link in self.links_to("office") if link.peer.ip == ip), None)

    # ---- what the views decide

    def settle(self) -> None:
        v = self.views
        while True:
            saves, sends, answers, committed = v.effects()
            if not (saves or sends or answers or committed):
                break
            self.saves += saves
            for to, kind, word in sends:
                self.pass_on(to, kind, word)
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
                self.duties.joins(self.now)

    def pass_on(self, to: str, kind: str, word: Any) -> None:
        if to == self.ip:
            v = self.views
            own: dict[str, Callable[[str, Any], None]] = {
                "vote": v.vote,
                "installed": v.installs,
                "written": v.written,
                "install": v.install,
                "write": v.write,
            }
            own[kind](to, word)
        elif (link := self.office(to)) is not None:
            link.send(kind, word)

    def batch(self) -> list[Save]:
        """What waits for the disk: the last record of it holds all before it."""
        waits, self.saves = self.saves, []
        return waits

    def synced(self, saves: list[Save]) -> None:
        """They are on the disk."""
        for save in saves:
            for to, kind, word in save.then:
                self.pass_on(to, kind, word)

    def publish(self, conf: bytes) -> None:
        """It is in force: all hear of it."""
        self.last_conf = conf
        told = Conf.FromString(conf)
        self.window.published(told)
        told.said = told.digest = b""
        del told.past[:]
        if told.HasField("home"):
            told.home.ClearField("said")
            told.home.ClearField("keepers")
        if told.HasField("window"):
            told.window.ClearField("state")
        news = News(conf=told)
        self.directory.merge(news)
        self.spread(news, True)
        for link in self.links_to(
            "counter"
        ):  # those that wait for it to be confirmed need not wait for the next
            link.send("pulse", self.heartbeat(link))

    # ---- calls

    def reply(self, call: int, status: int, body: bytes) -> None:
        if (wait := self.waiting.pop(call, None)) is not None:
            wait[1](status, body)

    def wait(self, answer: Callable[[int, bytes], None]) -> int:
        self.calls += 1
        self.waiting[self.calls] = self.now + WAIT, answer
        return self.calls

    def at_primary(self, what: str, body: bytes, answer: Callable[[int, bytes], None]) -> None:
        """Carries out an operator's call, here or at the primary; the answer comes within WAIT."""
        v = self.views
        if len(self.waiting) >= CALLS:
            answer(503, b"")
            return
        if v.state == "primary":
            self.carry_out(what, body, answer)
        elif v.primary and (link := self.office(v.primary)) is not None:
            link.send("forward", Forward(call=self.wait(answer), what=what, body=body))
        else:
            answer(503, b"")

    def carry_out(self, what: str, body: bytes, answer: Callable[[int, bytes], None]) -> None:
        v = self.views
        if what == "put":
            # what stands beside the operator's configuration goes on into the next
            told, newest = Conf.FromString(body), Conf.FromString(v.newest())
            told.seq = newest.seq
            if told.gen > newest.gen:
                numbers.follow(told, newest)
            told.retiring.extend(newest.retiring)
            told.emptied.extend(newest.emptied)
            if newest.HasField("window"):
                told.window.CopyFrom(newest.window)
            if newest.HasField("home"):
                told.home.CopyFrom(newest.home)
            v.put(self.wait(answer), told.SerializeToString())
        elif what == "retire":
            # what is refused here is refused for good: an office that was replaced must not do so
            v.read(
                self.wait(
                    lambda status, _: (
                        self.retire(body.decode(), answer) if status == OK else answer(status, b"")
                    )
                )
            )
        elif what == "home":
            self.put_home(Home.FromString(body), answer)
        elif what.startswith("window/"):
            self.window.carry_out(what[7:], body, answer)
        elif what == "retired":
            v.read(
                self.wait(
                    lambda status, _: (
                        self.retired(body.decode(), answer) if status == OK else answer(status, b"")
                    )
                )
            )
        else:

            def read(status: int, _: bytes) -> None:
                if status != 200:
                    answer(status, b"")
                elif self.last_conf:
                    there = Conf.FromString(self.last_conf)
                    said = there.said if what == "get" else there.home.said
                    answer(200 if said else 404, said)
                else:
                    answer(404, b"")

            v.read(self.wait(read))

    def put_home(self, home: Home, answer: Callable[[int, bytes], None]) -> None:
        """At the primary: another policy, if it is newer, its keeper's and each home can keep all copies."""
        v, key, home.by = self.views, home.by, ""
        newest = Conf.FromString(v.newest())
        if not newest.gen:
            answer(503, b"")  # before any configuration nobody is a partner
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
        if why := unkept(home, self.settings.zones, depots, self.settings.survive.boxes + 1):
            answer(422, why.encode())
            return
        newest.home.CopyFrom(home)
        newest.seq += 1
        self.event(214, gen=home.gen, partners=len(home.partners))
        v.put(self.wait(answer), newest.SerializeToString())

    def retire(self, name: str, answer: Callable[[int, bytes], None]) -> None:
        """Orders that a depot be emptied: counters pass it over, its copies go elsewhere (`moving.py`)."""
        v, copies = self.views, self.settings.survive.boxes + 1
        newest = Conf.FromString(v.newest())
        if not self.keeps_messages(name):
            answer(404, no_machine(name))
            return
        if not newest.gen:
            answer(503, b"")  # before any configuration there is nothing to keep
            return
        if name in newest.retiring:
            v.put(self.wait(answer), v.newest())
            return
        left = {node.node for node in self.nodes("depot")} - {name, *newest.retiring}
        # enough for all copies with as many lost as may be: with fewer nothing more could be taken then
        enough = copies + self.settings.survive.boxes
        if len(left) < enough or self.at_home(name, newest, left) < enough:
            answer(409, b"")
            return
        there = [link.peer.node for link in self.links_to("depot") if self.now - link.last_received < 1.0]
        here = left.intersection(there)
        if len(here) < enough or self.at_home(name, newest, here) < enough:
            answer(503, b"")  # one is away: the order may come again
            return
        newest.retiring.append(name)
        newest.seq += 1
        self.event(212, depot=name, left=len(left))
        v.put(self.wait(answer), newest.SerializeToString())

    def keeps_messages(self, name: str) -> bool:
        node = self.directory.nodes.get(name)
        if node is not None and node.role == "depot":
            return True
        return name in Conf.FromString(self.views.newest()).retiring

    def retired(self, name: str, answer: Callable[[int, bytes], None]) -> None:
        """Complete is what all members have on their disks, and nothing less: it is never taken back."""
        if not self.keeps_messages(name):
            answer(404, no_machine(name))
            return
        done = name in Conf.FromString(self.views.in_force).emptied
        answer(OK, b'{"state":"complete"}' if done else b'{"state":"active"}')

    def note_emptied(self) -> None:
        """At the primary: a depot that takes nothing any more says that nothing is left there."""
        v = self.views
        there = Conf.FromString(v.in_force)
        fresh = [name for name in there.retiring if self.empty.get(name, False) and name not in there.emptied]
        if fresh and not v.queue:
            there.emptied.extend(fresh)
            there.seq += 1
            self.event(216, depots=",".join(fresh))
            v.put(self.wait(lambda status, body: None), there.SerializeToString())

    def at_home(self, name: str, conf: Conf, left: set[str]) -> float:
        """Depots that would be left in that one's country, where a partner is at home there."""
        policy = in_force(conf, self.settings)
        home = policy.country(self.directory.nodes[name].zone) if policy is not None else ""
        if policy is None or all(partner.home != home for partner in conf.home.partners):
            return math.inf
        return sum(policy.country(self.directory.nodes[node].zone) == home for node in left)

    def forget_retired(self) -> None:
        """At the primary: those that were taken away need not be passed over for ever."""
        there = Conf.FromString(self.views.in_force)
        nodes = self.directory.nodes
        own = self.window.own()
        kept = [name for name in there.retiring if name not in nodes or not nodes[name].gone or name in own]
        if len(kept) < len(there.retiring) and not self.views.queue:
            del there.retiring[:]
            there.retiring.extend(kept)
            emptied = [name for name in there.emptied if name in kept]
            del there.emptied[:]
            there.emptied.extend(emptied)
            there.seq += 1
            self.views.put(self.wait(lambda status, body: None), there.SerializeToString())

    def forwarded(self, link: Link, word: Forward) -> None:
        def answer(status: int, body: bytes) -> None:
            link.send("forwarded", Forwarded(call=word.call, status=status, body=body))

        if self.views.state != "primary":
            answer(503, b"")
            return
        self.carry_out(word.what, word.body, answer)

    def called(self, call: Call) -> None:
        """One call over HTTP; Malformed is its answer."""
        message = call.message
        path = message.target.split(b"?", 1)[0]
        _, first, *rest = path.split(b"/")
        try:
            name = unquote_to_bytes(rest[0]).decode("ascii") if len(rest) == 1 else ""
        except UnicodeDecodeError:
            raise Malformed(400, "the name in the path is not ASCII") from None
        match first, message.method, bool(name):
            case b"workers", b"PUT", True:
                self.beaten(call, name, message.body)
            case b"workers", b"DELETE", True:
                if not is_worker_id(name):
                    raise Malformed(400, BAD_ID)
                news, changed = self.registry.left(self.now, name)
                self.confirm(call, name, news, changed)
            case b"conf", b"PUT", False:
                match check(message.body):
                    case Success(found):
                        self.at_primary(
                            "put",
                            packed(found, message.body),
                            lambda s, b: self.told_conf(call, found.gen, s),
                        )
                    case failure:
                        raise Malformed(400, failure.failure())
            case b"conf", b"GET", False:
                self.at_primary("get", b"", lambda s, b: self.told(call, s, b))
            case b"home", b"PUT", False:
                self.homed(call, message)
            case b"home", b"GET", False:
                self.at_primary("policy", b"", lambda s, b: self.told_home(call, s, b))
            case b"retire", b"POST" | b"GET", True:
                what = "retire" if message.method == b"POST" else "retired"
                self.at_primary(what, name.encode(), lambda s, b: self.told(call, s, b))
            case b"maintenance", b"PUT" | b"GET", False if not rest:
                what = "window/start" if message.method == b"PUT" else "window/get"
                self.at_primary(what, message.body, lambda s, b: self.told_window(call, s, b))
            case b"maintenance", b"POST", True if name in ("pause", "resume", "abort", "back"):
                self.at_primary(
                    "window/" + name,
                    racked(message.body) if name == "back" else b"",
                    lambda s, b: self.told_window(call, s, b),
                )
            case ((b"workers" | b"retire"), _, False):
                raise Malformed(404, "the path names nobody")
            case ((b"workers" | b"conf" | b"home" | b"retire" | b"maintenance"), _, _):
                raise Malformed(405, "no such method here")
            case _:
                raise Malformed(404, "no such call")

    def ok(self, call: Call, body: bytes = b"{}") -> None:
        call.answer(200, body, "Content-Type: application/json")

    def told(self, call: Call, status: int, body: bytes) -> None:
        if status == 200:
            self.ok(call, body or b"{}")
        elif status == 404:
            body = body or b'{"err":"there is no configuration yet"}'
            call.answer(404, body, "Content-Type: application/json")
        elif status == 409:
            call.answer(409, b'{"err":"too few machines would be left"}', "Content-Type: application/json")
        elif status == UNABLE:
            self.unable(call, "no primary can answer now")
        else:
            call.answer(status, b'{"err":"it may be in force: ask again"}', "Content-Type: application/json")

    def told_conf(self, call: Call, number: int, status: int) -> None:
        if status == CONFLICT:
            why = f"gen {number} stands for another configuration: take a higher number"
            call.answer(CONFLICT, json.dumps({"err": why}).encode(), "Content-Type: application/json")
        elif status == SUPERSEDED:  # the highest number prevails: it alters nothing
            self.ok(call, json.dumps({"gen": number, "superseded": True}).encode())
        else:
            self.told(call, status, b"")

    def unable(self, call: Call, why: str) -> None:
        """Nothing was promised: the caller goes on to another office."""
        call.answer(
            UNABLE, json.dumps({"err": why}).encode(), "Content-Type: application/json", "Retry-After: 1"
        )

    def window_moved(self, serial: int, phase: str, what: str, at: float) -> None:
        self.event(215, window=serial, phase=phase, what=what, at=at)

    def told_window(self, call: Call, status: int, body: bytes) -> None:
        if status == 200 or not body:
            self.told(call, status, body)
        else:
            call.answer(
                status, body, "Content-Type: application/json", *(["Retry-After: 1"] if status == 503 else [])
            )

    def homed(self, call: Call, message: Message) -> None:
        """Another policy of where partners' work may be."""
        match check_home(message.body, self.settings.zones):
            case Success(home):
                scheme, _, key = message.headers.get(b"authorization", b"").partition(b" ")
                if scheme.lower() == b"bearer":
                    home.by = digest(key.strip().decode("latin-1"))
                self.at_primary("home", home.SerializeToString(), lambda s, b: self.told_home(call, s, b))
            case failure:
                raise Malformed(400, failure.failure())

    def told_home(self, call: Call, status: int, body: bytes) -> None:
        if status in (403, 404, 422):
            why = body.decode() or "there is no policy"
            call.answer(status, json.dumps({"err": why}).encode(), "Content-Type: application/json")
        else:
            self.told(call, status, body)

    def beaten(self, call: Call, name: str, body: bytes) -> None:
        match read_beat(name, body):
            case Success(beat):
                news, changed = self.registry.beat(self.now, beat)
                if changed:
                    self.event(211, worker=beat.id, svc=beat.svc, draining=beat.draining)
                # cut off from the others, which may have told counters that the worker is silent
                changed = changed or not self.views.reaches
                if beat.draining:
                    self.confirm(call, name, news, changed)
                    return
                self.spread(news, changed)
                if self.in_contact:
                    self.ok(call)
                else:
                    self.unable(call, "this scheduler is not in touch with a majority")
            case failure:
                raise Malformed(400, failure.failure())

    @property
    def in_contact(self) -> bool:
        """Whether a majority of the voters, itself included, was heard of late."""
        heard = {link.peer.ip for link in self.links_to("office") if self.now - link.last_received < CONTACT}
        return Views.enough(self.views.view, {self.ip} | heard)

    def confirm(self, call: Call, worker: str, news: News, changed: bool) -> None:
        """That a worker drains or has left is a promise that nothing new comes: a majority must know first,
        and all that are in touch with it have been told by then.
        """
        self.spread(news, changed, offices=False)
        known = self.directory.workers.get(worker)
        told = News(workers=[known] if known is not None else [Worker(id=worker, gone=True)])

        def answer(confirmed: bool) -> None:
            if confirmed:
                self.ok(call)
            else:
                self.unable(call, "this scheduler cannot reach a majority")

        self.notices.tell(self.now, told, self.links_to("office"), answer)

    # ---- what it remembers of the directory

    def memory(self) -> bytes | None:
        """For the disk, if it has changed."""
        if not self.changed:
            return None
        self.changed = False
        found = self.directory.whole()
        found.ClearField("conf")
        return found.SerializeToString()

    def recall(self, told: bytes) -> None:
        """Who was there: workers are tried before their next beat, and depots know whom to wait for."""
        self.registry.take(News.FromString(told))

    # ---- time

    def tick(self) -> None:
        self.views.tick(self.now)
        if self.views.reaches:  # else it may be this office that hears nothing
            self.spread(self.registry.tick(self.now), True, offices=False)
            if self.views.active:
                self.spread(self.registry.missing(self.now, {*self.links, self.node}), True)
                self.note_emptied()
                self.forget_retired()
        self.window.tick()
        self.notices.tick(self.now)
        # a put may be in force though nobody heard of it: no clear answer
        for call in [call for call, (until, _) in self.waiting.items() if until <= self.now]:
            self.reply(call, 504, b"")

    # ---- its end

    def leave(self) -> None:
        """It is to end: what rests on it goes elsewhere first, where another can take it."""
        self.left_at = self.now
        self.views.leave()
        for link in self.links_to("office"):
            link.send("pulse", self.heartbeat(link))

    @property
    def gone(self) -> bool:
        """Nothing rests on it any more, or the time that it had for that is over."""
        age = self.now - self.left_at
        return (
            bool(self.left_at)
            and age >= LEAVE
            and (not self.views.needed or age >= HANDOVER * self.settings.bounds.grace)
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
            "duties": len(self.duties.holders(self.now)),
        }
