#include "toucanusher/version/route_book.h"

#include <algorithm>
#include <set>
#include <unordered_map>

#include <absl/strings/str_cat.h>

namespace toucanusher {

namespace {

// Matches items by name; only items that are equal in every field are kept.
template <typename T>
std::vector<list_step<T>> make_steps(std::vector<T> const& from, std::vector<T> const& to) {
    std::unordered_map<std::string, std::uint32_t> places;
    for (std::uint32_t i = 0; i < from.size(); ++i)
        places.emplace(from[i].name, i);
    std::vector<list_step<T>> steps;
    for (T const& item : to) {
        auto const old = places.find(item.name);
        if (old == places.end() || from[old->second] != item) {
            steps.push_back({.added = item});
            continue;
        }
        bool const continues = !steps.empty() && !steps.back().added &&
                               steps.back().first + steps.back().count == old->second;
        if (continues)
            ++steps.back().count;
        else
            steps.push_back({.first = old->second, .count = 1, .added = {}});
    }
    return steps;
}

template <typename T>
std::optional<std::vector<T>> apply_steps(std::vector<T> const& from,
                                          std::vector<list_step<T>> const& steps) {
    std::vector<T> to;
    for (list_step<T> const& step : steps) {
        if (step.added) {
            to.push_back(*step.added);
            continue;
        }
        if (step.first > from.size() || step.count > from.size() - step.first)
            return std::nullopt;
        auto const first = from.begin() + static_cast<std::ptrdiff_t>(step.first);
        to.insert(to.end(), first, first + static_cast<std::ptrdiff_t>(step.count));
    }
    return to;
}

void check_split(route const& item, std::set<std::string> const& services,
                 source_location const& where, findings& found) {
    std::uint64_t total = 0;
    for (weighted_service const& part : item.split) {
        if (!services.contains(part.service))
            found.add(where, absl::StrCat("refers to the unknown service \"", part.service, "\""));
        total += part.weight;
    }
    if (total == 0)
        found.add(where, "new flows have no destination: no service has a weight above 0");
}

} // namespace

findings check_configuration(configuration const& candidate, std::string const& source) {
    findings found;
    std::set<std::string> services;
    for (std::size_t i = 0; i < candidate.services.size(); ++i)
        if (!services.insert(candidate.services[i].name).second)
            found.add({source, 0, absl::StrCat("service ", i)},
                      "has the name of an earlier service");
    std::set<endpoint> addresses;
    std::set<std::string> names;
    for (std::size_t i = 0; i < candidate.routes.size(); ++i) {
        route const& item = candidate.routes[i];
        source_location const where{source, 0, absl::StrCat("route ", i, " \"", item.name, "\"")};
        if (!addresses.insert(item.address).second)
            found.add(where, "has the address of an earlier route");
        if (!names.insert(item.name).second)
            found.add(where, "has the name of an earlier route");
        if (item.timeout <= std::chrono::milliseconds::zero())
            found.add(where, "timeout must be above 0");
        check_split(item, services, where, found);
    }
    return found;
}

configuration without_documents(configuration from) {
    from.document.clear();
    for (route& item : from.routes)
        item.document.clear();
    for (routed_service& item : from.services)
        item.document.clear();
    return from;
}

edit_configuration without_documents(edit_configuration from) {
    from.document.clear();
    for (list_step<route>& step : from.routes)
        if (step.added)
            step.added->document.clear();
    for (list_step<routed_service>& step : from.services)
        if (step.added)
            step.added->document.clear();
    return from;
}

edit_configuration make_edit(configuration const& from, configuration const& to) {
    return {from.number,
            to.number,
            make_steps(from.routes, to.routes),
            make_steps(from.services, to.services),
            to.idle_timeout,
            to.document};
}

std::optional<configuration> apply_edit(configuration const& from, edit_configuration const& edit) {
    if (edit.base != from.number || edit.number <= from.number)
        return std::nullopt;
    auto routes = apply_steps(from.routes, edit.routes);
    auto services = apply_steps(from.services, edit.services);
    if (!routes || !services)
        return std::nullopt;
    return configuration{edit.number, *std::move(routes), *std::move(services), edit.idle_timeout,
                         edit.document};
}

route_index::route_index(configuration const& routes) {
    for (std::size_t i = 0; i < routes.routes.size(); ++i)
        by_address_.emplace(routes.routes[i].address, i);
}

std::optional<std::size_t> route_index::find(endpoint address) const {
    auto const found = by_address_.find(address);
    if (found == by_address_.end())
        return std::nullopt;
    return found->second;
}

} // namespace toucanusher
