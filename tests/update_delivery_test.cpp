// Tests how a control host delivers state updates to a daemon whose link loses some of them or is
// slow. Replays the load of an operator's large change during a release.
#include <algorithm>
#include <deque>
#include <memory>
#include <optional>
#include <string>

#include <doctest/doctest.h>

#include "src/version/control_codec.h"
#include "src/version/state_codec.h"
#include "toucanusher/version/control_host.h"
#include "toucanusher/version/heartbeat_schedule.h"

namespace toucanusher::tests {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using namespace std::chrono_literals;

constexpr duration tick = milliseconds{10};
// The shortest time within which an accepted configuration must be in force on any deployment.
constexpr duration propagation_limit = seconds{3};
constexpr std::uint32_t routes_at_start = 240;
constexpr std::uint32_t routes_of_large_change = 1400;
constexpr duration release_step = milliseconds{100};

struct link_model {
    double bytes_per_second = 12.5e6;
    // Messages that wait behind the one being sent. Further ones are dropped, as by a pair socket.
    std::size_t max_queued = 2;
    std::function<bool()> loses = [] { return false; };
};

// One control host, which leads alone, and one daemon that follows its state over a link.
class delivery_model {
  public:
    explicit delivery_model(link_model link) : link_(std::move(link)) {
        durable_log stored;
        stored.snapshot.members.voters = {host_id{1}};
        control_options options;
        options.log.self = host_id{1};
        options.wall_clock = [] { return wall_time{}; };
        host_ = std::make_unique<control_host>(options, make_state_codec(), stored, now(),
                                               make_seeded_random(1));
        run_for(seconds{2});
    }

    void run_for(duration span) {
        for (time_point const end = now() + span; now() < end;) {
            clock_.advance(tick);
            take(host_->on_tick(now()));
            deliver();
            if (heartbeats_.is_due(now()))
                send_heartbeat();
        }
    }

    // Announces one upstream more, as each step of a release does.
    void announce_upstream() {
        ++upstreams_;
        heartbeat message;
        message.name = "agent " + std::to_string(upstreams_);
        message.follows_state = false;
        upstream_announcement announcement;
        announcement.service = "s";
        announcement.name = "upstream " + std::to_string(upstreams_);
        announcement.agent = {upstreams_, 1};
        announcement.reports_flows = true;
        message.upstreams = {announcement};
        take(host_->on_heartbeat(now(), client_id{100 + upstreams_}, message));
    }

    void configure(std::uint64_t number, std::uint32_t routes) {
        configuration made;
        made.number = number;
        made.services = {{"s", "/", 5, "service"}};
        for (std::uint32_t i = 0; i < routes; ++i) {
            route item;
            item.name = "r" + std::to_string(i);
            item.address = {i, 443};
            item.timeout = milliseconds{2500};
            item.split = {{"s", 1}};
            item.document = std::string(190, 'x');
            made.routes.push_back(std::move(item));
        }
        made.routes[0].timeout = milliseconds{1000 + number};
        take(host_->on_configuration(now(), number, std::move(made)));
        REQUIRE(host_->state().routes()->number == number);
    }

    // Drops every update that is sent within the time.
    void lose_updates_for(duration span) { lost_until_ = now() + span; }

    [[nodiscard]] std::uint64_t number_in_force() const {
        return follower_.state()->routes()->number;
    }
    // How long the daemon has lacked a version that the control host has applied.
    [[nodiscard]] duration staleness() const {
        return lacking_.empty() ? duration{} : now() - lacking_.front().since;
    }
    [[nodiscard]] std::uint64_t bytes_sent() const { return bytes_sent_; }
    [[nodiscard]] std::uint32_t dropped() const { return dropped_; }

  private:
    struct in_transit {
        time_point arrives_at{};
        state_update update;
    };
    struct lacking_version {
        version_number version{};
        time_point since{};
    };

    [[nodiscard]] time_point now() const { return clock_.now(); }

    void take(control_output output) {
        std::uint64_t synced = 0;
        while (!output.writes.empty() && output.writes.back().sequence != synced) {
            synced = output.writes.back().sequence;
            control_output more = host_->on_synced(now(), synced);
            std::move(more.writes.begin(), more.writes.end(), std::back_inserter(output.writes));
            std::move(more.to_clients.begin(), more.to_clients.end(),
                      std::back_inserter(output.to_clients));
        }
        version_number const newest = host_->state().version();
        if (lacking_.empty() ? newest > follower_.version() : newest > lacking_.back().version)
            lacking_.push_back({newest, now()});
        for (send_to_client const& item : output.to_clients)
            if (auto const* update = std::get_if<state_update>(&item.message))
                if (item.client == daemon)
                    send(*update);
    }

    void send(state_update const& update) {
        if (link_.loses() || now() < lost_until_ || link_queue_.size() > link_.max_queued) {
            ++dropped_;
            return;
        }
        std::size_t const bytes = encode_control_message(update).size();
        bytes_sent_ += bytes;
        duration const transfer = std::chrono::duration_cast<duration>(
            std::chrono::duration<double>(static_cast<double>(bytes) / link_.bytes_per_second));
        link_free_at_ = std::max(link_free_at_, now()) + transfer;
        link_queue_.push_back({link_free_at_, update});
    }

    void deliver() {
        while (!link_queue_.empty() && link_queue_.front().arrives_at <= now()) {
            version_number const before = follower_.version();
            bool const is_part = link_queue_.front().update.snapshot.has_value();
            update_outcome const outcome = follower_.on_update(now(), link_queue_.front().update);
            link_queue_.pop_front();
            if (is_part)
                heartbeats_.request(now());
            if (follower_.version() != before || outcome == update_outcome::gap)
                heartbeats_.on_update(now());
        }
        while (!lacking_.empty() && lacking_.front().version <= follower_.version())
            lacking_.pop_front();
    }

    void send_heartbeat() {
        heartbeats_.on_sent(now(), true);
        heartbeat message;
        message.name = "b";
        message.process_instance = 7;
        message.applied = follower_.version();
        message.transfer = follower_.transfer();
        take(host_->on_heartbeat(now(), daemon, message));
    }

    static constexpr client_id daemon{1};

    manual_clock clock_;
    link_model link_;
    std::unique_ptr<control_host> host_;
    state_follower follower_{make_state_codec(), 7};
    heartbeat_schedule heartbeats_{time_point{}};
    time_point lost_until_{};
    std::deque<in_transit> link_queue_;
    time_point link_free_at_{};
    std::deque<lacking_version> lacking_; // in order; when each was applied by the control host
    std::uint64_t bytes_sent_ = 0;
    std::uint32_t dropped_ = 0;
    std::uint32_t upstreams_ = 0;
};

} // namespace

TEST_CASE("a lost update is repeated while other updates follow") {
    for (milliseconds const interval : {50ms, 100ms, 200ms, 300ms, 400ms, 450ms, 600ms, 1000ms})
        for (milliseconds const phase : {0ms, 130ms, 370ms, 490ms, 700ms}) {
            CAPTURE(interval.count());
            CAPTURE(phase.count());
            delivery_model model({});
            model.run_for(phase);
            model.lose_updates_for(milliseconds{30});
            model.announce_upstream();
            duration longest{};
            for (int i = 0; i < seconds{20} / interval; ++i) {
                model.run_for(interval);
                model.announce_upstream();
                longest = std::max(longest, model.staleness());
            }
            CHECK(model.dropped() > 0);
            CHECK(longest < propagation_limit);
        }
}

TEST_CASE("a change after a large one is in force in time over a slow link, during a release") {
    delivery_model model({.bytes_per_second = 3.9e6 / 8});
    model.configure(3, routes_at_start);
    model.run_for(seconds{8});
    auto const release_for = [&](duration span) {
        duration longest{};
        for (duration done{}; done < span; done += release_step) {
            model.announce_upstream();
            model.run_for(release_step);
            longest = std::max(longest, model.staleness());
        }
        return longest;
    };
    release_for(seconds{2});
    std::uint64_t const bytes_before = model.bytes_sent();
    model.configure(6, routes_at_start + routes_of_large_change);
    release_for(milliseconds{300});
    model.configure(10, routes_at_start + routes_of_large_change);
    release_for(propagation_limit);
    CHECK(model.number_in_force() == 10);
    CHECK(release_for(seconds{10}) < propagation_limit);
    // The large change, of about 330 kB, crosses the link once.
    CHECK(model.bytes_sent() - bytes_before < 500'000);
}

TEST_CASE("a daemon keeps up over a link that loses a tenth of the updates") {
    duration longest{};
    for (std::uint64_t seed = 1; seed <= 50; ++seed) {
        CAPTURE(seed);
        auto const random = make_seeded_random(seed);
        delivery_model model({.loses = [random] { return random() % 10 == 0; }});
        for (int i = 0; i < seconds{60} / milliseconds{250}; ++i) {
            model.announce_upstream();
            model.run_for(milliseconds{250});
            longest = std::max(longest, model.staleness());
        }
    }
    CHECK(longest < propagation_limit);
}

} // namespace toucanusher::tests
