// The part of host_model that replaces machines in rounds.
#include <algorithm>
#include <utility>

#include "tests/host_model.h"

namespace toucanusher::tests {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// A replaced machine returns after this time, if it does.
constexpr duration return_delay = seconds{3};

} // namespace

std::optional<std::string> host_model::run_replacements(replacement_options const& replacements) {
    form();
    for (std::uint32_t round = 0; round < replacements.rounds; ++round) {
        replace_machines(replacements, round);
        bool const is_last = round + 1 == replacements.rounds;
        duration const interval =
            replacements.successor_delay +
            (is_last ? replacements.last_interval : replacements.round_interval);
        if (replacements.kill_leaders) {
            run_for(milliseconds{random_below(interval / milliseconds{1})});
            kill_leader();
        }
        run_for(interval);
    }
    lose_disks_and_power(replacements.disks_lost_last);
    settle();
    trace_hosts();
    return violation_;
}

void host_model::replace_machines(replacement_options const& replacements, std::uint32_t round) {
    for (std::uint32_t i = 0; i < replacements.machines_per_round; ++i) {
        std::uint32_t const index = round * replacements.machines_per_round + i;
        machine& m = *machines_[index % options_.machines];
        if (replacements.replaced != replaced_host::never_returns)
            return_replaced(m, replacements.replaced);
        endpoint const previous = m.listen_endpoint;
        m.listen_endpoint.address += 100;
        m.disk = {};
        m.id = {};
        crash(m, replacements.successor_delay);
        trace(to_string(previous) + " is replaced by " + to_string(m.listen_endpoint));
        std::replace(seeds_.begin(), seeds_.end(), previous, m.listen_endpoint);
    }
    for (auto const& m : machines_)
        if (m->host)
            m->host->set_seeds(seeds_);
}

void host_model::return_replaced(machine const& replaced, replaced_host how) {
    auto returned = std::make_unique<machine>();
    returned->listen_endpoint = replaced.listen_endpoint;
    if (how == replaced_host::returns_with_disk) {
        returned->id = replaced.id;
        returned->disk = replaced.disk;
    }
    returned->restart_at = clock_.now() + return_delay;
    machines_.push_back(std::move(returned));
}

void host_model::kill_leader() {
    for (auto const& m : machines_)
        if (m->host && m->host->log().role() == log_role::leader)
            crash(*m, milliseconds{100 + random_below(900)});
}

void host_model::lose_disks_and_power(std::uint32_t disks) {
    std::vector<machine*> all;
    for (auto const& m : machines_)
        all.push_back(m.get());
    for (std::uint32_t i = 0; i < disks; ++i) {
        std::swap(all[i], all[i + random_below(options_.machines - i)]);
        all[i]->disk = {};
        all[i]->id = {};
        trace(to_string(all[i]->listen_endpoint) + " loses its disk");
    }
    for (machine* const m : all)
        crash(*m, milliseconds{500 + random_below(1000)});
}

} // namespace toucanusher::tests
