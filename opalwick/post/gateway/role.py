"""The gateway role (`counter` on the wire): its clients' calls, its links and its deliveries. No I/O.

It connects the state machines that make the decisions. The shell takes `commands` (start or stop a delivery),
reports the outcome of each delivery with `delivery_ended()`, and closes client connections once `closing`.
"""

from __future__ import annotations

import math
import os
from typing import Any

from opalwick.post.gateway.rate_limits import Ceilings
from opalwick.post.gateway.dispatchers import Load
from opalwick.post.gateway.http_api import RETRY_AFTER, answer_error
from opalwick.post.gateway.window_shares import WindowShares
from opalwick.post.gateway.item import Start, Stop
from opalwick.post.gateway.lookup import Lookups
from opalwick.post.names import RandomBytes
from opalwick.post.settings import Settings
from opalwick.post.base_role import Link
from opalwick.post.gateway.admission import Admission
from opalwick.post.gateway.store_contact import PENDING_LIFETIME
from opalwick.post.delivery_outcome import DeliveryOutcome
from opalwick.post.wire_pb2 import News, Pulse, Refuse
from opalwick.protocol.server_connection import Call

# s from SIGTERM until connections are closed: the platform checks readiness each second and needs two
# failures
CLOSE_DELAY = 2.3
# s after that until held messages return to their stores: requests just received are stored by then
PARK_DELAY = 0.2
SWEEP_INTERVAL = 1.0  # s between removals of expired state
# s that a process which ends waits for a store without a link that lacks final outcomes
UNLINKED_STORE_WAIT = 1.5


class Gateway(Admission):
    """Accepts messages from clients, has them stored and delivers them. Times are in seconds of its clock."""

    role = "counter"

    def __init__(
        self,
        settings: Settings,
        life: int,
        now: float,
        accepts: int,
        random_octets: RandomBytes = os.urandom,
    ) -> None:
        """`life`: number of the process incarnation. `accepts`: limit of messages that are being stored at
        once. `random_octets`: source of random bytes for names of messages.
        """
        super().__init__(settings, life, now, accepts, random_octets)
        self.ceilings = Ceilings(self.node, life)
        self.window_shares = WindowShares(self.rounds)
        self.lookups = Lookups(self)
        self.commands: list[Start | Stop] = []
        self.confirmed = self.leaving = self.closing = False
        self.leaving_since = 0.0  # when shutdown was requested
        self.parked_at = math.inf  # when held messages were first returned to their stores
        self.sweep_at = now

    def clock(self, now: float) -> None:
        self.now = now
        self.intake.clock(now)
        self.rounds.clock(now)
        self.ceilings.now = now

    # ---- readiness

    def ready(self) -> bool:
        """Whether it accepts messages: the configuration is confirmed, and enough stores are available."""
        return self.confirmed and not self.leaving and len(self.intake.eligible()) >= self.replica_count

    def heartbeat_content(self, link: Link) -> Pulse:
        pulse = Pulse(
            ready=self.ready(),
            leaving=self.leaving,
            gen=self.rounds.routes.gen if self.rounds.routes is not None else 0,
        )
        conf = self.directory.conf
        if conf is not None and conf.window.watched and link.peer.role == "office":
            pulse.seq, pulse.resting = conf.seq, self.rounds.in_flight_at_resting()
            pulse.due.update(self.rounds.due_now())
        return pulse

    # ---- links

    def on_link_up(self, link: Link) -> None:
        if link.peer.role == "depot":
            node = link.peer.node
            self.intake.depot_up(node, link.peer.zone)
            self.rounds.depot_up(node)
            self.lists_due[node] = None
            for sent_at, kind, content in self.pending.pop(node, ()):
                if self.now - sent_at < PENDING_LIFETIME:
                    link.send(kind, content)

    def on_link_down(self, link: Link) -> None:
        if link.peer.node not in self.links:
            if link.peer.role == "depot":
                self.intake.depot_down(link.peer.node)
            elif link.peer.role == "office":
                self.ceilings.office_down(link.peer.node)

    def handle(self, link: Link, kind: str, content: Any) -> None:
        node = link.peer.node
        match kind:
            case "pulse" if link.peer.role == "depot":
                self.intake.depot_pulse(node, content.leaving, content.behind)
                self.echoed(node, content.echo)
            case "pulse" if link.peer.role == "office":
                if content.settled and not self.confirmed and self.rounds.routes is not None:
                    self.confirmed = self.rounds.routes.gen >= content.gen > 0
                    if self.confirmed:
                        self.event(101, gen=content.gen)
            case "kept":
                self.intake.kept(node, content.mid, content.refused)
            case "ended":
                self.trace(154, message=content.mid, by=node)
                self.rounds.has_end(node, content.mid)
            case "end":
                self.trace(155, message=content.mid, by=node, seal=content.seal)
                self.rounds.ended_elsewhere(content)
            case "assign" if (
                content.letter.home and self.guard.home(content.letter) != self.guard.own_country
            ):
                link.send("refuse", Refuse(mid=content.letter.mid, claim=content.letter.claim))
            case "assign":
                self.trace(153, message=content.letter.mid, by=node, claim=content.letter.claim)
                self.rounds.assigned(node, content.letter)
            case "checked":
                if content.gone:
                    self.trace(156, messages=" ".join(content.gone), by=node)
                self.intake.taken_away(content.gone)
                self.rounds.taken_away(node, list(content.gone))
                self.rounds.agreement.agreed(node, content.agreed)
                if node not in self.lists_due and content.number == self.rounds.list_numbers.get(node):
                    # a confirmation that arrived with delay proves nothing; it is requested again after the
                    # next timely echo
                    (self.confirmed_owners if self.fresh(node) else self.outdated).add(node)
            case "holders":
                self.trace(157, message=content.mid, by=node, holders=",".join(content.holders))
                self.rounds.moved(content.mid, tuple(content.holders))
            case "told":
                self.lookups.handle_reply(content)
            case "leased":
                self.ceilings.leased(node, content)
            case "permit":
                link.send("permitted", self.ceilings.permit(node, content))
            case "permitted":
                self.ceilings.answered(content)
            case _:
                super().handle(link, kind, content)

    def apply_settings(self, settings: Settings) -> None:
        super().apply_settings(settings)
        self.govern()

    def govern(self) -> None:
        """Applies a change of the data residency policy, the nodes or the settings."""
        before, guard = self.guard.policy, self.guard
        guard.refresh(self.settings)
        if guard.policy is not before:
            self.intake.policy = guard.policy
            self.rounds.governed(guard.policy, guard.own_country)

    def on_update(self, news: News) -> None:
        self.select_stores()
        if news.HasField("conf"):
            self.intake.retiring = set(news.conf.retiring)
            self.rounds.configured(self.directory.conf)  # type: ignore[arg-type]
            self.rounds.rest(list(news.conf.window.resting))
            self.window_shares.configured(self.now, news.conf.window.shares)
            self.event(102, gen=news.conf.gen)
        self.govern()
        gateways_present = self.nodes("counter")
        gateways = sorted(node.node for node in gateways_present)
        policy, here = self.guard.policy, self.guard.own_country
        self.rounds.counters(
            len(gateways),
            sum(policy.country(node.zone) == here for node in gateways_present) if policy is not None else 0,
        )
        self.rounds.listed(self.directory.workers, {worker.svc for worker in news.workers})
        conf = self.directory.conf
        if conf is not None:
            self.ceilings.configured(
                {s.name: s.rate for s in conf.services if s.rate > 0}, gateways, len(self.nodes("office"))
            )

    # ---- clients

    def asked_back(self, call: Call, name: str, body: bool) -> None:
        """A client requests a message's state, or with `body` its bytes."""
        self.lookups.begin(call, name, body)

    # ---- effects

    def settle(self) -> None:
        """Carries out the effects of the state machines until none are left."""
        while True:
            outbox, answers, accepted = self.intake.effects()
            barred: list[tuple[str, str]] = []
            for node, kind, content in outbox:
                if kind == "keep" and not self.may_write(node, content):
                    barred.append((node, content.letter.mid))
                else:
                    self.send(node, kind, content)
            for node, mid in barred:  # it was not sent: another store is used
                self.intake.kept(node, mid, refused=True)
            for call, status, name, request_id in answers:
                if status == 202:
                    self.trace(160, name=name, request=request_id)
                    call.answer(202, b"", f"X-Msg-Id: {name}")
                elif status == 503:
                    answer_error(
                        call,
                        503,
                        "too few stores are available, or too many messages are being stored",
                        RETRY_AFTER,
                    )
                else:
                    answer_error(call, 504, "stores did not answer in time: the message may have been stored")
            for message, replicas in accepted:
                self.rounds.accepted(message, replicas)
            self.rounds.tick()
            self.request_permits()
            outbox, commands = self.rounds.effects()
            for node, kind, content in outbox:
                self.call_on(node, kind, content)
            for command in commands:
                if isinstance(command, Start):
                    self.started(command)
            self.commands += commands
            messages, permitted = self.ceilings.effects()
            for node, kind, content in messages:
                self.send_permit(node, kind, content)
            for svc, count in permitted:
                self.rounds.permitted(svc, count)
            if not (accepted or permitted or barred):
                break
        self.send_delivery_lists()

    def started(self, command: Start) -> None:
        """A delivery is about to be sent."""
        item = command.item
        if command.away:
            self.counts["away"] += 1
            self.counts["away_octets"] += len(item.message.body)
        self.trace(
            151,
            message=item.mid,
            request=item.message.rid,
            claim=item.claim,
            attempt=item.attempt,
            delivery=command.number,
            worker=command.place[2] or command.place[0],
        )

    def delivery_ended(
        self, command: Start, outcome: DeliveryOutcome, token: str, load: Load | None, stale_connection: bool
    ) -> None:
        """Processes the outcome of a delivery. `token`: the completion token. `stale_connection`: a reused
        connection broke without a response.
        """
        item = command.item
        self.trace(
            152,
            message=item.mid,
            attempt=item.attempt,
            delivery=command.number,
            verdict=outcome.name,
            seal=token,
            over=item.closed,
            foreign=item.reassigned,
            holders=",".join(item.replicas),
        )
        if item.message.home and outcome.ran and not item.closed:
            self.short.ended(self.rounds.partner_of(item), self.now)
            item.ran_in = item.delivery_countries.get(command.number, "")
        self.rounds.result(item, command.key, command.number, outcome, token, load, stale_connection)

    def may_start(self, command: Start) -> bool:
        """Whether a delivery may be sent now: the last check before it is."""
        item = command.item
        if (
            item.closed
            or item.reassigned
            or self.now >= min(item.expires_at, item.permit_expires_at)
            or not self.may_send(item)
        ):
            return False
        if item.mid in self.rounds.remembered_ends:  # an invariant: such a message is not in `items`
            self.rounds.figures["begun_after_end"] += 1
            self.event(158, message=item.mid, claim=item.claim, attempt=item.attempt)
            return False
        if item.message.home:  # recorded now, as the worker may be gone when the delivery ends
            item.delivery_countries[command.number] = self.guard.worker(command.place)
        return self.guard.permits_delivery(item.message, command.place)

    def request_permits(self) -> None:
        """Requests permits for the messages that wait for them, as far as workers have free slots."""
        for svc in list(self.rounds.awaiting_permits):
            dispatchers = [
                dispatcher
                for dispatcher in self.rounds.dispatchers_of(svc)
                if dispatcher.service.rate > 0 and len(dispatcher.permit_queue)
            ]
            self.ceilings.want(
                svc,
                sum(
                    min(len(dispatcher.permit_queue), dispatcher.free_slots(self.now))
                    for dispatcher in dispatchers
                ),
            )
            if not dispatchers:
                del self.rounds.awaiting_permits[svc]

    def send_permit(self, node: str, kind: str, content: Any) -> None:
        if node == "offices":
            for link in self.links_to("office"):
                link.send(kind, content)
        elif not self.send(node, kind, content) and (target := self.directory.nodes.get(node)) is not None:
            self.maintain_link(target.ip)

    # ---- time

    def next_at(self) -> float:
        return min(self.rounds.next_at(), self.intake.next_at(), self.ceilings.next_at())

    def tick(self) -> None:
        self.intake.tick()
        self.ceilings.tick(self.now)
        self.lookups.tick()
        if self.now >= self.sweep_at:
            self.sweep_at = self.now + SWEEP_INTERVAL
            self.rounds.forget()
            self.ceilings.forget()
            self.close_unused_links()
            self.held_bytes = sum(len(item.message.body) + 2000 for item in self.rounds.items.values())
        if self.leaving_since:
            self.advance_shutdown()
        self.window_shares.tick(self.now)

    # ---- shutdown

    def leave(self) -> None:
        """Starts the shutdown. Each accepted message is finished or returns to its stores."""
        self.event(103, held=self.rounds.held())
        self.leaving_since, self.leaving = self.now, True
        self.ceilings.leave()

    def advance_shutdown(self) -> None:
        """Advances the shutdown: closes connections, then returns messages to their stores."""
        after = min(CLOSE_DELAY, 0.4 * self.settings.bounds.grace)
        self.closing = self.now - self.leaving_since >= after
        if self.now - self.leaving_since >= after + PARK_DELAY:
            if not self.rounds.leaving:
                self.parked_at = self.now
            self.rounds.leaving = True
            self.rounds.park_all()

    @property
    def gone(self) -> bool:
        """Whether no message is held any more, and each reachable store has all final outcomes."""
        if not self.rounds.leaving:
            return False
        linked = {link.peer.node for link in self.links_to("depot")}
        if self.now - self.parked_at < UNLINKED_STORE_WAIT:  # other stores may be linked again by then
            linked |= {store.node for store in self.nodes("depot")}
        return (
            not self.rounds.items
            and not self.intake.pending
            and not any(unconfirmed.missing & linked for unconfirmed in self.rounds.unconfirmed_ends.values())
        )

    def figures(self) -> dict[str, Any]:
        dispatchers = [dispatcher.figures() for dispatcher in self.rounds.dispatchers.values()]
        return {
            **self.counts,
            **self.intake.figures,
            **self.rounds.figures,
            **self.ceilings.figures,
            "held": self.rounds.held(),
            "ending": len(self.rounds.unconfirmed_ends),
            "firsts": sum(dispatcher["firsts"] for dispatcher in dispatchers),
            "copies": sum(dispatcher["copies"] for dispatcher in dispatchers),
            "duties": len(self.ceilings.leases),
        }
