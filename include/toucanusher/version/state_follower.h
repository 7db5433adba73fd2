// A daemon's replica of the fleet state. It applies updates in order, never returns to an older
// version, and tells whether its version is known to be no older than the start of this process.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include <absl/status/statusor.h>

#include "toucanusher/process/clock.h"
#include "toucanusher/version/control_message.h"
#include "toucanusher/version/fleet_state.h"
#include "toucanusher/version/snapshot_transfer.h"

namespace toucanusher {

struct state_codec {
    std::function<absl::StatusOr<fleet_command>(std::string const&)> decode_command;
    std::function<absl::StatusOr<fleet_state>(std::string const&)> decode_state;
    std::function<std::string(fleet_command const&)> encode_command;
    std::function<std::string(fleet_state const&)> encode_state;
};

enum class update_outcome : std::uint8_t {
    applied,
    partial, // a part of a snapshot that is not complete yet
    nothing_new,
    gap,
    malformed,
};

class state_follower {
  public:
    state_follower(state_codec codec, std::uint64_t process_instance);

    update_outcome on_update(time_point now, state_update const& update);

    // Returns the newest state. It is immutable, so callers may keep it.
    [[nodiscard]] std::shared_ptr<fleet_state const> state() const { return state_; }
    [[nodiscard]] version_number version() const { return state_->version(); }
    // Returns true once a version that a control host confirmed as fresh for this process is
    // applied.
    [[nodiscard]] bool confirmed() const { return confirmed_; }
    // Returns what was received of a snapshot that is not complete yet.
    [[nodiscard]] std::optional<snapshot_progress> transfer() const { return receiver_.progress(); }
    // Returns the time of the last update from a control host.
    [[nodiscard]] time_point last_contact() const { return last_contact_; }

  private:
    update_outcome apply(state_update const& update);
    update_outcome apply(snapshot_part const& part);

    state_codec codec_;
    std::uint64_t process_instance_;
    std::shared_ptr<fleet_state const> state_; // never null; its version never decreases
    snapshot_receiver receiver_;
    bool confirmed_ = false; // never reset
    time_point last_contact_{};
};

} // namespace toucanusher
