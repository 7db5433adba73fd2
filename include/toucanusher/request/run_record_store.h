// Run records that one replica keeps: the runner of each request. The first runner recorded for a
// request is final.
//
// The records are kept in memory only. An agent that restarts while its upstream keeps running has
// lost them, so it abstains until every request that it may have granted is too old to run.
#pragma once

#include <map>
#include <optional>

#include <absl/container/flat_hash_map.h>

#include "toucanusher/process/clock.h"
#include "toucanusher/request/run_record.h"

namespace toucanusher {

struct run_record_store_options {
    upstream_ref self;
    duration retention = std::chrono::seconds{60}; // twice the deduplication window
    std::size_t max_records = 1000000;
    bool always_grant = false; // for tests only: grants every run
};

class run_record_store {
  public:
    // `abstain_until` is set if the agent restarted while its upstream kept running.
    run_record_store(run_record_store_options options, std::optional<time_point> abstain_until)
        : options_(options), abstain_until_(abstain_until) {}

    // Grants the run and records its runner if none is recorded yet; repeats the grant for the
    // recorded runner. Abstains after a restart, while the store is full, or if the fleet state of
    // the request is not recent.
    run_record_reply record_run(time_point now, run_record_request const& request,
                                bool state_is_recent);
    // Removes expired records; scans at most once a second.
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
