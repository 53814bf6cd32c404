#include "cluster/cluster_core.h"

#include <algorithm>

namespace clementinegap {
namespace {

constexpr duration beat_interval = seconds(1);
constexpr duration silence_limit = milliseconds(3500);
/// Neighbours of one lost member report it at different times, so that one report mostly suffices.
constexpr duration report_spread = seconds(1);
constexpr duration summary_interval = seconds(3);
constexpr duration probe_interval = seconds(1);
constexpr duration expiry_interval = seconds(5);
constexpr duration statement_interval = std::chrono::minutes(20);
constexpr duration statement_lifetime = std::chrono::hours(1);
constexpr double head_reads_per_second = 20;
constexpr double list_reads_per_second = 10;
constexpr std::size_t items_per_message = 256;

bool is_about_members(const soft_state_item& item)
{
    return item.kind == "member" || item.kind == "suspicion" || item.kind == "leaving";
}

bool is_urgent(const soft_state_item& item)
{
    return is_reconciled(item);
}

} // namespace

cluster_core::cluster_core(cluster_settings settings)
    : settings_(std::move(settings)), random_(settings_.seed), store_(settings_.max_items),
      head_poll_(head_reads_per_second, settings_.least_poll),
      list_poll_(list_reads_per_second, settings_.least_poll)
{
}

std::span<const cluster_action> cluster_core::on_event(const cluster_event& event, time_point now)
{
    now_ = now;
    actions_.clear();
    if (sequence_ == 0) {
        state_self();
        keep_neighbours();
    }
    std::visit([this](const auto& value) { handle(value); }, event);
    if (members_.advance(now_)) {
        members_moved();
    }
    flush_items();
    return actions_;
}

time_point cluster_core::next_due() const
{
    if (sequence_ == 0) {
        return time_point{};
    }
    return std::min({next_beat_, next_expiry_, next_probe_, next_statement_, head_poll_.next(),
                     list_poll_.next(), members_.next_due(), spread_.next_due()});
}

void cluster_core::handle(const tick& /*event*/)
{
    if (now_ >= next_beat_) {
        next_beat_ = now_ + beat_interval;
        beat();
        watch_neighbours();
    }
    poll();
    refresh();
    seek_configuration();
}

void cluster_core::handle(const peer_connected& event)
{
    peers_[event.address] = {now_, time_point{}};
    unanswered_.erase(event.address);
    act(send_to_peer{event.address, beat_message(false)});
}

void cluster_core::handle(const peer_disconnected& event)
{
    peers_.erase(event.address);
    spread_.lost(event.address);
    seek_configuration();
}

void cluster_core::handle(const peer_said& event)
{
    const auto found = peers_.find(event.address);
    if (found == peers_.end()) {
        return;
    }
    found->second.heard = now_;
    std::visit([&](const auto& message) { hear(event.address, message); }, event.message);
}

void cluster_core::handle(const head_polled& event)
{
    if (event.head) {
        spread_.listed(*event.head);
        seek_configuration();
    }
}

void cluster_core::handle(const configuration_fetched& event)
{
    if (event.text.empty()) {
        return;
    }
    take_configuration("", event.text);
}

void cluster_core::handle(const members_polled& event)
{
    if (!event.members) {
        return;
    }
    if (members_.take_list(*event.members, now_)) {
        members_moved();
    }
    mark_listed_leaving();
}

void cluster_core::handle(const item_published& event)
{
    auto item = event.item;
    item.origin = settings_.self.vm;
    item.incarnation = settings_.incarnation;
    item.sequence = ++sequence_;
    const spread_item spread{item, is_urgent(item), ring_.place()};
    store_.take(item, now_);
    pass_on(spread, "");
}

void cluster_core::handle(const leave_requested& /*event*/)
{
    settings_.self.leaving = true;
    state_self();
}

void cluster_core::hear(const std::string& address, const heartbeat_message& message)
{
    if (!message.is_answer) {
        act(send_to_peer{address, beat_message(true)});
    }
    spread_.offered(address, message.configuration);
    seek_configuration();
    auto& from = peers_.at(address);
    if (message.digest == store_.digest() || now_ < from.summarized + summary_interval) {
        return;
    }
    from.summarized = now_;
    const auto& buckets = store_.buckets();
    act(send_to_peer{address, buckets_message{{buckets.begin(), buckets.end()}}});
}

void cluster_core::hear(const std::string& address, const items_message& message)
{
    for (const auto& item : message.items) {
        take(item, address);
    }
}

void cluster_core::hear(const std::string& address, const buckets_message& message)
{
    if (message.hashes.size() != overlay_store::bucket_count) {
        return;
    }
    for (std::size_t bucket = 0; bucket < overlay_store::bucket_count; ++bucket) {
        if (message.hashes[bucket] == store_.buckets().at(bucket)) {
            continue;
        }
        for (auto& item : store_.items(now_, bucket)) {
            queue_item(address, {std::move(item), true, ""});
        }
    }
}

void cluster_core::hear(const std::string& address, const configuration_request& /*message*/)
{
    if (!spread_.text().empty()) {
        act(send_to_peer{address, configuration_reply{spread_.text()}});
    }
}

void cluster_core::hear(const std::string& address, const configuration_reply& message)
{
    take_configuration(address, message.text);
}

void cluster_core::beat()
{
    for (const auto& [address, peer] : peers_) {
        const bool is_own_stream = std::ranges::find(streams_, address) != streams_.end();
        if (is_own_stream) {
            act(send_to_peer{address, beat_message(false)});
        }
    }
}

void cluster_core::poll()
{
    if (head_poll_.due(now_)) {
        head_poll_.done(now_, members_.fleet_size(), random_);
        act(poll_head{});
    }
    if (list_poll_.due(now_)) {
        list_poll_.done(now_, members_.fleet_size(), random_);
        act(poll_members{});
    }
}

void cluster_core::watch_neighbours()
{
    std::map<std::string, unanswered_peer> still;
    for (const auto& neighbour : ring_.neighbours()) {
        const auto* view = members_.find(neighbour.vm);
        const auto found = peers_.find(neighbour.address);
        const bool heard = found != peers_.end() && now_ < found->second.heard + silence_limit;
        if (view == nullptr || view->state != member_state::live || heard) {
            continue;
        }
        auto known = unanswered_.find(neighbour.address);
        const duration delay(std::uniform_int_distribution<std::int64_t>(0, report_spread.count())(random_));
        const auto watch =
            known != unanswered_.end() ? known->second : unanswered_peer{now_, now_ + silence_limit + delay};
        const auto report_at =
            found != peers_.end() ? std::min(watch.report_at, now_ + delay) : watch.report_at;
        if (now_ < report_at) {
            still[neighbour.address] = {watch.since, report_at};
            continue;
        }
        record("member.suspected", neighbour.vm);
        const soft_state_item item{neighbour.vm, view->incarnation, view->sequence, "suspicion", "",
                                   "{}",         statement_lifetime};
        take({item, true, ""}, "");
    }
    unanswered_ = std::move(still);
}

void cluster_core::refresh()
{
    if (now_ >= next_expiry_) {
        next_expiry_ = now_ + expiry_interval;
        store_.expire(now_);
        std::vector<std::string> expired;
        for (const auto& [vm, view] : members_.members()) {
            if (view.state != member_state::listed && store_.find(vm, "member", "") == nullptr) {
                expired.push_back(vm);
            }
        }
        for (const auto& vm : expired) {
            members_.forget(vm);
        }
        if (!expired.empty()) {
            members_moved();
        }
    }
    if (now_ >= next_statement_) {
        state_self();
    }
    if (now_ >= next_probe_) {
        keep_neighbours();
    }
}

void cluster_core::state_self()
{
    next_statement_ = now_ + statement_interval;
    const soft_state_item item{
        settings_.self.vm, settings_.incarnation, ++sequence_, "member", "", to_item_value(settings_.self),
        statement_lifetime};
    take({item, true, ""}, "");
}

void cluster_core::take(const spread_item& spread, const std::string& from)
{
    const auto& item = spread.item;
    const bool is_own = item.origin == settings_.self.vm;
    if (is_own && !from.empty()) {
        refute(item);
        return;
    }
    if (!store_.take(item, now_)) {
        return;
    }
    pass_on(spread, from);
    if (is_about_members(item)) {
        take_member_item(item);
    } else {
        act(deliver_item{item});
    }
}

void cluster_core::pass_on(const spread_item& spread, const std::string& from)
{
    if (spread.urgent) {
        for (const auto& [address, peer] : peers_) {
            if (address != from) {
                queue_item(address, spread);
            }
        }
        return;
    }
    std::set<std::string> sent{from};
    for (const auto& branch : ring_.branches(spread.limit)) {
        sent.insert(branch.address);
        queue_item(branch.address, {spread.item, false, branch.limit});
    }
    // Peers that only dial out are on nobody's tree.
    for (const auto& [address, peer] : peers_) {
        if (address.starts_with("client:") && !sent.contains(address)) {
            queue_item(address, {spread.item, false, ""});
        }
    }
}

void cluster_core::take_member_item(const soft_state_item& item)
{
    if (members_.take(item, now_)) {
        members_moved();
    }
}

void cluster_core::refute(const soft_state_item& item)
{
    const bool is_doubt = item.kind == "suspicion" || item.kind == "leaving";
    const bool is_later_self = item.kind == "member" && item.incarnation >= settings_.incarnation;
    const bool stands =
        std::pair(item.incarnation, item.sequence) >= std::pair(settings_.incarnation, std::uint64_t{1});
    if (item.kind == "leaving" && stands && !settings_.self.leaving) {
        // Only the platform's list can make this mark; its own next reading confirms or withdraws it.
        list_poll_.hurry();
        members_.take(item, now_);
        store_.take(item, now_);
        return;
    }
    if ((is_doubt && stands) || (is_later_self && item.sequence > sequence_)) {
        settings_.incarnation = std::max(settings_.incarnation, item.incarnation);
        sequence_ = std::max(sequence_, item.sequence);
        record("member.refuted", item.kind);
        state_self();
    }
}

void cluster_core::mark_listed_leaving()
{
    const auto marked = members_.listed_as_leaving();
    for (const auto& vm : marked) {
        const auto* view = members_.find(vm);
        if (view->info.leaving) {
            continue;
        }
        const soft_state_item item{vm,   view->incarnation, view->sequence, "leaving", "",
                                   "{}", statement_lifetime};
        take({item, true, ""}, "");
    }
    const bool is_marked = std::ranges::find(marked, settings_.self.vm) != marked.end();
    if (is_marked && !told_to_leave_) {
        told_to_leave_ = true;
        act(told_to_leave{});
    }
    const auto* self = members_.find(settings_.self.vm);
    if (!is_marked && !settings_.self.leaving && self != nullptr && self->leaving) {
        // A mark that the list no longer bears out, for instance the predecessor's.
        state_self();
    }
}

void cluster_core::members_moved()
{
    ring_ = member_ring(members_.members(), settings_.self.vm);
    keep_neighbours();
    members_changed change;
    for (const auto& [vm, view] : members_.members()) {
        change.members.push_back(view);
    }
    act(std::move(change));
}

void cluster_core::keep_neighbours()
{
    std::vector<std::string> wanted;
    for (const auto& neighbour : ring_.neighbours()) {
        wanted.push_back(neighbour.address);
    }
    // One lost or merely listed member is tried at a time: it finds the other side after a partition, and
    // the first contact after a start.
    std::vector<std::string> others;
    for (const auto& [vm, view] : members_.members()) {
        const bool lost = view.state == member_state::dead || view.state == member_state::listed;
        if (lost && vm != settings_.self.vm && !view.info.address.empty()) {
            others.push_back(view.info.address);
        }
    }
    if (others.empty() && wanted.empty()) {
        others = settings_.seeds;
    }
    const bool keep_probe = now_ < next_probe_ && std::ranges::find(others, probe_) != others.end();
    if (now_ >= next_probe_) {
        next_probe_ = now_ + probe_interval;
    }
    if (others.empty()) {
        probe_.clear();
    } else if (!keep_probe) {
        probe_ = next_probe(std::move(others));
    }
    if (!probe_.empty()) {
        wanted.push_back(probe_);
    }
    std::ranges::sort(wanted);
    wanted.erase(std::unique(wanted.begin(), wanted.end()), wanted.end());
    std::erase(wanted, settings_.self.address);
    if (wanted != streams_) {
        streams_ = wanted;
        act(keep_streams{std::move(wanted)});
    }
}

std::string cluster_core::next_probe(std::vector<std::string> others)
{
    std::ranges::sort(others);
    if (probe_.empty()) {
        return others[std::uniform_int_distribution<std::size_t>(0, others.size() - 1)(random_)];
    }
    // In turn, so that each is reached within a bounded time.
    const auto after = std::ranges::upper_bound(others, probe_);
    return after == others.end() ? others.front() : *after;
}

void cluster_core::seek_configuration()
{
    const auto request = spread_.next_request(now_);
    if (!request) {
        return;
    }
    if (request->address.empty()) {
        act(fetch_configuration{});
    } else {
        act(send_to_peer{request->address, configuration_request{}});
    }
}

void cluster_core::take_configuration(const std::string& source, const std::string& text)
{
    const auto verdict = spread_.take(source, text);
    if (verdict == configuration_spread::verdict::damaged) {
        record("configuration.damaged", source.empty() ? "from the table" : "from " + source);
    }
    if (verdict == configuration_spread::verdict::applied) {
        act(apply_configuration{spread_.current()});
        for (const auto& [address, peer] : peers_) {
            act(send_to_peer{address, beat_message(true)});
        }
    }
    seek_configuration();
}

void cluster_core::queue_item(const std::string& address, spread_item item)
{
    if (!peers_.contains(address)) {
        return;
    }
    auto& message = outgoing_[address];
    message.items.push_back(std::move(item));
    if (message.items.size() >= items_per_message) {
        act(send_to_peer{address, std::move(message)});
        outgoing_.erase(address);
    }
}

void cluster_core::flush_items()
{
    for (auto& [address, message] : outgoing_) {
        act(send_to_peer{address, std::move(message)});
    }
    outgoing_.clear();
}

heartbeat_message cluster_core::beat_message(bool is_answer) const
{
    return {spread_.head(), store_.digest(), is_answer};
}

void cluster_core::record(std::string kind, std::string detail)
{
    act(cluster_record{{std::move(kind), "", "", "", "", std::move(detail)}});
}

} // namespace clementinegap
