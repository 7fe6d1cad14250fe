"""A replicated register (the configuration) with leader election by views. No socket, no disk, no clock.

The primary writes to its own disk and to those of its backups, which are the members of a view, before it
acknowledges a change. The other voters are witnesses: they store only the epoch and the view. A majority of
voters elects the primary, and each voter votes at most once in an epoch. Every member of the newest view has
all acknowledged changes. A vote carries the voter's view, so any majority of votes includes the newest view,
and a candidate needs the vote of at least one of its members.

The set of voters changes by joint consensus (as in Ongaro and Ousterhout's Raft, with views in place of log
entries). It takes two views, each installed by the primary of the view in force: the first has the old and
the new voters and needs a majority of each; the second has the new voters only. So any view that was offered
later shares a majority with the voters of the last view in force, and a later candidate receives the newest.

Controllers are identified by IP address, which is in every process's settings.
"""

from __future__ import annotations

from collections.abc import Container
from typing import Any, NamedTuple

from opalwick.post.controller import conf_history
from opalwick.post.wire_pb2 import (
    Beat,
    Beaten,
    Canvass,
    Conf,
    Install,
    Installed,
    Resign,
    View,
    Vote,
    Write,
    Written,
)

# s between heartbeats of the primary: one message per voter, lost only with the link
HEARTBEAT_INTERVAL = 0.2
ELECTION_TIMEOUT = 0.8  # s without a heartbeat until a voter starts an election: four heartbeats
ELECTION_STAGGER = 0.3  # s between the election timeouts of successive voters: a round of votes takes 0.1 s
# s after its start that a voter waits for an existing primary: a heartbeat and a link's set-up
STARTUP_TIMEOUT = 0.25
STARTUP_STAGGER = 0.12  # s between successive voters in that wait: a link's set-up and a round of votes
# s between successive voters if a majority reported no primary: some round trips, a disk sync
NO_PRIMARY_STAGGER = 0.05
# s for a round of votes or the installation of a view: a disk sync and two trips, with a margin
ROUND_TIMEOUT = 1.0
CALL_TIMEOUT = 0.8  # s that a call may wait for backups: callers time out after 1 s
MAX_WAITING_CALLS = 64  # calls that may wait at the same time
# s without an answer until another controller may replace a voter: longer than a restart of its process,
# shorter than the time that a deployment allows a new machine until the next one may be lost
REPLACEABLE_AFTER = 2.0
# s to wait for more controllers after the latest one joined, so that they join in one change; thrice this at
# most
JOIN_WINDOW = 0.6
# s after its start that a primary refuses changes while it has too few voters: twice a slow start
GROWTH_TIMEOUT = 8.0
MAX_VOTERS = 9  # voters; a larger cluster is represented by the controllers that answered most recently


# Statuses of a put. OK: it is in force, or was. CONFLICT: the number belongs to another content. SUPERSEDED:
# it is older than the configuration in force and, as far as the history goes, never was in force; no effect.
OK, CONFLICT, SUPERSEDED = 200, 409, 208
UNKNOWN, UNABLE = 504, 503  # UNKNOWN: it may or may not be in force; UNABLE: no effect

STATUS_OF_MATCH = {
    conf_history.Match.SAME: OK,
    conf_history.Match.OTHER: CONFLICT,
    conf_history.Match.UNKNOWN: SUPERSEDED,
}

Key = tuple[int, int]  # of a configuration: its number, and a count of changes made without a new number


class Stored(NamedTuple):
    """The durable state; each write stores all of it."""

    promised: int
    view: bytes
    member: bool  # `conf` is the configuration of a member of the view
    conf: bytes  # a Conf, or empty
    blank: bool
    voted: str = ""  # the candidate that got the vote in the promised epoch


class Save(NamedTuple):
    """A write to the disk. `then`: messages to send once it is synced, to this controller too (to, kind,
    body).
    """

    stored: Stored
    then: tuple[tuple[str, str, Any], ...]


class Answer(NamedTuple):
    call: int
    status: int


class Read(NamedTuple):
    """A call that is answered with `status` once a majority confirms that this controller is the primary."""

    call: int
    heartbeat: int  # number of the heartbeat that a majority must answer
    until: float
    status: int


class PendingChange:
    """A change in progress, and the calls that wait for it, each with the status to answer on success."""

    __slots__ = ("calls", "conf", "key", "needs", "number", "until")

    def __init__(self, call: int, key: Key, conf: bytes, until: float) -> None:
        self.calls, self.key, self.conf, self.until = [(call, OK)], key, conf, until
        self.number, self.needs = 0, set[str]()


class Views:
    def __init__(
        self, ip: str, copies: int, stored: Stored | None, voters: list[str], lost_state: bool, now: float
    ) -> None:
        """`copies`: number of disks that must have a configuration. `voters`: used at the first start only;
        later starts use the stored ones.
        """
        self.ip, self.copies, self.now = ip, copies, now
        newly_created = stored is None and not lost_state
        if stored is None:
            view = View(epoch=0, voters=sorted(voters), members=sorted(voters))
            stored = Stored(0, view.SerializeToString(), not lost_state and ip in voters, b"", lost_state)
        self.promised, self.voted, self.member = stored.promised, stored.voted, stored.member
        self.conf, self.lost_state = stored.conf, stored.blank
        self.view = View.FromString(stored.view)
        self.key = (-1, 0)  # as primary: key of the configuration in force
        self.state = "follower"  # candidate, installing, primary
        self.epoch = 0  # of this controller's candidacy or term as primary
        self.primary_seen_at = -1e9  # s, when the primary was last active, in this incarnation
        self.started_at = now
        self.undisturbed = True  # no primary and no candidate seen in this incarnation
        # s, when it starts an election unless a primary is active
        self.election_at = now + STARTUP_TIMEOUT + STARTUP_STAGGER * self.rank
        self.primary = ""  # the primary as far as this controller can tell
        self.in_force = b""  # as primary: the newest configuration that all members have
        self.known_gen = -1  # the newest number that a primary reported as committed
        self.phase_began_at = now
        self.without_primary = set[str]()  # controllers whose last report was that they have no primary
        self.linked = set[str]()  # IPs of controllers with an open link; maintained by the role
        self.votes: dict[str, Vote] = {}
        self.avoided: set[str] = set()  # backups that did not answer: chosen again last
        self.installed: set[str] = set()
        self.offered: tuple[View, bytes] | None = None
        # a change of the voters: epoch of the view that it follows, new voters, old voters
        self.next_voters: tuple[int, list[str], list[str]] | None = None
        self.base_view = self.view  # the view that precedes the offered one
        # as primary: controllers that answer but have no vote, and since when
        self.learners: dict[str, float] = {}
        self.number = 0  # of the last write or heartbeat
        self.answered_at: dict[str, float] = {}  # as primary: s, when each voter last answered
        self.answered: dict[str, int] = {}  # number of the last heartbeat that each answered
        self.heartbeat_sent_at = self.write_sent_at = -1e9
        self.queue: list[PendingChange] = []  # changes; the first one is being written
        self.reads: list[Read] = []
        self.leaving = False  # this process is shutting down
        self.shutting_down = set[str]()  # controllers that reported that they are shutting down
        self.learned_votes: dict[str, Vote] = {}  # while blank: the others' answers
        self.state_requested_at = -1e9
        self.saves: list[Save] = []
        self.outbox: list[tuple[str, str, Any]] = []
        self.answers: list[Answer] = []
        self.committed: list[bytes] = []
        self.events: list[tuple[int, dict[str, Any]]] = []
        if newly_created:
            self.save()  # so that the next start does not mistake an empty disk for a lost one

    def effects(self) -> tuple[list[Save], list[tuple[str, str, Any]], list[Answer], list[bytes]]:
        found = self.saves, self.outbox, self.answers, self.committed
        self.saves, self.outbox, self.answers, self.committed = [], [], [], []
        return found

    # ---- helpers

    @property
    def voters(self) -> list[str]:
        return list(self.view.voters)

    @staticmethod
    def is_majority(view: View, who: Container[str]) -> bool:
        """Whether `who` has a majority of the view's voters and, in a joint view, of the old voters too."""
        return all(
            2 * sum(voter in who for voter in voters) > len(voters)
            for voters in (view.voters, view.before)
            if voters
        )

    @property
    def undersized(self) -> bool:
        """Too few voters to keep a majority after the tolerated losses, while more may still join."""
        return len(self.view.voters) < 2 * self.copies - 1 and self.now - self.started_at < GROWTH_TIMEOUT

    @property
    def majority_without_primary(self) -> bool:
        """Whether a majority, including this controller, has reported that it has no primary."""
        return self.is_majority(self.view, {self.ip} | self.linked & self.without_primary)

    @property
    def reaches_majority(self) -> bool:
        """Whether it has links to a majority, including itself."""
        return self.is_majority(self.view, {self.ip} | self.linked)

    @property
    def responsive(self) -> set[str]:
        """As primary: the voters that answered within ELECTION_TIMEOUT, including itself."""
        return {self.ip} | {
            voter for voter, at in self.answered_at.items() if self.now - at < ELECTION_TIMEOUT
        }

    @property
    def active(self) -> bool:
        """Whether it is the primary and a majority answered within ELECTION_TIMEOUT."""
        return self.state == "primary" and self.is_majority(self.view, self.responsive)

    @property
    def has_primary(self) -> bool:
        """Whether it is the active primary, or follows one that was active within ELECTION_TIMEOUT."""
        return self.active or (
            self.state == "follower"
            and bool(self.primary)
            and self.now - self.primary_seen_at < ELECTION_TIMEOUT
        )

    @property
    def rank(self) -> int:
        """Its index in the list of voters, by which election timeouts are staggered."""
        return self.voters.index(self.ip) if self.ip in self.voters else len(self.view.voters)

    def note_activity(self) -> None:
        """Restarts the election timeout: a primary or a candidate is active."""
        self.undisturbed = False
        self.primary_seen_at = self.now
        self.election_at = self.now + ELECTION_TIMEOUT + ELECTION_STAGGER * self.rank

    def save(self, *then: tuple[str, str, Any]) -> None:
        self.saves.append(
            Save(
                Stored(
                    self.promised,
                    self.view.SerializeToString(),
                    self.member,
                    self.conf,
                    self.lost_state,
                    self.voted,
                ),
                then,
            )
        )

    def send(self, to: str, kind: str, message: Any) -> None:
        self.outbox.append((to, kind, message))

    def others(self, view: View | None = None) -> list[str]:
        view = self.view if view is None else view
        return [voter for voter in dict.fromkeys((*view.voters, *view.before)) if voter != self.ip]

    def non_voters(self) -> list[str]:
        """Linked controllers that have no vote."""
        return sorted(self.linked - {self.ip, *self.view.voters, *self.view.before})

    def step_down(self) -> None:
        """Becomes a follower, and answers all waiting calls."""
        if self.state == "primary":
            self.events.append((204, {"epoch": self.epoch}))
        self.state = "follower"
        for pending in self.queue:  # it may still come into force, so the outcome is unknown
            self.answers += [Answer(call, UNKNOWN) for call, _ in pending.calls]
        self.answers += [Answer(read.call, UNABLE) for read in self.reads]
        self.queue, self.reads, self.votes, self.offered, self.next_voters = [], [], {}, None, None
        self.learners.clear()

    def promise_epoch(self, epoch: int) -> None:
        if epoch > self.promised:
            self.promised, self.voted = epoch, ""
            if self.state != "follower" and self.epoch < epoch:
                self.step_down()

    # ---- time

    def tick(self, now: float) -> None:
        self.now = now
        if self.lost_state:
            if now - self.state_requested_at > 0.5:
                self.state_requested_at = now
                # Every linked controller has the list of voters; those of the settings may all be gone.
                for voter in dict.fromkeys((*self.others(), *self.non_voters())):
                    self.send(voter, "canvass", Canvass(epoch=0))
            return
        if self.state == "primary":
            if now - self.heartbeat_sent_at >= HEARTBEAT_INTERVAL:
                self.send_heartbeats()
            members = [m for m in self.view.members if m != self.ip]
            late = [
                m for m in members if now - self.answered_at.get(m, self.phase_began_at) > ELECTION_TIMEOUT
            ]
            if (late and now - self.phase_began_at > ELECTION_TIMEOUT) or (
                not self.active and now - self.phase_began_at > 2.0 * ELECTION_TIMEOUT
            ):
                if not self.reaches_majority:
                    self.step_down()
                    self.election_at = now + ELECTION_STAGGER
                    return
                self.start_election(late)  # with another backup, if a majority agrees
            elif self.leaving and not self.queue:
                if (successor := self.successor()) is not None:
                    self.resign(successor)
                    return
            elif (
                (out := self.leaving_members())
                and now - self.phase_began_at > HEARTBEAT_INTERVAL
                and not self.queue
            ):
                self.start_election(out)
            elif (
                now - self.phase_began_at > (HEARTBEAT_INTERVAL if self.view.before else ELECTION_TIMEOUT)
                and not self.queue
                and not self.reads
                and (voter_change := self.voter_change()) is not None
            ):
                self.start_election([m for m in self.view.voters if m not in self.responsive], voter_change)
            if self.queue and now - self.write_sent_at >= HEARTBEAT_INTERVAL:
                self.send_write()  # a message may be lost with its link
            for pending in [p for p in self.queue if p.until <= now]:
                self.answers += [Answer(call, UNKNOWN) for call, _ in pending.calls]
                pending.calls, pending.until = [], 1e18
            for read in [r for r in self.reads if r.until <= now]:
                self.reads.remove(read)
                self.answers.append(Answer(read.call, UNABLE))
        elif self.state == "follower":
            # once only: a candidate then has time for its round
            if self.undisturbed and self.majority_without_primary:
                self.election_at = min(
                    self.election_at, self.started_at + NO_PRIMARY_STAGGER * (1 + self.rank)
                )
            if self.ip in self.voters and now >= self.election_at and not self.leaving:
                if self.reaches_majority:
                    self.start_election(sorted(self.shutting_down))
                else:  # without a majority the epoch cannot win, and would only disturb the followers
                    self.election_at = now + ELECTION_STAGGER
        elif now - self.phase_began_at <= ROUND_TIMEOUT:
            if now - self.write_sent_at >= HEARTBEAT_INTERVAL:  # a message may be lost with its link
                self.write_sent_at = now
                if self.state == "installing":
                    self.send_offer()
                else:
                    self.request_missing_votes()
                    if self.is_majority(self.newest_view(), self.votes):
                        self.offer()
        else:
            self.step_down()
            self.election_at = now + ELECTION_STAGGER * self.rank

    # ---- planned shutdown

    def leave(self) -> None:
        """Starts a planned shutdown: leadership and membership are handed over first."""
        self.leaving = True

    @property
    def needed(self) -> bool:
        """Whether it is the primary or a candidate, or its disk holds one of the required replicas."""
        return self.state != "follower" or (self.member and self.ip in self.view.members)

    def is_staying(self, voter: str) -> bool:
        return voter != self.ip and voter in self.responsive and voter not in self.shutting_down

    def successor(self) -> str | None:
        """As primary: the next primary, preferably a member of the view; None if every voter is leaving."""
        return next(
            (voter for voter in (*self.view.members, *self.view.voters) if self.is_staying(voter)), None
        )

    def leaving_members(self) -> list[str]:
        """As primary: members that are shutting down, if other voters can replace all of them."""
        out = [member for member in self.view.members if member in self.shutting_down]
        spare = [
            voter for voter in self.view.voters if self.is_staying(voter) and voter not in self.view.members
        ]
        return out if len(spare) >= len(out) else []

    def resign(self, successor: str) -> None:
        """Steps down at once; the successor starts an election without waiting for its timeout."""
        message = Resign(epoch=self.epoch, heir=successor)
        self.step_down()
        self.primary, self.primary_seen_at = "", -1e9
        for voter in self.others():
            self.send(voter, "resign", message)

    def resigned(self, sender: str, message: Resign) -> None:
        if self.state != "follower" or message.epoch != self.view.epoch or sender != self.view.primary:
            return
        self.primary, self.primary_seen_at = "", -1e9
        self.shutting_down.add(sender)
        self.election_at = (
            self.now
            if message.heir == self.ip
            else self.now + ELECTION_TIMEOUT + ELECTION_STAGGER * self.rank
        )

    # ---- elections

    def voter_change(self) -> tuple[list[str], list[str]] | None:
        """As primary: the voters of the next view and the old voters; None if nothing changes."""
        voters = self.voters
        if self.view.before:
            return voters, []  # the joint view is in force, so the old voters can go
        fresh = sorted(self.learners)
        waits = [self.now - since for since in self.learners.values()]
        if waits and min(waits) < JOIN_WINDOW and max(waits) < 3.0 * JOIN_WINDOW:
            return None
        away = [
            v
            for v in voters
            if v != self.ip and self.now - self.answered_at.get(v, self.phase_began_at) >= REPLACEABLE_AFTER
        ]
        if fresh and len(away) < sum(v not in self.responsive for v in voters):
            return None  # the voter to replace is not certain yet
        after = list(voters)
        for learner in fresh:
            if away:
                after[after.index(away.pop(0))] = learner
            elif len(after) < MAX_VOTERS:
                after.append(learner)
        if not fresh and away and len(after) % 2 == 0:
            after.remove(away[0])  # an even number tolerates no more losses than one less
        return (sorted(after), voters) if after != voters else None

    def start_election(
        self, avoided: list[str] | None = None, voter_change: tuple[list[str], list[str]] | None = None
    ) -> None:
        """Starts an election. `voter_change`: new and old voters; only the primary in force sets it."""
        count = max(len(self.voters), 1)
        place = self.voters.index(self.ip)
        if self.state == "primary":
            self.step_down()
        self.undisturbed = False
        self.epoch = self.promised = (self.promised // count + 1) * count + place
        self.voted = self.ip
        self.next_voters = None if voter_change is None else (self.view.epoch, *voter_change)
        self.state, self.phase_began_at, self.votes, self.installed = "candidate", self.now, {}, set()
        self.write_sent_at = self.now
        self.avoided = set(avoided or ())
        own = Vote(
            epoch=self.epoch,
            granted=True,
            promised=self.epoch,
            view=self.view,
            whole=self.member,
            conf=self.conf if self.member else b"",
        )
        self.save(
            (self.ip, "vote", own),
            *[(voter, "canvass", Canvass(epoch=self.epoch)) for voter in self.others()],
        )
        self.events.append((201, {"epoch": self.epoch}))

    def canvass(self, sender: str, message: Canvass) -> None:
        # the same candidate may get its vote again, as the first answer may be lost
        again = message.epoch == self.promised > self.view.epoch and self.voted == sender
        free = (
            self.now - self.primary_seen_at > 0.6 * ELECTION_TIMEOUT
            or self.primary == sender
            or self.state in ("candidate", "installing")
        )
        granted = not self.lost_state and (
            again or (message.epoch > self.promised and free and not self.active)
        )
        vote = Vote(
            epoch=message.epoch,
            granted=granted,
            view=self.view,
            whole=self.member,
            conf=self.conf if self.member else b"",
            blank=self.lost_state,
        )
        if granted:
            self.promise_epoch(message.epoch)
            vote.promised, self.voted, self.undisturbed = self.promised, sender, False
            self.save((sender, "vote", vote))
            # time for the candidate's round
            self.election_at = self.now + ELECTION_TIMEOUT + ELECTION_STAGGER * self.rank
        else:
            vote.promised = self.promised
            self.send(sender, "vote", vote)

    def vote(self, sender: str, message: Vote) -> None:
        if message.epoch == 0:
            self.learn(sender, message)
            return
        if self.state != "candidate" or message.epoch != self.epoch:
            return
        if not message.granted:
            if message.promised > self.promised:  # the next candidacy is above that epoch
                self.promise_epoch(message.promised)
                self.election_at = self.now + ELECTION_STAGGER * self.rank
                self.save()
            return
        self.votes[sender] = message
        newest = self.newest_view()
        if self.ip not in newest.voters:
            self.step_down()  # the newest view does not include it as a voter
            self.election_at = self.now + REPLACEABLE_AFTER
        elif self.is_majority(newest, self.votes):
            self.offer()
        elif sender != self.ip and newest.epoch > self.view.epoch:
            self.request_missing_votes()  # the newest view has other voters than its own

    def newest_view(self) -> View:
        """The newest view in the votes received."""
        return max(
            (vote.view for vote in self.votes.values()), key=lambda view: int(view.epoch), default=self.view
        )

    def request_missing_votes(self) -> None:
        """Requests votes from those that have not answered."""
        for voter in dict.fromkeys((*self.others(), *self.others(self.newest_view()))):
            if voter not in self.votes:
                self.send(voter, "canvass", Canvass(epoch=self.epoch))

    def offer(self) -> None:
        """With a majority of votes: offers a view with new members and the newest configuration of the old
        ones.
        """
        newest = max(vote.view.epoch for vote in self.votes.values())
        whole = [vote for vote in self.votes.values() if vote.view.epoch == newest and vote.whole]
        if not whole:
            return  # needs the vote of a member of the newest view; more votes may come
        view = next(vote.view for vote in whole)
        conf = max((vote.conf for vote in whole), key=self.read_key)
        voters, before = list(view.voters), list(view.before)
        if self.next_voters is not None and self.next_voters[0] == view.epoch:
            _, voters, before = self.next_voters
        able = sorted(
            (voter for voter in self.votes if voter != self.ip and voter in voters),
            key=lambda v: (v in self.avoided, v not in view.members, v),
        )
        if len(able) + 1 < min(self.copies, len(voters)):
            return
        members = [self.ip, *able[: self.copies - 1]]
        if self.shutting_down.intersection(members) and self.votes_outstanding():
            return  # prefer a member that is not shutting down: its vote may still come
        self.base_view = view
        self.offered = (
            View(epoch=self.epoch, primary=self.ip, members=members, voters=voters, before=before),
            conf,
        )
        self.state, self.installed = "installing", set()
        self.send_offer()

    def votes_outstanding(self) -> bool:
        """Within one heartbeat interval of the election: linked voters that stay have not answered yet."""
        waits = self.linked.intersection(self.voters) - self.votes.keys() - self.shutting_down
        return bool(waits) and self.now - self.phase_began_at < HEARTBEAT_INTERVAL

    def send_offer(self) -> None:
        """Sends the view to those that have not installed it, members before witnesses. Otherwise a majority
        could have a newest view that none of its members has installed.
        """
        if self.offered is None:
            return
        view, self.write_sent_at = self.offered[0], self.now
        members = [m for m in view.members if m not in self.installed]
        rest = dict.fromkeys((self.ip, *self.others(view), *self.others(self.base_view)))
        for voter in members or [v for v in rest if v not in self.installed]:
            self.offer_to(voter)

    @staticmethod
    def read_key(conf: bytes) -> Key:
        found = Conf.FromString(conf)
        return (int(found.gen), int(found.seq)) if conf else (-1, 0)

    def offer_to(self, voter: str) -> None:
        if self.offered is not None:
            view, conf = self.offered
            if self.state == "primary" and self.queue and self.queue[0].number:
                # it may have acknowledged the change being written and then lost its disk
                conf = max(conf, self.queue[0].conf, key=self.read_key)
            message = Install(view=view, conf=conf if voter in view.members else b"")
            if voter == self.ip:
                self.install(self.ip, message)
            else:
                self.send(voter, "install", message)

    def install(self, sender: str, message: Install) -> None:
        epoch = message.view.epoch
        if self.lost_state or epoch < self.promised:
            self.send(sender, "installed", Installed(epoch=epoch, ok=False, promised=self.promised))
            return
        self.promise_epoch(epoch)
        if epoch > self.view.epoch or (not self.member and self.ip in message.view.members):
            self.view = View.FromString(message.view.SerializeToString())
            self.member = self.ip in message.view.members
            self.conf = message.conf if self.member else b""
        self.note_activity()
        self.save((sender, "installed", Installed(epoch=epoch, ok=True, promised=self.promised)))

    def installs(self, sender: str, message: Installed) -> None:
        if message.promised > self.promised and not message.ok:
            self.promise_epoch(message.promised)
            self.save()
            return
        if not message.ok or message.epoch != self.epoch:
            return
        self.answered_at[sender] = self.now
        if self.state != "installing" or self.offered is None:
            return
        self.installed.add(sender)
        view, conf = self.offered
        if self.installed == set(view.members):
            self.send_offer()
        if (
            self.installed >= set(view.members)
            and self.is_majority(view, self.installed)
            and self.is_majority(self.base_view, self.installed)
        ):
            self.state, self.primary, self.phase_began_at = "primary", self.ip, self.now
            self.answered_at = {voter: self.now for voter in self.installed}
            self.answered = {}
            self.key = self.read_key(conf)
            self.known_gen = self.key[0]
            self.events.append((203, {"epoch": self.epoch, "members": ",".join(view.members)}))
            self.in_force = conf
            if conf:
                self.committed.append(conf)
            self.send_heartbeats()

    # ---- primary

    def send_heartbeats(self) -> None:
        self.heartbeat_sent_at, self.number = self.now, self.number + 1
        for voter in [*self.others(), *self.non_voters()]:
            self.send(voter, "beat", Beat(epoch=self.epoch, gen=max(0, self.key[0]), number=self.number))

    def beats(self, sender: str, message: Beat) -> None:
        if message.epoch >= self.promised and message.epoch == self.view.epoch:
            self.primary, self.known_gen = sender, message.gen
            self.note_activity()
            if self.state != "follower":
                self.step_down()
        elif message.epoch >= self.promised:  # a view it has not installed: the primary offers it again
            self.note_activity()
        self.send(
            sender,
            "beaten",
            Beaten(
                epoch=self.view.epoch,
                number=message.number,
                promised=self.promised,
                blank=self.lost_state,
                member=self.member,
            ),
        )

    def beaten(self, sender: str, message: Beaten) -> None:
        if message.promised > self.epoch and self.state in ("primary", "installing"):
            self.promise_epoch(message.promised)
            self.save()
            return
        if self.state != "primary":
            return
        # a member that lost its disk may have the view again but not the configuration
        if (
            message.epoch != self.epoch
            or message.blank
            or (sender in self.view.members and not message.member)
        ):
            if not message.blank:
                self.offer_to(sender)
            return
        self.answered_at[sender] = self.now
        self.answered[sender] = max(message.number, self.answered.get(sender, 0))
        if sender in self.voters:
            self.learners.pop(sender, None)
        else:
            self.learners.setdefault(sender, self.now)
        self.serve_reads()

    def serve_reads(self) -> None:
        for read in list(self.reads):
            backups = [m for m in self.view.members if m != self.ip]
            there = {self.ip} | {voter for voter, n in self.answered.items() if n >= read.heartbeat}
            if self.is_majority(self.view, there) and all(
                self.answered.get(m, 0) >= read.heartbeat for m in backups
            ):
                self.reads.remove(read)
                self.answers.append(Answer(read.call, read.status))

    def read(self, call: int, status: int = OK) -> None:
        """Answers with `status` once a majority has confirmed that this controller is still the primary."""
        if not self.active or len(self.reads) >= MAX_WAITING_CALLS:
            self.answers.append(Answer(call, UNABLE))
            return
        self.send_heartbeats()
        self.reads.append(Read(call, self.number, self.now + CALL_TIMEOUT, status))
        self.serve_reads()

    def newest(self) -> bytes:
        """The configuration in force or being written: the base of the next change."""
        return self.queue[-1].conf if self.queue else self.in_force

    def put(self, call: int, conf: bytes) -> None:
        """Answers OK once the backups have it. A number that is not newer changes nothing: the answer is OK
        if the content is the one of that number, CONFLICT if it is another, SUPERSEDED if it is not recorded.
        """
        if not self.active or len(self.queue) >= MAX_WAITING_CALLS or self.undersized:
            self.answers.append(Answer(call, UNABLE))
            return
        key, newest = self.read_key(conf), max([self.key, *[p.key for p in self.queue]])
        if key > newest:
            self.queue.append(PendingChange(call, key, conf, self.now + CALL_TIMEOUT))
            if len(self.queue) == 1:
                self.write_next()
            return
        found = conf_history.match(Conf.FromString(self.newest()), Conf.FromString(conf))
        status = STATUS_OF_MATCH[found]
        if not self.queue:
            self.read(call, status)
            return
        # the content of the number is certain once the change in progress is in force
        self.queue[-1].calls.append((call, status))
        self.queue[-1].until = min(self.queue[-1].until, self.now + CALL_TIMEOUT)

    def write_next(self) -> None:
        first = self.queue[0]
        self.number += 1
        first.number, first.needs = self.number, set(self.view.members)
        self.send_write()

    def send_write(self) -> None:
        """Sends the first change to the members that have not acknowledged it."""
        first, self.write_sent_at = self.queue[0], self.now
        message = Write(epoch=self.epoch, number=first.number, conf=first.conf)
        for member in self.view.members:
            if member not in first.needs:
                continue
            if member == self.ip:
                self.write(self.ip, message)
            else:
                self.send(member, "write", message)

    def write(self, sender: str, message: Write) -> None:
        if message.epoch != self.promised or message.epoch != self.view.epoch or not self.member:
            self.send(
                sender,
                "written",
                Written(epoch=message.epoch, number=message.number, ok=False, promised=self.promised),
            )
            return
        if self.read_key(message.conf) >= self.read_key(self.conf):
            self.conf = message.conf  # otherwise it is a repeated message that was overtaken
        if sender != self.ip:
            self.note_activity()
        self.save(
            (
                sender,
                "written",
                Written(epoch=message.epoch, number=message.number, ok=True, promised=self.promised),
            )
        )

    def written(self, sender: str, message: Written) -> None:
        if not message.ok:
            if message.promised > self.promised:
                self.promise_epoch(message.promised)
                self.save()
            return
        if self.state != "primary" or message.epoch != self.epoch or not self.queue:
            return
        self.answered_at[sender] = self.now
        first = self.queue[0]
        if message.number != first.number:
            return
        first.needs.discard(sender)
        if not first.needs:
            self.queue.pop(0)
            self.key, self.in_force = first.key, first.conf
            self.known_gen = self.key[0]
            self.committed.append(first.conf)
            self.offered = (self.view, first.conf)
            self.answers += [Answer(call, status) for call, status in first.calls]
            self.events.append((205, {"gen": first.key[0], "seq": first.key[1], "epoch": self.epoch}))
            self.send_heartbeats()
            if self.queue:
                self.write_next()

    # ---- recovery from a lost disk

    def learn(self, sender: str, message: Vote) -> None:
        """Becomes a voter again once it has the promised epochs of a majority of the others."""
        if not self.lost_state or message.blank:
            return
        self.learned_votes[sender] = message
        view = max((vote.view for vote in self.learned_votes.values()), key=lambda v: v.epoch)
        if not view.voters:
            return
        # a majority of each set of voters, not counting itself
        if all(
            sum(s in voters and s != self.ip for s in self.learned_votes)
            >= min(len(voters) // 2 + 1, len(voters) - (self.ip in voters))
            for voters in (view.voters, view.before)
            if voters
        ):
            self.view = View.FromString(view.SerializeToString())
            self.promised, self.voted = (
                max([view.epoch, *[v.promised for v in self.learned_votes.values()]]),
                "",
            )
            self.member, self.conf, self.lost_state = False, b"", False
            self.note_activity()
            self.events.append((206, {"epoch": self.promised}))
            self.save()
