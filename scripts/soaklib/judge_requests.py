"""Rules on single requests: TWICE, REFUSED, MIXED, UNASKED, HELD."""

from .records import PROMISES, Finding

OWN_IDS = ("calm-", "-")  # requests of the soak itself; no id


def twice(evidence):
    for call in evidence.calls:
        runs = evidence.runs(call.id)
        if call.unsafe and len(runs) > 1:
            places = ", ".join(line.instance for line in runs)
            yield Finding("TWICE", runs[1].at, f"run by {places}", call.entry,
                          runs[1].instance, call.id)


def refused(evidence):
    for call in evidence.calls:
        runs = evidence.runs(call.id)
        if call.unsafe and call.status in PROMISES and runs:
            yield Finding(
                "REFUSED", call.end, f"answered {call.status}, run "
                f"{runs[0].at - call.end:+.3f} s from the answer", call.entry,
                runs[0].instance, call.id)


def server_answer(evidence, call):
    """What the server that the stamp names has answered; None: nothing."""
    for line in evidence.lines_of[call.id]:
        if line.word == "answered" and line.instance == call.stamped_by:
            return int(line.fields["status"])
    return None


def mixed(evidence):
    for call in evidence.calls:
        text = call.wrong
        if call.oversized and not evidence.endless(call):
            text = "more bytes than the server's answer has"
        if not text and call.stamp and call.how == "whole":
            given = server_answer(evidence, call)
            if given != call.status:
                text = (f"status {call.status} with the stamp of "
                        f"{call.stamped_by}, which gave {given}")
        if text:
            yield Finding("MIXED", call.end, text, call.entry,
                          call.stamped_by, call.id)
    for call in evidence.strays:
        if not call.wrong.startswith("b'HTTP/1.1 4"):
            yield Finding("MIXED", call.end, "bytes that belong to no "
                          f"request: {call.wrong}", call.entry)


def unasked(evidence):
    known = evidence.call_of
    for line in evidence.lines:
        if line.word == "run" and line.id not in known and \
                not line.id.startswith(OWN_IDS):
            yield Finding("UNASKED", line.at, "run, but no caller sent it",
                          "", line.instance, line.id)


def held(evidence):
    """Requests that last beyond their deadline or the route's timeout."""
    bounds = evidence.bounds
    lasted, late = [], []
    for call in evidence.calls:
        if call.sent is None or call.how == "behind_close":
            continue
        limit = max(call.sent, call.turn) + evidence.timeout(call)
        if call.end < limit or not evidence.in_touch(call.entry, call.sent,
                                                     call.end):
            continue
        lasted.append(call)
        if call.end > limit + bounds.held_slack + call.lag:
            late.append(call)
    if len(late) >= bounds.held_least and \
            len(late) > bounds.held_share * len(lasted):
        first = late[0]
        yield Finding("HELD", first.end, f"{len(late)} of {len(lasted)} "
                      "requests that reached their limit have no answer "
                      f"{bounds.held_slack} s later", first.entry, "",
                      first.id)


RULES = [twice, refused, mixed, unasked, held]
