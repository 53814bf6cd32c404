#pragma once

#include "core/time.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

/// \file
/// The routing configuration as the decisions see it: an immutable snapshot of one version.

namespace clementinegap {

/// What may be done with a request whose fate at an upstream is unknown.
enum class repeat_rule : std::uint8_t {
    repeatable, ///< May run any number of times.
    resumable,  ///< A stream that may go on at another upstream after its last delivered event.
    once,       ///< At most one run, whatever happens.
};

/// One alternative of a route that is split between services.
struct weighted_service {
    std::string service;
    std::uint32_t weight{1};
};

/// Requests of one host whose path begins with `prefix`.
struct route {
    std::string name;
    std::string host;
    std::string prefix;
    std::vector<weighted_service> targets; ///< Never empty.
    repeat_rule repeat{repeat_rule::once};
    bool is_stream{false};
    bool is_public{false};          ///< Needs no API key.
    duration timeout{0};            ///< The caller has its final answer by then.
    duration objective{0};          ///< On time: the whole answer, for streams the first event.
    duration max_gap{0};            ///< Longest pause between two events that is still on time; 0: none.
    std::uint8_t priority{0};       ///< 0 is the most urgent.
    std::uint32_t max_upstreams{1}; ///< Upstreams that one request may be sent to.
};

/// Properties of the model engines of a service.
struct engine_traits {
    std::uint32_t slots{1};
    std::uint64_t memory_tokens{0};    ///< Shared by running requests and cached prompt parts.
    std::uint32_t tokens_per_event{1}; ///< Tokens that one event of a stream holds.
    double copied_tokens_per_ms{0};    ///< Cached prompt tokens that go from engine to engine; 0: none.
};

struct service {
    std::string name;
    std::string health_path;
    std::uint32_t max_connections{0}; ///< Per upstream, over all its callers; 0: not limited.
    std::optional<engine_traits> engine;
};

/// What a caller may send and how long it may take.
struct caller_limits {
    std::size_t header_bytes{16384};
    std::size_t body_bytes{std::size_t{4} << 20U};
    duration header_timeout{seconds(3)};
    duration idle_timeout{seconds(15)};
};

struct workspace {
    std::string name;
    std::optional<std::uint8_t> priority; ///< Goes before the route's.
};

/// One version of the configuration. Built once by the adapter, then shared read-only.
class route_table {
public:
    /// Why a request has no route.
    struct lookup {
        const route* found{nullptr};
        const workspace* owner{nullptr}; ///< Of the API key; nullptr for a public route without one.
        bool unauthorized{false};
    };

    explicit route_table(std::uint64_t version) : version_(version) {}

    void add_route(route value);
    void add_service(service value);
    void add_workspace(workspace value, const std::vector<std::string>& api_keys);
    void set_limits(caller_limits value) { limits_ = value; }

    std::uint64_t version() const { return version_; }
    const caller_limits& limits() const { return limits_; }
    /// The route with the longest prefix of `path` on `host`, and the workspace of `api_key`.
    lookup find(std::string_view host, std::string_view path, std::string_view api_key) const;
    const service* find_service(std::string_view name) const;
    const std::map<std::string, service, std::less<>>& services() const { return services_; }
    /// The routes whose answers are streams.
    std::vector<std::reference_wrapper<const route>> streams() const;
    std::size_t route_count() const { return route_count_; }

private:
    std::uint64_t version_;
    caller_limits limits_;
    std::size_t route_count_{0};
    bool has_workspaces_{false};
    std::unordered_map<std::string, std::vector<route>> routes_by_host_; ///< Longest prefix first.
    std::map<std::string, service, std::less<>> services_;
    std::vector<workspace> workspaces_;
    std::map<std::string, std::size_t, std::less<>> workspace_of_key_;
};

} // namespace clementinegap
