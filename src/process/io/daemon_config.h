// A daemon's settings file: the local settings that a process needs before it can reach control.
#pragma once

#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <absl/status/statusor.h>

#include "src/process/io/ini_file.h"
#include "toucanusher/process/endpoint.h"
#include "toucanusher/process/findings.h"
#include "toucanusher/process/ids.h"

namespace toucanusher {

enum class process_role : std::uint8_t { balancer, agent, control };

struct upstream_config {
    std::string name; // from the section name, [upstream.NAME]
    std::string service;
    endpoint http;    // health checks, and requests of request services
    endpoint session; // datagrams of session services
    std::uint32_t slots = 1;
    std::uint16_t source_port = 0;        // of session packets, which are sent from 127.64.0.0/10
    std::chrono::milliseconds ramp{3000}; // warm-up time until the upstream gets its full share
};

// Addresses of a front end for forwarded flows: they end at caller and upstream, and the daemon
// only passes their packets.
struct forwarding_config {
    endpoint forwarding; // packets and notices from other balancers and agents
    endpoint readiness;  // HTTP: readiness checks by the fabric
    // balancer
    endpoint callers;                       // callers' packets, delivered by the fabric
    std::chrono::milliseconds linger{1500}; // time that a stopping balancer still forwards packets
    double link_megabits = 1000;            // per second; bandwidth of the host's network link
    // agent
    endpoint from_upstream; // packets sent by the upstream
    endpoint upstream;      // receives packets and HTTP health checks
    endpoint announcements; // HTTP: announcements of the upstream
    std::string service;
    std::uint16_t caller_port = 0; // destination port of packets to callers
};

// A control host that discovers the other control hosts through the seeds.
struct discovered_control_config {
    endpoint listen; // links from other control hosts and daemons
    endpoint api;    // HTTP: operator API
    endpoint readiness;
    bool may_found = false; // allowed to create a new fleet; for its first start
    std::uint32_t tolerated_losses = 1;
};

struct daemon_config {
    process_role role = process_role::balancer;
    std::string name;
    std::string zone;
    std::string key_file;
    std::chrono::milliseconds shutdown_deadline{10000};
    endpoint admin;
    std::map<host_id, endpoint> control_hosts;
    // Alternative to control_hosts: HTTP addresses of some control hosts, and their link port.
    std::vector<endpoint> seeds;
    std::uint16_t link_port = 0;
    std::optional<forwarding_config> packets;
    std::optional<discovered_control_config> discovered_control;
    // balancer
    endpoint replies;
    // Address that receives callers' packets if the fabric rewrites their destination. Its port is
    // 0; the port of each service is used. Empty: packets arrive at the services' addresses.
    endpoint local;
    std::chrono::milliseconds linger{1500}; // time that a stopping balancer still forwards packets
    // agent
    endpoint agent;
    std::vector<upstream_config> upstreams;
    // control
    host_id id{};
    std::string data_folder;
    std::chrono::milliseconds member_lease{4000};
};

// Returns the link addresses of the seeds.
std::vector<endpoint> seed_link_addresses(daemon_config const& config);

// Reads and validates the whole file. The error status lists all faults.
absl::StatusOr<daemon_config> load_daemon_config(std::string const& path);
daemon_config parse_daemon_config(ini_file const& file, findings& found);

} // namespace toucanusher
