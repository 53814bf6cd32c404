#pragma once

#include "router/row_relay.h"
#include "router/store_link.h"
#include "routing/load_tracker.h"
#include "routing/row_source.h"

#include <array>
#include <functional>
#include <map>
#include <string>

namespace clementinegap {

/// The tables of the platform's store that an entry daemon follows: the configuration, the directory of
/// upstreams, and the daemons themselves. Reads them from the store or from a relay, and is a relay for the
/// other daemons of its zone where that is its part.
class store_tables {
public:
    enum class table : std::uint8_t { configuration, directory, daemons };
    static constexpr std::string_view daemons_table = "daemons";
    using callback = std::function<void(table which, table_follower::progress progress)>;

    struct settings {
        std::string daemon;
        std::string zone;
        std::uint16_t link_mbps{0};
        endpoint store;
        bool use_relays{false}; ///< Also while the store answers.
        std::uint64_t seed{0};
    };

    /// \param log an event and its detail.
    store_tables(event_loop& loop, const settings& how, callback on_progress,
                 std::function<void(std::string_view event, std::string_view detail)> log,
                 row_relay::configuration_source configuration);

    /// Serves other daemons at this address.
    bool listen(const endpoint& address) { return relay_.listen(address); }
    void run(time_point now);
    time_point due() const;
    void sweep(time_point now) { relay_.sweep(now); }

    void set_store(const endpoint& store);
    void set_peers(std::map<std::string, endpoint> peers) { peers_ = std::move(peers); }
    void on_report(const load_report& report, time_point now);
    /// What this daemon's report says of its rows.
    relay_status offer(time_point now) const;

private:
    void on_read(table which, table_follower::progress progress);
    void on_outcome(table which, const table_reader::outcome& how);
    table_reader make_reader(event_loop& loop, const settings& how, table which);
    void choose_source(time_point now);

    /// How often it is looked at where rows should come from.
    static constexpr duration choice_interval = milliseconds(100);
    /// The table of daemons changes with every start, and nothing is urgent in it.
    static constexpr duration daemons_batch_pause = seconds(2);

    relay_status own_;
    callback on_progress_;
    std::function<void(std::string_view, std::string_view)> log_;
    row_source source_;
    row_relay relay_;
    std::array<table_reader, row_source::readers> readers_;
    std::map<std::string, endpoint> peers_;
    std::string reads_from_; ///< A daemon; empty: the store.
    time_point next_choice_{};
};

} // namespace clementinegap
