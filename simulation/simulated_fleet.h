#pragma once

#include "core/timer_service.h"
#include "routing/request_router.h"
#include "simulation/caller_ledger.h"
#include "simulation/engine_model.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <random>
#include <span>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace clementinegap {

/// A whole deployment in manual time: the routers' real decisions, modelled engines, callers that come back
/// once when they are told to. Reports between routers and messages to engines take their time.
class simulated_fleet {
public:
    simulated_fleet(const simulation_plan& plan, const tried_placement& placement, std::uint64_t seed);
    simulated_fleet(const simulated_fleet&) = delete;
    simulated_fleet& operator=(const simulated_fleet&) = delete;
    ~simulated_fleet() = default;

    /// Plays the run to its end; to be called once.
    simulation_result run();

private:
    struct router_node {
        std::unique_ptr<request_router> router;
        std::string zone;
        time_point tick_at{never};
    };
    struct engine_node {
        std::unique_ptr<engine_model> model;
        upstream_record record;
        bool is_up{true};
        time_point step_at{never};
        time_point link_free_at{}; ///< Copies from it go one after another.
    };
    /// An attempt of a caller, as one router has it.
    struct attempt {
        std::size_t call{0};
        std::size_t router{0};
        std::size_t engine{0};
        std::uint64_t run{0};    ///< At the engine; 0 without one.
        std::uint32_t events{0}; ///< Of its answer, over all sends.
    };

    void add_routers(const tried_placement& placement, std::uint64_t seed);
    void add_engines();
    std::shared_ptr<const route_table> table() const;
    void tell_routers(const router_event& event);
    void start_call(std::size_t call, std::size_t router, bool returning);
    void give(std::size_t router, const router_event& event);
    void schedule_tick(std::size_t router);
    void send_reports(std::size_t router);

    void act(const send_request& action, std::size_t router);
    void act(const respond_to_caller& action, std::size_t router);
    void act(const pass_failure& action, std::size_t /*router*/) { attempts_.erase(action.request); }
    void act(const abort_caller& action, std::size_t /*router*/) { attempts_.erase(action.request); }
    void act(const stop_send& action, std::size_t router);
    template <class ignored> void act(const ignored& /*action*/, std::size_t /*router*/) {}

    void submit(std::size_t engine, request_number request, engine_run run);
    /// Copies what `source` holds of the prompt beyond the engine's own; then the run begins there.
    void copy_parts(std::size_t source, std::size_t engine, request_number request, engine_run run);
    void schedule_step(std::size_t engine);
    void step(std::size_t engine);
    void tell(std::size_t engine, const engine_news& news);
    void send_failed_at(request_number request, send_fault fault, duration after);
    void end_engine(std::size_t engine);
    void begin_outage(const engine_outage& outage);
    duration latency(std::size_t router, std::size_t engine) const;
    request_priority priority_of(const simulated_call& call) const;
    void at(time_point when, std::function<void()> action);
    duration since_start() const { return now_ - start_; }

    const simulation_plan& plan_;
    std::uint64_t seed_;
    std::string placement_name_;
    std::vector<simulated_call> calls_;
    caller_ledger ledger_;
    std::mt19937_64 random_;
    timer_service timers_;
    time_point start_;
    time_point now_;
    std::vector<router_node> routers_;
    std::vector<engine_node> engines_;
    std::vector<std::unique_ptr<engine_model>> retired_; ///< Of lost processes, for their counts.
    std::unordered_set<std::size_t> returned_;           ///< Calls that have used their one return.
    std::unordered_map<request_number, attempt> attempts_;
    std::unordered_map<std::uint64_t, request_number> requests_by_run_;
    request_number last_request_{0};
    std::uint64_t last_run_{0};
};

} // namespace clementinegap
