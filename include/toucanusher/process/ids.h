// Identifiers shared by all parts. Each is a distinct type, so that they cannot be mixed up.
#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <type_traits>

namespace toucanusher {

// Number of a service, assigned by the replicated log when the service first appears. Never reused.
enum class service_id : std::uint32_t {};
// Number of an upstream, assigned by the replicated log at its first announcement. Never reused.
enum class upstream_id : std::uint32_t {};
// Identifies one run of an upstream: changes whenever the upstream process is replaced.
enum class incarnation_id : std::uint64_t {};
// Version of the fleet state; incremented by each applied command.
enum class version_number : std::uint64_t {};
// Index in a service's steering table.
enum class bucket_number : std::uint32_t {};
// Number of a control host, from its settings file.
enum class host_id : std::uint32_t {};

template <typename Id>
constexpr auto value_of(Id id) {
    return static_cast<std::underlying_type_t<Id>>(id);
}

// One incarnation of an upstream.
struct upstream_ref {
    upstream_id id{};
    incarnation_id incarnation{};

    friend auto operator<=>(upstream_ref const&, upstream_ref const&) = default;
};

} // namespace toucanusher

template <>
struct std::hash<toucanusher::upstream_ref> {
    std::size_t operator()(toucanusher::upstream_ref const& ref) const noexcept {
        // Incarnations and ids are often incremented together, so they are mixed before they are
        // combined.
        constexpr std::uint64_t multiplier = 0x9e3779b97f4a7c15U;
        return (value_of(ref.incarnation) * multiplier + value_of(ref.id)) * multiplier >> 7U;
    }
};
