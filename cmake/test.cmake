# Tests mirror the module tree, one file for each header.
add_executable(skylark_test
    test/core/address.cpp test/core/histogram.cpp test/core/suggest.cpp
    test/config/document.cpp test/config/adoption.cpp test/config/poll_timer.cpp
    test/config/store_reachability.cpp test/config/watch_schedule.cpp
    test/member/watchers.cpp test/member/listing_policy.cpp
    test/attempt/machine.cpp test/rule/classify.cpp
    test/load/report.cpp test/load/upstream_load.cpp
    test/load/service_time_estimator.cpp
    test/route/policy.cpp test/limit/token_bucket.cpp
    test/limit/ratio_budget.cpp test/limit/retry_after.cpp test/member/table.cpp test/member/roster.cpp test/share/table.cpp
    test/command/parse.cpp test/command/apply.cpp test/command/table.cpp
    test/discovery/list_guard.cpp test/discovery/instance_log.cpp test/event/ring.cpp test/io/http_client.cpp test/io/response_parser.cpp test/io/http_client_cuts.cpp test/io/fetcher.cpp test/io/http_server.cpp test/entry/settings.cpp
    test/entry/request_head.cpp test/entry/log.cpp test/peer/codec.cpp
    test/store/consul_protocol.cpp test/store/mirror.cpp test/store/lease_holder.cpp
    test/store/mirror_client.cpp test/platform/records.cpp
    test/platform/kv_protocol.cpp test/platform/dialect.cpp
    test/platform/node.cpp test/platform/uploads.cpp
    test/platform/cut_answers.cpp test/platform/repeated_refusals.cpp test/route/probe_step.cpp
    test/rule/weighted_round_robin.cpp
    test/rule/deadline_range.cpp test/load/room_estimator.cpp test/load/health_record.cpp
    test/route/room.cpp
    test/standin/overload.cpp standin/kv_store.cpp standin/platform.cpp
    standin/overload_model.cpp standin/service_model.cpp
    standin/entry_model.cpp)
target_include_directories(skylark_test PRIVATE ${CMAKE_SOURCE_DIR})
target_link_libraries(skylark_test PRIVATE skylark_entry GTest::gtest_main)
include(GoogleTest)
gtest_discover_tests(skylark_test)

# The whole path in separate processes; checks the ledger, no times.
find_package(Python3 REQUIRED COMPONENTS Interpreter)
add_test(NAME whole_path
         COMMAND ${Python3_EXECUTABLE} ${CMAKE_SOURCE_DIR}/scripts/demo.py
                 --entries 3 --seconds 3 --net 90
                 --build ${CMAKE_BINARY_DIR})
