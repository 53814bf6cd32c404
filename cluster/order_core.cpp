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
        return phase_started_at_ + settings_.store_timeout;
    case phase::ordering:
        return phase_started_at_ + settings_.engine_timeout;
    case phase::settling:
        return phase_started_at_ + settings_.settle_time;
    case phase::idle:
        break;
    }
    return never;
}

void order_core::handle(const order_received& event)
{
    if (event.order.number < guard_.highest()) {
        actions_.emplace_back(order_result{event.order.id, result_code::stale_fencing_number});
        return;
    }
    if (queue_.size() >= settings_.max_queue) {
        actions_.emplace_back(order_result{event.order.id, result_code::table_full});
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
    if (now_ >= phase_started_at_ + settings_.row_lifetime && event.row) {
        // The row may have changed in the meantime, so it is read again.
        check_lease();
        return;
    }
    const auto code = check_row(event.row);
    if (code != result_code::ok) {
        finish(code);
        return;
    }
    (void)guard_.admit(queue_.front().number);
    phase_ = phase::ordering;
    phase_started_at_ = now_;
    actions_.emplace_back(forward_order{++step_, queue_.front()});
}

result_code order_core::check_row(const std::optional<lease_row>& row) const
{
    if (!row) {
        return result_code::store_unavailable;
    }
    const bool is_current = row->number == queue_.front().number && !row->holder.empty();
    const bool remains_valid =
        to_milliseconds((now_ + settings_.min_lease_remaining).time_since_epoch()) < row->expires_unix_ms;
    return is_current && remains_valid ? result_code::ok : result_code::stale_fencing_number;
}

void order_core::handle(const engine_replied& event)
{
    if (phase_ != phase::ordering || event.step != step_) {
        return;
    }
    switch (event.what) {
    case engine_replied::kind::applied:
        finish(result_code::ok);
        break;
    case engine_replied::kind::refused:
        finish(result_code::stale_fencing_number);
        break;
    case engine_replied::kind::unknown:
        finish(result_code::outcome_unknown);
        break;
    }
}

void order_core::handle(const tick& /*event*/)
{
    if (phase_ == phase::checking && now_ >= phase_started_at_ + settings_.store_timeout) {
        finish(result_code::store_unavailable);
    } else if (phase_ == phase::ordering && now_ >= phase_started_at_ + settings_.engine_timeout) {
        finish(result_code::outcome_unknown);
    } else if (phase_ == phase::settling && now_ >= phase_started_at_ + settings_.settle_time) {
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
    phase_started_at_ = now_;
    actions_.emplace_back(read_lease{++step_});
}

void order_core::finish(result_code code)
{
    actions_.emplace_back(order_result{queue_.front().id, code});
    queue_.pop_front();
    phase_ = code == result_code::outcome_unknown ? phase::settling : phase::idle;
    phase_started_at_ = now_;
    start_next();
}

} // namespace clementinegap
