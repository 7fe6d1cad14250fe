"""Delivery scheduling and dispatchers of a gateway, driven by scripts."""

from __future__ import annotations

from random import Random

import pytest
from post_helper import Player, client_message

from opalwick.post.delivery_outcome import DeliveryOutcome
from opalwick.post.gateway.item import Item, Start, Stop
from opalwick.post.gateway.role import Gateway
from opalwick.post.gateway.scheduling import Rounds
from opalwick.post.settings import parse
from opalwick.post.wire_pb2 import Conf, End, Letter, Route, Service, Worker
from opalwick.routing.reducer import Answer, Final

SETTINGS = parse("node=c1\nrole=post\nip=10.1.0.25\naz=n\nport_range=7240,7255\n", "f")
SERVICES = {"plain": {}, "twin": {"dedup": True}, "slow": {"rate": 20.0}}
READY = "0.00 c1 applies 1 plain twin slow; w1 serves plain 4; w2 serves plain 4; w3 serves slow 4"


def conf(gen: int, *names: str, **changes: object) -> Conf:
    """A route to each named service, with the path prefix /NAME/."""
    routes = [
        Route(name=f"r-{name}", host="a.example", stem=f"/{name}/", svc=name, limit=1.5, tries=3, start=1.2)
        for name in names
    ]
    return Conf(
        gen=gen,
        routes=routes,
        services=[Service(name=name, **(SERVICES[name] | changes)) for name in SERVICES],
    )


class RoundsPlayer(Player):
    """Gateway c1 in zone n. `MID will OUTCOME ...`: outcomes of its deliveries in turn; the last one repeats.

    It checks throughout: only messages of `twin` are cancelled or at two workers at once; no delivery starts
    while the stores are unreachable, after the message has ended, or for `slow` without a permit of its own.
    """

    def __init__(self, script: str = READY) -> None:
        super().__init__()
        self.rounds, self.reachable, self.permits = (
            Rounds("c1", SETTINGS, 7, 0.0, lambda item: self.reachable),
            True,
            0,
        )
        self.workers, self.outcomes = dict[str, Worker](), dict[str, list[str]]()
        self.durations = dict[str, float]()  # by worker: time of a delivery, default 0.1 s
        # deliveries with the time of their end; 1e9: when the script ends it
        self.in_flight: list[tuple[float, Start]] = []
        self.started, self.stopped = list[tuple[float, str, str]](), list[str]()
        self.play(script)
        self.lines.clear()

    def do_applies(self, me: str, text: str) -> None:
        gen, *names = text.split()
        self.rounds.configured(conf(int(gen), *names))

    def do_serves(self, who: str, text: str) -> None:
        svc, capacity = text.split()
        self.workers[who] = Worker(id=who, svc=svc, host="w", port=80, zone="n", capacity=int(capacity))
        self.rounds.listed(self.workers, [svc])

    def do_takes(self, me: str, text: str) -> None:
        """MID,... SERVICE, and fields of the messages."""
        mids, svc, *fields = text.split()
        for mid in mids.split(","):
            line = f"{mid} host=a.example target=/{svc}/x gen=1 {' '.join(fields)}"
            self.rounds.accepted(client_message(line), ("d1", "d2"))
            self.rounds.tick()

    def do_assign(self, depot: str, text: str) -> None:
        self.rounds.assigned(depot, client_message(f"{text} host=a.example target=/plain/x"))

    def do_will(self, mids: str, outcomes: str) -> None:
        self.outcomes |= {mid: outcomes.split() for mid in mids.split(",")}

    def do_lasts(self, worker: str, seconds: str) -> None:
        self.durations[worker] = float(seconds)

    def do_ends(self, mid: str, outcome: str) -> None:
        self.end(next(delivery for delivery in self.in_flight if delivery[1].key[0] == mid), outcome)

    def end(self, delivery: tuple[float, Start], outcome: str) -> None:
        self.in_flight.remove(delivery)
        command, seal = delivery[1], "s1" if outcome == "DONE" else ""
        self.rounds.result(
            command.item, command.key, command.number, DeliveryOutcome[outcome], seal, None, False
        )

    def do_hears(self, me: str, what: str) -> None:
        self.reachable = what == "depots"

    def do_permits(self, me: str, text: str) -> None:
        svc, count = text.split()
        self.permits = int(count)
        self.rounds.permitted(svc, self.permits)

    def do_leaves(self, me: str) -> None:
        self.rounds.leaving = True
        self.rounds.park_all()

    def do_up(self, depot: str) -> None:
        self.rounds.depot_up(depot)
        self.rounds.outbox.append((depot, "mine", self.rounds.delivery_list(depot)))

    def hear(self, who: str, kind: str, content) -> None:
        if kind == "checked":
            self.rounds.taken_away(who, list(content.gone))
        elif kind == "end":
            self.rounds.ended_elsewhere(content)
        else:
            self.rounds.has_end(who, content.mid)

    def until(self, when: float) -> None:
        self.permits = 0
        while True:
            delivery = min(self.in_flight, default=(when + 1.0, None), key=lambda delivery: delivery[0])
            at = min(delivery[0], self.rounds.next_at())
            if at > when:
                break
            self.now = max(self.now, at)
            self.rounds.clock(self.now)
            if at == delivery[0]:
                planned, name = (
                    self.outcomes[delivery[1].key[0]],
                    f"{delivery[1].key[0]}#{delivery[1].number}",
                )
                outcome = planned.pop(0) if len(planned) > 1 else planned[0]
                outcome = "CANCELLED" if name in self.stopped else outcome
                self.note(f"{name} ends {outcome}", "")
                self.end(delivery, outcome)
            self.settle()
        self.now = max(self.now, when)
        self.rounds.clock(self.now)

    def settle(self) -> None:
        self.rounds.tick()
        messages, commands = self.rounds.effects()
        self.sent(messages)
        for command in commands:
            mid, name = command.key[0], f"{command.key[0]}#{command.number}"
            rivals = [one for one in self.in_flight if one[1].key[0] == mid]
            if isinstance(command, Stop):
                [cancelled] = [one for one in rivals if one[1].number == command.number]
                assert cancelled[1].item.dispatcher_name == "twin"
                self.stopped.append(name)
                self.in_flight[self.in_flight.index(cancelled)] = self.now + 0.01, cancelled[1]
                self.note(f"stop {name}")
                continue
            self.permits -= command.item.dispatcher_name == "slow"
            assert (
                self.reachable
                and not command.item.closed
                and (command.item.dispatcher_name == "twin" or not rivals)
            )
            assert self.permits >= 0
            worker = command.place[2]
            self.in_flight.append(
                (self.now + self.durations.get(worker, 0.1) if mid in self.outcomes else 1e9, command)
            )
            self.started.append((round(self.now, 2), mid, worker))
            self.note(f"start {name} at {worker}, attempt {command.key[1]}, {command.within:g} s")

    def started_at(self, mid: str) -> list[float]:
        return [at for at, what, _ in self.started if what == mid]


@pytest.mark.parametrize(
    "outcomes, wanted",
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
def test_effects_of_each_delivery_outcome(snapshot, outcomes: str, wanted: str) -> None:
    """Responses with status 500 count towards `tries`; timeouts, broken connections and rejections don't."""
    traces = []
    for svc in ("plain", "twin"):
        p = RoundsPlayer(f"0.00 c1 applies 1 plain twin slow; w1 serves {svc} 4; w2 serves {svc} 4")
        traces.append(p.play(f"0.00 m1 will {outcomes}\n1.00 c1 takes m1 {svc}\n9.00 d1 ended mid=m1"))
        [end] = {(w.complete, w.seal) for _, _, kind, w in p.said if kind == "end"}
        assert f"{'complete' if end == (True, 's1') else 'dead'} {len(p.started)}" == wanted
        assert not p.rounds.items and not p.in_flight and p.rounds.unconfirmed_ends["m1"][1] == {"d2"}
    assert "\n\n".join(traces) == snapshot


def test_no_delivery_starts_while_stores_are_unreachable_or_with_an_older_configuration(snapshot) -> None:
    """Nor without a permit if there is a rate limit; a permit that comes while unreachable is not used."""
    p = RoundsPlayer()
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
    assert 0.55 <= p.started_at("m1")[0] <= 0.65 and 1.05 <= p.started_at("m2")[0] <= 1.15
    assert sorted(p.started_at("m3") + p.started_at("m4")) == [2.45, 2.5]


def test_messages_that_can_start_in_time_go_first() -> None:
    """Then the newest of the late ones, as the oldest has the least value."""
    p = RoundsPlayer("0.00 c1 applies 1 slow; w1 serves slow 9; c1 takes m1 slow\n0.50 c1 takes m2 slow")
    p.play("1.00 c1 takes m3 slow\n1.10 c1 takes m4 slow\n1.75 c1 permits slow 3\n1.80 c1 permits slow 9")
    assert [mid for _, mid, _ in p.started] == ["m3", "m4", "m2", "m1"]


def test_a_removed_route_and_the_end_of_retention_end_a_message(snapshot) -> None:
    p = RoundsPlayer()
    assert (
        p.play("""
        0.10 m1,m2 will SILENT; c1 takes m1 plain until=1; c1 takes m2 plain
        0.50 c1 hears nobody
        2.00 c1 hears depots; c1 applies 2 twin slow
        4.00 d1 up""")
        == snapshot
    )
    assert {w.mid: w.complete for _, _, kind, w in p.said if kind == "end"} == {"m1": False, "m2": False}


def test_a_removed_route_ends_messages_that_wait_for_a_permit() -> None:
    p = RoundsPlayer()
    p.play("0.10 c1 takes m1 slow\n0.20 c1 applies 2 plain twin\n0.30 c1 permits slow 1\n3.00 d1 up")
    assert not p.started and "m1" not in p.rounds.items


def test_a_changed_service_does_not_lose_messages_that_wait_for_a_worker() -> None:
    p = RoundsPlayer("0.00 c1 applies 1 plain twin slow; c1 takes m1 plain")
    p.rounds.configured(conf(2, "plain", dedup=True))
    p.play("0.20 w1 serves plain 4\n5.00 d1 up")
    assert p.started_at("m1")


def test_the_capacity_that_a_worker_reports_is_used() -> None:
    for capacity in (2, 1):
        p = RoundsPlayer(f"0.00 c1 applies 1 plain; w1 serves plain {capacity}")
        assert [w.slots for w in p.rounds.dispatchers["plain"].reducer.workers.values()] == [capacity]


def test_groups_hedges_and_cancellation_with_dedup(snapshot) -> None:
    """Two messages of a group are at two workers; that at the slow one is hedged to the other, which wins."""
    p = RoundsPlayer(
        "0.00 c1 applies 1 twin; w1 serves twin 2; w2 serves twin 2; w1 lasts 0.02; w2 lasts 0.6"
    )
    assert (
        p.play("""
        0.10 m0,m1,m2,m3,m4,m5,m6,m7 will DONE; c1 takes m0,m1 twin
        0.40 c1 takes m2,m3,m4,m5,m6 twin
        0.42 c1 takes m7 twin
        3.00 c1 permits slow 1""")
        == snapshot
    )
    assert {worker for _, mid, worker in p.started if mid in ("m6", "m7")} == {"w1", "w2"}
    assert p.rounds.dispatchers["twin"].figures() == {"firsts": 8, "copies": 1} and p.stopped == ["m7#0"]


def test_assignments_and_what_is_taken_away(snapshot) -> None:
    """Assignments are acknowledged to all replicas; refused without a configuration or during shutdown."""
    p = RoundsPlayer("")
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
    assert (
        p.started_at("m1") == [0.1]
        and p.started_at("m5") == [0.7]
        and len(p.started) == 2
        and not p.rounds.items
    )


def test_what_is_taken_away_and_comes_back_at_once_is_delivered_once() -> None:
    """A message that is reassigned and comes back at once is neither lost nor dispatched for both items."""
    p = RoundsPlayer("0.00 c1 applies 1 plain")
    p.play("""
        0.10 d1 assign m1 due=0.2 claim=1; d1 assign m2 claim=1; m1,m2 will DONE
        0.20 d1 checked gone=m1,m2; d1 assign m1 claim=2; d1 assign m2 claim=2
        0.50 w1 serves plain 4
        3.00 d1 up""")
    assert len(p.started_at("m1")) == len(p.started_at("m2")) == 1 and not p.rounds.items
    assert not p.rounds.dispatchers["plain"].reducer.items


def test_the_end_of_one_delivery_may_give_up_other_messages() -> None:
    """The end of a delivery at the last worker gives up all attempts: each message is tried again."""
    p = RoundsPlayer("0.00 c1 applies 1 plain; c1 takes m1,m2 plain")
    given_up = [Answer((mid, 1), Final.DEFERRED) for mid in ("m1", "m2")]
    p.rounds.apply(p.rounds.dispatchers["plain"], given_up, ("m1", 1))
    p.play("0.30 w1 serves plain 4\n3.00 d1 up")
    assert p.started_at("m2") and {item.mid for item in p.rounds.items.values() if item.given_up} == {"m1"}


def test_a_message_that_ended_elsewhere_is_not_delivered_again(snapshot) -> None:
    """Neither after the delivery in flight nor with a permit; the late outcome is sent to nobody. A store
    that assigns it has missed the final outcome and gets it: else it would repeat that until the outcome
    expires.
    """
    p = RoundsPlayer()
    assert (
        p.play("""
        0.10 c1 takes m1,m2 plain; c1 takes m3 slow
        0.20 d1 end mid=m1 complete seal=s9; d1 end mid=m3 complete seal=s9; m1 ends BROKEN; m2 ends BROKEN
        0.21 d1 end mid=m2 complete seal=s9; c1 permits slow 2
        3.00 d1 assign m1 claim=1""")
        == snapshot
    )
    assert len(p.started) == 2 and not p.rounds.items
    assert [(node, kind, word.seal) for _, node, kind, word in p.said] == [("d1", "end", "s9")]


@pytest.mark.violates
def test_a_message_with_a_final_outcome_is_never_sent() -> None:
    """The last check before a delivery is sent counts and reports a message that should never get there."""
    gateway = Gateway(SETTINGS, 1, 0.0, 8)
    item = Item(Letter(mid="m", until=9.0), ("d1",), 0.0)
    gateway.confirmed_receipt["d1"] = gateway.now
    gateway.confirmed_owners.add("d1")
    command = Start(item, ("m", 1), 0, ("10.0.0.1", 80, "w"), 1.0, False)
    assert gateway.may_start(command)
    gateway.rounds.ended_elsewhere(End(mid="m", complete=True, seal="s"))
    assert not gateway.may_start(command)
    assert gateway.figures()["begun_after_end"] == 1


def test_shutdown_returns_messages_that_are_not_in_flight(snapshot) -> None:
    """A store that is reachable again gets what it may have missed."""
    p = RoundsPlayer()
    assert (
        p.play("""
        0.10 c1 takes m1,m2 plain; c1 takes m3 plain due=1.5; c1 takes m4 slow fails=1; m2 ends DONE
        0.20 d2 ended mid=m2; c1 leaves
        0.40 d1 up; d2 up; m1 ends DONE; c1 leaves""")
        == snapshot
    )
    assert {w.mid for _, _, kind, w in p.said if kind == "park"} == {"m3", "m4"} and not p.rounds.items


@pytest.mark.parametrize("seed", range(4))
def test_random_workloads_end_every_message_once(seed: int) -> None:
    """Workers come and go, outcomes are random; the player checks the rules of each start."""
    r, p = Random(seed), RoundsPlayer(f"{READY}; w0 serves slow 4; w4 serves twin 4")
    p.durations |= {"w1": 0.02, "w2": 0.3, "w4": 0.2} if seed % 2 else {"w1": 1.5, "w2": 3.0}
    for n in range(60):
        p.outcomes[f"m{n}"] = [
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
    while p.rounds.items and p.now < 60.0:
        p.play(f"{p.now + 0.2} c1 permits slow 9")
    ends = [w.mid for _, node, kind, w in p.said if kind == "end" and node == "d1"]
    assert sorted(ends) == sorted(f"m{n}" for n in range(60)) and not p.rounds.items


@pytest.mark.parametrize("waits", [True, False])
def test_a_message_follows_its_route_from_a_ceiling_to_another_service(waits: bool) -> None:
    """Guards against two faults: the message stayed in the permit queue of the old service; and one that had
    failed there kept the expiry of its permit, so that it was never sent again.
    """
    p = RoundsPlayer()
    p.play("0.10 m will FAILED DONE; c1 takes m slow")
    if not waits:
        p.play("0.20 c1 permits slow 1")
        p.until(0.31)
        assert [worker for *_, worker in p.started] == ["w3"]
    moved = conf(2, "plain", "slow")
    moved.routes[1].svc = "plain"
    p.until(0.8)
    p.rounds.configured(moved)
    p.until(0.85)
    [(_, command)] = p.in_flight
    # an expired permit would prevent the delivery
    assert command.place[2] in ("w1", "w2") and command.item.permit_expires_at > p.now
    p.until(1.5)
    assert not p.rounds.items
