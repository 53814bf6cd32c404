#include "duties/usage_duty.h"

#include "duties/usage_duty_core.h"

namespace clementinegap {

class usage_duty::implementation : public usage_duty_core {
public:
    using usage_duty_core::usage_duty_core;
};

usage_duty::usage_duty(usage_settings settings)
    : implementation_(std::make_unique<implementation>(std::move(settings)))
{
}

usage_duty::~usage_duty() = default;

void usage_duty::count(std::string_view workspace, std::int64_t unix_ms, time_point now)
{
    implementation_->count(workspace, unix_ms, now);
}

void usage_duty::heard(std::string_view daemon, std::uint64_t incarnation, duration next_in,
                       const usage_statement& statement, time_point now)
{
    implementation_->heard(daemon, incarnation, next_in, statement, now);
}

usage_statement usage_duty::statement(std::int64_t unix_ms, time_point now)
{
    return implementation_->statement(unix_ms, now);
}

std::span<const duty_action> usage_duty::on_event(const duty_event& event, std::int64_t unix_ms,
                                                  time_point now)
{
    return implementation_->on_event(event, unix_ms, now);
}

time_point usage_duty::next_due() const
{
    return implementation_->next_due();
}

bool usage_duty::is_holder(time_point now) const
{
    return implementation_->is_holder(now);
}

std::uint64_t usage_duty::token() const
{
    return implementation_->token();
}

std::size_t usage_duty::silent_daemons() const
{
    return implementation_->silent_daemons();
}

} // namespace clementinegap
