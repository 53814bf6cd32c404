#pragma once

#include "core/time.h"
#include "routing/prompt.h"
#include "routing/upstream_record.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace clementinegap {

/// Shared prompt parts of a request that was lost when its upstream crashed.
struct crash_suspect {
    duration sent_before{0}; ///< Time from its send to the crash.
    std::vector<std::uint64_t> parts;
    bool operator==(const crash_suspect&) const = default;
};

/// A crash of an upstream, as seen by one daemon. Without suspects it tells the others of the crash.
struct crash_evidence {
    std::string upstream;
    std::int64_t incarnation{0};
    duration age{0};
    std::vector<crash_suspect> suspects;
    bool operator==(const crash_evidence&) const = default;
};

/// A part that is refused. The requests that are refused hold all of `companions`.
struct quarantined_part {
    std::uint64_t part{0};
    duration age{0};
    std::vector<std::uint64_t> companions;
    bool operator==(const quarantined_part&) const = default;
};

/// A suspected part with which a request succeeded.
struct sound_part {
    std::uint64_t part{0};
    duration age{0};
    bool operator==(const sound_part&) const = default;
};

/// What daemons tell each other about prompt parts that crash upstreams.
struct prompt_part_statements {
    std::vector<crash_evidence> crashes;
    std::vector<quarantined_part> quarantined;
    std::vector<sound_part> sound;
    bool operator==(const prompt_part_statements&) const = default;
};

/// Finds the prompt parts that crash the upstreams that begin to answer a request with them, whatever else
/// the request holds. A crash makes suspects of the shared parts of all requests that were lost with it and
/// had not streamed for a while. A part is quarantined when it explains several crashes, each of a request
/// that was sent after the previous crash, and no request with it has succeeded since. Crashes that a
/// quarantined part explains are no evidence against others. All daemons exchange their evidence, as each of
/// them sees only a part of the lost requests; quarantines are in every report, so that restarted daemons
/// learn of them. Answers bursts of crashes, with any number of bystanders.
class prompt_part_quarantine {
public:
    /// A stream that has run for this long shows that the upstream does not crash on its parts; a few events
    /// may still be on their way when it does.
    static constexpr duration proof_of_soundness = milliseconds(300);

    /// Records that a send was lost with its connection.
    /// \param streamed how long its events had been coming; nothing: none came.
    void send_lost(const upstream_record& upstream, const prompt_info& prompt, time_point sent_at,
                   std::optional<duration> streamed, time_point now);
    /// The process of this upstream has ended.
    void process_ended(const upstream_record& upstream, time_point now);
    /// A request with this prompt succeeded.
    void succeeded(const prompt_info& prompt, time_point now);
    /// \param heard quarantines of another daemon or of the store.
    void on_quarantined(std::span<const quarantined_part> heard, time_point now);
    /// \param interval the time between reports.
    void on_report(const prompt_part_statements& statements, duration interval, time_point now);

    bool is_quarantined(const prompt_info& prompt) const;
    /// Increases whenever more requests are quarantined.
    std::uint64_t revision() const { return revision_; }
    std::vector<quarantined_part> quarantined(time_point now) const;

    /// Whether this crash is known already.
    bool knows_crash(const upstream_record& upstream) const
    {
        return crashes_.contains({upstream.id, upstream.incarnation});
    }

    /// What to include in the next report.
    prompt_part_statements next_statements(time_point now);
    /// Judges the crashes whose evidence is complete, and forgets what is old. To be called several times a
    /// second.
    void update(time_point now);

private:
    /// Crashes that a part must explain, each by a request that was sent after the previous one: if nothing
    /// else explains any of them, if something else does, and if something else explains as many of them or
    /// the part has been seen to succeed.
    static constexpr std::size_t min_crashes_alone = 2;
    static constexpr std::size_t min_crashes = 3;
    static constexpr std::size_t min_doubtful_crashes = 4;
    /// Deadly parts that are expected at the same time. So few parts, of some of the requests with another
    /// part, are blamed rather than the other part.
    static constexpr std::size_t max_specific_parts = 2;
    /// They must explain all but one in this many of its crashes.
    static constexpr std::size_t max_unexplained_divisor = 3;
    /// A part with a success this short before a crash is not suspected of it. Parts that most requests hold
    /// are met at nearly every crash.
    static constexpr duration trust_window = seconds(3);
    /// Losses are attributed to the end of a process that is detected within this time; an upstream that
    /// does not come back under its id is removed from the directory after three to four seconds.
    static constexpr duration blame_window = seconds(8);
    /// A crash is judged once the evidence of the other daemons has had this many report intervals to arrive.
    static constexpr int settling_intervals = 3;
    /// All requests of a process are lost at the same time; earlier losses have other causes.
    static constexpr duration loss_spread = milliseconds(500);
    /// Of crashes and quarantines.
    static constexpr duration evidence_lifetime = std::chrono::minutes(10);
    /// How long successes are remembered. Most parts that are met at a crash have succeeded before.
    static constexpr duration success_memory = seconds(120);
    /// Statements are repeated in this many reports, because any report may be lost.
    static constexpr int reports_per_statement = 6;

    static constexpr std::size_t max_crashes = 64;
    static constexpr std::size_t max_suspects = 256; ///< Of one crash.
    static constexpr std::size_t max_parts = 16;     ///< Of one suspect.
    static constexpr std::size_t max_quarantined = 64;
    static constexpr std::size_t max_successes = 8192;
    static constexpr std::size_t max_losses = 1024; ///< Of one upstream.
    /// Of one report, which must fit into a datagram; the others are in the next ones.
    static constexpr std::size_t max_reported_parts = 2048;
    static constexpr std::size_t max_reported_sound = 512;

    using upstream_key = std::pair<std::string, std::int64_t>; ///< Id and incarnation.
    using part_set = std::set<std::uint64_t>;

    struct loss {
        part_set parts;
        time_point sent_at;
        time_point at;
    };
    struct suspect {
        part_set parts;
        time_point sent_at;
        int reports{0}; ///< In which it is still to be included.
    };
    struct crash {
        time_point at;
        time_point known_since;
        std::vector<suspect> suspects;
        std::vector<suspect> own_suspects; ///< As included in reports.
        int reports{0};                    ///< In which it is still to be included, also without suspects.
    };
    struct quarantine {
        time_point since;
        part_set companions; ///< Parts that each request with the part held, including the part.
    };
    /// A part and the crashes that it explains.
    struct hypothesis {
        std::vector<const crash*> crashes;
        std::size_t independent{0}; ///< Crashes of requests that were sent after the previous one.
        time_point last_crash;
        part_set companions;

        bool explains(const crash* one) const { return std::ranges::find(crashes, one) != crashes.end(); }
    };
    using hypotheses = std::map<std::uint64_t, hypothesis>;

    void add_crash(const upstream_key& key, time_point at, time_point now);
    void add_suspect(crash& where, suspect added);
    /// Makes suspects of the requests that were lost with this process.
    void attribute_losses(const upstream_key& key, crash& where);
    bool trusts(std::uint64_t part, time_point crash_at) const;
    void mark_sound(std::uint64_t part, time_point at, bool publish);
    void collect_suspected();
    /// Quarantines the parts that explain enough crashes.
    void evaluate(time_point now);
    bool has_succeeded(std::uint64_t part) const { return succeeded_at_.contains(part); }
    /// The parts that explain the most crashes, if these suffice.
    std::vector<std::uint64_t> best_explanations(const hypotheses& all) const;
    /// Crashes that this part must explain.
    std::size_t required_crashes(std::uint64_t part, const hypotheses& all) const;
    static hypotheses build_hypotheses(std::span<const crash* const> crashes);
    /// Whether a few parts explain most of its crashes that are met only beside this part, while it is met
    /// without them too.
    bool has_specific_explanation(std::uint64_t part, const hypotheses& all) const;
    /// Whether each of its crashes has no other suspects than parts that have been seen to succeed.
    bool is_alone(const hypothesis& one) const;
    /// Whether parts of other requests explain some of the crashes of this part and as many in all.
    static bool is_contested(std::uint64_t part, const hypotheses& all);
    void put_in_quarantine(std::uint64_t part, quarantine added);

    std::map<upstream_key, std::vector<loss>> losses_;
    std::map<upstream_key, crash> crashes_;
    std::map<std::uint64_t, quarantine> quarantined_;
    std::unordered_map<std::uint64_t, time_point> succeeded_at_;
    std::map<std::uint64_t, int> sound_to_report_; ///< Number of reports in which it is still to be included.
    part_set suspected_;                           ///< Parts of all suspects, and those in quarantine.
    bool evidence_changed_{false};                 ///< Since the last evaluation.
    duration report_interval_{0};                  ///< As heard of the other daemons; zero: there are none.
    std::uint64_t revision_{0};
};

} // namespace clementinegap
