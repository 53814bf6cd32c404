#pragma once

#include "net/http_client_connection.h"
#include "router/entry_gateway.h"
#include "router/store_link.h"
#include "stand_ins/routed_store.h"
#include "stand_ins/routed_upstream.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace clementinegap::testing {

/// The response that a caller received.
struct caller_result {
    bool ended{false};
    bool failed{false};
    int status{0};
    http_head head;
    std::string body;
};

/// An HTTP client with one connection to the entry.
class test_caller final : private http_client_connection::exchange {
public:
    test_caller(event_loop& loop, std::uint16_t port);
    test_caller(const test_caller&) = delete;
    test_caller& operator=(const test_caller&) = delete;
    ~test_caller() override { connection_.abandon(); }
    void send(std::string request);
    const caller_result& result() const { return result_; }

private:
    http_client_connection::head_verdict on_response_head(const http_head& head) override;
    void on_response_bytes(std::string_view bytes) override { result_.body.append(bytes); }
    void on_response_end(bool) override { result_.ended = true; }
    void on_exchange_failed(const exchange_failure&) override { result_.failed = true; }

    http_client_connection connection_;
    caller_result result_;
};

/// An entry's gateway with two stand-in upstreams and a stand-in store on one event loop.
class gateway_fixture {
public:
    gateway_fixture();
    ~gateway_fixture();
    gateway_fixture(const gateway_fixture&) = delete;
    gateway_fixture& operator=(const gateway_fixture&) = delete;

    /// Runs the loop until `done` is true or a timeout expires. \returns whether it became true.
    bool run_until(const std::function<bool()>& done);
    /// Sends one request and waits for the end of its response.
    caller_result call(const std::string& path, const std::string& more_headers = "",
                       const std::string& body = "x");
    caller_result call_raw(const std::string& bytes);
    static std::string request(const std::string& path, const std::string& id,
                               const std::string& more_headers, const std::string& body);
    /// Puts a configuration into force that allows request bodies of this size.
    void allow_bodies(std::size_t bytes);
    /// Destroys the gateway in the middle of its work.
    void end_gateway() { gateway.reset(); }
    /// Requests that reached an upstream.
    std::size_t requests_received() const { return upstream.seen().size() + other.seen().size(); }

    event_loop loop;
    decision_log log;
    metrics counters;
    request_router router;
    routed_store store;
    routed_upstream upstream;
    routed_upstream other;
    std::unique_ptr<entry_gateway> gateway;
    std::unique_ptr<table_reader> configuration;
    std::unique_ptr<table_reader> directory;

private:
    void wake();
    void apply_directory(const table_follower::progress& progress);
    int ids_{0};
};

} // namespace clementinegap::testing
