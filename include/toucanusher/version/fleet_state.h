// The replicated state of the fleet at one version: claims, services, members, steering tables and
// routes.
//
// A value type. A copy is cheap because it shares the settings and tables of unchanged services. A
// thread that reads the state holds a shared_ptr to a const state and replaces the pointer.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "toucanusher/version/claim_book.h"
#include "toucanusher/version/fleet_command.h"
#include "toucanusher/version/steering_table.h"

namespace toucanusher {

struct service_record {
    service_id id{};
    std::string name;
    std::shared_ptr<service_settings const> settings; // never null
    std::shared_ptr<steering_table const> table;      // never null
    // Oldest first; the last one is in force, earlier ones are retained for a few minutes.
    std::shared_ptr<std::vector<member_list> const> member_lists; // never null
};

class fleet_state {
  public:
    explicit fleet_state(claim_faults faults = {});

    // Applies one command as the next version. Returns a result for claim commands only.
    std::optional<claim_result> apply(fleet_command const& command);

    [[nodiscard]] version_number version() const { return version_; }
    [[nodiscard]] claim_book const& claims() const { return *claims_; }
    [[nodiscard]] service_record const* service(service_id id) const;
    [[nodiscard]] service_record const* service_named(std::string const& name) const;
    // Returns the service that callers reach at this address; null if there is none.
    [[nodiscard]] service_record const* service_at(endpoint address) const;
    [[nodiscard]] std::vector<service_record const*> services() const;
    [[nodiscard]] upstream_record const* upstream(upstream_ref ref) const;
    // Returns the current incarnation of a named upstream; null if there is none.
    [[nodiscard]] upstream_record const* upstream_named(std::string const& service,
                                                        std::string const& name) const;
    [[nodiscard]] std::vector<upstream_record const*> upstreams() const;
    [[nodiscard]] balancer_record const* balancer(std::string const& name) const;
    [[nodiscard]] std::map<std::string, balancer_record> const& balancers() const {
        return balancers_;
    }

    // Returns the routes in force; never null.
    [[nodiscard]] std::shared_ptr<configuration const> const& routes() const { return routes_; }

    // Returns the state as daemons need it: without the operators' texts of routes and services.
    [[nodiscard]] fleet_state for_daemons() const;

    // The part of the state that a snapshot stores.
    struct contents {
        version_number version{};
        std::uint32_t next_service = 1;
        std::uint32_t next_upstream = 1;
        claim_book::contents claims;
        std::map<service_id, std::string> services;
        std::map<service_id, steering_table::contents> tables;
        std::map<service_id, std::vector<member_list>> member_lists;
        std::vector<upstream_record> upstreams;
        std::map<std::pair<std::string, std::string>, upstream_id> upstream_ids;
        std::vector<balancer_record> balancers;
        configuration routes;
    };
    [[nodiscard]] contents save() const;
    // Returns false, with the state unchanged, if the contents break an invariant.
    [[nodiscard]] bool restore(contents saved);

  private:
    std::optional<claim_result> execute(write_claim const& command);
    std::optional<claim_result> execute(withdraw_claim const& command);
    std::optional<claim_result> execute(announce_upstream const& command);
    std::optional<claim_result> execute(remove_upstream const& command);
    std::optional<claim_result> execute(announce_balancer const& command);
    std::optional<claim_result> execute(remove_balancer const& command);
    std::optional<claim_result> execute(release_buckets const& command);
    std::optional<claim_result> execute(edit_configuration const& command);
    void remove_replaced_upstreams(upstream_announcement const& announcement);
    service_record& ensure_service(std::string const& name);
    claim_book& mutable_claims();
    void refresh_settings(std::string const& service);
    void rebalance(service_record& service);
    void record_members(service_record& service, wall_time proposed_at);
    void index_addresses();

    version_number version_{};
    std::uint32_t next_service_ = 1;     // above every id in use
    std::uint32_t next_upstream_ = 1;    // above every id in use
    std::shared_ptr<claim_book> claims_; // shared between copies; copied on write
    std::map<service_id, service_record> services_;
    std::map<std::string, service_id> service_ids_;
    std::unordered_map<endpoint, service_id> addresses_; // the lowest id wins a shared address
    std::map<upstream_id, upstream_record> upstreams_;   // one incarnation each
    std::map<std::pair<std::string, std::string>, upstream_id> upstream_ids_; // (service, name)
    std::map<std::string, balancer_record> balancers_;
    std::shared_ptr<configuration const> routes_; // never null; its number never decreases
};

// Returns the share of new work for an upstream: its slots times its ready percentage; 0 while it
// drains or is not among the upstreams of the service.
std::uint32_t weight_of(upstream_record const& upstream, service_settings const& settings);

} // namespace toucanusher
