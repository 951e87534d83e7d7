# Thrift's generated code, built without the project's warnings.
add_library(skylark_wire STATIC src/peer/gen/peer_types.cpp)
target_compile_options(skylark_wire PRIVATE -w)
target_include_directories(skylark_wire SYSTEM PUBLIC src)
target_link_libraries(skylark_wire PUBLIC thrift)

# Adapters to the platform and to peers.
add_library(skylark_store STATIC
    src/store/consul_protocol.cpp src/store/polling_client.cpp
    src/store/mirror.cpp src/store/mirror_client.cpp src/store/mirror_values.cpp
    src/store/lease_holder.cpp
    src/store/base64.cpp platform/kv_protocol.cpp platform/records.cpp
    platform/teams.cpp
    platform/rollout_records.cpp src/store/rollout_writer.cpp)
target_include_directories(skylark_store PUBLIC ${CMAKE_SOURCE_DIR})
target_link_libraries(skylark_store PUBLIC skylark_io)
add_library(skylark_peer STATIC src/peer/codec.cpp src/peer/exposure_codec.cpp
    src/peer/instance_codec.cpp
    src/peer/gzip.cpp src/peer/allowance_codec.cpp)
target_link_libraries(skylark_peer PUBLIC skylark_decide skylark_wire PRIVATE z)

# The entry as a library, so that tests can use its parts.
add_library(skylark_entry STATIC
    src/entry/settings.cpp src/entry/settings_check.cpp src/entry/journal.cpp src/entry/log_line.cpp src/entry/log_sink.cpp
    src/entry/fault_report.cpp src/entry/forwarder_log.cpp src/entry/metrics.cpp
    src/entry/fleet.cpp src/entry/fleet_tokens.cpp
    src/entry/allowance_service.cpp
    src/entry/forwarder_allowance.cpp src/entry/upstream_table.cpp src/entry/router.cpp
    src/entry/router_probing.cpp
    src/entry/rollouts.cpp src/entry/rollout_counts.cpp
    src/entry/rollout_coordinator.cpp
    src/entry/request_head.cpp src/entry/connection_pool.cpp
    src/entry/availability_info.cpp
    src/entry/native_dialect.cpp platform/dialect.cpp src/entry/on_demand_prober.cpp
    src/entry/lookup.cpp src/entry/forwarder_probing.cpp
    src/entry/forwarder_zones.cpp
    src/entry/forwarder_admission.cpp src/entry/forwarder_attempt.cpp
    src/entry/forwarder_authentication.cpp
    src/entry/forwarder_head.cpp
    src/entry/forwarder_answer.cpp src/entry/forwarder_refusal.cpp
    src/entry/forwarder_drain.cpp src/entry/forwarder_bounds.cpp
    src/entry/configurator.cpp src/entry/configurator_adoption.cpp
    src/entry/configurator_peers.cpp src/entry/configurator_notes.cpp
    src/entry/peer_transfer.cpp src/entry/document_source.cpp
    src/entry/packed_document.cpp
    src/entry/prober.cpp src/entry/entry_list.cpp src/entry/control.cpp
    src/entry/changer.cpp src/entry/inspector.cpp src/entry/inspector_explain.cpp src/entry/node.cpp
    src/entry/node_drain.cpp src/entry/node_process.cpp
    src/entry/port_wait.cpp src/entry/process_memory.cpp)
target_link_libraries(skylark_entry PUBLIC
    skylark_store skylark_peer log4cplus prometheus-cpp-core
    Threads::Threads)

add_executable(skylark-entry src/entry/main.cpp)
target_link_libraries(skylark-entry PRIVATE skylark_entry)

add_executable(skylark-ctl src/ctl/main.cpp src/ctl/client.cpp
               src/ctl/query_command.cpp src/ctl/shown_table.cpp
               src/ctl/timeline.cpp src/ctl/timeline_page.cpp)
target_link_libraries(skylark-ctl PRIVATE skylark_io)

add_executable(skylark-check src/check/main.cpp)
target_link_libraries(skylark-check PRIVATE skylark_entry)
