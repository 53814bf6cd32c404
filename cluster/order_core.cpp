#include "cluster/order_core.h"

#include <algorithm>
#include <array>

namespace clementinegap {
namespace {

using namespace std::string_view_literals;

constexpr std::array kind_names{"load_model"sv, "unload_model"sv, "load_adapter"sv, "set_version"sv,
                                "set_role"sv};

} // namespace

std::string_view to_string(order_kind kind)
{
    return kind_names.at(static_cast<std::size_t>(kind));
}

std::optional<order_kind> order_kind_from(std::string_view name)
{
    const auto found = std::ranges::find(kind_names, name);
    if (found == kind_names.end()) {
        return std::nullopt;
    }
    return static_cast<order_kind>(found - kind_names.begin());
}

std::span<const order_action> order_core::on_event(const order_event& event, time_point now)
{
    now_ = now;
    actions_.clear();
    std::visit([this](const auto& value) { handle(value); }, event);
    return actions_;
}

time_point order_core::next_due() const
{
    switch (phase_) {
    case phase::checking:
        return asked_at_ + settings_.store_patience;
    case phase::ordering:
        return asked_at_ + settings_.engine_patience;
    case phase::settling:
        return asked_at_ + settings_.settle_time;
    case phase::idle:
        break;
    }
    return never;
}

void order_core::handle(const order_received& event)
{
    if (event.order.number < guard_.highest()) {
        actions_.emplace_back(order_answered{event.order.id, result_code::stale_fencing_number});
        return;
    }
    if (queue_.size() >= settings_.max_queue) {
        actions_.emplace_back(order_answered{event.order.id, result_code::table_full});
        return;
    }
    queue_.push_back(event.order);
    start_next();
}

void order_core::handle(const lease_read& event)
{
    if (phase_ != phase::checking || event.step != step_) {
        return;
    }
    if (now_ >= asked_at_ + settings_.row_lifetime && event.row) {
        // The row may have changed since; it is read again.
        check_lease();
        return;
    }
    const auto code = judge(event.row);
    if (code != result_code::ok) {
        end(code);
        return;
    }
    (void)guard_.admit(queue_.front().number);
    phase_ = phase::ordering;
    asked_at_ = now_;
    actions_.emplace_back(forward_order{++step_, queue_.front()});
}

result_code order_core::judge(const std::optional<lease_row>& row) const
{
    if (!row) {
        return result_code::store_unavailable;
    }
    const bool is_current = row->number == queue_.front().number && !row->holder.empty();
    const bool holds_on =
        to_milliseconds((now_ + settings_.least_rest).time_since_epoch()) < row->expires_unix_ms;
    return is_current && holds_on ? result_code::ok : result_code::stale_fencing_number;
}

void order_core::handle(const engine_replied& event)
{
    if (phase_ != phase::ordering || event.step != step_) {
        return;
    }
    switch (event.what) {
    case engine_replied::kind::applied:
        end(result_code::ok);
        break;
    case engine_replied::kind::refused:
        end(result_code::stale_fencing_number);
        break;
    case engine_replied::kind::unknown:
        end(result_code::outcome_unknown);
        break;
    }
}

void order_core::handle(const tick& /*event*/)
{
    if (phase_ == phase::checking && now_ >= asked_at_ + settings_.store_patience) {
        end(result_code::store_unavailable);
    } else if (phase_ == phase::ordering && now_ >= asked_at_ + settings_.engine_patience) {
        end(result_code::outcome_unknown);
    } else if (phase_ == phase::settling && now_ >= asked_at_ + settings_.settle_time) {
        phase_ = phase::idle;
        start_next();
    }
}

void order_core::start_next()
{
    if (phase_ != phase::idle || queue_.empty()) {
        return;
    }
    check_lease();
}

void order_core::check_lease()
{
    phase_ = phase::checking;
    asked_at_ = now_;
    actions_.emplace_back(read_lease{++step_});
}

void order_core::end(result_code code)
{
    actions_.emplace_back(order_answered{queue_.front().id, code});
    queue_.pop_front();
    phase_ = code == result_code::outcome_unknown ? phase::settling : phase::idle;
    asked_at_ = now_;
    start_next();
}

} // namespace clementinegap
