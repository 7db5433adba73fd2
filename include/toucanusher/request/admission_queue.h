// Bounded queue of the requests that wait for one upstream. Refuses requests that cannot meet their
// deadline and schedules the rest by weighted round robin over classes and by round robin over the
// teams of a class.
#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "toucanusher/process/clock.h"
#include "toucanusher/request/request_message.h"

namespace toucanusher {

struct admission_options {
    std::uint32_t queue_length = 64;                                   // sum over all classes
    std::array<std::uint32_t, request_class_count> shares{60, 30, 10}; // weights, each above 0
    // For experiments only; production uses the defaults.
    bool first_come_first_served = false; // ignores classes, teams and displacement
    bool check_deadlines = true;
};

struct waiting_request {
    request_id id;
    request_class kind = request_class::normal;
    std::string team;
    time_point deadline{};
};

struct queue_refusal {
    request_id id;
    request_refusal reason = request_refusal::none;
};

class admission_queue {
  public:
    explicit admission_queue(admission_options options = {}) : options_(options) {}

    void configure(admission_options options) { options_ = options; }
    // Queues a request. Returns the request that must be refused as a result, if any: the new one
    // or one that it displaces. `service_time` is the expected duration of a run, `slots` the
    // number of concurrent runs.
    std::optional<queue_refusal> push(time_point now, waiting_request request,
                                      duration service_time, std::uint32_t slots);
    // Removes and returns the next request to run. Requests that can no longer meet their deadline
    // are removed and appended to `expired`.
    std::optional<waiting_request> pop(time_point now, duration service_time,
                                       std::vector<queue_refusal>& expired);
    // Removes every request whose deadline has passed and appends it to `expired`.
    void remove_expired(time_point now, std::vector<queue_refusal>& expired);
    bool remove(request_id const& id);

    [[nodiscard]] std::size_t size() const { return size_; }
    [[nodiscard]] std::size_t size(request_class kind) const;

  private:
    // Queued requests of one class, with a queue for each team.
    struct class_queue {
        std::map<std::string, std::deque<waiting_request>> teams; // no empty queues
        std::string last_team;                                    // last team that was served
        std::size_t size = 0;
        std::int64_t credit = 0; // for smooth weighted round robin
    };

    [[nodiscard]] std::size_t next_class() const;
    [[nodiscard]] std::size_t most_loaded_class() const;
    [[nodiscard]] duration expected_wait(request_class kind, duration service_time,
                                         std::uint32_t slots) const;
    waiting_request take_front(class_queue& queue);
    waiting_request take_newest(class_queue& queue);
    void charge(std::size_t served);

    admission_options options_;
    std::array<class_queue, request_class_count> classes_;
    std::size_t size_ = 0; // sum over classes_, at most options_.queue_length after a push
};

} // namespace toucanusher
