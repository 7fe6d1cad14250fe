"""Clients' connections over sockets."""

from __future__ import annotations

import gevent
import gevent.socket
from helper import Client, post


def test_requests_on_a_persistent_connection() -> None:
    client = Client()
    client.send(post("/look/7", b"abc", X_Weight_Hint="1500", X_Facts="slots=2,odd,more=x"))
    client.calls[0].answer(200, b"seven")
    client.receive()
    client.send(post("/pay/8?x=1", X_Time_Left_Ms=""))
    client.calls[1].answer(503, b"", "Retry-After: 2")
    client.receive()
    client.send(b"GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n")
    client.receive()
    client.matches("client_kept")


def test_pipelined_requests_are_answered_in_order() -> None:
    client = Client()
    last = post("/look/3", b"x", "Connection: close", X_Correlation_Id="c3")
    client.send(post("/look/1") + post("/look/2", X_Correlation_Id="c2") + last + post("/look/4"))
    for call in reversed(client.calls):
        call.answer(200, call.message.target)
    client.receive()
    client.receive()
    client.matches("client_pipelined")


def test_pipelined_requests_above_the_limit_wait() -> None:
    client = Client(pipelined=2, ring=256)
    client.send(b"".join(post(f"/look/{i}", X_Correlation_Id=f"c{i}") for i in range(6)))
    accepted = len(client.calls)
    while len(client.calls) < 6 or any(call.reply is None for call in client.calls):
        for call in client.calls:
            call.answer(200)
        gevent.sleep(0.01)
    assert accepted <= 3  # the limit of two, and what arrived in the same piece


def test_a_client_that_closes_is_reported() -> None:
    client = Client()
    client.send(post("/look/1"), post("/look/2", X_Correlation_Id="c2"))
    client.sock.close()
    client.running.join(2.0)
    client.calls[0].answer(200, b"late")
    client.matches("client_left")


WRONG = {
    "nonsense": [b"\x16\x03\x01 hello\r\n\r\n"],
    "no_class": [post("/swim/7")],
    "get": [post("/look/7").replace(b"POST", b"GET")],
    "no_id": [post(X_Correlation_Id="")],
    "time_left": [post(X_Time_Left_Ms="soon")],
    "time_nan": [post(X_Time_Left_Ms="nan")],
    "hint": [post(X_Weight_Hint="-1")],
    "long_body": [post(body=b"x" * 70000)],
    "long_chunk": [
        post("/look/7", b"", Content_Length="", Transfer_Encoding="chunked") + b"11170\r\n" + b"x" * 70000
    ],
    "long_target": [post("/look/" + "7" * 9000)],
    "long_field": [post(X_Facts="x" * 20000)],
    "endless_field": [b"POST /look/7 HTTP/1.1\r\nX-Facts: ", *[b"x" * 8000] * 4],
    "many_fields": [post("/look/7", b"x", *(f"x-{i}: 1" for i in range(70)))],
    "two_lengths": [post("/look/7", b"x", "Transfer-Encoding: chunked")],
    "lengths_twice": [post("/look/7", b"x", "Content-Length: 1")],
    "coding": [post("/look/7", b"", "Transfer-Encoding: gzip, chunked", Content_Length="") + b"0\r\n\r\n"],
    "late_id": [
        post("/look/7", b"", "Transfer-Encoding: chunked", Content_Length="", X_Correlation_Id="")
        + b"0\r\nX-Correlation-Id: c1\r\n\r\n"
    ],
    "two_ids": [post("/look/7", b"x", "X-Correlation-Id: c2")],
    "odd_id": [post(X_Correlation_Id="c\xe9")],
    "other_class": [post("/look/7", X_Service_Class="pay")],
    "no_key": [post("/pay/7", Idempotency_Key="")],
    "long_number": [post(X_Time_Left_Ms="9" * 20)],
    "odd_target": [post("/look/\xe9")],
    "upgrade": [post("/look/7", b"x", "Connection: upgrade", "Upgrade: websocket")],
    "slow": [post()[:40]],
    "says_nothing": [],
}


def test_invalid_requests_get_their_status_and_affect_no_other_connection() -> None:
    """Each closes its connection, so that the same request cannot be repeated at once."""
    trace = Client()
    for name, parts in WRONG.items():
        client = Client(first_request=0.1, linger=0.05)
        client.send(*parts)
        gevent.sleep(0.12 if name in ("slow", "says_nothing") else 0.0)
        client.receive()
        client.sock.shutdown(gevent.socket.SHUT_WR)
        client.running.join(2.0)
        assert client.running.successful()
        trace.lines += [f"{name}: {line}" for line in client.lines]
    trace.matches("client_wrong")


def test_an_answer_reaches_a_client_that_is_still_sending() -> None:
    """Closing with unread data would reset the connection and lose the response, so data is read on, within
    limits of time and bytes."""

    def sent(**changes) -> int:
        client = Client(linger=0.1, **changes)
        client.send(post(body=b"", Content_Length="60000000"))
        count = 0
        try:
            for count in range(1, 9):  # noqa: B007 - the count is returned
                client.send(b"x" * 60000)
                gevent.sleep(0.03)
        except OSError:  # reset
            count -= 1
        else:
            client.sock.shutdown(gevent.socket.SHUT_WR)
            client.receive()
            assert client.lines[-1] == (
                "hear HTTP/1.1 413 Content Too Large | Connection: close |  | body too large"
            )
        client.running.join(1.0)
        assert client.running.successful()
        return count

    assert sent() == 8
    assert 3 <= sent(discarded=200000) < 8 and sent(discard_time=0.15) < 8


def test_expect_100_continue_is_answered() -> None:
    client = Client()
    head, body = post("/look/7", b"abc", "Expect: 100-continue").split(b"\r\n\r\n")
    client.send(head + b"\r\n\r\n")
    client.receive()
    client.send(body)
    client.calls[0].answer(200, b"seven")
    client.receive()
    client.matches("client_expects")


def test_above_the_limit_of_items_a_request_is_deferred_and_the_connection_stays() -> None:
    client = Client(room=0)
    client.send(post())
    client.receive()
    client.send(post())
    client.receive()
    client.matches("client_no_room")


def test_above_the_limit_of_connections_a_request_is_deferred_and_the_connection_closed() -> None:
    client = Client(full=True, linger=0.05)
    client.send(post())
    client.receive()
    client.receive()
    client.running.join(2.0)
    client.matches("client_brim")


def test_while_closing_requests_are_accepted_and_the_connection_is_closed_after_the_response() -> None:
    """The reader still waits on the socket when the writer closes it: neither must fail by that."""
    client = Client(linger=0.05)
    client.closing = True
    client.send(b"GET /-/ready HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
    client.receive()
    client.running.join(2.0)
    assert client.running.successful()
    client.matches("client_closing")


def test_a_client_that_does_not_read_its_response_is_closed() -> None:
    client = Client(write=0.1)
    client.send(post())
    client.calls[0].answer(200, b"x" * 10_000_000)
    client.running.join(2.0)
    assert client.running.successful()


def test_an_idle_connection_is_closed() -> None:
    client = Client(idle_client=0.1)
    client.send(post())
    client.calls[0].answer(200, b"seven")
    client.receive()
    client.running.join(2.0)
    client.receive()
    client.matches("client_idle")


def test_blanks_around_a_value_are_removed_however_the_request_is_split() -> None:
    """Values that arrived in pieces kept trailing blanks: a third of such requests got a 4xx."""
    head = (
        b"POST /look/7 HTTP/1.1\r\nHost: app.svc \r\nX-Correlation-Id: \t c1 \r\n"
        b"X-Service-Class: look \r\nX-Time-Left-Ms: 480 \t\r\nX-Weight-Hint: 1000 \r\n"
        b"Transfer-Encoding: chunked \r\n\r\n1\r\nx\r\n0\r\n\r\n"
    )
    seen = []
    for cut in (1, 7, 40, len(head)):
        client = Client()
        client.conversation.feed(memoryview(b""))
        for at in range(0, len(head), cut):
            client.conversation.feed(memoryview(head[at : at + cut]))
        seen.append((client.lines, client.calls[0].id, client.conversation.accepts_no_more))
        client.running.kill()
    assert seen == [(["taken /look/7: 0.480 s, hint 0.001, slots 1, 1 bytes"], b"c1", False)] * 4


def test_the_last_part_of_a_path_of_several_is_the_subject_and_repeats_are_marked() -> None:
    client = Client()
    client.send(
        post("/look/1")
        + post("/look/1", X_Correlation_Id="c2", X_Repeat="1")
        + post("/look", X_Correlation_Id="c3")
        + post("/look/2", X_Correlation_Id="c4", X_Repeat="0")
    )
    (first, marked), (again, repeat), none, (other, _) = client.subjects
    assert first == again and first and other not in (0, first) and (marked, repeat) == (False, True)
    assert none == (0, False)
