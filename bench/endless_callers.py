"""Callers of endless answers, and the others beside them.

Plain blocking sockets, one thread for each caller. Times are of
time.monotonic().
"""

import collections
import dataclasses
import http.client
import random
import socket
import statistics
import threading
import time

HOST = "jepu9.example"
READINGS = ("read", "slow", "none", "leave")
RETURN_S = 0.05      # until a caller of an endless answer asks again
OWN_STATUSES = (b"429", b"502", b"503", b"504")
PACE_S = 0.05        # between small requests of one caller
CONNECT_S = 1.0
# The users' rules: a request that was not passed on may be cut so soon.
LOSS_SLACK_S = 0.2


@dataclasses.dataclass
class Call:
    """One small request of another caller."""

    name: str
    kept: bool
    sent: float
    ended: float = 0.0
    status: int = 0   # 0: no whole answer
    cause: str = ""


def write_head(method, path, name, deadline_s):
    head = (f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\n"
            f"Request-Id: {name}\r\n"
            f"Deadline-Ms: {int(deadline_s * 1000)}\r\n")
    if method == "POST":
        head += "Content-Length: 0\r\n"
    return (head + "\r\n").encode()


class OtherCaller(threading.Thread):
    """Asks for small answers, on one connection as long as that is kept or on
    a new one for each."""

    def __init__(self, place, name, kept, method, deadline_s, until):
        super().__init__(daemon=True)
        self.place, self.label, self.kept = place, name, kept
        self.method, self.deadline_s, self.until = method, deadline_s, until
        self.path = "/small-post/x" if method == "POST" else "/small/x"
        self.calls = []
        self.unreached = []  # times at which no connection could be opened
        self.connection = None

    def run(self):
        while time.monotonic() < self.until:
            if self.connection is None and not self.connect():
                time.sleep(PACE_S)
                continue
            if not self.ask() or not self.kept:
                self.connection.close()
                self.connection = None
            time.sleep(PACE_S)

    def connect(self):
        try:
            self.connection = socket.create_connection(self.place, CONNECT_S)
            self.connection.settimeout(self.deadline_s)
            return True
        except OSError:
            self.unreached.append(time.monotonic())
            return False

    def ask(self):
        """Whether the connection can be used again."""
        name = f"{self.label}-{len(self.calls)}"
        call = Call(name, self.kept, time.monotonic())
        try:
            self.connection.sendall(write_head(self.method, self.path, name,
                                               self.deadline_s))
        except OSError:
            return False  # it was not sent whole
        self.calls.append(call)
        try:
            answer = http.client.HTTPResponse(self.connection,
                                              method=self.method)
            answer.begin()
            answer.read()
            call.status = answer.status
            if answer.status == 200 and \
                    answer.getheader("Response-Stamp") != f"s.{name}":
                call.status, call.cause = 0, "another request's answer"
            return not answer.will_close
        except (OSError, http.client.HTTPException) as error:
            call.cause = type(error).__name__
            return False
        finally:
            call.ended = time.monotonic()


class EndlessCaller(threading.Thread):
    """Asks for answers without an end, again when one has ended."""

    def __init__(self, place, name, method, plays, reading, deadline_s, until,
                 seed):
        super().__init__(daemon=True)
        self.place, self.label, self.method = place, name, method
        self.plays, self.reading = plays, reading
        self.deadline_s, self.until = deadline_s, until
        self.random = random.Random(seed)
        self.ends = collections.Counter()
        self.taken = 0

    def run(self):
        count = 0
        while time.monotonic() < self.until:
            count += 1
            prefix = "/endless-post" if self.method == "POST" else "/endless"
            path = f"{prefix}/{self.random.choice(self.plays)}"
            try:
                with socket.create_connection(self.place, CONNECT_S) as one:
                    one.sendall(write_head(self.method, path,
                                           f"{self.label}-{count}",
                                           self.deadline_s))
                    self.ends[self.take(one)] += 1
            except OSError as error:
                self.ends[type(error).__name__] += 1
            time.sleep(RETURN_S)

    def take(self, connection):
        """Takes the answer as this caller does; returns how it ended."""
        end = self.until
        if self.reading == "leave":
            end = min(end, time.monotonic() + self.random.uniform(0.05, 1))
        if self.reading == "none":
            return self.leave_unread(connection, end)
        size = 4096 if self.reading == "slow" else 65536
        head, got = b"", 0
        while time.monotonic() < end:
            connection.settimeout(max(0.01, end - time.monotonic()))
            try:
                piece = connection.recv(size)
            except TimeoutError:
                break
            except ConnectionError:
                piece = b""
            if not piece:
                return f"{head[9:12].decode() or 'nothing'} then cut"
            head = (head + piece)[:12]
            got += len(piece)
            self.taken += len(piece)
            if head[9:12] in OWN_STATUSES:
                return head[9:12].decode()
            if self.reading == "slow":
                time.sleep(0.05)
        return f"{head[9:12].decode() or 'nothing'} left"

    def leave_unread(self, connection, end):
        """Leaves an answer in the kernel until a little behind the
        deadline."""
        end = min(end, time.monotonic() + self.deadline_s + 0.5)
        connection.settimeout(max(0.01, end - time.monotonic()))
        try:
            status = connection.recv(12, socket.MSG_PEEK)[9:12]
        except TimeoutError:
            return "nothing left"
        if not status or status in OWN_STATUSES:
            return status.decode() or "nothing then cut"
        time.sleep(max(0.0, end - time.monotonic()))
        return f"{status.decode()} not read"


def run_endless(pipe, callers):
    """Body of the process of the callers of endless answers."""
    for caller in callers:
        caller.start()
    for caller in callers:
        caller.join()
    ends = collections.Counter()
    for caller in callers:
        ends.update(caller.ends)
    pipe.send((ends, sum(caller.taken for caller in callers)))


def run_others(pipe, callers):
    """Body of the process of the other callers."""
    for caller in callers:
        caller.start()
    for caller in callers:
        caller.join()
    pipe.send(([call for caller in callers for call in caller.calls],
               [at for caller in callers for at in caller.unreached]))


@dataclasses.dataclass
class Verdict:
    """How the requests of others ended."""

    asked: int
    lost: list
    refused: int
    failed: int
    p50_ms: float
    slowest_ms: float


def judge(calls, passed_on, stops, kills=()):
    """`passed_on` holds the names of requests that a server got, `stops` the
    spans between a SIGTERM and the next start. A request that crosses the
    close of such a span and was not passed on is not lost; nor is one that
    ends with a SIGKILL, in one of `kills`."""
    lost = []
    for call in calls:
        if call.status:
            continue
        crossed = (call.name not in passed_on and
                   call.ended - call.sent <= LOSS_SLACK_S and
                   any(begin <= call.ended <= end for begin, end in stops))
        killed = any(begin <= call.ended <= end for begin, end in kills)
        if not crossed and not killed:
            lost.append(call)
    took = [(call.ended - call.sent) * 1000 for call in calls if call.status]
    return Verdict(
        len(calls), lost,
        sum(call.status in (408, 421, 429, 503) for call in calls),
        sum(call.status in (500, 502, 504) for call in calls),
        statistics.median(took) if took else float("nan"),
        max(took, default=float("nan")))
