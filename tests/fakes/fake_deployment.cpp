#include "fakes/fake_deployment.h"

#include "core/checked_json.h"

#include <algorithm>
#include <iterator>

namespace clementinegap {
namespace {

constexpr duration detection_delay = milliseconds(1);
constexpr duration reconnect_delay = milliseconds(100);
constexpr duration settle_time = milliseconds(300);
constexpr std::uint16_t first_error_status = 400;

/// The error object of a failed answer, whole or at the end of a stream.
json error_of(const transcript& seen)
{
    std::string_view text = seen.body;
    if (const auto at = text.rfind("event: error\ndata: "); at != std::string_view::npos) {
        text = text.substr(at + std::string_view("event: error\ndata: ").size());
    } else if (seen.status < first_error_status) {
        return nullptr;
    }
    const auto body = json::parse(text, nullptr, false);
    return body.is_object() && body.contains("error") ? body["error"] : json(nullptr);
}

} // namespace

bool transcript::succeeded() const
{
    return ended && !aborted && status < first_error_status && error_of(*this).is_null();
}

std::optional<ran_state> transcript::ran() const
{
    const auto problem = error_of(*this);
    if (!problem.is_object()) {
        return std::nullopt;
    }
    const auto word = problem.value("ran", "unknown");
    return word == "no" ? ran_state::no : word == "yes" ? ran_state::yes : ran_state::unknown;
}

result_code transcript::code() const
{
    const auto problem = error_of(*this);
    return problem.is_object() ? static_cast<result_code>(problem.value("code", 0)) : result_code::ok;
}

fake_deployment::fake_deployment(std::uint64_t seed) : random_(seed) {}

// --- Building
// -------------------------------------------------------------------------------------------------

void fake_deployment::add_entry(entry_core_settings settings)
{
    const auto vm = settings.vm;
    auto& node = entries_[vm];
    node.settings = std::move(settings);
    node.core = std::make_unique<entry_core>(node.settings);
    if (configuration_) {
        deliver(vm, entry_event(configuration_applied{configuration_}));
    }
    open_links();
}

void fake_deployment::add_upstream(upstream_settings settings, fake_engine_options engine)
{
    const auto vm = settings.vm;
    auto& node = upstreams_[vm];
    node.settings = std::move(settings);
    node.core = std::make_unique<upstream_core>(node.settings);
    node.engine = std::make_unique<fake_engine>(
        scheduler_, engine, [this, vm](const upstream_event& event) { deliver(vm, event); });
    if (configuration_) {
        deliver(vm, upstream_event(configuration_applied{configuration_}));
    }
    open_links();
}

void fake_deployment::configure(configuration value)
{
    configuration_ = std::make_shared<const configuration>(std::move(value));
    for (const auto& [vm, node] : entries_) {
        deliver(vm, entry_event(configuration_applied{configuration_}));
    }
    for (const auto& [vm, node] : upstreams_) {
        deliver(vm, upstream_event(configuration_applied{configuration_}));
    }
}

void fake_deployment::settle()
{
    run_for(settle_time);
}

// --- Callers
// --------------------------------------------------------------------------------------------------

caller_id fake_deployment::send(const std::string& entry, caller_request request)
{
    const caller_id caller = ++last_caller_;
    request.caller = caller;
    transcripts_[caller].sent_at = now();
    entry_of_caller_[caller] = entry;
    deliver(entry, entry_event(std::move(request)));
    return caller;
}

void fake_deployment::hang_up(caller_id caller)
{
    auto& seen = transcripts_.at(caller);
    seen.aborted = true;
    seen.ended_at = now();
    deliver(entry_of_caller_.at(caller), entry_event(caller_disconnected{caller}));
}

// --- Events and actions
// ---------------------------------------------------------------------------------------

void fake_deployment::deliver(const std::string& vm, const entry_event& event)
{
    auto& node = entries_.at(vm);
    if (node.core == nullptr) {
        return;
    }
    if (frozen_.contains(vm)) {
        node.waiting.push_back(event);
        return;
    }
    const auto span = node.core->on_event(event, now());
    const std::vector<entry_action> actions(span.begin(), span.end());
    for (const auto& action : actions) {
        perform(vm, action);
    }
    wake_later(vm, node.core->next_due());
}

void fake_deployment::deliver(const std::string& vm, const upstream_event& event)
{
    auto& node = upstreams_.at(vm);
    if (node.core == nullptr) {
        return;
    }
    if (frozen_.contains(vm)) {
        node.waiting.push_back(event);
        return;
    }
    const auto span = node.core->on_event(event, now());
    const std::vector<upstream_action> actions(span.begin(), span.end());
    for (const auto& action : actions) {
        perform(vm, action);
    }
    wake_later(vm, node.core->next_due());
}

void fake_deployment::wake_later(const std::string& vm, time_point due)
{
    if (due == never) {
        return;
    }
    auto& wake = wakes_.try_emplace(vm, never).first->second;
    if (wake > now() && wake <= due) {
        return;
    }
    wake = std::max(due, now());
    scheduler_.after(wake - now(), [this, vm, at = wake] {
        auto& current = wakes_[vm];
        if (current != at) {
            return;
        }
        current = never;
        if (entries_.contains(vm)) {
            deliver(vm, entry_event(tick{}));
        } else {
            deliver(vm, upstream_event(tick{}));
        }
    });
}

void fake_deployment::perform(const std::string& vm, const entry_action& action)
{
    const auto seen = [this](caller_id caller) -> transcript& { return transcripts_[caller]; };
    std::visit(overloaded{[&](const send_to_upstream& value) {
                              auto& connection = links_[{vm, value.vm}];
                              const auto session = connection.session;
                              if (session == 0) {
                                  return;
                              }
                              send_on_link(
                                  connection.last_to_upstream, [this, session, message = value.message] {
                                      if (sessions_.contains(session)) {
                                          deliver(name_of(session).second,
                                                  upstream_event(entry_message_received{session, message}));
                                      }
                                  });
                          },
                          [&](const response_head& value) {
                              seen(value.caller).status = value.status;
                              seen(value.caller).began = true;
                          },
                          [&](const response_bytes& value) {
                              auto& record = seen(value.caller);
                              record.body += value.bytes;
                              record.first_byte_at = std::min(record.first_byte_at, now());
                              const auto size = static_cast<std::uint32_t>(value.bytes.size());
                              scheduler_.after(duration(10), [this, vm, caller = value.caller, size] {
                                  deliver(vm, entry_event(response_bytes_consumed{caller, size}));
                              });
                          },
                          [&](const response_end& value) {
                              seen(value.caller).ended = true;
                              seen(value.caller).ended_at = now();
                          },
                          [&](const full_response& value) {
                              auto& record = seen(value.caller);
                              record.status = value.status;
                              record.body = value.body;
                              record.ended = true;
                              record.first_byte_at = std::min(record.first_byte_at, now());
                              record.ended_at = now();
                          },
                          [&](const response_abort& value) {
                              seen(value.caller).aborted = true;
                              seen(value.caller).ended_at = now();
                          },
                          [&](const emit_record& value) { records_.push_back(value.record); },
                          [&](const request_metrics& value) { measured_.push_back(value); },
                          [&](const publish_item& value) {
                              auto item = value.item;
                              item.origin = vm;
                              item.sequence = ++soft_sequence_;
                              scheduler_.after(link_delay_, [this, item] {
                                  for (const auto& [name, node] : entries_) {
                                      deliver(name, entry_event(soft_state_received{item}));
                                  }
                                  for (const auto& [name, node] : upstreams_) {
                                      deliver(name, upstream_event(soft_state_received{item}));
                                  }
                              });
                          },
                          [&](const drain_completed&) { drained_.insert(vm); }},
               action);
}

void fake_deployment::perform(const std::string& vm, const upstream_action& action)
{
    auto& node = upstreams_.at(vm);
    const auto tell = [this, vm, incarnation = node.settings.incarnation](const upstream_event& event) {
        // An answer to a daemon that has died since reaches nobody.
        if (upstreams_.at(vm).settings.incarnation == incarnation) {
            deliver(vm, event);
        }
    };
    std::visit(
        overloaded{
            [&](const send_to_entry& value) {
                if (!sessions_.contains(value.session)) {
                    return;
                }
                auto& connection = links_[name_of(value.session)];
                send_on_link(
                    connection.last_to_entry, [this, session = value.session, message = value.message] {
                        if (sessions_.contains(session)) {
                            const auto name = name_of(session);
                            deliver(name.first, entry_event(upstream_message_received{name.second, message}));
                        }
                    });
            },
            [&](const engine_start& value) { node.engine->start(value); },
            [&](const engine_cancel& value) { node.engine->cancel(value.run); },
            [&](const engine_pause_reading& value) { node.engine->stop_reading(value.run); },
            [&](const engine_resume_reading& value) { node.engine->resume_reading(value.run); },
            [&](const engine_pause& value) { node.engine->pause(value.run); },
            [&](const engine_resume& value) { node.engine->resume(value.run); },
            [&](const claim_run& value) { table_.claim(value.record, tell); },
            [&](const read_run& value) { table_.read(value, tell); },
            [&](const finish_run& value) { table_.finish(value.record, tell); },
            [&](const release_run& value) { table_.release(value.record, tell); },
            [&](const emit_record& value) { records_.push_back(value.record); },
            [&](const publish_item& value) { perform(vm, entry_action(value)); },
            [&](const drain_completed&) { drained_.insert(vm); }},
        action);
}

// --- Links
// ----------------------------------------------------------------------------------------------------

void fake_deployment::send_on_link(time_point& last, std::function<void()> arrive)
{
    auto delay = link_delay_;
    if (link_jitter_ > duration::zero()) {
        delay += duration(std::uniform_int_distribution<std::int64_t>(0, link_jitter_.count())(random_));
    }
    last = std::max(last, now() + delay);
    if (duplicates_ > 0 && std::uniform_int_distribution<int>(0, 99)(random_) < duplicates_) {
        scheduler_.after(last - now(), arrive);
    }
    scheduler_.after(last - now(), std::move(arrive));
}

fake_deployment::link_name fake_deployment::name_of(session_id session) const
{
    return sessions_.at(session);
}

void fake_deployment::open_links()
{
    for (const auto& [entry, entry_node] : entries_) {
        for (const auto& [upstream, upstream_node] : upstreams_) {
            if (entry_node.core != nullptr && upstream_node.core != nullptr) {
                open({entry, upstream});
            }
        }
    }
}

void fake_deployment::open(const link_name& name)
{
    auto& connection = links_[name];
    if (connection.session != 0 || connection.cut) {
        return;
    }
    connection.session = ++last_session_;
    sessions_.emplace(connection.session, name);
    deliver(name.first, entry_event(upstream_connected{name.second}));
    deliver(name.second, upstream_event(entry_connected{connection.session}));
}

void fake_deployment::close(const link_name& name)
{
    auto& connection = links_[name];
    if (connection.session == 0) {
        return;
    }
    const auto session = std::exchange(connection.session, 0);
    sessions_.erase(session);
    scheduler_.after(detection_delay, [this, name, session] {
        deliver(name.first, entry_event(upstream_disconnected{name.second}));
        deliver(name.second, upstream_event(entry_disconnected{session}));
    });
    scheduler_.after(reconnect_delay, [this] { open_links(); });
}

// --- Faults
// ---------------------------------------------------------------------------------------------------

void fake_deployment::crash(const std::string& vm)
{
    if (entries_.contains(vm)) {
        entries_.at(vm).core.reset();
        entries_.at(vm).waiting.clear();
        for (const auto& [caller, entry] : entry_of_caller_) {
            auto& seen = transcripts_[caller];
            if (entry == vm && seen.open()) {
                seen.aborted = true;
                seen.ended_at = now();
            }
        }
    } else {
        auto& node = upstreams_.at(vm);
        node.core.reset();
        node.waiting.clear();
        node.engine->forget_all();
        ++node.settings.incarnation;
    }
    frozen_.erase(vm);
    std::vector<link_name> broken;
    for (const auto& [name, connection] : links_) {
        if (name.first == vm || name.second == vm) {
            broken.push_back(name);
        }
    }
    for (const auto& name : broken) {
        close(name);
    }
}

void fake_deployment::restart(const std::string& vm)
{
    drained_.erase(vm);
    if (entries_.contains(vm)) {
        auto& node = entries_.at(vm);
        ++node.settings.incarnation;
        node.core = std::make_unique<entry_core>(node.settings);
        if (configuration_) {
            deliver(vm, entry_event(configuration_applied{configuration_}));
        }
    } else {
        auto& node = upstreams_.at(vm);
        node.core = std::make_unique<upstream_core>(node.settings);
        if (configuration_) {
            deliver(vm, upstream_event(configuration_applied{configuration_}));
        }
    }
    scheduler_.after(reconnect_delay, [this] { open_links(); });
}

void fake_deployment::freeze(const std::string& vm)
{
    frozen_.insert(vm);
}

void fake_deployment::thaw(const std::string& vm)
{
    frozen_.erase(vm);
    if (entries_.contains(vm)) {
        for (const auto& event : std::exchange(entries_.at(vm).waiting, {})) {
            deliver(vm, event);
        }
    } else {
        for (const auto& event : std::exchange(upstreams_.at(vm).waiting, {})) {
            deliver(vm, event);
        }
    }
}

void fake_deployment::cut(const std::string& entry, const std::string& upstream)
{
    links_[{entry, upstream}].cut = true;
    close({entry, upstream});
}

void fake_deployment::heal(const std::string& entry, const std::string& upstream)
{
    links_[{entry, upstream}].cut = false;
    open_links();
}

std::vector<std::string> fake_deployment::entries() const
{
    std::vector<std::string> result;
    for (const auto& [vm, node] : entries_) {
        result.push_back(vm);
    }
    return result;
}

std::vector<std::string> fake_deployment::upstreams() const
{
    std::vector<std::string> result;
    for (const auto& [vm, node] : upstreams_) {
        result.push_back(vm);
    }
    return result;
}

bool fake_deployment::is_alive(const std::string& vm) const
{
    const auto entry = entries_.find(vm);
    return entry != entries_.end() ? entry->second.core != nullptr : upstreams_.at(vm).core != nullptr;
}

void fake_deployment::mend_everything()
{
    table_.set_outage(false);
    table_.lose_answers(0);
    table_.delay_effects(0, duration::zero());
    for (auto& [name, connection] : links_) {
        connection.cut = false;
    }
    auto daemons = entries();
    std::ranges::copy(upstreams(), std::back_inserter(daemons));
    for (const auto& vm : daemons) {
        thaw(vm);
        if (is_alive(vm) && is_drained(vm)) {
            crash(vm);
        }
        if (!is_alive(vm)) {
            restart(vm);
        }
    }
    for (const auto& [vm, node] : upstreams_) {
        node.engine->recover();
        node.engine->set_slow(1);
    }
    open_links();
}

void fake_deployment::drain(const std::string& vm)
{
    if (entries_.contains(vm)) {
        deliver(vm, entry_event(drain_started{}));
    } else {
        deliver(vm, upstream_event(drain_started{}));
    }
}

} // namespace clementinegap
