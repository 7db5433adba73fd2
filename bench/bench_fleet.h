// Fleet states of a given size for the benchmarks.
#pragma once

#include <memory>
#include <string>

#include <xxhash.h>

#include "toucanusher/connection/flow_key.h"
#include "toucanusher/version/fleet_state.h"

namespace toucanusher::bench {

inline std::uint64_t hash_flow(flow_key const& flow) {
    std::uint64_t const fields[2] = {
        (std::uint64_t{value_of(flow.service)} << 32U) | flow.caller.address, flow.caller.port};
    return XXH3_64bits(fields, sizeof fields);
}

inline endpoint service_address(std::size_t service) {
    return {0x0a000000U + static_cast<std::uint32_t>(service), 8000};
}

inline upstream_announcement make_upstream(std::size_t service, std::size_t number) {
    upstream_announcement announcement;
    announcement.service = "service-" + std::to_string(service);
    announcement.name = "upstream-" + std::to_string(number);
    announcement.incarnation = incarnation_id{number + 1};
    announcement.agent = {0x0b000000U + static_cast<std::uint32_t>(number), 7500};
    announcement.zone = "zone-" + std::to_string(number % 12);
    announcement.slots = 3;
    return announcement;
}

// Makes every previous bucket owner release its buckets, as if its flows had ended.
inline void release_all(fleet_state& state) {
    for (service_record const* service : state.services()) {
        auto const table = service->table;
        for (upstream_ref const ref : table->members()) {
            release_buckets release{ref, service->id, state.version(), {}};
            for (std::uint32_t i = 0; i < buckets_per_service; ++i)
                release.buckets.push_back(bucket_number{i});
            if (table->predecessor_buckets_of(ref) > 0)
                state.apply(release);
        }
    }
}

// Returns a fleet with `upstreams` spread evenly over `services` and no previous bucket owners.
inline std::shared_ptr<fleet_state> make_fleet(std::size_t services, std::size_t upstreams) {
    auto state = std::make_shared<fleet_state>();
    for (std::size_t s = 0; s < services; ++s)
        state->apply(write_claim{"a" + std::to_string(s),
                                 {"team", {"service-" + std::to_string(s), "address"}},
                                 to_string(service_address(s)),
                                 10,
                                 {}});
    for (std::size_t u = 0; u < upstreams; ++u)
        state->apply(announce_upstream{make_upstream(u % services, u), {}});
    release_all(*state);
    return state;
}

inline flow_key make_flow(std::uint32_t number, service_id service = service_id{1}) {
    return {service,
            transport::udp,
            {0x0c000000U + number / 50000, static_cast<std::uint16_t>(1000 + number % 50000)}};
}

} // namespace toucanusher::bench
