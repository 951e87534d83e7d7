"""Rules on requests that are cut, in planned work and otherwise, and on ends
of entries: LOST, EXIT."""

import collections
import signal

from .evidence import config_windows
from .records import Finding

CUT = {"closed", "reset", "cut", "behind_close"}
ROUNDED = 0.001  # seconds; Deadline-Ms counts whole milliseconds


def at_limit(evidence, call):
    """Whether the deadline or the route's timeout was reached."""
    return call.end - call.begin >= evidence.timeout(call) - ROUNDED


def server_fault(evidence, call):
    """Whether the server that had the request last broke off and no other was
    at work on it."""
    arrivals = evidence.arrivals(call.id)
    if not arrivals:
        return False
    last = arrivals[-1]
    return server_broke(evidence, last, call.end) and not any(
        run.instance != last.instance and
        evidence.work_over(run) > call.end
        for run in evidence.runs(call.id))


def server_broke(evidence, arrival, end):
    broke = any(line.word in ("broke", "endless") and
                line.instance == arrival.instance and
                arrival.at <= line.at <= end
                for line in evidence.lines_of[arrival.id])
    return broke or bool(evidence.between(arrival.instance, {"server-end"},
                                          arrival.at, end))


def silent_server(evidence, call):
    """Whether the server that had the request last was stopped meanwhile."""
    arrivals = evidence.arrivals(call.id)
    return bool(arrivals) and bool(evidence.disturbed(
        arrivals[-1].instance, arrivals[-1].at, call.end))


def long_work(evidence, call, term):
    """Whether a server was still at work in the last sixth of the grace on
    a request that was sent soon enough, or on one before it."""
    return any(worked_long(evidence, one, term)
               for one in [call, *broken_before(evidence, call,
                                                {"closed", "reset", "cut"})])


def worked_long(evidence, call, term):
    bounds = evidence.bounds
    if call.sent is None or call.sent > term.at + bounds.excused_sent:
        return False
    for run in evidence.runs(call.id):
        if evidence.work_over(run) >= term.at + bounds.last_sixth:
            return True
    return False


def broken_before(evidence, call, hows):
    """Pipelined requests before one that ended their connection without a
    whole answer: nothing behind them can be answered."""
    return [one for one in evidence.before(call) if one.how in hows]


def lost_whole(evidence, call):
    """Whether a request that was sent whole ended without an answer in a way
    that no crossing of the close explains."""
    if call.how not in CUT or call.sent is None:
        return False
    if evidence.arrivals(call.id):
        return True
    waited = call.end - call.sent - call.lag
    return waited > evidence.bounds.loss_slack


def answered_instead(evidence, call):
    """Whether the entry gave its own answer while a server was at work."""
    if call.how != "whole" or call.stamp or 200 <= call.status < 300:
        return False
    for run in evidence.runs(call.id):
        end = evidence.work_end(run)
        if run.at < call.end and (evidence.work_over(run) > call.end or
                                  (end and end.word == "dropped")):
            return True
    return False


def excused(evidence, call):
    since = call.begin - evidence.bounds.stable_window
    # Before an answer has begun, the entry can give one of its own and go on.
    return any(at_limit(evidence, one) or server_fault(evidence, one)
               for one in [call, *broken_before(evidence, call, {"cut"})]) or \
        bool(evidence.unplanned(call.entry, since, call.end))


def describe(evidence, call, why):
    sent = f"sent {call.sent - call.end:+.2f} s" if call.sent else "not whole"
    runs = evidence.runs(call.id)
    work = f"run by {runs[-1].instance}" if runs else (
        "reached a server" if evidence.arrivals(call.id) else "not passed on")
    return f"{call.kind}: {why}, status {call.status}, {sent}, {work}"


def reloaded(evidence, call):
    """The reload in whose window a request was sent and cut."""
    reloads = evidence.between(call.entry, {"SIGHUP"},
                               call.begin - evidence.bounds.config_apply,
                               call.end)
    return bool(reloads) and \
        call.sent <= reloads[-1].at + evidence.bounds.config_apply


def lost_in_stops(evidence):
    for call in evidence.calls:
        broken = lost_whole(evidence, call)
        instead = answered_instead(evidence, call)
        if (not broken and not instead) or excused(evidence, call):
            continue
        term = evidence.stop_before(call.entry, call.end)
        if term and not long_work(evidence, call, term):
            why = ("own answer in place of the server's" if instead else
                   f"connection {call.how}")
            yield Finding(
                "LOST", call.end, describe(evidence, call, why) +
                f", {call.end - term.at:.2f} s after SIGTERM", call.entry, "",
                call.id)
        elif not term and broken and reloaded(evidence, call):
            yield Finding("LOST", call.end, describe(
                evidence, call, f"connection {call.how}") + ", after SIGHUP",
                call.entry, "", call.id)


def lost_by_configuration(evidence):
    """Entries that cut over three times as often while a configuration comes
    into force as at other times."""
    windows = config_windows(evidence)
    inside = collections.defaultdict(list)
    outside = collections.Counter()
    for call in evidence.calls:
        if not lost_whole(evidence, call) or excused(evidence, call) or \
                evidence.stop_before(call.entry, call.end):
            continue
        used = (call.end - call.begin) / evidence.timeout(call)
        if any(begin <= call.end <= end for begin, end in windows):
            if used < 0.7:
                inside[call.entry].append(call)
        else:
            outside[call.entry] += 1
    length = sum(end - begin for begin, end in windows)
    ends = [call.end for call in evidence.calls]
    rest = max(1.0, (max(ends) - min(ends) if ends else 0.0) - length)
    for entry, calls in inside.items():
        if len(calls) / max(length, 1.0) > 3 * outside[entry] / rest:
            yield Finding("LOST", calls[0].end, describe(
                evidence, calls[0], f"{len(calls)} cut beside a new "
                "configuration"), entry, "", calls[0].id)


def lost_at_any_time(evidence):
    """Requests from kept connections that were passed on to a sound server,
    at entries in touch."""
    found = collections.defaultdict(list)
    for call in evidence.calls:
        if call.position > 0 and lost_whole(evidence, call) and \
                evidence.arrivals(call.id) and \
                not excused(evidence, call) and \
                not silent_server(evidence, call) and \
                not evidence.stop_before(call.entry, call.end) and \
                evidence.in_touch(call.entry, call.begin, call.end):
            found[call.entry].append(call)
    for entry, calls in found.items():
        if len(calls) > evidence.bounds.cuts_at_any_time:
            yield Finding("LOST", calls[0].end, describe(
                evidence, calls[0], f"{len(calls)} cut at no planned work"),
                entry, "", calls[0].id)


def ends(evidence):
    """Entries that ended by themselves or with a wrong code."""
    started = {}
    for event in evidence.events:
        if event.word == "start":
            started[event.subject] = event.at
        if event.word != "exit":
            continue
        since = started.get(event.subject, 0.0)
        told = {e.word for e in evidence.between(
            event.subject, {"SIGTERM", "SIGKILL"}, since, event.at)}
        code = event.fields["code"]
        # Before its handlers are there, SIGTERM ends a process that takes no
        # connections yet.
        early = code == -signal.SIGTERM and not any(
            call.entry == event.subject and since < call.begin < event.at
            for call in evidence.calls)
        if "SIGTERM" in told and "SIGKILL" in told:
            if evidence.between(event.subject, {"SIGSTOP", "SIGCONT"},
                                since, event.at):
                continue
            text = "still ran at the end of the grace"
        elif "SIGKILL" in told or early:
            continue
        elif "SIGTERM" not in told:
            text = f"ended by itself with code {code}"
        elif code != 0:
            text = f"ended with code {code} after SIGTERM"
        else:
            continue
        if event.fields.get("last"):
            text += f", last line: {event.fields['last']}"
        yield Finding("EXIT", event.at, text, event.subject)


def memory(evidence):
    """Processes of entries that grew beyond the smallest machines."""
    for event in evidence.events:
        if event.word == "memory" and \
                event.fields["mb"] > evidence.bounds.memory_mb:
            yield Finding("MEMORY", event.at, f"{event.fields['mb']:.0f} MB "
                          "resident at most, bound "
                          f"{evidence.bounds.memory_mb:g}", event.subject)


RULES = [lost_in_stops, lost_by_configuration, lost_at_any_time, ends, memory]
