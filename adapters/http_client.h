#pragma once

#include "core/time.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace clementinegap {

/// Names one call of a client; never reused, 0 is none.
using http_call_id = std::uint64_t;

struct http_call {
    std::string method{"GET"};
    std::string url;
    std::vector<std::string> headers; ///< "Name: value".
    std::string body;
    duration timeout{0}; ///< Over the whole call; zero: none.
    duration connect_timeout{seconds(2)};
    /// Takes a new connection. libcurl repeats a call by itself when a kept connection turns out to be
    /// closed, which must not happen to a request that runs at most once.
    bool fresh_connection{false};
};

enum class http_end_kind : std::uint8_t {
    complete,    ///< The whole answer came, and it is valid (`net/http_syntax.h`).
    not_reached, ///< No connection was made: nothing was sent.
    broken       ///< Anything else: the request may have been received.
};

struct http_end {
    http_end_kind kind{http_end_kind::complete};
    std::uint16_t status{0}; ///< Of a complete answer.
    std::string problem;
};

/// Called on the client's thread; must not block. No call follows `on_end`, nor a `cancel` once it took
/// effect.
struct http_call_events {
    std::function<void(std::uint16_t status, std::string_view content_type)> on_head;
    std::function<void(std::string_view bytes)> on_bytes;
    std::function<void(const http_end& end)> on_end;
};

/// TLS files for calls to https URLs; empty members are not used.
struct http_client_tls {
    std::string ca_file;
    std::string certificate_file;
    std::string key_file;
};

/// HTTP calls over libcurl's multi interface, all on one thread.
class http_client {
public:
    explicit http_client(std::size_t max_commands = 8192, http_client_tls tls = {});
    http_client(const http_client&) = delete;
    http_client& operator=(const http_client&) = delete;
    ~http_client();

    /// Starts a call; when the command ring is full, `on_end` is called at once with `not_reached`.
    http_call_id start(http_call call, http_call_events events);
    void cancel(http_call_id id);
    /// Stops reading the answer until `read`.
    void hold(http_call_id id);
    void read(http_call_id id);

private:
    class implementation;
    std::unique_ptr<implementation> implementation_;
};

} // namespace clementinegap
