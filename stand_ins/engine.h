#pragma once

#include "adapters/http_server.h"
#include "core/checked_json.h"
#include "stand_ins/delayed_calls.h"

#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace clementinegap {

struct engine_stand_in_options {
    std::uint32_t slots{8};
    duration token_interval{milliseconds(10)};
    duration prefill_base{milliseconds(5)};
    duration prefill_per_token{50};
    std::size_t cached_blocks{4096};
    duration load_lag{seconds(1)};
    double cache_event_loss{0.1};
    bool checks_fencing{true};
    std::uint64_t seed{1};
};

/// A stand-in of a model engine that batches continuously. Requests beyond its slots wait by priority; the
/// answer to a prompt is always the same words, so a stream can be resumed (X-Resume-From-Token) and
/// compared. The body's "stand_in_tokens" sets the output length, which a router has no business to know.
/// Faults: `POST /control`
/// {"slow": factor, "crash": true, "down_ms": n, "crash_on": text, "checks_fencing": bool,
/// "token_interval_us": n}.
class engine_stand_in {
public:
    explicit engine_stand_in(const engine_stand_in_options& options);
    outcome<void> start(std::uint16_t port);
    void stop();
    std::uint16_t port() const { return server_.port(); }

private:
    struct stream {
        exchange_id exchange{0};
        std::string request_id;
        std::string model;
        int priority{0};
        bool streamed{false};
        bool running{false};
        bool paused{false};
        std::uint64_t text_seed{0};
        std::uint32_t produced{0};
        std::uint32_t total{0};
        duration prefill{0};
        std::string text;
    };
    using stream_ptr = std::shared_ptr<stream>;

    void on_request(http_request request);
    void complete_chat(const http_request& request, const json& body);
    void steer(const http_request& request);
    void order(const http_request& request, const json& body);
    void control(const http_request& request, const json& body);
    json report(const http_request& request);

    duration prefill_time(const std::string& prompt);
    void admit();
    void produce(const stream_ptr& item);
    void finish(const stream_ptr& item);
    void drop(exchange_id exchange);
    void crash();
    void reply(exchange_id exchange, std::uint16_t status, const json& body);
    std::size_t running() const;
    void publish_load();

    engine_stand_in_options options_;
    std::mutex mutex_;
    std::map<exchange_id, stream_ptr> streams_;
    std::deque<stream_ptr> waiting_;
    std::list<std::uint64_t> cache_order_;
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> cache_;
    std::vector<json> cache_events_;
    std::uint64_t cache_sequence_{0};
    json published_load_ = json::object();
    double slow_{1};
    bool down_{false};
    std::string crash_on_;
    std::uint64_t highest_fencing_{0};
    std::vector<json> applied_orders_;
    std::set<std::string> models_;
    std::uint64_t tokens_produced_{0};
    std::uint64_t starts_{0};
    std::map<std::string, std::uint64_t> starts_by_request_;
    std::mt19937_64 random_;
    http_server server_;
    delayed_calls later_{mutex_};
};

} // namespace clementinegap
