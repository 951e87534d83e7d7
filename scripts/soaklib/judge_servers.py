"""Rules on what reaches servers that leave or rest: DRAIN, BUDGET.

Which entry has sent a request is known from the caller: entries pass requests
on themselves."""

from .records import Finding


def answers_passed_on(evidence):
    """Times at which an entry had passed on an answer that said that its
    server leaves, by entry and instance."""
    out = {}
    for call in evidence.calls:
        if call.how != "whole" or not call.stamp:
            continue
        said = any(line.word == "answered" and "leaving" in line.fields and
                   line.instance == call.stamped_by
                   for line in evidence.lines_of[call.id])
        if said:
            out.setdefault((call.entry, call.stamped_by), []).append(call.end)
    return out


def drain_by_answers(evidence):
    passed = answers_passed_on(evidence)
    for (entry, instance), times in passed.items():
        for arrival in evidence.arrivals_at[instance]:
            call = evidence.call_of.get(arrival.id)
            if not call or call.entry != entry or call.sent is None:
                continue
            binding = [at for at in times
                       if call.sent > at + evidence.bounds.drain and
                       not evidence.interrupted(entry, at, arrival.at)]
            if binding:
                yield Finding(
                    "DRAIN", arrival.at, "sent "
                    f"{call.sent - binding[0]:.2f} s after an answer with "
                    "Server-Leaving was passed on", entry, instance, call.id)


def departures(evidence):
    """When the store, in order, took each server's leave."""
    left = {}
    for line in evidence.lines:
        if line.word in ("draining", "withdrawn") and \
                line.fields.get("store") == "200":
            since = line.at - evidence.bounds.stable_window
            if evidence.store_stable(since, line.at):
                left.setdefault(line.instance, line.at)
    return left


def drain_by_store(evidence):
    for instance, at in departures(evidence).items():
        for arrival in evidence.arrivals_at[instance]:
            call = evidence.call_of.get(arrival.id)
            if call and arrival.at > at + evidence.bounds.drain and \
                    evidence.in_touch(call.entry, call.begin, arrival.at):
                yield Finding(
                    "DRAIN", arrival.at, f"reached it {arrival.at - at:.2f} s "
                    "after the store took its leave", call.entry, instance,
                    call.id)


def budget(evidence):
    """Requests to a server that rests, by the entry that was told so."""
    bounds = evidence.bounds
    found = {}
    for line in evidence.lines:
        call = evidence.call_of.get(line.id)
        if line.word != "refused" or "retry_after_ms" not in line.fields or \
                not call or (call.entry, line.instance) in found:
            continue
        begin = line.at + bounds.rest_slack
        end = line.at + int(line.fields["retry_after_ms"]) / 1000
        reached = [a for a in evidence.arrivals_at[line.instance]
                   if begin < a.at < end and
                   sent_by(evidence, a) == call.entry and
                   not evidence.interrupted(call.entry, line.at, a.at)]
        if len(reached) > bounds.rest_requests:
            found[call.entry, line.instance] = Finding(
                "BUDGET", reached[bounds.rest_requests].at,
                f"{len(reached)} requests while the server rests, which it "
                f"said in the answer to {line.id}", call.entry, line.instance,
                reached[bounds.rest_requests].id)
    return found.values()


def sent_by(evidence, arrival):
    call = evidence.call_of.get(arrival.id)
    return call.entry if call else ""


RULES = [drain_by_answers, drain_by_store, budget]

