#include "routing/prompt_part_quarantine.h"

#include <algorithm>

namespace clementinegap {
namespace {

duration age_of(time_point at, time_point now)
{
    return std::max(duration::zero(), now - at);
}

} // namespace

void prompt_part_quarantine::send_lost(const upstream_record& upstream, const prompt_info& prompt,
                                       time_point sent_at, std::optional<duration> streamed, time_point now)
{
    if (streamed && *streamed >= proof_of_soundness) {
        succeeded(prompt, now);
        return;
    }
    loss lost{{}, sent_at, now};
    for (const auto& each : prompt.shared_parts().first(std::min(prompt.shared_parts().size(), max_parts))) {
        lost.parts.insert(each.id);
    }
    const upstream_key key(upstream.id, upstream.incarnation);
    auto& losses = losses_[key];
    if (lost.parts.empty() || losses.size() >= max_losses) {
        return;
    }
    losses.push_back(std::move(lost));
    if (const auto known = crashes_.find(key); known != crashes_.end()) {
        attribute_losses(key, known->second);
    }
}

void prompt_part_quarantine::process_ended(const upstream_record& upstream, time_point now)
{
    if (!knows_crash(upstream)) {
        add_crash({upstream.id, upstream.incarnation}, now, now);
    }
}

void prompt_part_quarantine::add_crash(const upstream_key& key, time_point at, time_point now)
{
    if (crashes_.size() >= max_crashes) {
        crashes_.erase(
            std::ranges::min_element(crashes_, {}, [](const auto& each) { return each.second.at; }));
    }
    const auto losses = losses_.find(key);
    auto& added = crashes_[key];
    added.at = losses == losses_.end() || losses->second.empty() ? at : losses->second.back().at;
    added.known_since = now;
    added.reports = reports_per_statement;
    attribute_losses(key, added);
}

void prompt_part_quarantine::attribute_losses(const upstream_key& key, crash& where)
{
    const auto found = losses_.find(key);
    if (found == losses_.end()) {
        return;
    }
    for (auto& each : found->second) {
        if (each.at + loss_spread < where.at) {
            continue;
        }
        suspect lost{std::move(each.parts), each.sent_at};
        for (const auto part : lost.parts) {
            if (has_succeeded(part)) {
                sound_to_report_[part] = reports_per_statement;
            }
        }
        std::erase_if(lost.parts, [&](std::uint64_t part) { return trusts(part, where.at); });
        if (lost.parts.empty() || where.own_suspects.size() >= max_suspects) {
            continue;
        }
        lost.reports = reports_per_statement;
        where.own_suspects.push_back(lost);
        add_suspect(where, std::move(lost));
    }
    losses_.erase(found);
}

void prompt_part_quarantine::add_suspect(crash& where, suspect added)
{
    for (const auto part : added.parts) {
        const auto known = quarantined_.find(part);
        if (known == quarantined_.end() || where.at <= known->second.since) {
            continue;
        }
        // It has crashed an upstream again, in a request that may lack some of its former companions.
        auto renewed = known->second;
        std::erase_if(renewed.companions, [&](std::uint64_t each) { return !added.parts.contains(each); });
        renewed.since = where.at;
        put_in_quarantine(part, std::move(renewed));
    }
    if (where.suspects.size() < max_suspects) {
        evidence_changed_ = true;
        suspected_.insert(added.parts.begin(), added.parts.end());
        where.suspects.push_back(std::move(added));
    }
}

bool prompt_part_quarantine::trusts(std::uint64_t part, time_point crash_at) const
{
    const auto found = succeeded_at_.find(part);
    return found != succeeded_at_.end() && found->second > crash_at - trust_window;
}

void prompt_part_quarantine::succeeded(const prompt_info& prompt, time_point now)
{
    for (const auto& each : prompt.shared_parts()) {
        mark_sound(each.id, now, true);
    }
}

void prompt_part_quarantine::mark_sound(std::uint64_t part, time_point at, bool publish)
{
    if (succeeded_at_.size() < max_successes || succeeded_at_.contains(part)) {
        auto& known = succeeded_at_[part];
        known = std::max(known, at);
    }
    if (!suspected_.contains(part)) {
        return;
    }
    if (publish) {
        sound_to_report_[part] = reports_per_statement;
    }
    evidence_changed_ = true;
    bool is_suspected = false;
    for (auto& [key, one] : crashes_) {
        if (at <= one.at - trust_window) {
            is_suspected = is_suspected || std::ranges::any_of(one.suspects, [&](const suspect& each) {
                               return each.parts.contains(part);
                           });
            continue;
        }
        for (auto* list : {&one.suspects, &one.own_suspects}) {
            for (auto& each : *list) {
                each.parts.erase(part);
            }
            std::erase_if(*list, [](const suspect& each) { return each.parts.empty(); });
        }
    }
    for (auto& [other, one] : quarantined_) {
        if (other != part && one.companions.erase(part) > 0) {
            ++revision_;
        }
    }
    const auto found = quarantined_.find(part);
    if (found == quarantined_.end()) {
        if (!is_suspected) {
            suspected_.erase(part);
        }
        return;
    }
    if (found->second.since < at) {
        quarantined_.erase(found);
        collect_suspected();
    }
}

void prompt_part_quarantine::collect_suspected()
{
    evidence_changed_ = true;
    suspected_.clear();
    for (const auto& [key, one] : crashes_) {
        for (const auto& each : one.suspects) {
            suspected_.insert(each.parts.begin(), each.parts.end());
        }
    }
    for (const auto& [part, one] : quarantined_) {
        suspected_.insert(part);
        suspected_.insert(one.companions.begin(), one.companions.end());
    }
}

void prompt_part_quarantine::on_quarantined(std::span<const quarantined_part> heard, time_point now)
{
    for (const auto& each : heard) {
        if (each.age > evidence_lifetime) {
            continue;
        }
        quarantine added{now - each.age, part_set(each.companions.begin(), each.companions.end())};
        added.companions.insert(each.part);
        const auto success = succeeded_at_.find(each.part);
        if (success != succeeded_at_.end() && success->second > added.since) {
            sound_to_report_[each.part] = reports_per_statement;
            continue;
        }
        const auto known = quarantined_.find(each.part);
        if (known == quarantined_.end()) {
            put_in_quarantine(each.part, std::move(added));
        } else if (std::erase_if(known->second.companions,
                                 [&](std::uint64_t part) { return !added.companions.contains(part); }) > 0) {
            ++revision_;
        }
    }
}

void prompt_part_quarantine::on_report(const prompt_part_statements& statements, duration interval,
                                       time_point now)
{
    report_interval_ = interval;
    for (const auto& each : statements.sound) {
        mark_sound(each.part, now - each.age, false);
    }
    on_quarantined(statements.quarantined, now);
    for (const auto& each : statements.crashes) {
        const upstream_key key(each.upstream, each.incarnation);
        const auto at = now - each.age;
        if (!crashes_.contains(key)) {
            add_crash(key, at, now);
        }
        auto& known = crashes_.at(key);
        known.at = std::min(known.at, at); // A daemon without lost requests detects the crash later.
        for (const auto& heard : each.suspects) {
            suspect lost{{}, known.at - heard.sent_before};
            for (const auto part : heard.parts) {
                if (has_succeeded(part)) {
                    sound_to_report_[part] = reports_per_statement;
                }
                if (!trusts(part, known.at)) {
                    lost.parts.insert(part);
                }
            }
            const bool is_known = std::ranges::any_of(
                known.suspects, [&](const suspect& one) { return one.parts == lost.parts; });
            if (!lost.parts.empty() && !is_known) {
                add_suspect(known, std::move(lost));
            }
        }
    }
}

prompt_part_quarantine::hypotheses
prompt_part_quarantine::build_hypotheses(std::span<const crash* const> crashes)
{
    hypotheses result;
    for (const auto* each : crashes) {
        std::map<std::uint64_t, time_point> latest_send;
        for (const auto& one : each->suspects) {
            for (const auto part : one.parts) {
                const bool is_new = !result.contains(part);
                auto& known = result[part];
                if (is_new) {
                    known.companions = one.parts;
                } else {
                    std::erase_if(known.companions,
                                  [&](std::uint64_t other) { return !one.parts.contains(other); });
                }
                latest_send[part] = std::max(latest_send[part], one.sent_at);
            }
        }
        for (const auto& [part, sent_at] : latest_send) {
            auto& known = result[part];
            if (known.crashes.empty() || sent_at > known.last_crash) {
                ++known.independent;
                known.last_crash = each->at;
            }
            known.crashes.push_back(each);
        }
    }
    return result;
}

bool prompt_part_quarantine::is_contested(std::uint64_t part, const hypotheses& all)
{
    const auto& own = all.at(part);
    return std::ranges::any_of(all, [&](const auto& each) {
        const auto& [other, rival] = each;
        if (rival.independent < own.independent || own.companions.contains(other)) {
            return false;
        }
        return std::ranges::any_of(rival.crashes, [&](const crash* one) { return own.explains(one); });
    });
}

void prompt_part_quarantine::evaluate(time_point now)
{
    std::vector<const crash*> unexplained;
    evidence_changed_ = false;
    for (const auto& [key, one] : crashes_) {
        if (now < one.known_since + report_interval_ * settling_intervals) {
            evidence_changed_ = true; // It is judged later.
            continue;
        }
        const bool is_explained = std::ranges::any_of(one.suspects, [&](const suspect& each) {
            return std::ranges::any_of(each.parts,
                                       [&](std::uint64_t part) { return quarantined_.contains(part); });
        });
        if (!is_explained) {
            unexplained.push_back(&one);
        }
    }
    std::ranges::sort(unexplained, {}, &crash::at);
    while (!unexplained.empty()) {
        const auto all = build_hypotheses(unexplained);
        std::set<const crash*> explained;
        for (const auto part : best_explanations(all)) {
            const auto& best = all.at(part);
            put_in_quarantine(part, {now, best.companions});
            explained.insert(best.crashes.begin(), best.crashes.end());
        }
        if (explained.empty()) {
            break;
        }
        std::erase_if(unexplained, [&](const crash* each) { return explained.contains(each); });
    }
}

std::vector<std::uint64_t> prompt_part_quarantine::best_explanations(const hypotheses& all) const
{
    std::vector<std::uint64_t> best;
    std::size_t most = 0;
    for (const auto& [part, one] : all) {
        if (one.independent < std::max(most, min_crashes_alone) ||
            one.independent < required_crashes(part, all) || has_specific_explanation(part, all)) {
            continue;
        }
        if (one.independent > most) {
            best.clear();
            most = one.independent;
        }
        best.push_back(part);
    }
    // If a part explains as much as a companion that is met without it too, only requests with both are
    // refused; if it is the companion that crashes upstreams, its other requests will show it.
    std::vector<std::uint64_t> general;
    for (const auto part : best) {
        for (const auto companion : all.at(part).companions) {
            if (companion != part && !all.at(companion).companions.contains(part)) {
                general.push_back(companion);
            }
        }
    }
    std::erase_if(best,
                  [&](std::uint64_t part) { return std::ranges::find(general, part) != general.end(); });
    return best;
}

std::size_t prompt_part_quarantine::required_crashes(std::uint64_t part, const hypotheses& all) const
{
    if (has_succeeded(part) || is_contested(part, all)) {
        return min_doubtful_crashes;
    }
    return is_alone(all.at(part)) ? min_crashes_alone : min_crashes;
}

bool prompt_part_quarantine::has_specific_explanation(std::uint64_t part, const hypotheses& all) const
{
    const auto& own = all.at(part);
    std::vector<const hypothesis*> specific;
    for (const auto& [other, one] : all) {
        if (one.companions.contains(part) && !own.companions.contains(other) &&
            one.independent >= min_crashes_alone && one.independent * 2 >= own.independent &&
            !has_succeeded(other)) {
            specific.push_back(&one);
        }
    }
    auto unexplained = own.crashes;
    for (std::size_t count = 0; count < max_specific_parts && !specific.empty(); ++count) {
        const auto* best = *std::ranges::max_element(specific, {}, [&](const hypothesis* one) {
            return std::ranges::count_if(unexplained, [&](const crash* each) { return one->explains(each); });
        });
        std::erase_if(unexplained, [&](const crash* each) { return best->explains(each); });
    }
    if (unexplained.size() * max_unexplained_divisor > own.crashes.size()) {
        return false;
    }
    const auto rest = build_hypotheses(unexplained);
    const auto found = rest.find(part);
    return found == rest.end() || found->second.independent < required_crashes(part, all);
}

bool prompt_part_quarantine::is_alone(const hypothesis& one) const
{
    const auto is_rival = [&](std::uint64_t part) {
        return !one.companions.contains(part) && !has_succeeded(part);
    };
    return std::ranges::all_of(one.crashes, [&](const crash* each) {
        return std::ranges::none_of(
            each->suspects, [&](const suspect& lost) { return std::ranges::any_of(lost.parts, is_rival); });
    });
}

void prompt_part_quarantine::put_in_quarantine(std::uint64_t part, quarantine added)
{
    if (quarantined_.size() >= max_quarantined && !quarantined_.contains(part)) {
        quarantined_.erase(
            std::ranges::min_element(quarantined_, {}, [](const auto& each) { return each.second.since; }));
    }
    suspected_.insert(added.companions.begin(), added.companions.end());
    quarantined_[part] = std::move(added);
    ++revision_;
}

bool prompt_part_quarantine::is_quarantined(const prompt_info& prompt) const
{
    if (quarantined_.empty()) {
        return false;
    }
    const auto parts = prompt.shared_parts();
    const auto holds = [&](std::uint64_t part) {
        return std::ranges::any_of(parts, [&](const prompt_part& each) { return each.id == part; });
    };
    return std::ranges::any_of(parts, [&](const prompt_part& each) {
        const auto found = quarantined_.find(each.id);
        return found != quarantined_.end() && std::ranges::all_of(found->second.companions, holds);
    });
}

std::vector<quarantined_part> prompt_part_quarantine::quarantined(time_point now) const
{
    std::vector<quarantined_part> result;
    for (const auto& [part, one] : quarantined_) {
        result.push_back({part, age_of(one.since, now), {one.companions.begin(), one.companions.end()}});
    }
    return result;
}

prompt_part_statements prompt_part_quarantine::next_statements(time_point now)
{
    prompt_part_statements result;
    std::size_t reported_parts = 0;
    for (auto& [key, one] : crashes_) {
        crash_evidence evidence{key.first, key.second, age_of(one.at, now), {}};
        for (auto& each : one.own_suspects) {
            if (each.reports == 0 || reported_parts + each.parts.size() > max_reported_parts) {
                continue;
            }
            --each.reports;
            reported_parts += each.parts.size();
            evidence.suspects.push_back({one.at - each.sent_at, {each.parts.begin(), each.parts.end()}});
        }
        if (one.reports > 0 || !evidence.suspects.empty()) {
            one.reports = std::max(0, one.reports - 1);
            result.crashes.push_back(std::move(evidence));
        }
    }
    result.quarantined = quarantined(now);
    for (auto& [part, reports] : sound_to_report_) {
        if (result.sound.size() >= max_reported_sound) {
            break;
        }
        --reports;
        if (const auto found = succeeded_at_.find(part); found != succeeded_at_.end()) {
            result.sound.push_back({part, age_of(found->second, now)});
        }
    }
    std::erase_if(sound_to_report_, [](const auto& each) { return each.second <= 0; });
    return result;
}

void prompt_part_quarantine::update(time_point now)
{
    if (evidence_changed_) {
        evaluate(now);
    }
    for (auto& [key, losses] : losses_) {
        std::erase_if(losses, [&](const loss& each) { return now - each.at > blame_window; });
    }
    std::erase_if(losses_, [](const auto& each) { return each.second.empty(); });
    const auto expired =
        std::erase_if(crashes_, [&](const auto& each) { return now - each.second.at > evidence_lifetime; }) +
        std::erase_if(quarantined_,
                      [&](const auto& each) { return now - each.second.since > evidence_lifetime; });
    if (expired > 0) {
        collect_suspected();
    }
    std::erase_if(succeeded_at_, [&](const auto& each) {
        const bool is_forgotten = now - each.second > success_memory;
        evidence_changed_ = evidence_changed_ || (is_forgotten && suspected_.contains(each.first));
        return is_forgotten;
    });
}

} // namespace clementinegap
