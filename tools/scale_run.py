"""Runs many daemon processes on one machine and measures the time until a change is in force, and
bytes and processor time of each daemon; then kills a third of them at once. Prints CSV lines for
docs/scale.csv.

Usage: scale_run.py BUILD DAEMONS
"""

import os
import re
import statistics
import sys
import time
import urllib.request

from fleet import Fleet

CHANGES = 50
IDLE_SECONDS = 10
CLOCK_TICKS = os.sysconf("SC_CLK_TCK")


def cpu_seconds(pid):
    with open(f"/proc/{pid}/stat", encoding="ascii") as stat:
        fields = stat.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS


def resident_mb(pid):
    with open(f"/proc/{pid}/status", encoding="ascii") as status:
        return int(re.search(r"VmRSS:\s+(\d+)", status.read()).group(1)) / 1024


def control_bytes(admin):
    with urllib.request.urlopen(f"http://{admin}/metrics", timeout=5) as page:
        text = page.read().decode()
    found = re.findall(r'event="control_bytes_(?:sent|received)"} ([0-9.e+]+)', text)
    return sum(float(f) for f in found)


def main():
    build, count = sys.argv[1], int(sys.argv[2])
    fleet = Fleet(build, base=20000)
    agents = count // 4
    balancers = count - agents
    try:
        fleet.write_keys(["growers"])
        fleet.plan_control(3)
        for i in (1, 2, 3):
            fleet.add_control(i)
        fleet.wait_for("a leader", lambda: fleet.status()["leader"])
        for i in range(1, balancers + 1):
            fleet.add_balancer(i, zone="abc"[i % 3])
        for i in range(1, agents + 1):
            fleet.add_agent(i, f"service{i % max(1, agents // 4)}", slots=3, zone="abc"[i % 3])
        fleet.wait_for("all daemons and upstreams are known", lambda:
                       len(fleet.status()["daemons"]) == count and
                       len(fleet.status()["upstreams"]) == agents, 60)
        names = [n for n in fleet.processes if n.startswith(("balancer", "agent"))]
        control = [n for n in fleet.processes if n.startswith("control")]
        pid = {n: fleet.processes[n].pid for n in fleet.processes}
        sample = {n: b["admin"] for n, b in list(fleet.balancers.items())[:10]}

        time.sleep(2)
        cpu = {n: cpu_seconds(pid[n]) for n in names + control}
        sent = {n: control_bytes(a) for n, a in sample.items()}
        time.sleep(IDLE_SECONDS)
        idle_cpu = [(cpu_seconds(pid[n]) - cpu[n]) / IDLE_SECONDS for n in names]
        idle_control = [(cpu_seconds(pid[n]) - cpu[n]) / IDLE_SECONDS for n in control]
        idle_bytes = [(control_bytes(a) - sent[n]) / IDLE_SECONDS for n, a in sample.items()]

        cpu = {n: cpu_seconds(pid[n]) for n in names + control}
        sent = {n: control_bytes(a) for n, a in sample.items()}
        started_at = time.monotonic()
        times = []
        for i in range(CHANGES):
            version = fleet.set("/growers/service0/queue_length", 10 + i)["version"]
            times.append(fleet.wait_for("in force", lambda v=version: fleet.daemons_at(v)))
        span = time.monotonic() - started_at
        change_bytes = [(control_bytes(a) - sent[n] - span * statistics.mean(idle_bytes)) / CHANGES
                        for n, a in sample.items()]
        change_cpu = [(cpu_seconds(pid[n]) - cpu[n] - span * statistics.mean(idle_cpu)) / CHANGES
                      for n in names]

        killed = names[::3]
        for name in killed:
            fleet.processes[name].kill()
        for name in killed:
            fleet.processes[name].wait()
        version = fleet.set("/growers/service0/queue_length", 99)["version"]
        alive = set(names) - set(killed)
        after_kill = fleet.wait_for("in force on the remaining daemons", lambda: all(
            d["applied"] >= version for d in fleet.status()["daemons"] if d["name"] in alive))
        started_at = time.monotonic()
        for name in killed:
            fleet.restart(name)
        fleet.wait_for("all daemons are back", lambda: all(
            d["applied"] >= version and d["silent_ms"] < 3000 for d in fleet.status()["daemons"]),
            60)
        back = time.monotonic() - started_at
        rss = [resident_mb(fleet.processes[n].pid) for n in names]
        control_rss = [resident_mb(pid[n]) for n in control]
        rows = {
            "in_force_s_median": statistics.median(times),
            "in_force_s_max": max(times),
            "daemon_idle_core": statistics.mean(idle_cpu),
            "control_idle_core": max(idle_control),
            "daemon_idle_bytes_per_s": statistics.mean(idle_bytes),
            "daemon_bytes_per_change": statistics.mean(change_bytes),
            "daemon_cpu_s_per_change": statistics.mean(change_cpu),
            "daemon_rss_mb_max": max(rss),
            "control_rss_mb_max": max(control_rss),
            "in_force_after_third_killed_s": after_kill,
            "third_back_s": back,
        }
        for name, value in rows.items():
            print(f"{count},{name},{value:.6g}")
    finally:
        fleet.stop()


if __name__ == "__main__":
    main()
