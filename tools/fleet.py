"""Starts a small fleet of real processes on the loopback network, for the demo and process tests.

Terminates only the processes that it started, by pid. Ports are offsets from `base`, so that fleets
with different bases can run at the same time.
"""

import json
import os
import secrets
import signal
import subprocess
import tempfile
import time
import urllib.request


class Fleet:
    """Control hosts, balancers, agents and their simulated upstreams."""

    def __init__(self, build, base=7000, folder=None):
        self.build = build
        self.base = base
        self.folder = folder or tempfile.mkdtemp(prefix="toucanusher-")
        self.processes = {}  # name -> Popen
        self.commands = {}  # name -> (argv, extra argv of the first start)
        self.upstreams = {}  # name -> dict
        self.balancers = {}  # name -> dict
        self.teams = {}
        self.control_hosts = {}
        self.keys = os.path.join(self.folder, "fleet.keys")

    # Keys and settings files

    def write_keys(self, teams):
        self.teams = {team: secrets.token_hex(32) for team in teams}
        self.fleet_key = secrets.token_hex(32)
        self.steering = secrets.token_hex(16)
        self.save_keys(self.fleet_key, None)

    def save_keys(self, current, previous):
        lines = ["[fleet]", f"current = {current}", f"steering = {self.steering}"]
        if previous:
            lines.append(f"previous = {previous}")
        lines.append("[teams]")
        lines += [f"{team} = {key}" for team, key in self.teams.items()]
        with open(self.keys, "w", encoding="ascii") as out:
            out.write("\n".join(lines) + "\n")

    def write_config(self, name, text):
        path = os.path.join(self.folder, name + ".ini")
        hosts = ", ".join(f"{i}@{a}" for i, a in self.control_hosts.items())
        with open(path, "w", encoding="ascii") as out:
            out.write(text + f"\n[fleet]\nkeys = {self.keys}\ncontrol_hosts = {hosts}\n")
        return path

    # Roles

    def plan_control(self, count):
        for i in range(1, count + 1):
            self.control_hosts[i] = f"127.0.0.1:{self.base + i}"

    def write_control(self, i, zone="a"):
        name = f"control{i}"
        return self.write_config(name, f"""[daemon]
role = control
name = {name}
zone = {zone}
[admin]
listen = 127.0.0.1:{self.base + 1000 + i}
[control]
id = {i}
data = {self.folder}/{name}
""")

    def add_control(self, i, first="--new-cluster"):
        path = self.write_control(i)
        self.start(f"control{i}", [f"{self.build}/toucanusherd", "--config", path], [first])

    def add_balancer(self, i, zone="a"):
        name = f"balancer{i}"
        local = f"127.0.1.{i}"
        path = self.write_config(name, f"""[daemon]
role = balancer
name = {name}
zone = {zone}
[admin]
listen = 127.0.0.1:{self.base + 2000 + i}
[balancer]
replies = 127.0.0.1:{self.base + 3000 + i}
local = {local}:0
linger_ms = 1500
""")
        self.balancers[name] = {"local": local, "admin": f"127.0.0.1:{self.base + 2000 + i}"}
        self.start(name, [f"{self.build}/toucanusherd", "--config", path])

    def add_agent(self, i, service, slots, service_ms=20, zone="a", ramp_ms=0):
        upstream = f"up{i}"
        http = f"127.0.0.1:{self.base + 4000 + i}"
        session = f"127.0.0.1:{self.base + 5000 + i}"
        self.upstreams[upstream] = {"http": http, "service": service, "agent": f"agent{i}"}
        self.start(upstream, [f"{self.build}/fake_upstream", "--name", upstream, "--service",
                              service, "--http", http, "--session", session, "--slots",
                              str(slots), "--service-time", str(service_ms)])
        path = self.write_config(f"agent{i}", f"""[daemon]
role = agent
name = agent{i}
zone = {zone}
[admin]
listen = 127.0.0.1:{self.base + 6000 + i}
[agent]
listen = 127.0.0.1:{self.base + 7000 + i}
[upstream.{upstream}]
service = {service}
http = {http}
session = {session}
slots = {slots}
source_port = {self.base + 8000 + i}
ramp_ms = {ramp_ms}
""")
        self.start(f"agent{i}", [f"{self.build}/toucanusherd", "--config", path])

    # Processes

    def start(self, name, argv, first=()):
        self.commands[name] = argv
        log = open(os.path.join(self.folder, name + ".log"), "ab")
        self.processes[name] = subprocess.Popen(argv + list(first), stdout=log, stderr=log)
        log.close()

    def restart(self, name):
        self.start(name, self.commands[name])

    def kill(self, name):
        self.processes[name].kill()
        self.processes[name].wait()

    def terminate(self, name, timeout=15):
        self.processes[name].send_signal(signal.SIGTERM)
        return self.processes[name].wait(timeout)

    def pause(self, name):
        self.processes[name].send_signal(signal.SIGSTOP)

    def resume(self, name):
        self.processes[name].send_signal(signal.SIGCONT)

    def stop(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.send_signal(signal.SIGTERM)
        for process in self.processes.values():
            try:
                process.wait(15)
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()

    # Requests to the running fleet

    def cli(self, *words, check=True, timeout=15000):
        hosts = ",".join(f"{i}@{a}" for i, a in self.control_hosts.items())
        argv = [f"{self.build}/toucanusher", "--json", "--control", hosts, "--keys", self.keys,
                "--timeout", str(timeout), *words]
        done = subprocess.run(argv, capture_output=True, text=True, timeout=timeout / 1000 + 30,
                              check=False)
        if check and done.returncode not in (0, 3):
            raise RuntimeError(f"{words}: {done.returncode} {done.stdout} {done.stderr}")
        return json.loads(done.stdout) if done.stdout.strip().startswith("{") else {
            "exit": done.returncode, "error": done.stderr}

    def set(self, path, value, loudness=10):
        return self.cli("set", path, str(value), "--loudness", str(loudness))

    def status(self):
        return self.cli("status")

    def counts(self, upstream):
        return get_json(f"http://{self.upstreams[upstream]['http']}/counts")

    def behave(self, upstream, behaviour):
        request = urllib.request.Request(
            f"http://{self.upstreams[upstream]['http']}/behave?{behaviour}", method="POST", data=b"x")
        urllib.request.urlopen(request, timeout=5).read()

    def wait_for(self, description, condition, seconds=20):
        """Polls until `condition()` is true. Returns the elapsed seconds; raises after `seconds`."""
        started_at = time.monotonic()
        while time.monotonic() - started_at < seconds:
            try:
                if condition():
                    return time.monotonic() - started_at
            except (OSError, RuntimeError, ValueError, KeyError):
                pass
            time.sleep(0.02)
        raise RuntimeError(f"timeout after {seconds} s: {description}")

    def daemons_at(self, version):
        daemons = self.status()["daemons"]
        return daemons and all(d["applied"] >= version for d in daemons)

    def load(self, *words):
        return subprocess.Popen([f"{self.build}/load_tool", *words], stdout=subprocess.PIPE,
                                text=True)

    def addresses(self, port):
        return ",".join(f"{b['local']}:{port}" for b in self.balancers.values())


def get_json(url):
    with urllib.request.urlopen(url, timeout=5) as page:
        return json.load(page)
