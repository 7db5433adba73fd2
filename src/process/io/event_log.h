// Writes events to standard output through glog, from a duty of its own: whoever logs never waits.
//
// The volume is bounded: an event with the same name and the same `what` gets so many lines a
// second, and the rest is counted and told with the next line of that kind. A full ring drops lines
// and counts them too.
#pragma once

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <utility>

#include "toucanusher/process/clock.h"
#include "toucanusher/process/duty.h"
#include "toucanusher/process/event_line.h"
#include "toucanusher/process/ring.h"

namespace toucanusher {

// Safe to use from any thread.
class event_log {
  public:
    explicit event_log(clock const& clock);
    ~event_log();
    event_log(event_log const&) = delete;
    event_log& operator=(event_log const&) = delete;

    void info(event_line const& line) { write(severity::info, line, lines_per_second); }
    void warning(event_line const& line) { write(severity::warning, line, lines_per_second); }
    void error(event_line const& line) { write(severity::error, line, lines_per_second); }
    // As warning, at most once a second for each kind of event.
    void rate_limited_warning(event_line const& line) { write(severity::warning, line, 1); }
    // Lines that were not written, since the start.
    [[nodiscard]] std::uint64_t suppressed() const { return suppressed_.load(); }

  private:
    enum class severity : std::uint8_t { info, warning, error };
    struct record {
        severity level = severity::info;
        std::string text;
    };
    struct rate_limit {
        time_point window_start{};
        std::uint32_t written = 0; // in that second
        std::uint64_t suppressed = 0;
    };

    // A kind of event tells enough with so many samples a second; a process has some thirty kinds.
    static constexpr std::uint32_t lines_per_second = 40;
    static constexpr std::size_t queue_capacity = 4096; // some seconds of all kinds at their limit

    void write(severity level, event_line const& line, std::uint32_t limit);
    void write_loop();

    clock const& clock_;
    std::mutex mutex_;
    std::map<std::pair<std::string, std::string>, rate_limit> rate_limits_; // by kind, a fixed set
    std::atomic<std::uint64_t> suppressed_{0};
    ring<record> queue_;
    std::unique_ptr<duty> writer_;
};

enum class log_stream : std::uint8_t { standard_output, standard_error };
// Prepares glog. Tools whose output is their answer log to the standard error stream.
void start_logging(char const* program, log_stream to);

} // namespace toucanusher
