"""Mutants: faults planted in memory into the state machines. Each violates an invariant, and the search must
find a short trace to that. A mutant is registered with the initial state from which it is found soonest.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Any, NamedTuple

from opalwick.lab.verify.answers import ResponseModel
from opalwick.lab.verify.explorer import SearchResult, State, search_from
from opalwick.lab.verify.notices import NoticeModel, ReplacedVotersModel
from opalwick.lab.verify.parts import (
    OUTDATED,
    RECONNECTED,
    PARTITIONED,
    STORED,
    TICK,
    LEARNED,
    DRAIN_ORDERED,
    SUPERSEDED,
    SERVING,
    SETTLED,
    RESTARTED,
    TAKEN_OVER,
    TWO_WRITES,
    ECHOES_HELD,
    Fence,
    Lease,
    Notice,
    Takeover,
    fence,
    lease,
    takeover,
)
from opalwick.lab.verify.parts import (
    Answer as Asking,
)
from opalwick.post.gateway import answers, rate_limits, delivery
from opalwick.post.gateway import store_contact
from opalwick.post.gateway.rate_limits import Ceilings
from opalwick.post.gateway.delivery import Delivery
from opalwick.post.gateway.intake import Intake
from opalwick.post.gateway.role import Gateway
from opalwick.post.store import gateway_leases
from opalwick.post.store.message_store import MessageStore
from opalwick.post.store.rebalancing import Rebalancing
from opalwick.post.store.records import Send, Write
from opalwick.post.store.seal import Seal
from opalwick.post.store.surplus import SurplusReplicas
from opalwick.post.controller import conf_history
from opalwick.post.controller.leases import LeaseTable
from opalwick.post.controller.notices import Notices as Confirming
from opalwick.post.controller.role import Controller
from opalwick.post.controller.views import Answer, PendingChange, Views
from opalwick.post.wire_pb2 import Written
from opalwick.protocol import outgoing
from opalwick.transport.pool import Pool

Patch = Callable[[Any, str, Any], None]
MAX_STATES = 30000  # state limit within which a mutant must be found


class Mutant(NamedTuple):
    part: str
    plant: Callable[[Patch], None]
    root: Callable[[], State]
    rules: tuple[str, ...]


MUTANTS: dict[str, Mutant] = {}


def mutant(part: str, root: Callable[[], State], *rules: str) -> Callable[[Callable[[Patch], None]], None]:
    def register(plant: Callable[[Patch], None]) -> None:
        MUTANTS[plant.__name__] = Mutant(part, plant, root, rules)

    return register


INHERITED = object()  # in place of an attribute that a class has from its bases


@contextmanager
def planted_mutant(found: Mutant) -> Iterator[None]:
    undo: list[tuple[Any, str, Any]] = []

    def patch(where: Any, name: str, what: Any) -> None:
        undo.append((where, name, where.__dict__.get(name, INHERITED)))
        setattr(where, name, what)

    found.plant(patch)
    try:
        yield
    finally:
        for where, name, original in reversed(undo):
            if original is INHERITED:
                delattr(where, name)
            else:
                setattr(where, name, original)


def search_mutant(name: str, max_states: int = MAX_STATES) -> SearchResult:
    """Searches with the fault planted, also during the run to the initial state."""
    found = MUTANTS[name]
    with planted_mutant(found):
        return search_from(found.root, max_states)


# ---- takeover


@mutant("takeover", takeover(Takeover(puts=1, reorder=0), *SERVING), "lost")
def acknowledged_on_one_disk(patch: Patch) -> None:
    def alone(self: Views) -> None:
        first = self.queue[0]
        self.number += 1
        first.number, first.needs = self.number, {self.ip}
        self.send_write()

    patch(Views, "write_next", alone)


@mutant("takeover", takeover(Takeover(puts=1, reorder=0), *SUPERSEDED), "lost", "two texts", "stale answer")
def stale_writes_accepted(patch: Patch) -> None:
    def write(self: Views, sender: str, message: Any) -> None:
        self.conf = message.conf
        self.save((sender, "written", Written(epoch=message.epoch, number=message.number, ok=True)))

    patch(Views, "write", write)


@mutant("takeover", takeover(Takeover(reads=1, puts=1, reorder=0), *TAKEN_OVER), "stale answer")
def reads_answered_by_itself(patch: Patch) -> None:
    def read(self: Views, call: int, status: int = 200) -> None:
        self.answers.append(Answer(call, status))

    patch(Views, "read", read)


@mutant("takeover", takeover(Takeover(puts=2, reorder=0), *SERVING), "two texts", "lost")
def a_number_taken_again(patch: Patch) -> None:
    def put(self: Views, call: int, conf: bytes) -> None:
        self.queue.append(PendingChange(call, self.read_key(conf), conf, self.now + 0.8))
        if len(self.queue) == 1:
            self.write_next()

    patch(Views, "put", put)


@mutant("takeover", takeover(Takeover(long=1, wipe=1, reorder=0), *SERVING), "voted unlearned")
def a_lost_disk_forgotten(patch: Patch) -> None:
    init = Views.__init__

    def fresh(
        self: Views, me: str, copies: int, stored: Any, voters: list[str], blank: bool, now: float
    ) -> None:
        init(self, me, copies, stored, voters, False, now)

    patch(Views, "__init__", fresh)


@mutant("takeover", takeover(Takeover(long=2, reorder=0), *SERVING), "early word")
def votes_before_the_sync(patch: Patch) -> None:
    def save(self: Views, *then: Any) -> None:
        for to, kind, message in then:
            if kind == "vote" and to != self.ip:
                self.send(to, kind, message)
        SAVE(self, *[one for one in then if one[1] != "vote" or one[0] == self.ip])

    SAVE = Views.save
    patch(Views, "save", save)


@mutant("takeover", takeover(Takeover(long=2, reorder=1), *SERVING), "vote back")
def any_epoch_is_granted(patch: Patch) -> None:
    canvass = Views.canvass

    def grants(self: Views, sender: str, message: Any) -> None:
        self.promised, self.primary_seen_at = min(self.promised, int(message.epoch) - 1), -1e9
        canvass(self, sender, message)

    patch(Views, "canvass", grants)


@mutant("takeover", takeover(Takeover(long=2, reorder=0), *LEARNED, ("crashes", "o1")), "lost")
def a_learned_member_passes_for_whole(patch: Patch) -> None:
    learn = Views.learn

    def learns(self: Views, sender: str, message: Any) -> None:
        learn(self, sender, message)
        self.member = self.member or (not self.lost_state and self.ip in self.view.members)

    patch(Views, "learn", learns)


@mutant("takeover", takeover(Takeover(long=2, reorder=0), *OUTDATED), "lost", "two texts", "stale answer")
def the_oldest_view_is_taken_up(patch: Patch) -> None:
    offer = Views.offer

    def oldest(self: Views) -> None:
        old = min(vote.view.epoch for vote in self.votes.values())
        votes, self.votes = self.votes, {s: v for s, v in self.votes.items() if v.view.epoch == old}
        offer(self)
        self.votes = votes

    patch(Views, "offer", oldest)


@mutant("takeover", takeover(Takeover(reorder=0), *TAKEN_OVER), "lost")
def a_backup_installed_without_the_configuration(patch: Patch) -> None:
    offer_to = Views.offer_to

    def bare(self: Views, voter: str) -> None:
        known = self.offered
        if known is not None and voter != self.ip:
            self.offered = known[0], b""
        offer_to(self, voter)
        self.offered = known if self.offered is not None else None

    patch(Views, "offer_to", bare)


@mutant("takeover", takeover(Takeover(puts=1, again=1, reorder=0), *SERVING), "two confirmed")
def another_content_is_confirmed(patch: Patch) -> None:
    patch(conf_history, "match", lambda newest, given: conf_history.Match.SAME)


@mutant("takeover", takeover(Takeover(puts=1, again=1, reorder=0), *SERVING), "refused again")
def a_repeated_order_is_refused(patch: Patch) -> None:
    patch(conf_history, "match", lambda newest, given: conf_history.Match.OTHER)


@mutant("takeover", takeover(Takeover(puts=1, again=1, reorder=0), *TWO_WRITES), "forgotten")
def earlier_numbers_are_forgotten(patch: Patch) -> None:
    patch(conf_history, "follow", lambda conf, newest: None)


@mutant("takeover", takeover(Takeover(puts=2, short=1, slow=1, reorder=0), *SERVING), "lost")
def an_older_word_is_written_over_a_newer(patch: Patch) -> None:
    read_key, write = Views.read_key, Views.write

    def writes(self: Views, sender: str, message: Any) -> None:
        self.read_key = lambda conf: read_key(conf) if conf != self.conf else (-1, 0)  # type: ignore[method-assign]
        write(self, sender, message)
        del self.read_key  # type: ignore[misc]

    patch(Views, "write", writes)


@mutant("takeover", takeover(Takeover(puts=1, ends=1, reorder=0), *SERVING), "lost")
def ends_with_what_rests_on_it(patch: Patch) -> None:
    patch(Views, "needed", False)


@mutant("takeover", takeover(Takeover(short=3, ends=1, reorder=0), *SERVING), "lost")
def a_witness_is_not_asked_for_a_place(patch: Patch) -> None:
    """It resigns and takes the handover for complete: its copy is the only one beside its successor's."""

    def needed(self: Views) -> bool:
        return self.state != "follower"

    patch(Views, "needed", property(needed))


# ---- fence


def early(kind: str) -> Callable[[Patch], None]:
    """Sends messages of that kind before the sync that they must follow."""

    def plant(patch: Patch) -> None:
        effects = MessageStore.effects

        def sooner(self: MessageStore) -> Any:
            writes, sends, fetches = effects(self)
            for i, write in enumerate(writes):
                sends += [Send(*sent) for sent in write.then if sent[1] == kind]
                writes[i] = Write(write.kind, write.fields, tuple(t for t in write.then if t[1] != kind))
            return writes, sends, fetches

        patch(MessageStore, "effects", sooner)

    return plant


@mutant("fence", fence(Fence(offers=1, reorder=0), *SETTLED), "early word", "early 202")
def kept_said_before_the_sync(patch: Patch) -> None:
    early("kept")(patch)


@mutant("fence", fence(Fence(sends=1, ends=1, reorder=0), *STORED), "early word")
def ended_said_before_the_sync(patch: Patch) -> None:
    early("ended")(patch)


@mutant("fence", fence(Fence(sends=1, ends=1, reorder=0), *STORED), "early word")
def an_end_told_before_the_sync(patch: Patch) -> None:
    state = MessageStore.state

    def reported(self: MessageStore, mid: str) -> Any:
        self.unsynced.clear()
        return state(self, mid)

    patch(MessageStore, "state", reported)


@mutant("fence", fence(Fence(offers=1, reorder=0), *SETTLED), "early 202")
def accepted_at_the_first_copy(patch: Patch) -> None:
    kept = Intake.kept

    def first(self: Intake, node: str, mid: str, refused: bool = False) -> None:
        self.copies = 1
        kept(self, node, mid, refused)
        self.copies = 2

    patch(Intake, "kept", first)


@mutant("fence", fence(Fence(time=6, reorder=0), *PARTITIONED), "two deliverers")
def a_lapsed_counter_goes_on(patch: Patch) -> None:
    patch(Gateway, "may_send", lambda self, item: True)


@mutant("fence", fence(Fence(time=6, freeze=1, reorder=0), *STORED), "two deliverers")
def assigned_before_the_lapse(patch: Patch) -> None:
    patch(gateway_leases, "LAPSE", 0.6)


@mutant("fence", fence(Fence(time=6, freeze=1, reorder=0), *STORED), "two deliverers")
def goes_on_past_the_lapse(patch: Patch) -> None:
    patch(store_contact, "MARGIN", -0.5)


@mutant("fence", fence(Fence(time=6, reorder=0), *ECHOES_HELD), "two deliverers")
def a_pulse_proves_its_arrival(patch: Patch) -> None:
    echoed = Gateway.echoed

    def now(self: Gateway, node: str, at: float) -> None:
        echoed(self, node, self.now)

    patch(Gateway, "echoed", now)


@mutant("fence", fence(Fence(time=3, reorder=0), *RECONNECTED), "two deliverers")
def sure_without_an_answer(patch: Patch) -> None:
    """Reconnected, it delivers again before its stores have confirmed that it owns its messages."""

    def may_send(self: Gateway, item: Any) -> bool:
        return any(self.fresh(node) for node in item.replicas)

    patch(Gateway, "may_send", may_send)


@mutant("fence", fence(Fence(time=3, reorder=0), *RECONNECTED), "two deliverers")
def answered_before_the_others_know(patch: Patch) -> None:
    check = MessageStore.check

    def at_once(self: MessageStore, node: str) -> None:
        self.peer_echoes = dict.fromkeys(self.peers, self.now + 1.0)
        check(self, node)

    patch(MessageStore, "check", at_once)


@mutant(
    "fence",
    fence(Fence(time=3, reorder=2), *ECHOES_HELD, *(TICK * 3), ("lets go", "d2", "c1")),
    "two deliverers",
)
def a_lapse_that_is_not_told(patch: Patch) -> None:
    lapsed = MessageStore.lapsed

    def alone(self: MessageStore, who: str, silent: bool = False) -> None:
        lapsed(self, who)

    patch(MessageStore, "lapsed", alone)
    # otherwise the gateway would request the owner from the other store first, and receive the right one
    patch(Gateway, "awaits", lambda self, node, item: False)


@mutant("fence", fence(Fence(time=6, cut=1, reorder=0), *STORED), "two deliverers")
def depots_do_not_tell_whom_they_hear(patch: Patch) -> None:
    patch(MessageStore, "reports_for", lambda self, node: {})


def drop_unlisted(self: SurplusReplicas, mid: str, replicas: tuple[str, ...]) -> None:
    """Deletes a replica as soon as the newest placement does not list it."""
    if self.store.node not in replicas:
        self.store.drop(self.store.entries[mid])


@mutant("fence", fence(Fence(time=2, retire=1, reorder=0), *STORED, names=("d1", "d2", "d3")), "copies")
def moved_without_an_answer(patch: Patch) -> None:
    start = Rebalancing.start_move

    def at_once(self: Rebalancing, entry: Any, after: Any) -> None:
        start(self, entry, after)
        if self.moves.pop(entry.mid, None) is not None:
            self.complete(entry, after)

    patch(Rebalancing, "start_move", at_once)
    # otherwise the replica stays until the others have confirmed theirs
    patch(SurplusReplicas, "placed", drop_unlisted)


THREE = ("d1", "d2", "d3")
REMOVED_UNHEARD = fence(Fence(time=4, offers=1, reorder=0), *DRAIN_ORDERED, names=THREE)
REMOVED_RESTARTED = fence(Fence(time=2, offers=1, reorder=0), *RESTARTED, names=THREE)


@mutant("fence", REMOVED_UNHEARD, "copies", "early 202")
def one_that_is_to_be_taken_away_keeps_what_comes(patch: Patch) -> None:
    patch(Seal, "closed", False)


@mutant("fence", REMOVED_RESTARTED, "copies", "early 202")
def empty_is_said_without_a_seal(patch: Patch) -> None:
    patch(Rebalancing, "empty", Rebalancing.drained)
    patch(Seal, "due", lambda self, empty: None)


@mutant("fence", REMOVED_RESTARTED, "copies", "early 202")
def the_seal_is_not_read_at_the_start(patch: Patch) -> None:
    patch(Seal, "loaded", lambda self, key: None)


@mutant("fence", REMOVED_RESTARTED, "copies", "early 202")
def an_older_configuration_lifts_the_seal(patch: Patch) -> None:
    learned = Seal.apply_order

    def any_key(self: Seal, key: Any, retiring: bool) -> bool:
        self.written = (-1, -1) if self.written is not None else None
        return learned(self, key, retiring)

    patch(Seal, "apply_order", any_key)


# ---- lease


@mutant("lease", lease(Lease(time=2, reorder=0)), "two holders", "beyond its grant")
def granted_to_whoever_asks(patch: Patch) -> None:
    grant = LeaseTable.lease

    def lease(self: LeaseTable, now: float, who: str, duties: list[str], span: float) -> list[str]:
        self.grants = {}
        return grant(self, now, who, duties, span)

    patch(LeaseTable, "lease", lease)


@mutant("lease", lease(Lease(time=3, crash=2, reorder=0)), "two holders", "beyond its grant")
def an_office_that_starts_grants_at_once(patch: Patch) -> None:
    init = LeaseTable.__init__

    def fresh(self: LeaseTable, now: float, first: bool) -> None:
        init(self, now, True)

    patch(LeaseTable, "__init__", fresh)


@mutant("lease", lease(Lease(time=3, reorder=3)), "two holders", "beyond its grant")
def counted_from_the_answer(patch: Patch) -> None:
    has = Ceilings.acquire

    def longer(self: Ceilings, svc: str, until: float) -> None:
        has(self, svc, self.now + rate_limits.LEASE_SPAN - rate_limits.MARGIN)

    patch(Ceilings, "acquire", longer)


@mutant("lease", lease(Lease(time=2, reorder=2)), "two holders", "beyond its grant")
def one_grant_is_enough(patch: Patch) -> None:
    leased = Ceilings.leased

    def one(self: Ceilings, controller: str, message: Any) -> None:
        message.voters = 1
        leased(self, controller, message)

    patch(Ceilings, "leased", one)


@mutant("lease", lease(Lease(time=2, reorder=0)), "beyond its grant")
def held_to_the_very_end(patch: Patch) -> None:
    patch(rate_limits, "MARGIN", 0.0)


@mutant("lease", lease(Lease(time=2, reorder=0)), "beyond its grant")
def longer_than_a_voter_grants(patch: Patch) -> None:
    patch(rate_limits, "LEASE_SPAN", 2.5)


@mutant("lease", lease(Lease(time=4, leaves=1, reorder=2)), "two holders", "beyond its grant")
def a_late_grant_counts_after_it_was_given_back(patch: Patch) -> None:
    leased = Ceilings.leased

    def any_time(self: Ceilings, controller: str, message: Any) -> None:
        self.released_at = {}
        leased(self, controller, message)

    patch(Ceilings, "leased", any_time)


# ---- notice


def drained_worker(**more: int) -> Callable[[], State]:
    return lambda: NoticeModel(Notice(**more))


@mutant("notice", drained_worker(cut=1), "confirmed alone")
def a_drain_is_confirmed_by_one_alone(patch: Patch) -> None:
    def tell(self: Confirming, now: float, news: Any, links: Any, answer: Any) -> None:
        answer(True)

    patch(Confirming, "tell", tell)


@mutant("notice", drained_worker(cut=1), "confirmed untold")
def known_is_said_before_it_is_told_on(patch: Patch) -> None:
    take_news = Controller.take_news

    def keeps(self: Controller, link: Any, news: Any) -> None:
        spread, self.spread = self.spread, lambda *_, **__: None  # type: ignore[method-assign,assignment]
        take_news(self, link, news)
        self.spread = spread  # type: ignore[method-assign]

    patch(Controller, "take_news", keeps)


@mutant("notice", lambda: ReplacedVotersModel(Notice()), "confirmed alone", "confirmed untold")
def confirmed_by_the_voters_of_before(patch: Patch) -> None:
    known = Confirming.known

    def forgets(self: Confirming, controller: str, message: Any) -> None:
        message.view.Clear()
        known(self, controller, message)

    patch(Confirming, "known", forgets)


# ---- answer


def requests_sent(requests: int) -> Callable[[], State]:
    return lambda: ResponseModel(Asking(requests=requests))


@mutant("answer", requests_sent(3), "another's answer", "said not run")
def an_answer_without_an_id_is_taken(patch: Patch) -> None:
    belongs = answers.belongs
    for place in (answers, delivery):
        patch(place, "belongs", lambda answer, request_id, only: belongs(answer, request_id, True))


@mutant("answer", requests_sent(3), "another's answer", "said not run")
def another_requests_answer_is_taken(patch: Patch) -> None:
    for place in (answers, delivery):
        patch(place, "belongs", lambda answer, request_id, only: True)


@mutant("answer", requests_sent(2), "said not run", "another's answer")
def who_speaks_first_is_heard(patch: Patch) -> None:
    def greet(self: Delivery, connection: Any) -> None:
        self.only_request = connection.uses == 1

    patch(Delivery, "on_connected", greet)


@mutant("answer", requests_sent(3), "another's answer", "said not run")
def a_message_goes_on_a_connection_that_it_was_on_before(patch: Patch) -> None:
    acquire = Pool.acquire
    patch(Pool, "acquire", lambda self, address, request_id=b"": acquire(self, address))


@mutant("answer", requests_sent(2), "beyond a break")
def a_connection_with_a_second_answer_is_kept(patch: Patch) -> None:
    patch(outgoing.ResponseParser, "surplus", property(lambda self: False, lambda self, value: None))


@mutant("answer", requests_sent(2), "beyond a break")
def a_connection_with_half_a_request_is_kept(patch: Patch) -> None:
    listen = Delivery.read_end

    def keeps(self: Delivery, connection: Any) -> Any:
        self.fully_written = True
        return listen(self, connection)

    patch(Delivery, "read_end", keeps)


@mutant("answer", requests_sent(2), "said not run")
def a_break_is_taken_for_not_run(patch: Patch) -> None:
    def bare(self: Delivery, outcome: Any) -> Any:
        return delivery.DeliveryOutcome.NOT_SENT, "", None

    patch(Delivery, "end_without_response", bare)
