#include "toucanusher/connection/flow_table.h"

#include <algorithm>

namespace toucanusher {

flow_table::flow_table(flow_table_options options) : options_(options) {}

flow_entry* flow_table::find(flow_key const& flow) {
    auto const found = index_.find(flow);
    return found == index_.end() ? nullptr : &slots_[found->second - 1];
}

flow_entry* flow_table::entry_at(std::uint32_t slot) {
    if (slot == 0 || slot > slots_.size() || !slots_[slot - 1].open)
        return nullptr;
    return &slots_[slot - 1];
}

std::optional<std::uint32_t> flow_table::slot_of(flow_key const& flow) const {
    auto const found = index_.find(flow);
    return found == index_.end() ? std::nullopt : std::optional{found->second};
}

std::optional<std::uint32_t> flow_table::open(time_point now, flow_key const& flow,
                                              bucket_number bucket) {
    if (index_.size() >= options_.max_flows || index_.contains(flow))
        return std::nullopt;
    // Slots that were restored since are no longer free.
    while (!free_slots_.empty() && slots_[free_slots_.front().slot - 1].open)
        free_slots_.pop_front();
    std::uint32_t slot = 0;
    if (!free_slots_.empty() && free_slots_.front().usable_at <= now) {
        slot = free_slots_.front().slot;
        free_slots_.pop_front();
    } else if (slots_.size() < 2 * std::size_t{options_.max_flows}) {
        slot = static_cast<std::uint32_t>(slots_.size()) + 1;
    } else {
        return std::nullopt;
    }
    occupy(now, flow, bucket, slot);
    return slot;
}

bool flow_table::restore(time_point now, flow_key const& flow, bucket_number bucket,
                         std::uint32_t slot) {
    bool const in_range = slot > 0 && slot <= 2 * std::size_t{options_.max_flows};
    if (!in_range || index_.contains(flow) || entry_at(slot) != nullptr)
        return false;
    while (slots_.size() + 1 < slot) {
        slots_.emplace_back();
        free_slots_.push_back(
            {static_cast<std::uint32_t>(slots_.size()), now + options_.slot_reuse_delay});
    }
    occupy(now, flow, bucket, slot);
    return true;
}

void flow_table::close(time_point now, std::uint32_t slot) {
    flow_entry* const entry = entry_at(slot);
    if (entry == nullptr)
        return;
    index_.erase(entry->flow);
    --flows_per_bucket_[value_of(entry->bucket)];
    entry->open = false;
    free_slots_.push_back({slot, now + options_.slot_reuse_delay});
}

std::vector<std::uint32_t> flow_table::find_idle(time_point idle_since, std::uint32_t budget) {
    std::vector<std::uint32_t> idle;
    auto const count = static_cast<std::uint32_t>(slots_.size());
    for (std::uint32_t scanned = 0; scanned < std::min(budget, count); ++scanned) {
        scan_position_ = scan_position_ >= count ? 0 : scan_position_;
        flow_entry const& entry = slots_[scan_position_];
        ++scan_position_;
        if (entry.open && entry.last_packet < idle_since)
            idle.push_back(scan_position_);
    }
    return idle;
}

std::uint32_t flow_table::flows_in(bucket_number bucket) const {
    std::size_t const index = value_of(bucket);
    return index < flows_per_bucket_.size() ? flows_per_bucket_[index] : 0;
}

std::size_t flow_table::memory_bytes() const {
    constexpr std::size_t index_slot = sizeof(flow_key) + sizeof(std::uint32_t) + 1;
    return slots_.capacity() * sizeof(flow_entry) + index_.capacity() * index_slot +
           free_slots_.size() * sizeof(free_slot) +
           flows_per_bucket_.capacity() * sizeof(std::uint32_t);
}

void flow_table::occupy(time_point now, flow_key const& flow, bucket_number bucket,
                        std::uint32_t slot) {
    if (slot > slots_.size())
        slots_.emplace_back();
    slots_[slot - 1] = {flow, bucket, {}, now, true};
    index_.emplace(flow, slot);
    if (value_of(bucket) >= flows_per_bucket_.size())
        flows_per_bucket_.resize(value_of(bucket) + 1);
    ++flows_per_bucket_[value_of(bucket)];
}

} // namespace toucanusher
