// The owner of each bucket of a service, and the earlier owners that may still hold flows of it.
//
// Owners are chosen by rendezvous hashing with a bounded load: each upstream gets a number of
// buckets in proportion to its weight, to within one, and a change of membership moves only the
// buckets that the new numbers require. An owner that loses a bucket stays its predecessor until it
// reports that it holds no flow of the bucket, or until it is removed.
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "toucanusher/process/ids.h"

namespace toucanusher {

constexpr std::uint32_t buckets_per_service = 1024;

struct weighted_upstream {
    upstream_ref ref;
    std::uint32_t weight = 0; // slots times ready percentage; 0 owns no bucket
};

class steering_table {
  public:
    // Upper bound of the predecessors of one bucket. A bucket at this bound keeps its owner until a
    // predecessor is removed.
    static constexpr std::size_t max_predecessors = 32;

    // Returns the table after a change of membership. `live` holds every existing upstream,
    // including draining ones with weight 0. `version` is the version of the new table.
    [[nodiscard]] steering_table rebalanced(std::vector<weighted_upstream> const& live,
                                            version_number version) const;
    // Returns the table after `upstream` reported that it holds no flow of `buckets` and opens none
    // in them for versions below `fence`. Buckets whose owner changed after `fence` are unchanged.
    [[nodiscard]] steering_table without_predecessor(upstream_ref upstream,
                                                     std::vector<bucket_number> const& buckets,
                                                     version_number fence,
                                                     version_number version) const;

    // Returns null if the bucket has no owner.
    [[nodiscard]] upstream_ref const* owner(bucket_number bucket) const {
        std::uint16_t const index = owners_.empty() ? no_owner : owners_[value_of(bucket)];
        return index == no_owner ? nullptr : &members_[index];
    }
    // Returns the position of the owner in members(), if the bucket has one.
    [[nodiscard]] std::optional<std::size_t> owner_index(bucket_number bucket) const {
        std::uint16_t const index = owners_.empty() ? no_owner : owners_[value_of(bucket)];
        return index == no_owner ? std::nullopt : std::optional<std::size_t>{index};
    }
    [[nodiscard]] std::vector<upstream_ref> predecessors(bucket_number bucket) const;
    [[nodiscard]] bool is_predecessor(upstream_ref upstream, bucket_number bucket) const;
    [[nodiscard]] std::size_t predecessor_buckets_of(upstream_ref upstream) const;
    // Returns the version in which the bucket's owner last changed.
    [[nodiscard]] version_number owned_since(bucket_number bucket) const;
    [[nodiscard]] version_number version() const { return version_; }
    [[nodiscard]] std::vector<upstream_ref> const& members() const { return members_; }
    [[nodiscard]] std::size_t buckets_of(upstream_ref upstream) const;
    [[nodiscard]] std::size_t memory_bytes() const;

    // An earlier owner of a bucket.
    struct predecessor {
        std::uint16_t bucket = 0;
        std::uint16_t member = 0; // index into members

        friend auto operator<=>(predecessor const&, predecessor const&) = default;
    };

    // The table as a snapshot stores it.
    struct contents {
        version_number version{};
        std::vector<upstream_ref> members;
        std::vector<std::uint16_t> owners; // index into members, or 0xffff
        std::vector<std::uint16_t> epochs; // index into epoch_versions
        std::vector<version_number> epoch_versions;
        std::vector<predecessor> predecessors;
    };
    [[nodiscard]] contents save() const;
    // Returns false, with the table unchanged, if the contents break an invariant.
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
    std::vector<std::uint16_t> owners_;          // empty, or an index into members_ per bucket
    std::vector<std::uint16_t> epochs_;          // same length; index into epoch_versions_
    std::vector<version_number> epoch_versions_; // sorted, distinct, each used by a bucket
    // Sorted; never the bucket's owner; at most max_predecessors per bucket.
    std::vector<predecessor> predecessors_;
};

} // namespace toucanusher
