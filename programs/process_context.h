// State that every role of the daemon uses: settings, keys, clock, log, metrics and the hook that
// reports that the role has stopped.
#pragma once

#include <functional>
#include <memory>

#include "src/process/io/daemon_config.h"
#include "src/process/io/envelope.h"
#include "src/process/io/event_log.h"
#include "src/process/io/http_server.h"
#include "src/process/io/metrics.h"

namespace toucanusher {

struct process_context {
    daemon_config config;
    std::unique_ptr<key_store> keys; // null where links are not sealed
    std::unique_ptr<envelope> sealer;
    monotonic_clock clock;
    std::unique_ptr<event_log> events;
    metrics counters;
    std::uint64_t process_instance = 0; // differs between starts of this daemon, and grows
    std::function<void()> on_stopped;
};

// One role of the daemon. Destroying it ends its duties.
class daemon_process {
  public:
    virtual ~daemon_process() = default;
    // Starts a graceful stop; on_stopped is called when no work is left.
    virtual void begin_stop() = 0;
    // Replaces the seeds, after the settings file has changed.
    virtual void set_seeds(std::vector<endpoint> /*seeds*/) {}
    // Describes the work that an immediate stop would abort, for the log.
    [[nodiscard]] virtual std::string unfinished_work() const = 0;
};

// Serves /metrics, /health and /status. `status` returns JSON, `healthy` decides 200 or 503.
// Returns an error if the admin address cannot be opened.
absl::StatusOr<std::unique_ptr<http_server>> open_admin(process_context& context,
                                                        std::function<bool()> healthy,
                                                        std::function<std::string()> status);

} // namespace toucanusher
