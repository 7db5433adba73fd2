#include "programs/answer_text.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>

#include "toucanusher/process/overloaded.h"

namespace toucanusher {

namespace {

using nlohmann::json;

char const* to_string(claim_verdict verdict) {
    switch (verdict) {
    case claim_verdict::in_force:
        return "in_force";
    case claim_verdict::overridden:
        return "overridden";
    case claim_verdict::withdrawn:
        return "withdrawn";
    case claim_verdict::refused:
        return "refused";
    }
    return "invalid";
}

json claim_json(claim const& item) {
    return {{"team", item.team},
            {"value", item.value},
            {"loudness", item.loudness},
            {"accepted", value_of(item.accepted)},
            {"changed", value_of(item.changed)}};
}

json result_json(claim_result const& result) {
    json page{{"verdict", to_string(result.verdict)}, {"version", value_of(result.version)}};
    if (result.winner)
        page["winner"] = claim_json(*result.winner);
    if (!result.reason.empty())
        page["reason"] = result.reason;
    return page;
}

json settings_json(settings_view const& view) {
    json list = json::array();
    for (setting_claims const& item : view.settings) {
        json claims = json::array();
        for (claim const& c : item.claims)
            claims.push_back(claim_json(c));
        list.push_back({{"service", item.setting.service},
                        {"key", item.setting.key},
                        {"in_force", item.claims.front().value},
                        {"claims", claims}});
    }
    return {{"version", value_of(view.version)}, {"settings", list}};
}

json history_json(history_view const& view) {
    json list = json::array();
    for (claim_record const& record : view.records)
        list.push_back({{"request", record.request},
                        {"path", to_string(record.path)},
                        {"value", record.value},
                        {"loudness", record.loudness},
                        {"result", result_json(record.result)}});
    return {{"history", list}};
}

json upstream_json(upstream_view const& item) {
    upstream_announcement const& announcement = item.record.announcement;
    return {{"service", announcement.service},
            {"name", announcement.name},
            {"life", absl::StrCat(absl::Hex(value_of(announcement.incarnation)))},
            {"agent", toucanusher::to_string(announcement.agent)},
            {"zone", announcement.zone},
            {"slots", announcement.slots},
            {"ready_percent", announcement.ready_percent},
            {"draining", announcement.draining},
            {"buckets", item.buckets},
            {"predecessor_buckets", item.predecessor_buckets}};
}

json status_json(status_view const& view) {
    json page{{"answered_by", value_of(view.answered_by)},
              {"term", view.term},
              {"version", value_of(view.version)},
              {"commit", view.commit}};
    if (view.leader)
        page["leader"] = value_of(*view.leader);
    else
        page["leader"] = nullptr;
    page["voters"] = json::array();
    for (host_id const host : view.hosts.voters)
        page["voters"].push_back(value_of(host));
    page["learners"] = json::array();
    for (host_id const host : view.hosts.learners)
        page["learners"].push_back(value_of(host));
    page["host_matches"] = json::object();
    for (auto const& [host, match] : view.host_matches)
        page["host_matches"][std::to_string(value_of(host))] = match;
    page["daemons"] = json::array();
    std::uint64_t slowest = value_of(view.version);
    for (daemon_view const& daemon : view.daemons) {
        slowest = std::min(slowest, value_of(daemon.applied));
        page["daemons"].push_back({{"name", daemon.name},
                                   {"role", to_string(daemon.role)},
                                   {"applied", value_of(daemon.applied)},
                                   {"silent_ms", daemon.since_last_contact.count()}});
    }
    page["slowest_applied"] = slowest;
    page["upstreams"] = json::array();
    for (upstream_view const& item : view.upstreams)
        page["upstreams"].push_back(upstream_json(item));
    page["balancers"] = json::array();
    for (balancer_record const& record : view.balancers)
        page["balancers"].push_back({{"name", record.name},
                                     {"replies", toucanusher::to_string(record.reply_address)},
                                     {"zone", record.zone},
                                     {"draining", record.draining}});
    return page;
}

std::string claim_line(claim const& item) {
    return absl::StrCat(item.value, "  (team ", item.team, ", loudness ", item.loudness,
                        ", since version ", value_of(item.accepted), ")");
}

std::string result_text(claim_result const& result) {
    switch (result.verdict) {
    case claim_verdict::in_force:
        return absl::StrCat("in force at version ", value_of(result.version), "\n");
    case claim_verdict::overridden:
        return absl::StrCat("recorded at version ", value_of(result.version), ", overridden by ",
                            claim_line(*result.winner), "\n");
    case claim_verdict::withdrawn:
        return absl::StrCat("withdrawn at version ", value_of(result.version), ", now in force: ",
                            result.winner ? claim_line(*result.winner) : "the default", "\n");
    case claim_verdict::refused:
        break;
    }
    return absl::StrCat("refused: ", result.reason, "\n");
}

std::string settings_text(settings_view const& view) {
    std::string text = absl::StrCat("version ", value_of(view.version), "\n");
    for (setting_claims const& item : view.settings) {
        absl::StrAppend(&text, item.setting.service, "/", item.setting.key, " = ",
                        claim_line(item.claims.front()), "\n");
        for (std::size_t i = 1; i < item.claims.size(); ++i)
            absl::StrAppend(&text, "    overridden: ", claim_line(item.claims[i]), "\n");
    }
    return text;
}

std::string history_text(history_view const& view) {
    std::string text;
    for (claim_record const& record : view.records)
        absl::StrAppend(&text, value_of(record.result.version), "  ", to_string(record.path), " = ",
                        record.value.empty() ? "(withdrawn)" : record.value, "  loudness ",
                        record.loudness, "  ", to_string(record.result.verdict), "\n");
    return text;
}

std::string status_text(status_view const& view) {
    std::string text = absl::StrCat("version ", value_of(view.version), ", term ", view.term,
                                    ", answered by host ", value_of(view.answered_by), ", ");
    absl::StrAppend(&text,
                    view.leader ? absl::StrCat("leader ", value_of(*view.leader))
                                : std::string("no leader"),
                    "\n");
    for (auto const& [host, match] : view.host_matches) {
        bool const is_learner = std::find(view.hosts.learners.begin(), view.hosts.learners.end(),
                                          host) != view.hosts.learners.end();
        absl::StrAppend(&text, "control ", value_of(host), is_learner ? " (learner)" : "",
                        ": log position ", match, " of ", view.commit, "\n");
    }
    for (daemon_view const& daemon : view.daemons)
        absl::StrAppend(&text, to_string(daemon.role), " ", daemon.name, ": version ",
                        value_of(daemon.applied), ", last contact ",
                        daemon.since_last_contact.count(), " ms ago\n");
    return text + upstream_table(view);
}

} // namespace

nlohmann::json to_json(operator_answer const& answer) {
    return std::visit(
        overloaded{
            [](operator_refusal const& refusal) -> json {
                return {{"refused", to_string(refusal.reason)}, {"detail", refusal.detail}};
            },
            [](claim_result const& result) { return result_json(result); },
            [](settings_view const& view) { return settings_json(view); },
            [](history_view const& view) { return history_json(view); },
            [](status_view const& view) { return status_json(view); },
            [](host_change_done const& done) -> json {
                return {{"voters", done.hosts.voters.size()},
                        {"learners", done.hosts.learners.size()}};
            },
        },
        answer);
}

std::string to_text(operator_answer const& answer) {
    return std::visit(
        overloaded{
            [](operator_refusal const& refusal) {
                return absl::StrCat("refused: ", to_string(refusal.reason),
                                    refusal.detail.empty() ? "" : ": ", refusal.detail, "\n");
            },
            [](claim_result const& result) { return result_text(result); },
            [](settings_view const& view) { return settings_text(view); },
            [](history_view const& view) { return history_text(view); },
            [](status_view const& view) { return status_text(view); },
            [](host_change_done const& done) {
                return absl::StrCat("proposed: ", done.hosts.voters.size(), " voters, ",
                                    done.hosts.learners.size(), " learners\n");
            },
        },
        answer);
}

std::string upstream_table(status_view const& status) {
    std::string text;
    for (upstream_view const& item : status.upstreams) {
        upstream_announcement const& announcement = item.record.announcement;
        absl::StrAppendFormat(
            &text, "%-12s %-16s %-8s %-22s slots %u ready %u%%%s buckets %u (+%u to hand over)\n",
            announcement.service, announcement.name, announcement.zone,
            toucanusher::to_string(announcement.agent), announcement.slots,
            announcement.ready_percent, announcement.draining ? " draining" : "", item.buckets,
            item.predecessor_buckets);
    }
    return text;
}

nlohmann::json to_json(call_result const& result) {
    return {{"outcome", result.answered ? to_string(result.outcome) : "no_answer"},
            {"reason", to_string(result.reason)},
            {"status", result.status},
            {"retry_after_ms", result.retry_after.count()},
            {"body", result.body}};
}

} // namespace toucanusher
