// An operator's client of the control hosts: finds the leader, and resends a request with the same
// id until it is answered or the timeout has passed.
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
    std::string key;                   // name of the key that seals requests
    std::chrono::milliseconds timeout{10000};
    std::chrono::milliseconds host_timeout{1000}; // for the answer of one host
    bool require_leader = true;                   // false: any host may answer from its own state
};

class operator_client {
  public:
    operator_client(operator_options options, envelope const& sealer, clock const& clock);

    // Returns Unavailable if no host answers in time; the outcome of a write is then unknown.
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
