// A daemon's settings file: what one process must know before it can reach the fleet.
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
    std::string name; // from the section's name
    std::string service;
    endpoint http;    // health, and requests of request services
    endpoint session; // datagrams of session services
    std::uint32_t slots = 1;
    std::uint16_t source_port = 0;        // sessions leave from 127.64.0.0/10 with this port
    std::chrono::milliseconds ramp{3000}; // from cold to full share
};

// Addresses of a front end that carries the packets of flows whose ends are callers and upstreams,
// without ending the flows itself.
struct forwarding_config {
    endpoint forwarding; // packets and notices of the system's discovered processes
    endpoint readiness;  // HTTP: whether the fabric may send new work here
    // balancer
    endpoint callers;                       // where the fabric delivers callers' packets
    std::chrono::milliseconds linger{1500}; // a stopping balancer still carries packets
    // agent
    endpoint from_upstream; // where the upstream sends its packets
    endpoint upstream;      // takes packets, and HTTP health checks
    endpoint announcements; // HTTP: where the upstream announces itself
    std::string service;
    std::uint16_t caller_port = 0; // callers take packets at their address and this port
};

// A control host that finds its fellows by itself.
struct discovered_control_config {
    endpoint listen; // links of other hosts and daemons
    endpoint api;    // HTTP: the operator's calls
    endpoint readiness;
    bool may_found = false; // the fleet starts for the first time
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
    // Instead of control_hosts: HTTP addresses of some control hosts, and the port of their links.
    std::vector<endpoint> seeds;
    std::uint16_t link_port = 0;
    std::optional<forwarding_config> packets;
    std::optional<discovered_control_config> discovered_control;
    // balancer
    endpoint replies;
    // Where callers' packets arrive if the fabric rewrites their destination: port 0, and the
    // services' discovered ports are used. Empty: packets arrive at the services' addresses.
    endpoint local;
    std::chrono::milliseconds linger{1500}; // a stopping balancer still passes packets
    // agent
    endpoint agent;
    std::vector<upstream_config> upstreams;
    // control
    host_id id{};
    std::string data_folder;
    std::chrono::milliseconds member_lease{4000};
};

// The link addresses of the seeds.
std::vector<endpoint> seed_link_addresses(daemon_config const& config);

// Reads and checks the whole file; all faults are reported together.
absl::StatusOr<daemon_config> load_daemon_config(std::string const& path);
daemon_config parse_daemon_config(ini_file const& file, findings& found);

} // namespace toucanusher
