#pragma once

#include "adapters/http_server.h"
#include "core/checked_json.h"
#include "stand_ins/delayed_calls.h"

#include <cstdint>
#include <map>
#include <mutex>
#include <random>
#include <string>

namespace clementinegap {

/// A stand-in of the platform: table service with transactions, object store, lagging VM list. Its faults are
/// switched by `POST /control/faults` {"outage", "slow_ms", "lose_answers", "seed", "list_lag_ms"}; the list
/// is set by `POST /control/vms`. The protocol is in docs/platform-protocol.md.
class platform_stand_in {
public:
    platform_stand_in();
    outcome<void> start(std::uint16_t port);
    void stop();
    std::uint16_t port() const { return server_.port(); }

private:
    struct row {
        std::string value;
        std::uint64_t revision{0};
    };
    struct faults {
        bool outage{false};
        duration slow{0};
        double lose_answers{0};
        duration list_lag{0};
    };

    void on_request(http_request request);
    json answer_to(const http_request& request, const json& body, std::uint16_t& status);
    json transact(const json& body, std::uint16_t& status);
    json read(const json& body, std::uint16_t& status) const;
    json scan(const json& body) const;
    json objects(const http_request& request, const json& body, std::uint16_t& status);
    json control(const http_request& request, const json& body, std::uint16_t& status);
    void set_vms(const json& vms);
    const row* find(const std::string& table, const std::string& key) const;

    std::mutex mutex_;
    std::map<std::pair<std::string, std::string>, row> rows_;
    std::map<std::string, std::string> objects_;
    std::uint64_t revision_{0};
    std::uint64_t writes_{0};
    std::uint64_t reads_{0};
    json vms_ = json::array();
    faults faults_;
    std::mt19937_64 random_{1};
    http_server server_;
    delayed_calls later_{mutex_};
};

} // namespace clementinegap
