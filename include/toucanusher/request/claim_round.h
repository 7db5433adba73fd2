// One runner's attempt to claim one request: counts the answers of the holders in every set.
#pragma once

#include <map>
#include <optional>
#include <vector>

#include "toucanusher/process/clock.h"
#include "toucanusher/request/run_claim.h"

namespace toucanusher {

enum class run_record_state : std::uint8_t { pending, granted, taken, unavailable };

class run_record_round {
  public:
    // `sets` are the distinct holder sets; a majority of each is needed.
    explicit run_record_round(std::vector<std::vector<upstream_ref>> sets);

    void on_reply(run_record_reply const& reply);
    [[nodiscard]] run_record_state state() const;
    // Holders that have not answered.
    [[nodiscard]] std::vector<upstream_ref> missing() const;
    // Who holds the claim, if state() is held.
    [[nodiscard]] std::optional<upstream_ref> runner() const { return runner_; }

  private:
    std::vector<std::vector<upstream_ref>> sets_;
    std::map<upstream_ref, std::optional<run_record_reply_kind>>
        replies_; // every holder of any set
    std::optional<upstream_ref> runner_;
};

} // namespace toucanusher
