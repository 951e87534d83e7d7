"""LOST and EXIT: breaches and their limits."""

import unittest

from made_up import (PASSED_ON, SERVER, TERM, call, configured, cut, event,
                     evidence, in_stop, line, refusal, rules)
from soaklib import judge_stops as judge
from soaklib.evidence import config_windows


class Stop(unittest.TestCase):
    def test_cut_after_it_was_passed_on(self):
        for how in ("closed", "reset", "cut"):
            soon = cut(how=how, end=100.1)
            self.assertEqual(in_stop([soon], PASSED_ON), ["LOST"])

    def test_safe_ones_too(self):
        self.assertEqual(in_stop([cut(unsafe=False)], PASSED_ON), ["LOST"])

    def test_not_passed_on_but_held(self):
        self.assertEqual(in_stop([cut(end=100.21)]), ["LOST"])

    def test_crossed_the_close(self):
        self.assertEqual(in_stop([cut(end=100.19)]), [])

    def test_a_pipelined_request_counts_from_its_last_byte(self):
        self.assertEqual(in_stop([cut(end=100.19, turn=100.1)]), [])
        self.assertEqual(in_stop([cut(end=101.1, turn=101.0)]), ["LOST"])

    def test_behind_an_answer_that_closes(self):
        behind = {"how": "behind_close", "position": 2}
        self.assertEqual(in_stop([cut(end=100.21, **behind)]), ["LOST"])
        self.assertEqual(in_stop([cut(end=100.19, **behind)]), [])
        self.assertEqual(in_stop([cut(end=100.3, lag=0.15, **behind)]), [])

    def test_a_late_caller_does_not_count(self):
        self.assertEqual(in_stop([cut(end=100.3, lag=0.15)]), [])

    def test_not_sent_whole(self):
        self.assertEqual(in_stop([cut(sent=None)], PASSED_ON), [])

    def test_no_stop(self):
        found = judge.lost_in_stops(evidence([cut()], PASSED_ON))
        self.assertEqual(rules(found), [])

    def test_long_after_the_stop(self):
        self.assertEqual(in_stop([cut(begin=104.0, sent=104.0, end=104.3)],
                                 PASSED_ON), [])

    def test_a_second_signal_does_not_begin_the_stop_anew(self):
        # Sent 4 s after the first signal, so long work excuses nothing.
        late = cut(end=101.9)
        again = event(98.0, "SIGTERM")
        self.assertEqual(in_stop([late], PASSED_ON, [again]), ["LOST"])


class Instead(unittest.TestCase):
    def test_an_own_answer_while_the_server_works(self):
        self.assertEqual(in_stop([refusal(status=502)], PASSED_ON), ["LOST"])
        dropped = [*PASSED_ON, line(100.15, "dropped")]
        self.assertEqual(in_stop([refusal(status=502)], dropped), ["LOST"])

    def test_after_the_server_has_answered(self):
        lines = [*PASSED_ON, line(100.1, "answered", status="200")]
        self.assertEqual(in_stop([refusal(status=502)], lines), [])

    def test_an_answer_before_the_last_byte_was_noted(self):
        early = refusal(status=502, sent=None)
        self.assertEqual(in_stop([early], PASSED_ON), ["LOST"])

    def test_after_the_server_has_ended(self):
        ended = event(100.08, "server-end", SERVER)
        refused = [line(100.1, "arrived", instance="i-2"),
                   line(100.1, "refused", instance="i-2")]
        self.assertEqual(in_stop([refusal(unsafe=False)],
                                 PASSED_ON + refused, [ended]), [])
        self.assertEqual(in_stop([refusal(unsafe=False)],
                                 PASSED_ON + refused), ["LOST"])

    def test_a_true_refusal(self):
        self.assertEqual(in_stop([refusal()]), [])


class Reload(unittest.TestCase):
    def found(self, at, **changes):
        return rules(judge.lost_in_stops(evidence(
            [cut(**changes)], PASSED_ON, [event(at, "SIGHUP")])))

    def test_sent_and_cut_in_its_window(self):
        self.assertEqual(self.found(100.1), ["LOST"])
        self.assertEqual(self.found(98.1), ["LOST"])

    def test_sent_later(self):
        self.assertEqual(self.found(97.9), [])

    def test_cut_before(self):
        self.assertEqual(self.found(100.3), [])


class Configuration(unittest.TestCase):
    events = [configured(99.0, "sent", 8), configured(99.1, "done", 8)]

    def found(self, others):
        calls = [cut("r1"), *others, call("a", begin=60.0, end=60.0),
                 call("z", begin=130.0, end=130.0)]
        lines = [*PASSED_ON]
        for one in others:
            lines.append(line(one.sent, "arrived", one.id))
        return rules(judge.lost_by_configuration(
            evidence(calls, lines, self.events)))

    def test_cut_beside_a_change_alone(self):
        self.assertEqual(self.found([]), ["LOST"])

    def test_cut_as_often_at_other_times(self):
        others = [cut(f"o{i}", begin=110.0 + i, sent=110.0 + i,
                      end=110.3 + i) for i in range(8)]
        self.assertEqual(self.found(others), [])

    def test_changes_that_overlap_are_one_window(self):
        events = [*self.events, configured(100.0, "sent", 9),
                  configured(100.1, "done", 9)]
        self.assertEqual(config_windows(evidence((), (), events)),
                         [(99.0, 103.1)])

    def test_most_of_its_time_was_used(self):
        calls = [cut(deadline=0.28), call("z", begin=130.0, end=130.0)]
        found = judge.lost_by_configuration(
            evidence(calls, PASSED_ON, self.events))
        self.assertEqual(rules(found), [])


class AtAnyTime(unittest.TestCase):
    def found(self, count, events=(), **changes):
        calls = [cut(f"r{i}", **changes) for i in range(count)]
        lines = [line(100.1, "arrived", one.id) for one in calls]
        return rules(judge.lost_at_any_time(evidence(calls, lines, events)))

    def test_more_than_the_bound(self):
        self.assertEqual(self.found(4), ["LOST"])

    def test_three(self):
        self.assertEqual(self.found(3), [])

    def test_new_connections(self):
        self.assertEqual(self.found(4, position=0), [])

    def test_out_of_touch(self):
        self.assertEqual(self.found(4, [event(98.0, "start")]), [])
        self.assertEqual(self.found(4, [event(96.0, "start")]), ["LOST"])

    def test_planned_stops_are_judged_one_by_one(self):
        self.assertEqual(self.found(4, [event(96.0, "SIGTERM")]), [])
        self.assertEqual(self.found(4, [event(93.0, "SIGTERM")]), ["LOST"])

    def test_a_broken_server(self):
        ended = event(100.15, "server-end", SERVER)
        self.assertEqual(self.found(4, [ended]), [])

    def test_a_server_that_is_not_sound(self):
        silent = event(100.15, "SIGSTOP", SERVER)
        self.assertEqual(self.found(4, [silent]), [])


class Exit(unittest.TestCase):
    def found(self, code, *words, calls=()):
        events = [event(90.0, "start")]
        events += [event(95.0 + i, word) for i, word in enumerate(words)]
        events.append(event(101.0, "exit", code=code))
        return rules(judge.ends(evidence(calls, (), events)))

    def test_by_itself(self):
        self.assertEqual(self.found(0), ["EXIT"])
        self.assertEqual(self.found(-11), ["EXIT"])
        self.assertEqual(self.found(-1, "SIGHUP"), ["EXIT"])

    def test_a_planned_stop(self):
        self.assertEqual(self.found(0, "SIGTERM"), [])
        self.assertEqual(self.found(1, "SIGTERM"), ["EXIT"])

    def test_the_end_of_the_grace(self):
        self.assertEqual(self.found(-9, "SIGTERM", "SIGKILL"), ["EXIT"])
        self.assertEqual(
            self.found(-9, "SIGTERM", "SIGSTOP", "SIGKILL"), [])

    def test_a_kill(self):
        self.assertEqual(self.found(-9, "SIGKILL"), [])

    def test_a_signal_before_it_takes_connections(self):
        self.assertEqual(self.found(-15, "SIGTERM"), [])
        self.assertEqual(self.found(-15, "SIGTERM", calls=[call()]),
                         ["EXIT"])


if __name__ == "__main__":
    unittest.main()
