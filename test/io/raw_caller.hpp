// A caller on a plain socket that records every byte it receives.
#ifndef TEST_IO_RAW_CALLER_HPP
#define TEST_IO_RAW_CALLER_HPP

#include <array>
#include <cerrno>
#include <string>
#include <sys/socket.h>
#include <unistd.h>

#include <gtest/gtest.h>

#include <skylark/core/address.hpp>

#include "io/native.hpp"

namespace skylark::test {

class raw_caller {
public:
    explicit raw_caller(address to)
        : m_socket{socket(AF_INET, SOCK_STREAM, 0)} {
        sockaddr_in name = io::internal::to_native(to);
        connect(m_socket, reinterpret_cast<sockaddr*>(&name), sizeof name);
    }
    ~raw_caller() { close(m_socket); }
    raw_caller(const raw_caller&) = delete;
    raw_caller& operator=(const raw_caller&) = delete;

    void write(const std::string& bytes) const {
        ASSERT_EQ(send(m_socket, bytes.data(), bytes.size(), MSG_NOSIGNAL),
                  static_cast<ssize_t>(bytes.size()));
    }

    /*! @brief Writes as much as the kernel accepts without blocking and removes
     *  it from bytes. */
    void write_some(std::string& bytes) const {
        const ssize_t count = send(m_socket, bytes.data(), bytes.size(),
                                   MSG_NOSIGNAL | MSG_DONTWAIT);
        if (count > 0)
            bytes.erase(0, static_cast<std::size_t>(count));
    }

    /*! @brief Appends all available input to bytes(), without blocking.
     *  @return false once the server has closed the connection */
    bool read() {
        std::array<char, 4096> piece;
        ssize_t count = 0;
        while ((count = recv(m_socket, piece.data(), piece.size(),
                             MSG_DONTWAIT)) > 0)
            m_bytes.append(piece.data(), static_cast<std::size_t>(count));
        return count < 0 && errno == EAGAIN;
    }

    const std::string& bytes() const { return m_bytes; }

private:
    int m_socket;
    std::string m_bytes;
};

} // namespace skylark::test

#endif
