#include "cluster/fake_cluster.h"

#include "config/configuration_builder.h"

#include <algorithm>

namespace clementinegap {
namespace {

constexpr duration link_latency = milliseconds(2);
constexpr duration store_latency = milliseconds(4);
constexpr duration redial_delay = milliseconds(200);

template <class... Ts> struct visitor : Ts... {
    using Ts::operator()...;
};
template <class... Ts> visitor(Ts...) -> visitor<Ts...>;

struct configuration_row {
    std::string text;
    std::string hash;
};

configuration make_configuration(std::uint64_t version)
{
    return configuration_builder()
        .version(version)
        .add(class_builder("status", "assistant").deadline(seconds(static_cast<int>(version))))
        .add_workspace("desk", std::string(64, 'a'))
        .build()
        .value();
}

/// The rows are the same in every test, so they are cached.
const configuration_row& row_of(std::uint64_t version)
{
    static std::map<std::uint64_t, configuration_row> rows;
    auto& row = rows[version];
    if (row.text.empty()) {
        const auto value = make_configuration(version);
        row = {to_json(value).dump(), configuration_hash(value)};
    }
    return row;
}

} // namespace

void fake_cluster::add(const std::string& vm, const std::string& region, const std::string& zone,
                       const std::string& role)
{
    nodes_[vm].info = {vm, role, zone, region, vm, {"assistant"}, false};
    listed_[vm] = false;
    start(vm);
}

void fake_cluster::start(const std::string& vm)
{
    auto& place = nodes_.at(vm);
    cluster_settings settings;
    settings.self = place.info;
    settings.incarnation = static_cast<std::uint64_t>(now().time_since_epoch().count());
    settings.seed = random_();
    place.process = std::make_shared<daemon_process>(settings);
    deliver(vm, place.process, tick{});
}

void fake_cluster::crash(const std::string& vm)
{
    const auto open = nodes_.at(vm).process->open;
    for (const auto& other : open) {
        disconnect(vm, other);
    }
    nodes_.at(vm).process.reset();
}

void fake_cluster::leave(const std::string& vm)
{
    deliver(vm, nodes_.at(vm).process, leave_requested{});
}

void fake_cluster::submit()
{
    ++version_;
}

void fake_cluster::partition(const std::set<std::string>& side)
{
    partitioned_ = side;
    for (const auto& [vm, node] : nodes_) {
        if (!node.process) {
            continue;
        }
        const auto open = node.process->open;
        for (const auto& other : open) {
            if (!reachable(vm, other)) {
                disconnect(vm, other);
            }
        }
    }
}

void fake_cluster::heal()
{
    partitioned_.clear();
}

void fake_cluster::list(const std::string& vm, bool leaving)
{
    listed_[vm] = leaving;
}

std::vector<std::string> fake_cluster::running() const
{
    std::vector<std::string> result;
    for (const auto& [vm, node] : nodes_) {
        if (node.process) {
            result.push_back(vm);
        }
    }
    return result;
}

std::uint64_t fake_cluster::version_of(const std::string& vm) const
{
    return nodes_.at(vm).process ? nodes_.at(vm).process->applied : 0;
}

bool fake_cluster::in_force_everywhere() const
{
    return std::ranges::all_of(running(), [this](const auto& vm) { return version_of(vm) == version_; });
}

bool fake_cluster::members_agree() const
{
    const auto alive = running();
    return std::ranges::all_of(alive, [&](const auto& vm) {
        const auto& members = core(vm).members();
        return std::ranges::all_of(nodes_, [&](const auto& item) {
            const auto* view = members.find(item.first);
            const bool is_live = view != nullptr && view->state == member_state::live && !view->leaving;
            return is_live == (item.second.process != nullptr);
        });
    });
}

bool fake_cluster::reachable(const std::string& left, const std::string& right) const
{
    const auto found = nodes_.find(right);
    return found != nodes_.end() && found->second.process && nodes_.at(left).process &&
           partitioned_.contains(left) == partitioned_.contains(right);
}

void fake_cluster::deliver(const std::string& vm, const std::shared_ptr<daemon_process>& to,
                           const cluster_event& event)
{
    const bool is_current = to && nodes_.at(vm).process == to;
    if (!is_current) {
        return;
    }
    const auto span = to->core.on_event(event, now());
    const std::vector<cluster_action> actions(span.begin(), span.end());
    for (const auto& action : actions) {
        perform(vm, to, action);
    }
    arm(vm, to);
}

void fake_cluster::arm(const std::string& vm, const std::shared_ptr<daemon_process>& of)
{
    const auto due = std::max(of->core.next_due(), now() + milliseconds(1));
    if (due >= of->armed_for) {
        return;
    }
    of->armed_for = due;
    scheduler_.after(due - now(), [this, vm, of, due] {
        if (of->armed_for == due) {
            of->armed_for = never;
            deliver(vm, of, tick{});
        }
    });
}

void fake_cluster::reply_later(const std::string& vm, const std::shared_ptr<daemon_process>& to,
                               const cluster_event& event)
{
    ++reads_;
    scheduler_.after(store_latency, [this, vm, to, event] { deliver(vm, to, event); });
}

void fake_cluster::perform(const std::string& vm, const std::shared_ptr<daemon_process>& from,
                           const cluster_action& action)
{
    std::visit(visitor{[&](const maintain_streams& value) {
                           from->wanted = {value.addresses.begin(), value.addresses.end()};
                           const auto open = from->open;
                           for (const auto& other : open) {
                               drop_if_unwanted(vm, other);
                           }
                           for (const auto& other : from->wanted) {
                               connect_later(vm, from, other);
                           }
                       },
                       [&](const send_to_peer& value) {
                           const bool lost = std::uniform_real_distribution<double>(0, 1)(random_) < loss_;
                           if (lost || !from->open.contains(value.address)) {
                               return;
                           }
                           const auto to = nodes_.at(value.address).process;
                           scheduler_.after(link_latency, [this, vm, to, value] {
                               if (to && to->open.contains(vm)) {
                                   deliver(value.address, to, peer_message_received{vm, value.message});
                               }
                           });
                       },
                       [&](const poll_head&) {
                           head_polled result;
                           if (!outage_ && version_ > 0) {
                               result.head = {version_, row_of(version_).hash};
                           }
                           reply_later(vm, from, result);
                       },
                       [&](const fetch_configuration&) {
                           const bool fails = outage_ || version_ == 0;
                           reply_later(vm, from, configuration_fetched{fails ? "" : row_of(version_).text});
                       },
                       [&](const poll_members&) {
                           members_polled result;
                           if (!outage_) {
                               result.members = list_now();
                           }
                           reply_later(vm, from, result);
                       },
                       [&](const apply_configuration& value) {
                           version_regressions_ += value.value->version <= from->applied ? 1 : 0;
                           from->applied = value.value->version;
                       },
                       [](const auto&) {}},
               action);
}

std::vector<listed_member> fake_cluster::list_now() const
{
    std::vector<listed_member> result;
    for (const auto& [vm, leaving] : listed_) {
        auto info = nodes_.at(vm).info;
        info.leaving = leaving;
        info.models.clear();
        result.push_back({info});
    }
    return result;
}

void fake_cluster::connect_later(const std::string& vm, const std::shared_ptr<daemon_process>& from,
                                 const std::string& to)
{
    scheduler_.after(link_latency, [this, vm, from, to] { connect(vm, from, to); });
}

void fake_cluster::connect(const std::string& vm, const std::shared_ptr<daemon_process>& from,
                           const std::string& to)
{
    const bool is_obsolete =
        nodes_.at(vm).process != from || !from->wanted.contains(to) || from->open.contains(to);
    if (is_obsolete) {
        return;
    }
    if (!reachable(vm, to)) {
        scheduler_.after(redial_delay, [this, vm, from, to] { connect(vm, from, to); });
        return;
    }
    const auto other = nodes_.at(to).process;
    from->open.insert(to);
    other->open.insert(vm);
    deliver(vm, from, peer_connected{to});
    deliver(to, other, peer_connected{vm});
}

void fake_cluster::disconnect(const std::string& left, const std::string& right)
{
    for (const auto& [vm, other] : {std::pair(left, right), std::pair(right, left)}) {
        const auto process = nodes_.at(vm).process;
        if (process && process->open.erase(other) > 0) {
            deliver(vm, process, peer_disconnected{other});
            if (process->wanted.contains(other)) {
                scheduler_.after(redial_delay,
                                 [this, vm = vm, process, other = other] { connect(vm, process, other); });
            }
        }
    }
}

void fake_cluster::drop_if_unwanted(const std::string& left, const std::string& right)
{
    const auto first = nodes_.at(left).process;
    const auto second = nodes_.at(right).process;
    const bool is_wanted =
        (first && first->wanted.contains(right)) || (second && second->wanted.contains(left));
    if (!is_wanted) {
        disconnect(left, right);
    }
}

} // namespace clementinegap
