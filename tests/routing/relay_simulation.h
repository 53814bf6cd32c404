#pragma once

#include "routing/row_source.h"

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace clementinegap::testing {

/// Simulates daemons of several zones that follow one table, from the store or from each other as
/// `row_source` decides. A change is a single number, the newest version. Daemons are frozen, disconnected
/// from the store and restarted.
class relay_simulation {
public:
    relay_simulation(std::size_t zones, std::size_t daemons_per_zone, std::uint32_t seed);

    void pass(duration span);
    void change() { ++store_version_; }
    void set_store_reachable(std::size_t daemon, bool reachable);
    void set_frozen(std::size_t daemon, bool frozen);
    void restart(std::size_t daemon);

    std::size_t size() const { return daemons_.size(); }
    time_point now() const { return now_; }
    std::uint64_t store_version() const { return store_version_; }
    std::uint64_t known(std::size_t daemon) const { return daemons_[daemon].version; }
    /// Whether the daemon has run and could reach the store for this long.
    bool sound_for(std::size_t daemon, duration span) const;
    std::size_t relays() const;
    std::uint64_t store_calls() const { return store_calls_; }

private:
    struct daemon {
        std::string name;
        relay_status status; ///< Its zone and bandwidth.
        row_source source;
        std::string reads_from;
        std::uint64_t version{0};
        bool store_reachable{true};
        bool frozen{false};
        time_point disturbed_at{};
        time_point next_report;
        /// When a call in progress that gets no response will time out.
        std::optional<time_point> silent_until;
        time_point next_call;
    };

    daemon make(std::size_t index);
    void step();
    void read(daemon& one);
    void call_fails(daemon& one);
    bool serves(const daemon& one) const;
    daemon* find(const std::string& name);

    std::size_t zones_;
    std::minstd_rand random_;
    time_point now_{seconds(1000)};
    std::vector<daemon> daemons_;
    std::uint64_t store_version_{1};
    std::uint64_t store_calls_{0};
};

} // namespace clementinegap::testing
