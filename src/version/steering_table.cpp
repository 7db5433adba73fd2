#include "toucanusher/version/steering_table.h"

#include <algorithm>
#include <numeric>
#include <utility>

#include <xxhash.h>

namespace toucanusher {

namespace {

// Depends on the upstream but not on its incarnation, so that a restarted upstream prefers the same
// buckets.
std::uint64_t rendezvous_score(std::uint32_t bucket, upstream_id upstream) {
    std::uint64_t const pair = (std::uint64_t{bucket} << 32U) | value_of(upstream);
    return XXH3_64bits(&pair, sizeof pair);
}

// Returns bucket counts in proportion to weight that add up to all buckets. The remainder goes to
// the largest fractions; between equal fractions, to the members that hold more buckets now, so
// that fewer buckets move.
std::vector<std::uint32_t> quotas(std::vector<weighted_upstream> const& members,
                                  std::vector<std::uint32_t> const& held) {
    std::uint64_t const total = std::accumulate(
        members.begin(), members.end(), std::uint64_t{0},
        [](std::uint64_t sum, weighted_upstream const& member) { return sum + member.weight; });
    std::vector<std::uint32_t> result(members.size(), 0);
    if (total == 0)
        return result;
    std::vector<std::uint64_t> fraction(members.size());
    std::uint32_t left = buckets_per_service;
    for (std::size_t i = 0; i < members.size(); ++i) {
        std::uint64_t const share = std::uint64_t{buckets_per_service} * members[i].weight;
        result[i] = static_cast<std::uint32_t>(share / total);
        fraction[i] = share % total;
        left -= result[i];
    }
    std::vector<std::size_t> order(members.size());
    std::iota(order.begin(), order.end(), 0U);
    std::stable_sort(order.begin(), order.end(), [&](std::size_t a, std::size_t b) {
        return std::pair{fraction[a], held[a]} > std::pair{fraction[b], held[b]};
    });
    for (std::size_t i = 0; left > 0; ++i, --left)
        ++result[order[i]];
    return result;
}

// Sorts buckets by their highest rendezvous score among the receivers, lowest first.
void sort_by_highest_score(std::vector<std::uint32_t>& buckets,
                           std::vector<upstream_id> const& receivers) {
    std::vector<std::pair<std::uint64_t, std::uint32_t>> ranked;
    for (std::uint32_t const bucket : buckets) {
        std::uint64_t highest_score = 0;
        for (upstream_id const receiver : receivers)
            highest_score = std::max(highest_score, rendezvous_score(bucket, receiver));
        ranked.emplace_back(highest_score, bucket);
    }
    std::sort(ranked.begin(), ranked.end());
    for (std::size_t i = 0; i < buckets.size(); ++i)
        buckets[i] = ranked[i].second;
}

} // namespace

steering_table steering_table::rebalanced(std::vector<weighted_upstream> const& live,
                                          version_number version) const {
    std::vector<weighted_upstream> sorted = live;
    std::sort(sorted.begin(), sorted.end(),
              [](auto const& a, auto const& b) { return a.ref < b.ref; });
    steering_table next;
    next.version_ = version;
    for (auto const& member : sorted)
        next.members_.push_back(member.ref);
    next.owners_.assign(buckets_per_service, no_owner);
    std::vector<version_number> since(buckets_per_service);
    for (std::uint32_t bucket = 0; bucket < buckets_per_service; ++bucket)
        since[bucket] = owned_since(bucket_number{bucket});
    auto const index_of = [&](upstream_ref ref) {
        return next.member_index(ref).value_or(no_owner);
    };

    std::vector<std::vector<std::uint32_t>> held(sorted.size());
    for (std::uint32_t bucket = 0; bucket < buckets_per_service; ++bucket) {
        upstream_ref const* const old_owner = owner(bucket_number{bucket});
        std::uint16_t const index = old_owner == nullptr ? no_owner : index_of(*old_owner);
        if (index != no_owner)
            held[index].push_back(bucket);
    }
    std::vector<std::uint32_t> counts;
    for (auto const& buckets : held)
        counts.push_back(static_cast<std::uint32_t>(buckets.size()));
    auto const quota = quotas(sorted, counts);

    // Members above their quota give up the buckets with the highest scores among those below.
    std::vector<upstream_id> receivers;
    for (std::size_t i = 0; i < sorted.size(); ++i)
        if (counts[i] < quota[i])
            receivers.push_back(sorted[i].ref.id);
    for (std::size_t i = 0; i < sorted.size(); ++i) {
        std::size_t const kept = std::min<std::size_t>(held[i].size(), quota[i]);
        if (kept < held[i].size())
            sort_by_highest_score(held[i], receivers);
        for (std::size_t k = 0; k < kept; ++k)
            next.owners_[held[i][k]] = static_cast<std::uint16_t>(i);
        counts[i] = static_cast<std::uint32_t>(kept);
    }
    // Free buckets go to the member with the highest score among those below their quota.
    for (std::uint32_t bucket = 0; bucket < buckets_per_service; ++bucket) {
        if (next.owners_[bucket] != no_owner)
            continue;
        std::uint64_t best_score = 0;
        for (std::size_t i = 0; i < sorted.size(); ++i) {
            if (counts[i] >= quota[i])
                continue;
            std::uint64_t const score = rendezvous_score(bucket, sorted[i].ref.id);
            if (next.owners_[bucket] != no_owner && score <= best_score)
                continue;
            best_score = score;
            next.owners_[bucket] = static_cast<std::uint16_t>(i);
        }
        if (next.owners_[bucket] != no_owner)
            ++counts[next.owners_[bucket]];
    }

    for (std::uint32_t raw = 0; raw < buckets_per_service; ++raw) {
        bucket_number const bucket{raw};
        std::vector<upstream_ref> earlier_owners = predecessors(bucket);
        upstream_ref const* const old_owner = owner(bucket);
        upstream_ref const* const new_owner = next.owner(bucket);
        bool const owner_unchanged =
            old_owner != nullptr && new_owner != nullptr && *old_owner == *new_owner;
        if (old_owner != nullptr && !owner_unchanged)
            earlier_owners.push_back(*old_owner);
        std::erase_if(earlier_owners, [&](upstream_ref ref) {
            return index_of(ref) == no_owner || (new_owner != nullptr && ref == *new_owner);
        });
        if (earlier_owners.size() > max_predecessors && old_owner != nullptr &&
            index_of(*old_owner) != no_owner) {
            // More predecessors would make new flows wait for too many answers: keep the owner.
            next.owners_[raw] = index_of(*old_owner);
            earlier_owners.pop_back();
        } else if (!owner_unchanged) {
            since[raw] = version;
        }
        std::sort(earlier_owners.begin(), earlier_owners.end());
        for (upstream_ref const ref : earlier_owners)
            next.predecessors_.push_back({static_cast<std::uint16_t>(raw), index_of(ref)});
    }
    next.set_epochs(since);
    return next;
}

steering_table steering_table::without_predecessor(upstream_ref upstream,
                                                   std::vector<bucket_number> const& buckets,
                                                   version_number fence,
                                                   version_number version) const {
    steering_table next = *this;
    auto const member = member_index(upstream);
    if (!member)
        return next;
    std::vector<bool> listed(buckets_per_service, false);
    for (bucket_number const bucket : buckets)
        // An older report may precede a later period in which the upstream owned the bucket again.
        listed[value_of(bucket)] = fence >= owned_since(bucket);
    std::size_t const removed = std::erase_if(next.predecessors_, [&](predecessor const& item) {
        return item.member == *member && listed[item.bucket];
    });
    if (removed > 0)
        next.version_ = version;
    return next;
}

std::vector<upstream_ref> steering_table::predecessors(bucket_number bucket) const {
    std::vector<upstream_ref> result;
    auto at = first_predecessor(bucket);
    for (; at != predecessors_.end() && at->bucket == value_of(bucket); ++at)
        result.push_back(members_[at->member]);
    return result;
}

bool steering_table::is_predecessor(upstream_ref upstream, bucket_number bucket) const {
    auto at = first_predecessor(bucket);
    for (; at != predecessors_.end() && at->bucket == value_of(bucket); ++at)
        if (members_[at->member] == upstream)
            return true;
    return false;
}

std::size_t steering_table::predecessor_buckets_of(upstream_ref upstream) const {
    auto const member = member_index(upstream);
    return static_cast<std::size_t>(
        std::count_if(predecessors_.begin(), predecessors_.end(),
                      [&](predecessor const& item) { return item.member == member; }));
}

version_number steering_table::owned_since(bucket_number bucket) const {
    return epochs_.empty() ? version_number{} : epoch_versions_[epochs_[value_of(bucket)]];
}

std::size_t steering_table::buckets_of(upstream_ref upstream) const {
    return static_cast<std::size_t>(
        std::count_if(owners_.begin(), owners_.end(), [&](std::uint16_t index) {
            return index != no_owner && members_[index] == upstream;
        }));
}

std::size_t steering_table::memory_bytes() const {
    return sizeof *this + members_.capacity() * sizeof(upstream_ref) +
           (owners_.capacity() + epochs_.capacity()) * sizeof(std::uint16_t) +
           epoch_versions_.capacity() * sizeof(version_number) +
           predecessors_.capacity() * sizeof(predecessor);
}

steering_table::contents steering_table::save() const {
    return {version_, members_, owners_, epochs_, epoch_versions_, predecessors_};
}

bool steering_table::restore(contents saved) {
    auto const below = [](std::size_t limit) {
        return [limit](std::uint16_t index) { return index < limit; };
    };
    bool const size_valid = saved.owners.empty() || saved.owners.size() == buckets_per_service;
    bool const owners_valid =
        std::all_of(saved.owners.begin(), saved.owners.end(), [&](std::uint16_t index) {
            return index == no_owner || index < saved.members.size();
        });
    bool const epochs_valid =
        saved.epochs.size() == saved.owners.size() &&
        std::all_of(saved.epochs.begin(), saved.epochs.end(), below(saved.epoch_versions.size()));
    bool const predecessors_valid =
        std::is_sorted(saved.predecessors.begin(), saved.predecessors.end()) &&
        std::all_of(
            saved.predecessors.begin(), saved.predecessors.end(), [&](predecessor const& item) {
                return item.bucket < buckets_per_service && item.member < saved.members.size();
            });
    bool const members_sorted = std::is_sorted(saved.members.begin(), saved.members.end());
    if (!size_valid || !owners_valid || !epochs_valid || !predecessors_valid || !members_sorted)
        return false;
    version_ = saved.version;
    members_ = std::move(saved.members);
    owners_ = std::move(saved.owners);
    epochs_ = std::move(saved.epochs);
    epoch_versions_ = std::move(saved.epoch_versions);
    predecessors_ = std::move(saved.predecessors);
    return true;
}

std::vector<steering_table::predecessor>::const_iterator
steering_table::first_predecessor(bucket_number bucket) const {
    predecessor const first{static_cast<std::uint16_t>(value_of(bucket)), 0};
    return std::lower_bound(predecessors_.begin(), predecessors_.end(), first);
}

std::optional<std::uint16_t> steering_table::member_index(upstream_ref upstream) const {
    auto const at = std::lower_bound(members_.begin(), members_.end(), upstream);
    bool const found = at != members_.end() && *at == upstream;
    return found ? std::optional{static_cast<std::uint16_t>(at - members_.begin())} : std::nullopt;
}

void steering_table::set_epochs(std::vector<version_number> const& since) {
    epoch_versions_ = since;
    std::sort(epoch_versions_.begin(), epoch_versions_.end());
    epoch_versions_.erase(std::unique(epoch_versions_.begin(), epoch_versions_.end()),
                          epoch_versions_.end());
    epoch_versions_.shrink_to_fit();
    epochs_.clear();
    epochs_.reserve(since.size());
    for (version_number const version : since) {
        auto const at = std::lower_bound(epoch_versions_.begin(), epoch_versions_.end(), version);
        epochs_.push_back(static_cast<std::uint16_t>(at - epoch_versions_.begin()));
    }
}

} // namespace toucanusher
