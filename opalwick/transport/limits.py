"""All sizes, counts and times that bind the scheduler; filled once at start and handed down."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Limits:
    # counts
    clients: int  # connections from clients
    kept: int  # of those, for clients that have asked for something
    spare: int  # beyond those, to tell a client that it is deferred
    workers: int  # connections to workers
    pipelined: int  # requests of one connection that may be unanswered
    backlog: int  # connections that wait to be accepted
    work_items: int  # taken and unanswered, of all connections
    headers: int  # header fields of one message
    operators: int  # calls of operators at once
    # sizes in bytes
    ring: int  # one direction of one connection
    body: int  # one message's
    head: int  # one message's fields and target together
    bodies: int  # of all work items together
    dropped: int  # read on after a client's last answer
    list: int  # the list of workers
    # seconds
    first: float  # from a connection's start to its first whole request
    request: float  # from a later request's first byte to its last
    drip: float  # past this a request that is not whole may make room for others, at the brim
    quiet: float  # past this a connection that has asked for nothing yet may
    once: float  # past this one that asked once and stayed may
    idle_client: float  # a client's connection between requests
    write: float  # a client that does not read its answer
    linger: float  # a client that neither closes nor sends after its last answer
    leaving: float  # one that goes on sending after it
    idle_worker: float  # a worker's connection between requests
    rest: float  # the end of an answer whose last line has come
    connect: float
    probe: float  # a worker's answer to a probe
    watch: float  # one watch call waits so long at discovery
    silent: float  # and is given up so long after that
    queued: float  # a call that does not wait may stand in discovery's queue so long
    call: float  # one call of an operator, from its start to its end
    drained: float  # after a drain begins new connections may come and kept ones stay so long
    ask: float  # once answers end connections, those that wait have so long to ask once more
    stay: float  # a process that was relieved is there at least so long, should the new one fail
    closing: float  # after SIGTERM connections stay open and new ones are taken so long
    leave: float  # all is answered by then after SIGTERM


def within(
    sockets: int,
    memory_mb: float,
    max_open: int,
    conn_idle: float,
    connect: float,
    ask_every: float,
    longest: float,
) -> Limits:
    """Budgets by use, out of what the machine gives."""
    # SIGKILL comes no sooner than 0.7 s after the longest expiry or three seconds; some is kept in hand
    leave = min(longest, 3.0) + 0.7 - 0.3
    # files, discovery, datagrams, the listeners, operators' calls and what the event loop holds
    room = max(16, sockets - 32)
    spare = max(2, room // 32)
    memory, ring, body = memory_mb * 1e6, 8192, 65536
    # of the rest, half and half: each client connection carries one work item, each hand-off one connection;
    # but no more clients than may each hold a body that has not come whole, in a sixth of the memory
    clients = max(4, min((room - spare) // 2, int(memory / 6 / (body + 2 * ring))))
    return Limits(
        # clients hold no more than a third of the descriptors for what they ask: those that ask once and stay
        # would leave the others none, and these could not even connect
        clients=clients,
        kept=min(sockets // 4, 3 * clients // 4),
        spare=spare,
        workers=room - spare - clients,
        pipelined=8,
        # outside it costs the scheduler nothing; one over it is tried again by its kernel a second later
        backlog=1024,
        # some kilobytes each, with their greenlets: an eighth of the memory
        work_items=max(64, min(max_open, int(memory / 8 / 8000))),
        headers=64,
        # a few people and programs call at once; with the rest they stay under the 32 that are kept back
        operators=12,
        # most messages pass in one piece; two for each of a thousand connections are a twelfth of the memory
        ring=ring,
        body=body,
        head=16384,
        bodies=int(memory / 6),
        # some thousands of workers
        list=4 << 20,
        # idle clients cost little until the brim, where the one idle longest goes first. A message of the
        # largest size takes far less than five seconds, most come in one piece, and a client's end follows
        # its last answer by a trip each way and its own turn
        request=5.0,
        drip=1.0,
        idle_client=75.0,
        write=5.0,
        linger=0.2,
        # one that has said nothing whole is owed an end within three seconds of its connecting, of which some
        # may pass before it is accepted; a usual client connects to ask at once, within a trip or two
        first=2.0,
        quiet=0.1,
        once=0.3,
        # a body of 60 MB has to pass within six seconds, and an end that nobody waits for is no harm
        dropped=80 << 20,
        leaving=4.0,
        # clearly before the worker closes it: a request that crosses the close may have run
        idle_worker=max(0.5 * conn_idle, conn_idle - 3.0),
        connect=connect,
        # a draw waits a tenth of a second for it; what comes later still tells something
        probe=0.5,
        # the last chunk comes with the last line or right after
        rest=0.25,
        # discovery serves calls in turn, so few long ones: as seldom as a scheduler that does not watch must
        # ask. What a silent one had to tell counts as told 2 s after the wait: by then it is asked anew
        watch=max(1.0, min(ask_every, 60.0)),
        silent=1.0,
        # what such a call has to tell counts as told after six
        queued=5.0,
        # connections come for up to 0.4 s after SIGTERM, but clients that go on asking are served for as long
        # as what comes may well end; and those that have another scheduler move on before its own restart,
        # which where they restart in turn comes no sooner than this one may be killed
        # an answer is due within a second, and one that says nothing holds a descriptor for nothing
        call=2.0,
        # the front asks each 0.1 s and sends new ones for 0.2 s more; those may come late by a loop's delay
        drained=0.5,
        # most clients ask again within it, and nothing of theirs crosses a close
        ask=1.0,
        # what fails in a new version at once fails with its first work; SIGTERM ends the stay
        stay=2.0,
        closing=min(leave, max(0.5, leave - 0.9)),
        leave=leave,
    )
