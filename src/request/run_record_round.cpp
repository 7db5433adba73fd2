#include "toucanusher/request/run_record_round.h"

#include <utility>

namespace toucanusher {

run_record_round::run_record_round(std::vector<std::vector<upstream_ref>> sets)
    : sets_(std::move(sets)) {
    for (auto const& set : sets_)
        for (upstream_ref const replica : set)
            replies_[replica];
}

void run_record_round::on_reply(run_record_reply const& reply) {
    auto const known = replies_.find(reply.replica);
    if (known == replies_.end())
        return;
    known->second = reply.kind;
    if (reply.kind == run_record_reply_kind::taken)
        runner_ = reply.runner;
}

run_record_state run_record_round::state() const {
    bool all_granted = !sets_.empty();
    bool impossible = sets_.empty();
    for (auto const& set : sets_) {
        std::size_t granted = 0;
        std::size_t pending = 0;
        for (upstream_ref const replica : set) {
            auto const& reply = replies_.at(replica);
            granted += reply == run_record_reply_kind::granted ? 1 : 0;
            pending += reply ? 0 : 1;
        }
        std::size_t const needed = set.size() / 2 + 1;
        all_granted = all_granted && granted >= needed;
        impossible = impossible || granted + pending < needed;
    }
    if (all_granted)
        return run_record_state::granted;
    if (!impossible)
        return run_record_state::pending;
    return runner_ ? run_record_state::taken : run_record_state::unavailable;
}

std::vector<upstream_ref> run_record_round::missing() const {
    std::vector<upstream_ref> result;
    for (auto const& [replica, reply] : replies_)
        if (!reply)
            result.push_back(replica);
    return result;
}

} // namespace toucanusher
