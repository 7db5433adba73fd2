// The requests that wait at one upstream. Bounded; refuses what cannot finish in time; shares the
// upstream's slots between classes and, within a class, between teams.
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
    std::uint32_t queue_length = 64;                                   // all classes together
    std::array<std::uint32_t, request_class_count> shares{60, 30, 10}; // weights, each above 0
    // Switches for experiments; production uses the defaults.
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
    // Adds a request. Returns whoever must be refused for it: nobody, itself, or one that it
    // displaces. `service_time` is how long a run takes, `slots` how many run at once.
    std::optional<queue_refusal> push(time_point now, waiting_request request,
                                      duration service_time, std::uint32_t slots);
    // Takes the next request to run. Those that can no longer finish are added to `late`.
    std::optional<waiting_request> pop(time_point now, duration service_time,
                                       std::vector<queue_refusal>& expired);
    // Removes every request whose deadline has passed.
    void remove_expired(time_point now, std::vector<queue_refusal>& expired);
    bool remove(request_id const& id);

    [[nodiscard]] std::size_t size() const { return size_; }
    [[nodiscard]] std::size_t size(request_class kind) const;

  private:
    // Requests of one class, by team; teams take turns.
    struct class_queue {
        std::map<std::string, std::deque<waiting_request>> teams; // no empty queues
        std::string last_team;                                    // served most recently
        std::size_t size = 0;
        std::int64_t credit = 0; // of the smooth weighted round robin
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
