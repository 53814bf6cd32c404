#include "cluster/configuration_spread.h"

#include <utility>

namespace clementinegap {

void configuration_spread::offered(const std::string& address, const configuration_head& head)
{
    offers_[address] = head;
}

void configuration_spread::listed(const configuration_head& head)
{
    offers_[""] = head;
}

void configuration_spread::lost(const std::string& address)
{
    offers_.erase(address);
    failures_.erase(address);
    if (open_ && open_->address == address) {
        open_.reset();
    }
}

bool configuration_spread::is_behind() const
{
    for (const auto& [address, head] : offers_) {
        if (head.version > head_.version) {
            return true;
        }
    }
    return false;
}

std::optional<configuration_spread::request> configuration_spread::next_request(time_point now)
{
    if (open_ && now < open_until_) {
        return std::nullopt;
    }
    if (open_) {
        ++failures_[open_->address];
        open_.reset();
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
    open_ = request{best->first, best->second.version};
    open_until_ = now + request_timeout;
    return open_;
}

configuration_spread::verdict configuration_spread::take(const std::string& address, const std::string& text)
{
    if (open_ && open_->address == address) {
        open_.reset();
    }
    auto value = configuration_from_json(text);
    if (!value) {
        ++failures_[address];
        return verdict::damaged;
    }
    configuration_head head{value.value().version, configuration_hash(value.value())};
    if (head.version <= head_.version) {
        return verdict::not_newer;
    }
    const auto offer = offers_.find(address);
    const bool differs = offer != offers_.end() && offer->second.version == head.version &&
                         !offer->second.hash.empty() && offer->second.hash != head.hash;
    if (differs) {
        ++failures_[address];
        return verdict::damaged;
    }
    failures_.clear();
    head_ = std::move(head);
    text_ = to_json(value.value()).dump();
    current_ = std::make_shared<const configuration>(std::move(value).value());
    return verdict::applied;
}

} // namespace clementinegap
