// The agent's HTTP calls to an upstream: health, requests and cancellation.
#pragma once

#include <functional>
#include <string>

#include "src/process/io/http_client.h"
#include "toucanusher/request/request_executor.h"
#include "toucanusher/version/upstream_watch.h"

namespace toucanusher {

// Hooks are called on the HTTP client's duty.
class upstream_http {
  public:
    upstream_http(endpoint upstream, http_client& client) : upstream_(upstream), client_(client) {}

    void probe(std::function<void(probe_result)> on_done);
    void run(start_attempt const& attempt, std::function<void(attempt_result)> on_done);
    void cancel(cancel_attempt const& attempt,
                std::function<void(request_id, std::uint32_t, cancel_result_kind)> on_done);

  private:
    [[nodiscard]] std::string url(std::string const& path) const;

    endpoint upstream_;
    http_client& client_;
};

} // namespace toucanusher
