// Tests which control host a daemon stays with, from what the hosts answer.
#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include <doctest/doctest.h>

#include "toucanusher/connection/control_contact.h"
#include "toucanusher/process/random.h"
#include "toucanusher/version/heartbeat_schedule.h"

namespace toucanusher {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr endpoint a{1, 7000};
constexpr endpoint b{2, 7000};
constexpr endpoint c{3, 7000};
constexpr endpoint redirector{9, 7000};

// A daemon whose heartbeats every host answers, with the age of its contact with a leader.
struct answered_daemon {
    time_point now{std::chrono::hours{1}};
    control_contact contact{{}, {{a, b}, 0}, now};

    // Returns the hosts that were in use during `period`.
    std::set<endpoint> run(duration period, std::optional<duration> leader_contact_age) {
        std::set<endpoint> used;
        for (time_point const end = now + period; now < end; now += milliseconds{50}) {
            state_update update;
            update.leader_contact_age = leader_contact_age;
            (void)contact.on_update(now, update);
            (void)contact.on_tick(now);
            used.insert(contact.host());
        }
        return used;
    }
};

enum class host_behaviour : std::uint8_t { serves, dead, without_leader, redirects };

// A daemon that loses the control host which serves it, and searches the next one. Names, start
// order, the number of hosts and the way in which they fail follow from the seed.
class search_model {
  public:
    explicit search_model(std::uint64_t seed) : random_(make_seeded_random(seed)) {
        std::size_t const hosts = 3 + below(6);
        std::size_t const failed = 1 + below(std::min<std::size_t>(5, hosts - 1));
        std::size_t const redirectors = below(4);
        for (std::size_t i = 0; i < hosts; ++i)
            directory_.push_back(
                add_host(i < failed ? failed_behaviour() : host_behaviour::serves));
        lost_ = directory_.front();
        std::vector<endpoint> seeds(directory_.begin(),
                                    directory_.begin() + static_cast<std::ptrdiff_t>(below(3)));
        for (std::size_t i = 0; i < redirectors; ++i)
            seeds.push_back(add_host(host_behaviour::redirects));
        if (seeds.empty())
            seeds.push_back(directory_.back());
        shuffle(seeds);
        shuffle(directory_);
        // The redirectors know an older directory that lacks some hosts.
        for (endpoint const host : directory_)
            if (below(2) == 0 || host == lost_)
                older_directory_.push_back(host);
        contact_.emplace(control_contact_options{}, control_host_selector{seeds, below(100)}, now_);
    }

    // Returns the time from the loss, and from the first step away from the lost host, to the first
    // answer of a host with a leader.
    std::pair<duration, duration> run() {
        serve_first();
        duration const phase = milliseconds{below(1000)};
        heartbeats_.on_sent(now_, true);
        time_point const lost_at = now_ + phase;
        std::optional<time_point> left_at;
        for (; now_ < lost_at + seconds{60}; now_ += milliseconds{1}) {
            bool const lost = now_ >= lost_at;
            apply(contact_->on_tick(now_));
            if (answer_at_ && now_ >= *answer_at_) {
                answer_at_.reset();
                bool const serving = answer(contact_->host(), lost ? now_ - lost_at : duration{});
                if (lost && serving && contact_->host() != lost_)
                    return {now_ - lost_at, now_ - left_at.value_or(now_)};
            }
            if (lost && !left_at && contact_->host() != lost_)
                left_at = now_;
            if (heartbeats_.is_due(now_)) {
                heartbeats_.on_sent(now_, contact_->has_leader() && !contact_->loses_leader());
                bool const answers = (!lost && contact_->host() == lost_) ||
                                     behaviour_.at(contact_->host()) != host_behaviour::dead;
                if (answers && !answer_at_)
                    answer_at_ = now_ + round_trip_time;
            }
        }
        return {now_ - lost_at, now_ - lost_at};
    }

  private:
    static constexpr milliseconds round_trip_time{10};

    std::size_t below(std::size_t limit) { return random_() % limit; }
    void shuffle(std::vector<endpoint>& list) {
        for (std::size_t i = list.size(); i > 1; --i)
            std::swap(list[i - 1], list[below(i)]);
    }
    host_behaviour failed_behaviour() {
        return below(3) == 0 ? host_behaviour::without_leader : host_behaviour::dead;
    }
    endpoint add_host(host_behaviour behaviour) {
        endpoint const host{static_cast<std::uint32_t>(behaviour_.size() + 1), 7000};
        behaviour_[host] = behaviour;
        return host;
    }
    void serve_first() {
        state_update named;
        named.directory_only = true;
        named.control_hosts = {lost_};
        named.directory_version = 1;
        for (int i = 0; i < 20 && contact_->host() != lost_; ++i, now_ += milliseconds{350})
            if (contact_->on_update(now_, named) == contact_step::keep)
                (void)contact_->on_tick(now_);
        REQUIRE(contact_->host() == lost_);
        now_ += seconds{60};
        (void)answer_as_serving();
    }
    contact_step answer_as_serving() {
        state_update update;
        update.leader_contact_age = milliseconds{50};
        update.control_hosts = directory_;
        update.directory_version = 3;
        return contact_->on_update(now_, update);
    }
    // Returns whether the host serves.
    bool answer(endpoint host, duration lost_for) {
        host_behaviour const behaviour = behaviour_.at(host);
        if (behaviour == host_behaviour::serves || (host == lost_ && lost_for == duration{})) {
            apply(answer_as_serving());
            return true;
        }
        state_update update;
        update.directory_only = behaviour == host_behaviour::redirects;
        update.control_hosts = update.directory_only ? older_directory_ : directory_;
        update.directory_version = 2;
        if (behaviour == host_behaviour::without_leader && host == lost_)
            update.leader_contact_age = lost_for + milliseconds{50};
        else if (behaviour == host_behaviour::without_leader)
            update.leader_contact_age = seconds{20};
        apply(contact_->on_update(now_, update));
        if (contact_->answered() && contact_->loses_leader())
            heartbeats_.on_update(now_);
        return false;
    }
    void apply(contact_step step) {
        if (step == contact_step::keep)
            return;
        answer_at_.reset();
        heartbeats_.request(now_);
    }

    random_source random_;
    time_point now_{std::chrono::hours{1}};
    std::map<endpoint, host_behaviour> behaviour_;
    std::vector<endpoint> directory_;
    std::vector<endpoint> older_directory_;
    endpoint lost_;
    std::optional<control_contact> contact_;
    heartbeat_schedule heartbeats_{now_};
    std::optional<time_point> answer_at_;
};

} // namespace

TEST_CASE("a daemon stays with a control host that has contact with a leader") {
    answered_daemon daemon;
    CHECK(daemon.run(seconds{20}, milliseconds{100}) == std::set<endpoint>{a});
}

// On gkp-westland every daemon stayed with a control host that had lost its disk.
TEST_CASE("a daemon leaves a control host that knows no leader") {
    answered_daemon daemon;
    CHECK(daemon.run(seconds{4}, std::nullopt) == std::set<endpoint>{a, b});
}

TEST_CASE("a daemon leaves a control host that lost its leader") {
    answered_daemon daemon;
    CHECK(daemon.run(seconds{4}, milliseconds{100}) == std::set<endpoint>{a});
    CHECK(daemon.run(seconds{4}, seconds{5}) == std::set<endpoint>{a, b});
}

TEST_CASE("a daemon outlasts an election") {
    answered_daemon daemon;
    (void)daemon.run(seconds{4}, milliseconds{100});
    CHECK(daemon.run(milliseconds{1200}, std::nullopt) == std::set<endpoint>{a});
    CHECK(daemon.run(seconds{4}, milliseconds{100}) == std::set<endpoint>{a});
}

TEST_CASE("a process without control follows an announced host") {
    time_point const now{std::chrono::hours{1}};
    control_contact contact({}, {{a}, 0}, now);
    CHECK(contact.on_announcement(now, {b}, 1) == contact_step::connect);
    CHECK(contact.host() == b);
    CHECK(contact.on_announcement(now, {b}, 1) == contact_step::keep);
    CHECK(contact.on_tick(now + milliseconds{340}) == contact_step::keep);
    CHECK(contact.on_tick(now + milliseconds{350}) == contact_step::connect);
}

// Guards against a process that follows every announcement to the same host, which does not answer.
TEST_CASE("repeated announcements lead to every announced host") {
    for (std::size_t start = 0; start < 3; ++start) {
        time_point now{std::chrono::hours{1}};
        control_contact contact({}, {{redirector}, start}, now);
        std::set<endpoint> tried;
        for (time_point const end = now + seconds{3}; now < end; now += milliseconds{10}) {
            if (now.time_since_epoch() % milliseconds{250} == duration{})
                (void)contact.on_announcement(now, {a, b, c}, 1);
            (void)contact.on_tick(now);
            tried.insert(contact.host());
        }
        CHECK(tried == std::set<endpoint>{redirector, a, b, c});
    }
}

TEST_CASE("an announcement does not interrupt a working session") {
    answered_daemon daemon;
    (void)daemon.run(seconds{1}, milliseconds{100});
    CHECK(daemon.contact.on_announcement(daemon.now, {b}, 1) == contact_step::keep);
    CHECK(daemon.contact.host() == a);
}

// On beiral-quotes balancers served an old configuration while they went from dead hosts to the
// host that they had left, and back.
TEST_CASE("a daemon that lost its control host asks each other host once") {
    std::vector<duration> from_loss;
    std::vector<duration> from_notice;
    for (std::uint64_t seed = 1; seed <= 1000; ++seed) {
        auto const [loss, notice] = search_model(seed).run();
        from_loss.push_back(loss);
        from_notice.push_back(notice);
        INFO("seed ", seed);
        // Four other hosts that do not answer, and the answers of the others.
        CHECK(notice / milliseconds{1} <= 1500);
    }
    std::sort(from_loss.begin(), from_loss.end());
    std::sort(from_notice.begin(), from_notice.end());
    MESSAGE("from the loss: median ", from_loss[500] / milliseconds{1}, " ms, worst ",
            from_loss.back() / milliseconds{1}, " ms; from the notice: median ",
            from_notice[500] / milliseconds{1}, " ms, worst ", from_notice.back() / milliseconds{1},
            " ms");
}

TEST_CASE("a host that knows less does not replace a newer directory") {
    answered_daemon daemon;
    state_update update;
    update.leader_contact_age = milliseconds{100};
    update.control_hosts = {a, b, c};
    update.directory_version = 7;
    (void)daemon.contact.on_update(daemon.now, update);
    update.control_hosts = {a, redirector};
    update.directory_version = 6;
    (void)daemon.contact.on_update(daemon.now, update);
    CHECK(daemon.contact.directory() == std::vector<endpoint>{a, b, c});
}

TEST_CASE("a redirector does not send a daemon back to a host that failed") {
    time_point const now{std::chrono::hours{1}};
    control_contact contact({}, {{a, redirector}, 0}, now);
    CHECK(contact.on_tick(now + seconds{2}) == contact_step::connect);
    REQUIRE(contact.host() == redirector);
    state_update update;
    update.directory_only = true;
    update.control_hosts = {a, b};
    update.directory_version = 1;
    CHECK(contact.on_update(now + seconds{2}, update) == contact_step::connect);
    CHECK(contact.host() == b);
}

// Without a leader every host answers at once.
TEST_CASE("a search among hosts without a leader keeps its pace") {
    time_point now{std::chrono::hours{1}};
    control_contact contact({}, {{a, b, c}, 0}, now);
    int steps = 0;
    for (time_point const end = now + seconds{10}; now < end; now += milliseconds{1}) {
        state_update update;
        update.leader_contact_age = seconds{20};
        steps += contact.on_update(now, update) == contact_step::connect ? 1 : 0;
        steps += contact.on_tick(now) == contact_step::connect ? 1 : 0;
    }
    CHECK(steps <= 3 + 10000 / 350);
}

} // namespace toucanusher
