// All claims, in their order of precedence. The loudest claim to a setting is in force; between
// claims of equal loudness, the one that was accepted first.
#pragma once

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "toucanusher/version/claim.h"
#include "toucanusher/version/settings.h"

namespace toucanusher {

// A finished write or withdrawal. It is kept so that retries get the same result and operators can
// read the history.
struct claim_record {
    std::string request;
    setting_path path;
    std::string value; // empty for a withdrawal
    std::uint32_t loudness = 0;
    claim_result result;

    friend bool operator==(claim_record const&, claim_record const&) = default;
};

// Faults that tests inject to show that the checks detect them. Each disables one rule.
struct claim_faults {
    bool newest_wins_ties = false;
    bool skip_deduplication = false;
};

class claim_book {
  public:
    // Retries are recognised among this many finished writes.
    static constexpr std::size_t max_history = 8192;

    explicit claim_book(claim_faults faults = {}) : faults_(faults) {}

    claim_result write(write_claim const& command, version_number version);
    claim_result withdraw(withdraw_claim const& command, version_number version);
    // Returns the result of an earlier request of `team`, if it is still in the history.
    [[nodiscard]] std::optional<claim_result> find_result(std::string const& team,
                                                          std::string const& request) const;
    [[nodiscard]] std::optional<claim> in_force(setting_id const& setting) const;
    // Returns all claims to a setting by precedence, the claim in force first.
    [[nodiscard]] std::vector<claim> claims(setting_id const& setting) const;
    [[nodiscard]] std::vector<setting_id> claimed_settings() const;
    [[nodiscard]] std::deque<claim_record> const& history() const { return history_; }
    // Returns the settings in force for a service, with defaults for settings without a claim.
    [[nodiscard]] service_settings settings(std::string const& service) const;

    // The part of the book that a snapshot stores.
    struct contents {
        std::map<setting_id, std::vector<claim>> claims;
        std::deque<claim_record> history;
    };
    [[nodiscard]] contents save() const { return {claims_, history_}; }
    void restore(contents saved);

  private:
    [[nodiscard]] findings check(write_claim const& command) const;
    claim_result record_result(claim_record record);
    [[nodiscard]] bool precedes(claim const& left, claim const& right) const;
    [[nodiscard]] claim const* find_claim(setting_path const& path) const;

    claim_faults faults_;
    std::map<setting_id, std::vector<claim>> claims_; // lists are never empty, sorted by precedence
    std::deque<claim_record> history_;                // at most max_history entries, oldest first
    std::map<std::pair<std::string, std::string>, claim_result> results_; // of history_
};

} // namespace toucanusher
