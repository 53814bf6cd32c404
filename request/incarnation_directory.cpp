#include "request/incarnation_directory.h"

#include <charconv>

namespace clementinegap {
namespace {

constexpr std::string_view incarnation_kind = "incarnation";
constexpr duration incarnation_lifetime = std::chrono::hours(1);

} // namespace

soft_state_item incarnation_item(const std::string& vm, std::uint64_t incarnation)
{
    soft_state_item item;
    item.kind = incarnation_kind;
    item.key = vm;
    item.value = std::to_string(incarnation);
    item.lifetime = incarnation_lifetime;
    return item;
}

void incarnation_directory::on_item(const soft_state_item& item)
{
    if (item.kind != incarnation_kind) {
        return;
    }
    std::uint64_t incarnation = 0;
    const auto parsed =
        std::from_chars(item.value.data(), item.value.data() + item.value.size(), incarnation);
    const bool fits = incarnations_.size() < max_owners || incarnations_.contains(item.key);
    if (parsed.ec == std::errc{} && fits) {
        incarnations_[item.key] = incarnation;
    }
}

bool incarnation_directory::has_restarted(std::string_view vm, std::uint64_t incarnation) const
{
    const auto found = incarnations_.find(vm);
    return found != incarnations_.end() && found->second != incarnation;
}

} // namespace clementinegap
