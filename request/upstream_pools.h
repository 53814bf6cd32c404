#pragma once

#include "policy/upstream_view.h"
#include "request/messages.h"
#include "request/model_list.h"

#include <map>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace clementinegap {

/// The upstreams as an entry daemon sees them: their own reports, whether they are connected, and which are
/// leaving according to the cluster, which overrides a report that may be older.
class upstream_pools {
public:
    /// How a report changed the speed of an upstream.
    enum class speed_change : std::uint8_t { none, slowed, recovered };

    void connected(const std::string& vm) { views_[vm].vm = vm; }
    /// True when it was connected until now.
    bool disconnected(const std::string& vm);
    void on_hello(const std::string& vm, const hello_message& message);
    speed_change on_load(const std::string& vm, const load_message& message);
    void set_leaving(const std::string& vm, bool is_leaving);

    const upstream_map& views() const { return views_; }
    /// Upstreams that serve the model, also those that cannot take work now; valid until the next change.
    std::span<const upstream_view* const> serving(std::string_view model) const;
    bool takes_work(const upstream_view& view) const;

private:
    upstream_map views_;
    std::map<std::string, std::vector<const upstream_view*>, std::less<>> by_model_;
    std::set<std::string, std::less<>> leaving_;
};

} // namespace clementinegap
