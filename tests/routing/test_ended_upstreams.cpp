#include "routing/crash_watch.h"
#include "routing/router_fixture.h"

#include <boost/test/unit_test.hpp>

#include <array>
#include <functional>
#include <memory>

using namespace clementinegap;
using clementinegap::testing::router_fixture;

namespace {

constexpr auto start = clementinegap::testing::start;

/// Two daemons before one upstream at a time, and a request that crashes each upstream that runs it. Its next
/// process has another id. There is no other traffic.
class quiet_fleet {
public:
    /// Several heartbeats: the time after which a directory removes the entry of a process that has crashed.
    static constexpr duration removal_delay = milliseconds(3600);
    static constexpr std::string_view crashing_path = "/book/x";
    static constexpr std::uint64_t crashing_body = 666;

    quiet_fleet()
    {
        for (std::size_t daemon = 0; daemon < daemons_.size(); ++daemon) {
            daemons_.at(daemon) = std::make_unique<request_router>(testing::daemon_settings(daemon, 1));
            give(daemon, configuration_received{router_fixture::table(1)});
            give(daemon, directory_listed{{upstream(1)}});
        }
    }
    /// The request comes at a daemon, and its upstream crashes if it is sent on. \returns whether it crashed.
    bool try_once(std::size_t daemon)
    {
        const auto request = arrive(daemon, crashing_body);
        if (!is_sent_) {
            return false;
        }
        give(daemon, send_failed{request, send_fault::lost, false});
        return true;
    }
    request_number arrive(std::size_t daemon, std::uint64_t body)
    {
        request_arrived event;
        event.request = ++requests_;
        event.id = "id-" + std::to_string(requests_);
        event.host = "h";
        event.path = crashing_path;
        event.api_key = "key-a";
        event.body_hash = body;
        give(daemon, event);
        return requests_;
    }
    /// Another request is sent to the upstream and ends so.
    void fail_another(std::size_t daemon, send_fault fault, bool refused)
    {
        const auto request = arrive(daemon, 1000 + requests_);
        BOOST_REQUIRE(is_sent_);
        give(daemon, send_failed{request, fault, false, refused});
    }
    void give(std::size_t daemon, const router_event& event)
    {
        is_sent_ = false;
        for (const auto& each : daemons_.at(daemon)->on_event(event, now_)) {
            is_sent_ = is_sent_ || std::holds_alternative<send_request>(each);
            if (const auto* publish = std::get_if<publish_soft_state>(&each)) {
                published_.at(daemon).push_back(publish->item);
            }
        }
    }
    void give_all(const router_event& event)
    {
        for (std::size_t daemon = 0; daemon < daemons_.size(); ++daemon) {
            give(daemon, event);
        }
    }
    void pass(duration span)
    {
        constexpr duration step = milliseconds(50);
        for (const auto end = now_ + span; now_ < end;) {
            now_ += step;
            give_all(tick{});
            exchange_reports();
        }
    }
    /// The current process of the upstream.
    upstream_record current() const { return upstream(process_); }
    void replace() { ++process_; }

private:
    static upstream_record upstream(int process)
    {
        auto record = router_fixture::upstream("p" + std::to_string(process), "app");
        record.address.port = static_cast<std::uint16_t>(8000 + process % 2);
        record.incarnation = process;
        return record;
    }
    void exchange_reports()
    {
        for (std::size_t from = 0; from < daemons_.size(); ++from) {
            load_reported event{daemons_.at(from)->report(now_), std::move(published_.at(from))};
            event.report.next_in = milliseconds(100);
            published_.at(from).clear();
            give(1 - from, event);
        }
    }

    time_point now_{start};
    std::array<std::unique_ptr<request_router>, 2> daemons_;
    std::array<std::vector<soft_state_item>, 2> published_;
    request_number requests_{0};
    int process_{1};
    bool is_sent_{false};
};

/// A way in which the end of a process becomes known.
struct end_report {
    const char* what;
    /// \param daemon that lost the request.
    std::function<void(quiet_fleet& fleet, std::size_t daemon)> report;
};

void list_next(quiet_fleet& fleet)
{
    fleet.replace();
    fleet.give_all(upstream_listed{fleet.current()});
}

const end_report end_reports[] = {
    {"its entry is removed",
     [](quiet_fleet& fleet, std::size_t) {
         fleet.pass(quiet_fleet::removal_delay);
         fleet.give_all(upstream_removed{fleet.current().id});
         list_next(fleet);
     }},
    {"its entry is missing in a listing",
     [](quiet_fleet& fleet, std::size_t) {
         fleet.pass(quiet_fleet::removal_delay);
         fleet.replace();
         fleet.give_all(directory_listed{{fleet.current()}});
     }},
    {"its entry is not restored after an outage of the directory",
     [](quiet_fleet& fleet, std::size_t) {
         fleet.give_all(directory_unreachable{});
         fleet.pass(quiet_fleet::removal_delay);
         fleet.give_all(upstream_removed{fleet.current().id});
         fleet.give_all(directory_reachable{});
         fleet.pass(upstream_directory::restore_grace + milliseconds(500));
         list_next(fleet);
     }},
    {"a later process is listed at its address",
     [](quiet_fleet& fleet, std::size_t) {
         fleet.pass(quiet_fleet::removal_delay);
         auto next = fleet.current();
         fleet.replace();
         const auto address = next.address;
         next = fleet.current();
         next.address = address;
         fleet.give_all(upstream_listed{next});
         fleet.give_all(upstream_listed{fleet.current()});
     }},
    {"another process answers at its address",
     [](quiet_fleet& fleet, std::size_t daemon) {
         fleet.pass(quiet_fleet::removal_delay);
         fleet.fail_another(daemon, send_fault::wrong_instance, false);
         list_next(fleet);
         fleet.pass(seconds(8));
     }},
    {"a connection for another request is refused",
     [](quiet_fleet& fleet, std::size_t daemon) {
         fleet.pass(quiet_fleet::removal_delay);
         fleet.fail_another(daemon, send_fault::unreachable, true);
         list_next(fleet);
         fleet.pass(seconds(8));
     }},
    {"a connection of another daemon is refused",
     [](quiet_fleet& fleet, std::size_t daemon) {
         fleet.pass(quiet_fleet::removal_delay);
         fleet.fail_another(1 - daemon, send_fault::unreachable, true);
         fleet.pass(milliseconds(300));
         list_next(fleet);
         fleet.pass(seconds(8));
     }},
};

} // namespace

BOOST_AUTO_TEST_SUITE(a_request_that_crashes_upstreams_which_return_under_other_ids)

// Guards against counting a crash only if a connection is refused soon after: with little traffic nobody
// connects to the process that has crashed, and the request crashed upstreams for ever.
BOOST_AUTO_TEST_CASE(is_kept_away_in_whatever_way_the_end_of_a_process_becomes_known)
{
    for (const auto& each : end_reports) {
        BOOST_TEST_CONTEXT(each.what)
        {
            quiet_fleet fleet;
            fleet.pass(seconds(4));
            int crashes = 0;
            for (std::size_t attempt = 0; attempt < 8; ++attempt) {
                const auto daemon = attempt % 2;
                if (fleet.try_once(daemon)) {
                    ++crashes;
                    each.report(fleet, daemon);
                }
                fleet.pass(milliseconds(300));
            }
            BOOST_TEST(crashes == 2);
        }
    }
}

BOOST_AUTO_TEST_CASE(is_kept_away_if_its_loss_is_noticed_after_the_end)
{
    quiet_fleet fleet;
    fleet.pass(seconds(4));
    for (std::size_t attempt = 0; attempt < 2; ++attempt) {
        const auto request = fleet.arrive(attempt, quiet_fleet::crashing_body);
        fleet.pass(milliseconds(300));
        fleet.give_all(upstream_removed{fleet.current().id});
        list_next(fleet);
        fleet.give(attempt, send_failed{request, send_fault::lost, false});
        fleet.pass(seconds(1));
    }
    BOOST_TEST(!fleet.try_once(0));
}

// Guards against counting one crash twice: a report states both the end of a process and a suspicion from it,
// and the daemon that hears of them has lost the same request there.
BOOST_AUTO_TEST_CASE(is_not_kept_away_for_one_crash_that_two_daemons_have_seen)
{
    quiet_fleet fleet;
    fleet.pass(seconds(4));
    for (std::size_t daemon = 0; daemon < 2; ++daemon) {
        const auto request = fleet.arrive(daemon, quiet_fleet::crashing_body);
        fleet.give(daemon, send_failed{request, send_fault::lost, false});
    }
    fleet.fail_another(0, send_fault::unreachable, true);
    fleet.pass(milliseconds(300));
    list_next(fleet);
    fleet.pass(seconds(8));
    BOOST_TEST(fleet.try_once(0));
}

BOOST_AUTO_TEST_CASE(is_not_suspected_at_an_upstream_that_leaves)
{
    quiet_fleet fleet;
    fleet.pass(seconds(4));
    for (std::size_t attempt = 0; attempt < 4; ++attempt) {
        BOOST_TEST(fleet.try_once(attempt % 2));
        auto leaving = fleet.current();
        leaving.leaving = true;
        fleet.give_all(upstream_listed{leaving});
        fleet.give_all(upstream_removed{leaving.id});
        list_next(fleet);
        fleet.pass(seconds(1));
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_crash_watch_of_ended_processes)

BOOST_AUTO_TEST_CASE(blames_only_what_a_process_lost_last)
{
    crash_watch watch;
    for (const auto* upstream : {"u", "v"}) {
        watch.send_lost({upstream, 1}, "outlived", start);
        watch.send_lost({upstream, 1}, "last", start + seconds(5));
        watch.process_ended({upstream, 1}, start + seconds(9), start + seconds(9));
    }
    BOOST_TEST(watch.is_quarantined("last", start + seconds(9)));
    BOOST_TEST(!watch.item_of("outlived", start + seconds(9)).has_value());
}

BOOST_AUTO_TEST_CASE(does_not_attribute_an_end_to_later_or_to_old_losses)
{
    crash_watch watch;
    watch.send_lost({"u", 1}, "later", start + seconds(2));
    BOOST_TEST(watch.process_ended({"u", 1}, start, start + seconds(3)).empty());
    watch.send_lost({"v", 1}, "old", start);
    BOOST_TEST(watch.process_ended({"v", 1}, start + minutes(1), start + minutes(1)).empty());
    BOOST_TEST(watch.process_ended({"u", 2}, start + seconds(3), start + seconds(3)).empty());
}

BOOST_AUTO_TEST_SUITE_END()
