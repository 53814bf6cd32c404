#include "experiments/experiment_run.h"

#include "core/digest.h"
#include "fakes/fake_deployment.h"

#include <algorithm>

namespace clementinegap {
namespace {

constexpr duration service_sample_interval = milliseconds(100);
constexpr duration engine_restart_interval = seconds(1);
constexpr std::string_view stream_mark = "data: ";

std::string upstream_name(int index)
{
    return "upstream-" + std::to_string(index);
}

std::string entry_name(int index)
{
    return "entry-" + std::to_string(index);
}

std::string zone_name(int index)
{
    return "zone-" + std::to_string(index);
}

std::uint32_t tokens_in(const std::string& body)
{
    std::uint32_t count = 0;
    for (auto at = body.find(stream_mark); at != std::string::npos; at = body.find(stream_mark, at + 1)) {
        const bool is_token = body.compare(at + stream_mark.size(), 1, "[") != 0 &&
                              body.compare(at + stream_mark.size(), 1, "{") != 0;
        count += is_token ? 1U : 0U;
    }
    return count;
}

/// Counters of all engines at one moment.
struct engine_counters {
    std::uint64_t produced{0};
    std::uint64_t starts{0};
};

/// The progress of one class between samples.
struct service_seen {
    std::size_t bytes{0};
    duration last{0};
    duration longest{0};
};

/// Builds the deployment of an experiment, plays its arrivals and faults, and reads off the measures.
class experiment_player {
public:
    experiment_player(const experiment& about, decision_variant variant)
        : about_(about), variant_(variant), deployment_(about.seed)
    {
        deployment_.configure(configuration_of());
        for (int i = 0; i < about_.entries; ++i) {
            deployment_.add_entry(entry_of(i));
        }
        for (int i = 0; i < about_.upstreams; ++i) {
            fake_engine_options engine;
            engine.slots = about_.slots;
            engine.token_interval = about_.token_interval;
            engine.prefill = about_.prefill;
            deployment_.add_upstream(upstream_of(i), engine);
            deployment_.engine_of(upstream_name(i)).crash_on(about_.poison);
        }
        deployment_.settle();
    }

    experiment_measures play()
    {
        plan_faults();
        plan_recovery();
        plan_window();
        plan_service_samples();
        plan_arrivals();
        deployment_.run_for(about_.length + about_.settle_time);
        return measures();
    }

private:
    configuration configuration_of() const
    {
        configuration value;
        value.version = 1;
        for (const auto& load : about_.classes) {
            value.classes.push_back(load.rules);
        }
        for (const auto& load : about_.workspaces) {
            value.workspaces.push_back({load.name, sha256_hex(load.name), 1, limits_of(load)});
        }
        return value;
    }

    /// Naive runs have no limits.
    std::vector<rate_limit> limits_of(const workspace_load& owner) const
    {
        std::vector<rate_limit> result;
        double shares = 0;
        for (const auto& load : about_.workspaces) {
            shares += load.share;
        }
        for (const auto& load : about_.classes) {
            const double rate = load.limit * load.requests_per_second * owner.share / shares;
            if (rate > 0 && variant_ == decision_variant::product) {
                result.push_back({load.rules.name, rate, std::max(2 * rate, 12.0)});
            }
        }
        return result;
    }

    entry_core_settings entry_of(int index) const
    {
        entry_core_settings result;
        result.vm = entry_name(index);
        result.zone = zone_name(index % about_.zones);
        result.incarnation = static_cast<std::uint64_t>(index) + 1;
        result.seed = about_.seed + static_cast<std::uint64_t>(index);
        if (variant_ == decision_variant::naive) {
            make_naive(result);
        }
        return result;
    }

    upstream_settings upstream_of(int index) const
    {
        upstream_settings result;
        result.vm = upstream_name(index);
        result.zone = zone_name(index % about_.zones);
        result.models = {"assistant"};
        result.slots = about_.slots;
        if (variant_ == decision_variant::naive) {
            make_naive(result);
        }
        return result;
    }

    static void make_naive(entry_core_settings& settings) { settings.placement = random_placement{}; }
    static void make_naive(upstream_settings& settings) { settings.order = fifo_queue{}; }

    /// An engine that crashed is started again by its VM.
    void plan_recovery()
    {
        for (duration at{0}; !about_.poison.empty() && at < about_.length; at += engine_restart_interval) {
            deployment_.scheduler().after(at, [this] {
                for (int i = 0; i < about_.upstreams; ++i) {
                    deployment_.engine_of(upstream_name(i)).recover();
                }
            });
        }
    }

    void plan_arrivals()
    {
        for (const auto& item : arrivals_of(about_)) {
            deployment_.scheduler().after(item.at, [this, item] { send(item); });
        }
    }

    void send(const arrival& item)
    {
        const auto& load = about_.classes[item.class_index];
        caller_request request;
        request.method = "POST";
        request.path = "/v1/chat/completions";
        request.key_sha256 = sha256_hex(about_.workspaces[item.workspace_index].name);
        request.class_name = load.rules.name;
        request.model = "assistant";
        request.stream = true;
        const auto number = std::to_string(++sent_);
        request.body = item.poisoned ? "{\"stand_in_tokens\":4,\"text\":\"" + about_.poison + "\"}"
                                     : "{\"stand_in_tokens\":" + std::to_string(item.tokens) +
                                           ",\"number\":" + number + "}";
        if (load.rules.repeat == repeat_rule::never) {
            request.idempotency_key = "key-" + number;
        }
        const auto caller = deployment_.send(entry_name(item.entry), std::move(request));
        if (!item.poisoned) {
            sent_requests_.emplace_back(caller, item);
        }
    }

    void plan_faults()
    {
        for (const auto& fault : about_.faults) {
            deployment_.scheduler().after(fault.at, [this, fault] { happen(fault); });
        }
    }

    void happen(const experiment_fault& fault)
    {
        switch (fault.kind) {
        case fault_kind::slow:
            deployment_.engine_of(fault.vm).set_slow(fault.value);
            return;
        case fault_kind::crash:
            deployment_.crash(fault.vm);
            return;
        case fault_kind::restart:
            deployment_.restart(fault.vm);
            deployment_.engine_of(fault.vm).recover();
            return;
        case fault_kind::store_outage:
            deployment_.table().set_outage(fault.value != 0);
            return;
        case fault_kind::drain:
            deployment_.drain(fault.vm);
            return;
        }
    }

    void plan_service_samples()
    {
        for (duration at{0}; at <= about_.length; at += service_sample_interval) {
            deployment_.scheduler().after(at, [this, at] { sample_service(at); });
        }
    }

    void sample_service(duration at)
    {
        std::map<std::string, std::size_t> bytes;
        std::map<std::string, bool> waits;
        for (const auto& [caller, item] : sent_requests_) {
            const auto& seen = deployment_.transcript_of(caller);
            const auto& name = about_.classes[item.class_index].rules.name;
            bytes[name] += seen.body.size();
            waits[name] = waits[name] || seen.open();
        }
        for (const auto& load : about_.classes) {
            const auto& name = load.rules.name;
            auto& state = service_[name];
            if (bytes[name] != state.bytes || !waits[name]) {
                state.last = at;
            }
            state.bytes = bytes[name];
            state.longest = std::max(state.longest, at - state.last);
        }
    }

    engine_counters count_engines()
    {
        engine_counters result;
        for (int i = 0; i < about_.upstreams; ++i) {
            const auto& engine = deployment_.engine_of(upstream_name(i));
            result.produced += engine.tokens_produced();
            for (const auto& [body, times] : engine.executions()) {
                result.starts += static_cast<std::uint64_t>(times);
            }
        }
        return result;
    }

    duration window_end() const
    {
        return about_.window_to == duration::zero() ? about_.length : about_.window_to;
    }

    void plan_window()
    {
        deployment_.scheduler().after(about_.window_from, [this] { window_begin_ = count_engines(); });
        deployment_.scheduler().after(window_end(), [this] { window_last_ = count_engines(); });
    }

    experiment_measures measures()
    {
        experiment_measures result;
        for (const auto& load : about_.classes) {
            result.classes[load.rules.name].longest_unserved = service_[load.rules.name].longest;
        }
        for (const auto& [caller, item] : sent_requests_) {
            count(result, deployment_.transcript_of(caller), item);
        }
        result.produced = count_engines().produced;
        const double useful = 1 - result.wasted();
        const double span = std::chrono::duration<double>(window_end() - about_.window_from).count();
        const double interval = std::chrono::duration<double>(about_.token_interval).count();
        const double prefill = std::chrono::duration<double>(about_.prefill).count();
        const auto tokens = static_cast<double>(window_last_.produced - window_begin_.produced);
        const auto starts = static_cast<double>(window_last_.starts - window_begin_.starts);
        result.goodput = useful * tokens / span;
        result.engine_use =
            useful * (tokens * interval + starts * prefill) / (span * about_.upstreams * about_.slots);
        return result;
    }

    void count(experiment_measures& result, const transcript& seen, const arrival& item) const
    {
        const auto& rules = about_.classes[item.class_index].rules;
        auto& measured = result.classes.at(rules.name);
        auto& [attained_here, sent_here] =
            measured.by_workspace[about_.workspaces[item.workspace_index].name];
        ++measured.sent;
        ++sent_here;
        result.received += tokens_in(seen.body);
        const bool whole = seen.succeeded();
        const auto first = whole ? seen.first_byte_at - seen.sent_at : duration::max();
        if (item.at >= about_.measured_from) {
            measured.first_tokens.push_back(first);
        }
        if (!whole) {
            ++(seen.open() ? measured.unanswered : measured.failed);
            ++measured.codes[seen.open() ? "open" : std::string(describe(seen.code()).name)];
            return;
        }
        ++measured.succeeded;
        const auto allowed = rules.first_token_target + item.tokens * rules.token_interval_target;
        if (first <= rules.first_token_target && seen.ended_at - seen.sent_at <= allowed) {
            ++measured.attained;
            ++attained_here;
        }
    }

    const experiment& about_;
    decision_variant variant_;
    fake_deployment deployment_;
    std::uint64_t sent_{0};
    std::vector<std::pair<caller_id, arrival>> sent_requests_;
    engine_counters window_begin_;
    engine_counters window_last_;
    std::map<std::string, service_seen> service_;
};

} // namespace

double class_measures::attainment() const
{
    return sent == 0 ? 1 : static_cast<double>(attained) / sent;
}

double class_measures::attainment_without(const std::string& workspace) const
{
    int met = 0;
    int all = 0;
    for (const auto& [name, counts] : by_workspace) {
        if (name != workspace) {
            met += counts.first;
            all += counts.second;
        }
    }
    return all == 0 ? 1 : static_cast<double>(met) / all;
}

duration class_measures::percentile(double share) const
{
    if (first_tokens.empty()) {
        return duration::zero();
    }
    auto sorted = first_tokens;
    const auto index =
        std::min(sorted.size() - 1, static_cast<std::size_t>(share * static_cast<double>(sorted.size())));
    std::ranges::nth_element(sorted, sorted.begin() + static_cast<std::ptrdiff_t>(index));
    return sorted[index];
}

double experiment_measures::wasted() const
{
    return produced == 0 ? 0 : 1 - static_cast<double>(received) / static_cast<double>(produced);
}

experiment_measures run_experiment(const experiment& about, decision_variant variant)
{
    return experiment_player(about, variant).play();
}

} // namespace clementinegap
