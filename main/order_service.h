#pragma once

#include "adapters/decision_thread.h"
#include "adapters/http_client.h"
#include "cluster/order_core.h"
#include "core/checked_json.h"
#include "ports/platform_port.h"

#include <functional>
#include <map>
#include <mutex>
#include <string>

namespace clementinegap {

/// The table that holds one lease for each engine, by the name of its VM.
inline constexpr const char* lease_table = "leases";

/// The only way of orders to the engine beside this daemon: the core decides, the lease's row is read from
/// the table, the order goes to the engine's `POST /v1/orders`.
class order_service {
public:
    using answer_function = std::function<void(result_code code)>;

    order_service(table_port& table, std::string vm, std::string engine_url);
    order_service(const order_service&) = delete;
    order_service& operator=(const order_service&) = delete;
    ~order_service();

    void start() { decisions_.start(); }
    void stop() { decisions_.stop(); }

    /// Takes an order as JSON, {"kind", "name", "number"}; `answer` is called once, on any thread.
    void take(const std::string& body, answer_function answer);

private:
    void perform(const order_action& action);
    void read_row(std::uint64_t step);
    void forward(const forward_order& action);
    void answer(const order_result& action);

    table_port& table_;
    std::string vm_;
    std::string engine_url_;
    http_client client_;
    std::mutex mutex_;
    std::map<std::uint64_t, answer_function> waiting_;
    std::uint64_t last_id_{0};
    decision_thread<order_core, order_event, order_action> decisions_;
};

} // namespace clementinegap
