"""Requests of the soak's callers, and what is right as their answer."""

import dataclasses
import time
import zlib

from .records import Call

HOST = "soak.example"


@dataclasses.dataclass
class Form:
    """What a request asks for."""

    kind: str
    method: str
    prefix: str
    unsafe: bool
    size: int = 512     # bytes of the answer's body
    chunked: bool = False
    upload: int = 0     # bytes of the request's body
    upload_chunked: bool = False
    upload_time: float = 0.0
    read_time: float = 0.0      # takes the answer in over this time
    half_closed: bool = False   # shuts its sending side behind the request
    deadline: float = 8.0


def repeated(text, size):
    data = text.encode()
    return (data * (size // len(data) + 1))[:size]


def upload_body(name, form):
    return repeated(name + " upload\n", form.upload)


def new_call(form, name, connection, deadline):
    position = connection.requests
    connection.requests += 1
    return Call(name, form.kind, form.unsafe, connection.entry,
                connection.number, position, form.prefix, deadline,
                time.monotonic(), body=form.upload)


def head_of(form, call):
    """Head of a request, without its body."""
    path = f"{form.prefix}{call.id}?size={form.size}"
    if form.chunked:
        path += "&chunked=1"
    lines = [f"{form.method} {path} HTTP/1.1", f"Host: {HOST}",
             f"Request-Id: {call.id}",
             f"Deadline-Ms: {max(1, int(call.deadline * 1000))}"]
    if form.upload_chunked:
        lines.append("Transfer-Encoding: chunked")
    elif form.method != "GET":
        lines.append(f"Content-Length: {form.upload}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def problem(form, call, answer):
    """What is wrong with an answer; empty if nothing is."""
    echoed = answer.fields.get("request-id", "")
    if echoed and echoed != call.id:
        return f"answer of request {echoed}"
    if not 200 <= answer.status < 300:
        return ""
    if not call.stamp:
        return "a success without a stamp"
    if not echoed:
        return "a success without a request id"
    body = upload_body(call.id, form)
    told = call.stamp.rsplit(".", 3)[1:]
    if told != [str(form.size), str(len(body)), str(zlib.adler32(body))]:
        return f"the server saw another request: stamp {call.stamp}"
    line = f"{call.id} {call.stamped_by}\n"
    if answer.body != repeated(line, form.size):
        return f"a body of {len(answer.body)} bytes is not the server's"
    return ""


def note_answer(form, call, answer):
    call.end = time.monotonic()
    call.how = "whole"
    call.status = answer.status
    call.stamp = answer.fields.get("response-stamp", "")
    call.closing = answer.closing
    call.wrong = problem(form, call, answer)


def note_end(call, how, at):
    call.end = at or time.monotonic()
    call.how = how
