#include "request/shutdown_schedule.h"

#include <array>
#include <cstdio>

namespace clementinegap {
namespace {

constexpr std::array day_names{"Sun", "Mon", "Tue", "Wed", "Thu", "Fri", "Sat"};
constexpr std::array month_names{"Jan", "Feb", "Mar", "Apr", "May", "Jun",
                                 "Jul", "Aug", "Sep", "Oct", "Nov", "Dec"};
constexpr std::size_t date_length = 40;

} // namespace

bool has_ended(const shutdown_plan& plan, time_point now)
{
    return plan.ends_at && now >= *plan.ends_at;
}

bool admits(const shutdown_plan& plan, const request_class& rules, time_point now)
{
    return !plan.ends_at || now + rules.longest_run <= *plan.ends_at;
}

std::string http_date(time_point at)
{
    const std::chrono::sys_seconds instant(std::chrono::floor<seconds>(at.time_since_epoch()));
    const auto midnight = std::chrono::floor<std::chrono::days>(instant);
    const std::chrono::year_month_day date(midnight);
    const std::chrono::hh_mm_ss clock(instant - midnight);
    std::array<char, date_length> text{};
    std::snprintf(text.data(), text.size(), "%s, %02u %s %04d %02d:%02d:%02d GMT",
                  day_names.at(std::chrono::weekday(midnight).c_encoding()),
                  static_cast<unsigned>(date.day()), month_names.at(static_cast<unsigned>(date.month()) - 1),
                  static_cast<int>(date.year()), static_cast<int>(clock.hours().count()),
                  static_cast<int>(clock.minutes().count()), static_cast<int>(clock.seconds().count()));
    return text.data();
}

} // namespace clementinegap
