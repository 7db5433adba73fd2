// Configurations that wait for the log: which one to propose next, and whom to answer.
//
// One proposal is open at a time, always the loudest that waits: an edit fits only the base it was
// made for, and quieter ones are settled by a louder one without being proposed.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

#include "toucanusher/process/clock.h"
#include "toucanusher/version/route_book.h"

namespace toucanusher {

enum class configuration_verdict : std::uint8_t {
    accepted,    // it, or a louder one, is durable on a majority
    current,     // the answer to a read
    elsewhere,   // ask the leader
    unavailable, // the outcome is not known, or no majority is in touch; ask again
};
char const* to_string(configuration_verdict verdict);

struct configuration_answer {
    std::uint64_t call = 0; // number that the caller gave
    configuration_verdict verdict = configuration_verdict::unavailable;
    std::optional<endpoint> leader;                // link address, for `elsewhere`
    std::shared_ptr<configuration const> contents; // for `current`
};

class configuration_queue {
  public:
    // A caller that waits longer is told that the outcome is not known.
    explicit configuration_queue(duration answer_timeout) : answer_timeout_(answer_timeout) {}

    void add(time_point now, std::uint64_t call, configuration candidate);
    // The edit to propose now, if any. `proposed` must follow with its outcome.
    [[nodiscard]] std::optional<edit_configuration> next(configuration const& current) const;
    void on_proposed(time_point now, bool accepted_by_log);
    // The log has applied an edit, fitting or not.
    void on_edit_applied() { proposed_at_.reset(); }
    // Answers that are due, given what is in force.
    std::vector<configuration_answer> answer(time_point now, configuration const& current);
    // Leadership is lost: nobody's outcome is known.
    std::vector<configuration_answer> fail_pending();

  private:
    struct pending_configuration {
        std::uint64_t call = 0;
        configuration candidate;
        time_point deadline{};
    };

    duration answer_timeout_;
    std::vector<pending_configuration> pending_;
    std::optional<time_point> proposed_at_; // when the open proposal was made
};

} // namespace toucanusher
