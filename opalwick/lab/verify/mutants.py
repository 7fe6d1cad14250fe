"""Faults planted into the cores, in memory: each breaks a property, and the explorer is trusted as far as
it shows a short way to that. A mutant names the case that finds it soonest."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Any, NamedTuple

from opalwick.lab.verify.answers import Answers
from opalwick.lab.verify.explorer import Walk, World, explore
from opalwick.lab.verify.notices import Notices, Replaced
from opalwick.lab.verify.parts import (
    ALONE,
    BACK,
    CUT,
    KEPT,
    LATER,
    LEARNED,
    ORDERED,
    OVERTAKEN,
    SERVES,
    SETTLED,
    STARTED,
    TAKEN,
    TWO,
    UNHEARD,
    Fence,
    Lease,
    Notice,
    Takeover,
    depot,
    lease,
    office,
)
from opalwick.lab.verify.parts import (
    Answer as Asking,
)
from opalwick.post.counter import answers, ceilings, delivery
from opalwick.post.counter import role as counter_role
from opalwick.post.counter.ceilings import Ceilings
from opalwick.post.counter.delivery import Delivery
from opalwick.post.counter.intake import Intake
from opalwick.post.counter.role import Gateway
from opalwick.post.depot import keeping
from opalwick.post.depot.keeping import Keeping
from opalwick.post.depot.moving import Moving
from opalwick.post.depot.records import Send, Write
from opalwick.post.depot.seal import Seal
from opalwick.post.office import numbers
from opalwick.post.office.duties import Duties
from opalwick.post.office.notices import Notices as Confirming
from opalwick.post.office.role import Office
from opalwick.post.office.views import Answer, Pending, Views
from opalwick.post.wire_pb2 import Written

Patch = Callable[[Any, str, Any], None]
MOST = 30000  # states in which a mutant must be found


class Mutant(NamedTuple):
    part: str
    plant: Callable[[Patch], None]
    root: Callable[[], World]
    rules: tuple[str, ...]


MUTANTS: dict[str, Mutant] = {}


def mutant(part: str, root: Callable[[], World], *rules: str) -> Callable[[Callable[[Patch], None]], None]:
    def note(plant: Callable[[Patch], None]) -> None:
        MUTANTS[plant.__name__] = Mutant(part, plant, root, rules)

    return note


@contextmanager
def planted(found: Mutant) -> Iterator[None]:
    undo: list[tuple[Any, str, Any]] = []

    def patch(where: Any, name: str, what: Any) -> None:
        undo.append((where, name, where.__dict__[name]))
        setattr(where, name, what)

    found.plant(patch)
    try:
        yield
    finally:
        for where, name, was in reversed(undo):
            setattr(where, name, was)


def caught(name: str, most: int = MOST) -> Walk:
    """What the explorer finds with it; the way there is calm and goes with the fault, too."""
    found = MUTANTS[name]
    with planted(found):
        return explore(found.root, most)


# ---- takeover


@mutant("takeover", office(Takeover(puts=1, turns=0), *SERVES), "lost")
def acknowledged_on_one_disk(patch: Patch) -> None:
    def alone(self: Views) -> None:
        first = self.queue[0]
        self.number += 1
        first.number, first.needs = self.number, {self.me}
        self.say_write()

    patch(Views, "write_next", alone)


@mutant("takeover", office(Takeover(puts=1, turns=0), *OVERTAKEN), "lost", "two texts", "stale answer")
def stale_writes_accepted(patch: Patch) -> None:
    def write(self: Views, sender: str, word: Any) -> None:
        self.conf = word.conf
        self.save((sender, "written", Written(epoch=word.epoch, number=word.number, ok=True)))

    patch(Views, "write", write)


@mutant("takeover", office(Takeover(reads=1, puts=1, turns=0), *TAKEN), "stale answer")
def reads_answered_by_itself(patch: Patch) -> None:
    def read(self: Views, call: int, status: int = 200) -> None:
        self.answers.append(Answer(call, status))

    patch(Views, "read", read)


@mutant("takeover", office(Takeover(puts=2, turns=0), *SERVES), "two texts", "lost")
def a_number_taken_again(patch: Patch) -> None:
    def put(self: Views, call: int, conf: bytes) -> None:
        self.queue.append(Pending(call, self.read_key(conf), conf, self.now + 0.8))
        if len(self.queue) == 1:
            self.write_next()

    patch(Views, "put", put)


@mutant("takeover", office(Takeover(long=1, wipe=1, turns=0), *SERVES), "voted unlearned")
def a_lost_disk_forgotten(patch: Patch) -> None:
    init = Views.__init__

    def fresh(
        self: Views, me: str, copies: int, stored: Any, voters: list[str], blank: bool, now: float
    ) -> None:
        init(self, me, copies, stored, voters, False, now)

    patch(Views, "__init__", fresh)


@mutant("takeover", office(Takeover(long=2, turns=0), *SERVES), "early word")
def votes_before_the_sync(patch: Patch) -> None:
    def save(self: Views, *then: Any) -> None:
        for to, kind, word in then:
            if kind == "vote" and to != self.me:
                self.say(to, kind, word)
        SAVE(self, *[one for one in then if one[1] != "vote" or one[0] == self.me])

    SAVE = Views.save
    patch(Views, "save", save)


@mutant("takeover", office(Takeover(long=2, turns=1), *SERVES), "vote back")
def any_epoch_is_granted(patch: Patch) -> None:
    canvass = Views.canvass

    def grants(self: Views, sender: str, word: Any) -> None:
        self.promised, self.beat_at = min(self.promised, int(word.epoch) - 1), -1e9
        canvass(self, sender, word)

    patch(Views, "canvass", grants)


@mutant("takeover", office(Takeover(long=2, turns=0), *LEARNED, ("crashes", "o1")), "lost")
def a_learned_member_passes_for_whole(patch: Patch) -> None:
    learn = Views.learn

    def learns(self: Views, sender: str, word: Any) -> None:
        learn(self, sender, word)
        self.member = self.member or (not self.blank and self.me in self.view.members)

    patch(Views, "learn", learns)


@mutant("takeover", office(Takeover(long=2, turns=0), *ALONE), "lost", "two texts", "stale answer")
def the_oldest_view_is_taken_up(patch: Patch) -> None:
    offer = Views.offer

    def oldest(self: Views) -> None:
        old = min(vote.view.epoch for vote in self.votes.values())
        votes, self.votes = self.votes, {s: v for s, v in self.votes.items() if v.view.epoch == old}
        offer(self)
        self.votes = votes

    patch(Views, "offer", oldest)


@mutant("takeover", office(Takeover(turns=0), *TAKEN), "lost")
def a_backup_installed_without_the_configuration(patch: Patch) -> None:
    offer_to = Views.offer_to

    def bare(self: Views, voter: str) -> None:
        known = self.offered
        if known is not None and voter != self.me:
            self.offered = known[0], b""
        offer_to(self, voter)
        self.offered = known if self.offered is not None else None

    patch(Views, "offer_to", bare)


@mutant("takeover", office(Takeover(puts=1, again=1, turns=0), *SERVES), "two confirmed")
def another_content_is_confirmed(patch: Patch) -> None:
    patch(numbers, "match", lambda newest, given: numbers.Match.SAME)


@mutant("takeover", office(Takeover(puts=1, again=1, turns=0), *SERVES), "refused again")
def a_repeated_order_is_refused(patch: Patch) -> None:
    patch(numbers, "match", lambda newest, given: numbers.Match.OTHER)


@mutant("takeover", office(Takeover(puts=1, again=1, turns=0), *TWO), "forgotten")
def earlier_numbers_are_forgotten(patch: Patch) -> None:
    patch(numbers, "follow", lambda conf, newest: None)


@mutant("takeover", office(Takeover(puts=2, short=1, slow=1, turns=0), *SERVES), "lost")
def an_older_word_is_written_over_a_newer(patch: Patch) -> None:
    read_key, write = Views.read_key, Views.write

    def writes(self: Views, sender: str, word: Any) -> None:
        self.read_key = lambda conf: read_key(conf) if conf != self.conf else (-1, 0)  # type: ignore[method-assign]
        write(self, sender, word)
        del self.read_key  # type: ignore[misc]

    patch(Views, "write", writes)


@mutant("takeover", office(Takeover(puts=1, ends=1, turns=0), *SERVES), "lost")
def ends_with_what_rests_on_it(patch: Patch) -> None:
    patch(Views, "needed", False)


@mutant("takeover", office(Takeover(short=3, ends=1, turns=0), *SERVES), "lost")
def a_witness_is_not_asked_for_a_place(patch: Patch) -> None:
    """It resigns, and takes what follows for done: its copy is the only one beside the heir's."""

    def needed(self: Views) -> bool:
        return self.state != "follower"

    patch(Views, "needed", property(needed))


# ---- fence


def early(word: str) -> Callable[[Patch], None]:
    """Words of that kind, which should follow a sync, go out before it."""

    def plant(patch: Patch) -> None:
        effects = Keeping.effects

        def sooner(self: Keeping) -> Any:
            writes, sends, fetches = effects(self)
            for i, write in enumerate(writes):
                sends += [Send(*said) for said in write.then if said[1] == word]
                writes[i] = Write(write.kind, write.fields, tuple(t for t in write.then if t[1] != word))
            return writes, sends, fetches

        patch(Keeping, "effects", sooner)

    return plant


@mutant("fence", depot(Fence(offers=1, turns=0), *SETTLED), "early word", "early 202")
def kept_said_before_the_sync(patch: Patch) -> None:
    early("kept")(patch)


@mutant("fence", depot(Fence(sends=1, ends=1, turns=0), *KEPT), "early word")
def ended_said_before_the_sync(patch: Patch) -> None:
    early("ended")(patch)


@mutant("fence", depot(Fence(sends=1, ends=1, turns=0), *KEPT), "early word")
def an_end_told_before_the_sync(patch: Patch) -> None:
    state = Keeping.state

    def told(self: Keeping, mid: str) -> Any:
        self.unsynced.clear()
        return state(self, mid)

    patch(Keeping, "state", told)


@mutant("fence", depot(Fence(offers=1, turns=0), *SETTLED), "early 202")
def accepted_at_the_first_copy(patch: Patch) -> None:
    kept = Intake.kept

    def first(self: Intake, node: str, mid: str, refused: bool = False) -> None:
        self.copies = 1
        kept(self, node, mid, refused)
        self.copies = 2

    patch(Intake, "kept", first)


@mutant("fence", depot(Fence(time=6, turns=0), *CUT), "two deliverers")
def a_lapsed_counter_goes_on(patch: Patch) -> None:
    patch(Gateway, "may_send", lambda self, item: True)


@mutant("fence", depot(Fence(time=6, freeze=1, turns=0), *KEPT), "two deliverers")
def assigned_before_the_lapse(patch: Patch) -> None:
    patch(keeping, "LAPSE", 0.6)


@mutant("fence", depot(Fence(time=6, freeze=1, turns=0), *KEPT), "two deliverers")
def goes_on_past_the_lapse(patch: Patch) -> None:
    patch(counter_role, "MARGIN", -0.5)


@mutant("fence", depot(Fence(time=6, turns=0), *UNHEARD), "two deliverers")
def a_pulse_proves_its_arrival(patch: Patch) -> None:
    heard_by = Gateway.echoed

    def now(self: Gateway, node: str, at: float) -> None:
        heard_by(self, node, self.now)

    patch(Gateway, "echoed", now)


@mutant("fence", depot(Fence(time=3, turns=0), *BACK), "two deliverers")
def sure_without_an_answer(patch: Patch) -> None:
    """Back in touch, it goes on before its depots have said whose its messages are."""

    def may_send(self: Gateway, item: Any) -> bool:
        return any(self.fresh(node) for node in item.replicas)

    patch(Gateway, "may_send", may_send)


@mutant("fence", depot(Fence(time=3, turns=0), *BACK), "two deliverers")
def answered_before_the_others_know(patch: Patch) -> None:
    check = Keeping.check

    def at_once(self: Keeping, node: str) -> None:
        self.peers_echo = dict.fromkeys(self.peers, self.now + 1.0)
        check(self, node)

    patch(Keeping, "check", at_once)


@mutant(
    "fence", depot(Fence(time=3, turns=2), *UNHEARD, *(LATER * 3), ("lets go", "d2", "c1")), "two deliverers"
)
def a_lapse_that_is_not_told(patch: Patch) -> None:
    lapsed = Keeping.lapsed

    def alone(self: Keeping, who: str, silent: bool = False) -> None:
        lapsed(self, who)

    patch(Keeping, "lapsed", alone)
    # a counter that asked the other depot first would be told by it whose the message is
    patch(Gateway, "awaits", lambda self, node, item: False)


@mutant("fence", depot(Fence(time=6, cut=1, turns=0), *KEPT), "two deliverers")
def depots_do_not_tell_whom_they_hear(patch: Patch) -> None:
    patch(Keeping, "hears", lambda self, node: {})


@mutant("fence", depot(Fence(time=2, retire=1, turns=0), *KEPT, names=("d1", "d2", "d3")), "copies")
def moved_without_an_answer(patch: Patch) -> None:
    start = Moving.start

    def at_once(self: Moving, entry: Any, without: str) -> None:
        start(self, entry, without)
        if (found := self.on_way.pop(entry.mid, None)) is not None:
            self.settle(entry, found[2])

    patch(Moving, "start", at_once)


THREE = ("d1", "d2", "d3")
AWAY_UNHEARD = depot(Fence(time=4, offers=1, turns=0), *ORDERED, names=THREE)
AWAY_ANEW = depot(Fence(time=2, offers=1, turns=0), *STARTED, names=THREE)


@mutant("fence", AWAY_UNHEARD, "copies", "early 202")
def one_that_is_to_be_taken_away_keeps_what_comes(patch: Patch) -> None:
    patch(Seal, "closed", False)


@mutant("fence", AWAY_ANEW, "copies", "early 202")
def empty_is_said_without_a_seal(patch: Patch) -> None:
    patch(Moving, "empty", Moving.drained)
    patch(Seal, "due", lambda self, empty: None)


@mutant("fence", AWAY_ANEW, "copies", "early 202")
def the_seal_is_not_read_at_the_start(patch: Patch) -> None:
    patch(Seal, "loaded", lambda self, key: None)


@mutant("fence", AWAY_ANEW, "copies", "early 202")
def an_older_configuration_lifts_the_seal(patch: Patch) -> None:
    learned = Seal.learned

    def any_key(self: Seal, key: Any, retiring: bool) -> bool:
        self.written = (-1, -1) if self.written is not None else None
        return learned(self, key, retiring)

    patch(Seal, "learned", any_key)


# ---- lease


@mutant("lease", lease(Lease(time=2, turns=0)), "two holders", "beyond its grant")
def granted_to_whoever_asks(patch: Patch) -> None:
    grant = Duties.lease

    def lease(self: Duties, now: float, who: str, duties: list[str], span: float) -> list[str]:
        self.held = {}
        return grant(self, now, who, duties, span)

    patch(Duties, "lease", lease)


@mutant("lease", lease(Lease(time=3, crash=2, turns=0)), "two holders", "beyond its grant")
def an_office_that_starts_grants_at_once(patch: Patch) -> None:
    init = Duties.__init__

    def fresh(self: Duties, now: float, first: bool) -> None:
        init(self, now, True)

    patch(Duties, "__init__", fresh)


@mutant("lease", lease(Lease(time=3, turns=3)), "two holders", "beyond its grant")
def counted_from_the_answer(patch: Patch) -> None:
    has = Ceilings.acquire

    def longer(self: Ceilings, svc: str, until: float) -> None:
        has(self, svc, self.now + ceilings.LEASE_SPAN - ceilings.MARGIN)

    patch(Ceilings, "acquire", longer)


@mutant("lease", lease(Lease(time=2, turns=2)), "two holders", "beyond its grant")
def one_grant_is_enough(patch: Patch) -> None:
    leased = Ceilings.leased

    def one(self: Ceilings, office: str, word: Any) -> None:
        word.voters = 1
        leased(self, office, word)

    patch(Ceilings, "leased", one)


@mutant("lease", lease(Lease(time=2, turns=0)), "beyond its grant")
def held_to_the_very_end(patch: Patch) -> None:
    patch(ceilings, "MARGIN", 0.0)


@mutant("lease", lease(Lease(time=2, turns=0)), "beyond its grant")
def longer_than_a_voter_grants(patch: Patch) -> None:
    patch(ceilings, "LEASE_SPAN", 2.5)


@mutant("lease", lease(Lease(time=4, leaves=1, turns=2)), "two holders", "beyond its grant")
def a_late_grant_counts_after_it_was_given_back(patch: Patch) -> None:
    leased = Ceilings.leased

    def any_time(self: Ceilings, office: str, word: Any) -> None:
        self.released_at = {}
        leased(self, office, word)

    patch(Ceilings, "leased", any_time)


# ---- notice


def told_of_a_drain(**more: int) -> Callable[[], World]:
    return lambda: Notices(Notice(**more))


@mutant("notice", told_of_a_drain(cut=1), "confirmed alone")
def a_drain_is_confirmed_by_one_alone(patch: Patch) -> None:
    def tell(self: Confirming, now: float, news: Any, links: Any, answer: Any) -> None:
        answer(True)

    patch(Confirming, "tell", tell)


@mutant("notice", told_of_a_drain(cut=1), "confirmed untold")
def known_is_said_before_it_is_told_on(patch: Patch) -> None:
    take_news = Office.take_news

    def keeps(self: Office, link: Any, news: Any) -> None:
        spread, self.spread = self.spread, lambda *_, **__: None  # type: ignore[method-assign,assignment]
        take_news(self, link, news)
        self.spread = spread  # type: ignore[method-assign]

    patch(Office, "take_news", keeps)


@mutant("notice", lambda: Replaced(Notice()), "confirmed alone", "confirmed untold")
def confirmed_by_the_voters_of_before(patch: Patch) -> None:
    known = Confirming.known

    def forgets(self: Confirming, office: str, word: Any) -> None:
        word.view.Clear()
        known(self, office, word)

    patch(Confirming, "known", forgets)


# ---- answer


def asked(requests: int) -> Callable[[], World]:
    return lambda: Answers(Asking(requests=requests))


@mutant("answer", asked(3), "another's answer", "said not run")
def an_answer_without_an_id_is_taken(patch: Patch) -> None:
    belongs = answers.belongs
    for place in (answers, delivery):
        patch(place, "belongs", lambda answer, request_id, only: belongs(answer, request_id, True))


@mutant("answer", asked(3), "another's answer", "said not run")
def another_requests_answer_is_taken(patch: Patch) -> None:
    for place in (answers, delivery):
        patch(place, "belongs", lambda answer, request_id, only: True)


@mutant("answer", asked(2), "said not run", "another's answer")
def who_speaks_first_is_heard(patch: Patch) -> None:
    def greet(self: Delivery, connection: Any) -> None:
        self.only_request = connection.uses == 1

    patch(Delivery, "on_connected", greet)


@mutant("answer", asked(2), "beyond a break")
def a_connection_with_half_a_request_is_kept(patch: Patch) -> None:
    listen = Delivery.read_end

    def keeps(self: Delivery, connection: Any) -> Any:
        self.fully_written = True
        return listen(self, connection)

    patch(Delivery, "read_end", keeps)


@mutant("answer", asked(2), "said not run")
def a_break_is_taken_for_not_run(patch: Patch) -> None:
    def bare(self: Delivery, outcome: Any) -> Any:
        return delivery.DeliveryOutcome.NOT_SENT, "", None

    patch(Delivery, "end_without_response", bare)
