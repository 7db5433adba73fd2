// The operators' command-line tool.
//
// Exit codes: 0 done, 1 refused or failed, 2 wrong usage, 3 recorded but overridden, 4 outcome
// unknown.
#include <popt.h>

#include <cstdio>
#include <cstdlib>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>

#include "programs/answer_text.h"
#include "programs/explain.h"
#include "programs/operator_client.h"
#include "programs/service_call.h"
#include "programs/version_text.h"
#include "src/process/io/daemon_config.h"
#include "src/process/io/event_log.h"
#include "toucanusher/version/settings.h"

namespace toucanusher {

namespace {

constexpr int exit_ok = 0;
constexpr int exit_refused = 1;
constexpr int exit_usage = 2;
constexpr int exit_overridden = 3;
constexpr int exit_outcome_unknown = 4;

constexpr char const* commands_help =
    "Commands:\n"
    "  check-config FILE         check a daemon's settings file and report every error\n"
    "  set /TEAM/SERVICE/KEY VALUE   claim a setting (--loudness, --expect, --request)\n"
    "  withdraw /TEAM/SERVICE/KEY    withdraw a claim (--expect, --request)\n"
    "  get [SERVICE[/KEY]]       settings in force, with every overridden claim\n"
    "  history [N]               the newest N writes\n"
    "  status                    control hosts, daemons and the versions they applied\n"
    "  upstreams                 upstreams with their share of the buckets\n"
    "  call IP:PORT[,IP:PORT] [BODY]  send one request (--class, --idempotent, --deadline)\n"
    "  hosts add|promote|remove ID    change the control hosts, with the fleet's key\n"
    "  settings                  list every setting key\n"
    "  explain FILE...           explain a flow or upstream from its logs (--flow, --upstream)\n"
    "Exit codes: 0 done, 1 refused, 2 usage, 3 overridden, 4 outcome unknown\n";

// Options as filled in by popt, which owns the strings.
struct raw_options {
    char* control = nullptr;
    char* keys = nullptr;
    char* team = nullptr;
    char* request = nullptr;
    char* kind = nullptr;
    char* expect = nullptr;
    char* flow = nullptr;
    char* upstream = nullptr;
    int loudness = 0;
    int timeout = 10000;
    int deadline = 2000;
    int idempotent = 0;
    int json = 0;
    int version = 0;
};

struct invocation {
    raw_options const& options;
    std::vector<std::string> positional; // after the command
};

std::string option_or_variable(char const* value, char const* variable) {
    if (value != nullptr)
        return value;
    char const* const from_environment = std::getenv(variable);
    return from_environment == nullptr ? "" : from_environment;
}

int fail(std::string const& message, int code = exit_refused) {
    std::fprintf(stderr, "toucanusher: %s\n", message.c_str());
    return code;
}

std::optional<std::map<host_id, endpoint>> parse_hosts(std::string const& text) {
    std::map<host_id, endpoint> hosts;
    for (absl::string_view const item : absl::StrSplit(text, ',', absl::SkipWhitespace())) {
        std::pair<std::string, std::string> const parts =
            absl::StrSplit(item, absl::MaxSplits('@', 1));
        std::uint32_t id = 0;
        auto const address = parse_endpoint(parts.second);
        if (!absl::SimpleAtoi(parts.first, &id) || !address)
            return std::nullopt;
        hosts[host_id{id}] = *address;
    }
    return hosts.empty() ? std::nullopt : std::optional{hosts};
}

// Sends an action to control and prints the answer. Returns the exit code.
int call_control(invocation const& args, std::string const& team, operator_action action,
                 std::function<std::string(operator_answer const&)> const& print) {
    auto const hosts = parse_hosts(option_or_variable(args.options.control, "TOUCANUSHER_CONTROL"));
    if (!hosts)
        return fail("--control needs a list such as 1@127.0.0.1:7101,2@127.0.0.1:7102", exit_usage);
    auto keys = keyring::load(option_or_variable(args.options.keys, "TOUCANUSHER_KEYS"));
    if (!keys.ok())
        return fail(absl::StrCat("--keys: ", keys.status().message()), exit_usage);
    operator_options options;
    options.hosts = *hosts;
    options.key = team.empty() ? keys->current : absl::StrCat("team:", team);
    options.timeout = std::chrono::milliseconds{args.options.timeout};
    if (!keys->keys.contains(options.key))
        return fail(absl::StrCat("the key file has no key for ", options.key), exit_usage);
    key_store const store(*std::move(keys));
    auto const sealer = make_envelope(store);
    monotonic_clock const clock;
    std::string id = option_or_variable(args.options.request, "TOUCANUSHER_REQUEST");
    if (id.empty())
        id = absl::StrCat(absl::Hex(make_system_random()()));
    if (auto* write = std::get_if<write_claim>(&action))
        write->request = id;
    if (auto* withdraw = std::get_if<withdraw_claim>(&action))
        withdraw->request = id;
    auto const answer =
        operator_client(options, *sealer, clock).send_request({id, std::move(action)});
    if (!answer.ok())
        return fail(absl::StrCat(answer.status().message(), " (", id, ")"), exit_outcome_unknown);
    std::string const text =
        args.options.json != 0 ? to_json(*answer).dump(2) + "\n" : print(*answer);
    std::fputs(text.c_str(), stdout);
    if (std::holds_alternative<operator_refusal>(*answer))
        return exit_refused;
    auto const* result = std::get_if<claim_result>(&*answer);
    if (result != nullptr && result->verdict == claim_verdict::refused)
        return exit_refused;
    if (result != nullptr && result->verdict == claim_verdict::overridden)
        return exit_overridden;
    return exit_ok;
}

// Reads use the given team's key, or the fleet's if no team is given.
int read_control(invocation const& args, operator_action action) {
    return call_control(args, option_or_variable(args.options.team, "TOUCANUSHER_TEAM"),
                        std::move(action),
                        [](operator_answer const& answer) { return to_text(answer); });
}

std::optional<std::optional<version_number>> parse_expected_version(char const* text) {
    if (text == nullptr)
        return std::optional<version_number>{};
    std::uint64_t version = 0;
    if (!absl::SimpleAtoi(text, &version))
        return std::nullopt;
    return std::optional{version_number{version}};
}

int run_check_config(invocation const& args) {
    if (args.positional.size() != 1)
        return fail("check-config needs one file", exit_usage);
    auto const config = load_daemon_config(args.positional[0]);
    if (!config.ok()) {
        std::fprintf(stderr, "%s\n", std::string(config.status().message()).c_str());
        return exit_refused;
    }
    std::printf("%s: valid\n", args.positional[0].c_str());
    return exit_ok;
}

int run_claim_write(invocation const& args, bool is_withdrawal) {
    bool const has_arguments = args.positional.size() == (is_withdrawal ? 1 : 2);
    auto const path = has_arguments ? parse_setting_path(args.positional[0]) : std::nullopt;
    auto const expected = parse_expected_version(args.options.expect);
    if (!path)
        return fail("set and withdraw need a path such as /team/service/key", exit_usage);
    if (!expected)
        return fail("--expect needs a version", exit_usage);
    operator_action action = withdraw_claim{{}, *path, *expected};
    if (!is_withdrawal)
        action = write_claim{{},
                             *path,
                             args.positional[1],
                             static_cast<std::uint32_t>(args.options.loudness),
                             *expected};
    return call_control(args, path->team, std::move(action),
                        [](operator_answer const& answer) { return to_text(answer); });
}

int run_get(invocation const& args) {
    read_settings action;
    if (!args.positional.empty()) {
        std::pair<std::string, std::string> const parts =
            absl::StrSplit(args.positional[0], absl::MaxSplits('/', 1));
        action.service = parts.first;
        action.key = parts.second;
    }
    return read_control(args, action);
}

int run_history(invocation const& args) {
    read_history action;
    if (!args.positional.empty() && !absl::SimpleAtoi(args.positional[0], &action.limit))
        return fail("history needs a number", exit_usage);
    return read_control(args, action);
}

int run_upstreams(invocation const& args) {
    return call_control(args, option_or_variable(args.options.team, "TOUCANUSHER_TEAM"),
                        read_status{}, [](operator_answer const& answer) {
                            auto const* status = std::get_if<status_view>(&answer);
                            return status == nullptr ? to_text(answer) : upstream_table(*status);
                        });
}

int run_hosts(invocation const& args) {
    static std::map<std::string, host_change> const changes = {{"add", host_change::add_learner},
                                                               {"promote", host_change::promote},
                                                               {"remove", host_change::remove}};
    std::uint32_t id = 0;
    if (args.positional.size() != 2 || !changes.contains(args.positional[0]) ||
        !absl::SimpleAtoi(args.positional[1], &id))
        return fail("hosts needs add, promote or remove, and a host id", exit_usage);
    return call_control(args, "", change_hosts{changes.at(args.positional[0]), host_id{id}},
                        [](operator_answer const& answer) { return to_text(answer); });
}

int run_call(invocation const& args) {
    static std::map<std::string, request_class> const classes = {{"urgent", request_class::urgent},
                                                                 {"normal", request_class::normal},
                                                                 {"bulk", request_class::bulk}};
    if (args.positional.empty() || args.positional.size() > 2)
        return fail("call needs addresses and at most one body", exit_usage);
    std::vector<endpoint> addresses;
    for (absl::string_view const item : absl::StrSplit(args.positional[0], ',')) {
        auto const address = parse_endpoint({item.data(), item.size()});
        if (!address)
            return fail(absl::StrCat("not an address: ", item), exit_usage);
        addresses.push_back(*address);
    }
    std::string const class_name = args.options.kind == nullptr ? "normal" : args.options.kind;
    if (!classes.contains(class_name))
        return fail("--class must be urgent, normal or bulk", exit_usage);
    call_options options;
    options.kind = classes.at(class_name);
    options.idempotent = args.options.idempotent != 0;
    options.deadline = std::chrono::milliseconds{args.options.deadline};
    options.team = option_or_variable(args.options.team, "TOUCANUSHER_TEAM");
    monotonic_clock const clock;
    auto const result = call_service(addresses, options,
                                     args.positional.size() == 2 ? args.positional[1] : "", clock);
    if (!result.ok())
        return fail(std::string(result.status().message()));
    if (args.options.json != 0)
        std::printf("%s\n", to_json(*result).dump(2).c_str());
    else
        std::printf("%s %s status %u\n%s\n",
                    result->answered ? to_string(result->outcome) : "no_answer",
                    to_string(result->reason), result->status, result->body.c_str());
    if (!result->answered || result->outcome == request_outcome::unknown)
        return exit_outcome_unknown;
    return result->outcome == request_outcome::done ? exit_ok : exit_refused;
}

int run_settings(invocation const& /*given*/) {
    for (std::string const& key : setting_keys())
        std::printf("%-14s %s\n", key.c_str(), describe_setting(key).c_str());
    return exit_ok;
}

int run_explain_command(invocation const& args) {
    explain_filter filter;
    filter.caller = args.options.flow == nullptr ? "" : args.options.flow;
    filter.upstream = args.options.upstream == nullptr ? "" : args.options.upstream;
    if (args.positional.empty() || (filter.caller.empty() && filter.upstream.empty()))
        return fail("explain needs --flow IP:PORT or --upstream NAME, and log files", exit_usage);
    return run_explain(args.positional, filter, args.options.json != 0);
}

int run_command(std::string const& name, invocation const& args) {
    static std::map<std::string, std::function<int(invocation const&)>> const commands = {
        {"check-config", run_check_config},
        {"set", [](invocation const& i) { return run_claim_write(i, false); }},
        {"withdraw", [](invocation const& i) { return run_claim_write(i, true); }},
        {"get", run_get},
        {"history", run_history},
        {"explain", run_explain_command},
        {"status", [](invocation const& i) { return read_control(i, read_status{}); }},
        {"upstreams", run_upstreams},
        {"call", run_call},
        {"hosts", run_hosts},
        {"settings", run_settings},
    };
    auto const found = commands.find(name);
    if (found != commands.end())
        return found->second(args);
    std::vector<std::string> names;
    for (auto const& [command, run] : commands)
        names.push_back(command);
    std::string const suggestion = nearest_name(name, names);
    return fail(suggestion.empty()
                    ? absl::StrCat("unknown command ", name)
                    : absl::StrCat("unknown command ", name, "; did you mean ", suggestion, "?"),
                exit_usage);
}

} // namespace

} // namespace toucanusher

int main(int argc, char const** argv) {
    toucanusher::raw_options args;
    poptOption const options[] = {
        {"control", 0, POPT_ARG_STRING, &args.control, 0, "Control hosts (or TOUCANUSHER_CONTROL)",
         "ID@IP:PORT,..."},
        {"keys", 0, POPT_ARG_STRING, &args.keys, 0, "Key file (or TOUCANUSHER_KEYS)", "FILE"},
        {"team", 0, POPT_ARG_STRING, &args.team, 0,
         "Team whose key seals reads (or TOUCANUSHER_TEAM)", "NAME"},
        {"loudness", 'l', POPT_ARG_INT, &args.loudness, 0, "Loudness of a claim, 0 to 1000", "N"},
        {"expect", 0, POPT_ARG_STRING, &args.expect, 0,
         "Write only if the claim last changed at this version, 0 for none", "VERSION"},
        {"request", 0, POPT_ARG_STRING, &args.request, 0,
         "Request id; resend with the same id if the answer was lost", "ID"},
        {"timeout", 0, POPT_ARG_INT, &args.timeout, 0, "Milliseconds to wait for control", "MS"},
        {"class", 0, POPT_ARG_STRING, &args.kind, 0, "call: urgent, normal or bulk", "CLASS"},
        {"idempotent", 0, POPT_ARG_NONE, &args.idempotent, 0, "call: may run more than once",
         nullptr},
        {"deadline", 0, POPT_ARG_INT, &args.deadline, 0, "call: milliseconds", "MS"},
        {"flow", 0, POPT_ARG_STRING, &args.flow, 0, "explain: the caller's address", "IP:PORT"},
        {"upstream", 0, POPT_ARG_STRING, &args.upstream, 0, "explain: an upstream", "NAME"},
        {"json", 0, POPT_ARG_NONE, &args.json, 0, "Print JSON", nullptr},
        {"version", 0, POPT_ARG_NONE, &args.version, 0, "Print the version", nullptr},
        POPT_AUTOHELP POPT_TABLEEND};
    poptContext const parser = poptGetContext("toucanusher", argc, argv, options, 0);
    poptSetOtherOptionHelp(parser, "[OPTIONS] COMMAND [ARGUMENTS]");
    int const parse_result = poptGetNextOpt(parser);
    std::vector<std::string> arguments;
    while (char const* const word = poptGetArg(parser))
        arguments.emplace_back(word);
    int code = toucanusher::exit_usage;
    if (args.version != 0) {
        std::printf("toucanusher %s\n", toucanusher::version_text);
        code = toucanusher::exit_ok;
    } else if (parse_result < -1) {
        std::fprintf(stderr, "toucanusher: %s: %s\n", poptBadOption(parser, 0),
                     poptStrerror(parse_result));
    } else if (arguments.empty()) {
        poptPrintUsage(parser, stderr, 0);
        std::fputs(toucanusher::commands_help, stderr);
    } else if (toucanusher::initialize_crypto()) {
        std::string const name = arguments.front();
        arguments.erase(arguments.begin());
        toucanusher::start_logging("toucanusher", toucanusher::log_stream::standard_error);
        code = toucanusher::run_command(name, {args, std::move(arguments)});
    }
    poptFreeContext(parser);
    return code;
}
