"""What every role of the post is to its links: a state machine that hears words and says some. No I/O.

The shell (`link.py` over sockets, the lab over its network) hands in links as they come up and go down, what
was heard on them and the time; it keeps links to all places in `wanted`, and gives each link the role's pulse
in turn.
"""

from __future__ import annotations

import math
from typing import Any, Protocol

from opalwick.post import events
from opalwick.post.directory import Directory, empty
from opalwick.post.settings import Settings
from opalwick.post.wire_pb2 import Hello, News, Node, Pulse
from opalwick.transport.connection import Address


class Link(Protocol):
    """One connection to another process, as a role sees it."""

    peer: Hello
    heard_at: float

    def say(self, kind: str, word: Any) -> None:
        """Waits for nobody."""


class Station:
    role = ""

    def __init__(self, settings: Settings, life: int, now: float) -> None:
        self.settings, self.life, self.now = settings, life, now
        self.node, self.zone, self.ip, self.port = (
            settings.node,
            settings.zone,
            settings.ip,
            settings.ports[0],
        )
        self.links: dict[str, list[Link]] = {}  # by node
        self.wanted: dict[Address, None] = {}  # where links are kept to
        self.crossed: dict[str, int] = {}  # octets said to other zones, by kind of word
        self.echoes: dict[tuple[str, int], float] = {}  # by process: the newest of its own times heard
        self.directory = Directory()
        for host, _ in settings.seeds:
            self.want(host)

    # ---- for the shell

    def resettle(self, settings: Settings) -> None:
        """The settings have changed. What a process is bound to stays until its next start."""
        self.settings = settings
        for host, _ in settings.seeds:
            self.want(host)

    def clock(self, now: float) -> None:
        self.now = now

    def hello(self) -> Hello:
        return Hello(node=self.node, role=self.role, zone=self.zone, ip=self.ip, life=self.life)

    def pulse(self, link: Link) -> Pulse:
        """What goes along with the next pulse on that link."""
        return Pulse()

    def joined(self, link: Link) -> None:
        """A link is up and its other side has said who it is."""
        self.links.setdefault(link.peer.node, []).append(link)
        self.up(link)
        link.say("pulse", self.beat(link))

    def calm(self, link: Link) -> bool:
        """Whether a pulse now and then does on that link: a counter's to offices and to other counters."""
        return "counter" in (self.role, link.peer.role) and "depot" not in (self.role, link.peer.role)

    def beat(self, link: Link) -> Pulse:
        """The pulse on that link, with the time: an echo of it proves when this process was heard, however
        long the words lay on the way.
        """
        pulse = self.pulse(link)
        pulse.at, pulse.echo = self.now, self.echoes.get((link.peer.node, link.peer.life), 0.0)
        return pulse

    def hear(self, link: Link, kind: str, word: Any) -> None:
        """For the shell: a word was heard."""
        if kind == "pulse":
            who = link.peer.node, link.peer.life
            self.echoes[who] = max(self.echoes.get(who, 0.0), word.at)
        self.heard(link, kind, word)

    def parted(self, link: Link) -> None:
        if link in (held := self.links.get(link.peer.node, [])):
            held.remove(link)
            if not held:
                del self.links[link.peer.node]
            self.down(link)

    def up(self, link: Link) -> None: ...

    def down(self, link: Link) -> None: ...

    def heard(self, link: Link, kind: str, word: Any) -> None:
        if kind == "news" and link.peer.role == "office":
            fresh = self.directory.merge(word)
            if not empty(fresh):
                for node in fresh.nodes:
                    if node.gone:
                        self.unwant(node)
                    elif node.role == "office":
                        self.want(node.ip)
                self.news(fresh)

    def news(self, news: News) -> None:
        """What was new of it."""

    def settle(self) -> None:
        """All that came at once was heard: what follows is carried out."""

    def tick(self) -> None:
        """Time has passed."""

    def next_at(self) -> float:
        """When it wants the next tick at the latest."""
        return math.inf

    def figures(self) -> dict[str, Any]:
        """Counts since the start, and what is held now."""
        return {}

    # ---- what a role does with its links

    def link(self, node: str) -> Link | None:
        """The link to a node that was heard last."""
        held = self.links.get(node)
        if not held:
            return None
        return held[0] if len(held) == 1 else max(held, key=lambda link: link.heard_at)

    def say(self, node: str, kind: str, word: Any) -> bool:
        """Whether there was a link to leave it to."""
        link = self.link(node)
        if link is not None:
            link.say(kind, word)
        return link is not None

    def of(self, role: str) -> list[Link]:
        """A link to each node of that role, by name."""
        return [
            link
            for node in sorted(self.links)
            if (link := self.link(node)) is not None and link.peer.role == role
        ]

    def nodes(self, role: str) -> list[Node]:
        return [node for node in self.directory.nodes.values() if node.role == role and not node.gone]

    def want(self, ip: str) -> None:
        if ip != self.ip:
            self.wanted[ip, self.port] = None

    def unwant(self, node: Node) -> None:
        """It is gone: nobody dials it, unless its address is in the settings or another's by now."""
        if not any(other.ip == node.ip for other in self.directory.nodes.values() if not other.gone) and all(
            host != node.ip for host, _ in self.settings.seeds
        ):
            self.wanted.pop((node.ip, self.port), None)

    def event(self, number: int, **fields: Any) -> None:
        events.say(number, **fields)

    def trace(self, number: int, **fields: Any) -> None:
        """An event of a single message; written only where these are asked for."""
        events.trace(number, **fields)
