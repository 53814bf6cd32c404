#include "routing/table_copy.h"

#include <boost/test/unit_test.hpp>

#include <random>

using namespace clementinegap;

namespace {

table_row row(const std::string& key, std::uint64_t version, bool deleted = false)
{
    return {key, deleted ? "" : key + std::to_string(version), version, deleted};
}

table_follower::progress listing(std::vector<table_row> rows, std::uint64_t version)
{
    table_follower::progress read;
    read.is_snapshot = true;
    read.changes = std::move(rows);
    read.version = version;
    return read;
}

table_follower::progress changes(std::vector<table_row> rows, std::uint64_t version)
{
    auto read = listing(std::move(rows), version);
    read.is_snapshot = false;
    return read;
}

/// The rows that a reader of the table has.
struct reader_view {
    std::map<std::string, std::uint64_t> rows;
    std::uint64_t version{0};

    void take(const table_page& page)
    {
        for (const auto& each : page.rows) {
            if (each.deleted) {
                rows.erase(each.key);
            } else {
                rows[each.key] = each.version;
            }
        }
        version = std::max(version, page.version);
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(a_table_copy)

BOOST_AUTO_TEST_CASE(serves_listings_and_later_changes)
{
    table_copy copy;
    BOOST_TEST(!copy.is_complete());
    copy.apply(listing({row("a", 1), row("b", 2)}, 5));
    BOOST_TEST(copy.is_complete());
    BOOST_TEST(copy.listing().rows.size() == 2U);
    BOOST_TEST(copy.listing().version == 5U);
    copy.apply(changes({row("c", 7), row("a", 8, true)}, 9));
    BOOST_TEST_CONTEXT("deletions are included in the changes")
    {
        const auto since = copy.changes_after(5);
        BOOST_REQUIRE(since.has_value());
        BOOST_REQUIRE(since->rows.size() == 2U);
        BOOST_TEST(since->rows[0].key == "c");
        BOOST_TEST(since->rows[1].deleted);
        BOOST_TEST(since->version == 9U);
    }
    BOOST_TEST_CONTEXT("deleted rows are left out of a listing")
    {
        BOOST_TEST(copy.listing().rows.size() == 2U);
    }
    BOOST_TEST_CONTEXT("a reader from before the first listing has to list again")
    {
        BOOST_TEST(!copy.changes_after(4).has_value());
    }
    BOOST_TEST_CONTEXT("a reader that is ahead of the copy gets no rows")
    {
        BOOST_TEST(copy.changes_after(20)->rows.empty());
    }
}

BOOST_AUTO_TEST_CASE(follows_a_listing_of_an_older_state)
{
    table_copy copy;
    copy.apply(listing({row("a", 5)}, 9));
    // The store lists an older state that lacks the change of version 8.
    copy.apply(listing({row("a", 5)}, 6));
    BOOST_TEST_CONTEXT("a listing reports the version of the rows in it")
    {
        BOOST_TEST(copy.listing().version == 6U);
    }
    copy.apply(changes({row("a", 8)}, 9));
    const auto since = copy.changes_after(6);
    BOOST_REQUIRE(since.has_value());
    BOOST_REQUIRE(since->rows.size() == 1U);
    BOOST_TEST(since->rows[0].version == 8U);
}

BOOST_AUTO_TEST_CASE(rejects_readers_older_than_its_deletions)
{
    table_copy copy;
    copy.apply(listing({row("kept", 1)}, 1));
    std::uint64_t version = 1;
    for (int i = 0; i < 2000; ++i) {
        const auto key = "k" + std::to_string(i);
        ++version;
        copy.apply(changes({row(key, version)}, version));
        ++version;
        copy.apply(changes({row(key, version, true)}, version));
    }
    BOOST_TEST(copy.listing().rows.size() == 1U);
    BOOST_TEST(!copy.changes_after(2).has_value());
    const auto late = copy.changes_after(version - 20);
    BOOST_REQUIRE(late.has_value());
    BOOST_TEST(late->rows.size() == 10U);
}

BOOST_AUTO_TEST_CASE(gives_readers_the_same_rows_as_the_store)
{
    for (std::uint32_t seed = 1; seed <= 200; ++seed) {
        std::minstd_rand random(seed);
        std::map<std::string, table_row> store;
        std::uint64_t store_version = 1;
        std::uint64_t copied_version = 0;
        table_copy copy;
        reader_view reader;
        for (int step = 0; step < 300; ++step) {
            switch (random() % 4) {
            case 0: {
                const auto key = std::to_string(random() % 9);
                ++store_version;
                store[key] = row(key, store_version, random() % 3 == 0);
                break;
            }
            case 1: {
                // The copy's follower reads changes, or sometimes a full listing.
                const bool is_snapshot = copied_version == 0 || random() % 10 == 0;
                std::vector<table_row> rows;
                for (const auto& [key, each] : store) {
                    if (is_snapshot ? !each.deleted : each.version > copied_version) {
                        rows.push_back(each);
                    }
                }
                copied_version = store_version;
                copy.apply(is_snapshot ? listing(rows, copied_version) : changes(rows, copied_version));
                break;
            }
            default: {
                if (!copy.is_complete()) {
                    break;
                }
                const auto before = reader.version;
                const auto page = copy.changes_after(reader.version);
                if (!page) {
                    reader.rows.clear();
                    reader.take(copy.listing());
                } else {
                    reader.take(*page);
                }
                BOOST_REQUIRE(reader.version >= before);
                std::map<std::string, std::uint64_t> actual;
                for (const auto& each : copy.listing().rows) {
                    actual[each.key] = each.version;
                }
                BOOST_REQUIRE_MESSAGE(reader.rows == actual, "seed " << seed << " step " << step);
                break;
            }
            }
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
