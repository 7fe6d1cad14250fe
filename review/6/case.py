"""A worker sends some answers 500 a second time, which are taken for the answers of the next deliveries."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "rig_2"))

from rig import (
    ZONES,
    CannotRun,
    Connection,
    Message,
    Record,
    Run,
    System,
    Worker,
    configuration,
    play,
    state,
    submit,
)

HOST, TRIES = "lode17.example", 3
WORK_S = 0.11  # the mean of `pump-auth`
TROUBLE_S, SHARE_OF_ANSWERS = 5.0, 0.03  # `garble`, how "extra late", of the site's days: for_s and x
LATE_S = 0.09  # after its first copy the second one is sent


class RepeatingWorker(Worker):
    """Does each message, but for those that it is told to fail until their last delivery."""

    def __init__(self, system: System, in_trouble: bool) -> None:
        super().__init__(system, "autoriza", capacity=6, work=self.run)
        self.in_trouble, self.failing = in_trouble, set[str]()
        self.ends_at, self.answers, self.repeated = 0.0, 0, 0

    async def run(self, run: Run) -> int:
        await asyncio.sleep(WORK_S)
        return 500 if run.fields.get("x-fails") and run.number < TRIES else 200

    def answered(self, connection: Connection, run: Run, answer: bytes) -> None:
        if not self.in_trouble or self.system.record.now > self.ends_at:
            return
        self.answers += 1
        wanted = run.fields.get("x-fails") and run.number == TRIES - 1
        if wanted and self.repeated + 1 <= SHARE_OF_ANSWERS * self.answers:
            self.repeated += 1
            self.system.tasks.append(asyncio.create_task(self.repeat(connection, run, answer)))

    async def repeat(self, connection: Connection, run: Run, answer: bytes) -> None:
        await asyncio.sleep(LATE_S)
        await self.send_late(connection, run, answer)


async def usual(system: System, seconds: float) -> None:
    """Messages that succeed, six at a time."""

    async def some() -> None:
        until = system.record.now + seconds
        while system.record.now < until:
            await submit(system, system.gateways[0], HOST, "/autoriza/pump", b"x" * 5000, quiet=True)
            await asyncio.sleep(WORK_S)

    await asyncio.gather(*(some() for _ in range(6)))
    await asyncio.sleep(2.0 * WORK_S)  # until the last of them have been done


async def case(record: Record, trouble: bool) -> bool:
    system = System(record, gateways=1)
    try:
        system.start()
        worker = RepeatingWorker(system, trouble)
        others = [Worker(system, svc, zone) for svc, zone in (("saldos", ZONES[1]), ("petroleras", ZONES[2]))]
        for one in (worker, *others):
            await one.start()
        services = {svc: {"tries": TRIES} for svc in ("autoriza", "saldos", "petroleras")}
        await system.put(configuration(7, HOST, services))
        await system.until_ready()
        await asyncio.sleep(5.0)  # the start is over, and no worker is cold
        worker.ends_at = record.now + TROUBLE_S
        if trouble:
            record.say(f"worker {worker.id} is in trouble for {TROUBLE_S} s")
        judged, broken = 0, 0
        while record.now + 1.6 < worker.ends_at:
            await usual(system, 1.0)
            fields = {"X-Fails": "yes"}  # a mark for our worker
            message = await submit(system, system.gateways[0], HOST, "/autoriza/pump", b"x" * 5000, fields)
            if message.status == 202:
                judged += 1
                broken += not await is_right(system, worker, message)
        if trouble and not worker.repeated:
            raise CannotRun("no answer was sent a second time")
        record.say(f"{worker.repeated} of {worker.answers} answers of the worker were sent a second time")
        record.say(f"{broken} of {judged} messages that fail at first were told as dlq before they had ended")
        return broken == 0
    finally:
        system.stop()


async def is_right(system: System, worker: Worker, message: Message) -> bool:
    """Follows the state of a message; false if it is `dlq` at a time when the message has not ended."""
    for _ in range(60):
        found = await state(system, system.gateways[0], message)
        answers = [
            run.answered[1] for run in worker.runs if run.rid == message.rid and run.answered is not None
        ]
        if found is not None and found["state"] == "dlq":
            ended = answers.count(500) >= TRIES or 200 in answers
            system.record.say(
                f"client: state of {message.rid}: dlq; answers of the worker so far: {answers},"
                f" {TRIES} times 500 end a message"
            )
            await asyncio.sleep(0.2)  # for the record: how the delivery ends
            return ended
        if found is not None and found["state"] == "complete":
            system.record.say(f"client: state of {message.rid}: complete, seal {found['seal']}")
            return True
        await asyncio.sleep(0.01)
    system.record.say(f"client: state of {message.rid}: neither complete nor dlq within a second")
    return True


play(Path(__file__).resolve().parent, case)
