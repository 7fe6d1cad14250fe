"""Who is the primary, and the configuration that it and its backups have. No socket, no disk, no clock.

A primary writes to its backups' disks before it answers. Voters that are neither keep only the epoch and the
view; a majority of voters decides who takes over. A voter votes once in an epoch. What was
acknowledged is with every member of the newest view; a vote tells the voter's view, so that each majority
knows the newest one, and at least one of its members is asked.

Who votes changes in two views, each by the primary of the one before, which is in force: the first has the
new voters and those before them, and needs a majority of either; the second the new ones alone (the joint
consensus of Ongaro and Ousterhout's Raft, on views in place of log entries). So a majority of the voters of
the last view in force is in whatever was offered since, and whoever is asked next hears of the newest.

Offices are known here by their ip: it stands in every process's settings.
"""

from __future__ import annotations

from collections.abc import Container
from typing import Any, NamedTuple

from opalwick.post.office import numbers
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

BEAT = 0.2  # s between the primary's beats: a word a voter, lost only with the link
LATE = 0.8  # s without a beat until a voter looks for another primary: four beats
STEP = 0.3  # s by which voters differ in that, by their place in the list: a round of votes takes 0.1
EARLY = 0.25  # s after its start that a voter waits for a primary that is there: a beat, and a link's rise
EARLY_STEP = 0.12  # s by which voters differ then: a link's rise and a round of votes
AT_ONCE = 0.05  # s by which they differ where a majority said that it hears no primary: some trips, a sync
ROUND = 1.0  # s for votes or for a view to be installed: a sync and two trips, with room
CALL = 0.8  # s that a call may wait for backups: callers give up after a second
FEW = 64  # calls that may wait at once
# s unheard until a voter's place is free for another office: over a restart of its process, and under what a
# deployment gives a new machine until the next one may be lost
AWAY = 2.0
JOINED = 0.6  # s since the last office came that are waited for more, thrice at most: they join together
GROWN = 8.0  # s from its start that a primary takes nothing while too few vote: twice a slow start
MOST = 9  # voters: a core of more is judged by those that have just acknowledged something


# statuses of a put: it is in force, or was; the number stands for another content; it is older than what is
# in force and never was, as far as is remembered, and alters nothing
OK, CONFLICT, SUPERSEDED = 200, 409, 208
UNKNOWN, UNABLE = 504, 503  # it may be in force or not; nothing has happened

STATUS = {numbers.Match.SAME: OK, numbers.Match.OTHER: CONFLICT, numbers.Match.UNKNOWN: SUPERSEDED}

Key = tuple[int, int]  # of a configuration: its number, and changes beside it


class Stored(NamedTuple):
    """What is on the disk, whole, at each write."""

    promised: int
    view: bytes
    member: bool  # the configuration is that of a member of the view
    conf: bytes  # a Conf, or empty
    blank: bool
    voted: str = ""  # for whom, in the epoch promised


class Save(NamedTuple):
    """`then`: words for offices (for this one itself too), once it is synced."""

    stored: Stored
    then: tuple[tuple[str, str, Any], ...]


class Answer(NamedTuple):
    call: int
    status: int


class Read(NamedTuple):
    """A call that is answered with `status` once it is sure that no other office is the primary."""

    call: int
    beat: int  # that a majority must answer
    until: float
    status: int


class Pending:
    """A change on its way, and the calls that wait for it, each with its status once that is in force."""

    __slots__ = ("calls", "conf", "key", "needs", "number", "until")

    def __init__(self, call: int, key: Key, conf: bytes, until: float) -> None:
        self.calls, self.key, self.conf, self.until = [(call, OK)], key, conf, until
        self.number, self.needs = 0, set[str]()


class Views:
    def __init__(
        self, me: str, copies: int, stored: Stored | None, voters: list[str], blank: bool, now: float
    ) -> None:
        """`copies`: disks that must have a configuration. `voters`: at the first start, else as stored."""
        self.me, self.copies, self.now = me, copies, now
        first = stored is None and not blank
        if stored is None:
            view = View(epoch=0, voters=sorted(voters), members=sorted(voters))
            stored = Stored(0, view.SerializeToString(), not blank and me in voters, b"", blank)
        self.promised, self.voted, self.member = stored.promised, stored.voted, stored.member
        self.conf, self.blank = stored.conf, stored.blank
        self.view = View.FromString(stored.view)
        self.key = (-1, 0)  # of what is in force, as primary: number, changes beside it
        self.state = "follower"  # candidate, installing, primary
        self.epoch = 0  # that this one stands for
        self.beat_at = -1e9  # when the primary was last heard, in this life
        self.born = now
        self.fresh = True  # no primary, and nobody who stands, heard in this life
        self.look_at = now + EARLY + EARLY_STEP * self.rank  # when it looks for another, if it hears none
        self.primary = ""  # who is believed to be it
        self.in_force = b""  # as primary: the newest that all members have
        self.known_gen = -1  # the newest that a primary said is committed
        self.began = now
        self.unsettled = set[str]()  # offices that said last that they hear no primary
        self.linked = set[str]()  # offices that there is a link to, by ip; the role's
        self.votes: dict[str, Vote] = {}
        self.without: set[str] = set()  # backups that did not answer: the last to be chosen again
        self.installed: set[str] = set()
        self.offered: tuple[View, bytes] | None = None
        # a change of the voters: epoch of the view that it follows, voters, before
        self.next: tuple[int, list[str], list[str]] | None = None
        self.base = self.view  # the view that the one offered follows
        self.joined: dict[str, float] = {}  # as primary: who answers and has no vote, since when
        self.number = 0  # of writes and beats
        self.heard_at: dict[str, float] = {}  # as primary: voters' answers to beats
        self.answered: dict[str, int] = {}  # the last beat that each answered
        self.said_at = self.wrote_at = -1e9
        self.queue: list[Pending] = []  # changes, the first is on its way
        self.reads: list[Read] = []
        self.leaving = False  # this process is about to end
        self.leavers = set[str]()  # offices that said so of themselves
        self.learned: dict[str, Vote] = {}  # blank: what the others said
        self.asked_at = -1e9
        self.saves: list[Save] = []
        self.sends: list[tuple[str, str, Any]] = []
        self.answers: list[Answer] = []
        self.committed: list[bytes] = []
        self.events: list[tuple[int, dict[str, Any]]] = []
        if first:
            self.save()  # a start after this one must not take its disk for a lost one

    def effects(self) -> tuple[list[Save], list[tuple[str, str, Any]], list[Answer], list[bytes]]:
        found = self.saves, self.sends, self.answers, self.committed
        self.saves, self.sends, self.answers, self.committed = [], [], [], []
        return found

    # ---- small things

    @property
    def voters(self) -> list[str]:
        return list(self.view.voters)

    @staticmethod
    def enough(view: View, who: Container[str]) -> bool:
        """Whether they decide: a majority of that view's voters, and of those before them if it has any."""
        return all(
            2 * sum(voter in who for voter in voters) > len(voters)
            for voters in (view.voters, view.before)
            if voters
        )

    @property
    def short(self) -> bool:
        """So few vote that with as many lost as are borne no majority would be left; more may come."""
        return len(self.view.voters) < 2 * self.copies - 1 and self.now - self.born < GROWN

    @property
    def primaryless(self) -> bool:
        """Whether a majority, itself included, has said in its life that it hears no primary."""
        return self.enough(self.view, {self.me} | self.linked & self.unsettled)

    @property
    def reaches(self) -> bool:
        """Whether it has links to a majority, itself included."""
        return self.enough(self.view, {self.me} | self.linked)

    @property
    def lately(self) -> set[str]:
        """As primary: who has answered it of late, itself included."""
        return {self.me} | {voter for voter, at in self.heard_at.items() if self.now - at < LATE}

    @property
    def active(self) -> bool:
        """It is the primary, and a majority answered it of late."""
        return self.state == "primary" and self.enough(self.view, self.lately)

    @property
    def settled(self) -> bool:
        """It is, or has of late heard, a primary."""
        return self.active or (
            self.state == "follower" and bool(self.primary) and self.now - self.beat_at < LATE
        )

    @property
    def rank(self) -> int:
        """Its place among the voters, by which they differ."""
        return self.voters.index(self.me) if self.me in self.voters else len(self.view.voters)

    def hears(self) -> None:
        """A primary is there, or somebody stands for it."""
        self.fresh = False
        self.beat_at = self.now
        self.look_at = self.now + LATE + STEP * self.rank

    def save(self, *then: tuple[str, str, Any]) -> None:
        self.saves.append(
            Save(
                Stored(
                    self.promised,
                    self.view.SerializeToString(),
                    self.member,
                    self.conf,
                    self.blank,
                    self.voted,
                ),
                then,
            )
        )

    def say(self, to: str, kind: str, word: Any) -> None:
        self.sends.append((to, kind, word))

    def others(self, view: View | None = None) -> list[str]:
        view = self.view if view is None else view
        return [voter for voter in dict.fromkeys((*view.voters, *view.before)) if voter != self.me]

    def onlookers(self) -> list[str]:
        """Offices that have no vote."""
        return sorted(self.linked - {self.me, *self.view.voters, *self.view.before})

    def follow(self) -> None:
        """No primary any more, nor a candidate."""
        if self.state == "primary":
            self.events.append((204, {"epoch": self.epoch}))
        self.state = "follower"
        for pending in self.queue:  # it may yet be in force: no clear answer
            self.answers += [Answer(call, UNKNOWN) for call, _ in pending.calls]
        self.answers += [Answer(read.call, UNABLE) for read in self.reads]
        self.queue, self.reads, self.votes, self.offered, self.next = [], [], {}, None, None
        self.joined.clear()

    def promise(self, epoch: int) -> None:
        if epoch > self.promised:
            self.promised, self.voted = epoch, ""
            if self.state != "follower" and self.epoch < epoch:
                self.follow()

    # ---- time

    def tick(self, now: float) -> None:
        self.now = now
        if self.blank:
            if now - self.asked_at > 0.5:
                self.asked_at = now
                # whoever is there knows who votes: of those that it was told of none may be left
                for voter in dict.fromkeys((*self.others(), *self.onlookers())):
                    self.say(voter, "canvass", Canvass(epoch=0))
            return
        if self.state == "primary":
            if now - self.said_at >= BEAT:
                self.beat()
            members = [m for m in self.view.members if m != self.me]
            late = [m for m in members if now - self.heard_at.get(m, self.began) > LATE]
            if (late and now - self.began > LATE) or (not self.active and now - self.began > 2.0 * LATE):
                if not self.reaches:
                    self.follow()
                    self.look_at = now + STEP
                    return
                self.stand(late)  # with another backup, where a majority goes along
            elif self.leaving and not self.queue:
                if (heir := self.heir()) is not None:
                    self.resign(heir)
                    return
            elif (out := self.members_that_leave()) and now - self.began > BEAT and not self.queue:
                self.stand(out)
            elif (
                now - self.began > (BEAT if self.view.before else LATE)
                and not self.queue
                and not self.reads
                and (change := self.change()) is not None
            ):
                self.stand([m for m in self.view.voters if m not in self.lately], change)
            if self.queue and now - self.wrote_at >= BEAT:
                self.say_write()  # a word may be lost with its link
            for pending in [p for p in self.queue if p.until <= now]:
                self.answers += [Answer(call, UNKNOWN) for call, _ in pending.calls]
                pending.calls, pending.until = [], 1e18
            for read in [r for r in self.reads if r.until <= now]:
                self.reads.remove(read)
                self.answers.append(Answer(read.call, UNABLE))
        elif self.state == "follower":
            if self.fresh and self.primaryless:  # once: then whoever stands has its time
                self.look_at = min(self.look_at, self.born + AT_ONCE * (1 + self.rank))
            if self.me in self.voters and now >= self.look_at and not self.leaving:
                if self.reaches:
                    self.stand(sorted(self.leavers))
                else:  # an epoch that none can vote for only unsettles who follows
                    self.look_at = now + STEP
        elif now - self.began <= ROUND:
            if now - self.wrote_at >= BEAT:  # a word may be lost with its link
                self.wrote_at = now
                if self.state == "installing":
                    self.offer_on()
                else:
                    self.canvass_on()
                    if self.enough(self.newest_view(), self.votes):
                        self.offer()
        else:
            self.follow()
            self.look_at = now + STEP * self.rank

    # ---- a planned end

    def leave(self) -> None:
        """This process is about to end: what it has alone must be elsewhere first."""
        self.leaving = True

    @property
    def needed(self) -> bool:
        """Whether it is the primary, or its disk one of those that what is acknowledged rests on."""
        return self.state != "follower" or (self.member and self.me in self.view.members)

    def stays(self, voter: str) -> bool:
        return voter != self.me and voter in self.lately and voter not in self.leavers

    def heir(self) -> str | None:
        """As primary: who is to be it next, a member if one stays."""
        return next((voter for voter in (*self.view.members, *self.view.voters) if self.stays(voter)), None)

    def members_that_leave(self) -> list[str]:
        """As primary: members that are about to end, where another voter can take the place of each."""
        out = [member for member in self.view.members if member in self.leavers]
        spare = [voter for voter in self.view.voters if self.stays(voter) and voter not in self.view.members]
        return out if len(spare) >= len(out) else []

    def resign(self, heir: str) -> None:
        """It serves no more, from this moment on; the heir need not wait until it is missed."""
        word = Resign(epoch=self.epoch, heir=heir)
        self.follow()
        self.primary, self.beat_at = "", -1e9
        for voter in self.others():
            self.say(voter, "resign", word)

    def resigned(self, sender: str, word: Resign) -> None:
        if self.state != "follower" or word.epoch != self.view.epoch or sender != self.view.primary:
            return
        self.primary, self.beat_at = "", -1e9
        self.leavers.add(sender)
        self.look_at = self.now if word.heir == self.me else self.now + LATE + STEP * self.rank

    # ---- standing for primary

    def change(self) -> tuple[list[str], list[str]] | None:
        """As primary: who is to vote in the next view, and who before; none where nothing changes."""
        voters = self.voters
        if self.view.before:
            return voters, []  # this view is in force: those before it are done with
        fresh = sorted(self.joined)
        waits = [self.now - since for since in self.joined.values()]
        if waits and min(waits) < JOINED and max(waits) < 3.0 * JOINED:
            return None
        away = [v for v in voters if v != self.me and self.now - self.heard_at.get(v, self.began) >= AWAY]
        if fresh and len(away) < sum(v not in self.lately for v in voters):
            return None  # whose place it takes is seen in a moment
        after = list(voters)
        for ip in fresh:
            if away:
                after[after.index(away.pop(0))] = ip
            elif len(after) < MOST:
                after.append(ip)
        if not fresh and away and len(after) % 2 == 0:
            after.remove(away[0])  # of an even number one less bears as many losses
        return (sorted(after), voters) if after != voters else None

    def stand(
        self, without: list[str] | None = None, change: tuple[list[str], list[str]] | None = None
    ) -> None:
        """`change`: of the voters, by the primary of the view in force."""
        count = max(len(self.voters), 1)
        place = self.voters.index(self.me)
        if self.state == "primary":
            self.follow()
        self.fresh = False
        self.epoch = self.promised = (self.promised // count + 1) * count + place
        self.voted = self.me
        self.next = None if change is None else (self.view.epoch, *change)
        self.state, self.began, self.votes, self.installed = "candidate", self.now, {}, set()
        self.wrote_at = self.now
        self.without = set(without or ())
        own = Vote(
            epoch=self.epoch,
            granted=True,
            promised=self.epoch,
            view=self.view,
            whole=self.member,
            conf=self.conf if self.member else b"",
        )
        self.save(
            (self.me, "vote", own),
            *[(voter, "canvass", Canvass(epoch=self.epoch)) for voter in self.others()],
        )
        self.events.append((201, {"epoch": self.epoch}))

    def canvass(self, sender: str, word: Canvass) -> None:
        # it may have the same vote again, if the first was lost
        again = word.epoch == self.promised > self.view.epoch and self.voted == sender
        free = (
            self.now - self.beat_at > 0.6 * LATE
            or self.primary == sender
            or self.state in ("candidate", "installing")
        )
        granted = not self.blank and (again or (word.epoch > self.promised and free and not self.active))
        vote = Vote(
            epoch=word.epoch,
            granted=granted,
            view=self.view,
            whole=self.member,
            conf=self.conf if self.member else b"",
            blank=self.blank,
        )
        if granted:
            self.promise(word.epoch)
            vote.promised, self.voted, self.fresh = self.promised, sender, False
            self.save((sender, "vote", vote))
            self.look_at = self.now + LATE + STEP * self.rank  # it has its time
        else:
            vote.promised = self.promised
            self.say(sender, "vote", vote)

    def vote(self, sender: str, word: Vote) -> None:
        if word.epoch == 0:
            self.learn(sender, word)
            return
        if self.state != "candidate" or word.epoch != self.epoch:
            return
        if not word.granted:
            if word.promised > self.promised:  # the next time above it
                self.promise(word.promised)
                self.look_at = self.now + STEP * self.rank
                self.save()
            return
        self.votes[sender] = word
        newest = self.newest_view()
        if self.me not in newest.voters:
            self.follow()  # others vote by now, and it does not
            self.look_at = self.now + AWAY
        elif self.enough(newest, self.votes):
            self.offer()
        elif sender != self.me and newest.epoch > self.view.epoch:
            self.canvass_on()  # those who vote are not those whom it knew of

    def newest_view(self) -> View:
        """Of those that votes have told."""
        return max(
            (vote.view for vote in self.votes.values()), key=lambda view: int(view.epoch), default=self.view
        )

    def canvass_on(self) -> None:
        """Those that have not voted."""
        for voter in dict.fromkeys((*self.others(), *self.others(self.newest_view()))):
            if voter not in self.votes:
                self.say(voter, "canvass", Canvass(epoch=self.epoch))

    def offer(self) -> None:
        """With a majority's votes: the newest view among them, what its members have, and new members."""
        newest = max(vote.view.epoch for vote in self.votes.values())
        whole = [vote for vote in self.votes.values() if vote.view.epoch == newest and vote.whole]
        if not whole:
            return  # of the newest members one must be asked: more votes may come
        view = next(vote.view for vote in whole)
        conf = max((vote.conf for vote in whole), key=self.read_key)
        voters, before = list(view.voters), list(view.before)
        if self.next is not None and self.next[0] == view.epoch:
            _, voters, before = self.next
        able = sorted(
            (voter for voter in self.votes if voter != self.me and voter in voters),
            key=lambda v: (v in self.without, v not in view.members, v),
        )
        if len(able) + 1 < min(self.copies, len(voters)):
            return
        members = [self.me, *able[: self.copies - 1]]
        if self.leavers.intersection(members) and self.others_may_vote():
            return  # a vote of one that stays is on its way
        self.base = view
        self.offered = (
            View(epoch=self.epoch, primary=self.me, members=members, voters=voters, before=before),
            conf,
        )
        self.state, self.installed = "installing", set()
        self.offer_on()

    def others_may_vote(self) -> bool:
        """As candidate, for a moment: there are voters that stay and have not answered yet."""
        waits = self.linked.intersection(self.voters) - self.votes.keys() - self.leavers
        return bool(waits) and self.now - self.began < BEAT

    def offer_on(self) -> None:
        """To those that have not installed it: first the members, so that no view is the newest of a majority
        whose members do not have it; then the witnesses.
        """
        if self.offered is None:
            return
        view, self.wrote_at = self.offered[0], self.now
        members = [m for m in view.members if m not in self.installed]
        rest = dict.fromkeys((self.me, *self.others(view), *self.others(self.base)))
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
                # it may have said that it has what is being written, and have lost it since
                conf = max(conf, self.queue[0].conf, key=self.read_key)
            word = Install(view=view, conf=conf if voter in view.members else b"")
            if voter == self.me:
                self.install(self.me, word)
            else:
                self.say(voter, "install", word)

    def install(self, sender: str, word: Install) -> None:
        epoch = word.view.epoch
        if self.blank or epoch < self.promised:
            self.say(sender, "installed", Installed(epoch=epoch, ok=False, promised=self.promised))
            return
        self.promise(epoch)
        if epoch > self.view.epoch or (not self.member and self.me in word.view.members):
            self.view = View.FromString(word.view.SerializeToString())
            self.member = self.me in word.view.members
            self.conf = word.conf if self.member else b""
        self.hears()
        self.save((sender, "installed", Installed(epoch=epoch, ok=True, promised=self.promised)))

    def installs(self, sender: str, word: Installed) -> None:
        if word.promised > self.promised and not word.ok:
            self.promise(word.promised)
            self.save()
            return
        if not word.ok or word.epoch != self.epoch:
            return
        self.heard_at[sender] = self.now
        if self.state != "installing" or self.offered is None:
            return
        self.installed.add(sender)
        view, conf = self.offered
        if self.installed == set(view.members):
            self.offer_on()
        if (
            self.installed >= set(view.members)
            and self.enough(view, self.installed)
            and self.enough(self.base, self.installed)
        ):
            self.state, self.primary, self.began = "primary", self.me, self.now
            self.heard_at = {voter: self.now for voter in self.installed}
            self.answered = {}
            self.key = self.read_key(conf)
            self.known_gen = self.key[0]
            self.events.append((203, {"epoch": self.epoch, "members": ",".join(view.members)}))
            self.in_force = conf
            if conf:
                self.committed.append(conf)
            self.beat()

    # ---- as primary

    def beat(self) -> None:
        self.said_at, self.number = self.now, self.number + 1
        for voter in [*self.others(), *self.onlookers()]:
            self.say(voter, "beat", Beat(epoch=self.epoch, gen=max(0, self.key[0]), number=self.number))

    def beats(self, sender: str, word: Beat) -> None:
        if word.epoch >= self.promised and word.epoch == self.view.epoch:
            self.primary, self.known_gen = sender, word.gen
            self.hears()
            if self.state != "follower":
                self.follow()
        elif word.epoch >= self.promised:  # a view that it has not heard of: it is offered again
            self.hears()
        self.say(
            sender,
            "beaten",
            Beaten(
                epoch=self.view.epoch,
                number=word.number,
                promised=self.promised,
                blank=self.blank,
                member=self.member,
            ),
        )

    def beaten(self, sender: str, word: Beaten) -> None:
        if word.promised > self.epoch and self.state in ("primary", "installing"):
            self.promise(word.promised)
            self.save()
            return
        if self.state != "primary":
            return
        # a member that lost its disk meanwhile knows the view again, and not what its members have
        if word.epoch != self.epoch or word.blank or (sender in self.view.members and not word.member):
            if not word.blank:
                self.offer_to(sender)
            return
        self.heard_at[sender] = self.now
        self.answered[sender] = max(word.number, self.answered.get(sender, 0))
        if sender in self.voters:
            self.joined.pop(sender, None)
        else:
            self.joined.setdefault(sender, self.now)
        self.serve_reads()

    def serve_reads(self) -> None:
        for read in list(self.reads):
            backups = [m for m in self.view.members if m != self.me]
            there = {self.me} | {voter for voter, n in self.answered.items() if n >= read.beat}
            if self.enough(self.view, there) and all(self.answered.get(m, 0) >= read.beat for m in backups):
                self.reads.remove(read)
                self.answers.append(Answer(read.call, read.status))

    def read(self, call: int, status: int = OK) -> None:
        """Answered with `status` once it is sure that no other is the primary."""
        if not self.active or len(self.reads) >= FEW:
            self.answers.append(Answer(call, UNABLE))
            return
        self.beat()
        self.reads.append(Read(call, self.number, self.now + CALL, status))
        self.serve_reads()

    def newest(self) -> bytes:
        """What is in force, or on its way to be: what a change is made from."""
        return self.queue[-1].conf if self.queue else self.in_force

    def put(self, call: int, conf: bytes) -> None:
        """Answered with OK once the backups have it. A number that is not newer alters nothing: it is OK
        again with the content that it stands for, CONFLICT with another, else SUPERSEDED.
        """
        if not self.active or len(self.queue) >= FEW or self.short:
            self.answers.append(Answer(call, UNABLE))
            return
        key, newest = self.read_key(conf), max([self.key, *[p.key for p in self.queue]])
        if key > newest:
            self.queue.append(Pending(call, key, conf, self.now + CALL))
            if len(self.queue) == 1:
                self.write_next()
            return
        found = numbers.match(Conf.FromString(self.newest()), Conf.FromString(conf))
        status = STATUS[found]
        if not self.queue:
            self.read(call, status)
            return
        # what the number stands for is known once the change on its way is in force
        self.queue[-1].calls.append((call, status))
        self.queue[-1].until = min(self.queue[-1].until, self.now + CALL)

    def write_next(self) -> None:
        first = self.queue[0]
        self.number += 1
        first.number, first.needs = self.number, set(self.view.members)
        self.say_write()

    def say_write(self) -> None:
        """To those that have not said that they have it."""
        first, self.wrote_at = self.queue[0], self.now
        word = Write(epoch=self.epoch, number=first.number, conf=first.conf)
        for member in self.view.members:
            if member not in first.needs:
                continue
            if member == self.me:
                self.write(self.me, word)
            else:
                self.say(member, "write", word)

    def write(self, sender: str, word: Write) -> None:
        if word.epoch != self.promised or word.epoch != self.view.epoch or not self.member:
            self.say(
                sender,
                "written",
                Written(epoch=word.epoch, number=word.number, ok=False, promised=self.promised),
            )
            return
        if self.read_key(word.conf) >= self.read_key(self.conf):
            self.conf = word.conf  # else a word that was said again, and came by a slower way
        if sender != self.me:
            self.hears()
        self.save(
            (
                sender,
                "written",
                Written(epoch=word.epoch, number=word.number, ok=True, promised=self.promised),
            )
        )

    def written(self, sender: str, word: Written) -> None:
        if not word.ok:
            if word.promised > self.promised:
                self.promise(word.promised)
                self.save()
            return
        if self.state != "primary" or word.epoch != self.epoch or not self.queue:
            return
        self.heard_at[sender] = self.now
        first = self.queue[0]
        if word.number != first.number:
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
            self.beat()
            if self.queue:
                self.write_next()

    # ---- after its disk was lost

    def learn(self, sender: str, word: Vote) -> None:
        """It votes again once it knows what a majority of the others have promised."""
        if not self.blank or word.blank:
            return
        self.learned[sender] = word
        view = max((vote.view for vote in self.learned.values()), key=lambda v: v.epoch)
        if not view.voters:
            return
        # of each set of voters as many as decide, itself not among them
        if all(
            sum(s in voters and s != self.me for s in self.learned)
            >= min(len(voters) // 2 + 1, len(voters) - (self.me in voters))
            for voters in (view.voters, view.before)
            if voters
        ):
            self.view = View.FromString(view.SerializeToString())
            self.promised, self.voted = max([view.epoch, *[v.promised for v in self.learned.values()]]), ""
            self.member, self.conf, self.blank = False, b"", False
            self.hears()
            self.events.append((206, {"epoch": self.promised}))
            self.save()
