// An operator's connection to the control hosts: finds the leader, and sends a request again, with
// the same id, until it has an answer or runs out of time.
#pragma once

#include <chrono>
#include <map>
#include <memory>
#include <string>

#include <absl/status/statusor.h>

#include "src/process/io/envelope.h"
#include "src/process/io/link.h"
#include "toucanusher/process/clock.h"
#include "toucanusher/process/ring.h"
#include "toucanusher/version/control_message.h"

namespace toucanusher {

struct operator_options {
    std::map<host_id, endpoint> hosts; // not empty
    std::string key;                   // name in the keyring that seals requests
    std::chrono::milliseconds timeout{10000};
    std::chrono::milliseconds host_timeout{1000}; // one host, before the next one is asked
    bool require_leader = true;                   // false: any host's own view will do
};

class operator_client {
  public:
    operator_client(operator_options options, envelope const& sealer, clock const& clock);

    // Unavailable if no host answered in time: the outcome of a write is then not known.
    absl::StatusOr<operator_answer> send_request(operator_request const& request);

  private:
    std::optional<operator_answer> try_host(host_id host, operator_request const& request,
                                            time_point deadline);
    [[nodiscard]] host_id next_host(host_id after) const;

    operator_options options_;
    envelope const& sealer_;
    clock const& clock_;
};

} // namespace toucanusher
