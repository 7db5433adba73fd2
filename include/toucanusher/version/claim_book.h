// All claims and which of them is in force: the loudest; between equals the one accepted first.
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

// One finished write, kept so that resends get the same answer and operators see the history.
struct claim_record {
    std::string request;
    setting_path path;
    std::string value; // empty for a withdrawal
    std::uint32_t loudness = 0;
    claim_result result;

    friend bool operator==(claim_record const&, claim_record const&) = default;
};

// Switches that leave out one rule each, for tests that show the checks notice.
struct claim_faults {
    bool newest_wins_ties = false;
    bool skip_deduplication = false;
};

class claim_book {
  public:
    // Resends are recognised among this many finished writes.
    static constexpr std::size_t max_history = 8192;

    explicit claim_book(claim_faults faults = {}) : faults_(faults) {}

    claim_result write(write_claim const& command, version_number version);
    claim_result withdraw(withdraw_claim const& command, version_number version);
    // The answer given before to a request of `team`, if it is still remembered.
    [[nodiscard]] std::optional<claim_result> find_result(std::string const& team,
                                                          std::string const& request) const;
    [[nodiscard]] std::optional<claim> in_force(setting_id const& setting) const;
    // All claims for a subject, the one in force first, then by precedence.
    [[nodiscard]] std::vector<claim> claims(setting_id const& setting) const;
    [[nodiscard]] std::vector<setting_id> claimed_settings() const;
    [[nodiscard]] std::deque<claim_record> const& history() const { return history_; }
    // The settings in force for a service; defaults where there is no claim.
    [[nodiscard]] service_settings settings(std::string const& service) const;

    // Contents for a snapshot.
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
    std::map<setting_id, std::vector<claim>> claims_; // no empty lists; each sorted by precedence
    std::deque<claim_record> history_;                // at most remembered_requests
    std::map<std::pair<std::string, std::string>, claim_result> results_; // same as history_
};

} // namespace toucanusher
