#include "cluster/configuration_sync.h"

#include <utility>

namespace clementinegap {

void configuration_sync::offer_received(const std::string& address, const configuration_head& head)
{
    offers_[address] = head;
}

void configuration_sync::table_head_read(const configuration_head& head)
{
    offers_[""] = head;
}

void configuration_sync::peer_disconnected(const std::string& address)
{
    offers_.erase(address);
    failures_.erase(address);
    if (pending_ && pending_->address == address) {
        pending_.reset();
    }
}

bool configuration_sync::is_behind() const
{
    for (const auto& [address, head] : offers_) {
        if (head.version > head_.version) {
            return true;
        }
    }
    return false;
}

std::optional<configuration_sync::request> configuration_sync::next_request(time_point now)
{
    if (pending_ && now < pending_until_) {
        return std::nullopt;
    }
    if (pending_) {
        ++failures_[pending_->address];
        pending_.reset();
    }
    const std::pair<const std::string, configuration_head>* best = nullptr;
    int best_failures = 0;
    for (const auto& offer : offers_) {
        if (offer.second.version <= head_.version) {
            continue;
        }
        const auto failed = failures_[offer.first];
        const bool better = best == nullptr || failed < best_failures ||
                            (failed == best_failures && offer.second.version > best->second.version);
        if (better) {
            best = &offer;
            best_failures = failed;
        }
    }
    if (best == nullptr) {
        return std::nullopt;
    }
    pending_ = request{best->first, best->second.version};
    pending_until_ = now + request_timeout;
    return pending_;
}

configuration_sync::apply_result configuration_sync::apply(const std::string& address,
                                                           const std::string& text)
{
    if (pending_ && pending_->address == address) {
        pending_.reset();
    }
    auto value = configuration_from_json(text);
    if (!value) {
        ++failures_[address];
        return apply_result::damaged;
    }
    configuration_head head{value.value().version, configuration_hash(value.value())};
    if (head.version <= head_.version) {
        return apply_result::not_newer;
    }
    const auto offer = offers_.find(address);
    const bool hash_mismatch = offer != offers_.end() && offer->second.version == head.version &&
                               !offer->second.hash.empty() && offer->second.hash != head.hash;
    if (hash_mismatch) {
        ++failures_[address];
        return apply_result::damaged;
    }
    failures_.clear();
    head_ = std::move(head);
    text_ = to_json(value.value()).dump();
    current_ = std::make_shared<const configuration>(std::move(value).value());
    return apply_result::applied;
}

} // namespace clementinegap
