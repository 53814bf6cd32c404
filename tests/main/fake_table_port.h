#pragma once

#include "ports/platform_port.h"

#include <functional>
#include <map>
#include <string>
#include <utility>

namespace clementinegap {

/// The table service, answering at once, with outages, lost answers and a hook between read and write.
class fake_table_port : public table_port {
public:
    void transact(std::vector<table_operation> operations,
                  std::function<void(transaction_result)> done) override;
    void read(const std::string& table, const std::string& key,
              std::function<void(read_result)> done) override;
    void scan(const std::string& table, const std::string& prefix,
              std::function<void(scan_result)> done) override;
    void list_vms(std::function<void(std::optional<std::vector<listed_vm>>)> done) override;

    bool outage{false};
    int lost_answers{0};                   ///< Transactions that take effect without an answer.
    int lost_requests{0};                  ///< Transactions that vanish without an answer.
    std::function<void()> before_transact; ///< Runs once, before the next transaction.
    std::function<void()> after_transact;  ///< Runs once, after the next transaction took effect.
    std::map<std::pair<std::string, std::string>, table_row> rows;

private:
    transaction_result apply(const std::vector<table_operation>& operations);

    std::uint64_t revision_{0};
};

} // namespace clementinegap
