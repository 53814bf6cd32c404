#pragma once

#include "fakes/fake_engine.h"
#include "fakes/fake_table.h"
#include "fakes/manual_scheduler.h"
#include "request/entry_core.h"
#include "request/upstream_core.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace clementinegap {

/// What a caller saw of its request.
struct transcript {
    time_point sent_at;
    std::uint16_t status{0};
    std::string body;
    bool began{false};
    bool ended{false};
    bool aborted{false};
    time_point first_byte_at{never};
    time_point ended_at{never};

    bool open() const { return !ended && !aborted; }
    /// Whether the answer came whole, without an error status or an error event.
    bool succeeded() const;
    /// The `ran` of a failure; nothing for a success.
    std::optional<ran_state> ran() const;
    /// The numbered code of a failure; `ok` for a success.
    result_code code() const;
};

/// Entry cores and upstream cores joined by links in manual time, with fakes at their interfaces. It decides
/// nothing: it carries events and actions, and can cut, crash, freeze and restart.
class fake_deployment {
public:
    explicit fake_deployment(std::uint64_t seed = 1);

    manual_scheduler& scheduler() { return scheduler_; }
    time_point now() const { return scheduler_.now(); }
    void run_for(duration span) { scheduler_.run_until(now() + span); }

    void add_entry(entry_core_settings settings);
    void add_upstream(upstream_settings settings, fake_engine_options engine);
    /// Gives every daemon the configuration, also those that start later.
    void configure(configuration value);
    /// Connects what was added and lets the greetings pass.
    void settle();

    /// Sends a request to an entry; returns the caller's number, which names its transcript.
    caller_id send(const std::string& entry, caller_request request);
    void hang_up(caller_id caller);
    const transcript& transcript_of(caller_id caller) const { return transcripts_.at(caller); }
    const std::map<caller_id, transcript>& transcripts() const { return transcripts_; }

    fake_engine& engine_of(const std::string& vm) { return *upstreams_.at(vm).engine; }
    fake_table& table() { return table_; }
    const upstream_core& core_of_upstream(const std::string& vm) const { return *upstreams_.at(vm).core; }
    const entry_core& core_of_entry(const std::string& vm) const { return *entries_.at(vm).core; }
    bool is_drained(const std::string& vm) const { return drained_.contains(vm); }
    const std::vector<event_record>& records() const { return records_; }
    std::vector<request_metrics>& measured() { return measured_; }

    /// The daemon dies; its connections close. `restart` starts it empty with the next incarnation.
    void crash(const std::string& vm);
    void restart(const std::string& vm);
    /// A frozen daemon handles nothing until `thaw`; what arrives meanwhile waits.
    void freeze(const std::string& vm);
    void thaw(const std::string& vm);
    /// Closes the link and keeps it closed until `heal`.
    void cut(const std::string& entry, const std::string& upstream);
    void heal(const std::string& entry, const std::string& upstream);
    void drain(const std::string& vm);
    void set_link_delay(duration delay) { link_delay_ = delay; }
    /// Each message takes up to this much longer, still in order on its link.
    void set_link_jitter(duration jitter) { link_jitter_ = jitter; }
    /// Of 100 messages this many arrive twice.
    void set_duplicates(int percent) { duplicates_ = percent; }
    std::vector<std::string> entries() const;
    std::vector<std::string> upstreams() const;
    bool is_alive(const std::string& vm) const;
    bool is_frozen(const std::string& vm) const { return frozen_.contains(vm); }
    /// Mends everything that was broken: thaws, heals, restarts and recovers, also daemons that were drained.
    void mend_everything();

private:
    struct entry_node {
        entry_core_settings settings;
        std::unique_ptr<entry_core> core;
        std::vector<entry_event> waiting;
    };
    struct upstream_node {
        upstream_settings settings;
        std::unique_ptr<upstream_core> core;
        std::unique_ptr<fake_engine> engine;
        std::vector<upstream_event> waiting;
    };
    struct link {
        session_id session{0}; ///< 0 while closed.
        bool cut{false};
        time_point last_to_upstream{};
        time_point last_to_entry{};
    };
    using link_name = std::pair<std::string, std::string>;

    void deliver(const std::string& vm, const entry_event& event);
    void deliver(const std::string& vm, const upstream_event& event);
    void perform(const std::string& vm, const entry_action& action);
    void perform(const std::string& vm, const upstream_action& action);
    void wake_later(const std::string& vm, time_point due);
    void open_links();
    void open(const link_name& name);
    void close(const link_name& name);
    void send_on_link(time_point& last, std::function<void()> arrive);
    link_name name_of(session_id session) const;

    manual_scheduler scheduler_;
    std::mt19937_64 random_;
    fake_table table_{scheduler_};
    std::map<std::string, entry_node> entries_;
    std::map<std::string, upstream_node> upstreams_;
    std::map<link_name, link> links_;
    std::map<session_id, link_name> sessions_;
    std::map<std::string, time_point> wakes_;
    std::set<std::string> frozen_;
    std::set<std::string> drained_;
    std::map<caller_id, transcript> transcripts_;
    std::map<caller_id, std::string> entry_of_caller_;
    std::vector<event_record> records_;
    std::vector<request_metrics> measured_;
    configuration_ptr configuration_;
    caller_id last_caller_{0};
    session_id last_session_{0};
    duration link_delay_{500};
    duration link_jitter_{0};
    int duplicates_{0};
    std::uint64_t soft_sequence_{0};
};

} // namespace clementinegap
