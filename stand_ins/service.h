#pragma once

#include "adapters/http_server.h"
#include "core/checked_json.h"
#include "stand_ins/delayed_calls.h"

#include <cstdint>
#include <map>
#include <mutex>
#include <string>

namespace clementinegap {

/// A stand-in of a plain service. It keeps a ledger: how often each booking (the body's "booking") was
/// executed, at `GET /ledger`. `POST /control` {"work_ms", "drop_after_effect"}: the latter cuts the
/// connection after the effect.
class service_stand_in {
public:
    outcome<void> start(std::uint16_t port);
    void stop();
    std::uint16_t port() const { return server_.port(); }

private:
    void on_request(http_request request);
    void execute(const http_request& request, const json& body);

    std::mutex mutex_;
    std::map<std::string, std::uint64_t> ledger_;
    duration work_{milliseconds(5)};
    bool drop_after_effect_{false};
    http_server server_;
    delayed_calls later_{mutex_};
};

} // namespace clementinegap
