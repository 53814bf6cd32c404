#include "adapters/peer_client.h"
#include "adapters/peer_server.h"
#include "observability/event_log.h"
#include "process/test_certificates.h"

#include <boost/test/unit_test.hpp>

#include <atomic>
#include <chrono>
#include <thread>

#include <stdlib.h>

using namespace clementinegap;

namespace {

constexpr auto patience = std::chrono::seconds(20);

/// Keys in a folder of their own, an upstream daemon's server, and what was counted at both ends.
struct secured_peers {
    secured_peers()
    {
        authority.issue(folder, "upstream", "upstream.upstream-1");
        server = std::make_unique<peer_server>(
            [this](const upstream_event& event) {
                accepted += std::holds_alternative<entry_connected>(event) ? 1 : 0;
                return true;
            },
            files("upstream"), clock);
        BOOST_REQUIRE(server->start("127.0.0.1:0"));
    }
    ~secured_peers()
    {
        server->stop();
        std::filesystem::remove_all(folder);
    }
    secured_peers(const secured_peers&) = delete;
    secured_peers& operator=(const secured_peers&) = delete;

    static std::filesystem::path make_folder()
    {
        std::string pattern = std::filesystem::temp_directory_path() / "peer-keys-XXXXXX";
        BOOST_REQUIRE(::mkdtemp(pattern.data()) != nullptr);
        return pattern;
    }

    peer_credentials files(const std::string& name) const
    {
        return {folder / "ca.pem", folder / (name + ".pem"), folder / (name + ".key")};
    }

    /// Dials until the server has accepted a session or the client has been turned away `refusals` times.
    bool connects(const peer_credentials& credentials, int refusals)
    {
        const int before = accepted;
        std::atomic<int> ended{0};
        peer_client client(
            [&](const entry_event& event) {
                ended += std::holds_alternative<upstream_disconnected>(event) ? 1 : 0;
                return true;
            },
            credentials, clock);
        client.connect_to({{"upstream-1", "127.0.0.1:" + std::to_string(server->port())}});
        const auto end = std::chrono::steady_clock::now() + patience;
        while (accepted == before && ended < refusals && std::chrono::steady_clock::now() < end) {
            std::this_thread::sleep_for(std::chrono::milliseconds(5));
        }
        const bool is_accepted = accepted > before;
        BOOST_TEST((is_accepted || ended >= refusals));
        client.stop();
        return is_accepted;
    }

    std::filesystem::path folder{make_folder()};
    test_authority authority;
    hybrid_clock clock;
    std::atomic<int> accepted{0};
    std::unique_ptr<peer_server> server;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(the_peer_protocol_with_keys, secured_peers)

BOOST_AUTO_TEST_CASE(takes_an_entry_daemon)
{
    authority.issue(folder, "entry", "entry.entry-1");
    BOOST_TEST(connects(files("entry"), 100));
}

BOOST_AUTO_TEST_CASE(refuses_plain_text_other_roles_and_other_authorities)
{
    BOOST_TEST(!connects(peer_credentials{}, 3));
    authority.issue(folder, "upstream-2", "upstream.upstream-2");
    BOOST_TEST(!connects(files("upstream-2"), 3));
    authority.issue(folder, "caller", "workspace-1");
    BOOST_TEST(!connects(files("caller"), 3));
    const auto foreign_folder = make_folder();
    test_authority().issue(foreign_folder, "entry", "entry.entry-1");
    const peer_credentials foreign{folder / "ca.pem", foreign_folder / "entry.pem",
                                   foreign_folder / "entry.key"};
    BOOST_TEST(!connects(foreign, 3));
    std::filesystem::remove_all(foreign_folder);
}

BOOST_AUTO_TEST_CASE(takes_replaced_keys_without_a_restart)
{
    authority.issue(folder, "entry", "entry.entry-1");
    BOOST_TEST(connects(files("entry"), 100));
    const test_authority next;
    next.issue(folder, "upstream", "upstream.upstream-1");
    next.issue(folder, "entry", "entry.entry-1");
    BOOST_TEST(connects(files("entry"), 100));
}

BOOST_AUTO_TEST_SUITE_END()
