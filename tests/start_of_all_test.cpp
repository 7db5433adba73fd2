// Tests how the daemons of a large fleet get the state when all of them start at once: over links
// of low bandwidth that callers' packets half fill, while one control host is dead.
#include <algorithm>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <doctest/doctest.h>

#include "src/version/control_codec.h"
#include "src/version/state_codec.h"
#include "toucanusher/connection/control_contact.h"
#include "toucanusher/version/control_host.h"
#include "toucanusher/version/heartbeat_schedule.h"

namespace toucanusher::tests {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr duration tick = milliseconds{5};
constexpr duration one_way = milliseconds{1};
constexpr std::uint32_t hosts = 6;
constexpr std::uint32_t upstreams = 217;
// A pair socket keeps this many messages behind the one being sent and drops further ones.
constexpr std::size_t max_queued = 2;

struct start_options {
    std::uint32_t daemons = 120;
    std::uint32_t routes = 1800;
    double bytes_per_second = 125'000; // half of 2 Mbit/s
    std::uint32_t dead_host = 0;
    duration spread = milliseconds{200}; // the daemons start within this time
    duration link_loss_period{};         // each link is lost once in this time; zero: never
};

endpoint address_of(std::uint32_t host) {
    return {1 + host, 7000};
}

// One daemon as control_session drives it, with its link to a control host.
struct daemon_model {
    struct in_transit {
        time_point arrives_at{};
        control_message message;
    };

    daemon_model(std::uint32_t number, time_point start)
        : number(number), starts_at(start), contact({}, make_selector(number), start),
          heartbeats(start) {}

    static control_host_selector make_selector(std::uint32_t number) {
        std::vector<endpoint> seeds;
        for (std::uint32_t host = 0; host < hosts; ++host)
            seeds.push_back(address_of(host));
        return {std::move(seeds), number};
    }

    void replace_link() {
        to_daemon.clear();
        to_host.clear();
        link_free_at = {};
        ++link;
    }

    std::uint32_t number;
    time_point starts_at;
    control_contact contact;
    state_follower follower{make_state_codec(), 7};
    heartbeat_schedule heartbeats;
    std::deque<in_transit> to_daemon;
    std::deque<in_transit> to_host;
    time_point link_free_at{};
    std::uint32_t link = 0;
    time_point loses_link_at = time_point::max();
    std::uint64_t state_bytes = 0; // bytes of commands and snapshots that it was sent
    std::optional<time_point> in_force_at;
};

// The control hosts hold the same state, so one object stands for all that are alive.
class start_model {
  public:
    explicit start_model(start_options options) : options_(options) {
        durable_log stored;
        stored.snapshot.members.voters = {host_id{1}};
        control_options control;
        control.log.self = host_id{1};
        control.wall_clock = [] { return wall_time{}; };
        host_ = std::make_unique<control_host>(control, make_state_codec(), stored, now(),
                                               make_seeded_random(1));
        for (int i = 0; i < 200; ++i) {
            clock_.advance(milliseconds{10});
            take(host_->on_tick(now()));
        }
        announce_upstreams();
        configure(options_.routes);
        started_ = now();
        for (std::uint32_t i = 0; i < options_.daemons; ++i) {
            daemons_.emplace_back(i, now() + options_.spread * i / options_.daemons);
            if (options_.link_loss_period > duration::zero())
                daemons_.back().loses_link_at =
                    now() + options_.link_loss_period * (i + 1) / options_.daemons;
        }
    }

    void run_for(duration span) {
        for (time_point const end = now() + span; now() < end;) {
            clock_.advance(tick);
            take(host_->on_tick(now()));
            for (daemon_model& daemon : daemons_)
                if (now() >= daemon.starts_at)
                    step(daemon);
        }
    }

    // Puts another configuration in force, whose arrival at the daemons is then awaited.
    void change(std::uint32_t routes) {
        for (daemon_model& daemon : daemons_)
            daemon.in_force_at.reset();
        configure(routes);
    }

    // Cuts every fifth daemon off from all control hosts, or connects it again.
    void set_cut(bool cut) {
        cut_ = cut;
        started_ = now();
    }

    // Returns when the last daemon had the configuration, after the start of the first; nothing if
    // one does not have it.
    [[nodiscard]] std::optional<milliseconds> last_in_force() const {
        time_point last = started_;
        for (daemon_model const& daemon : daemons_) {
            if (!daemon.in_force_at)
                return std::nullopt;
            last = std::max(last, *daemon.in_force_at);
        }
        return std::chrono::duration_cast<milliseconds>(last - started_);
    }
    [[nodiscard]] std::uint64_t max_state_bytes() const {
        std::uint64_t most = 0;
        for (daemon_model const& daemon : daemons_)
            most = std::max(most, daemon.state_bytes);
        return most;
    }
    [[nodiscard]] std::uint64_t min_state_bytes() const {
        std::uint64_t least = daemons_.front().state_bytes;
        for (daemon_model const& daemon : daemons_)
            least = std::min(least, daemon.state_bytes);
        return least;
    }

  private:
    [[nodiscard]] time_point now() const { return clock_.now(); }

    void announce_upstreams() {
        for (std::uint32_t i = 0; i < upstreams; ++i) {
            heartbeat message;
            message.name = "agent " + std::to_string(i);
            message.follows_state = false;
            upstream_announcement announcement;
            announcement.service = i % 5 == 0 ? "drukwerk" : "veiling-link";
            announcement.name = "i-7f3a9" + std::to_string(i);
            announcement.incarnation = incarnation_id{1'700'000'000'000U + i};
            announcement.agent = {1000 + i, 7720};
            announcement.zone = "honselersdijk";
            announcement.slots = 2;
            announcement.reports_flows = true;
            message.upstreams = {announcement};
            take(host_->on_heartbeat(now(), client_id{1'000'000 + i}, message));
        }
    }

    void configure(std::uint32_t routes) {
        configuration made;
        made.number = ++number_;
        for (char const* name : {"veiling-link", "drukwerk"})
            made.services.push_back({name, "/healthz", 2000, std::string(90, 's')});
        for (std::uint32_t i = 0; i < routes; ++i) {
            route item;
            item.name = "r-a3hw" + std::to_string(i);
            item.address = {0xc6120000 + i, 8443};
            item.timeout = milliseconds{2500};
            item.objective = milliseconds{400};
            item.split = {{"veiling-link", 90}, {"drukwerk", 10}};
            item.document = std::string(190, 'x');
            made.routes.push_back(std::move(item));
        }
        take(host_->on_configuration(now(), number_, std::move(made)));
        REQUIRE(host_->state().routes()->number == number_);
    }

    void take(control_output output) {
        std::uint64_t synced = 0;
        while (!output.writes.empty() && output.writes.back().sequence != synced) {
            synced = output.writes.back().sequence;
            control_output more = host_->on_synced(now(), synced);
            std::move(more.writes.begin(), more.writes.end(), std::back_inserter(output.writes));
            std::move(more.to_clients.begin(), more.to_clients.end(),
                      std::back_inserter(output.to_clients));
        }
        for (send_to_client& item : output.to_clients)
            if (daemon_model* const daemon = daemon_of(item.client))
                send(*daemon, std::move(item.message));
    }

    // Each link is another client of the host.
    [[nodiscard]] client_id client_of(daemon_model const& daemon) const {
        return client_id{daemon.link * options_.daemons + daemon.number};
    }
    daemon_model* daemon_of(client_id client) {
        auto const value = static_cast<std::uint32_t>(client);
        if (daemons_.empty() || value >= 1'000'000)
            return nullptr;
        daemon_model& daemon = daemons_[value % options_.daemons];
        return client_of(daemon) == client ? &daemon : nullptr;
    }

    void send(daemon_model& daemon, control_message message) {
        if (daemon.to_daemon.size() > max_queued || is_cut(daemon))
            return;
        auto const& update = std::get<state_update>(message);
        std::size_t state = update.snapshot ? snapshot_bytes(update) : 0;
        for (std::string const& command : update.commands)
            state += command.size();
        daemon.state_bytes += state;
        std::size_t const bytes = encode_control_message(message).size();
        daemon.link_free_at = std::max(daemon.link_free_at, now()) +
                              std::chrono::duration_cast<duration>(std::chrono::duration<double>(
                                  static_cast<double>(bytes) / options_.bytes_per_second));
        daemon.to_daemon.push_back({daemon.link_free_at + one_way, std::move(message)});
    }

    static std::size_t snapshot_bytes(state_update const& update) {
        return update.snapshot->bytes.size();
    }

    void step(daemon_model& daemon) {
        if (now() >= daemon.loses_link_at) {
            daemon.loses_link_at = time_point::max();
            daemon.replace_link();
            daemon.heartbeats.request(now());
        }
        while (!daemon.to_host.empty() && daemon.to_host.front().arrives_at <= now()) {
            control_message const message = std::move(daemon.to_host.front().message);
            daemon.to_host.pop_front();
            take(host_->on_heartbeat(now(), client_of(daemon), std::get<heartbeat>(message)));
        }
        while (!daemon.to_daemon.empty() && daemon.to_daemon.front().arrives_at <= now()) {
            control_message const message = std::move(daemon.to_daemon.front().message);
            daemon.to_daemon.pop_front();
            receive(daemon, std::get<state_update>(message));
        }
        if (daemon.contact.on_tick(now()) == contact_step::connect) {
            daemon.replace_link();
            daemon.heartbeats.request(now());
        }
        if (daemon.heartbeats.is_due(now()))
            send_heartbeat(daemon);
    }

    void receive(daemon_model& daemon, state_update const& update) {
        (void)daemon.contact.on_update(now(), update);
        version_number const before = daemon.follower.version();
        if (update.snapshot)
            daemon.heartbeats.request(now());
        update_outcome const outcome = daemon.follower.on_update(now(), update);
        if (outcome == update_outcome::gap || daemon.follower.version() != before)
            daemon.heartbeats.on_update(now());
        if (daemon.follower.confirmed() && daemon.follower.state()->routes()->number == number_ &&
            !daemon.in_force_at)
            daemon.in_force_at = now();
    }

    void send_heartbeat(daemon_model& daemon) {
        daemon.heartbeats.on_sent(now(), daemon.in_force_at.has_value());
        heartbeat message;
        message.name = "b" + std::to_string(daemon.number);
        message.process_instance = 7;
        message.applied = daemon.follower.version();
        message.transfer = daemon.follower.transfer();
        message.wants_confirmation = !daemon.follower.confirmed() && !message.transfer;
        if (daemon.contact.host() != address_of(options_.dead_host) && !is_cut(daemon))
            daemon.to_host.push_back({now() + one_way, message});
    }

    [[nodiscard]] bool is_cut(daemon_model const& daemon) const {
        return cut_ && daemon.number % 5 == 0;
    }

    start_options options_;
    manual_clock clock_;
    std::unique_ptr<control_host> host_;
    std::vector<daemon_model> daemons_;
    time_point started_{};
    std::uint64_t number_ = 0; // of the configuration in force
    bool cut_ = false;
};

} // namespace

TEST_CASE("a snapshot is shorter than the operator's texts of its routes") {
    start_model model({.daemons = 1});
    model.run_for(seconds{3});
    REQUIRE(model.last_in_force());
    CHECK(model.max_state_bytes() < 1800 * 190);
    MESSAGE(model.max_state_bytes(), " bytes of state");
}

TEST_CASE("a transfer continues where it stopped after its link was lost") {
    start_model whole({});
    whole.run_for(seconds{20});
    start_model broken({.link_loss_period = seconds{1}});
    broken.run_for(seconds{20});
    REQUIRE(broken.last_in_force());
    CHECK(*broken.last_in_force() < seconds{3});
    // At most the window that was in transit is sent again, and the bytes of the next one.
    CHECK(broken.max_state_bytes() <= whole.max_state_bytes() + (64U << 10U));
}

// Load pattern: all hosts get power back at once, with 1,800 routes in force.
TEST_CASE("all daemons of a large fleet have the state soon after they start at once") {
    for (std::uint32_t dead = 0; dead < hosts; ++dead) {
        CAPTURE(dead);
        start_model model({.dead_host = dead});
        model.run_for(seconds{20});
        REQUIRE(model.last_in_force());
        CHECK(*model.last_in_force() < seconds{3});
        // Nothing is sent twice over a link that works.
        CHECK(model.max_state_bytes() == model.min_state_bytes());
        MESSAGE("in force after ", model.last_in_force()->count(), " ms, ", model.max_state_bytes(),
                " bytes of state");
    }
}

// Load pattern: a fifth of the balancers is cut off for 7 s while a large configuration is
// accepted.
TEST_CASE("daemons that were cut off during a large change have it soon after they are back") {
    start_model model({.routes = 240});
    model.run_for(seconds{5});
    REQUIRE(model.last_in_force());
    model.set_cut(true);
    model.run_for(seconds{1});
    model.change(1240);
    model.run_for(seconds{6});
    CHECK_FALSE(model.last_in_force());
    model.set_cut(false);
    model.run_for(seconds{20});
    REQUIRE(model.last_in_force());
    CHECK(*model.last_in_force() < seconds{3});
    MESSAGE("in force after ", model.last_in_force()->count(), " ms");
}

} // namespace toucanusher::tests
