"""Demo: a fleet on the loopback network under load, with a drain and a restart of a balancer.

Prints a table of measured and required values. Exits 0 only if all required values were met.
"""

import json
import sys
import time

from fleet import Fleet, get_json

FEED_PORT = 8000
BATCH_PORT = 8001
LOAD_MS = 20000


def start_fleet(fleet):
    fleet.write_keys(["growers", "packers"])
    fleet.plan_control(3)
    for i in (1, 2, 3):
        fleet.add_control(i)
    for i in (1, 2):
        fleet.add_balancer(i, zone="ab"[i - 1])
    # Two services with two upstreams each: feed is a session service, batch a request service.
    for i, service in enumerate(["feed", "feed", "batch", "batch"], start=1):
        fleet.add_agent(i, service, slots=3, zone="ab"[i % 2])


def write_settings(fleet):
    fleet.wait_for("a leader", lambda: fleet.status()["leader"])
    fleet.set("/growers/feed/kind", "session")
    fleet.set("/growers/feed/address", f"127.0.9.1:{FEED_PORT}")
    fleet.set("/growers/batch/kind", "request")
    answer = fleet.set("/growers/batch/address", f"127.0.9.2:{BATCH_PORT}")
    fleet.wait_for("all daemons have applied the settings",
                   lambda: fleet.daemons_at(answer["version"]) and
                   len(fleet.status()["upstreams"]) == 4 and
                   all(u["ready_percent"] == 100 and u["buckets"] > 0
                       for u in fleet.status()["upstreams"]))


def write_conflicting_claims(fleet):
    """Two teams claim one key; the claim with more loudness must be in force on every daemon."""
    quiet = fleet.set("/growers/batch/queue_length", 50, loudness=10)
    loud = fleet.set("/packers/batch/queue_length", 80, loudness=20)
    late = fleet.set("/growers/batch/queue_length", 60, loudness=15)
    started_at = time.monotonic()
    fleet.wait_for("the version on every daemon", lambda: fleet.daemons_at(late["version"]))
    seen = fleet.cli("get", "batch/queue_length")["settings"][0]
    return {
        "time_to_in_force_ms": round((time.monotonic() - started_at) * 1000),
        "louder_claim_in_force": quiet["verdict"] == "in_force" and
                                 loud["verdict"] == "in_force" and
                                 late["verdict"] == "overridden" and seen["in_force"] == "80",
    }


def run_load(fleet):
    """Runs sessions and requests while one upstream drains and one balancer restarts."""
    sessions = fleet.load("--session-addresses", fleet.addresses(FEED_PORT), "--session-service",
                          "feed", "--sessions", "200", "--duration", str(LOAD_MS))
    requests = fleet.load("--request-addresses", fleet.addresses(BATCH_PORT), "--request-service",
                          "batch", "--rate", "60", "--duration", str(LOAD_MS), "--deadline",
                          "1500")
    time.sleep(4)
    fleet.behave("up1", "drain")
    drained_at = time.monotonic()
    time.sleep(3)
    opened_after_grace = fleet.counts("up1")["opened"]
    exit_code = fleet.terminate("balancer2")
    fleet.restart("balancer2")
    time.sleep(3)
    late = fleet.load("--session-addresses", fleet.addresses(FEED_PORT), "--session-service",
                      "feed", "--sessions", "100", "--duration", "4000")
    late_report = json.loads(late.communicate()[0])
    opened_by_draining = fleet.counts("up1")["opened"] - opened_after_grace
    return {
        "sessions": json.loads(sessions.communicate()[0]),
        "requests": json.loads(requests.communicate()[0]),
        "late_sessions": late_report,
        "new_flows_on_draining_upstream": opened_by_draining,
        "drain_watched_s": round(time.monotonic() - drained_at, 1),
        "balancer_exit_code": exit_code,
    }


def imbalance(by_upstream):
    values = list(by_upstream.values())
    return max(values) * len(values) / sum(values) if values and sum(values) else 0.0


def main():
    fleet = Fleet(sys.argv[1])
    try:
        start_fleet(fleet)
        write_settings(fleet)
        claims = write_conflicting_claims(fleet)
        load = run_load(fleet)
        counts = {name: fleet.counts(name) for name in fleet.upstreams}
        repeated = sum(c["repeated"] for c in counts.values())
        ran = {i for c in counts.values() for i in c["ids"]}
        not_run_but_ran = [i for i in load["requests"]["not_run_ids"] if i in ran]
        exit_codes = {name: fleet.terminate(name) for name in
                      ("balancer1", "balancer2", "agent1", "agent2", "agent3", "agent4")}
    finally:
        fleet.stop()
    sessions, late, requests = load["sessions"], load["late_sessions"], load["requests"]
    rows = [
        ("flows broken", sessions["sessions_broken"] + late["sessions_broken"], "0"),
        ("flows opened", sessions["sessions_opened"] + late["sessions_opened"], "300"),
        ("packets at the wrong service", sessions["wrong_service"] + requests["wrong_service"],
         "0"),
        ("wrong or partial answers", sessions["wrong_answers"] + requests["wrong_answers"], "0"),
        ("requests run twice", repeated, "0"),
        ("told not run, but ran", len(not_run_but_ran), "0"),
        ("new flows on the draining upstream", load["new_flows_on_draining_upstream"], "0"),
        ("louder claim in force", claims["louder_claim_in_force"], "True"),
        ("graceful stops with exit 0",
         load["balancer_exit_code"] == 0 and not any(exit_codes.values()), "True"),
    ]
    print(f"{'measured':40} {'value':>12} {'must be':>10}")
    held = True
    for name, value, wanted in rows:
        held = held and str(value) == wanted
        print(f"{name:40} {value!s:>12} {wanted:>10}")
    done = requests["outcomes"].get("done", 0)
    print(f"{'requests by outcome':40} {json.dumps(requests['outcomes'])}")
    print(f"{'requests answered':40} {done / max(1, sum(requests['outcomes'].values())):12.4f}")
    print(f"{'max/mean of flows over upstreams':40} "
          f"{imbalance(sessions['sessions_by_upstream']):12.3f}")
    print(f"{'max/mean of requests over upstreams':40} "
          f"{imbalance(requests['requests_by_upstream']):12.3f}")
    print(f"{'time to in force, ms':40} {claims['time_to_in_force_ms']:12}")
    print(f"{'session answer ms, p50 p99':40} {sessions['session_ms_p50']:12.2f} "
          f"{sessions['session_ms_p99']:8.2f}")
    print(f"{'request ms, p50 p99':40} {requests['request_ms_p50']:12.2f} "
          f"{requests['request_ms_p99']:8.2f}")
    print("held" if held else f"DID NOT HOLD; logs in {fleet.folder}")
    return 0 if held else 1


if __name__ == "__main__":
    sys.exit(main())
