// The part of replicated_log that elects a leader: terms, votes and election timers.
#include "toucanusher/process/replicated_log.h"

#include "src/process/log_voters.h"

namespace toucanusher {

void replicated_log::handle(time_point now, host_id from, vote_request const& request) {
    // While the leader is alive, vote requests are ignored, so that a host that returns from a
    // partition cannot depose it.
    bool const leader_alive =
        role_ == log_role::leader || now - last_leader_contact_ < options_.election_timeout;
    if (leader_alive && !faults_.skip_pre_vote) {
        if (request.pre_vote)
            send(from, vote_reply{state_.term, false, true}, hold_until::all_is_synced);
        return;
    }
    observe_term(now, request.term, request.pre_vote);
    log_term const own_term = *term_at(last_index());
    bool const up_to_date = request.last_term > own_term ||
                            (request.last_term == own_term && request.last_index >= last_index());
    if (request.pre_vote) {
        bool const granted = request.term > state_.term && up_to_date;
        send(from, vote_reply{granted ? request.term : state_.term, granted, true},
             hold_until::all_is_synced);
        return;
    }
    bool const may_vote = !state_.vote || *state_.vote == from;
    bool const granted = request.term == state_.term && up_to_date && may_vote;
    if (granted && !state_.vote) {
        state_.vote = from;
        write_state();
        reset_election_timer(now);
    }
    send(from, vote_reply{state_.term, granted, false}, vote_hold());
}

void replicated_log::handle(time_point now, host_id from, vote_reply const& reply) {
    if (!reply.granted) {
        observe_term(now, reply.term, false);
        return;
    }
    bool const expected_term = reply.term == state_.term + (pre_vote_ ? 1 : 0);
    if (role_ != log_role::candidate || reply.pre_vote != pre_vote_ || !expected_term)
        return;
    votes_[from] = true;
    if (!has_won_vote())
        return;
    if (pre_vote_)
        campaign(now, false);
    else
        become_leader(now);
}

// Returns true if the term is newer; this host is then a follower of that term.
bool replicated_log::observe_term(time_point now, log_term term, bool pre_vote) {
    if (pre_vote || term <= state_.term)
        return false;
    become_follower(now, term, std::nullopt);
    return true;
}

void replicated_log::accept_leader(time_point now, host_id from) {
    if (role_ != log_role::follower)
        become_follower(now, state_.term, from);
    leader_ = from;
    has_known_leader_ = true;
    last_leader_contact_ = now;
    reset_election_timer(now);
}

void replicated_log::become_follower(time_point now, log_term term, std::optional<host_id> leader) {
    if (term != state_.term) {
        state_ = {term, std::nullopt};
        write_state();
    }
    fail_reads();
    role_ = log_role::follower;
    leader_ = leader;
    votes_.clear();
    progress_.clear();
    reset_election_timer(now);
}

void replicated_log::campaign(time_point now, bool pre_vote) {
    role_ = log_role::candidate;
    leader_.reset();
    pre_vote_ = pre_vote;
    votes_ = {{options_.self, true}};
    reset_election_timer(now);
    if (!pre_vote) {
        state_ = {state_.term + 1, options_.self};
        write_state();
    }
    vote_request const request{state_.term + (pre_vote ? 1 : 0), last_index(),
                               *term_at(last_index()), pre_vote};
    for (host_id const voter : detail::all_voters(members_))
        if (voter != options_.self)
            send(voter, request, vote_hold());
    if (!has_won_vote())
        return;
    if (pre_vote)
        campaign(now, false);
    else
        become_leader(now);
}

void replicated_log::become_leader(time_point now) {
    role_ = log_role::leader;
    has_known_leader_ = true;
    leader_ = options_.self;
    became_leader_at_ = now;
    progress_.clear();
    // Entries of earlier terms commit only once an entry of the current term does.
    append_own(now, {.kind = entry_kind::no_op, .payload = {}, .members = {}});
    broadcast(now);
    advance_commit(now);
}

void replicated_log::reset_election_timer(time_point now) {
    // Hosts that start together need a wide spread to avoid split votes.
    constexpr int first_spread = 3;
    bool const first = !has_known_leader_ && options_.first_election_timeout.has_value();
    duration const base = first ? *options_.first_election_timeout : options_.election_timeout;
    duration const spread = first ? base * first_spread : base;
    auto const chosen =
        static_cast<duration::rep>(random_() % static_cast<std::uint64_t>(spread.count()));
    election_deadline_ = now + base + duration{chosen};
}

replicated_log::hold_until replicated_log::vote_hold() const {
    return faults_.skip_vote_sync ? hold_until::nothing : hold_until::all_is_synced;
}

bool replicated_log::has_quorum_contact(time_point now) const {
    if (now - became_leader_at_ < options_.election_timeout)
        return true;
    return reaches_quorum([&](host_id host) {
        auto const peer = progress_.find(host);
        return host == options_.self || (peer != progress_.end() &&
                                         now - peer->second.last_reply < options_.election_timeout);
    });
}

bool replicated_log::has_won_vote() const {
    return reaches_quorum([&](host_id host) {
        auto const vote = votes_.find(host);
        return vote != votes_.end() && vote->second;
    });
}

} // namespace toucanusher
