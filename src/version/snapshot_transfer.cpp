#include "toucanusher/version/snapshot_transfer.h"

#include <algorithm>
#include <utility>

#include <xxhash.h>

namespace toucanusher {

std::shared_ptr<encoded_snapshot const> make_snapshot(version_number version, std::string encoded) {
    snapshot_id const id{version, XXH3_64bits(encoded.data(), encoded.size()), encoded.size()};
    return std::make_shared<encoded_snapshot const>(encoded_snapshot{id, std::move(encoded)});
}

snapshot_sender::snapshot_sender(snapshot_transfer_options options,
                                 std::shared_ptr<encoded_snapshot const> snapshot, time_point now,
                                 std::optional<snapshot_progress> const& progress)
    : options_(options), snapshot_(std::move(snapshot)), window_(options.first_window),
      last_report_(now), last_progress_(now) {
    if (progress && progress->snapshot == snapshot_->id)
        received_ = next_ = std::min<std::uint64_t>(progress->received, snapshot_->id.size);
}

void snapshot_sender::on_report(time_point now, std::optional<snapshot_progress> const& progress) {
    last_report_ = now;
    if (!progress && received_ > 0) { // the daemon has discarded a damaged snapshot
        received_ = next_ = 0;
        window_ = options_.first_window;
    }
    if (!progress || progress->snapshot != snapshot_->id || progress->received <= received_)
        return;
    received_ = std::min<std::uint64_t>(progress->received, snapshot_->id.size);
    next_ = std::max(next_, received_);
    window_ = std::min(window_ * 2, options_.max_window);
    last_progress_ = now;
}

std::vector<snapshot_part> snapshot_sender::next_parts(time_point now) {
    std::uint64_t const end = std::min<std::uint64_t>(snapshot_->id.size, received_ + window_);
    if (!has_parts_in_transit() && next_ < end)
        last_progress_ = now;
    std::vector<snapshot_part> parts;
    while (next_ < end) {
        std::uint64_t const size = std::min<std::uint64_t>(options_.max_part, end - next_);
        parts.push_back({snapshot_->id, next_, snapshot_->bytes.substr(next_, size)});
        next_ += size;
    }
    return parts;
}

bool snapshot_sender::repeat_if_due(time_point now) {
    std::chrono::duration<double> const transfer_time{
        static_cast<double>(next_ - received_) / static_cast<double>(options_.min_transfer_rate)};
    duration const timeout =
        options_.report_timeout + std::chrono::duration_cast<duration>(transfer_time);
    // Nothing is repeated to a daemon that has been silent since.
    bool const is_due =
        has_parts_in_transit() && last_report_ > last_progress_ && now - last_progress_ >= timeout;
    if (!is_due)
        return false;
    next_ = received_;
    window_ = options_.first_window;
    return true;
}

std::optional<std::string> snapshot_receiver::on_part(snapshot_part const& part) {
    if (part.snapshot.size > options_.max_snapshot_bytes)
        return std::nullopt;
    if (id_ != part.snapshot) {
        if (part.offset != 0)
            return std::nullopt;
        id_ = part.snapshot;
        bytes_.clear();
    }
    bool const follows =
        part.offset == bytes_.size() && part.bytes.size() <= id_->size - bytes_.size();
    if (!follows)
        return std::nullopt;
    bytes_ += part.bytes;
    if (bytes_.size() < id_->size)
        return std::nullopt;
    std::string complete = std::move(bytes_);
    bool const is_intact = XXH3_64bits(complete.data(), complete.size()) == id_->digest;
    clear();
    if (!is_intact)
        return std::nullopt;
    return complete;
}

std::optional<snapshot_progress> snapshot_receiver::progress() const {
    if (!id_)
        return std::nullopt;
    return snapshot_progress{*id_, bytes_.size()};
}

void snapshot_receiver::clear() {
    id_.reset();
    bytes_.clear();
}

} // namespace toucanusher
