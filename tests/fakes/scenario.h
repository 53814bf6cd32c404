#pragma once

#include "fakes/truth_oracle.h"

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <stdexcept>
#include <string>
#include <vector>

namespace clementinegap {

/// A line of a scenario that is not understood; the text begins with file and line.
class scenario_error : public std::runtime_error {
public:
    using std::runtime_error::runtime_error;
};

/// One story of the scenario language (docs/scenario-language.md), played on a fake deployment in manual
/// time. Besides what the story expects, the invariants are checked after every step.
class scenario {
public:
    /// Reads the whole text; throws `scenario_error` for the first line that is not a sentence of the
    /// language.
    scenario(std::string file, const std::string& text);

    /// Plays the story once; each failure begins with the file and, where there is one, the line.
    std::vector<std::string> run();

    /// The patterns of all sentences, as the documentation lists them.
    static std::vector<std::string> sentences();

private:
    using captures = std::vector<std::string>;

    struct sentence {
        std::string pattern;
        void (scenario::*apply)(const captures& words);
    };
    struct planned_line {
        std::size_t line{0};
        time_point at; ///< `never`: after everything else.
        const sentence* what{nullptr};
        captures words;
    };

    static const std::vector<sentence>& table();
    void read_line(std::size_t number, const std::string& line);
    void check_names(const planned_line& planned) const;
    void build();
    void play(const planned_line& planned);
    bool play_until(time_point end);
    [[noreturn]] void reject(std::size_t line, const std::string& why) const;
    void fail(const std::string& why);
    void demand(bool holds, const std::string& why);

    // Setting the scene.
    void add_entries(const captures& words);
    void add_upstreams(const captures& words);
    void add_class(const captures& words);
    void end_service(const captures& words);

    // Events.
    void arrive(const captures& words);
    void arrive_long(const captures& words);
    void arrive_keyed(const captures& words);
    void arrive_keyed_long(const captures& words);
    void hang_up(const captures& words);
    void crash(const captures& words);
    void restart(const captures& words);
    void freeze(const captures& words);
    void thaw(const captures& words);
    void drain(const captures& words);
    void crash_engine(const captures& words);
    void recover_engine(const captures& words);
    void slow_engine(const captures& words);
    void break_answer(const captures& words);
    void break_prompt(const captures& words);
    void store_down(const captures& words);
    void store_back(const captures& words);
    void store_loses(const captures& words);
    void store_delays(const captures& words);
    void store_takes(const captures& words);
    void cut(const captures& words);
    void heal(const captures& words);
    void settle_not_run(const captures& words);
    void settle_run(const captures& words);

    // Expectations.
    void expect_at_most_once(const captures& words);
    void expect_once(const captures& words);
    void expect_never_ran(const captures& words);
    void expect_whole(const captures& words);
    void expect_all_whole(const captures& words);
    void expect_failed(const captures& words);
    void expect_failed_ran(const captures& words);
    void expect_within(const captures& words);
    void expect_open(const captures& words);
    void expect_answered(const captures& words);
    void expect_truth(const captures& words);
    void expect_nothing_cut(const captures& words);
    void expect_stopped(const captures& words);
    void expect_idle_after(const captures& words);

    struct named_request {
        std::string body;
        std::string class_name;
        std::vector<caller_id> callers;
    };
    struct planned_request {
        std::string class_name;
        std::string name;
        std::string key;
        std::string entry;
        std::string tokens;
    };

    void send(const planned_request& planned);
    const transcript& last_answer(const std::string& name) const;

    std::string file_;
    std::vector<planned_line> scene_;
    std::vector<planned_line> story_;
    std::vector<planned_line> ending_;

    std::size_t current_line_{0};
    std::vector<std::string> failures_;
    std::vector<std::string> entry_names_;
    std::vector<std::string> upstream_names_;
    std::uint32_t slots_{4};
    configuration configuration_;
    std::unique_ptr<fake_deployment> deployment_;
    std::unique_ptr<truth_oracle> oracle_;
    time_point begin_;
    std::map<std::string, named_request> requests_;
    std::map<std::pair<std::string, std::string>, std::uint64_t> starts_at_;
    std::set<std::string> stopped_;
};

} // namespace clementinegap
