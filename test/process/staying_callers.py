"""Callers that stay on one entry until its process is gone.

Each sends POSTs on a kept connection, reconnects to the same entry while that
accepts, and records how every request ended.
"""

import dataclasses
import random
import select
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


class Incoming:
    """What arrives on one connection."""

    def __init__(self, connection):
        self.connection = connection
        self.data = b""

    def wait_for(self, complete):
        """Receives until a condition on the data holds; False when the
        connection ends before."""
        while not complete(self.data):
            piece = self.connection.recv(65536)
            if not piece:
                return False
            self.data += piece
        return True

    def take(self, size):
        taken, self.data = self.data[:size], self.data[size:]
        return taken

    def answer(self):
        """The next answer; None when the connection ends before its end."""
        if not self.wait_for(lambda data: b"\r\n\r\n" in data):
            return None
        head = self.take(self.data.index(b"\r\n\r\n") + 4)[:-4]
        answer = Answer(head, b"")
        if answer.fields.get("transfer-encoding") == "chunked":
            end = b"0\r\n\r\n"
            if not self.wait_for(lambda data: end in data):
                return None
            answer.body = self.take(self.data.index(end) + len(end))
        else:
            size = int(answer.fields.get("content-length", "0"))
            if not self.wait_for(lambda data: len(data) >= size):
                return None
            answer.body = self.take(size)
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
        incoming = Incoming(connection)
        while True:
            call = self.send(connection)
            if not call or not self.receive(call, incoming):
                return

    def send(self, connection):
        """Sends the next request; None if it was not sent whole."""
        call = Call(f"{self.label}-{len(self.calls)}", 0.0)
        request = (f"POST /booking?size=64 HTTP/1.1\r\nHost: h\r\n"
                   f"Request-Timeout-Ms: {self.deadline_ms}\r\n"
                   f"Idempotency-Key: {call.key}\r\n"
                   "Content-Length: 4\r\n\r\nbook")
        try:
            connection.sendall(request.encode())
        except OSError:
            return None
        call.sent = time.monotonic()
        self.calls.append(call)
        return call

    @staticmethod
    def receive(call, incoming):
        """Waits for an answer; returns whether the connection goes on."""
        try:
            answer = incoming.answer()
        except OSError as error:
            answer = None
            call.detail = type(error).__name__
        call.ended = time.monotonic()
        if answer is None:
            return False
        call.status = answer.status
        call.verdict = answer.fields.get("request-verdict", "")
        return answer.fields.get("connection", "").lower() != "close"


class PipeliningCaller(StayingCaller):
    """One caller that sends a second request while it waits for the answer to
    the first."""

    def __init__(self, address, name, deadline_ms):
        super().__init__(address, name, deadline_ms)
        self.random = random.Random(name)

    def use(self, connection):
        incoming = Incoming(connection)
        going_on = True
        while going_on:
            first = self.send(connection)
            if not first:
                return
            pause = self.random.uniform(0, 0.3)
            answered = select.select([connection], [], [], pause)[0]
            second = None if answered else self.send(connection)
            going_on = self.receive(first, incoming)
            if not second:
                continue
            if going_on:
                going_on = self.receive(second, incoming)
            else:
                second.ended = first.ended
                second.detail = first.detail or "behind an answer that closed"
