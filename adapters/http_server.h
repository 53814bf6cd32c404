#pragma once

#include "core/outcome.h"
#include "core/time.h"

#include <cstdint>
#include <functional>
#include <limits>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace clementinegap {

/// Names one HTTP exchange of a server; never reused.
using exchange_id = std::uint64_t;

/// Why a request was not received whole.
enum class receive_fault : std::uint8_t { none, too_large, too_slow, no_memory };

/// The answer to a request that was not received whole, where it is given without the owner.
struct fault_answer {
    std::uint16_t status{0};
    std::string body;       ///< JSON.
    seconds retry_after{0}; ///< 0: not given.
};

/// A received request. Header names are in lower case.
struct http_request {
    exchange_id exchange{0};
    std::string method;
    std::string path; ///< As it was sent: percent-encoded characters stay encoded.
    std::map<std::string, std::string, std::less<>> headers;
    std::map<std::string, std::string, std::less<>> query;
    std::string body;
    receive_fault fault{receive_fault::none};

    /// A header's value; empty without it.
    std::string_view header(std::string_view name) const;
};

/// Settings of an `http_server`.
struct http_server_options {
    /// What libmicrohttpd takes for each connection, for its head and for input that waits.
    static constexpr std::size_t connection_bytes = std::size_t{32} * 1024;

    std::string address{"127.0.0.1"};
    std::uint16_t port{0}; ///< 0 takes a free one; see `http_server::port()`.
    std::size_t max_body{4U << 20U};
    duration receive_timeout{seconds(10)};
    duration idle_timeout{seconds(60)};
    unsigned int threads{1};
    /// Connections; above it those that do not get on are closed.
    std::size_t max_connections{1000};
    /// Bytes of all requests and answers; above it larger bodies are refused.
    std::size_t buffer_limit{std::numeric_limits<std::size_t>::max()};
    /// The same with what the system holds; above it connections that do not get on are closed.
    std::size_t ceiling{std::numeric_limits<std::size_t>::max()};
    std::string tls_certificate_pem; ///< Empty: plain text.
    std::string tls_key_pem;
    /// Answers senders that are cut off: those that stall, those whose body goes on far past the limit, and
    /// those that hold much of the memory.
    /// Without it, and over TLS, their connection is closed without an answer.
    std::function<fault_answer(receive_fault)> answer_fault;
};

/// Called on the server's threads; must not block.
struct http_server_events {
    std::function<void(http_request)> on_request;
    std::function<void(exchange_id)> on_gone; ///< The caller left before the answer's end.
    std::function<void(exchange_id, std::uint32_t)>
        on_drained; ///< The caller took so many more bytes of a stream; told in pieces.
};

/// An HTTP server over libmicrohttpd. Answers may be given from any thread, whole or in pieces; a piece for
/// an exchange that is gone is dropped.
class http_server {
public:
    http_server();
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;
    ~http_server();

    outcome<void> start(const http_server_options& options, http_server_events events);
    /// Closes the listening socket, ends every exchange and joins the threads.
    void stop();
    std::uint16_t port() const;
    /// Memory that all exchanges' unsent answers take, in bytes.
    std::size_t buffered() const;

    using headers = std::vector<std::pair<std::string, std::string>>;
    void answer(exchange_id exchange, std::uint16_t status, const headers& fields, std::string body);
    void begin(exchange_id exchange, std::uint16_t status, const headers& fields);
    void write(exchange_id exchange, std::string_view bytes);
    void end(exchange_id exchange);
    /// Cuts the connection.
    void abort(exchange_id exchange);

private:
    class implementation;
    std::unique_ptr<implementation> implementation_;
};

} // namespace clementinegap
