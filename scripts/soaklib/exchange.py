"""Requests of one caller on its connection, repeated as the protocol allows."""

import asyncio
import time

from . import wire
from .records import PROMISES, Call
from .requests import head_of, new_call, note_answer, note_end, upload_body

# A caller waits this long beyond its deadline, to see what is held.
PATIENCE = 1.0
ATTEMPTS = 4
FINAL = {400, 401, 404, 413, 431}  # not repeated by anybody


class Unreachable(Exception):
    """The entry takes no connection."""


def may_repeat(call):
    """Whether the protocol allows another attempt."""
    if call.status in FINAL or 200 <= call.status < 300:
        return False
    return call.status in PROMISES or not call.unsafe


class Exchange:
    """The connection of one caller and the requests on it."""

    def __init__(self, worker, name):
        self.worker = worker
        self.name = name
        self.connection = None
        self.count = 0
        self.unread = set()  # tasks that keep connections they don't read

    async def perform(self, entry, form):
        """One request with its repeats, each on a new connection."""
        limit = time.monotonic() + form.deadline
        for attempt in range(ATTEMPTS):
            left = limit - time.monotonic()
            if left <= 0.01:
                return
            try:
                await self.open(entry)
                call, retry_after = await self.attempt(form, left)
            except Unreachable:
                if attempt == 0:
                    raise
                return
            if not may_repeat(call):
                return
            self.drop()
            left = limit - time.monotonic()
            await asyncio.sleep(max(0.0, min(retry_after, left / 3)))

    async def pipeline(self, entry, writes):
        """Requests one behind the other, none of them repeated.

        writes: pairs of a pause and the forms that are written at once."""
        await self.open(entry)
        connection = self.connection
        sent = asyncio.Queue()
        sending = asyncio.create_task(
            self.send_behind(connection, writes, sent))
        before = None
        while item := await sent.get():
            form, call = item
            await self.receive_behind(form, call, before)
            if call.how != "whole" or call.closing:
                sending.cancel()
            before = call
            self.worker.record(call)
        if not before or before.how != "whole" or before.closing:
            self.drop()

    async def send_behind(self, connection, writes, sent):
        """Writes requests until the connection ends, and tells of each one;
        None is the last."""
        try:
            for pause, forms in writes:
                await asyncio.sleep(pause)
                calls = [new_call(form, self.next_id(), connection,
                                  form.deadline) for form in forms]
                connection.write(b"".join(
                    head_of(form, call) + upload_body(call.id, form)
                    for form, call in zip(forms, calls)))
                for form, call in zip(forms, calls):
                    call.sent = time.monotonic()
                    sent.put_nowait((form, call))
        except wire.Ended:
            pass
        finally:
            sent.put_nowait(None)

    async def receive_behind(self, form, call, before):
        """Waits for the answer to a pipelined request, if one can come."""
        if before:
            call.turn = before.end
        if before and (before.closing or before.how == "behind_close"):
            # That answer has ended the connection for all behind it.
            note_end(call, "behind_close", max(before.end, call.sent))
        elif before and before.how in ("gave_up", "oversized"):
            note_end(call, "gave_up", 0.0)
        else:
            await self.receive(form, call, call.begin)

    async def fetch(self, address, path):
        """A GET on a connection of its own; None without a whole answer."""
        try:
            connection = await wire.connect("", address)
        except (OSError, TimeoutError):
            return None
        try:
            connection.write(f"GET {path} HTTP/1.1\r\nHost: h\r\n\r\n".encode())
            return await connection.answer(time.monotonic() + 1.0, 0)
        except (wire.Ended, wire.Garbage, wire.Oversized, TimeoutError):
            return None
        finally:
            connection.close()

    # Parts.

    def next_id(self):
        self.count += 1
        return f"{self.name}-{self.count}"

    def drop(self):
        if self.connection:
            self.connection.close()
        self.connection = None

    async def open(self, entry):
        kept = self.connection
        if kept and (kept.ended or kept.buffer or kept.entry != entry):
            self.note_stray(kept)
            self.drop()
        if self.connection:
            return
        try:
            self.connection = await wire.connect(
                entry, self.worker.addresses[entry])
        except (OSError, TimeoutError):
            raise Unreachable from None

    def note_stray(self, connection):
        """Bytes that belong to no request, on a kept connection."""
        if not connection.buffer:
            return
        now = time.monotonic()
        self.worker.record(Call(
            self.next_id(), "stray", False, connection.entry,
            connection.number, connection.requests, "", 0.0, now, None, 0.0,
            now, how="stray", wrong=repr(bytes(connection.buffer[:60]))))

    async def attempt(self, form, deadline):
        connection = self.connection
        call = new_call(form, self.next_id(), connection, deadline)
        connection.read_over(form.size, form.read_time)
        answering = asyncio.create_task(self.receive(form, call, call.begin))
        try:
            await self.send(form, call, answering)
        except wire.Ended:
            pass
        retry_after = await answering
        self.worker.record(call)
        if call.how != "whole" or call.closing or call.sent is None or \
                form.half_closed:
            self.drop()
        return call, retry_after

    async def send(self, form, call, answering):
        connection = self.connection
        body = upload_body(call.id, form)
        connection.write(head_of(form, call))
        pieces = 8 if form.upload_time else 1
        step = len(body) // pieces + 1
        for start in range(0, len(body), step):
            if form.upload_time:
                await asyncio.wait([answering],
                                   timeout=form.upload_time / pieces)
            if answering.done():
                return  # answered early; the rest is not sent
            piece = body[start:start + step]
            if form.upload_chunked:
                piece = b"%x\r\n%s\r\n" % (len(piece), piece)
            connection.write(piece)
        if form.upload_chunked:
            connection.write(b"0\r\n\r\n")
        if connection.transport.get_write_buffer_size():
            await connection.flush()
        call.sent = time.monotonic()
        if form.half_closed:
            connection.transport.write_eof()

    async def receive(self, form, call, begin):
        """Waits for the answer; returns its Retry-After in seconds."""
        connection = self.connection
        limit = begin + form.upload_time + form.read_time + call.deadline + \
            PATIENCE
        try:
            answer = await connection.answer(limit, form.size)
        except wire.Ended as ended:
            note_end(call, str(ended), connection.ended_at)
        except wire.Garbage as garbage:
            note_end(call, "garbage", 0.0)
            call.wrong = str(garbage)
        except TimeoutError:
            note_end(call, "gave_up", 0.0)
        except wire.Oversized:
            call.oversized = True
            await self.take_oversized(call, limit)
        else:
            note_answer(form, call, answer)
            try:
                return float(answer.fields.get("retry-after", "0.05"))
            except ValueError:
                return 0.05
        return 0.05

    async def take_oversized(self, call, limit):
        """Goes on with an answer that has no end in one of three ways: reads
        on, stops reading, or closes."""
        connection = self.connection
        way = self.count % 3
        if way == 0:
            try:
                await connection.discard(limit)
                note_end(call, "cut", connection.ended_at)
            except TimeoutError:
                note_end(call, "gave_up", 0.0)
            return
        note_end(call, "oversized", 0.0)
        if way == 1:
            self.connection = None
            task = asyncio.create_task(connection.stop_reading(limit))
            self.unread.add(task)
            task.add_done_callback(self.unread.discard)
