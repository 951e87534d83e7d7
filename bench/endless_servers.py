"""Stand-in servers with answers that never end, and sound ones beside them.

Plain blocking sockets, one thread for each connection and one process for each
server, so that a sender reaches the full speed of the link. The path names what
is played: PREFIX/FORM/STATUS/PACE.
"""

import dataclasses
import os
import socket
import threading
import time

BLOCK_BYTES = 65536
PAUSE_S = 0.0002  # between pieces at the pace "paced"
PACES = ("fast", "pieces", "paced")


@dataclasses.dataclass(frozen=True)
class Form:
    """Bytes of an answer: fields of the head, then the begin, then a unit that
    is repeated."""

    fields: str
    unit: bytes
    begin: bytes = b""
    head_ends: bool = True


CHUNKED = "Transfer-Encoding: chunked"
EVENTS = "Content-Type: text/event-stream"
FORMS = {
    "header-line": Form("X-Trace: ", b"abcd", head_ends=False),
    "chunk-size-junk": Form(CHUNKED, b"zq~!"),
    "chunk-size-digits": Form(CHUNKED, b"0000"),
    "chunk-extension": Form(CHUNKED, b"abcd", begin=b"1;e="),
    "one-chunk": Form(CHUNKED, b"abcd", begin=b"ffffffffff\r\n"),
    "one-byte-chunks": Form(CHUNKED, b"1\r\nx\r\n"),
    "huge-length": Form("Content-Length: 1000000000000", b"abcd"),
    "no-length": Form("X-Form: unframed", b"abcd"),
    "event-pieces": Form(f"{EVENTS}\r\n{CHUNKED}", b"5\r\nabcd \r\n",
                         begin=b"6\r\ndata: \r\n"),
    "event-pieces-no-length": Form(EVENTS, b"abcd ", begin=b"data: "),
    "events": Form(f"{EVENTS}\r\n{CHUNKED}", b"9\r\ndata: a\n\n\r\n"),
    "events-no-length": Form(EVENTS, b"data: a\n\n"),
}


class Incoming:
    """Requests of one connection."""

    def __init__(self, connection):
        self.connection = connection
        self.data = b""

    def take(self, complete):
        """Receives until the condition holds; False at the connection's
        end."""
        while not complete():
            piece = self.connection.recv(65536)
            if not piece:
                return False
            self.data += piece
        return True

    def next(self):
        """Method, path and fields (names in lower case), or None."""
        if not self.take(lambda: b"\r\n\r\n" in self.data):
            return None
        head, _, self.data = self.data.partition(b"\r\n\r\n")
        lines = head.decode("latin-1").split("\r\n")
        fields = {}
        for line in lines[1:]:
            name, _, value = line.partition(":")
            fields[name.strip().lower()] = value.strip()
        size = int(fields.get("content-length", "0"))
        if not self.take(lambda: len(self.data) >= size):
            return None
        self.data = self.data[size:]
        method, path, _ = lines[0].split(" ", 2)
        return method, path, fields


class Server:
    """One server of a service; `listener` is bound before the process
    starts. Ids of requests that arrived are appended to `record`."""

    def __init__(self, service, index, zone, slots, record):
        self.id = f"i-{service}-{index}"
        self.service = service
        self.zone = zone
        self.slots = slots
        self.record = record
        self.born = int(time.time() * 1000)
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=1024)
        self.port = self.listener.getsockname()[1]
        self.running = 0
        self.lock = threading.Lock()

    def entry_value(self):
        """What it registers in the platform's store."""
        return {"address": f"127.0.0.1:{self.port}", "born": self.born,
                "info": {"service": self.service, "version": "v1",
                         "zone": self.zone, "slots": self.slots},
                "status": {"state": "ready", "seq_no": 1,
                           "warmup_left_ms": 0}}

    def run(self):
        self.arrived = os.open(self.record, os.O_CREAT | os.O_WRONLY |
                               os.O_APPEND)
        while True:
            connection, _ = self.listener.accept()
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self.serve, args=(connection,),
                             daemon=True).start()

    def serve(self, connection):
        incoming = Incoming(connection)
        try:
            while True:
                request = incoming.next()
                if request is None or not self.answer(connection, *request):
                    break
        except OSError:
            pass
        finally:
            connection.close()

    def head(self, status, name, fields):
        load = f"{self.running},0,{self.slots},100"
        return (f"HTTP/1.1 {status} -\r\nRequest-Id: {name}\r\n"
                f"Server-Load: {load}\r\nInstance-Id: {self.id}\r\n"
                f"Response-Stamp: s.{name}\r\n{fields}").encode()

    def answer(self, connection, _method, path, fields):
        """Whether the connection can be used again."""
        name = fields.get("request-id", "-")
        if path == "/health":
            connection.sendall(
                self.head(200, name, "Content-Length: 0\r\n\r\n"))
            return True
        os.write(self.arrived, f"{name}\n".encode())
        with self.lock:
            self.running += 1
        try:
            return self.work(connection, path, name)
        finally:
            with self.lock:
                self.running -= 1

    def work(self, connection, _path, name):
        body = f"{self.id} {name}\n".encode()
        connection.sendall(self.head(
            200, name, f"Content-Length: {len(body)}\r\n\r\n") + body)
        return True


class EndlessServer(Server):
    """Sends until the connection is closed."""

    def work(self, connection, path, name):
        _, _, form_name, status, pace = path.split("/")
        form = FORMS[form_name]
        end = "\r\n\r\n" if form.head_ends else ""
        connection.sendall(self.head(status, name, form.fields + end) +
                           form.begin)
        if pace == "fast":
            block = form.unit * (BLOCK_BYTES // len(form.unit))
            while True:
                connection.sendall(block)
        while True:
            connection.sendall(form.unit)
            if pace == "paced":
                time.sleep(PAUSE_S)
