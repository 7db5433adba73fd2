#include "programs/control_session.h"

#include <algorithm>
#include <functional>
#include <utility>

#include "src/version/control_codec.h"
#include "src/version/state_codec.h"

namespace toucanusher {

namespace {

constexpr duration heartbeat_interval = std::chrono::seconds{1};
constexpr duration report_within = std::chrono::milliseconds{150}; // of a newly applied version
constexpr std::size_t event_ring = 1024;
// Control answers every heartbeat at once. A host that did not answer the first ones stands still
// or is gone, and another is asked; one that answered before gets the time of a short stall.
constexpr duration first_silence = std::chrono::milliseconds{350};
constexpr duration first_heartbeat_interval = std::chrono::milliseconds{150};

} // namespace

control_session::control_session(process_context& context, daemon_role role, news_hook on_news)
    : context_(context), role_(role), on_news_(std::move(on_news)),
      contacts_(make_contacts(context.config)), events_(event_ring),
      follower_(make_state_codec(), context.process),
      monitor_({.first_silence = first_silence, .replacements_per_peer = 0}, context.clock.now()),
      heard_(time_point{}) {
    duty_ = std::make_unique<duty>("control-link", [this] { run(); });
}

control_session::~control_session() {
    close();
}

void control_session::announce(heartbeat content) {
    {
        std::lock_guard const lock(mutex_);
        content_ = std::move(content);
    }
    (void)events_.try_push(beat_now{}); // a full ring means that a heartbeat is due anyway
}

void control_session::release(release_buckets command) {
    {
        std::lock_guard const lock(mutex_);
        releases_.push_back(std::move(command));
    }
    (void)events_.try_push(beat_now{});
}

std::chrono::milliseconds control_session::silence() const {
    return std::chrono::duration_cast<std::chrono::milliseconds>(context_.clock.now() -
                                                                 heard_.load());
}

void control_session::set_seeds(std::vector<endpoint> seeds) {
    if (!events_.try_push(new_seeds{std::move(seeds)}))
        context_.counters.count_refusal("control", "ring_full");
}

void control_session::close() {
    events_.close();
    if (duty_)
        duty_->join();
    link_.reset();
}

void control_session::run() {
    connect();
    time_point next_beat = context_.clock.now();
    while (!events_.finished()) {
        time_point const now = context_.clock.now();
        if (now >= next_beat) {
            send_heartbeat(now);
            next_beat = now + (settled() ? heartbeat_interval : first_heartbeat_interval);
        }
        if (take_step(monitor_.on_tick(now)))
            next_beat = now;
        auto event = events_.pop_until(next_beat);
        if (!event)
            continue;
        version_number const before = follower_.version();
        if (auto const* bytes = std::get_if<std::string>(&*event))
            on_bytes(context_.clock.now(), *bytes);
        else if (auto* seeds = std::get_if<new_seeds>(&*event))
            contacts_.set_seeds(std::move(seeds->links));
        else
            next_beat = context_.clock.now();
        if (std::exchange(new_link_, false))
            next_beat = context_.clock.now();
        if (follower_.version() != before || std::exchange(ask_again_, false))
            next_beat = std::min(next_beat, context_.clock.now() + report_within);
    }
}

// False while the host in use has not answered, or has not confirmed what this daemon needs.
bool control_session::settled() const {
    bool const wants_state = [this] {
        std::lock_guard const lock(mutex_);
        return content_.follows_state;
    }();
    return monitor_.answered() && (follower_.confirmed() || !wants_state);
}

void control_session::connect() {
    link_.reset();
    auto link = link_client::open(contacts_.current(), [this](std::string bytes) {
        if (!events_.try_push(std::move(bytes)))
            context_.counters.count_refusal("control", "ring_full");
    });
    if (link.ok())
        link_ = *std::move(link);
    else
        context_.events->rate_limited_warning(
            event_line("control_link_failed").add("reason", link.status().ToString()));
}

void control_session::send_heartbeat(time_point /*now*/) {
    heartbeat beat;
    {
        std::lock_guard const lock(mutex_);
        beat = content_;
        beat.releases = std::exchange(releases_, {});
    }
    beat.name = context_.config.name;
    beat.role = role_;
    beat.process = context_.process;
    beat.applied = follower_.version();
    beat.wants_confirmation = beat.follows_state && !follower_.confirmed();
    std::string const sealed = context_.sealer->seal(encode_control_message(beat));
    if (!link_ || !link_->send(sealed))
        context_.counters.count_refusal("control", "link_send_failed");
    context_.counters.count("heartbeat_sent");
    context_.counters.count("control_bytes_sent", static_cast<double>(sealed.size()));
}

void control_session::on_bytes(time_point now, std::string const& bytes) {
    context_.counters.count("control_bytes_received", static_cast<double>(bytes.size()));
    auto const opened = context_.sealer->open(bytes);
    if (auto const* refusal = std::get_if<seal_refusal>(&opened)) {
        context_.counters.count_refusal("control", to_string(*refusal));
        return;
    }
    auto const message = decode_control_message(std::get<opened_message>(opened).plaintext);
    auto const* update = message.ok() ? std::get_if<state_update>(&*message) : nullptr;
    if (update == nullptr || !std::get<opened_message>(opened).from_fleet()) {
        context_.counters.count_refusal("control", "malformed");
        return;
    }
    if (update->directory_only) {
        on_directory(update->control_hosts);
        return;
    }
    contacts_.learn(update->control_hosts);
    version_number const before = follower_.version();
    update_outcome const outcome = follower_.on_update(now, *update);
    if (outcome == update_outcome::malformed)
        context_.counters.count_refusal("control", "malformed_update");
    // What is missing may still be on its way, so it is not asked for at once.
    if (outcome == update_outcome::gap)
        ask_again_ = true;
    monitor_.heard(now);
    heard_ = now;
    applied_ = value_of(follower_.version());
    context_.counters.set("applied_version", static_cast<double>(applied_));
    if (follower_.version() != before)
        context_.events->rate_limited_warning(
            event_line("version_applied").add("version", value_of(follower_.version())));
    if (value_of(follower_.version()) > value_of(before) + update->commands.size())
        context_.counters.count("snapshot_applied");
    time_point const leader_heard = update->leader_age ? now - *update->leader_age : time_point{};
    on_news_({follower_.state(), follower_.confirmed(), leader_heard, contacts_.current(),
              contacts_.named()});
}

// If it knows no other process, it counts as silent.
void control_session::on_directory(std::vector<endpoint> const& control_hosts) {
    endpoint const asked = contacts_.current();
    if (!contacts_.follow_directory(control_hosts))
        return;
    context_.events->rate_limited_warning(event_line("control_elsewhere")
                                              .add("asked", to_string(asked))
                                              .add("next", to_string(contacts_.current())));
    connect();
    new_link_ = true;
}

// True if there is a new link.
bool control_session::take_step(link_step step) {
    if (step == link_step::keep)
        return false;
    context_.counters.count(step == link_step::replace ? "link_replaced" : "control_host_changed");
    context_.events->rate_limited_warning(
        event_line("control_silent")
            .add("host", to_string(contacts_.current()))
            .add("step", step == link_step::replace ? "replace" : "next"));
    if (step == link_step::next_peer)
        contacts_.leave_current();
    connect();
    return true;
}

control_contacts control_session::make_contacts(daemon_config const& config) {
    std::vector<endpoint> seeds;
    for (auto const& [id, where] : config.control_hosts)
        seeds.push_back(where);
    for (endpoint const& where : seed_link_addresses(config))
        seeds.push_back(where);
    return {std::move(seeds), std::hash<std::string>{}(config.name)};
}

} // namespace toucanusher
