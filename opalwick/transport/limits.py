"""Limits of sizes, counts and times, computed once at start."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Limits:
    """Limits of one process."""

    # counts
    clients: int  # connections from clients
    active_clients: int  # of those, for active clients: those that have sent a request
    spare_clients: int  # beyond those, to answer that a request is deferred
    workers: int  # connections to workers
    pipelined: int  # unanswered requests of one connection
    backlog: int  # connections that wait to be accepted
    work_items: int  # accepted and unanswered, of all connections
    headers: int  # header fields of one message
    operators: int  # concurrent calls of operators
    # sizes in bytes
    ring: int  # the buffer of one direction of one connection
    body: int  # of one message
    head: int  # header fields and target of one message together
    bodies: int  # of all work items together
    discarded: int  # read and discarded after a client's last response
    list: int  # the list of workers
    # seconds
    first_request: float  # from the start of a connection to its first complete request
    request: float  # from the first byte of a later request to its last
    evict_incomplete: float  # age from which a connection with an incomplete request may be evicted
    evict_silent: float  # age from which a connection without a request may be evicted
    evict_single_use: float  # idle time from which a connection with one request may be evicted
    idle_client: float  # idle time of a client's connection between requests
    write: float  # for a client to read its response
    linger: float  # for a client that neither closes nor sends after its last response
    discard_time: float  # for a client that goes on sending after its last response
    idle_worker: float  # idle time of a connection to a worker
    response_end: float  # for the end of a response whose final line has arrived
    connect: float
    probe: float  # for a worker's response to a probe
    watch: float  # how long a watch call may wait at discovery
    watch_grace: float  # further time until a watch call without a response is aborted
    discovery_call: float  # for a call that does not wait but may queue at discovery
    operator_call: float  # for an operator's call as a whole
    drain_grace: float  # after a drain began, how long connections are accepted and stay open
    final_request: float  # once responses close connections, how long idle clients may send one more request
    min_stay: float  # at least so long a replaced process stays, in case the new one fails
    accept_after_sigterm: float  # after SIGTERM, how long connections stay open and new ones are accepted
    exit_after_sigterm: float  # after SIGTERM, by when all items are answered


def compute_limits(
    sockets: int,
    memory_mb: float,
    max_open: int,
    conn_idle: float,
    connect: float,
    ask_every: float,
    longest: float,
) -> Limits:
    """Divides the available descriptors and memory by use; times are in seconds."""
    # SIGKILL follows SIGTERM no sooner than after the longest expiry or 3 s, plus 0.7 s; 0.3 s are kept as
    # margin
    leave = min(longest, 3.0) + 0.7 - 0.3
    # 32 are reserved for files, discovery, datagrams, the listeners, operators' calls and the event loop
    available = max(16, sockets - 32)
    spare = max(2, available // 32)
    memory, ring, body = memory_mb * 1e6, 8192, 65536
    # The rest is divided in halves: a client's connection carries one work item, and each attempt takes one
    # connection. But a sixth of the memory must suffice for an incomplete body from each client.
    clients = max(4, min((available - spare) // 2, int(memory / 6 / (body + 2 * ring))))
    return Limits(
        # Active clients have less than a third of the descriptors: otherwise clients that send one request
        # and stay connected would use them all, and others could not even connect.
        clients=clients,
        active_clients=min(sockets // 4, 3 * clients // 4),
        spare_clients=spare,
        workers=available - spare - clients,
        pipelined=8,
        # The backlog costs the scheduler nothing; a connection beyond it is retried by the client's kernel
        # after 1 s.
        backlog=1024,
        # about 8 kB each with their greenlets, in an eighth of the memory
        work_items=max(64, min(max_open, int(memory / 8 / 8000))),
        headers=64,
        # enough for a few people and programs, and with the other uses within the 32 reserved descriptors
        operators=12,
        # most messages fit in one piece; two buffers for each of 1,000 connections take a twelfth of 192 MB
        ring=ring,
        body=body,
        head=16384,
        bodies=int(memory / 6),
        # enough for some thousands of workers
        list=4 << 20,
        # Idle clients cost little below the limit, where the one idle longest is evicted first. A message of
        # the largest size takes far less than 5 s, most arrive in one piece, and a client closes one round
        # trip and its own scheduling delay after its last response.
        request=5.0,
        evict_incomplete=1.0,
        idle_client=75.0,
        write=5.0,
        linger=0.2,
        # A connection without a complete request must be closed within 3 s of connecting, of which some may
        # pass before it is accepted. A regular client sends its request at once, within a round trip or two.
        first_request=2.0,
        evict_silent=0.1,
        evict_single_use=0.3,
        # A body of 60 MB has to be read within 6 s; a later close does no harm, as nobody waits for it.
        discarded=80 << 20,
        discard_time=4.0,
        # clearly before the worker closes it: a request sent during the close may have run
        idle_worker=max(0.5 * conn_idle, conn_idle - 3.0),
        connect=connect,
        # The selection of a worker waits 0.1 s for it; a later response is still of use.
        probe=0.5,
        # the last chunk arrives with the last line or right after it
        response_end=0.25,
        # Discovery serves calls in sequence, so a watch waits as long as the interval of mandatory calls. An
        # update counts as delivered 2 s after the wait, so a call without a response is repeated before that.
        watch=max(1.0, min(ask_every, 60.0)),
        watch_grace=1.0,
        # an update counts as delivered 6 s after such a call
        discovery_call=5.0,
        # an operator's call must be answered within 1 s, and a silent connection must not hold a descriptor
        operator_call=2.0,
        # the load balancer checks readiness every 0.1 s and sends new connections for 0.2 s more; these may
        # arrive late by a delay of the event loop
        drain_grace=0.5,
        # most clients send another request within it, so that none is sent during a close
        final_request=1.0,
        # an immediate fault of a new version shows with its first work items; SIGTERM ends the stay
        min_stay=2.0,
        # Connections arrive for up to 0.4 s after SIGTERM. Clients that go on sending are served for as long
        # as their items are likely to complete; those that have another scheduler move to it before its own
        # restart, which in a rolling restart is no sooner than this process may be killed.
        accept_after_sigterm=min(leave, max(0.5, leave - 0.9)),
        exit_after_sigterm=leave,
    )
