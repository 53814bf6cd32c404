#include "slopes/resource_meter.h"

#include <malloc.h>

#include <atomic>
#include <cstdlib>
#include <ctime>
#include <new>

namespace clementinegap {
namespace {

constexpr double us_per_second = 1e6;
constexpr double ns_per_us = 1e3;

std::atomic<std::int64_t> held{0};

} // namespace

double thread_cpu_us()
{
    std::timespec used{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &used);
    return static_cast<double>(used.tv_sec) * us_per_second + static_cast<double>(used.tv_nsec) / ns_per_us;
}

std::int64_t live_bytes()
{
    return held;
}

void* counted_allocation(std::size_t size)
{
    void* const memory = std::malloc(size == 0 ? 1 : size);
    if (memory == nullptr) {
        throw std::bad_alloc();
    }
    held.fetch_add(static_cast<std::int64_t>(malloc_usable_size(memory)), std::memory_order_relaxed);
    return memory;
}

void counted_release(void* memory)
{
    if (memory != nullptr) {
        held.fetch_sub(static_cast<std::int64_t>(malloc_usable_size(memory)), std::memory_order_relaxed);
        std::free(memory);
    }
}

} // namespace clementinegap

void* operator new(std::size_t size)
{
    return clementinegap::counted_allocation(size);
}

void operator delete(void* memory) noexcept
{
    clementinegap::counted_release(memory);
}

void operator delete(void* memory, std::size_t /*size*/) noexcept
{
    clementinegap::counted_release(memory);
}
