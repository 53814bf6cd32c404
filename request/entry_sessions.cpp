#include "request/entry_sessions.h"

#include "request/incarnation_directory.h"

#include <cstdlib>

namespace clementinegap {
namespace {

constexpr duration announce_interval = seconds(60);
constexpr duration min_wait_step = milliseconds(50); ///< Of the expected wait, as it is reported.

/// The expected wait in doublings, so that only significant changes are reported.
int wait_step(duration wait)
{
    int step = 0;
    for (; wait >= min_wait_step; wait /= 2) {
        ++step;
    }
    return step;
}

/// Only changes that affect placements are sent: leaving, a slot becoming free or the last one taken, and the
/// wait in doublings.
bool affects_placements(const load_message& load, const load_message& published)
{
    return load.leaving != published.leaving || load.slowed != published.slowed ||
           load.yields_tier != published.yields_tier ||
           (load.free_slots == 0) != (published.free_slots == 0) ||
           (load.queued == 0) != (published.queued == 0) ||
           std::abs(wait_step(load.expected_wait) - wait_step(published.expected_wait)) > 1;
}

} // namespace

void entry_sessions::opened(session_id session, const load_message& load)
{
    sessions_.insert(session);
    const auto& settings = context_.settings;
    hello_message hello;
    hello.vm = settings.vm;
    hello.zone = settings.zone;
    hello.region = settings.region;
    hello.incarnation = settings.incarnation;
    hello.models = settings.models;
    hello.slots = settings.slots;
    hello.leaving = load.leaving;
    context_.act(send_to_entry{session, hello});
    context_.act(send_to_entry{session, load});
    announce_incarnation();
}

void entry_sessions::publish(const load_message& load)
{
    if (!affects_placements(load, published_)) {
        return;
    }
    published_ = load;
    for (const auto session : sessions_) {
        context_.act(send_to_entry{session, load});
    }
}

void entry_sessions::announce_incarnation()
{
    if (announced_at_ != time_point{} && context_.now < announced_at_ + announce_interval) {
        return;
    }
    announced_at_ = context_.now;
    context_.act(publish_item{incarnation_item(context_.settings.vm, context_.settings.incarnation)});
}

} // namespace clementinegap
