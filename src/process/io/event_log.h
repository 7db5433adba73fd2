// Writes events through glog from its own duty, so that logging never blocks the caller.
//
// Output is rate-limited: events with the same name and the same `what` share a limit of lines per
// second. Lines over the limit are counted, and the next line of that kind reports the count. Lines
// are also dropped and counted when the queue is full.
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
    // Like warning(), but at most 1 line a second for each kind of event.
    void rate_limited_warning(event_line const& line) { write(severity::warning, line, 1); }
    // Number of lines that were dropped since the start.
    [[nodiscard]] std::uint64_t suppressed() const { return suppressed_.load(); }

  private:
    enum class severity : std::uint8_t { info, warning, error };
    struct record {
        severity level = severity::info;
        std::string text;
    };
    struct rate_limit {
        time_point window_start{};
        std::uint32_t written = 0; // lines since window_start
        std::uint64_t suppressed = 0;
    };

    // 40 samples a second are enough for one kind of event; a process has about thirty kinds.
    static constexpr std::uint32_t lines_per_second = 40;
    static constexpr std::size_t queue_capacity =
        4096; // a few seconds with all kinds at their limit

    void write(severity level, event_line const& line, std::uint32_t limit);
    void write_loop();

    clock const& clock_;
    std::mutex mutex_;
    std::map<std::pair<std::string, std::string>, rate_limit>
        rate_limits_; // by event name and kind, a fixed set
    std::atomic<std::uint64_t> suppressed_{0};
    ring<record> queue_;
    std::unique_ptr<duty> writer_;
};

enum class log_stream : std::uint8_t { standard_output, standard_error };
// Initializes glog. Tools that print results to standard output log to standard error.
void start_logging(char const* program, log_stream to);

} // namespace toucanusher
