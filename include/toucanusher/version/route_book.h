// The configuration of an operator's routes and services. A new configuration replaces the previous
// one as a whole.
//
// A configuration is the claim of one team to the whole subtree below its path, and its number is
// the loudness of that claim: the loudest configuration is in force; between equals, the first.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "toucanusher/process/endpoint.h"
#include "toucanusher/process/findings.h"

namespace toucanusher {

// Tells whether a request may be run again when its outcome is not known.
enum class request_kind : std::uint8_t { idempotent, non_idempotent, download };

struct weighted_service {
    std::string service;
    std::uint32_t weight = 0;

    friend bool operator==(weighted_service const&, weighted_service const&) = default;
};

struct route {
    std::string name;
    endpoint address; // where callers reach the route
    request_kind kind = request_kind::idempotent;
    std::chrono::milliseconds timeout{};
    std::chrono::milliseconds objective{}; // latency target; 0 if not set
    std::uint32_t priority = 0;            // 0 is the most urgent
    std::vector<weighted_service> split;   // services of new flows; not empty
    std::string document;                  // the operator's text, returned by reads

    friend bool operator==(route const&, route const&) = default;
};

struct routed_service {
    std::string name;
    std::string health_path;
    std::uint32_t max_connections = 0;
    std::string document; // the operator's text, returned by reads

    friend bool operator==(routed_service const&, routed_service const&) = default;
};

struct configuration {
    std::uint64_t number = 0; // 0 before the first write
    std::vector<route> routes;
    std::vector<routed_service> services;
    std::chrono::milliseconds idle_timeout{}; // after it, an idle flow may be dropped
    std::string document;                     // the operator's text without routes and services

    friend bool operator==(configuration const&, configuration const&) = default;
};

// Returns every error that makes a configuration invalid, with its place. `source` names the text.
findings check_configuration(configuration const& candidate, std::string const& source);

// Returns the configuration without the operator's texts, which only reads need.
configuration without_documents(configuration from);

// A step of an edit that turns one list into another: keeps a run of old items or adds one item.
template <typename T>
struct list_step {
    std::uint32_t first = 0; // keeps items [first, first + count) of the old list
    std::uint32_t count = 0;
    std::optional<T> added; // if set, adds this item and keeps none

    friend bool operator==(list_step const&, list_step const&) = default;
};

// The difference between two configurations. Its size is proportional to the changes.
struct edit_configuration {
    std::uint64_t base = 0; // number of the configuration that it applies to
    std::uint64_t number = 0;
    std::vector<list_step<route>> routes;
    std::vector<list_step<routed_service>> services;
    std::chrono::milliseconds idle_timeout{};
    std::string document;

    friend bool operator==(edit_configuration const&, edit_configuration const&) = default;
};

edit_configuration make_edit(configuration const& from, configuration const& to);
// As without_documents() of a configuration, for the change to one.
edit_configuration without_documents(edit_configuration from);
// Returns nothing if the edit was made for another base or its number is not greater.
std::optional<configuration> apply_edit(configuration const& from, edit_configuration const& edit);

// An index of routes by address, built once for each version.
class route_index {
  public:
    explicit route_index(configuration const& routes);
    // Returns the position of the route in the configuration, if the address has one.
    [[nodiscard]] std::optional<std::size_t> find(endpoint address) const;

  private:
    std::map<endpoint, std::size_t> by_address_;
};

} // namespace toucanusher
