#pragma once

#include "core/time.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

/// \file
/// The routing configuration: an immutable snapshot of one version.

namespace clementinegap {

/// Whether a request may be repeated when it is unknown if it ran at an upstream.
enum class repeat_rule : std::uint8_t {
    repeatable, ///< May run any number of times.
    resumable,  ///< A stream that another upstream can continue after the last delivered event.
    once,       ///< Runs at most once.
};

/// One alternative of a route that is split between services.
struct weighted_service {
    std::string service;
    std::uint32_t weight{1};
};

/// Matches requests to one host whose path begins with `prefix`.
struct route {
    std::string name;
    std::string host;
    std::string prefix;
    std::vector<weighted_service> targets; ///< Never empty.
    repeat_rule repeat{repeat_rule::once};
    bool is_stream{false};
    bool is_public{false};    ///< Needs no API key.
    duration timeout{0};      ///< Time within which the caller gets its final response.
    duration objective{0};    ///< Target time of the complete response, or of the first event for streams.
    duration max_gap{0};      ///< Maximum time between two events that counts as on time; 0: none.
    std::uint8_t priority{0}; ///< 0 is the most urgent.
    std::uint32_t max_upstreams{1}; ///< Maximum number of upstreams that one request is sent to.
};

/// Properties of the model engines of a service.
struct engine_traits {
    std::uint32_t slots{1};
    std::uint64_t memory_tokens{0};    ///< Shared by running requests and cached prompt parts.
    std::uint32_t tokens_per_event{1}; ///< Number of tokens in one event of a stream.
    /// Rate at which cached prompt tokens are copied between engines; 0: not possible.
    double copied_tokens_per_ms{0};
};

struct service {
    std::string name;
    std::string health_path;
    std::uint32_t max_connections{0}; ///< Per upstream, over all its callers; 0: not limited.
    std::optional<engine_traits> engine;
};

/// Size and time limits for callers.
struct caller_limits {
    std::size_t header_bytes{16384};
    std::size_t body_bytes{std::size_t{4} << 20U};
    duration header_timeout{seconds(3)};
    duration idle_timeout{seconds(15)};
};

struct workspace {
    std::string name;
    std::optional<std::uint8_t> priority; ///< Goes before the route's priority, see `request_priority`.
};

/// One version of the configuration. It is built once by the adapter and then shared read-only.
class route_table {
public:
    /// Result of a route lookup.
    struct lookup {
        const route* found{nullptr};
        /// Workspace of the API key; nullptr for a public route without a key.
        const workspace* owner{nullptr};
        bool unauthorized{false};
    };

    explicit route_table(std::uint64_t version) : version_(version) {}

    void add_route(route value);
    void add_service(service value);
    void add_workspace(workspace value, const std::vector<std::string>& api_keys);
    void set_limits(caller_limits value) { limits_ = value; }

    std::uint64_t version() const { return version_; }
    const caller_limits& limits() const { return limits_; }
    /// Finds the route with the longest prefix of `path` on `host`, and the workspace of `api_key`.
    lookup find(std::string_view host, std::string_view path, std::string_view api_key) const;
    const service* find_service(std::string_view name) const;
    const std::map<std::string, service, std::less<>>& services() const { return services_; }
    /// The routes whose responses are streams.
    std::vector<std::reference_wrapper<const route>> streams() const;
    std::size_t route_count() const { return route_count_; }
    std::span<const workspace> workspaces() const { return workspaces_; }

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
