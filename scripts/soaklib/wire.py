"""HTTP/1.1 as a caller sees it: whole answers, and how a connection ended."""

import asyncio
import dataclasses
import socket
import time

SLOW_BUFFER = 32_768  # bytes that a slow reader's kernel holds
# Bytes of an answer beyond twice its body: no more comes of a proper one.
FRAMING = 65_536


class Garbage(Exception):
    """Bytes that are no answer."""


class Ended(Exception):
    """The connection ended; the text says how."""


class Oversized(Exception):
    """More bytes than a proper answer has."""


@dataclasses.dataclass
class Answer:
    status: int
    fields: dict
    body: bytes

    @property
    def closing(self):
        return self.fields.get("connection", "").lower() == "close"


def parse_head(head):
    lines = head.decode("latin-1").split("\r\n")
    words = lines[0].split(" ")
    if not words[0].startswith("HTTP/1.") or len(words) < 2 \
            or not words[1].isdigit():
        raise Garbage(f"no answer: {lines[0][:60]!r}")
    fields = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        fields[name.strip().lower()] = value.strip()
    return int(words[1]), fields


@dataclasses.dataclass
class Chunks:
    """What was taken of a chunked body that is not whole yet."""

    start: int = 0     # of the next chunk in the buffer; 0: none was taken
    body: bytearray = dataclasses.field(default_factory=bytearray)


def take_chunks(buffer, start, taken):
    """Body and end of a chunked body; None while it is not whole."""
    start = taken.start or start
    body = taken.body
    while True:
        taken.start = start
        line_end = buffer.find(b"\r\n", start)
        if line_end < 0:
            return None
        try:
            size = int(bytes(buffer[start:line_end]).split(b";")[0], 16)
        except ValueError:
            raise Garbage("a chunk without a size") from None
        start = line_end + 2
        if len(buffer) < start + size + 2:
            return None
        if size == 0:
            return bytes(body), start + 2
        body += buffer[start:start + size]
        start += size + 2


def take_answer(buffer, chunks=None):
    """Removes the first whole answer from a buffer; None while it is not
    whole. Chunks that were taken for it before are not read again."""
    head_end = buffer.find(b"\r\n\r\n")
    if head_end < 0:
        if len(buffer) >= 5 and not buffer.startswith(b"HTTP/"):
            raise Garbage(f"no answer: {bytes(buffer[:60])!r}")
        return None
    status, fields = parse_head(bytes(buffer[:head_end]))
    start = head_end + 4
    if fields.get("transfer-encoding", "").lower() == "chunked":
        taken = take_chunks(buffer, start, chunks or Chunks())
        if taken is None:
            return None
        body, end = taken
    elif fields.get("content-length", "").isdigit():
        end = start + int(fields["content-length"])
        if len(buffer) < end:
            return None
        body = bytes(buffer[start:end])
    else:
        raise Garbage("an answer without a length")
    del buffer[:end]
    return Answer(status, fields, body)


class Connection(asyncio.Protocol):
    """One connection to an entry; not reused after its end."""

    count = 0

    def __init__(self, entry):
        Connection.count += 1
        self.number = Connection.count
        self.entry = entry
        self.requests = 0
        self.buffer = bytearray()
        self.transport = None
        self.ended = ""     # how, once it has
        self.ended_at = 0.0
        self.changed = asyncio.Event()
        self.pace = 0.0     # bytes a second that it takes in; 0: all at once
        self.discards = False  # what arrives from now on
        self.stopped = False   # reads nothing any more

    def connection_made(self, transport):
        self.transport = transport
        transport.set_write_buffer_limits(high=0)

    def read_over(self, size, seconds):
        """Takes the next answer of some size in over some time."""
        self.pace = size / seconds if seconds else 0.0
        if seconds and not self.ended:
            self.transport.get_extra_info("socket").setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, SLOW_BUFFER)

    def data_received(self, data):
        if self.discards:
            return
        self.buffer += data
        self.changed.set()
        if self.pace:
            self.transport.pause_reading()
            asyncio.get_running_loop().call_later(len(data) / self.pace,
                                                  self.read_on)

    def read_on(self):
        if not self.ended and not self.stopped:
            self.transport.resume_reading()

    def eof_received(self):
        self.finish("closed")

    def connection_lost(self, exc):
        self.finish("reset" if exc else "closed")

    def finish(self, how):
        if not self.ended:
            self.ended = how
            self.ended_at = time.monotonic()
        self.changed.set()

    def write(self, data):
        if self.ended:
            raise Ended(self.ended)
        self.transport.write(data)

    async def flush(self):
        """Waits until the kernel has all bytes."""
        while not self.ended and self.transport.get_write_buffer_size():
            await asyncio.sleep(0.002)
        if self.ended:
            raise Ended(self.ended)

    async def answer(self, limit, size):
        """The next whole answer, to a request for a body of some size.

        Raises Ended, Garbage, Oversized, or TimeoutError at the limit (a
        time)."""
        chunks = Chunks()
        while True:
            self.changed.clear()
            answer = take_answer(self.buffer, chunks)
            if answer:
                return answer
            if self.ended:
                raise Ended("cut" if self.buffer else self.ended)
            if len(self.buffer) > FRAMING + 2 * size:
                raise Oversized(f"{len(self.buffer)} bytes and no end of an "
                                f"answer of {size}")
            await asyncio.wait_for(self.changed.wait(),
                                   limit - time.monotonic())

    async def discard(self, limit):
        """Reads on without keeping anything, until the end."""
        self.discards = True
        self.pace = 0.0
        self.read_on()
        while not self.ended:
            self.changed.clear()
            await asyncio.wait_for(self.changed.wait(),
                                   limit - time.monotonic())

    async def stop_reading(self, limit):
        """Keeps the connection open and reads nothing, then closes it."""
        self.stopped = True
        if not self.ended:
            self.transport.pause_reading()
        await asyncio.sleep(max(0.0, limit - time.monotonic()))
        self.close()

    def close(self):
        if self.transport:
            self.transport.abort()
        self.finish("own")


async def connect(entry, address, timeout=1.0):
    """A new connection; raises OSError or TimeoutError."""
    host, _, port = address.partition(":")
    loop = asyncio.get_running_loop()
    _, connection = await asyncio.wait_for(
        loop.create_connection(lambda: Connection(entry), host, int(port)),
        timeout)
    return connection
