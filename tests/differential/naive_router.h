#pragma once

#include "fakes/fake_engine.h"
#include "fakes/manual_scheduler.h"

#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace clementinegap {

/// What a caller of the naive router saw.
struct naive_answer {
    std::string body;
    bool ended{false};
    bool succeeded{false};
};

/// The router that one would write first: a random upstream, a new try elsewhere on any error as long as no
/// byte was delivered, no keys, no memory. What its callers are told of a failure is "it did not work".
class naive_router {
public:
    naive_router(manual_scheduler& scheduler, std::size_t upstreams, std::uint64_t seed);

    /// Sends a request; returns its number.
    std::size_t send(const std::string& body);
    fake_engine& engine(std::size_t index) { return *engines_.at(index); }
    const naive_answer& answer(std::size_t request) const { return requests_.at(request).answer; }
    int executions_of(const std::string& body) const;

private:
    struct request_state {
        std::string body;
        int tries{0};
        naive_answer answer;
    };

    void try_somewhere(std::size_t request);
    void on_event(const upstream_event& event);

    static constexpr int max_tries = 3;

    std::vector<std::unique_ptr<fake_engine>> engines_;
    std::vector<request_state> requests_;
    std::map<run_id, std::size_t> request_of_run_;
    run_id last_run_{0};
    std::mt19937_64 random_;
};

} // namespace clementinegap
