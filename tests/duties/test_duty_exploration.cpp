#include "fencing_rules.h"

#include "duties/usage_duty_core.h"

#include <boost/test/unit_test.hpp>

#include <array>
#include <cstdlib>
#include <optional>
#include <string>
#include <vector>

using namespace clementinegap;

namespace {

/// CG_DEPTH sets another depth.
constexpr std::size_t default_depth = 6;
constexpr duration term = seconds(3);
/// Two of these exceed a lease and the observation before a take-over.
constexpr duration time_step = milliseconds(1'600);
constexpr time_point window_start{seconds(1'767'225'600)};

std::size_t depth_to_explore()
{
    const char* text = std::getenv("CG_DEPTH"); // NOLINT(concurrency-mt-unsafe): before any thread exists.
    return text == nullptr ? default_depth : std::strtoull(text, nullptr, 10);
}

/// Two daemons, a store and a service, in which each message waits until a step delivers or loses it.
class two_holders {
public:
    two_holders()
    {
        for (auto now = window_start; now < window_start + seconds(10); now += milliseconds(100)) {
            now_ = now;
            for (std::size_t i = 0; i < members_.size(); ++i) {
                members_[i].duty.count("hule930", unix_ms(), now_);
                state(i);
                tick_one(i);
                write(i, true, true);
                call(i, true);
            }
        }
        now_ = window_start + seconds(10);
        state(0);
        state(1);
    }

    /// The first daemon records the window; its call has not arrived, and the other one knows the new row.
    void record()
    {
        pass_time(1);
        write(0, true, true);
        state(0);
    }

    /// All that may happen next.
    std::vector<two_holders> successors() const
    {
        std::vector<two_holders> result;
        const auto add = [&](auto step) {
            auto next = *this;
            if (step(next)) {
                result.push_back(std::move(next));
            }
        };
        for (const auto ticking : {1U, 2U, 3U}) {
            add([&](two_holders& next) { return next.pass_time(ticking); });
        }
        for (std::size_t i = 0; i < members_.size(); ++i) {
            add([&](two_holders& next) { return next.state(i); });
            add([&](two_holders& next) { return next.write(i, true, true); });
            add([&](two_holders& next) { return next.write(i, true, false); });
            add([&](two_holders& next) { return next.write(i, false, false); });
            add([&](two_holders& next) { return next.write_late(i); });
            add([&](two_holders& next) { return next.call(i, true); });
            add([&](two_holders& next) { return next.call(i, false); });
        }
        return result;
    }

    std::string broken() const { return broken_rule(calls_, term); }
    std::size_t calls() const { return calls_.size(); }

private:
    struct member {
        usage_duty_core duty;
        std::optional<write_duty_row> writing;
        std::optional<write_duty_row> late;
        std::optional<send_usage> sending;
    };

    static member make(const std::string& name, std::uint64_t incarnation)
    {
        return {
            usage_duty_core(usage_settings{name, incarnation, seconds(5), seconds(10), term}), {}, {}, {}};
    }

    std::int64_t unix_ms() const { return to_milliseconds(now_.time_since_epoch()); }

    void deliver(std::size_t i, const duty_event& event)
    {
        for (const auto& action : members_[i].duty.on_event(event, unix_ms(), now_)) {
            if (const auto* writing = std::get_if<write_duty_row>(&action)) {
                members_[i].writing = *writing;
            } else if (const auto* sending = std::get_if<send_usage>(&action)) {
                members_[i].sending = *sending;
            }
        }
    }

    void tick_one(std::size_t i)
    {
        const auto& sending = members_[i].sending;
        if (sending && sending->deadline <= now_) {
            const auto step = std::exchange(members_[i].sending, std::nullopt)->step;
            deliver(i, usage_refused{step, "no answer"});
        }
        deliver(i, tick{});
    }

    /// A daemon that does not tick is suspended meanwhile.
    bool pass_time(unsigned ticking)
    {
        now_ += time_step;
        for (std::size_t i = 0; i < members_.size(); ++i) {
            if ((ticking & (1U << i)) != 0) {
                tick_one(i);
            }
        }
        return true;
    }

    bool state(std::size_t from)
    {
        const auto statement = members_[from].duty.statement(unix_ms(), now_);
        members_[1 - from].duty.heard(names[from], from + 1, milliseconds(500), statement, now_);
        return true;
    }

    bool write(std::size_t i, bool is_performed, bool is_answered)
    {
        if (!members_[i].writing) {
            return false;
        }
        const auto wanted = *std::exchange(members_[i].writing, std::nullopt);
        const auto answer = is_performed ? perform(wanted) : duty_event(row_unknown{wanted.step});
        if (!is_performed) {
            members_[i].late = wanted;
        }
        deliver(i, is_answered ? answer : duty_event(row_unknown{wanted.step}));
        return true;
    }

    bool write_late(std::size_t i)
    {
        if (!members_[i].late) {
            return false;
        }
        perform(*std::exchange(members_[i].late, std::nullopt));
        return true;
    }

    duty_event perform(const write_duty_row& wanted)
    {
        if (wanted.expected_version != version_) {
            return row_conflict{wanted.step, version_, value_, 1};
        }
        value_ = wanted.value;
        return row_written{wanted.step, ++version_, 1};
    }

    bool call(std::size_t i, bool is_answered)
    {
        const auto& sending = members_[i].sending;
        if (!sending || sending->deadline <= now_) {
            return false;
        }
        calls_.push_back({now_, sending->holder, sending->token, sending->report});
        const auto step = std::exchange(members_[i].sending, std::nullopt)->step;
        deliver(i, is_answered ? duty_event(usage_accepted{step})
                               : duty_event(usage_refused{step, "no answer"}));
        return true;
    }

    static constexpr std::array<const char*, 2> names{"vm-0", "vm-1"};
    std::array<member, 2> members_{make(names[0], 1), make(names[1], 2)};
    time_point now_;
    std::uint64_t version_{0};
    std::string value_;
    std::vector<received_call> calls_;
};

struct exploration {
    std::uint64_t states{0};
    std::size_t most_calls{0};
    std::string broken;

    void visit(const two_holders& state, std::size_t depth)
    {
        ++states;
        most_calls = std::max(most_calls, state.calls());
        if (broken.empty()) {
            broken = state.broken();
        }
        if (depth == 0 || !broken.empty()) {
            return;
        }
        for (const auto& next : state.successors()) {
            visit(next, depth - 1);
        }
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(two_daemons_that_may_hold_the_duty)

// Both guard against an order of writes, answers, calls, statements and suspensions that nobody thought of.

BOOST_AUTO_TEST_CASE(break_no_rule_of_fencing_in_any_interleaving_after_a_window)
{
    const two_holders beginning;
    exploration explored;
    explored.visit(beginning, depth_to_explore());
    BOOST_TEST(explored.broken == "");
    BOOST_TEST(explored.most_calls > beginning.calls());
    BOOST_TEST_MESSAGE(explored.states << " states");
}

BOOST_AUTO_TEST_CASE(break_no_rule_of_fencing_in_any_interleaving_after_a_record)
{
    two_holders beginning;
    beginning.record();
    exploration explored;
    explored.visit(beginning, depth_to_explore());
    BOOST_TEST(explored.broken == "");
    BOOST_TEST(explored.most_calls > beginning.calls() + 1);
    BOOST_TEST_MESSAGE(explored.states << " states");
}

BOOST_AUTO_TEST_SUITE_END()
