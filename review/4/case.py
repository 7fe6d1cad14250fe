"""A store that is being refilled after the loss of its disk loses power once more, and keeps its disk. Copies
that were on their way to it are not sent again for a minute, so the loss of another disk takes accepted
messages with it.
"""

from __future__ import annotations

import asyncio
import os
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "rig_2"))

from rig import (
    BOUNDS,
    FRONT,
    CannotRun,
    Machine,
    Message,
    Proxy,
    Record,
    System,
    Worker,
    call,
    configuration,
    play,
    submit,
)

HOST = "lode17.example"
MESSAGES, BODY, DELAY_MS = 1600, 5000, 85000
DOWN_S = 2.0  # `after_ack_wipe` on a store of the site: for_s; of `node_kill` on a store it is 2.8
SYNC_S = BOUNDS["sync_s"]
MARGIN_S = 3.5  # beyond sync_s, until the next loss


async def lose(store: Machine, proxies: list[Proxy], disk: bool = True) -> None:
    """The machine loses power, and comes back; `disk`: with an empty disk."""
    store.system.record.say(f"{store.node} loses power for {DOWN_S} s" + ", and its disk" * disk)
    for proxy in proxies:
        proxy.loses_power(store)
    store.kill()
    if disk:
        store.wipe()
    await asyncio.sleep(DOWN_S)
    store.start()


async def refilled(store: Machine, proxies: list[Proxy], size: int) -> None:
    """Returns once other stores have sent that many bytes to this one since it came back."""
    for _ in range(1500):
        ways = [way for proxy in proxies for way in proxy.ways if way.name == store.node and not way.dark]
        if sum(way.passed for way in ways) >= size:
            return
        await asyncio.sleep(0.005)
    raise CannotRun(f"{store.node} was not refilled")


async def accept(system: System) -> list[Message]:
    """Messages that are due long after the end of the case."""
    gate, accepted = asyncio.Semaphore(16), list[Message]()

    async def one(number: int) -> None:
        async with gate:
            gateway = system.gateways[number % len(system.gateways)]
            fields = {"X-Delay-Ms": str(DELAY_MS)}
            message = await submit(system, gateway, HOST, "/autoriza/pump", b"x" * BODY, fields, quiet=True)
            if message.status == 202:
                accepted.append(message)

    await asyncio.gather(*(one(number) for number in range(MESSAGES)))
    system.record.say(f"clients: {len(accepted)} messages were accepted with 202, each delayed by 85 s")
    return accepted


async def lost(system: System, messages: list[Message], worker: Worker) -> list[Message]:
    """The messages that are not due and have not run, and whose bytes are not returned, though asked for
    again and again for 10 s.
    """
    missing, until = messages, system.record.now + 10.0
    why: dict[str, str] = {}
    gate = asyncio.Semaphore(16)

    async def has_bytes(message: Message, gateway: Machine) -> bool:
        async with gate:
            answer = await call(
                gateway.ip, FRONT, "GET", f"/message-body/{message.name}", {"Host": HOST}, within=2.0
            )
            why[message.name] = str(answer.status or answer.why)
            return answer.status == 200 and answer.body == b"x" * BODY

    while missing and system.record.now < until:
        for gateway in system.gateways:
            found = await asyncio.gather(*(has_bytes(message, gateway) for message in missing))
            missing = [message for message, there in zip(missing, found) if not there]
    ran = {run.rid for run in worker.runs}
    missing = [
        message
        for message in missing
        if message.rid not in ran and system.record.now - message.sent_at < DELAY_MS / 1000
    ]
    for message in missing:
        system.record.say(
            f"client: {message.rid}, named {message.name}: bytes not returned,"
            f" last answer {why[message.name]}"
        )
    return missing


async def case(record: Record, trouble: bool) -> bool:
    system = System(record, gateways=2)
    other, third, store = sorted(system.stores, key=lambda one: one.node, reverse=True)
    proxies = [Proxy(system, other), Proxy(system, third)]
    try:
        for proxy in proxies:
            await proxy.start()
        system.start()
        worker = Worker(system, "autoriza")
        await worker.start()
        await system.put(configuration(7, HOST, {"autoriza": {}}))
        await system.until_ready()
        await asyncio.sleep(SYNC_S)
        messages = await accept(system)
        await asyncio.sleep(0.5)
        if trouble:
            await lose(store, proxies)
            if not os.environ.get("ONCE"):  # for comparison: without the loss of power in between
                await refilled(store, proxies, 500_000)
                await lose(store, proxies, disk=False)
            await asyncio.sleep(SYNC_S + MARGIN_S)
            await lose(other, proxies)
        await asyncio.sleep(BOUNDS["done_s"])
        missing = await lost(system, messages, worker)
        ran = sum(run.ran for run in worker.runs)
        record.say(f"{len(missing)} of {len(messages)} accepted messages are lost; {ran} deliveries ran")
        return not missing
    finally:
        system.stop()


play(Path(__file__).resolve().parent, case)
