"""The judge of a run: all rules, and the report."""

import collections

from . import (judge_kept, judge_operator, judge_requests, judge_servers,
               judge_stops)
from .records import Finding


def progress(evidence):
    """Entries that do not serve in the calm phase."""
    for event in evidence.events_of[""]:
        if event.word != "progress":
            continue
        for entry in event.fields["missing"]:
            yield Finding("RECOVER", event.at, "serves nothing "
                          f"{evidence.bounds.recovery} s after the last "
                          "disturbance", entry)
        sent = [c for c in evidence.calls
                if c.begin > event.at and c.how != "gave_up"
                and c.kind != "idle"]
        served = sum(1 for call in sent if call.served)
        if not sent or served < evidence.bounds.served_share * len(sent):
            yield Finding("RECOVER", event.at, f"{served} of {len(sent)} "
                          "requests are served in the calm phase")


RULES = [*judge_requests.RULES, *judge_stops.RULES, *judge_servers.RULES,
         *judge_operator.RULES, *judge_kept.RULES, progress]


def judge(evidence):
    """All findings, by time."""
    out = [finding for rule in RULES for finding in rule(evidence)]
    return sorted(out, key=lambda finding: finding.at)


def report(evidence, findings, seed, began):
    """Lines that tell what was found."""
    for finding in findings:
        names = [f"seed={seed}"]
        names += [f"{key}={value}" for key, value in (
            ("entry", finding.entry), ("instance", finding.instance),
            ("id", finding.id)) if value]
        yield (f"{finding.rule} at {finding.at - began:.2f} s "
               f"{' '.join(names)}: {finding.text}; "
               f"near: {evidence.near(finding)}")


def summary(evidence, findings):
    """One line on a run."""
    served = sum(1 for call in evidence.calls if call.served)
    kinds = collections.Counter(finding.rule for finding in findings)
    stops = len([e for e in evidence.events if e.word == "SIGTERM"])
    red = " ".join(f"{rule}={count}" for rule, count in sorted(kinds.items()))
    endless = sum(1 for line in evidence.lines if line.word == "endless")
    peak = max((e.fields["mb"] for e in evidence.events
                if e.word == "memory"), default=0.0)
    return (f"{len(evidence.calls)} requests, {served} served, {endless} "
            f"without an end, {stops} SIGTERM, entries {peak:.0f} MB: "
            f"{red or 'good'}")
