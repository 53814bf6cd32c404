#pragma once

#include "adapters/http_client.h"
#include "core/checked_json.h"
#include "ports/platform_port.h"

#include <string>

namespace clementinegap {

/// The platform's table service and VM list over its HTTP protocol (docs/platform-protocol.md).
class platform_client : public table_port {
public:
    /// `base_url` such as "http://127.0.0.1:7000"; a call that takes longer than `timeout` counts as lost.
    platform_client(std::string base_url, duration timeout);

    /// Called after each call with its operation, its time and whether the platform answered; set before use.
    using call_observer = std::function<void(std::string_view operation, duration span, bool answered)>;
    void on_call(call_observer observer) { observer_ = std::move(observer); }

    void transact(std::vector<table_operation> operations,
                  std::function<void(transaction_result)> done) override;
    void read(const std::string& table, const std::string& key,
              std::function<void(read_result)> done) override;
    void scan(const std::string& table, const std::string& prefix,
              std::function<void(scan_result)> done) override;
    void list_vms(std::function<void(std::optional<std::vector<listed_vm>>)> done) override;

private:
    struct reply {
        http_end end;
        json body; ///< Null when there is no JSON.
    };
    void post(const std::string& method, const std::string& path, const json& body,
              std::function<void(reply)> done);

    std::string base_url_;
    duration timeout_;
    call_observer observer_;
    http_client client_;
};

} // namespace clementinegap
