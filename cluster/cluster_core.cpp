#include "cluster/cluster_core.h"

#include <algorithm>

namespace clementinegap {
namespace {

constexpr duration heartbeat_interval = seconds(1);
constexpr duration heartbeat_timeout = milliseconds(3500);
/// The neighbours of a failed member report it at random times, so that usually one report suffices.
constexpr duration max_report_jitter = seconds(1);
constexpr duration summary_interval = seconds(3);
constexpr duration probe_interval = seconds(1);
constexpr duration expiry_interval = seconds(5);
constexpr duration announcement_interval = std::chrono::minutes(20);
constexpr duration announcement_lifetime = std::chrono::hours(1);
constexpr double head_reads_per_second = 20;
constexpr double list_reads_per_second = 10;
constexpr std::size_t max_items_per_message = 256;

bool is_about_members(const soft_item& item)
{
    return item.kind == "member" || item.kind == "suspicion" || item.kind == "leaving";
}

bool is_urgent(const soft_item& item)
{
    return is_reconciled(item);
}

} // namespace

cluster_core::cluster_core(cluster_settings settings)
    : settings_(std::move(settings)), random_(settings_.seed), store_(settings_.max_items),
      head_poll_(head_reads_per_second, settings_.min_poll_interval),
      list_poll_(list_reads_per_second, settings_.min_poll_interval)
{
}

std::span<const cluster_action> cluster_core::on_event(const cluster_event& event, time_point now)
{
    now_ = now;
    actions_.clear();
    if (sequence_ == 0) {
        announce_self();
        update_neighbours();
    }
    std::visit([this](const auto& value) { handle(value); }, event);
    if (members_.expire_suspicions(now_)) {
        on_members_changed();
    }
    flush_items();
    return actions_;
}

time_point cluster_core::next_due() const
{
    if (sequence_ == 0) {
        return time_point{};
    }
    return std::min({next_heartbeat_, next_expiry_, next_probe_, next_announcement_, head_poll_.next(),
                     list_poll_.next(), members_.next_due(), configuration_.next_due()});
}

void cluster_core::handle(const tick& /*event*/)
{
    if (now_ >= next_heartbeat_) {
        next_heartbeat_ = now_ + heartbeat_interval;
        send_heartbeats();
        check_neighbours();
    }
    poll();
    run_periodic_tasks();
    request_configuration();
}

void cluster_core::handle(const peer_connected& event)
{
    peers_[event.address] = {now_, time_point{}};
    unresponsive_.erase(event.address);
    emit(send_to_peer{event.address, make_heartbeat(false)});
}

void cluster_core::handle(const peer_disconnected& event)
{
    peers_.erase(event.address);
    configuration_.peer_disconnected(event.address);
    request_configuration();
}

void cluster_core::handle(const peer_message_received& event)
{
    const auto found = peers_.find(event.address);
    if (found == peers_.end()) {
        return;
    }
    found->second.last_received_at = now_;
    std::visit([&](const auto& message) { handle_message(event.address, message); }, event.message);
}

void cluster_core::handle(const head_polled& event)
{
    if (event.head) {
        configuration_.table_head_read(*event.head);
        request_configuration();
    }
}

void cluster_core::handle(const configuration_fetched& event)
{
    if (event.text.empty()) {
        return;
    }
    apply_received_configuration("", event.text);
}

void cluster_core::handle(const members_polled& event)
{
    if (!event.members) {
        return;
    }
    if (members_.apply_list(*event.members, now_)) {
        on_members_changed();
    }
    publish_leaving_marks();
}

void cluster_core::handle(const item_published& event)
{
    auto item = event.item;
    item.origin = settings_.self.vm;
    item.incarnation = settings_.incarnation;
    item.sequence = ++sequence_;
    const propagated_item propagated{item, is_urgent(item), ring_.ring_key()};
    store_.merge(item, now_);
    forward_item(propagated, "");
}

void cluster_core::handle(const leave_requested& /*event*/)
{
    settings_.self.leaving = true;
    announce_self();
}

void cluster_core::handle_message(const std::string& address, const heartbeat_message& message)
{
    if (!message.is_answer) {
        emit(send_to_peer{address, make_heartbeat(true)});
    }
    configuration_.offer_received(address, message.configuration);
    request_configuration();
    auto& from = peers_.at(address);
    if (message.digest == store_.digest() || now_ < from.buckets_sent_at + summary_interval) {
        return;
    }
    from.buckets_sent_at = now_;
    const auto& buckets = store_.buckets();
    emit(send_to_peer{address, buckets_message{{buckets.begin(), buckets.end()}}});
}

void cluster_core::handle_message(const std::string& address, const items_message& message)
{
    for (const auto& item : message.items) {
        accept_item(item, address);
    }
}

void cluster_core::handle_message(const std::string& address, const buckets_message& message)
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

void cluster_core::handle_message(const std::string& address, const configuration_request& /*message*/)
{
    if (!configuration_.text().empty()) {
        emit(send_to_peer{address, configuration_reply{configuration_.text()}});
    }
}

void cluster_core::handle_message(const std::string& address, const configuration_reply& message)
{
    apply_received_configuration(address, message.text);
}

void cluster_core::send_heartbeats()
{
    for (const auto& [address, peer] : peers_) {
        const bool is_own_stream = std::ranges::find(streams_, address) != streams_.end();
        if (is_own_stream) {
            emit(send_to_peer{address, make_heartbeat(false)});
        }
    }
}

void cluster_core::poll()
{
    if (head_poll_.due(now_)) {
        head_poll_.schedule_next(now_, members_.fleet_size(), random_);
        emit(poll_head{});
    }
    if (list_poll_.due(now_)) {
        list_poll_.schedule_next(now_, members_.fleet_size(), random_);
        emit(poll_members{});
    }
}

void cluster_core::check_neighbours()
{
    std::map<std::string, unresponsive_peer> unresponsive;
    for (const auto& neighbour : ring_.neighbours()) {
        const auto* view = members_.find(neighbour.vm);
        const auto found = peers_.find(neighbour.address);
        const bool responsive =
            found != peers_.end() && now_ < found->second.last_received_at + heartbeat_timeout;
        if (view == nullptr || view->state != member_state::live || responsive) {
            continue;
        }
        auto known = unresponsive_.find(neighbour.address);
        const duration delay(
            std::uniform_int_distribution<std::int64_t>(0, max_report_jitter.count())(random_));
        const auto watch = known != unresponsive_.end()
                               ? known->second
                               : unresponsive_peer{now_, now_ + heartbeat_timeout + delay};
        const auto report_at =
            found != peers_.end() ? std::min(watch.report_at, now_ + delay) : watch.report_at;
        if (now_ < report_at) {
            unresponsive[neighbour.address] = {watch.since, report_at};
            continue;
        }
        record("member.suspected", neighbour.vm);
        const soft_item item{neighbour.vm, view->incarnation,    view->sequence, "suspicion", "",
                             "{}",         announcement_lifetime};
        accept_item({item, true, ""}, "");
    }
    unresponsive_ = std::move(unresponsive);
}

void cluster_core::run_periodic_tasks()
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
            members_.remove(vm);
        }
        if (!expired.empty()) {
            on_members_changed();
        }
    }
    if (now_ >= next_announcement_) {
        announce_self();
    }
    if (now_ >= next_probe_) {
        update_neighbours();
    }
}

void cluster_core::announce_self()
{
    next_announcement_ = now_ + announcement_interval;
    const soft_item item{
        settings_.self.vm,    settings_.incarnation, ++sequence_, "member", "", to_item_value(settings_.self),
        announcement_lifetime};
    accept_item({item, true, ""}, "");
}

void cluster_core::accept_item(const propagated_item& propagated, const std::string& from)
{
    const auto& item = propagated.item;
    const bool is_own = item.origin == settings_.self.vm;
    if (is_own && !from.empty()) {
        refute(item);
        return;
    }
    if (!store_.merge(item, now_)) {
        return;
    }
    forward_item(propagated, from);
    if (is_about_members(item)) {
        apply_member_item(item);
    } else {
        emit(deliver_item{item});
    }
}

void cluster_core::forward_item(const propagated_item& propagated, const std::string& from)
{
    if (propagated.urgent) {
        for (const auto& [address, peer] : peers_) {
            if (address != from) {
                queue_item(address, propagated);
            }
        }
        return;
    }
    std::set<std::string> sent{from};
    for (const auto& branch : ring_.branches(propagated.limit)) {
        sent.insert(branch.address);
        queue_item(branch.address, {propagated.item, false, branch.limit});
    }
    // Peers without a listening address are not part of the ring, so no tree reaches them.
    for (const auto& [address, peer] : peers_) {
        if (address.starts_with("client:") && !sent.contains(address)) {
            queue_item(address, {propagated.item, false, ""});
        }
    }
}

void cluster_core::apply_member_item(const soft_item& item)
{
    if (members_.apply_item(item, now_)) {
        on_members_changed();
    }
}

void cluster_core::refute(const soft_item& item)
{
    const bool is_accusation = item.kind == "suspicion" || item.kind == "leaving";
    const bool is_newer_self = item.kind == "member" && item.incarnation >= settings_.incarnation;
    const bool is_current =
        std::pair(item.incarnation, item.sequence) >= std::pair(settings_.incarnation, std::uint64_t{1});
    if (item.kind == "leaving" && is_current && !settings_.self.leaving) {
        // Only the platform's list causes this mark; polling the list soon confirms or withdraws it.
        list_poll_.poll_soon();
        members_.apply_item(item, now_);
        store_.merge(item, now_);
        return;
    }
    if ((is_accusation && is_current) || (is_newer_self && item.sequence > sequence_)) {
        settings_.incarnation = std::max(settings_.incarnation, item.incarnation);
        sequence_ = std::max(sequence_, item.sequence);
        record("member.refuted", item.kind);
        announce_self();
    }
}

void cluster_core::publish_leaving_marks()
{
    const auto marked = members_.listed_as_leaving();
    for (const auto& vm : marked) {
        const auto* view = members_.find(vm);
        if (view->info.leaving) {
            continue;
        }
        const soft_item item{vm,   view->incarnation,    view->sequence, "leaving", "",
                             "{}", announcement_lifetime};
        accept_item({item, true, ""}, "");
    }
    const bool is_marked = std::ranges::find(marked, settings_.self.vm) != marked.end();
    if (is_marked && !leave_notice_reported_) {
        leave_notice_reported_ = true;
        emit(platform_leave_notice{});
    }
    const auto* self = members_.find(settings_.self.vm);
    if (!is_marked && !settings_.self.leaving && self != nullptr && self->leaving) {
        // The list no longer contains the mark, for instance because it belonged to the predecessor.
        announce_self();
    }
}

void cluster_core::on_members_changed()
{
    ring_ = member_ring(members_.members(), settings_.self.vm);
    update_neighbours();
    members_changed change;
    for (const auto& [vm, view] : members_.members()) {
        change.members.push_back(view);
    }
    emit(std::move(change));
}

void cluster_core::update_neighbours()
{
    std::vector<std::string> wanted;
    for (const auto& neighbour : ring_.neighbours()) {
        wanted.push_back(neighbour.address);
    }
    // Probes one dead or merely listed member at a time, in order to reconnect after a partition and to find
    // a first peer after a start.
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
        emit(maintain_streams{std::move(wanted)});
    }
}

std::string cluster_core::next_probe(std::vector<std::string> others)
{
    std::ranges::sort(others);
    if (probe_.empty()) {
        return others[std::uniform_int_distribution<std::size_t>(0, others.size() - 1)(random_)];
    }
    // Round robin, so that each is probed within a bounded time.
    const auto after = std::ranges::upper_bound(others, probe_);
    return after == others.end() ? others.front() : *after;
}

void cluster_core::request_configuration()
{
    const auto request = configuration_.next_request(now_);
    if (!request) {
        return;
    }
    if (request->address.empty()) {
        emit(fetch_configuration{});
    } else {
        emit(send_to_peer{request->address, configuration_request{}});
    }
}

void cluster_core::apply_received_configuration(const std::string& source, const std::string& text)
{
    const auto result = configuration_.apply(source, text);
    if (result == configuration_sync::apply_result::damaged) {
        record("configuration.damaged", source.empty() ? "from the table" : "from " + source);
    }
    if (result == configuration_sync::apply_result::applied) {
        emit(apply_configuration{configuration_.current()});
        for (const auto& [address, peer] : peers_) {
            emit(send_to_peer{address, make_heartbeat(true)});
        }
    }
    request_configuration();
}

void cluster_core::queue_item(const std::string& address, propagated_item item)
{
    if (!peers_.contains(address)) {
        return;
    }
    auto& message = outgoing_[address];
    message.items.push_back(std::move(item));
    if (message.items.size() >= max_items_per_message) {
        emit(send_to_peer{address, std::move(message)});
        outgoing_.erase(address);
    }
}

void cluster_core::flush_items()
{
    for (auto& [address, message] : outgoing_) {
        emit(send_to_peer{address, std::move(message)});
    }
    outgoing_.clear();
}

heartbeat_message cluster_core::make_heartbeat(bool is_answer) const
{
    return {configuration_.head(), store_.digest(), is_answer};
}

void cluster_core::record(std::string kind, std::string detail)
{
    emit(cluster_record{{std::move(kind), "", "", "", "", std::move(detail)}});
}

} // namespace clementinegap
