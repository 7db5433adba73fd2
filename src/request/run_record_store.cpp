#include "toucanusher/request/run_record_store.h"

namespace toucanusher {

run_record_reply run_record_store::record_run(time_point now, run_record_request const& request,
                                              bool state_is_recent) {
    run_record_reply reply{request.runner, options_.self, request.id,
                           run_record_reply_kind::abstained, request.runner};
    if (options_.always_grant) {
        reply.kind = run_record_reply_kind::granted;
        return reply;
    }
    if (auto const known = records_.find(request.id); known != records_.end()) {
        reply.runner = known->second.runner;
        bool const same_runner = reply.runner == request.runner &&
                                 known->second.runner_process == request.runner_process;
        reply.kind = same_runner ? run_record_reply_kind::granted : run_record_reply_kind::taken;
        return reply;
    }
    bool const abstains = abstain_until_ && now < *abstain_until_;
    if (abstains || !state_is_recent || records_.size() >= options_.max_records)
        return reply;
    records_[request.id] = {request.runner, request.runner_process, now};
    reply.kind = run_record_reply_kind::granted;
    return reply;
}

void run_record_store::remove_expired(time_point now) {
    if (now < next_removal_)
        return;
    next_removal_ = now + std::chrono::seconds{1};
    absl::erase_if(records_, [&](auto const& item) {
        return now - item.second.recorded_at > options_.retention;
    });
}

} // namespace toucanusher
