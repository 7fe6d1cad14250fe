"""A counter's rounds and desks, played from traces: what is begun, what each end leads to, what is told."""

from __future__ import annotations

from random import Random

import pytest
from post_helper import Player, letter

from opalwick.post.counter.item import Item, Start, Stop
from opalwick.post.counter.role import Gateway
from opalwick.post.counter.rounds import Rounds
from opalwick.post.settings import parse
from opalwick.post.verdict import DeliveryOutcome
from opalwick.post.wire_pb2 import Conf, End, Letter, Route, Service, Worker
from opalwick.routing.reducer import Answer, Final

SETTINGS = parse("node=c1\nrole=post\nip=10.1.0.25\naz=n\nport_range=7240,7255\n", "f")
SERVICES = {"plain": {}, "twin": {"dedup": True}, "slow": {"rate": 20.0}}
READY = "0.00 c1 applies 1 plain twin slow; w1 serves plain 4; w2 serves plain 4; w3 serves slow 4"


def conf(gen: int, *names: str, **changes: object) -> Conf:
    """A route to each service named, by the stem /NAME/."""
    routes = [
        Route(name=f"r-{name}", host="a.example", stem=f"/{name}/", svc=name, limit=1.5, tries=3, start=1.2)
        for name in names
    ]
    return Conf(
        gen=gen,
        routes=routes,
        services=[Service(name=name, **(SERVICES[name] | changes)) for name in SERVICES],
    )


class Rounding(Player):
    """Counter c1 in zone n. `MID will VERDICT ...`: its deliveries end so in turn, the last for ever after.

    Holds as it goes: what is no `twin` is never stopped, nor at two workers; none starts unheard, ended, nor
    where it is `slow` without a permit of its own.
    """

    def __init__(self, script: str = READY) -> None:
        super().__init__()
        self.r, self.heard, self.permits = Rounds("c1", SETTINGS, 7, 0.0, lambda item: self.heard), True, 0
        self.workers, self.wills = dict[str, Worker](), dict[str, list[str]]()
        self.lasts = dict[str, float]()  # a worker's deliveries, 0.1 s else
        self.out: list[tuple[float, Start]] = []  # when each ends; 1e9: once the script says so
        self.starts, self.stops = list[tuple[float, str, str]](), list[str]()
        self.play(script)
        self.lines.clear()

    def do_applies(self, me: str, text: str) -> None:
        gen, *names = text.split()
        self.r.configured(conf(int(gen), *names))

    def do_serves(self, who: str, text: str) -> None:
        svc, capacity = text.split()
        self.workers[who] = Worker(id=who, svc=svc, host="w", port=80, zone="n", capacity=int(capacity))
        self.r.listed(self.workers, [svc])

    def do_takes(self, me: str, text: str) -> None:
        """MID,... SERVICE, and fields of the letters."""
        mids, svc, *fields = text.split()
        for mid in mids.split(","):
            line = f"{mid} host=a.example target=/{svc}/x gen=1 {' '.join(fields)}"
            self.r.accepted(letter(line), ("d1", "d2"))
            self.r.tick()

    def do_assign(self, depot: str, text: str) -> None:
        self.r.assigned(depot, letter(f"{text} host=a.example target=/plain/x"))

    def do_will(self, mids: str, verdicts: str) -> None:
        self.wills |= {mid: verdicts.split() for mid in mids.split(",")}

    def do_lasts(self, worker: str, seconds: str) -> None:
        self.lasts[worker] = float(seconds)

    def do_ends(self, mid: str, verdict: str) -> None:
        self.end(next(one for one in self.out if one[1].key[0] == mid), verdict)

    def end(self, one: tuple[float, Start], verdict: str) -> None:
        self.out.remove(one)
        order, seal = one[1], "s1" if verdict == "DONE" else ""
        self.r.result(order.item, order.key, order.number, DeliveryOutcome[verdict], seal, None, False)

    def do_hears(self, me: str, what: str) -> None:
        self.heard = what == "depots"

    def do_permits(self, me: str, text: str) -> None:
        svc, count = text.split()
        self.permits = int(count)
        self.r.permitted(svc, self.permits)

    def do_leaves(self, me: str) -> None:
        self.r.leaving = True
        self.r.park_all()

    def do_up(self, depot: str) -> None:
        self.r.depot_up(depot)
        self.r.outbox.append((depot, "mine", self.r.delivery_list(depot)))

    def hear(self, who: str, kind: str, said) -> None:
        if kind == "checked":
            self.r.taken_away(who, list(said.gone))
        elif kind == "end":
            self.r.ended_elsewhere(said)
        else:
            self.r.has_end(who, said.mid)

    def until(self, when: float) -> None:
        self.permits = 0
        while True:
            one = min(self.out, default=(when + 1.0, None), key=lambda one: one[0])
            at = min(one[0], self.r.next_at())
            if at > when:
                break
            self.now = max(self.now, at)
            self.r.clock(self.now)
            if at == one[0]:
                will, name = self.wills[one[1].key[0]], f"{one[1].key[0]}#{one[1].number}"
                verdict = will.pop(0) if len(will) > 1 else will[0]
                verdict = "CANCELLED" if name in self.stops else verdict
                self.note(f"{name} ends {verdict}", "")
                self.end(one, verdict)
            self.settle()
        self.now = max(self.now, when)
        self.r.clock(self.now)

    def settle(self) -> None:
        self.r.tick()
        sends, orders = self.r.effects()
        self.sent(sends)
        for order in orders:
            mid, name = order.key[0], f"{order.key[0]}#{order.number}"
            rivals = [one for one in self.out if one[1].key[0] == mid]
            if isinstance(order, Stop):
                [stopped] = [one for one in rivals if one[1].number == order.number]
                assert stopped[1].item.dispatcher_name == "twin"
                self.stops.append(name)
                self.out[self.out.index(stopped)] = self.now + 0.01, stopped[1]
                self.note(f"stop {name}")
                continue
            self.permits -= order.item.dispatcher_name == "slow"
            assert (
                self.heard and not order.item.closed and (order.item.dispatcher_name == "twin" or not rivals)
            )
            assert self.permits >= 0
            worker = order.place[2]
            self.out.append((self.now + self.lasts.get(worker, 0.1) if mid in self.wills else 1e9, order))
            self.starts.append((round(self.now, 2), mid, worker))
            self.note(f"start {name} at {worker}, attempt {order.key[1]}, {order.within:g} s")

    def begun(self, mid: str) -> list[float]:
        return [at for at, what, _ in self.starts if what == mid]


@pytest.mark.parametrize(
    "verdicts, wanted",
    [
        pytest.param("DONE", "complete 1", id="done"),
        pytest.param("REFUSED", "dead 1", id="refused for good"),
        pytest.param("FAILED", "dead 3", id="fails every time"),
        pytest.param("FAILED FAILED DONE", "complete 3", id="fails at first"),
        pytest.param("SILENT BROKEN FAILED BROKEN FAILED SILENT DONE", "complete 7", id="may have run"),
        pytest.param("FULL ABSENT NOT_SENT FULL DONE", "complete 5", id="turned away"),
        pytest.param("RUNNING RUNNING RUNNING RUNNING DONE", "complete 5", id="first run still on"),
    ],
)
def test_what_each_end_leads_to(snapshot, verdicts: str, wanted: str) -> None:
    """500s count, up to `tries`; silence, breaks and refusals do not, whatever the pauses."""
    traces = []
    for svc in ("plain", "twin"):
        p = Rounding(f"0.00 c1 applies 1 plain twin slow; w1 serves {svc} 4; w2 serves {svc} 4")
        traces.append(p.play(f"0.00 m1 will {verdicts}\n1.00 c1 takes m1 {svc}\n9.00 d1 ended mid=m1"))
        [end] = {(w.complete, w.seal) for _, _, kind, w in p.said if kind == "end"}
        assert f"{'complete' if end == (True, 's1') else 'dead'} {len(p.starts)}" == wanted
        assert not p.r.items and not p.out and p.r.unconfirmed_ends["m1"][1] == {"d2"}
    assert "\n\n".join(traces) == snapshot


def test_nothing_is_begun_unheard_or_by_an_older_configuration(snapshot) -> None:
    """Nor without a permit where there is a ceiling, and not by a permit that came while unheard."""
    p = Rounding()
    assert (
        p.play("""
        0.10 c1 hears nobody; c1 takes m1 plain
        0.55 c1 hears depots
        0.70 c1 takes m2 plain gen=2
        1.05 c1 applies 2 plain twin slow
        2.00 c1 takes m3,m4 slow
        2.10 c1 hears nobody; c1 permits slow 1
        2.35 c1 hears depots
        2.45 c1 permits slow 1
        2.50 c1 permits slow 5""")
        == snapshot
    )
    assert 0.55 <= p.begun("m1")[0] <= 0.65 and 1.05 <= p.begun("m2")[0] <= 1.15
    assert sorted(p.begun("m3") + p.begun("m4")) == [2.45, 2.5]


def test_who_can_still_begin_in_time_goes_first() -> None:
    """Then the newest, as what is oldest is worth the least."""
    p = Rounding("0.00 c1 applies 1 slow; w1 serves slow 9; c1 takes m1 slow\n0.50 c1 takes m2 slow")
    p.play("1.00 c1 takes m3 slow\n1.10 c1 takes m4 slow\n1.75 c1 permits slow 3\n1.80 c1 permits slow 9")
    assert [mid for _, mid, _ in p.starts] == ["m3", "m4", "m2", "m1"]


def test_a_dropped_route_and_the_end_of_retention_end_a_message(snapshot) -> None:
    p = Rounding()
    assert (
        p.play("""
        0.10 m1,m2 will SILENT; c1 takes m1 plain until=1; c1 takes m2 plain
        0.50 c1 hears nobody
        2.00 c1 hears depots; c1 applies 2 twin slow
        4.00 d1 up""")
        == snapshot
    )
    assert {w.mid: w.complete for _, _, kind, w in p.said if kind == "end"} == {"m1": False, "m2": False}


def test_a_dropped_route_ends_what_waits_for_a_permit() -> None:
    p = Rounding()
    p.play("0.10 c1 takes m1 slow\n0.20 c1 applies 2 plain twin\n0.30 c1 permits slow 1\n3.00 d1 up")
    assert not p.starts and "m1" not in p.r.items


def test_a_changed_service_does_not_lose_what_waits_for_a_worker() -> None:
    p = Rounding("0.00 c1 applies 1 plain twin slow; c1 takes m1 plain")
    p.r.configured(conf(2, "plain", dedup=True))
    p.play("0.20 w1 serves plain 4\n5.00 d1 up")
    assert p.begun("m1")


def test_a_worker_that_works_on_one_at_once_is_taken_at_its_word() -> None:
    for capacity in (2, 1):
        p = Rounding(f"0.00 c1 applies 1 plain; w1 serves plain {capacity}")
        assert [w.slots for w in p.r.dispatchers["plain"].reducer.workers.values()] == [capacity]


def test_blocks_copies_and_losers_of_a_service_with_dedup(snapshot) -> None:
    """Two of a block are at two workers; that of the slow one is copied to the freed one and wins there."""
    p = Rounding("0.00 c1 applies 1 twin; w1 serves twin 2; w2 serves twin 2; w1 lasts 0.02; w2 lasts 0.6")
    assert (
        p.play("""
        0.10 m0,m1,m2,m3,m4,m5,m6,m7 will DONE; c1 takes m0,m1 twin
        0.40 c1 takes m2,m3,m4,m5,m6 twin
        0.42 c1 takes m7 twin
        3.00 c1 permits slow 1""")
        == snapshot
    )
    assert {worker for _, mid, worker in p.starts if mid in ("m6", "m7")} == {"w1", "w2"}
    assert p.r.dispatchers["twin"].figures() == {"firsts": 8, "copies": 1} and p.stops == ["m7#0"]


def test_assignments_and_what_is_taken_away(snapshot) -> None:
    """Acknowledged to all holders, known or not; refused without a configuration or when leaving."""
    p = Rounding("")
    assert (
        p.play("""
        0.00 d1 assign m0 claim=1
        0.10 c1 applies 1 plain twin slow; w1 serves plain 4; d1 assign m1 claim=2 fails=2 lost=1
        0.30 d1 assign m1 claim=3; m1 ends FAILED; d1 assign m1 claim=3; d1 ended mid=m1; d2 ended mid=m1
        0.70 d2 assign m2 holders=d2,d1 due=0.2 claim=1; d2 assign m4 due=0.2 claim=1; d2 assign m5 claim=1
        0.75 d2 checked gone=m4,m5; m5 ends BROKEN
        0.80 c1 leaves; d1 assign m3 claim=1""")
        == snapshot
    )
    assert p.begun("m1") == [0.1] and p.begun("m5") == [0.7] and len(p.starts) == 2 and not p.r.items


def test_what_is_taken_away_and_comes_back_at_once_is_delivered_once() -> None:
    """Not lost with the item that it was before, nor offered for both."""
    p = Rounding("0.00 c1 applies 1 plain")
    p.play("""
        0.10 d1 assign m1 due=0.2 claim=1; d1 assign m2 claim=1; m1,m2 will DONE
        0.20 d1 checked gone=m1,m2; d1 assign m1 claim=2; d1 assign m2 claim=2
        0.50 w1 serves plain 4
        3.00 d1 up""")
    assert len(p.begun("m1")) == len(p.begun("m2")) == 1 and not p.r.items
    assert not p.r.dispatchers["plain"].reducer.items


def test_the_end_of_one_delivery_may_give_up_other_messages() -> None:
    """As the end at the last worker that was there: each of them is tried again, not that one's alone."""
    p = Rounding("0.00 c1 applies 1 plain; c1 takes m1,m2 plain")
    given_up = [Answer((mid, 1), Final.DEFERRED) for mid in ("m1", "m2")]
    p.r.apply(p.r.dispatchers["plain"], given_up, ("m1", 1))
    p.play("0.30 w1 serves plain 4\n3.00 d1 up")
    assert p.begun("m2") and {item.mid for item in p.r.items.values() if item.given_up} == {"m1"}


def test_what_ended_elsewhere_is_not_begun_again(snapshot) -> None:
    """Not after the run that is under way, not once it has a permit; its late end is told to nobody. A depot
    that assigns it has missed the end, and is told: else it would assign it until this counter has forgotten.
    """
    p = Rounding()
    assert (
        p.play("""
        0.10 c1 takes m1,m2 plain; c1 takes m3 slow
        0.20 d1 end mid=m1 complete seal=s9; d1 end mid=m3 complete seal=s9; m1 ends BROKEN; m2 ends BROKEN
        0.21 d1 end mid=m2 complete seal=s9; c1 permits slow 2
        3.00 d1 assign m1 claim=1""")
        == snapshot
    )
    assert len(p.starts) == 2 and not p.r.items
    assert [(node, kind, word.seal) for _, node, kind, word in p.said] == [("d1", "end", "s9")]


@pytest.mark.violates
def test_what_has_ended_is_not_sent_whatever_was_decided() -> None:
    """The last look before a delivery goes out: it counts, and tells, what must never come so far."""
    counter = Gateway(SETTINGS, 1, 0.0, 8)
    item = Item(Letter(mid="m", until=9.0), ("d1",), 0.0)
    counter.confirmed_receipt["d1"] = counter.now
    counter.confirmed_owners.add("d1")
    order = Start(item, ("m", 1), 0, ("10.0.0.1", 80, "w"), 1.0, False)
    assert counter.may_start(order)
    counter.rounds.ended_elsewhere(End(mid="m", complete=True, seal="s"))
    assert not counter.may_start(order)
    assert counter.figures()["begun_after_end"] == 1


def test_leaving_gives_back_all_that_is_not_on_its_way(snapshot) -> None:
    """And a depot that is there again hears what it may have missed."""
    p = Rounding()
    assert (
        p.play("""
        0.10 c1 takes m1,m2 plain; c1 takes m3 plain due=1.5; c1 takes m4 slow fails=1; m2 ends DONE
        0.20 d2 ended mid=m2; c1 leaves
        0.40 d1 up; d2 up; m1 ends DONE; c1 leaves""")
        == snapshot
    )
    assert {w.mid for _, _, kind, w in p.said if kind == "park"} == {"m3", "m4"} and not p.r.items


@pytest.mark.parametrize("seed", range(4))
def test_drawn_days_end_every_message_once(seed: int) -> None:
    """Workers come and go, ends are drawn; the player holds the rules of each start."""
    r, p = Random(seed), Rounding(f"{READY}; w0 serves slow 4; w4 serves twin 4")
    p.lasts |= {"w1": 0.02, "w2": 0.3, "w4": 0.2} if seed % 2 else {"w1": 1.5, "w2": 3.0}
    for n in range(60):
        p.wills[f"m{n}"] = [
            *r.choices([v.name for v in DeliveryOutcome if v is not DeliveryOutcome.CANCELLED], k=3),
            "DONE",
        ]
        p.until(p.now + 0.1 * r.random())
        p.play(f"{p.now} c1 takes m{n} {r.choice(['plain', 'twin', 'slow'])} due={r.random()}")
        if r.random() < 0.2:
            p.play(f"{p.now} w{r.randint(5, 9)} serves {r.choice(['plain', 'twin'])} 3")
            p.workers.pop(f"w{r.randint(5, 9)}", None)
        if r.random() < 0.3:
            p.play(f"{p.now} c1 permits slow 1")
    while p.r.items and p.now < 60.0:
        p.play(f"{p.now + 0.2} c1 permits slow 9")
    ends = [w.mid for _, node, kind, w in p.said if kind == "end" and node == "d1"]
    assert sorted(ends) == sorted(f"m{n}" for n in range(60)) and not p.r.items


@pytest.mark.parametrize("waits", [True, False])
def test_a_message_follows_its_route_from_a_ceiling_to_another_service(waits: bool) -> None:
    """Found by the lab's storm: it stayed in the queue of the ceiling; and one that had failed there kept the
    time by which its permit was to be used, so that nothing was sent any more."""
    p = Rounding()
    p.play("0.10 m will FAILED DONE; c1 takes m slow")
    if not waits:
        p.play("0.20 c1 permits slow 1")
        p.until(0.31)
        assert [worker for *_, worker in p.starts] == ["w3"]
    moved = conf(2, "plain", "slow")
    moved.routes[1].svc = "plain"
    p.until(0.8)
    p.r.configured(moved)
    p.until(0.85)
    [(_, order)] = p.out
    assert (
        order.place[2] in ("w1", "w2") and order.item.permit_expires_at > p.now
    )  # else it is not sent when it comes to it
    p.until(1.5)
    assert not p.r.items
