#include "toucanusher/request/admission_queue.h"

#include <algorithm>
#include <utility>

namespace toucanusher {

std::optional<queue_refusal> admission_queue::push(time_point now, waiting_request request,
                                                   duration service_time, std::uint32_t slots) {
    request_class const kind =
        options_.first_come_first_served ? request_class::urgent : request.kind;
    if (options_.check_deadlines) {
        duration const wait = expected_wait(kind, service_time, slots);
        if (now + wait + service_time > request.deadline)
            return queue_refusal{request.id, request_refusal::deadline_infeasible};
    }
    std::string const team = options_.first_come_first_served ? std::string{} : request.team;
    std::optional<queue_refusal> refused;
    if (size_ >= options_.queue_length) {
        std::size_t const victim = most_loaded_class();
        auto const own = static_cast<std::size_t>(kind);
        auto const load = [&](std::size_t index, std::size_t extra) {
            return static_cast<double>(classes_[index].size + extra) / options_.shares[index];
        };
        if (options_.first_come_first_served || size_ == 0 || victim == own ||
            load(victim, 0) <= load(own, 1))
            return queue_refusal{request.id, request_refusal::queue_full};
        refused = {take_newest(classes_[victim]).id, request_refusal::displaced};
    }
    class_queue& queue = classes_[static_cast<std::size_t>(kind)];
    queue.teams[team].push_back(std::move(request));
    ++queue.size;
    ++size_;
    return refused;
}

std::optional<waiting_request> admission_queue::pop(time_point now, duration service_time,
                                                    std::vector<queue_refusal>& expired) {
    while (size_ > 0) {
        std::size_t const index = next_class();
        waiting_request request = take_front(classes_[index]);
        bool const infeasible = options_.check_deadlines && now + service_time > request.deadline;
        if (infeasible || now >= request.deadline) {
            expired.push_back({request.id, request_refusal::deadline_passed});
            continue;
        }
        charge(index);
        return request;
    }
    return std::nullopt;
}

void admission_queue::remove_expired(time_point now, std::vector<queue_refusal>& expired) {
    for (class_queue& queue : classes_) {
        for (auto& [team, waiting] : queue.teams) {
            auto const has_expired = [&](waiting_request const& request) {
                if (now < request.deadline)
                    return false;
                expired.push_back({request.id, request_refusal::deadline_passed});
                return true;
            };
            std::size_t const removed = std::erase_if(waiting, has_expired);
            queue.size -= removed;
            size_ -= removed;
        }
        std::erase_if(queue.teams, [](auto const& item) { return item.second.empty(); });
    }
}

bool admission_queue::remove(request_id const& id) {
    for (class_queue& queue : classes_) {
        for (auto& [team, waiting] : queue.teams) {
            auto const at =
                std::find_if(waiting.begin(), waiting.end(),
                             [&](waiting_request const& request) { return request.id == id; });
            if (at == waiting.end())
                continue;
            waiting.erase(at);
            --queue.size;
            --size_;
            if (waiting.empty())
                queue.teams.erase(team);
            return true;
        }
    }
    return false;
}

std::size_t admission_queue::size(request_class kind) const {
    return classes_[static_cast<std::size_t>(kind)].size;
}

// Smooth weighted round robin: returns the nonempty class with the most credit after its share is
// added.
std::size_t admission_queue::next_class() const {
    std::size_t best = 0;
    std::int64_t best_credit = 0;
    bool found = false;
    for (std::size_t i = 0; i < request_class_count; ++i) {
        if (classes_[i].size == 0)
            continue;
        std::int64_t const credit = classes_[i].credit + options_.shares[i];
        if (found && credit <= best_credit)
            continue;
        best = i;
        best_credit = credit;
        found = true;
    }
    return best;
}

void admission_queue::charge(std::size_t served) {
    std::int64_t total = 0;
    for (std::size_t i = 0; i < request_class_count; ++i) {
        bool const waits = classes_[i].size > 0 || i == served;
        if (!waits) {
            classes_[i].credit = 0; // an idle class accumulates no credit
            continue;
        }
        classes_[i].credit += options_.shares[i];
        total += options_.shares[i];
    }
    classes_[served].credit -= total;
}

std::size_t admission_queue::most_loaded_class() const {
    std::size_t worst = 0;
    double worst_load = -1;
    for (std::size_t i = 0; i < request_class_count; ++i) {
        double const load = static_cast<double>(classes_[i].size) / options_.shares[i];
        if (load < worst_load)
            continue;
        worst = i;
        worst_load = load;
    }
    return worst;
}

// Returns the queueing time of a new request of the class, assuming that every nonempty class uses
// its full share.
duration admission_queue::expected_wait(request_class kind, duration service_time,
                                        std::uint32_t slots) const {
    auto const own = static_cast<std::size_t>(kind);
    std::uint64_t competing = options_.shares[own];
    std::uint64_t others = 0;
    for (std::size_t i = 0; i < request_class_count; ++i) {
        if (i == own || classes_[i].size == 0)
            continue;
        competing += options_.shares[i];
        others += classes_[i].size;
    }
    std::uint64_t const ahead = classes_[own].size;
    std::uint64_t const scaled = ahead * competing / options_.shares[own];
    std::uint64_t const before = std::min<std::uint64_t>(scaled, ahead + others);
    return service_time * static_cast<duration::rep>(before) /
           static_cast<duration::rep>(std::max<std::uint32_t>(1, slots));
}

waiting_request admission_queue::take_front(class_queue& queue) {
    auto team = queue.teams.upper_bound(queue.last_team);
    if (team == queue.teams.end())
        team = queue.teams.begin();
    waiting_request request = std::move(team->second.front());
    team->second.pop_front();
    queue.last_team = team->first;
    if (team->second.empty())
        queue.teams.erase(team);
    --queue.size;
    --size_;
    return request;
}

// Removes and returns the newest request of the team with the longest queue.
waiting_request admission_queue::take_newest(class_queue& queue) {
    auto const team =
        std::max_element(queue.teams.begin(), queue.teams.end(), [](auto const& a, auto const& b) {
            return a.second.size() < b.second.size();
        });
    waiting_request request = std::move(team->second.back());
    team->second.pop_back();
    if (team->second.empty())
        queue.teams.erase(team);
    --queue.size;
    --size_;
    return request;
}

} // namespace toucanusher
