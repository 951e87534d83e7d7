"""Made-up records for tests of the judge; times are in seconds."""

import pathlib
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
sys.path.insert(0, str(ROOT / "scripts"))

from soaklib import judge_stops  # noqa: E402
from soaklib.bounds import Bounds  # noqa: E402
from soaklib.evidence import Evidence  # noqa: E402
from soaklib.records import Call, Event, Line  # noqa: E402

ENTRY = "e1"
SERVER = "i-1"


def call(name="r1", **changes):
    """A POST sent at 100.0 that got its answer at 100.2."""
    values = {"id": name, "kind": "book", "unsafe": True, "entry": ENTRY,
              "connection": 1, "position": 1, "prefix": "/book/",
              "deadline": 8.0, "begin": 100.0, "sent": 100.0, "end": 100.2,
              "status": 200, "how": "whole",
              "stamp": f"{SERVER}.512.0.1"}
    return Call(**{**values, **changes})


def cut(name="r1", **changes):
    """A request whose connection closed without an answer."""
    return call(name, **{"status": 0, "how": "closed", "stamp": "",
                         **changes})


def refusal(name="r1", **changes):
    """A request that the entry answered with 503."""
    return call(name, **{"status": 503, "stamp": "", **changes})


def line(at, word, name="r1", instance=SERVER, **fields):
    return Line(at, word, name, instance, fields)


def served(name="r1", at=100.1, instance=SERVER, **fields):
    """Lines of a request that a server ran and answered."""
    return [line(at, "arrived", name, instance),
            line(at, "run", name, instance),
            line(at + 0.05, "answered", name, instance, status="200",
                 **fields)]


def event(at, word, subject=ENTRY, **fields):
    return Event(at, word, subject, fields)


def configured(at, phase, version, service="steady", timeout=9.0, **limits):
    return event(at, "config", "", phase=phase, version=version,
                 timeouts={"/book/": timeout}, services={"/book/": service},
                 **limits)


def evidence(calls=(), lines=(), events=()):
    return Evidence(list(calls), sorted(lines, key=lambda one: one.at),
                    list(events), Bounds())


def rules(found):
    return [finding.rule for finding in found]


TERM = event(96.0, "SIGTERM")
PASSED_ON = [line(100.05, "arrived"), line(100.05, "run")]


def in_stop(calls, lines=(), events=()):
    """Rules broken around a SIGTERM 4 s before the calls."""
    return rules(judge_stops.lost_in_stops(
        evidence(calls, lines, [TERM, *events])))
