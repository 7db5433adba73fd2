#include "src/process/io/daemon_config.h"

#include <algorithm>

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>
#include <absl/strings/strip.h>

namespace toucanusher {

namespace {

constexpr std::uint32_t max_milliseconds = 600000;
constexpr std::uint32_t max_port_number = 65535;
constexpr double max_link_megabits = 1e6; // per second
constexpr std::uint32_t max_slots = 4096;
constexpr std::size_t max_control_hosts = 7;
constexpr std::uint32_t max_tolerated_losses = 3; // a majority of 7 control hosts remains
constexpr char const* upstream_prefix = "upstream.";

std::map<host_id, endpoint> read_control_hosts(section_reader& fleet) {
    std::map<host_id, endpoint> hosts;
    for (std::string const& item : fleet.read_list("control_hosts")) {
        std::pair<std::string, std::string> const parts =
            absl::StrSplit(item, absl::MaxSplits('@', 1));
        std::uint32_t id = 0;
        auto const where = parse_endpoint(parts.second);
        if (!absl::SimpleAtoi(parts.first, &id) || id == 0 || !where)
            fleet.add_error(
                "control_hosts",
                absl::StrCat("expects items such as 1@127.0.0.1:7101, not \"", item, "\""));
        else if (!hosts.try_emplace(host_id{id}, *where).second)
            fleet.add_error("control_hosts", absl::StrCat("host ", id, " is listed twice"));
    }
    if (hosts.size() > max_control_hosts)
        fleet.add_error("control_hosts", absl::StrCat("lists more than ", max_control_hosts));
    return hosts;
}

upstream_config read_upstream(ini_file const& file, std::string const& section, findings& found) {
    section_reader reader(file, section, found);
    upstream_config upstream;
    upstream.name = section.substr(std::string(upstream_prefix).size());
    if (upstream.name.empty())
        reader.add_error("", "the section name lacks the name of the upstream");
    upstream.service = reader.read_text("service", std::nullopt);
    upstream.http = reader.read_address("http", std::nullopt);
    upstream.session = reader.read_address("session", endpoint{});
    upstream.slots = reader.read_number("slots", 1, max_slots, 1);
    upstream.source_port = static_cast<std::uint16_t>(
        reader.read_number("source_port", 1, max_port_number, std::nullopt));
    upstream.ramp =
        reader.read_milliseconds("ramp_ms", 0, max_milliseconds, std::chrono::milliseconds{3000});
    reader.report_unknown_keys();
    return upstream;
}

forwarding_config read_packets(ini_file const& file, process_role role, findings& found) {
    section_reader reader(file, "packets", found);
    forwarding_config packets;
    packets.forwarding = reader.read_address("carrier", std::nullopt);
    packets.readiness = reader.read_address("readiness", std::nullopt);
    if (role == process_role::balancer) {
        packets.callers = reader.read_address("callers", std::nullopt);
        packets.linger = reader.read_milliseconds("linger_ms", 0, max_milliseconds, packets.linger);
        packets.link_megabits =
            reader.read_decimal("link_mbit_per_s", max_link_megabits, packets.link_megabits);
    } else {
        packets.from_upstream = reader.read_address("from_upstream", std::nullopt);
        packets.upstream = reader.read_address("upstream", std::nullopt);
        packets.announcements = reader.read_address("announcements", std::nullopt);
        packets.service = reader.read_text("service", std::nullopt);
        packets.caller_port = packets.forwarding.port;
    }
    reader.report_unknown_keys();
    return packets;
}

void read_control(ini_file const& file, daemon_config& config, findings& found) {
    section_reader reader(file, "control", found);
    // With seeds the data folder is optional: a process without one redirects calls to control
    // hosts.
    config.data_folder = reader.read_text(
        "data", config.seeds.empty() ? std::nullopt : std::optional{std::string{}});
    config.member_lease =
        reader.read_milliseconds("member_lease_ms", 1000, max_milliseconds, config.member_lease);
    if (config.seeds.empty()) {
        config.id = host_id{reader.read_number("id", 1, max_port_number, std::nullopt)};
        if (!config.control_hosts.contains(config.id))
            reader.add_error("id", "is not among [fleet] control_hosts");
    } else {
        discovered_control_config discovered;
        discovered.listen = reader.read_address("listen", std::nullopt);
        discovered.api = reader.read_address("api", std::nullopt);
        discovered.readiness = reader.read_address("readiness", std::nullopt);
        discovered.may_found = reader.read_text("may_found", "false") == "true";
        discovered.tolerated_losses =
            reader.read_number("tolerated_losses", 0, max_tolerated_losses, 1);
        config.discovered_control = discovered;
    }
    reader.report_unknown_keys();
}

std::vector<endpoint> read_seeds(section_reader& fleet) {
    std::vector<endpoint> seeds;
    for (std::string const& item : fleet.read_list("seeds")) {
        if (auto const where = parse_endpoint(item))
            seeds.push_back(*where);
        else
            fleet.add_error("seeds", absl::StrCat("expects addresses, not \"", item, "\""));
    }
    return seeds;
}

process_role read_role(section_reader& daemon) {
    std::string const role = daemon.read_text("role", std::nullopt);
    if (role == "balancer")
        return process_role::balancer;
    if (role == "agent")
        return process_role::agent;
    if (role == "control")
        return process_role::control;
    if (!role.empty())
        daemon.add_error("role",
                         absl::StrCat("expects balancer, agent or control, not \"", role, "\""));
    return process_role::balancer;
}

void read_role_sections(ini_file const& file, daemon_config& config, findings& found) {
    bool const carries_packets =
        config.role != process_role::control && !file.section("packets").empty();
    if (carries_packets) {
        config.packets = read_packets(file, config.role, found);
    } else if (config.role == process_role::balancer) {
        section_reader reader(file, "balancer", found);
        config.replies = reader.read_address("replies", std::nullopt);
        config.local = reader.read_address("local", endpoint{});
        config.linger = reader.read_milliseconds("linger_ms", 0, max_milliseconds, config.linger);
        reader.report_unknown_keys();
    } else if (config.role == process_role::agent) {
        section_reader reader(file, "agent", found);
        config.agent = reader.read_address("listen", std::nullopt);
        reader.report_unknown_keys();
        for (std::string const& section : file.sections())
            if (section.starts_with(upstream_prefix))
                config.upstreams.push_back(read_upstream(file, section, found));
        if (config.upstreams.empty())
            found.add({file.source(), 0, "[upstream.NAME]"}, "an agent needs at least one");
    } else {
        read_control(file, config, found);
    }
}

void check_sections(ini_file const& file, process_role role, findings& found) {
    std::vector<std::string> known = {"daemon", "fleet", "admin"};
    if (role != process_role::control)
        known.emplace_back("packets");
    known.emplace_back(role == process_role::balancer ? "balancer"
                       : role == process_role::agent  ? "agent"
                                                      : "control");
    for (std::string const& section : file.sections()) {
        bool const is_upstream =
            role == process_role::agent && section.starts_with(upstream_prefix);
        if (is_upstream || std::find(known.begin(), known.end(), section) != known.end())
            continue;
        std::string const near = nearest_name(section, known);
        found.add(file.where(section, ""),
                  near.empty() ? "unknown section for this role"
                               : absl::StrCat("unknown section; did you mean ", near, "?"));
    }
}

} // namespace

absl::StatusOr<daemon_config> load_daemon_config(std::string const& path) {
    findings found;
    auto const file = ini_file::load(path, found);
    if (!file.ok())
        return file.status();
    daemon_config config = parse_daemon_config(*file, found);
    if (!found.empty())
        return found.to_status();
    return config;
}

std::vector<endpoint> seed_link_addresses(daemon_config const& config) {
    std::vector<endpoint> links;
    for (endpoint const& seed : config.seeds)
        links.push_back({seed.address, config.link_port});
    return links;
}

daemon_config parse_daemon_config(ini_file const& file, findings& found) {
    daemon_config config;
    section_reader daemon(file, "daemon", found);
    config.role = read_role(daemon);
    config.name = daemon.read_text("name", std::nullopt);
    config.zone = daemon.read_text("zone", std::nullopt);
    config.shutdown_deadline = daemon.read_milliseconds("shutdown_deadline_ms", 100,
                                                        max_milliseconds, config.shutdown_deadline);
    daemon.report_unknown_keys();
    section_reader fleet(file, "fleet", found);
    if (file.section("fleet").contains("seeds"))
        config.seeds = read_seeds(fleet);
    config.link_port = static_cast<std::uint16_t>(
        fleet.read_number("link_port", 1, max_port_number,
                          config.seeds.empty() ? std::optional<std::uint32_t>{0} : std::nullopt));
    // Without keys, links are not encrypted; only for networks that untrusted hosts cannot reach.
    config.key_file =
        fleet.read_text("keys", config.seeds.empty() ? std::nullopt : std::optional{std::string{}});
    if (config.seeds.empty())
        config.control_hosts = read_control_hosts(fleet);
    fleet.report_unknown_keys();
    section_reader admin(file, "admin", found);
    config.admin = admin.read_address("listen", std::nullopt);
    admin.report_unknown_keys();
    read_role_sections(file, config, found);
    check_sections(file, config.role, found);
    return config;
}

} // namespace toucanusher
