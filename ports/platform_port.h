#pragma once

#include "request/messages.h"
#include "request/run_record.h"

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// \file
/// The platform's table service and VM list.

namespace clementinegap {

/// A VM in the platform's list. The list lags behind the actual state.
struct listed_vm {
    std::string name;
    std::string role; ///< "entry" or "upstream".
    std::string zone;
    std::string region;
    std::string address; ///< "IP:port" of its peer protocol.
    bool leaving{false};
    std::string admin; ///< "IP:port" of its admin address; empty when the platform does not list it.
    bool operator==(const listed_vm&) const = default;
};

/// One operation of a transaction.
struct table_operation {
    enum class kind : std::uint8_t { insert, replace, erase, check };

    kind what{kind::insert};
    std::string table;
    std::string key;
    std::string value;
    std::uint64_t revision{0}; ///< Required current revision for `replace`, `erase` and `check`.
};

struct table_row {
    std::string key;
    std::string value;
    std::uint64_t revision{0};
};

/// Result of a transaction. With `exists` nothing was applied and `conflicts` holds the conflicting rows,
/// with empty values for absent rows.
struct transaction_result {
    store_result result{store_result::done};
    std::vector<table_row> conflicts;
    std::uint64_t revision{0};
};

struct read_result {
    store_result result{store_result::done};
    table_row row;
};

struct scan_result {
    store_result result{store_result::done};
    std::vector<table_row> rows;
};

/// The platform's table service. Each callback is called exactly once, on the adapter's thread.
class table_port {
public:
    table_port() = default;
    table_port(const table_port&) = delete;
    table_port& operator=(const table_port&) = delete;
    virtual ~table_port() = default;

    virtual void transact(std::vector<table_operation> operations,
                          std::function<void(transaction_result)> done) = 0;
    virtual void read(const std::string& table, const std::string& key,
                      std::function<void(read_result)> done) = 0;
    virtual void scan(const std::string& table, const std::string& prefix,
                      std::function<void(scan_result)> done) = 0;
    /// Passes nullopt to `done` if the list is unavailable.
    virtual void list_vms(std::function<void(std::optional<std::vector<listed_vm>>)> done) = 0;
};

} // namespace clementinegap
