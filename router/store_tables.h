#pragma once

#include "router/row_relay.h"
#include "router/store_link.h"
#include "routing/load_tracker.h"
#include "routing/row_confirmation.h"
#include "routing/row_source.h"

#include <array>
#include <functional>
#include <map>
#include <optional>
#include <string>

namespace clementinegap {

/// Follows the tables of the platform's store that an entry daemon needs: the configuration, the directory of
/// upstreams, and the list of daemons. Reads them from the store or from a relay, and serves them to other
/// daemons of its zone if this daemon is a relay.
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
        bool use_relays{false}; ///< Whether to read from relays even while the store responds.
        /// Within which changes must reach every daemon; 0: not specified.
        duration configuration_bound{0};
        duration directory_bound{0};
        std::uint64_t seed{0};
    };

    /// \param log called with an event and its detail.
    store_tables(event_loop& loop, const settings& options, callback on_progress,
                 std::function<void(std::string_view event, std::string_view detail)> log,
                 row_relay::configuration_source configuration);

    /// Serves other daemons at this address.
    bool listen(const endpoint& address) { return relay_.listen(address); }
    /// The number of connections that other daemons may open.
    void set_connection_limit(std::size_t connections) { relay_.set_connection_limit(connections); }
    void run(time_point now);
    time_point due() const;
    void sweep(time_point now) { relay_.sweep(now); }

    void set_store(const endpoint& store);
    void set_peers(std::map<std::string, endpoint> peers) { peers_ = std::move(peers); }
    /// \param own_version of the configuration that this daemon has in force.
    void on_report(const load_report& report, std::uint64_t own_version, time_point now);
    /// There may be changes of this table that a call which waits for them does not show.
    void ask_at_once(table which) { reader(which).ask_at_once(); }
    /// What this daemon advertises in its reports about the rows that it can serve.
    relay_status offer(time_point now) const;
    /// Until when this table has shown all changes, as the store told this daemon or another one. The epoch
    /// as long as it has not. \param which a table whose changes must be known within a bound.
    time_point confirmed_at(table which) const { return confirmation(which).by_any_daemon.confirmed_at(); }

private:
    void on_read(table which, table_follower::progress progress);
    void on_call_result(table which, const table_reader::call_result& result);
    table_reader make_reader(event_loop& loop, const settings& options, table which);
    void choose_source(time_point now);
    /// Asks the store for the tables of which changes may be missing for too long.
    void check_rows(time_point now);
    /// If the process was suspended, reports that arrived meanwhile seem new, so they confirm nothing until
    /// the own rows have been read again.
    void notice_suspension(time_point now);
    void ask_others_at_once(table asked);
    table_reader& reader(table which) { return readers_[static_cast<std::size_t>(which)]; }

    /// How often the source of rows is chosen again.
    static constexpr duration source_check_interval = milliseconds(100);
    /// The table of daemons changes with every daemon start, and no change in it is urgent.
    static constexpr duration daemons_batch_pause = seconds(2);
    /// Several times the interval at which `run` is called.
    static constexpr duration suspension_threshold = seconds(1);
    /// Tables whose changes must be known within a bound.
    static constexpr std::array bounded_tables{table::configuration, table::directory};

    /// The last answer of the store for a bounded table.
    struct table_confirmation {
        row_confirmation by_any_daemon;
        time_point here{};             ///< To this daemon.
        bool awaits_own_answer{false}; ///< Reports of others confirm nothing until then.
    };
    table_confirmation& confirmation(table which) { return confirmations_[static_cast<std::size_t>(which)]; }
    const table_confirmation& confirmation(table which) const
    {
        return confirmations_[static_cast<std::size_t>(which)];
    }

    relay_status own_offer_;
    callback on_progress_;
    std::function<void(std::string_view, std::string_view)> log_;
    row_source source_;
    row_relay relay_;
    std::array<table_reader, row_source::readers> readers_;
    std::array<table_confirmation, bounded_tables.size()> confirmations_;
    duration report_interval_{0}; ///< Of the other daemons.
    time_point awake_at_{never};  ///< When this process last did something.
    std::map<std::string, endpoint> peers_;
    std::string source_name_; ///< Name of the relay; empty: the store.
    time_point next_source_check_{};
    bool store_away_{false}; ///< The last call of the store failed.
};

} // namespace clementinegap
