#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace clementinegap {

/// A plain TCP connection to 127.0.0.1, for requests that no HTTP library would send. Every wait ends after
/// 20 s, as a safety net only.
class raw_connection {
public:
    explicit raw_connection(std::uint16_t port);
    explicit raw_connection(int accepted) : socket_(accepted) {}
    raw_connection(const raw_connection&) = delete;
    raw_connection& operator=(const raw_connection&) = delete;
    raw_connection(raw_connection&& other) noexcept;
    raw_connection& operator=(raw_connection&&) = delete;
    ~raw_connection();

    /// False when the peer closed.
    bool send(std::string_view bytes);
    /// Reads at most `max` bytes; empty at the end or after the safety net.
    std::string read(std::size_t max);
    /// Everything until `mark` has come, or the end.
    std::string read_until(std::string_view mark);
    std::string read_to_end();
    /// Closes the connection with a reset.
    void reset();

private:
    int socket_;
};

/// The text of a request with a bearer key; `extra` holds further header lines, each with its line end.
std::string request_text(std::string_view method, std::string_view path, std::string_view body,
                         std::string_view extra = "Authorization: Bearer test-key\r\n");

} // namespace clementinegap
