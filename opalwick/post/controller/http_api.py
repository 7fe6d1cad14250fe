"""The HTTP calls of workers and operators at a controller, and their answers. No I/O; part of `role.py`."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING
from urllib.parse import unquote_to_bytes

from returns.result import Success

from opalwick.post.configuration import check
from opalwick.post.controller.conf_format import packed
from opalwick.post.controller.views import CONFLICT, SUPERSEDED, UNABLE
from opalwick.post.residency.policy_file import check as check_home
from opalwick.post.residency.policy_file import key_digest
from opalwick.post.wire_pb2 import News, Worker
from opalwick.post.worker_heartbeats import BAD_ID, is_worker_id
from opalwick.post.worker_heartbeats import parse_heartbeat as read_beat
from opalwick.protocol.http import Malformed, Message
from opalwick.protocol.server_connection import Call

if TYPE_CHECKING:
    from opalwick.post.controller.role import Controller


def rack_name(body: bytes) -> bytes:
    """The name of the rack that is reported as back; raises Malformed."""
    try:
        given = json.loads(body)
    except (ValueError, RecursionError):
        raise Malformed(400, "the body is not JSON") from None
    if not isinstance(given, dict) or not isinstance(given.get("rack"), str):
        raise Malformed(400, "rack must be text")
    return str(given["rack"]).encode()


class HttpApi:
    """The calls of workers and operators."""

    def __init__(self, controller: Controller) -> None:
        self.controller = controller

    def called(self, call: Call) -> None:
        """Handles an HTTP call; raises Malformed with the status and text of the answer."""
        message = call.message
        path = message.target.split(b"?", 1)[0]
        _, first, *rest = path.split(b"/")
        try:
            name = unquote_to_bytes(rest[0]).decode("ascii") if len(rest) == 1 else ""
        except UnicodeDecodeError:
            raise Malformed(400, "the name in the path is not ASCII") from None
        match first, message.method, bool(name):
            case b"workers", b"PUT", True:
                self.worker_heartbeat(call, name, message.body)
            case b"workers", b"DELETE", True:
                if not is_worker_id(name):
                    raise Malformed(400, BAD_ID)
                update, changed = self.controller.registry.left(self.controller.now, name)
                self.confirm(call, name, update, changed)
            case b"conf", b"PUT", False:
                match check(message.body):
                    case Success(found):
                        self.controller.at_primary(
                            "put",
                            packed(found, message.body),
                            lambda s, b: self.answer_conf(call, found.gen, s),
                        )
                    case failure:
                        raise Malformed(400, failure.failure())
            case b"conf", b"GET", False:
                self.controller.at_primary("get", b"", lambda s, b: self.answer_call(call, s, b))
            case b"home", b"PUT", False:
                self.put_policy(call, message)
            case b"home", b"GET", False:
                self.controller.at_primary("policy", b"", lambda s, b: self.answer_policy(call, s, b))
            case b"retire", b"POST" | b"GET", True:
                what = "retire" if message.method == b"POST" else "retired"
                self.controller.at_primary(what, name.encode(), lambda s, b: self.answer_call(call, s, b))
            case b"maintenance", b"PUT" | b"GET", False if not rest:
                what = "window/start" if message.method == b"PUT" else "window/get"
                self.controller.at_primary(what, message.body, lambda s, b: self.answer_window(call, s, b))
            case b"maintenance", b"POST", True if name in ("pause", "resume", "abort", "back"):
                self.controller.at_primary(
                    "window/" + name,
                    rack_name(message.body) if name == "back" else b"",
                    lambda s, b: self.answer_window(call, s, b),
                )
            case ((b"workers" | b"retire"), _, False):
                raise Malformed(404, "the path names nobody")
            case ((b"workers" | b"conf" | b"home" | b"retire" | b"maintenance"), _, _):
                raise Malformed(405, "no such method here")
            case _:
                raise Malformed(404, "no such call")

    def answer_ok(self, call: Call, body: bytes = b"{}") -> None:
        call.answer(200, body, "Content-Type: application/json")

    def answer_call(self, call: Call, status: int, body: bytes) -> None:
        if status == 200:
            self.answer_ok(call, body or b"{}")
        elif status == 404:
            body = body or b'{"err":"there is no configuration yet"}'
            call.answer(404, body, "Content-Type: application/json")
        elif status == 409:
            call.answer(409, b'{"err":"too few machines would be left"}', "Content-Type: application/json")
        elif status == UNABLE:
            self.answer_unavailable(call, "no primary is available")
        else:
            call.answer(
                status,
                b'{"err":"it may be in force: ask again"}',
                "Content-Type: application/json",
            )

    def answer_conf(self, call: Call, number: int, status: int) -> None:
        if status == CONFLICT:
            why = f"gen {number} stands for another configuration: take a higher number"
            call.answer(CONFLICT, json.dumps({"err": why}).encode(), "Content-Type: application/json")
        elif status == SUPERSEDED:  # the highest number prevails, so this one has no effect
            self.answer_ok(call, json.dumps({"gen": number, "superseded": True}).encode())
        else:
            self.answer_call(call, status, b"")

    def answer_unavailable(self, call: Call, why: str) -> None:
        """Answers 503: the call had no confirmed effect, and the caller tries another controller."""
        call.answer(
            UNABLE, json.dumps({"err": why}).encode(), "Content-Type: application/json", "Retry-After: 1"
        )

    def answer_window(self, call: Call, status: int, body: bytes) -> None:
        if status == 200 or not body:
            self.answer_call(call, status, body)
        else:
            call.answer(
                status, body, "Content-Type: application/json", *(["Retry-After: 1"] if status == 503 else [])
            )

    def put_policy(self, call: Call, message: Message) -> None:
        """Handles a new data-residency policy."""
        match check_home(message.body, self.controller.settings.zones):
            case Success(home):
                scheme, _, key = message.headers.get(b"authorization", b"").partition(b" ")
                if scheme.lower() == b"bearer":
                    home.by = key_digest(key.strip().decode("latin-1"))
                self.controller.at_primary(
                    "home", home.SerializeToString(), lambda s, b: self.answer_policy(call, s, b)
                )
            case failure:
                raise Malformed(400, failure.failure())

    def answer_policy(self, call: Call, status: int, body: bytes) -> None:
        if status in (403, 404, 422):
            why = body.decode() or "there is no policy"
            call.answer(status, json.dumps({"err": why}).encode(), "Content-Type: application/json")
        else:
            self.answer_call(call, status, body)

    def worker_heartbeat(self, call: Call, name: str, body: bytes) -> None:
        match read_beat(name, body):
            case Success(beat):
                update, changed = self.controller.registry.beat(self.controller.now, beat)
                if changed:
                    self.controller.event(211, worker=beat.id, svc=beat.svc, draining=beat.draining)
                # without a majority the others may have reported the worker as silent to gateways
                changed = changed or not self.controller.views.reaches_majority
                if beat.draining:
                    self.confirm(call, name, update, changed)
                    return
                self.controller.spread(update, changed)
                if self.controller.in_touch:
                    self.answer_ok(call)
                else:
                    self.answer_unavailable(call, "this scheduler is not in touch with a majority")
            case failure:
                raise Malformed(400, failure.failure())

    def confirm(self, call: Call, worker: str, update: News, changed: bool) -> None:
        """Confirms to a worker that it drains or has left, which promises that no new work arrives. A
        majority must have the update first, and by then all nodes linked to that majority have been sent it.
        """
        self.controller.spread(update, changed, offices=False)
        known = self.controller.directory.workers.get(worker)
        notice = News(workers=[known] if known is not None else [Worker(id=worker, gone=True)])

        def answer(confirmed: bool) -> None:
            if confirmed:
                self.answer_ok(call)
            else:
                self.answer_unavailable(call, "this scheduler cannot reach a majority")

        self.controller.notices.tell(self.controller.now, notice, self.controller.links_to("office"), answer)
