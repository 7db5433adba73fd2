// A holder's record of which runner claimed which request. The first claim stands for good.
//
// The ledger lives in memory. An agent that restarted beside a living upstream has forgotten its
// claims, so it abstains until every request that it may have granted is too old to run.
#pragma once

#include <map>
#include <optional>

#include <absl/container/flat_hash_map.h>

#include "toucanusher/process/clock.h"
#include "toucanusher/request/run_claim.h"

namespace toucanusher {

struct run_record_store_options {
    upstream_ref self;
    duration retention = std::chrono::seconds{60}; // twice the claim window
    std::size_t max_records = 1000000;
    bool always_grant = false; // for tests only: every claim is granted
};

class run_record_store {
  public:
    // `abstain_until` is set after a restart beside a living upstream.
    run_record_store(run_record_store_options options, std::optional<time_point> abstain_until)
        : options_(options), abstain_until_(abstain_until) {}

    run_record_reply record_run(time_point now, run_record_request const& request,
                                bool state_is_recent);
    // Drops old claims; looks at most once a second.
    void remove_expired(time_point now);
    [[nodiscard]] std::size_t size() const { return records_.size(); }

  private:
    struct entry {
        upstream_ref runner;
        std::uint64_t runner_process = 0;
        time_point recorded_at{};
    };

    run_record_store_options options_;
    std::optional<time_point> abstain_until_;
    time_point next_removal_{};
    absl::flat_hash_map<request_id, entry> records_;
};

} // namespace toucanusher
