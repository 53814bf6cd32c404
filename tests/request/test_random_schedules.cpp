#include "core/digest.h"
#include "fakes/truth_oracle.h"

#include <boost/test/unit_test.hpp>

#include <cstdlib>
#include <iostream>

using namespace clementinegap;

namespace {

constexpr std::uint64_t default_schedules = 10'000;
constexpr duration fault_period = seconds(4);
constexpr duration quiet_period = seconds(90);

std::uint64_t from_environment(const char* name, std::uint64_t fallback)
{
    const char* text = std::getenv(name); // NOLINT(concurrency-mt-unsafe): before any thread exists.
    return text == nullptr ? fallback : std::strtoull(text, nullptr, 10);
}

request_class make_class(const std::string& name, int tier, repeat_rule repeat)
{
    request_class result;
    result.name = name;
    result.tier = tier;
    result.repeat = repeat;
    result.model = "assistant";
    result.deadline = seconds(6);
    return result;
}

/// One random schedule of requests and faults, all derived from one seed.
class random_schedule {
public:
    explicit random_schedule(std::uint64_t seed)
        : random_(seed), deployment_(seed), oracle_(deployment_), trace_(from_environment("CG_TRACE", 0) != 0)
    {
        build();
    }

    /// The first broken invariant; empty when all hold.
    std::string run()
    {
        const auto steps = pick(8, 24);
        std::vector<duration> times(steps);
        std::ranges::generate(times, [this] { return duration(pick(0, fault_period.count())); });
        std::ranges::sort(times);
        const auto begin = deployment_.now();
        for (const auto at : times) {
            if (!run_until(begin + at)) {
                return oracle_.check().front();
            }
            act();
        }
        run_until(begin + fault_period);
        note("mend everything");
        deployment_.set_duplicates(0);
        deployment_.mend_everything();
        if (!run_until(deployment_.now() + quiet_period)) {
            return oracle_.check().front();
        }
        const auto& faults = oracle_.check_end();
        if (!faults.empty()) {
            print_records();
        }
        return faults.empty() ? "" : faults.front();
    }

private:
    void build()
    {
        configuration value;
        value.version = 1;
        value.classes = {
            make_class("guide", 0, repeat_rule::repeatable), make_class("status", 1, repeat_rule::idempotent),
            make_class("booking", 1, repeat_rule::never), make_class("dossier", 6, repeat_rule::repeatable)};
        value.workspaces = {{"shop", sha256_hex("key"), 1, {}}};
        deployment_.configure(value);
        for (const std::uint64_t i : {1, 2}) {
            entry_core_settings entry;
            entry.vm = "entry-" + std::to_string(i);
            entry.incarnation = i * 1000;
            entry.seed = random_();
            deployment_.add_entry(entry);
        }
        const auto slots = static_cast<std::uint32_t>(pick(1, 4));
        for (const std::uint64_t i : {1, 2, 3}) {
            upstream_settings upstream;
            upstream.vm = "upstream-" + std::to_string(i);
            upstream.incarnation = i * 1000;
            upstream.models = {"assistant"};
            upstream.slots = slots;
            upstream.max_queue = 8;
            upstream.max_kept_response = 200;
            deployment_.add_upstream(upstream, {});
        }
        deployment_.settle();
        deployment_.set_link_jitter(duration(pick(0, 3) * 5000));
        deployment_.set_duplicates(pick(0, 3) == 0 ? 10 : 0);
    }

    std::int64_t pick(std::int64_t least, std::int64_t most)
    {
        return std::uniform_int_distribution<std::int64_t>(least, most)(random_);
    }

    std::string pick_of(const std::vector<std::string>& names)
    {
        return names[static_cast<std::size_t>(pick(0, static_cast<std::int64_t>(names.size()) - 1))];
    }

    void note(const std::string& text) const
    {
        if (trace_) {
            std::cout << to_milliseconds(deployment_.now().time_since_epoch()) % 1'000'000 << " ms  " << text
                      << '\n';
        }
    }

    bool run_until(time_point end)
    {
        while (deployment_.scheduler().next_due() <= end) {
            deployment_.scheduler().step();
            if (!oracle_.check().empty()) {
                print_records();
                return false;
            }
        }
        deployment_.scheduler().run_until(end);
        return true;
    }

    void print_records() const
    {
        if (trace_) {
            for (const auto& record : deployment_.records()) {
                std::cout << "  " << record.kind << ' ' << record.request_id << ' ' << record.upstream << ' '
                          << record.detail << '\n';
            }
        }
    }

    void act()
    {
        if (pick(0, 1) == 0) {
            send();
        } else {
            break_something();
        }
    }

    void send()
    {
        caller_request request;
        request.method = "POST";
        request.path = "/v1/chat/completions";
        request.key_sha256 = sha256_hex("key");
        request.model = "assistant";
        request.class_name = pick_of({"guide", "status", "booking", "booking", "booking", "dossier"});
        const auto tokens = request.class_name == "dossier" ? 60 : pick(1, 20);
        const bool never = request.class_name == "booking";
        request.body = R"({"n":)" + std::to_string(++bodies_) + R"(,"stand_in_tokens":)" +
                       std::to_string(tokens) + (pick(0, 1) == 0 ? "}" : R"(,"stream":false})");
        if (never && pick(0, 3) > 0) {
            request.idempotency_key = "k" + std::to_string(pick(1, 3));
            const auto before = body_of_key_.emplace(request.idempotency_key, request.body).first;
            if (pick(0, 15) > 0) {
                request.body = before->second;
            }
        }
        const auto entry = pick_of(deployment_.entries());
        if (!deployment_.is_alive(entry)) {
            return;
        }
        const auto caller = oracle_.send(entry, request, never);
        callers_.push_back(caller);
        note("request " + std::to_string(caller) + " to " + entry + ": " + request.class_name + " " +
             request.idempotency_key + " " + request.body);
    }

    void later(duration most, const std::string& text, std::function<void()> call)
    {
        deployment_.scheduler().after(duration(pick(0, most.count())), [this, text, call = std::move(call)] {
            note(text);
            call();
        });
    }

    void break_something()
    {
        const auto upstream = pick_of(deployment_.upstreams());
        const auto entry = pick_of(deployment_.entries());
        const auto vm = pick(0, 2) == 0 ? entry : upstream;
        switch (pick(0, 9)) {
        case 0:
            crash(vm);
            return;
        case 1:
            freeze(vm);
            return;
        case 2:
            note("cut " + entry + " " + upstream);
            deployment_.cut(entry, upstream);
            later(seconds(2), "heal", [this, entry, upstream] { deployment_.heal(entry, upstream); });
            return;
        case 3:
            note("outage");
            deployment_.table().set_outage(true);
            later(seconds(3), "outage ends", [this] { deployment_.table().set_outage(false); });
            return;
        case 4:
            note("lose answers");
            deployment_.table().lose_answers(static_cast<int>(pick(1, 3)));
            return;
        case 5:
            note("late effects");
            deployment_.table().delay_effects(static_cast<int>(pick(1, 2)), duration(pick(0, 3'000'000)));
            return;
        case 6:
            note("engine crash " + upstream);
            deployment_.engine_of(upstream).crash();
            later(seconds(1), "recover " + upstream,
                  [this, upstream] { deployment_.engine_of(upstream).recover(); });
            return;
        case 7:
            note("truncate or slow " + upstream);
            deployment_.engine_of(upstream).truncate_next(1);
            deployment_.engine_of(upstream).set_slow(static_cast<double>(pick(1, 20)));
            return;
        case 8:
            note("drain " + vm);
            if (deployment_.is_alive(vm)) {
                deployment_.drain(vm);
            }
            return;
        default:
            hang_up();
            return;
        }
    }

    void crash(const std::string& vm)
    {
        if (!deployment_.is_alive(vm)) {
            return;
        }
        note("crash " + vm);
        deployment_.crash(vm);
        later(seconds(2), "restart " + vm, [this, vm] {
            if (!deployment_.is_alive(vm)) {
                deployment_.restart(vm);
            }
        });
    }

    void freeze(const std::string& vm)
    {
        if (!deployment_.is_alive(vm)) {
            return;
        }
        note("freeze " + vm);
        deployment_.freeze(vm);
        later(seconds(4), "thaw " + vm, [this, vm] { deployment_.thaw(vm); });
    }

    void hang_up()
    {
        if (callers_.empty()) {
            return;
        }
        const auto caller =
            callers_[static_cast<std::size_t>(pick(0, static_cast<std::int64_t>(callers_.size()) - 1))];
        if (deployment_.transcript_of(caller).open()) {
            note("caller " + std::to_string(caller) + " hangs up");
            deployment_.hang_up(caller);
        }
    }

    std::mt19937_64 random_;
    fake_deployment deployment_;
    truth_oracle oracle_;
    bool trace_;
    int bodies_{0};
    std::map<std::string, std::string> body_of_key_;
    std::vector<caller_id> callers_;
};

} // namespace

BOOST_AUTO_TEST_SUITE(random_schedules_of_requests_and_faults)

BOOST_AUTO_TEST_CASE(break_no_invariant)
{
    const auto first = from_environment("CG_SEED", 1);
    const auto count =
        from_environment("CG_SCHEDULES", from_environment("CG_SEED", 0) > 0 ? 1 : default_schedules);
    int broken = 0;
    for (auto seed = first; seed < first + count && broken < 5; ++seed) {
        const auto fault = random_schedule(seed).run();
        broken += fault.empty() ? 0 : 1;
        BOOST_CHECK_MESSAGE(fault.empty(), "seed " << seed << ": " << fault << "; replay: CG_SEED=" << seed
                                                   << " CG_TRACE=1 build/bin/test_request -t "
                                                      "random_schedules_of_requests_and_faults");
    }
}

BOOST_AUTO_TEST_SUITE_END()
