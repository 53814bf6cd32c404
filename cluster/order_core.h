#pragma once

#include "cluster/fencing.h"
#include "cluster/lease.h"
#include "core/result_code.h"
#include "core/tick.h"
#include "core/time.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <span>
#include <string>
#include <variant>
#include <vector>

namespace clementinegap {

/// What an engine can be told to do.
enum class order_kind : std::uint8_t { load_model, unload_model, load_adapter, set_version, set_role };

std::string_view to_string(order_kind kind);
/// The kind of that name, as `to_string` gives it.
std::optional<order_kind> order_kind_from(std::string_view name);

/// An order to one engine, under the fencing number of its holder's lease.
struct engine_order {
    std::uint64_t id{0}; ///< Names the asker's wait for the answer within the daemon.
    order_kind kind{order_kind::load_model};
    std::string name; ///< Of the model, adapter, version or role.
    std::uint64_t number{0};
};

struct order_received {
    engine_order order;
};

/// The lease's row as `read_lease` found it: nothing when the store cannot be reached, a default row when it
/// is absent.
struct lease_read {
    std::uint64_t step{0}; ///< Of the `read_lease` that it answers.
    std::optional<lease_row> row;
};

/// The engine answered; `unknown` when no answer came, and then the order may have been applied.
struct engine_replied {
    enum class kind : std::uint8_t { applied, refused, unknown };
    std::uint64_t step{0}; ///< Of the `forward_order` that it answers.
    kind what{kind::applied};
};

using order_event = std::variant<order_received, lease_read, engine_replied, tick>;

/// Asks for the lease's row, right before an order goes to the engine.
struct read_lease {
    std::uint64_t step{0};
};

struct forward_order {
    std::uint64_t step{0};
    engine_order order;
};

struct order_answered {
    std::uint64_t id{0};
    result_code code{result_code::ok};
};

using order_action = std::variant<read_lease, forward_order, order_answered>;

struct order_settings {
    std::size_t max_queue{64};
    duration store_patience{seconds(2)};
    duration engine_patience{seconds(60)};
    /// After an order without an answer the engine may still apply it, so the next one waits for this long.
    duration settle_time{seconds(5)};
    /// An order is not forwarded later than this after the row was asked for: a longer pause makes the row
    /// old.
    duration row_lifetime{seconds(1)};
    /// An order is not forwarded when the lease ends sooner, so that it cannot reach the engine after a new
    /// holder's.
    duration least_rest{milliseconds(500)};
};

/// The orders of one engine: one at a time, each under a number not lower than any before, and each checked
/// against the lease's row right before it goes out. The engine need not check anything.
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
    void end(result_code code);
    result_code judge(const std::optional<lease_row>& row) const;

    order_settings settings_;
    time_point now_;
    std::vector<order_action> actions_;
    std::deque<engine_order> queue_;
    phase phase_{phase::idle};
    time_point asked_at_;
    std::uint64_t step_{0}; ///< Of the question that is open; answers to earlier ones are void.
    fencing_guard guard_;
};

} // namespace clementinegap
