"""A worker sends its answer 500 a second time; the gateway takes it for the answer of the next delivery."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "rig_2"))

from rig import Connection, Message, Record, Run, System, Worker, configuration, play, state, submit

HOST, TRIES, MESSAGES = "lode17.example", 3, 10


class RepeatingWorker(Worker):
    """Fails the first deliveries of each message and does the last one that its route allows. In trouble, it
    sends the last of these failures a second time, late: when the next request has come on the connection.
    """

    in_trouble = False

    def answered(self, connection: Connection, run: Run, answer: bytes) -> None:
        if self.in_trouble and run.number == TRIES - 1:
            connection.late = answer


async def work(run: Run) -> int:
    await asyncio.sleep(0.11)  # the mean of `pump-auth`
    return 500 if run.number < TRIES else 200


async def case(record: Record, trouble: bool) -> bool:
    system = System(record, gateways=1)
    try:
        system.start()
        worker = RepeatingWorker(system, "autoriza", work=work)
        worker.in_trouble = trouble
        await worker.start()
        await system.put(configuration(7, HOST, {"autoriza": {"tries": TRIES}}))
        await system.until_ready()
        await asyncio.sleep(2.0)
        broken = 0
        for _ in range(MESSAGES):
            message = await submit(system, system.gateways[0], HOST, "/autoriza/pump", b"x" * 5000)
            if message.status == 202 and not await is_right(system, worker, message):
                broken += 1
        record.say(f"{broken} of {MESSAGES} messages were reported as dlq before they had ended")
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
            await asyncio.sleep(0.3)  # for the record: how the delivery ends
            return ended
        if found is not None and found["state"] == "complete":
            system.record.say(f"client: state of {message.rid}: complete, seal {found['seal']}")
            return True
        await asyncio.sleep(0.015)
    system.record.say(f"client: state of {message.rid}: neither complete nor dlq within a second")
    return True


play(Path(__file__).resolve().parent, case)
