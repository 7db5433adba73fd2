// Table of the flows that one upstream holds.
//
// Each flow has a numbered slot. The slot number selects the source address towards the upstream,
// so the flow of a reply is found without a second index. A slot is not reused for some time after
// its flow ended, so that a late packet of the upstream cannot reach another caller.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

#include <absl/container/flat_hash_map.h>

#include "toucanusher/connection/flow_key.h"
#include "toucanusher/process/clock.h"

namespace toucanusher {

struct flow_table_options {
    std::uint32_t max_flows = 300000;
    duration slot_reuse_delay = std::chrono::seconds{60};
};

struct flow_entry {
    flow_key flow;
    bucket_number bucket{};
    endpoint balancer; // forwarded the newest packet
    time_point last_packet{};
    bool open = false;
};

class flow_table {
  public:
    explicit flow_table(flow_table_options options = {});

    // Returns null if the flow is not in the table. The pointer is valid until the next open() or
    // restore().
    [[nodiscard]] flow_entry* find(flow_key const& flow);
    [[nodiscard]] flow_entry* entry_at(std::uint32_t slot);
    [[nodiscard]] std::optional<std::uint32_t> slot_of(flow_key const& flow) const;
    // Returns the slot of the new flow; nothing if the table is full or has the flow.
    std::optional<std::uint32_t> open(time_point now, flow_key const& flow, bucket_number bucket);
    // Restores a flow to its former slot. Returns false if the slot is taken or out of range, or
    // the flow is in the table.
    bool restore(time_point now, flow_key const& flow, bucket_number bucket, std::uint32_t slot);
    void close(time_point now, std::uint32_t slot);
    // Scans the next `budget` slots and returns those without a packet since `idle_since`.
    std::vector<std::uint32_t> find_idle(time_point idle_since, std::uint32_t budget);

    // Calls `visit(slot, entry)` for each open flow.
    template <typename Visit>
    void for_each(Visit visit) const {
        for (std::uint32_t slot = 1; slot <= slots_.size(); ++slot)
            if (slots_[slot - 1].open)
                visit(slot, slots_[slot - 1]);
    }

    [[nodiscard]] std::size_t size() const { return index_.size(); }
    [[nodiscard]] std::uint32_t flows_in(bucket_number bucket) const;
    [[nodiscard]] std::size_t memory_bytes() const;

  private:
    struct free_slot {
        std::uint32_t slot = 0;
        time_point usable_at{};
    };

    void occupy(time_point now, flow_key const& flow, bucket_number bucket, std::uint32_t slot);

    flow_table_options options_;
    std::vector<flow_entry> slots_; // slot n is slots_[n - 1]; slot 0 means none
    absl::flat_hash_map<flow_key, std::uint32_t> index_; // exactly the open slots
    std::deque<free_slot> free_slots_;                   // by ascending usable_at
    std::vector<std::uint32_t> flows_per_bucket_;
    std::uint32_t scan_position_ = 0; // next position of find_idle()
};

} // namespace toucanusher
