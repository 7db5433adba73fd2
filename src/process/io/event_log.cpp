#include "src/process/io/event_log.h"

#include <cstdio>

#include <glog/logging.h>

namespace toucanusher {

namespace {
constexpr duration rate_limit_window = std::chrono::seconds{1};
}

event_log::event_log(clock const& clock) : clock_(clock), queue_(queue_capacity) {
    writer_ = std::make_unique<duty>("log", [this] { write_loop(); });
}

event_log::~event_log() {
    queue_.close();
    writer_.reset();
}

void event_log::write(severity level, event_line const& line, std::uint32_t limit) {
    time_point const now = clock_.now();
    std::string text = line.text();
    {
        std::lock_guard const lock(mutex_);
        rate_limit& window = rate_limits_[{line.event(), line.kind()}];
        if (now - window.window_start >= rate_limit_window) {
            window.window_start = now;
            window.written = 0;
        }
        if (window.written >= limit) {
            ++window.suppressed;
            ++suppressed_;
            return;
        }
        ++window.written;
        if (window.suppressed > 0)
            text += " suppressed=" + std::to_string(std::exchange(window.suppressed, 0));
    }
    // Orders events of several processes even if the time of day is stepped.
    auto const since_boot =
        std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch());
    text += " boot_ms=" + std::to_string(since_boot.count());
    if (!queue_.try_push({level, std::move(text)}))
        ++suppressed_;
}

void event_log::write_loop() {
    while (auto const next = queue_.pop()) {
        switch (next->level) {
        case severity::info:
            LOG(INFO) << next->text;
            break;
        case severity::warning:
            LOG(WARNING) << next->text;
            break;
        case severity::error:
            LOG(ERROR) << next->text;
            break;
        }
        if (queue_.size() == 0)
            std::fflush(stdout); // glog does not flush standard output
    }
}

void start_logging(char const* program, log_stream to) {
    FLAGS_logtostdout = to == log_stream::standard_output;
    FLAGS_logtostderr = to == log_stream::standard_error;
    google::InitGoogleLogging(program);
}

} // namespace toucanusher
