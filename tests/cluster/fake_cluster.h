#pragma once

#include "cluster/cluster_core.h"
#include "fakes/manual_scheduler.h"

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace clementinegap {

/// Cluster cores in manual time, connected by streams that can break and lose messages, with a table of one
/// configuration and a lagging list of VMs. Counts every return of a process to an older configuration.
class fake_cluster {
public:
    explicit fake_cluster(std::uint64_t seed) : random_(seed) {}

    void add(const std::string& vm, const std::string& region, const std::string& zone,
             const std::string& role = "upstream");
    /// Ends the process without a notice; `start` starts a new one on the VM.
    void crash(const std::string& vm);
    void start(const std::string& vm);
    /// The process announces that it is leaving.
    void leave(const std::string& vm);
    void submit();
    void set_outage(bool outage) { outage_ = outage; }
    void set_loss(double share) { loss_ = share; }
    /// Streams between these VMs and the others break and cannot be opened until `heal`.
    void partition(const std::set<std::string>& side);
    void heal();
    void list(const std::string& vm, bool leaving);
    void unlist(const std::string& vm) { listed_.erase(vm); }
    void run_for(duration span) { scheduler_.run_until(scheduler_.now() + span); }

    time_point now() const { return scheduler_.now(); }
    std::uint64_t version() const { return version_; }
    std::uint64_t reads() const { return reads_; }
    std::uint64_t bytes() const { return bytes_; }
    std::uint64_t version_regressions() const { return version_regressions_; }
    std::uint64_t version_of(const std::string& vm) const;
    /// Whether every running process has the accepted configuration.
    bool in_force_everywhere() const;
    /// Whether every running process sees exactly the running processes as live, and none as leaving.
    bool members_agree() const;
    const cluster_core& core(const std::string& vm) const { return nodes_.at(vm).process->core; }
    std::vector<std::string> running() const;

private:
    struct daemon_process {
        explicit daemon_process(cluster_settings settings) : core(std::move(settings)) {}
        cluster_core core;
        std::uint64_t applied{0};
        std::set<std::string> wanted;
        std::set<std::string> open;
        time_point armed_for{never};
    };
    struct node {
        member_info info;
        std::shared_ptr<daemon_process> process;
    };

    void deliver(const std::string& vm, const std::shared_ptr<daemon_process>& to,
                 const cluster_event& event);
    void perform(const std::string& vm, const std::shared_ptr<daemon_process>& from,
                 const cluster_action& action);
    void reply_later(const std::string& vm, const std::shared_ptr<daemon_process>& to,
                     const cluster_event& event);
    void arm(const std::string& vm, const std::shared_ptr<daemon_process>& of);
    void connect_later(const std::string& vm, const std::shared_ptr<daemon_process>& from,
                       const std::string& to);
    void connect(const std::string& vm, const std::shared_ptr<daemon_process>& from, const std::string& to);
    void disconnect(const std::string& left, const std::string& right);
    void drop_if_unwanted(const std::string& left, const std::string& right);
    bool reachable(const std::string& left, const std::string& right) const;
    std::vector<listed_member> list_now() const;

    manual_scheduler scheduler_;
    std::mt19937_64 random_;
    std::map<std::string, node> nodes_; ///< By VM, which is also the address.
    std::map<std::string, bool> listed_;
    std::set<std::string> partitioned_;
    bool outage_{false};
    double loss_{0};
    std::uint64_t version_{0};
    std::uint64_t reads_{0};
    std::uint64_t bytes_{0};
    std::uint64_t version_regressions_{0};
};

} // namespace clementinegap
