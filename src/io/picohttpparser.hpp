// Functions of picohttpparser that libh2o exports without a header.
#ifndef SKYLARK_IO_PICOHTTPPARSER_HPP
#define SKYLARK_IO_PICOHTTPPARSER_HPP

#include <cstddef>

extern "C" {
// NOLINTBEGIN: names of picohttpparser
struct phr_header {
    const char* name;
    size_t name_len;
    const char* value;
    size_t value_len;
};
// NOLINTEND
int phr_parse_request(const char* buffer, size_t length, const char** method,
                      size_t* method_len, const char** path, size_t* path_len,
                      int* minor_version, struct phr_header* headers,
                      size_t* header_count, size_t last_length);
int phr_parse_response(const char* buffer, size_t length, int* minor_version,
                       int* status, const char** message, size_t* message_len,
                       struct phr_header* headers, size_t* header_count,
                       size_t last_length);
}

#endif
