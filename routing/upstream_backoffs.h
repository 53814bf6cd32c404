#pragma once

#include "core/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace clementinegap {

/// How a send on trial ended.
enum class probe_result : std::uint8_t {
    succeeded, ///< The upstream has begun to answer as it should.
    failed,    ///< It refused again, or gave no answer.
    unknown,   ///< The send was ended by others.
};

/// Upstreams that asked this daemon for a pause with a refusal. Until its end nothing is sent there. Then the
/// upstream opens gently: one send on trial, and twice as many whenever one has ended well, until it takes as
/// many as any other. Answers the load of all that waited arriving at once at an upstream that was full.
///
/// A pause outlasts a restart of the upstream under its id: the directory may show the restart later than the
/// new process has asked for the pause.
class upstream_backoffs {
public:
    /// \param longest pause that is granted, however much an upstream asks for.
    explicit upstream_backoffs(duration longest) : max_(longest) {}

    /// The upstream wants nothing for `span`. \returns the pause that is kept; zero: none.
    duration start(std::string_view upstream, duration span, time_point now);
    /// Whether nothing may be sent there now.
    bool is_blocked(std::string_view upstream, time_point now) const;
    /// When a closed upstream may take something, as far as is known; nothing for an open one.
    std::optional<time_point> available_at(std::string_view upstream, time_point now) const;
    /// A request is sent to an upstream that is not closed. Returns whether it is a trial; its end must be
    /// told.
    bool sent(std::string_view upstream);
    void probe_ended(std::string_view upstream, probe_result how, time_point now);
    /// Upstreams that want nothing now.
    std::vector<std::string> in_backoff(time_point now) const;
    void expire(time_point now);
    std::size_t size() const { return states_.size(); }

private:
    /// Sends on trial at a time from which an upstream counts as open.
    static constexpr std::uint32_t unrestricted_from = 16;
    /// A trial that has not ended is asked after again; about an answer's time.
    static constexpr duration probe_timeout = milliseconds(100);
    /// After a pause nobody had anything for the upstream for so long: whatever filled it is over.
    static constexpr duration idle_lifetime = seconds(10);

    struct state {
        time_point ends;
        std::uint32_t allowed{1}; ///< Sends on trial at a time, once the pause has ended.
        std::uint32_t trials{0};
        time_point last_use;
    };
    duration max_;
    std::map<std::string, state, std::less<>> states_;
};

} // namespace clementinegap
