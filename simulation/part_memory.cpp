#include "simulation/part_memory.h"

namespace clementinegap {

std::uint32_t part_memory::missing(std::span<const prompt_part> parts) const
{
    std::uint32_t sum = 0;
    bool gap = false;
    for (const auto& part : parts) {
        const auto found = parts_.find(part.id);
        gap = gap || found == parts_.end() || !found->second.read;
        sum += gap ? part.tokens : 0;
    }
    return sum;
}

bool part_memory::take(std::span<const prompt_part> parts)
{
    std::uint64_t wanted = 0;
    for (const auto& part : parts) {
        const auto found = parts_.find(part.id);
        if (found == parts_.end()) {
            wanted += part.tokens;
            continue;
        }
        if (found->second.users++ == 0) {
            idle_.erase(found->second.place);
        }
    }
    const bool fits = make_room(wanted);
    for (const auto& part : parts) {
        auto [found, is_new] = parts_.try_emplace(part.id);
        if (is_new && fits) {
            found->second.tokens = part.tokens;
            found->second.users = 1;
            used_ += part.tokens;
        } else if (is_new) {
            parts_.erase(found);
        } else if (!fits && --found->second.users == 0) {
            found->second.place = idle_.insert(idle_.end(), part.id);
        }
    }
    return fits;
}

void part_memory::set_read(std::span<const prompt_part> parts)
{
    for (const auto& part : parts) {
        const auto found = parts_.find(part.id);
        if (found != parts_.end()) {
            found->second.read = true;
        }
    }
}

void part_memory::release(std::span<const prompt_part> parts)
{
    for (const auto& part : parts) {
        const auto found = parts_.find(part.id);
        if (found == parts_.end() || --found->second.users > 0) {
            continue;
        }
        if (found->second.read) {
            found->second.place = idle_.insert(idle_.end(), part.id);
        } else {
            used_ -= found->second.tokens;
            parts_.erase(found);
        }
    }
}

bool part_memory::grow()
{
    if (!make_room(1)) {
        return false;
    }
    ++used_;
    return true;
}

bool part_memory::make_room(std::uint64_t tokens)
{
    while (used_ + tokens > capacity_ && !idle_.empty()) {
        const auto found = parts_.find(idle_.front());
        used_ -= found->second.tokens;
        parts_.erase(found);
        idle_.pop_front();
    }
    return used_ + tokens <= capacity_;
}

} // namespace clementinegap
