// Quorum round in which an agent requests to be recorded as the runner of one request. Counts the
// replies in each replica set.
#pragma once

#include <map>
#include <optional>
#include <vector>

#include "toucanusher/process/clock.h"
#include "toucanusher/request/run_record.h"

namespace toucanusher {

enum class run_record_state : std::uint8_t { pending, granted, taken, unavailable };

class run_record_round {
  public:
    // `sets` holds the distinct replica sets; a majority of each must grant.
    explicit run_record_round(std::vector<std::vector<upstream_ref>> sets);

    void on_reply(run_record_reply const& reply);
    [[nodiscard]] run_record_state state() const;
    // Returns the replicas that have not replied.
    [[nodiscard]] std::vector<upstream_ref> missing() const;
    // Returns the recorded runner if state() is taken.
    [[nodiscard]] std::optional<upstream_ref> runner() const { return runner_; }

  private:
    std::vector<std::vector<upstream_ref>> sets_;
    std::map<upstream_ref, std::optional<run_record_reply_kind>> replies_; // by replica
    std::optional<upstream_ref> runner_;
};

} // namespace toucanusher
