"""What callers, servers and the operator have seen."""

import dataclasses
import json

PROMISES = {408, 421, 429, 503}  # not run, and never will be


@dataclasses.dataclass
class Call:
    """One attempt of a caller; times are of the monotonic clock."""

    id: str
    kind: str
    unsafe: bool
    entry: str
    connection: int            # number of the caller's connection
    position: int              # of the request on its connection, from 0
    prefix: str
    deadline: float            # seconds
    begin: float               # before its first byte
    sent: float | None = None  # when its last byte was given to the kernel
    turn: float = 0.0          # end of the answer before it, if pipelined
    end: float = 0.0
    status: int = 0            # 0: no whole answer
    # whole, closed, reset, cut (an answer had begun), garbage, gave_up,
    # behind_close (pipelined after an answer that closes the connection),
    # oversized (left because the answer was)
    how: str = ""
    stamp: str = ""
    closing: bool = False      # the answer says Connection: close
    wrong: str = ""            # what is wrong with the answer
    lag: float = 0.0           # longest delay of the caller's own loop
    body: int = 0              # bytes of the request's body
    oversized: bool = False    # more bytes came than a proper answer has

    @property
    def served(self):
        return 200 <= self.status < 300 and not self.wrong

    @property
    def stamped_by(self):
        """Instance that the answer's stamp names."""
        return self.stamp.rsplit(".", 3)[0] if self.stamp else ""


@dataclasses.dataclass
class Line:
    """One line of a server's ledger."""

    at: float
    word: str
    id: str
    instance: str
    fields: dict = dataclasses.field(default_factory=dict)


@dataclasses.dataclass
class Event:
    """One act of the operator or the platform."""

    at: float
    word: str
    subject: str
    fields: dict = dataclasses.field(default_factory=dict)


@dataclasses.dataclass
class Finding:
    """One broken rule."""

    rule: str
    at: float
    text: str
    entry: str = ""
    instance: str = ""
    id: str = ""


def read_calls(paths):
    calls = []
    for path in paths:
        with open(path, encoding="utf-8") as file:
            calls += [Call(**json.loads(line)) for line in file]
    return calls


def parse_line(text, instance):
    """A ledger's line; None for one that was cut by a kill."""
    words = text.split()
    if len(words) < 3 or not words[0].isdigit():
        return None
    fields = dict(word.partition("=")[::2] for word in words[3:])
    return Line(int(words[0]) / 1e6, words[1], words[2], instance, fields)


def read_ledgers(folder):
    lines = []
    for path in sorted(folder.iterdir()):
        for text in path.read_text(encoding="utf-8").splitlines():
            line = parse_line(text, path.name)
            if line:
                lines.append(line)
    return sorted(lines, key=lambda line: line.at)
