// The routes of one operator: a whole configuration that replaces the one before it at once.
//
// It is the claim of one team to the whole subtree below its path. The loudness of that claim is
// the configuration's number: the loudest is in force, between equals the first one stays.
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

// Whether a request may be run again when its outcome is not known.
enum class request_kind : std::uint8_t { idempotent, non_idempotent, download };

struct weighted_service {
    std::string service;
    std::uint32_t weight = 0;

    friend bool operator==(weighted_service const&, weighted_service const&) = default;
};

struct route {
    std::string name;
    endpoint address; // that callers use
    request_kind kind = request_kind::idempotent;
    std::chrono::milliseconds timeout{};
    std::chrono::milliseconds objective{}; // latency that callers want
    std::uint32_t priority = 0;            // 0 is the most urgent
    std::vector<weighted_service> split;   // not empty; where new flows go
    std::string document;                  // as the operator wrote it, for reading back

    friend bool operator==(route const&, route const&) = default;
};

struct routed_service {
    std::string name;
    std::string health_path;
    std::uint32_t max_connections = 0;
    std::string document; // as the operator wrote it

    friend bool operator==(routed_service const&, routed_service const&) = default;
};

struct configuration {
    std::uint64_t number = 0; // 0: none was ever written
    std::vector<route> routes;
    std::vector<routed_service> services;
    std::chrono::milliseconds idle_timeout{}; // an idle flow may then be forgotten
    std::string document; // the operator's text of everything but routes and services

    friend bool operator==(configuration const&, configuration const&) = default;
};

// Everything that makes a configuration invalid, with its place. `source` names the text.
findings check_configuration(configuration const& candidate, std::string const& source);

// One step from a list to its successor: keeps items of the old list, or adds a new one.
template <typename T>
struct list_step {
    std::uint32_t first = 0; // kept: items [first, first + count) of the old list
    std::uint32_t count = 0;
    std::optional<T> added; // set: this one, and nothing is kept

    friend bool operator==(list_step const&, list_step const&) = default;
};

// What turns one configuration into a later one. Its size follows what changed.
struct edit_configuration {
    std::uint64_t base = 0; // number that it applies to
    std::uint64_t number = 0;
    std::vector<list_step<route>> routes;
    std::vector<list_step<routed_service>> services;
    std::chrono::milliseconds idle_timeout{};
    std::string document;

    friend bool operator==(edit_configuration const&, edit_configuration const&) = default;
};

edit_configuration make_edit(configuration const& from, configuration const& to);
// Nothing if the edit was made for another base or is not louder than it.
std::optional<configuration> apply_edit(configuration const& from, edit_configuration const& edit);

// Finds the route of an address. Built once for each version.
class route_index {
  public:
    explicit route_index(configuration const& routes);
    // The index of the route in the configuration.
    [[nodiscard]] std::optional<std::size_t> find(endpoint address) const;

  private:
    std::map<endpoint, std::size_t> by_address_;
};

} // namespace toucanusher
