# Tests mirror the module tree, one file for each header.
add_executable(skylark_test
    test/core/address.cpp test/core/foreign_text.cpp test/core/histogram.cpp test/core/suggest.cpp
    test/core/store_position.cpp test/discovery/instance_memory.cpp
    test/config/document.cpp test/config/adoption.cpp test/config/absence_claim.cpp test/config/poll_timer.cpp
    test/config/store_reachability.cpp test/config/watch_schedule.cpp
    test/config/transfer_plan.cpp test/config/upload_limit.cpp
    test/config/distribution.cpp test/peer/gzip.cpp
    test/config/update_delay.cpp
    test/member/watchers.cpp test/member/listing_policy.cpp
    test/allowance/paced_share.cpp test/allowance/lender.cpp
    test/allowance/client.cpp test/allowance/fleet.cpp
    test/allowance/alternatives.cpp
    test/peer/allowance_codec.cpp test/platform/allowances.cpp
    test/attempt/machine.cpp test/attempt/answer_heads.cpp test/attempt/answer_heads.cpp test/rule/classify.cpp
    test/load/availability.cpp test/load/availability_history.cpp
    test/load/report.cpp test/load/upstream_load.cpp
    test/load/service_time_estimator.cpp test/load/path_time.cpp
    test/route/policy.cpp test/limit/token_bucket.cpp
    test/limit/ratio_budget.cpp test/limit/retry_after.cpp
    test/limit/drain_schedule.cpp test/limit/hold_up_record.cpp test/limit/arrival_span.cpp test/limit/answer_bound.cpp test/limit/overtime_quota.cpp test/member/table.cpp test/member/roster.cpp test/share/table.cpp
    test/command/parse.cpp test/command/apply.cpp test/command/table.cpp
    test/discovery/list_guard.cpp test/discovery/instance_log.cpp
    test/discovery/lapse_window.cpp test/event/ring.cpp test/io/event_loop.cpp test/io/udp_socket.cpp test/io/read_budget.cpp
    test/io/receive_windows.cpp test/io/http_client.cpp test/io/response_parser.cpp
    test/io/http_client_cuts.cpp test/io/http_client_withdrawn.cpp test/io/http_client_skip.cpp
    test/io/http_client_early_answers.cpp test/io/http_client_silence.cpp test/io/peer_silence.cpp
    test/io/fetcher.cpp test/io/http_server.cpp test/io/http_server_closing.cpp
    test/io/http_server_shutdown.cpp test/io/http_server_rejects.cpp
    test/io/http_server_discards.cpp test/io/http_server_limits.cpp
    test/io/http_server_idle.cpp test/io/http_server_callers.cpp test/io/http_server_head.cpp
    test/io/http_server_pipelining.cpp test/io/http_server_early.cpp
    test/io/http_server_held_answers.cpp test/io/http_server_windows.cpp
    test/io/lingering_connections.cpp test/io/socket_memory.cpp test/entry/settings.cpp
    test/entry/request_head.cpp test/entry/retired_service.cpp test/entry/native_dialect.cpp test/entry/resting.cpp
    test/entry/availability_info.cpp test/entry/upstream_table.cpp test/entry/log.cpp test/entry/fault_report.cpp
    test/entry/metrics.cpp test/entry/process_memory.cpp test/limit/memory_level.cpp
    test/team/directory.cpp test/config/teams.cpp test/io/sha256.cpp
    test/platform/teams.cpp test/platform/team_keys.cpp
    test/platform/hidden_keys.cpp test/entry/team_keys.cpp
    test/entry/listener_shutdown.cpp test/ctl/query_command.cpp
    src/ctl/client.cpp src/ctl/query_command.cpp
    src/ctl/shown_table.cpp src/ctl/timeline.cpp src/ctl/timeline_page.cpp
    test/ctl/unreadable_answers.cpp test/peer/codec.cpp
    test/store/consul_protocol.cpp test/store/mirror.cpp test/store/lease_holder.cpp
    test/store/mirror_client.cpp test/platform/records.cpp
    test/platform/kv_protocol.cpp test/platform/odd_entry.cpp
    test/platform/odd_records.cpp test/platform/dialect.cpp
    test/platform/node.cpp test/platform/draining.cpp test/platform/process_end.cpp test/platform/behind_a_pause.cpp test/platform/uploads.cpp
    test/platform/cut_answers.cpp test/platform/answered_uploads.cpp test/platform/retired_service.cpp test/platform/endless_answers.cpp test/platform/repeated_refusals.cpp
    test/platform/answer_lines.cpp test/platform/invalid_statuses.cpp test/platform/unproven_answers.cpp
    test/platform/stale_configuration.cpp test/platform/late_configuration.cpp
    test/platform/half_closed_callers.cpp test/platform/foreign_answers.cpp test/platform/silent_answers.cpp
    test/platform/head_requests.cpp test/platform/failed_answers.cpp test/platform/malformed_bodies.cpp test/platform/late_bodies.cpp
    test/platform/hanging_upstreams.cpp test/platform/hanging_repeats.cpp
    test/platform/closed_idle_connections.cpp test/platform/pipelined_callers.cpp
    test/platform/leaving.cpp test/platform/restored.cpp
    test/store/restored_store.cpp test/route/probe_step.cpp
    test/rule/weighted_round_robin.cpp
    test/rule/deadline_range.cpp test/load/room_estimator.cpp test/load/health_record.cpp
    test/route/room.cpp test/route/zone_room.cpp test/route/zone_cost.cpp
    test/route/zone_share.cpp test/route/zone_choice.cpp test/platform/zones.cpp
    test/rollout/exposure.cpp test/rollout/judge.cpp test/rollout/plan.cpp
    test/rollout/fleet.cpp test/platform/rollout_records.cpp
    test/store/rollout_writer.cpp test/platform/rollouts.cpp test/entry/rollouts.cpp
    test/member/first_member.cpp test/member/roster_pauses.cpp
    test/standin/overload.cpp test/standin/kv_store.cpp test/standin/endless_writer.cpp
    standin/endless_form.cpp standin/endless_writer.cpp
    standin/kv_store.cpp standin/kv_restore.cpp standin/platform.cpp
    standin/overload_model.cpp standin/service_model.cpp
    standin/entry_model.cpp)
target_include_directories(skylark_test PRIVATE ${CMAKE_SOURCE_DIR})
target_link_libraries(skylark_test PRIVATE skylark_entry GTest::gtest_main)
include(GoogleTest)
gtest_discover_tests(skylark_test)

find_package(Python3 REQUIRED COMPONENTS Interpreter)

# Tests that start processes run side by side, so each one gets its own net of
# loopback addresses, 127.NET.0.0/16.
set(process_test_net 180)
function(add_process_test name script)
    add_test(NAME ${name}
             COMMAND ${Python3_EXECUTABLE} ${CMAKE_SOURCE_DIR}/${script}
                     ${ARGN} --net ${process_test_net}
                     --build ${CMAKE_BINARY_DIR})
    math(EXPR next_net "${process_test_net} + 1")
    set(process_test_net ${next_net} PARENT_SCOPE)
endfunction()

# The whole path in separate processes; checks the ledger, no times.
add_process_test(whole_path scripts/demo.py --entries 3 --seconds 3)

# A planned stop under load: callers stay until the process is gone.
add_process_test(planned_stop test/process/planned_stop.py)
# Requests that end in time are still served.
add_process_test(planned_stop_short_requests test/process/planned_stop.py
                 --deadline-ms 2000)
# A second request is sent while the first one is at an upstream.
add_process_test(planned_stop_pipelined test/process/planned_stop.py
                 --pipelined --callers 10 --service-us 300000
                 --deadline-ms 3000)
# Requests that end in time keep the entry until its limit.
add_process_test(planned_stop_until_the_limit test/process/planned_stop.py
                 --deadline-ms 250 --service-us 50000)
add_process_test(planned_stop_pipelined_until_the_limit
                 test/process/planned_stop.py --pipelined --callers 10
                 --deadline-ms 250 --service-us 50000)
# The signal arrives while the process is frozen.
add_process_test(planned_stop_while_frozen test/process/planned_stop.py
                 --frozen-s 2)
# The process did not run until just before the signal.
add_process_test(planned_stop_after_a_stall test/process/planned_stop.py
                 --stalled-s 3 --long-work --service-us 4000000)
# SIGTERM and SIGHUP arrive while libraries are initialized, and while the process
# reads its settings.
add_library(raise_in_constructor MODULE test/process/raise_in_constructor.cpp)
set_target_properties(raise_in_constructor PROPERTIES
                      LIBRARY_OUTPUT_DIRECTORY ${CMAKE_BINARY_DIR}/lib)
add_process_test(signal_in_start test/process/signal_in_start.py)
# The ports of the process before are released a while after its end.
add_process_test(start_on_held_port test/process/start_on_held_port.py)
# Standard output and error are closed, or have lost their reader.
add_process_test(start_without_output test/process/start_without_output.py)
# The soft limit on descriptors is below what the entry needs.
add_process_test(start_with_low_descriptor_limit
                 test/process/start_with_low_descriptor_limit.py)
# A fault leaves its last line, and the status of its signal.
add_process_test(fault_report test/process/fault_report.py)
# Callers end their input just before the entries handle SIGTERM.
add_process_test(half_closed_at_stop test/process/half_closed_at_stop.py)
# The same after a new start, while the stop still counts.
add_process_test(half_closed_after_restart
                 test/process/half_closed_at_stop.py --restarted)
# The same, while a second signal still counts.
add_process_test(half_closed_after_second_signal
                 test/process/half_closed_at_stop.py --signalled-again)
# The end of a process waits for each of its threads.
add_process_test(few_threads test/process/few_threads.py)
# What arrives in a stall at the end of the drain is read before the end.
add_process_test(planned_stop_stalled_at_the_end test/process/planned_stop.py
                 --stalled-at 5.35 --deadline-ms 250 --service-us 50000)

# The process does not run any more from shortly before its time limit on.
add_process_test(planned_stop_held_up_at_the_end test/process/planned_stop.py
                 --held-up-at 4.8)
# It did not run for a while before the signal either, and requests are served
# as long as they may end.
add_process_test(planned_stop_held_up_again test/process/planned_stop.py
                 --stalled-s 2 --running-again-s 1 --held-up-at 3.7
                 --deadline-ms 2000 --service-us 1200000)

# More callers than descriptors.
add_process_test(no_descriptors test/process/no_descriptors.py)

# Faulty servers send without an end: the entry neither ends nor runs out of
# memory, and others lose nothing on kept connections.
add_process_test(endless_answers test/process/endless_answers.py --plays
                 abort-behind-partial-write memory-for-unread-answers
                 lost-in-planned-stop)
# Many answers in small pieces at once, on a fifth of a processor.
add_process_test(endless_pieces_of_a_stream test/process/endless_answers.py
                 --plays lost-behind-pieces-of-a-stream)

# Real processes on the platform's interface. The schedule is seeded; the judge
# has tests of its own.
add_test(NAME soak_judge
         COMMAND ${Python3_EXECUTABLE} -m unittest discover
                 -s ${CMAKE_SOURCE_DIR}/test/soak)
add_process_test(soak_short scripts/soak.py
                 --seed 5 --runs 3 --seconds 12 --entries 3 --servers 9)
add_process_test(soak_restored scripts/soak.py
                 --seed 2 --runs 2 --seconds 18 --entries 4 --servers 9
                 --callers 30 --pace 0.3 --restores 1)
# Servers answer without an end around planned stops.
add_process_test(soak_endless scripts/soak.py
                 --seed 55001 --runs 2 --seconds 12 --entries 3 --servers 9
                 --callers 24 --endless 3)
set_tests_properties(soak_judge soak_short soak_restored soak_endless PROPERTIES
                     LABELS soak)
set_tests_properties(soak_short soak_restored soak_endless PROPERTIES TIMEOUT 400)
