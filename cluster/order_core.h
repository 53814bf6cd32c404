#pragma once

#include "core/result_code.h"
#include "core/tick.h"
#include "core/time.h"
#include "leases/fencing.h"
#include "leases/lease.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <span>
#include <string>
#include <variant>
#include <vector>

namespace clementinegap {

/// The operations that an engine can be ordered to perform.
enum class order_kind : std::uint8_t { load_model, unload_model, load_adapter, set_version, set_role };

std::string_view to_string(order_kind kind);
/// \returns the kind of that name, as `to_string` writes it.
std::optional<order_kind> order_kind_from(std::string_view name);

/// An order to one engine, with the fencing number of the lease of its sender.
struct engine_order {
    std::uint64_t id{0}; ///< Identifies the pending order within the daemon.
    order_kind kind{order_kind::load_model};
    std::string name; ///< Of the model, adapter, version or role.
    std::uint64_t number{0};
};

struct order_received {
    engine_order order;
};

/// The result of `read_lease`: the lease's row, nothing when the store is unreachable, a default row when the
/// row is absent.
struct lease_read {
    std::uint64_t step{0}; ///< Of the corresponding `read_lease`.
    std::optional<lease_row> row;
};

/// The engine's reply; `unknown` when none arrived, so that the order may have been applied.
struct engine_replied {
    enum class kind : std::uint8_t { applied, refused, unknown };
    std::uint64_t step{0}; ///< Of the corresponding `forward_order`.
    kind what{kind::applied};
};

using order_event = std::variant<order_received, lease_read, engine_replied, tick>;

/// Reads the lease's row immediately before an order is sent to the engine.
struct read_lease {
    std::uint64_t step{0};
};

struct forward_order {
    std::uint64_t step{0};
    engine_order order;
};

struct order_result {
    std::uint64_t id{0};
    result_code code{result_code::ok};
};

using order_action = std::variant<read_lease, forward_order, order_result>;

struct order_settings {
    std::size_t max_queue{64};
    duration store_timeout{seconds(2)};
    duration engine_timeout{seconds(60)};
    /// An engine may still apply an order that it did not reply to, so the next one is delayed by this time.
    duration settle_time{seconds(5)};
    /// An order is not forwarded later than this after the row was requested, since the row may be out of
    /// date by then.
    duration row_lifetime{seconds(1)};
    /// An order is not forwarded when the lease expires sooner, so that it cannot reach the engine after an
    /// order of a new holder.
    duration min_lease_remaining{milliseconds(500)};
};

/// Serializes the orders to one engine: one at a time, with fencing numbers that never decrease, each checked
/// against the lease's row immediately before it is sent. The engine itself need not check anything.
class order_core {
public:
    explicit order_core(order_settings settings) : settings_(settings) {}

    std::span<const order_action> on_event(const order_event& event, time_point now);
    time_point next_due() const;

private:
    enum class phase : std::uint8_t { idle, checking, ordering, settling };

    void handle(const order_received& event);
    void handle(const lease_read& event);
    void handle(const engine_replied& event);
    void handle(const tick& event);
    void start_next();
    void check_lease();
    void finish(result_code code);
    result_code check_row(const std::optional<lease_row>& row) const;

    order_settings settings_;
    time_point now_;
    std::vector<order_action> actions_;
    std::deque<engine_order> queue_;
    phase phase_{phase::idle};
    time_point phase_started_at_;
    std::uint64_t step_{0}; ///< Of the pending action; results of earlier steps are ignored.
    fencing_guard guard_;
};

} // namespace clementinegap
