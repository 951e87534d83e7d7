"""Rules on what an entry has learned once: CONFIG, EVAC, DRAIN.

A store that is away, or returns from a copy, takes back nothing that it has
confirmed. What other rules judge, they judge."""

from .judge_operator import evacuations
from .judge_servers import departures
from .records import Finding


class Knowledge:
    """Whether an entry must know of a change, and since when it is bound."""

    def __init__(self, evidence):
        self.evidence = evidence
        self.learned = {}  # by entry, time of the change and bound

    def binds(self, entry, change, bound, at):
        """The entry was in touch until the bound of a change had passed, and
        has run on to a time after it."""
        end = change + bound
        if at <= end:
            return False
        key = (entry, change, bound)
        if key not in self.learned:
            self.learned[key] = self.evidence.in_touch(entry, change, end)
        return self.learned[key] and \
            not self.evidence.interrupted(entry, change, at)


def confirmed(evidence, knowledge, entry, at):
    """The newest configuration that an entry must know of at a time: its
    event; None if there is none."""
    bound = evidence.bounds.config_apply
    known = [event for event in evidence.events_of[""]
             if event.word == "config" and event.fields["phase"] == "done" and
             knowledge.binds(entry, event.at, bound, at)]
    return known[-1] if known else None


def config(evidence):
    """Requests that run as only a version allows that is older than one the
    entry had."""
    knowledge = Knowledge(evidence)
    service_of = {event.subject: event.fields["service"]
                  for event in evidence.events if event.word == "server-start"}
    for line in evidence.lines:
        call = evidence.call_of.get(line.id)
        if line.word != "run" or not call or call.sent is None or \
                evidence.in_touch(call.entry, call.begin, line.at):
            continue
        newest = confirmed(evidence, knowledge, call.entry, call.sent)
        if not newest:
            continue
        allowed = {event.fields["services"].get(call.prefix)
                   for event in evidence.events_of[""]
                   if event.word == "config" and
                   newest.at <= event.at <= line.at}
        if service_of[line.instance] not in allowed:
            yield Finding(
                "CONFIG", line.at, f"run by service "
                f"{service_of[line.instance]}, as before version "
                f"{newest.fields['version']} of {line.at - newest.at:.2f} s "
                "ago", call.entry, line.instance, call.id)


def unrouted(evidence):
    """404 for a route that is in force; no version takes one away."""
    knowledge = Knowledge(evidence)
    for call in evidence.calls:
        if call.status != 404 or call.stamp:
            continue
        if evidence.in_touch(call.entry, call.begin, call.end):
            at = call.begin - evidence.bounds.config_apply
            done = [event for event in evidence.events_of[""]
                    if event.word == "config" and event.at <= at and
                    event.fields["phase"] == "done"]
            newest = done[-1] if done else None
        else:
            newest = confirmed(evidence, knowledge, call.entry, call.begin)
        if newest and call.prefix in newest.fields["services"]:
            yield Finding(
                "CONFIG", call.end, f"404 for {call.prefix} "
                f"{call.begin - newest.at:.2f} s after version "
                f"{newest.fields['version']}", call.entry, "", call.id)


def reached_late(evidence, knowledge, instance, change, bound, end):
    """Requests of entries that must know of a change, but were not in touch
    any more when they came to an instance."""
    for arrival in evidence.arrivals_at[instance]:
        call = evidence.call_of.get(arrival.id)
        if call and arrival.at < end and \
                knowledge.binds(call.entry, change, bound, arrival.at) and \
                not evidence.in_touch(call.entry, call.begin, arrival.at):
            yield arrival, call


def evacuate(evidence):
    knowledge = Knowledge(evidence)
    bound = evidence.bounds.evacuate
    servers = [event for event in evidence.events
               if event.word == "server-start"]
    for zone, begin, end in evacuations(evidence):
        for server in servers:
            if server.fields["zone"] != zone:
                continue
            for arrival, call in reached_late(evidence, knowledge,
                                              server.subject, begin, bound,
                                              end):
                yield Finding(
                    "EVAC", arrival.at, f"reached zone {zone} "
                    f"{arrival.at - begin:.2f} s after an evacuation that the "
                    "entry knew", call.entry, server.subject, call.id)


def drain(evidence):
    knowledge = Knowledge(evidence)
    bound = evidence.bounds.drain
    for instance, at in departures(evidence).items():
        for arrival, call in reached_late(evidence, knowledge, instance, at,
                                          bound, float("inf")):
            yield Finding(
                "DRAIN", arrival.at, f"reached it {arrival.at - at:.2f} s "
                "after a leave that the entry knew", call.entry, instance,
                call.id)


RULES = [config, unrouted, evacuate, drain]
