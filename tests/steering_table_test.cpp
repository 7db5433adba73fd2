// Tests the steering table: buckets in proportion to weights, minimal movement, and the chains of
// predecessors.
#include <algorithm>
#include <cmath>
#include <numeric>
#include <vector>

#include <doctest/doctest.h>

#include "toucanusher/process/random.h"
#include "toucanusher/version/steering_table.h"

namespace toucanusher::tests {

namespace {

upstream_ref ref(std::uint32_t id, std::uint64_t incarnation = 1) {
    return {upstream_id{id}, incarnation_id{incarnation}};
}

std::vector<weighted_upstream> equal_weights(std::uint32_t count) {
    std::vector<weighted_upstream> result;
    for (std::uint32_t i = 1; i <= count; ++i)
        result.push_back({ref(i), 300});
    return result;
}

std::size_t count_moved_buckets(steering_table const& a, steering_table const& b) {
    std::size_t count = 0;
    for (std::uint32_t i = 0; i < buckets_per_service; ++i)
        count += *a.owner(bucket_number{i}) == *b.owner(bucket_number{i}) ? 0 : 1;
    return count;
}

} // namespace

TEST_CASE("an empty table has no bucket owners") {
    steering_table const table;
    CHECK(table.owner(bucket_number{5}) == nullptr);
    CHECK(table.rebalanced({}, version_number{1}).owner(bucket_number{5}) == nullptr);
}

TEST_CASE("bucket counts are proportional to weights, to within one") {
    std::vector<weighted_upstream> const members = {{ref(1), 300}, {ref(2), 300}, {ref(3), 150}};
    auto const table = steering_table{}.rebalanced(members, version_number{1});
    for (weighted_upstream const& member : members) {
        double const expected = buckets_per_service * member.weight / 750.0;
        CHECK(std::abs(static_cast<double>(table.buckets_of(member.ref)) - expected) < 1.0);
    }
}

TEST_CASE("a join or a leave moves the least number of buckets") {
    auto const seven = steering_table{}.rebalanced(equal_weights(7), version_number{1});
    auto const eight = seven.rebalanced(equal_weights(8), version_number{2});
    CHECK(count_moved_buckets(seven, eight) == buckets_per_service / 8);
    auto six = equal_weights(7);
    six.pop_back();
    auto const after_leave = seven.rebalanced(six, version_number{2});
    CHECK(count_moved_buckets(seven, after_leave) == seven.buckets_of(ref(7)));
}

TEST_CASE("a returning upstream gets most of its buckets back") {
    auto const seven = steering_table{}.rebalanced(equal_weights(7), version_number{1});
    auto drained = equal_weights(7);
    drained[3].weight = 0;
    auto const after_drain = seven.rebalanced(drained, version_number{2});
    auto const readmitted = after_drain.rebalanced(equal_weights(7), version_number{3});
    std::size_t regained = 0;
    for (std::uint32_t i = 0; i < buckets_per_service; ++i)
        regained += *seven.owner(bucket_number{i}) == ref(4) &&
                            *readmitted.owner(bucket_number{i}) == ref(4)
                        ? 1
                        : 0;
    CHECK(readmitted.buckets_of(ref(4)) == seven.buckets_of(ref(4)));
    CHECK(regained * 2 > seven.buckets_of(ref(4)));
}

TEST_CASE("previous owners stay in the chain until they release the bucket or are removed") {
    auto const one = steering_table{}.rebalanced(equal_weights(1), version_number{1});
    auto const two = one.rebalanced(equal_weights(2), version_number{2});
    bucket_number moved_bucket{};
    for (std::uint32_t i = 0; i < buckets_per_service; ++i)
        if (*two.owner(bucket_number{i}) == ref(2))
            moved_bucket = bucket_number{i};
    REQUIRE(two.predecessors(moved_bucket) == std::vector{ref(1)});
    CHECK(two.owned_since(moved_bucket) == version_number{2});
    SUBCASE("a release at a version that has the move is applied") {
        auto const released =
            two.without_predecessor(ref(1), {moved_bucket}, version_number{2}, version_number{3});
        CHECK(released.predecessors(moved_bucket).empty());
    }
    SUBCASE("a release at an older version is ignored") {
        auto const kept =
            two.without_predecessor(ref(1), {moved_bucket}, version_number{1}, version_number{3});
        CHECK(kept.predecessors(moved_bucket) == std::vector{ref(1)});
    }
    SUBCASE("a removed incarnation leaves every chain") {
        auto const after_removal = two.rebalanced({{ref(2), 300}}, version_number{3});
        CHECK(after_removal.predecessors(moved_bucket).empty());
        CHECK(after_removal.buckets_of(ref(2)) == buckets_per_service);
    }
}

TEST_CASE("random changes preserve the table's invariants") {
    auto const random = make_seeded_random(11);
    steering_table table;
    std::vector<weighted_upstream> members;
    std::uint64_t incarnation = 1;
    for (std::uint64_t version = 1; version < 300; ++version) {
        if (members.size() < 2 || (members.size() < 9 && random() % 3 == 0))
            members.push_back(
                {ref(static_cast<std::uint32_t>(1 + random() % 12), incarnation++), 300});
        else if (random() % 3 == 0)
            members.erase(members.begin() + static_cast<std::ptrdiff_t>(random() % members.size()));
        else
            members[random() % members.size()].weight =
                static_cast<std::uint32_t>(random() % 4) * 100;
        table = table.rebalanced(members, version_number{version});
        std::uint32_t const total =
            std::accumulate(members.begin(), members.end(), 0U,
                            [](std::uint32_t sum, auto const& m) { return sum + m.weight; });
        for (std::uint32_t i = 0; i < buckets_per_service; ++i) {
            bucket_number const bucket{i};
            auto const& chain = table.predecessors(bucket);
            REQUIRE(chain.size() <= steering_table::max_predecessors);
            for (upstream_ref const predecessor : chain) {
                REQUIRE(std::any_of(members.begin(), members.end(),
                                    [&](auto const& m) { return m.ref == predecessor; }));
                REQUIRE((table.owner(bucket) == nullptr || *table.owner(bucket) != predecessor));
                REQUIRE(std::count(chain.begin(), chain.end(), predecessor) == 1);
            }
            REQUIRE((table.owner(bucket) != nullptr) == (total > 0));
        }
    }
}

} // namespace toucanusher::tests
