"""Indexed records of a run, and the questions that the rules ask of them."""

import bisect
import collections

# What disturbs an entry without a plan. A kill at the end of the grace
# belongs to the planned stop.
FREEZES = {"SIGSTOP", "SIGCONT"}


class Evidence:
    """Calls, ledger lines and events of one run."""

    def __init__(self, calls, lines, events, bounds):
        self.calls = [call for call in calls if call.how != "stray"]
        self.strays = [call for call in calls if call.how == "stray"]
        self.lines = lines
        self.events = sorted(events, key=lambda event: event.at)
        self.bounds = bounds
        self.call_of = {call.id: call for call in self.calls}
        self.lines_of = collections.defaultdict(list)      # by request
        self.arrivals_at = collections.defaultdict(list)   # by instance
        for line in lines:
            self.lines_of[line.id].append(line)
        for line in lines:
            if line.word == "arrived" and not self.misdirected(line):
                self.arrivals_at[line.instance].append(line)
        self.events_of = collections.defaultdict(list)     # by subject
        for event in self.events:
            self.events_of[event.subject].append(event)

        self.on_connection = collections.defaultdict(list)
        for call in self.calls:
            self.on_connection[connection_of(call)].append(call)

    def before(self, call):
        """Requests before one on its connection."""
        return [one for one in self.on_connection[connection_of(call)]
                if one.position < call.position]

    def misdirected(self, arrival):
        return any(line.word == "misdirected" and
                   line.instance == arrival.instance
                   for line in self.lines_of[arrival.id])

    def runs(self, name):
        return [line for line in self.lines_of[name] if line.word == "run"]

    def arrivals(self, name):
        return [line for line in self.lines_of[name]
                if line.word == "arrived" and not self.misdirected(line)]

    def endless(self, call):
        """Whether a server says that it answered a request without an end."""
        return any(line.word == "endless" and line.at <= call.end
                   for line in self.lines_of[call.id])

    def work_end(self, run):
        """When a server's work on a request was over; None: never."""
        for line in self.lines_of[run.id]:
            if line.instance == run.instance and line.at >= run.at and \
                    line.word in ("answered", "dropped", "endless"):
                return line
        return None

    def work_over(self, run):
        """Time at which it was, at the latest by the end of the server."""
        line = self.work_end(run)
        if line:
            return line.at
        ended = self.between(run.instance, {"server-end"}, run.at,
                             float("inf"))
        return ended[0].at if ended else float("inf")

    def between(self, subject, words, begin, end):
        """Events of a subject in a span of time, oldest first."""
        known = self.events_of[subject]
        first = bisect.bisect_left(known, begin, key=lambda event: event.at)
        out = []
        for event in known[first:]:
            if event.at > end:
                break
            if event.word in words:
                out.append(event)
        return out

    # Entries.

    def stop_before(self, entry, at):
        """The SIGTERM that began the planned stop under way at a time."""
        limit = self.bounds.grace + 1.0
        first, restarted = None, False
        for event in self.between(entry, {"SIGTERM", "start"}, at - limit, at):
            if event.word == "start":
                # The stop binds until its limit all the same.
                restarted = True
            elif first is None or restarted:
                first, restarted = event, False
        return first

    def grace_kill(self, kill):
        """Whether a SIGKILL ended the process that a planned stop was for."""
        found = self.between(kill.subject, {"SIGTERM", "start", "exit"},
                             kill.at - self.bounds.grace - 1.0, kill.at)
        return bool(found) and found[-1].word == "SIGTERM"

    def unplanned(self, entry, begin, end):
        """Unplanned disturbance of an entry in a span of time."""
        found = self.between(entry, {"SIGKILL"} | FREEZES, begin, end)
        return [e for e in found
                if e.word != "SIGKILL" or not self.grace_kill(e)] \
            or self.frozen(entry, begin)

    def frozen(self, subject, at):
        """Whether a process was stopped at a time."""
        last = [e for e in self.events_of[subject]
                if e.word in FREEZES | {"SIGKILL", "start"} and e.at <= at]
        return [last[-1]] if last and last[-1].word == "SIGSTOP" else []

    def in_touch(self, entry, begin, end):
        """Whether nothing disturbed an entry or the store from the stable
        window before a span to its end."""
        since = begin - self.bounds.stable_window
        disturbed = self.between(
            entry, {"SIGTERM", "SIGKILL", "start", "exit"} | FREEZES, since,
            end)
        return not disturbed and not self.frozen(entry, since) and \
            self.store_stable(since, end)

    def interrupted(self, entry, begin, end):
        """Restart or freeze of an entry in a span of time."""
        return self.between(entry, {"start", "exit"} | FREEZES, begin, end) \
            or self.frozen(entry, begin)

    # The store and servers.

    def store_stable(self, begin, end):
        if self.between("store", {"store-good"}, begin, end):
            return False
        faults = [e for e in self.events if e.word in
                  ("store-fault", "store-good") and e.at <= end]
        return not faults or faults[-1].word == "store-good"

    def disturbed(self, instance, begin, end):
        """Whether a server was stopped in a span of time."""
        return self.between(instance, FREEZES, begin, end) or \
            self.frozen(instance, begin)

    def timeout(self, call):
        """Least time limit of the call's route that may have been in
        force."""
        return min([call.deadline,
                    *(fields["timeouts"].get(call.prefix, call.deadline)
                      for fields in self.in_force(call))])

    def largest_body(self, call):
        """Least limit of request bodies that may have been in force; an entry
        out of touch may go by any older one."""
        known = self.in_force(call) if self.in_touch(
            call.entry, call.begin, call.end) else [
                event.fields for event in self.events_of[""]
                if event.word == "config" and event.at <= call.end]
        return min((fields["body_limit"] for fields in known
                    if "body_limit" in fields), default=float("inf"))

    def in_force(self, call):
        """Configurations that may have been in force during a call."""
        since = call.begin - self.bounds.config_apply - 1.0
        before, out = [], []
        for event in self.events_of[""]:
            if event.word != "config" or event.at > call.end:
                continue
            if event.at < since:
                before = [event.fields]
            else:
                out.append(event.fields)
        return before + out

    def near(self, finding, span=8.0, most=5):
        """Nearest events, as text with times relative to the finding."""
        concerned = {finding.entry, finding.instance, "", "store"}
        close = [e for e in self.events if abs(e.at - finding.at) <= span and
                 (e.subject in concerned or e.word in
                  ("evacuated", "taking-back")) and e.word != "scene" and
                 e.fields.get("phase") != "done"]
        close.sort(key=lambda e: abs(e.at - finding.at))
        return ", ".join(
            f"{e.word}{' ' + e.subject if e.subject else ''} "
            f"{e.at - finding.at:+.2f} s" for e in close[:most])


def connection_of(call):
    """Worker processes number their connections apart, so the caller, which
    its requests' ids begin with, belongs to the name."""
    return call.id.rpartition("-")[0], call.connection


def config_windows(evidence):
    """Spans of time, apart from each other, in which new configurations are
    planned work."""
    sent = {}
    out = []
    for event in evidence.events_of[""]:
        if event.word != "config":
            continue
        version = event.fields["version"]
        if event.fields["phase"] == "sent":
            sent[version] = event.at
            continue
        begin = sent.get(version, event.at)
        end = event.at + evidence.bounds.config_apply + 1.0
        if out and begin <= out[-1][1]:
            begin = out.pop()[0]
        out.append((begin, end))
    return out
