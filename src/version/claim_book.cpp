#include "toucanusher/version/claim_book.h"

#include <algorithm>
#include <utility>

#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>

namespace toucanusher {

namespace {

constexpr std::size_t max_name_length = 64;
constexpr std::size_t max_value_length = 1024;

bool is_valid_name(std::string const& text) {
    auto const allowed = [](char c) {
        return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-' || c == '_';
    };
    return !text.empty() && text.size() <= max_name_length &&
           std::all_of(text.begin(), text.end(), allowed);
}

// Reasons are stored in the replicated history, so builds that share a log must give the same text.
claim_result refusal(std::string reason) {
    claim_result result;
    result.reason = std::move(reason);
    return result;
}

} // namespace

std::string to_string(setting_path const& path) {
    return absl::StrCat("/", path.team, "/", path.setting.service, "/", path.setting.key);
}

std::optional<setting_path> parse_setting_path(std::string const& text) {
    std::vector<std::string> const parts = absl::StrSplit(text, '/');
    if (parts.size() != 4 || !parts[0].empty())
        return std::nullopt;
    if (!is_valid_name(parts[1]) || !is_valid_name(parts[2]) || !is_valid_name(parts[3]))
        return std::nullopt;
    return setting_path{parts[1], {parts[2], parts[3]}};
}

claim_result claim_book::write(write_claim const& command, version_number version) {
    claim_record record{command.request, command.path, command.value, command.loudness, {}};
    auto const found = check(command);
    if (!found.empty()) {
        record.result = refusal(found.to_string());
        record.result.version = version;
        return record_result(std::move(record));
    }
    auto& list = claims_[command.path.setting];
    claim candidate{command.path.team, command.value, command.loudness, version, version};
    auto const previous = std::find_if(list.begin(), list.end(),
                                       [&](claim const& c) { return c.team == candidate.team; });
    if (previous != list.end()) {
        if (previous->loudness == candidate.loudness)
            candidate.accepted = previous->accepted;
        list.erase(previous);
    }
    list.push_back(candidate);
    std::stable_sort(list.begin(), list.end(),
                     [&](claim const& a, claim const& b) { return precedes(a, b); });
    bool const is_in_force = list.front().team == candidate.team;
    record.result = {is_in_force ? claim_verdict::in_force : claim_verdict::overridden,
                     version,
                     list.front(),
                     {}};
    return record_result(std::move(record));
}

claim_result claim_book::withdraw(withdraw_claim const& command, version_number version) {
    claim_record record{command.request, command.path, {}, 0, {}};
    claim const* const own = find_claim(command.path);
    if (own == nullptr)
        record.result = refusal("the team has no claim there");
    else if (command.expected && *command.expected != own->changed)
        record.result =
            refusal(absl::StrCat("expected version ", value_of(*command.expected),
                                 ", but the claim changed at ", value_of(own->changed)));
    else
        record.result.verdict = claim_verdict::withdrawn;
    record.result.version = version;
    if (record.result.verdict == claim_verdict::withdrawn) {
        auto& list = claims_[command.path.setting];
        std::erase_if(list, [&](claim const& c) { return c.team == command.path.team; });
        if (list.empty())
            claims_.erase(command.path.setting);
        record.result.winner = in_force(command.path.setting);
    }
    return record_result(std::move(record));
}

std::optional<claim_result> claim_book::find_result(std::string const& team,
                                                    std::string const& request) const {
    if (faults_.skip_deduplication)
        return std::nullopt;
    auto const found = results_.find({team, request});
    return found == results_.end() ? std::nullopt : std::optional{found->second};
}

std::optional<claim> claim_book::in_force(setting_id const& setting) const {
    auto const found = claims_.find(setting);
    return found == claims_.end() ? std::nullopt : std::optional{found->second.front()};
}

std::vector<claim> claim_book::claims(setting_id const& setting) const {
    auto const found = claims_.find(setting);
    return found == claims_.end() ? std::vector<claim>{} : found->second;
}

std::vector<setting_id> claim_book::claimed_settings() const {
    std::vector<setting_id> result;
    for (auto const& [setting, list] : claims_)
        result.push_back(setting);
    return result;
}

service_settings claim_book::settings(std::string const& service) const {
    service_settings result;
    findings ignored; // values were validated when they were accepted
    for (auto at = claims_.lower_bound({service, {}});
         at != claims_.end() && at->first.service == service; ++at)
        assign_setting(result, at->first.key, at->second.front().value, ignored, {});
    return result;
}

void claim_book::restore(contents saved) {
    claims_ = std::move(saved.claims);
    history_ = std::move(saved.history);
    results_.clear();
    for (auto const& record : history_)
        results_[{record.path.team, record.request}] = record.result;
}

findings claim_book::check(write_claim const& command) const {
    findings found;
    source_location const where{to_string(command.path), 0, {}};
    if (!is_valid_name(command.path.team) || !is_valid_name(command.path.setting.service))
        found.add(where, "names use a-z, 0-9, - and _, 64 at most");
    if (command.loudness > max_loudness)
        found.add(where, absl::StrCat("loudness goes from 0 to ", max_loudness));
    if (command.value.size() > max_value_length)
        found.add(where, absl::StrCat("a value has at most ", max_value_length, " bytes"));
    service_settings scratch;
    assign_setting(scratch, command.path.setting.key, command.value, found, where);
    if (command.expected) {
        claim const* const own = find_claim(command.path);
        auto const changed = own == nullptr ? version_number{} : own->changed;
        if (changed != *command.expected)
            found.add(where, absl::StrCat("expected version ", value_of(*command.expected),
                                          ", but the claim changed at ", value_of(changed)));
    }
    return found;
}

claim_result claim_book::record_result(claim_record record) {
    claim_result result = record.result;
    results_[{record.path.team, record.request}] = result;
    history_.push_back(std::move(record));
    if (history_.size() > max_history) {
        results_.erase({history_.front().path.team, history_.front().request});
        history_.pop_front();
    }
    return result;
}

bool claim_book::precedes(claim const& left, claim const& right) const {
    if (left.loudness != right.loudness)
        return left.loudness > right.loudness;
    if (faults_.newest_wins_ties)
        return left.changed > right.changed;
    return left.accepted < right.accepted;
}

claim const* claim_book::find_claim(setting_path const& path) const {
    auto const list = claims_.find(path.setting);
    if (list == claims_.end())
        return nullptr;
    for (auto const& item : list->second)
        if (item.team == path.team)
            return &item;
    return nullptr;
}

} // namespace toucanusher
