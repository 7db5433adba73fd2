// The transfer of a snapshot of the state to a daemon, in parts that the daemon acknowledges.
//
// A snapshot may take seconds over a link of low bandwidth. In parts, each one shows the daemon
// that the control host works, heartbeats pass between them, and a transfer that was interrupted
// goes on where it stopped, also from another control host that holds the same snapshot.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "toucanusher/process/clock.h"
#include "toucanusher/process/ids.h"
#include "toucanusher/version/update_delivery.h"

namespace toucanusher {

// Identifies the content of a snapshot. Control hosts that hold the same log make equal snapshots.
struct snapshot_id {
    version_number version{};
    std::uint64_t digest = 0; // hash of the encoded state
    std::uint64_t size = 0;   // of the encoded state, in bytes

    friend bool operator==(snapshot_id const&, snapshot_id const&) = default;
};

struct snapshot_part {
    snapshot_id snapshot;
    std::uint64_t offset = 0; // of `bytes` in the encoded state
    std::string bytes;

    friend bool operator==(snapshot_part const&, snapshot_part const&) = default;
};

// What a daemon has received of a snapshot: its first bytes.
struct snapshot_progress {
    snapshot_id snapshot;
    std::uint64_t received = 0;

    friend bool operator==(snapshot_progress const&, snapshot_progress const&) = default;
};

// An encoded state, shared by all transfers of it.
struct encoded_snapshot {
    snapshot_id id;
    std::string bytes;
};

std::shared_ptr<encoded_snapshot const> make_snapshot(version_number version, std::string encoded);

struct snapshot_transfer_options {
    // Bytes in transit. The first window is small, so that the first answer of a control host
    // arrives at once over any link; each acknowledged window doubles the next one.
    std::size_t first_window = 4U << 10U;
    std::size_t max_window = 32U << 10U;
    // Two parts a window: one arrives while the acknowledgement of the other is in transit.
    std::size_t max_part = 16U << 10U;
    // A part is acknowledged within this time after its transfer.
    duration report_timeout = std::chrono::milliseconds{400};
    std::uint64_t min_transfer_rate = min_control_transfer_rate; // bytes per second
    std::uint64_t max_snapshot_bytes = 64U << 20U; // larger ones are refused by the receiver
};

// The side of the control host.
class snapshot_sender {
  public:
    // Continues where the daemon's progress shows that it has received a part of this snapshot.
    snapshot_sender(snapshot_transfer_options options,
                    std::shared_ptr<encoded_snapshot const> snapshot, time_point now,
                    std::optional<snapshot_progress> const& progress);

    [[nodiscard]] version_number version() const { return snapshot_->id.version; }
    void on_report(time_point now, std::optional<snapshot_progress> const& progress);
    // Returns the parts that fit into the window.
    [[nodiscard]] std::vector<snapshot_part> next_parts(time_point now);
    // Returns true if parts were not acknowledged for too long; next_parts() then repeats them.
    bool repeat_if_due(time_point now);
    [[nodiscard]] bool has_parts_in_transit() const { return next_ > received_; }

  private:
    snapshot_transfer_options options_;
    std::shared_ptr<encoded_snapshot const> snapshot_; // never null
    std::uint64_t received_ = 0;                       // acknowledged by the daemon
    std::uint64_t next_ = 0;                           // at least received_
    std::size_t window_;
    time_point last_report_;
    time_point last_progress_; // or the last time that parts were sent with none in transit
};

// The side of the daemon.
class snapshot_receiver {
  public:
    explicit snapshot_receiver(snapshot_transfer_options options = {}) : options_(options) {}

    // Returns the encoded state once it is complete. A part that does not follow the received ones
    // is ignored.
    std::optional<std::string> on_part(snapshot_part const& part);
    // Returns nothing unless a transfer is in progress.
    [[nodiscard]] std::optional<snapshot_progress> progress() const;
    void clear();

  private:
    snapshot_transfer_options options_;
    std::optional<snapshot_id> id_;
    std::string bytes_; // the first ones of snapshot id_
};

} // namespace toucanusher
