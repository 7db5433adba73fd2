// The settings of a service, with their types and defaults, and the validation of their text form.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "toucanusher/process/endpoint.h"
#include "toucanusher/process/findings.h"

namespace toucanusher {

enum class service_kind : std::uint8_t { session, request };

// The settings of one service that are in force at one version.
struct service_settings {
    service_kind kind = service_kind::session;
    endpoint address;                 // where callers reach the service; not served if empty
    bool admit = true;                // false: balancers refuse new and existing work
    std::uint32_t packet_rate = 0;    // packets per second that a balancer forwards; 0: no limit
    std::uint32_t slots = 0;          // concurrent requests per upstream; 0: as announced
    std::uint32_t queue_length = 64;  // requests that wait at one upstream, all classes
    std::uint32_t urgent_share = 60;  // percent of dispatches for class urgent
    std::uint32_t normal_share = 30;  // percent for class normal
    std::uint32_t bulk_share = 10;    // percent for class bulk
    std::uint32_t retry_percent = 10; // attempts beyond the first, per hundred requests
    std::chrono::milliseconds deadline{5000};     // of requests that carry none
    std::chrono::milliseconds drain_time{10000};  // longest wait of a draining upstream
    std::chrono::milliseconds idle_time{3600000}; // a session without packets ends after this time
    std::vector<std::string> balancers;           // names that serve it; empty: all
    std::vector<std::string> upstreams;           // names that may serve; empty: all

    friend bool operator==(service_settings const&, service_settings const&) = default;
};

// Returns the names of all settings, sorted.
std::vector<std::string> const& setting_keys();
// Returns a line that describes the setting, its format and its default; empty for an unknown key.
std::string describe_setting(std::string const& key);
// Parses `text` into the field named by `key`. On an error, adds a finding and leaves `settings`
// unchanged.
void assign_setting(service_settings& settings, std::string const& key, std::string const& text,
                    findings& found, source_location const& where);

} // namespace toucanusher
