#include "tests/model_follower.h"

#include <algorithm>
#include <utility>

namespace toucanusher::tests {

namespace {

using std::chrono::milliseconds;

} // namespace

void model_follower::start(time_point now, std::vector<endpoint> seeds, std::size_t first_seed,
                           bool is_first_start) {
    host_referral_options options;
    options.may_appoint =
        is_first_start && address_ == *std::min_element(seeds.begin(), seeds.end());
    referral_.emplace(options, now);
    contact_.emplace(control_contact_options{}, control_host_selector{std::move(seeds), first_seed},
                     now);
    heartbeats_.emplace(now);
}

void model_follower::stop(time_point restart_at) {
    contact_.reset();
    heartbeats_.reset();
    last_session_ = {};
    referral_.reset();
    restart_at_ = restart_at;
}

void model_follower::set_seeds(std::vector<endpoint> const& seeds) {
    if (contact_)
        contact_->set_seeds(seeds);
}

std::optional<endpoint> model_follower::on_tick(time_point now) {
    apply(now, contact_->on_tick(now));
    if (has_session())
        last_session_ = now;
    if (!heartbeats_->is_due(now))
        return std::nullopt;
    heartbeats_->on_sent(now, has_session() && !contact_->loses_leader());
    return contact_->host();
}

void model_follower::on_update(time_point now, endpoint from, state_update const& update) {
    if (from != contact_->host())
        return;
    apply(now, contact_->on_update(now, update));
    if (contact_->answered() && contact_->loses_leader())
        heartbeats_->on_update(now);
    if (!update.directory_only)
        referral_->set_hosts(contact_->directory(), contact_->directory_version());
}

void model_follower::on_announcement(time_point now, join_answer const& announced) {
    referral_->on_announcement();
    apply(now, contact_->on_announcement(now, announced.hosts, announced.version));
}

bool model_follower::has_session() const {
    return contact_ && contact_->has_leader();
}

std::string model_follower::describe(time_point now) const {
    std::string text = to_string(address_) + (redirects_ ? " redirects" : " follows");
    if (!contact_)
        return text + ", down";
    text += ", asks " + to_string(contact_->host()) + (contact_->answered() ? " answered" : "");
    if (auto const age = contact_->leader_contact_age())
        text += " leader contact " + std::to_string(*age / milliseconds{1}) + " ms";
    return text + ", last session " + std::to_string((now - last_session_) / milliseconds{1}) +
           " ms ago";
}

void model_follower::apply(time_point now, contact_step step) {
    if (step == contact_step::connect)
        heartbeats_->request(now);
}

} // namespace toucanusher::tests
