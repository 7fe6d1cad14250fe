"""Base of all roles of the broker: a state machine that receives and sends peer messages. No I/O.

The shell (`link.py` over sockets, the simulation lab over its network) reports links that come up or go down,
messages received on them and the time. It maintains links to all addresses in `wanted`, and regularly sends
the role's heartbeat on each link.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import Any, Protocol

from opalwick.post import events
from opalwick.post.directory import Directory, is_empty
from opalwick.post.settings import Settings
from opalwick.post.wire_pb2 import Hello, News, Node, Pulse
from opalwick.transport.connection import Address


class Link(Protocol):
    """One connection to another process, as a role sees it."""

    peer: Hello
    last_received: float
    queued_bytes: int  # not taken by the network yet

    def send(self, kind: str, message: Any) -> None:
        """Queues a message of that kind; never blocks."""

    def finish(self) -> None:
        """Passes on to the role what has been received already, and closes the link."""


@dataclass(slots=True)
class UnprovenLink:
    """A link of a process whose incarnation number is lower than that of the node's known process."""

    since: float  # s, this process's clock: when its hello was received
    messages: list[tuple[str, Any]] = field(default_factory=list)  # received meanwhile: kind, message


class RoleBase:
    """A role without its logic: links, the directory and heartbeats. Roles override the hooks."""

    role = ""  # as on the wire: counter (gateway), depot (store) or office (controller)

    def __init__(self, settings: Settings, life: int, now: float) -> None:
        """`life`: start time of this process in ms, which identifies its incarnation."""
        self.settings, self.life, self.now = settings, life, now
        self.node, self.zone, self.ip, self.port = (
            settings.node,
            settings.zone,
            settings.ip,
            settings.ports[0],
        )
        self.links: dict[str, list[Link]] = {}  # by node; all of them to the same process of it
        self.processes: dict[str, int] = {}  # by node: incarnation of its latest known process
        self.unproven_links: dict[Link, UnprovenLink] = {}
        self.wanted: dict[Address, None] = {}  # addresses to which links are maintained
        self.cross_zone_bytes: dict[str, int] = {}  # bytes sent to other zones, by kind of message
        self.echoes: dict[tuple[str, int], float] = {}  # by process: the newest of its timestamps received
        self.directory = Directory()
        for host, _ in settings.seeds:
            self.maintain_link(host)

    # ---- for the shell

    def apply_settings(self, settings: Settings) -> None:
        """Applies changed settings. Addresses that the process is bound to stay until its next start."""
        self.settings = settings
        for host, _ in settings.seeds:
            self.maintain_link(host)

    def clock(self, now: float) -> None:
        """Sets the current time, in s."""
        self.now = now

    def hello(self) -> Hello:
        return Hello(node=self.node, role=self.role, zone=self.zone, ip=self.ip, life=self.life)

    def heartbeat_content(self, link: Link) -> Pulse:
        """The role's part of the next heartbeat on that link."""
        return Pulse()

    def add_link(self, link: Link) -> None:
        """A link is up and its peer has identified itself.

        A node runs one process at a time, and what was agreed with one of them means nothing to the next. So
        a link of a later process ends the links of the earlier one before it counts as up itself. A process
        with a lower incarnation number is taken for the later one only once it has proven to be alive: that
        may also be a late link of a process that has ended.
        """
        if link.peer.life >= self.processes.get(link.peer.node, 0):
            self.bring_up(link)
            return
        self.unproven_links[link] = UnprovenLink(self.now)
        link.send("pulse", self.heartbeat(link))

    def bring_up(self, link: Link) -> None:
        """The link counts as up; if it is of another process than before, the earlier one has ended."""
        node, incarnation = link.peer.node, link.peer.life
        if self.processes.get(node, incarnation) != incarnation:
            self.end_process(node)
        self.processes[node] = incarnation
        self.links.setdefault(node, []).append(link)
        self.on_link_up(link)
        link.send("pulse", self.heartbeat(link))

    def end_process(self, node: str) -> None:
        """The known process of that node has ended: so do its links, once what they have brought is handled,
        and with them all that was agreed with it.
        """
        incarnation, open_links = self.processes[node], list(self.links.get(node, ()))
        for link in open_links:
            link.finish()
        if open_links:
            self.settle()  # what follows from these messages is not meant for the next process
        for link in open_links:
            self.remove_link(link)
        self.echoes.pop((node, incarnation), None)
        self.on_process_ended(node)
        self.event(908, peer=node, life=incarnation, links=len(open_links))

    def needs_few_heartbeats(self, link: Link) -> bool:
        """Whether infrequent heartbeats suffice on that link: those of gateways to controllers and to other
        gateways.
        """
        return "counter" in (self.role, link.peer.role) and "depot" not in (self.role, link.peer.role)

    def heartbeat(self, link: Link) -> Pulse:
        """The heartbeat on that link, with a timestamp. An echo of it proves that the peer received messages
        sent up to that time, however long they were in transit.
        """
        pulse = self.heartbeat_content(link)
        pulse.at, pulse.echo = self.now, self.echoes.get((link.peer.node, link.peer.life), 0.0)
        return pulse

    def receive(self, link: Link, kind: str, message: Any) -> None:
        """Handles a received message; called by the shell."""
        if kind == "pulse":
            process = link.peer.node, link.peer.life
            self.echoes[process] = max(self.echoes.get(process, 0.0), message.at)
        if (unproven := self.unproven_links.get(link)) is not None:
            self.receive_unproven(link, unproven, kind, message)
        else:
            self.handle(link, kind, message)

    def receive_unproven(self, link: Link, unproven: UnprovenLink, kind: str, message: Any) -> None:
        """Holds messages back until the peer has proven that it lives. An echo of what was sent to it after
        the hello of the other process had come is a proof: the other one had ended by then, or the peer
        could not be alive.
        """
        unproven.messages.append((kind, message))
        if kind != "pulse" or message.echo < unproven.since:
            return
        del self.unproven_links[link]
        self.bring_up(link)
        for held_kind, held_message in unproven.messages:
            self.handle(link, held_kind, held_message)

    def remove_link(self, link: Link) -> None:
        """A link is closed."""
        if (unproven := self.unproven_links.pop(link, None)) is not None:
            for kind, message in unproven.messages:
                self.handle_late(link, kind, message)
        elif link in (open_links := self.links.get(link.peer.node, [])):
            open_links.remove(link)
            if not open_links:
                del self.links[link.peer.node]
            self.on_link_down(link)

    # hooks: a link is up; a link is closed, while others to its peer may be open

    def on_link_up(self, link: Link) -> None: ...

    def on_link_down(self, link: Link) -> None: ...

    def on_process_ended(self, node: str) -> None:
        """Hook: a later process of that node has connected; no link to the earlier one is left."""

    def handle_late(self, link: Link, kind: str, message: Any) -> None:
        """Hook: a message of a process that has ended, whose link came after one of a later process."""

    def handle(self, link: Link, kind: str, message: Any) -> None:
        """Hook: a message was received."""
        if kind == "news" and link.peer.role == "office":
            fresh = self.directory.merge(message)
            if not is_empty(fresh):
                for node in fresh.nodes:
                    if node.gone:
                        self.release_link(node)
                    elif node.role == "office":
                        self.maintain_link(node.ip)
                self.on_update(fresh)

    def on_update(self, news: News) -> None:
        """Hook: the directory was updated. `news`: the part of the update that was new."""

    def settle(self) -> None:
        """Hook: all messages that arrived together have been handled; acts on the result."""

    def tick(self) -> None:
        """Hook: time has passed."""

    def next_at(self) -> float:
        """The latest time for the next `tick`."""
        return math.inf

    def figures(self) -> dict[str, Any]:
        """Counts since the start, and current values."""
        return {}

    # ---- links

    def link(self, node: str) -> Link | None:
        """The link to a node on which something was received last."""
        open_links = self.links.get(node)
        if not open_links:
            return None
        return open_links[0] if len(open_links) == 1 else max(open_links, key=lambda link: link.last_received)

    def send(self, node: str, kind: str, message: Any) -> bool:
        """Sends a message to a node. Returns whether there was a link to send it on."""
        link = self.link(node)
        if link is not None:
            link.send(kind, message)
        return link is not None

    def links_to(self, role: str) -> list[Link]:
        """One link to each connected node of that role, in order of the nodes' names."""
        return [
            link
            for node in sorted(self.links)
            if (link := self.link(node)) is not None and link.peer.role == role
        ]

    def nodes(self, role: str) -> list[Node]:
        """All nodes of that role in the directory, connected or not."""
        return [node for node in self.directory.nodes.values() if node.role == role and not node.gone]

    def maintain_link(self, ip: str) -> None:
        """Maintains a link to an address from now on."""
        if ip != self.ip:
            self.wanted[ip, self.port] = None

    def release_link(self, node: Node) -> None:
        """Stops connecting to a node that is gone, unless its address is in the settings or has been taken
        over by another node.
        """
        if not any(other.ip == node.ip for other in self.directory.nodes.values() if not other.gone) and all(
            host != node.ip for host, _ in self.settings.seeds
        ):
            self.wanted.pop((node.ip, self.port), None)

    def event(self, number: int, **fields: Any) -> None:
        """Logs an event."""
        events.emit(number, **fields)

    def trace(self, number: int, **fields: Any) -> None:
        """Logs an event of a single message, if tracing is on."""
        events.trace(number, **fields)
