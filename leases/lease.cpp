#include "leases/lease.h"

#include "core/checked_json.h"

#include <algorithm>

namespace clementinegap {
namespace {

std::int64_t unix_ms(time_point at)
{
    return to_milliseconds(at.time_since_epoch());
}

} // namespace

std::string to_row(const lease_row& row)
{
    return json{{"holder", row.holder}, {"number", row.number}, {"expires_unix_ms", row.expires_unix_ms}}
        .dump();
}

outcome<lease_row> lease_from_row(std::string_view value)
{
    fault_list faults;
    const auto document = parse_json_with_comments(value, faults);
    if (!document) {
        return failure(result_code::internal, "the lease's row: " + faults.text());
    }
    object_reader reader(*document, "", faults);
    lease_row result;
    result.holder = reader.string("holder");
    result.number = static_cast<std::uint64_t>(reader.integer("number", 1, INT64_MAX));
    result.expires_unix_ms = reader.integer("expires_unix_ms", 0, INT64_MAX);
    if (!faults.empty()) {
        return failure(result_code::internal, "the lease's row: " + faults.text());
    }
    return result;
}

std::optional<lease_row> lease::acquire(const std::optional<lease_row>& current, time_point now,
                                        std::uint64_t lowest_number)
{
    const bool is_free = !current || current->holder.empty() || current->holder == holder_ ||
                         current->expires_unix_ms <= unix_ms(now);
    if (!is_free) {
        return std::nullopt;
    }
    const auto last_number = current ? current->number : 0;
    requested_ = lease_row{holder_, std::max(last_number + 1, lowest_number), unix_ms(now + term_)};
    return requested_;
}

std::optional<lease_row> lease::renew(time_point now)
{
    if (!number(now)) {
        return std::nullopt;
    }
    requested_ = lease_row{holder_, held_->number, unix_ms(now + term_)};
    return requested_;
}

void lease::granted()
{
    held_ = requested_;
    requested_.reset();
}

void lease::lost()
{
    held_.reset();
    requested_.reset();
}

void lease::read_back(const std::optional<lease_row>& current)
{
    if (requested_ && current == requested_) {
        granted();
    } else if (!held_ || current != held_) {
        lost();
    } else {
        requested_.reset();
    }
}

std::optional<std::uint64_t> lease::number(time_point now) const
{
    if (!held_ || unix_ms(now) >= held_->expires_unix_ms) {
        return std::nullopt;
    }
    return held_->number;
}

} // namespace clementinegap
