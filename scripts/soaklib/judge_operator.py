"""Rules on what operators order: CONFIG, EVAC, DENIED."""

from .records import PROMISES, Finding

TOO_LARGE = 413
DENIED_LEAST = 5
DENIED_SHARE = 1 / 500


def allowed_services(evidence, prefix, since, until):
    """Services of a prefix in all versions that may be in force in a span:
    the newest one confirmed before it, and all that were sent within it."""
    newest = None
    out = set()
    for event in evidence.events_of[""]:
        if event.word != "config" or event.at > until:
            continue
        service = event.fields["services"].get(prefix)
        if event.fields["phase"] == "done" and event.at <= since:
            newest = service
        elif event.at > since:
            out.add(service)
    return out | {newest}


def config(evidence):
    """Requests that run as only an older version allows."""
    service_of = {event.subject: event.fields["service"]
                  for event in evidence.events if event.word == "server-start"}
    for line in evidence.lines:
        call = evidence.call_of.get(line.id)
        if line.word != "run" or not call or call.sent is None:
            continue
        if not evidence.in_touch(call.entry, call.begin, line.at):
            continue
        since = call.sent - evidence.bounds.config_apply
        allowed = allowed_services(evidence, call.prefix, since, line.at)
        if service_of[line.instance] not in allowed:
            yield Finding(
                "CONFIG", line.at, f"run by service "
                f"{service_of[line.instance]}, allowed: {sorted(allowed)}",
                call.entry, line.instance, call.id)


def evacuations(evidence):
    """Zone, confirmation and end of each evacuation."""
    begun = {}
    for event in evidence.events:
        if event.word == "evacuated":
            begun.setdefault(event.subject, event.at)
        elif event.word == "taking-back" and event.subject in begun:
            yield event.subject, begun.pop(event.subject), event.at
    for zone, at in begun.items():
        yield zone, at, float("inf")


def evacuate(evidence):
    """Requests that reach an evacuated zone later than the bound."""
    servers = [event for event in evidence.events
               if event.word == "server-start"]
    for zone, begin, end in evacuations(evidence):
        since = begin + evidence.bounds.evacuate
        for server in servers:
            if server.fields["zone"] != zone:
                continue
            for arrival in evidence.arrivals_at[server.subject]:
                call = evidence.call_of.get(arrival.id)
                if call and since < arrival.at < end and evidence.in_touch(
                        call.entry, call.begin, arrival.at):
                    yield Finding(
                        "EVAC", arrival.at, f"reached zone {zone} "
                        f"{arrival.at - begin:.2f} s after its evacuation",
                        call.entry, server.subject, call.id)


def denied(evidence):
    """Proper requests that an entry itself ends with 3xx or 4xx. A body above
    a limit that may be in force may be refused for it."""
    found = [call for call in evidence.calls
             if 300 <= call.status < 500 and not call.stamp and
             call.status not in PROMISES and not
             (call.status == TOO_LARGE and
              call.body > evidence.largest_body(call))]
    if len(found) > DENIED_LEAST + DENIED_SHARE * len(evidence.calls):
        first = found[0]
        yield Finding("DENIED", first.end, f"{len(found)} of "
                      f"{len(evidence.calls)} requests, this one with "
                      f"{first.status}", first.entry, "", first.id)


RULES = [config, evacuate, denied]
