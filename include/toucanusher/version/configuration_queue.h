// Configurations that wait to be committed to the log. Chooses the next one to propose and returns
// the answers that are due.
//
// At most one proposal is open at a time, because an edit applies only to the base that it was made
// for. The loudest pending configuration is proposed: once it is applied, all quieter ones count as
// accepted without a proposal of their own.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

#include "toucanusher/process/clock.h"
#include "toucanusher/version/route_book.h"

namespace toucanusher {

enum class configuration_verdict : std::uint8_t {
    accepted,    // this configuration or a louder one is durable on a majority
    current,     // the result of a read
    not_leader,  // this host does not lead; retry at the leader
    unavailable, // outcome unknown, or no majority is reachable; retry
};
char const* to_string(configuration_verdict verdict);

struct configuration_answer {
    std::uint64_t call = 0; // the caller's id of the call
    configuration_verdict verdict = configuration_verdict::unavailable;
    std::optional<endpoint> leader;                // link address; set with `not_leader` if known
    std::shared_ptr<configuration const> contents; // set with `current`
};

class configuration_queue {
  public:
    // A write that is not durable after `answer_timeout` is answered with `unavailable`.
    explicit configuration_queue(duration answer_timeout) : answer_timeout_(answer_timeout) {}

    void add(time_point now, std::uint64_t call, configuration candidate);
    // Returns the edit to propose now, if any. The caller must report the outcome of the proposal
    // by `on_proposed`.
    [[nodiscard]] std::optional<edit_configuration> next_edit(configuration const& current) const;
    void on_proposed(time_point now, bool accepted_by_log);
    // Closes the open proposal after the log applied an edit, whether its base matched or not.
    void on_edit_applied() { proposed_at_.reset(); }
    // Removes the writes that are durable or timed out, given the configuration in force, and
    // returns their answers.
    std::vector<configuration_answer> take_due_answers(time_point now,
                                                       configuration const& current);
    // Answers all pending writes with `unavailable` after a loss of leadership: their outcome is
    // not known.
    std::vector<configuration_answer> fail_pending();

  private:
    struct pending_configuration {
        std::uint64_t call = 0;
        configuration candidate;
        time_point deadline{};
    };

    duration answer_timeout_;
    std::vector<pending_configuration> pending_;
    std::optional<time_point> proposed_at_; // set while a proposal is open
};

} // namespace toucanusher
