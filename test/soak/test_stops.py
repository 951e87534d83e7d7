"""LOST and EXIT: breaches, each excuse, and its limit."""

import unittest

from made_up import (call, configured, cut, event, evidence, line, refusal,
                     rules, SERVER)
from soaklib import judge_stops as judge
from soaklib.evidence import config_windows

TERM = event(96.0, "SIGTERM")
PASSED_ON = [line(100.05, "arrived"), line(100.05, "run")]


def in_stop(calls, lines=(), events=()):
    return rules(judge.lost_in_stops(
        evidence(calls, lines, [TERM, *events])))


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


class Excuses(unittest.TestCase):
    def test_the_deadline(self):
        self.assertEqual(in_stop([cut(deadline=0.2)], PASSED_ON), [])
        self.assertEqual(in_stop([cut(deadline=0.3)], PASSED_ON), ["LOST"])

    def test_the_timeout_of_the_route(self):
        short = configured(50.0, "done", 7, timeout=0.2)
        self.assertEqual(in_stop([cut()], PASSED_ON, [short]), [])
        longer = configured(60.0, "done", 8)
        self.assertEqual(in_stop([cut()], PASSED_ON, [short, longer]),
                         ["LOST"])

    def test_the_server_broke_off(self):
        ended = event(100.1, "server-end", SERVER)
        self.assertEqual(in_stop([cut()], PASSED_ON, [ended]), [])
        broke = [*PASSED_ON, line(100.1, "broke")]
        self.assertEqual(in_stop([cut()], broke), [])
        before = event(99.0, "server-end", "i-2")
        self.assertEqual(in_stop([cut()], PASSED_ON, [before]), ["LOST"])

    def test_just_before_the_deadline(self):
        self.assertEqual(in_stop([cut(deadline=0.21)], PASSED_ON), ["LOST"])

    def test_a_server_that_broke_off_before_another_had_it(self):
        other = [line(100.15, "arrived", instance="i-2"),
                 line(100.15, "run", instance="i-2")]
        first = [*PASSED_ON, line(100.1, "broke"), *other]
        self.assertEqual(in_stop([cut()], first), ["LOST"])
        ended = event(100.12, "server-end", SERVER)
        self.assertEqual(in_stop([cut()], [*PASSED_ON, *other], [ended]),
                         ["LOST"])
        last = [*PASSED_ON, line(100.1, "dropped"), *other,
                line(100.18, "broke", instance="i-2")]
        self.assertEqual(in_stop([cut()], last), [])

    def test_a_server_that_broke_off_while_another_worked(self):
        other = [line(100.1, "arrived", instance="i-2"),
                 line(100.1, "run", instance="i-2")]
        ended = event(100.15, "server-end", "i-2")
        self.assertEqual(in_stop([cut()], [*PASSED_ON, *other], [ended]),
                         ["LOST"])
        over = [*PASSED_ON, line(100.08, "dropped"), *other]
        self.assertEqual(in_stop([cut()], over, [ended]), [])

    def test_a_server_that_is_silent(self):
        for word in ("SIGSTOP", "SIGCONT"):
            silent = event(100.1, word, SERVER)
            self.assertEqual(in_stop([cut()], PASSED_ON, [silent]), ["LOST"])

    def test_long_work_of_a_server_that_ended(self):
        early = cut(begin=98.9, sent=98.9, end=101.5)
        elsewhere = [line(98.9, "arrived", instance="i-2"),
                     line(98.9, "run", instance="i-2")]
        ended = event(99.5, "server-end", "i-2")
        again = [line(99.6, "arrived"), line(99.6, "run"),
                 line(100.0, "answered", status="200")]
        self.assertEqual(in_stop([early], elsewhere + again, [ended]),
                         ["LOST"])

    def test_long_work_on_what_was_sent_early(self):
        early = {"begin": 98.9, "sent": 98.9, "end": 101.5}
        self.assertEqual(in_stop([cut(**early)], PASSED_ON), [])
        done = [*PASSED_ON, line(100.9, "answered", status="200")]
        self.assertEqual(in_stop([cut(**early)], done), ["LOST"])
        still = [*PASSED_ON, line(101.1, "dropped")]
        self.assertEqual(in_stop([cut(**early)], still), [])

    def test_long_work_on_what_was_sent_late(self):
        late = {"begin": 99.1, "sent": 99.1, "end": 101.5}
        self.assertEqual(in_stop([cut(**late)], PASSED_ON), ["LOST"])

    def test_unplanned_disturbance(self):
        for word in ("SIGSTOP", "SIGCONT"):
            for at, expected in ((97.1, []), (96.9, ["LOST"]), (100.1, [])):
                if word == "SIGSTOP" and at == 96.9:
                    expected = []  # it is stopped still
                found = in_stop([cut()], PASSED_ON, [event(at, word)])
                self.assertEqual(found, expected, (word, at))

    def test_the_kill_at_the_end_of_the_grace_is_planned(self):
        late = cut(begin=101.0, sent=101.0, end=102.0)
        self.assertEqual(in_stop([late], PASSED_ON,
                                 [event(102.0, "SIGKILL")]), ["LOST"])

    def test_a_kill_of_a_later_process_is_unplanned(self):
        # Seed 44004: signalled twice, ended, started anew, killed.
        later = cut(begin=101.0, sent=101.0, end=102.0)
        ended = [event(96.5, "SIGTERM"), event(97.0, "exit", code=0)]
        new = [event(97.5, "start"), event(101.95, "SIGKILL")]
        self.assertEqual(in_stop([later], PASSED_ON, ended + new), [])
        self.assertEqual(in_stop([later], PASSED_ON, new), [])
        self.assertEqual(in_stop([later], PASSED_ON, ended + new[:1]),
                         ["LOST"])

    def test_the_kill_after_a_second_signal_is_planned(self):
        late = cut(begin=101.0, sent=101.0, end=102.0)
        self.assertEqual(in_stop([late], PASSED_ON, [
            event(99.0, "SIGTERM"), event(102.0, "SIGKILL")]), ["LOST"])

    def test_the_kill_in_the_stop_of_a_later_process_is_planned(self):
        late = cut(begin=101.0, sent=101.0, end=102.0)
        self.assertEqual(in_stop([late], PASSED_ON, [
            event(97.0, "exit", code=0), event(97.5, "start"),
            event(97.9, "SIGTERM"), event(102.0, "SIGKILL")]), ["LOST"])

    def test_a_kill_without_a_plan(self):
        found = judge.lost_in_stops(evidence(
            [cut()], PASSED_ON, [event(100.1, "SIGKILL")]))
        self.assertEqual(rules(found), [])

    def test_a_store_in_disturbance_excuses_nothing(self):
        fault = event(99.0, "store-fault", "store")
        self.assertEqual(in_stop([cut()], PASSED_ON, [fault]), ["LOST"])


class BehindOthers(unittest.TestCase):
    """Requests behind one whose answer had to be broken off."""

    behind = cut("c1-2", position=2, end=101.5)

    def found(self, lines, **changes):
        first = cut("c1-1", **{"how": "cut", "end": 101.5, **changes})
        return in_stop([first, self.behind], lines)

    def passed_on(self, *more):
        return [line(100.05, "arrived", "c1-1"),
                line(100.05, "run", "c1-1"), *more]

    def test_a_sound_server(self):
        lines = self.passed_on(line(100.1, "answered", "c1-1", status="200"))
        self.assertEqual(self.found(lines), ["LOST", "LOST"])

    def test_a_server_that_broke_off(self):
        lines = self.passed_on(line(101.4, "broke", "c1-1"))
        self.assertEqual(self.found(lines), [])

    def test_a_limit(self):
        self.assertEqual(self.found(self.passed_on(), deadline=1.5), [])

    def test_before_an_answer_began(self):
        lines = self.passed_on(line(101.4, "broke", "c1-1"))
        self.assertEqual(self.found(lines, how="closed"), ["LOST"])
        self.assertEqual(
            self.found(self.passed_on(), how="closed", deadline=1.5),
            ["LOST"])

    def test_long_work(self):
        early = {"begin": 98.9, "sent": 98.9}
        self.assertEqual(self.found(self.passed_on(), **early), [])

    def test_on_another_connection(self):
        lines = self.passed_on(line(101.4, "broke", "c1-1"))
        self.assertEqual(self.found(lines, connection=2), ["LOST"])
        first = cut("c2-1", how="cut", end=101.5)
        self.assertEqual(in_stop([first, self.behind], [
            line(100.05, "arrived", "c2-1"),
            line(101.4, "broke", "c2-1")]), ["LOST"])

    def test_after_a_whole_answer(self):
        self.assertEqual(in_stop(
            [call("c1-1", end=101.5), self.behind],
            self.passed_on(line(101.4, "broke", "c1-1"))), ["LOST"])


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
