#include "main/configuration_push.h"

#include "adapters/overlay_link.h"

#include <condition_variable>
#include <mutex>
#include <set>
#include <vector>

#include <unistd.h>

namespace clementinegap {
namespace {

/// What came from the daemons, from the link's threads to the waiting one.
class event_queue {
public:
    bool push(cluster_event event)
    {
        const std::lock_guard lock(mutex_);
        events_.push_back(std::move(event));
        arrived_.notify_one();
        return true;
    }
    std::vector<cluster_event> take(std::chrono::steady_clock::time_point end)
    {
        std::unique_lock lock(mutex_);
        arrived_.wait_until(lock, end, [this] { return !events_.empty(); });
        return std::exchange(events_, {});
    }

private:
    std::mutex mutex_;
    std::condition_variable arrived_;
    std::vector<cluster_event> events_;
};

} // namespace

std::size_t push_configuration(const std::vector<std::string>& addresses, const peer_credentials& credentials,
                               const configuration_head& head, const std::string& text, duration patience)
{
    event_queue queue;
    overlay_link link([&](cluster_event event) { return queue.push(std::move(event)); },
                      "submit-" + std::to_string(::getpid()), "", credentials);
    link.maintain_streams(addresses);
    std::set<std::string> served;
    const auto end = std::chrono::steady_clock::now() + patience;
    while (served.size() < addresses.size() && std::chrono::steady_clock::now() < end) {
        for (const auto& event : queue.take(end)) {
            if (const auto* connected = std::get_if<peer_connected>(&event)) {
                link.send(connected->address, heartbeat_message{head, 0, true});
            }
            const auto* said = std::get_if<peer_message_received>(&event);
            if (said == nullptr) {
                continue;
            }
            if (std::holds_alternative<configuration_request>(said->message)) {
                link.send(said->address, configuration_reply{text});
            }
            const auto* beat = std::get_if<heartbeat_message>(&said->message);
            if (beat != nullptr && beat->configuration.version >= head.version) {
                served.insert(said->address);
            }
        }
    }
    link.stop();
    return served.size();
}

} // namespace clementinegap
