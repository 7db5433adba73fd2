// Which upstream owns each bucket of a service, and which earlier owners may still hold its flows.
//
// Owners are chosen by rendezvous hashing with a bounded load: each upstream gets a number of
// buckets in proportion to its weight, to within one, and a change moves only the buckets that the
// new numbers force. An owner that loses a bucket stays its predecessor until it reports that it
// holds no flow of it, or until it is gone.
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "toucanusher/process/ids.h"

namespace toucanusher {

constexpr std::uint32_t buckets_per_service = 1024;

struct weighted_upstream {
    upstream_ref ref;
    std::uint32_t weight = 0; // slots times readiness; 0 owns nothing
};

class steering_table {
  public:
    // Upper bound of predecessors of one bucket; beyond it moves wait until one drops out.
    static constexpr std::size_t max_predecessors = 32;

    // The table after a change of membership. `live` holds every upstream that still exists,
    // draining ones included with weight 0; `version` marks the tables that differ from this one.
    [[nodiscard]] steering_table rebalanced(std::vector<weighted_upstream> const& live,
                                            version_number version) const;
    // The table after `upstream` reported that it holds no flow of `buckets` and opens none in
    // them for versions below `fence`. Buckets that it has owned since then are left alone.
    [[nodiscard]] steering_table without_predecessor(upstream_ref upstream,
                                                     std::vector<bucket_number> const& buckets,
                                                     version_number fence,
                                                     version_number version) const;

    // Null while nobody owns the bucket.
    [[nodiscard]] upstream_ref const* owner(bucket_number bucket) const {
        std::uint16_t const index = owners_.empty() ? no_owner : owners_[value_of(bucket)];
        return index == no_owner ? nullptr : &members_[index];
    }
    // The position of the owner in members(); only if there is one.
    [[nodiscard]] std::optional<std::size_t> owner_index(bucket_number bucket) const {
        std::uint16_t const index = owners_.empty() ? no_owner : owners_[value_of(bucket)];
        return index == no_owner ? std::nullopt : std::optional<std::size_t>{index};
    }
    [[nodiscard]] std::vector<upstream_ref> predecessors(bucket_number bucket) const;
    [[nodiscard]] bool is_predecessor(upstream_ref upstream, bucket_number bucket) const;
    [[nodiscard]] std::size_t predecessor_buckets_of(upstream_ref upstream) const;
    // The version in which the bucket's owner last changed.
    [[nodiscard]] version_number owned_since(bucket_number bucket) const;
    [[nodiscard]] version_number version() const { return version_; }
    [[nodiscard]] std::vector<upstream_ref> const& members() const { return members_; }
    [[nodiscard]] std::size_t buckets_of(upstream_ref upstream) const;
    [[nodiscard]] std::size_t memory_bytes() const;

    // One earlier owner of one bucket.
    struct predecessor {
        std::uint16_t bucket = 0;
        std::uint16_t member = 0; // index into members

        friend auto operator<=>(predecessor const&, predecessor const&) = default;
    };

    // Contents for a snapshot.
    struct contents {
        version_number version{};
        std::vector<upstream_ref> members;
        std::vector<std::uint16_t> owners; // index into members, or 0xffff
        std::vector<std::uint16_t> epochs; // index into epoch_versions
        std::vector<version_number> epoch_versions;
        std::vector<predecessor> predecessors;
    };
    [[nodiscard]] contents save() const;
    // False if the contents break an invariant.
    [[nodiscard]] bool restore(contents saved);

    friend bool operator==(steering_table const&, steering_table const&) = default;

  private:
    static constexpr std::uint16_t no_owner = 0xffff;

    [[nodiscard]] std::vector<predecessor>::const_iterator
    first_predecessor(bucket_number bucket) const;
    [[nodiscard]] std::optional<std::uint16_t> member_index(upstream_ref upstream) const;
    void set_epochs(std::vector<version_number> const& since);

    version_number version_{};
    std::vector<upstream_ref> members_;          // sorted; every live upstream of the service
    std::vector<std::uint16_t> owners_;          // empty or one index into members_ a bucket
    std::vector<std::uint16_t> epochs_;          // same length; index into epoch_versions_
    std::vector<version_number> epoch_versions_; // distinct, each used by a bucket
    // Sorted; never the bucket's owner; at most max_predecessors a bucket.
    std::vector<predecessor> predecessors_;
};

} // namespace toucanusher
