# Stand-ins for the outside systems; never linked into the product.
add_executable(standin-platform standin/platform.cpp standin/platform_main.cpp)
add_executable(standin-upstream standin/upstream.cpp standin/upstream_main.cpp)
add_executable(standin-load standin/load.cpp standin/load_entries.cpp standin/experiment.cpp
               standin/load_result.cpp standin/load_main.cpp)
add_executable(standin-wire standin/wire.cpp standin/wire_main.cpp)
add_executable(standin-overload standin/overload_model.cpp
               standin/service_model.cpp standin/entry_model.cpp
               standin/overload_main.cpp)
add_executable(standin-store standin/kv_store.cpp standin/kv_restore.cpp
               standin/store_operator.cpp standin/store_main.cpp)
target_link_libraries(standin-store PRIVATE skylark_store)
add_executable(standin-server standin/server.cpp standin/server_answer.cpp
               standin/endless_form.cpp standin/endless_writer.cpp
               standin/registration.cpp standin/server_main.cpp)
foreach(name standin-platform standin-upstream standin-load standin-wire
        standin-overload standin-store standin-server)
    target_include_directories(${name} PRIVATE ${CMAKE_SOURCE_DIR})
    target_link_libraries(${name} PRIVATE skylark_io)
endforeach()
