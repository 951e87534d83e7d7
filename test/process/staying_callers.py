"""Callers that stay on one entry until its process is gone.

Each sends one POST at a time on a kept connection, reconnects to the same entry
while that accepts, and records how every request ended.
"""

import dataclasses
import socket
import threading
import time

# A caller that was refused returns after this time.
RETURN_S = 0.05


@dataclasses.dataclass
class Call:
    """One request; times are of time.monotonic()."""

    key: str
    sent: float       # when its last byte was given to the kernel
    ended: float = 0.0
    status: int = 0   # 0: the connection ended without a whole answer
    verdict: str = ""
    detail: str = ""  # how the connection ended


class Answer:
    """Status, fields and body of one whole answer."""

    def __init__(self, head, body):
        lines = head.decode("latin-1").split("\r\n")
        self.status = int(lines[0].split()[1])
        self.fields = {}
        for line in lines[1:]:
            name, _, value = line.partition(":")
            self.fields[name.strip().lower()] = value.strip()
        self.body = body


def read_answer(connection):
    """The next answer of a connection; None when it ends before."""
    data = b""
    while b"\r\n\r\n" not in data:
        piece = connection.recv(65536)
        if not piece:
            return None
        data += piece
    head, _, body = data.partition(b"\r\n\r\n")
    answer = Answer(head, body)
    if answer.fields.get("transfer-encoding") == "chunked":
        while not body.endswith(b"0\r\n\r\n"):
            piece = connection.recv(65536)
            if not piece:
                return None
            body += piece
    else:
        size = int(answer.fields.get("content-length", "0"))
        while len(body) < size:
            piece = connection.recv(65536)
            if not piece:
                return None
            body += piece
    answer.body = body
    return answer


class StayingCaller(threading.Thread):
    """One caller; ends when the entry refuses a new connection."""

    def __init__(self, address, name, deadline_ms):
        super().__init__(daemon=True)
        host, _, port = address.partition(":")
        self.address = (host, int(port))
        self.label = name
        self.deadline_ms = deadline_ms
        self.calls = []
        self.limit = time.monotonic() + 60

    def run(self):
        while time.monotonic() < self.limit:
            try:
                connection = socket.create_connection(self.address, timeout=15)
            except OSError:
                return
            with connection:
                self.use(connection)
            if self.calls and self.calls[-1].verdict == "not-run":
                time.sleep(RETURN_S)

    def use(self, connection):
        while True:
            call = Call(f"{self.label}-{len(self.calls)}", 0.0)
            request = (f"POST /booking?size=64 HTTP/1.1\r\nHost: h\r\n"
                       f"Request-Timeout-Ms: {self.deadline_ms}\r\n"
                       f"Idempotency-Key: {call.key}\r\n"
                       "Content-Length: 4\r\n\r\nbook")
            try:
                connection.sendall(request.encode())
            except OSError:
                return  # not sent whole
            call.sent = time.monotonic()
            self.calls.append(call)
            try:
                answer = read_answer(connection)
            except OSError as error:
                answer = None
                call.detail = type(error).__name__
            call.ended = time.monotonic()
            if answer is None:
                return
            call.status = answer.status
            call.verdict = answer.fields.get("request-verdict", "")
            if answer.fields.get("connection", "").lower() == "close":
                return
