#!/usr/bin/env python3
"""Trial: how far the balancers lag behind the newest acknowledged configuration while the core is
disturbed. Real processes and sockets on loopback addresses; figures from it are those of a trial.

The configuration changes twice a second. Ten times a second a packet that opens a new flow is sent
to each balancer, which logs the configuration that it routes the packet by; the lag of a packet is
its distance from the acknowledgement of the oldest version that is newer than that. A lag counts as
calm if, for StabilityWindowMs, nothing was done to the core or to that balancer and more than half
of the core ran. Besides, every machine is asked to read back the configuration, and processes whose
duties make no progress at the end are traced with gdb, if it is installed.

  review/trials/incident_trial.py --shape westland|beiral --sequence NAME --seed N [--keep FOLDER]

Exit code: 0 nothing exceeded ConfigPropagationMs in calm, 1 something did, 2 the trial did not run.
"""

import argparse
import http.client
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import threading
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
sys.path.insert(0, os.path.join(ROOT, "review", "common"))
from fleet import BROKEN, HELD, NOT_RUN, Fleet, Operator, make_configuration  # noqa: E402
from flows import SYN, Packet, to_number  # noqa: E402

ROUTE = ("198.18.0.1", 8443)
SERVICES = ("huvo11a", "wuno96b")
PROBE_INTERVAL = 0.1
CHANGE_INTERVAL = 0.5
SETTLE = 8.0
READ_TIMEOUT = 12.0

# Zones and their machines; the first `disks` of a zone have a disk, the first two serve control.
SHAPES = {
    "westland": {"zones": {"a": 2, "b": 3, "c": 2, "d": 2}, "disks": 1, "tolerated": 1,
                 "routes": 240, "window": 4.0, "bound": 3.0},
    "beiral": {"zones": {"a": 3, "b": 3, "c": 3, "d": 3}, "disks": 2, "tolerated": 2,
               "routes": 240, "window": 5.0, "bound": 4.0},
}


class BlackHole:
    """Takes the ports of a control host that is down, so that connecting to it neither succeeds
    nor fails, as with an address that no machine answers for."""

    def __init__(self, ip, ports):
        self.sockets = []
        for port in ports:
            listener = socket.socket()
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            listener.bind((ip, port))
            listener.listen(0)
            self.sockets.append(listener)
            for _ in range(3):  # fills the backlog; the kernel drops further attempts
                filler = socket.socket()
                filler.setblocking(False)
                filler.connect_ex((ip, port))
                self.sockets.append(filler)

    def close(self):
        for item in self.sockets:
            item.close()


class Machine:
    def __init__(self, name, ip, zone):
        self.name, self.ip, self.zone = name, ip, zone
        self.control = self.balancer = None
        self.hole = None

    @property
    def has_disk(self):
        return self.control is not None and "DataDir" in self.control.fields


class Trial:
    def __init__(self, options):
        self.options, self.shape = options, SHAPES[options.shape]
        self.draw = random.Random(options.seed)
        random.seed(options.seed + os.getpid())  # ports
        net = 60 + options.net
        self.machines = []
        for z, (zone, count) in enumerate(self.shape["zones"].items(), 1):
            for i in range(1, count + 1):
                self.machines.append(Machine(f"edge-{zone}-{i}", f"127.{net}.{z}.{i}", zone))
        self.spare_ips = {zone: [f"127.{net}.{z}.{100 + i}" for i in range(30)]
                          for z, zone in enumerate(self.shape["zones"], 1)}
        addresses = [m.ip for m in self.machines] + sum(self.spare_ips.values(), [])
        os.makedirs(options.keep, exist_ok=True)
        self.fleet = Fleet(options.keep, addresses, self.shape["tolerated"])
        self.record = self.fleet.record
        self.epoch = time.time() - self.record.now()
        self.acknowledged = []  # (time, version)
        self.disturbed = []  # (time, what: None for the core, or the balancer's name)
        self.reads = []  # (sent at, host, version)
        self.replacements = 0
        self.stopping = threading.Event()
        self.core_size = 4 * self.shape["disks"]

    # The fleet

    def start(self):
        index = {}
        for m in self.machines:
            position = index[m.zone] = index.get(m.zone, 0) + 1
            if position <= 2:
                m.control = self.fleet.add("control", m.name, m.ip, m.zone,
                                           with_disk=position <= self.shape["disks"])
            m.balancer = self.fleet.add("balancer", m.name, m.ip, m.zone)
        serving = [m for m in self.machines if m.control]
        self.fleet.seeds[:] = [self.fleet.control_address(m.ip)
                               for m in self.draw.sample(serving, 3)]
        for m in self.machines:
            for process in (m.control, m.balancer):
                if process:
                    process.start()
        self.operator = Operator(self.record, self.control_addresses())

    def control_addresses(self):
        return [self.fleet.control_address(m.ip) for m in self.machines if m.control]

    def core(self):
        return [m for m in self.machines if m.has_disk]

    def leader(self):
        for m in self.draw.sample(self.core(), len(self.core())):
            text = self.fetch(m.ip, 2, "/status", 0.5) or ""
            if '"leads":true' in text or re.search(r'"role":"leader"', text):
                return m
        return None

    def fetch(self, ip, offset, path, timeout):
        connection = http.client.HTTPConnection(ip, self.fleet.ports.internal[0] + offset,
                                                timeout=timeout)
        try:
            connection.request("GET", path)
            return connection.getresponse().read().decode()
        except (OSError, http.client.HTTPException):
            return None
        finally:
            connection.close()

    def configuration(self, version):
        idle = [(f"198.19.{i // 200}.{i % 200 + 1}", 8080, SERVICES[1])
                for i in range(self.options.routes or self.shape["routes"])]
        return make_configuration(version, [(*ROUTE, SERVICES[version % 2])] + idle, SERVICES)

    # Duties that run beside the faults

    def change(self):
        version = 10
        while not self.stopping.is_set():
            began = time.monotonic()
            version += 1
            if self.operator.put(self.configuration(version), self.record.now() + 2.0):
                self.acknowledged.append((self.record.now(), version))
            self.stopping.wait(max(0.0, CHANGE_INTERVAL - (time.monotonic() - began)))

    def probe(self):
        """The source address and port of a probe give the record of what was sent when."""
        out = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        out.bind((self.machines[0].ip, 0))
        self.sent = {}
        number = 10000
        while not self.stopping.is_set():
            for m in self.machines:
                number += 1
                key = (to_number("198.20.0.1") + number // 50000, number % 50000 + 1)
                packet = Packet(SYN, key, (to_number(ROUTE[0]), ROUTE[1]), 1, 0)
                self.sent[key[1] + 50000 * (number // 50000)] = self.record.now()
                try:
                    out.sendto(packet.encode(), (m.ip, self.fleet.ports.datagram))
                except OSError:
                    pass
            time.sleep(PROBE_INTERVAL)

    def read_back(self):
        def read(address):
            sent = self.record.now()
            host, port = address.split(":")
            connection = http.client.HTTPConnection(host, int(port), timeout=READ_TIMEOUT)
            try:
                connection.request("GET", "/api/config")
                answer = connection.getresponse()
                content = answer.read()
                if answer.status == 200:
                    self.reads.append((sent, address, json.loads(content)["Version"]))
            except (OSError, ValueError, http.client.HTTPException):
                pass
            finally:
                connection.close()

        while not self.stopping.is_set():
            for address in self.control_addresses():
                threading.Thread(target=read, args=(address,), daemon=True).start()
            time.sleep(0.7)

    # Faults

    def disturb(self, what=None):
        self.disturbed.append((self.record.now(), what))

    def calm(self, seconds=None):
        time.sleep(seconds or self.shape["window"] + self.draw.uniform(2.0, 4.0))

    def restart(self, m):
        """A process that starts again reads settings whose Bootstrap is false."""
        m.control.fields["Bootstrap"] = False
        m.control.start()
        self.disturb()

    def kill(self, m):
        m.control.kill()
        self.disturb()

    def any_core(self, how=None):
        target = self.leader() if how == "leader" or self.draw.random() < 0.5 else None
        return target or self.draw.choice(self.core())

    def kill_quickly(self):
        """Control hosts are killed and started again in quick succession."""
        for _ in range(self.draw.randint(4, 8)):
            m = self.draw.choice([m for m in self.machines if m.control])
            self.kill(m)
            time.sleep(self.draw.choice([0.0, 0.02, 0.1, 0.4, 0.9]))
            self.restart(m)
            time.sleep(self.draw.choice([0.0, 0.05, 0.2, 0.5, 1.2]))
        self.calm()

    def freeze(self):
        m = self.any_core()
        m.control.signal(signal.SIGSTOP)
        self.disturb()
        time.sleep(self.draw.uniform(3.0, 8.0))
        if self.draw.random() < 0.5:
            m.control.signal(signal.SIGCONT)
            self.disturb()
        else:
            self.kill(m)
            time.sleep(self.draw.uniform(0.0, 1.0))
            self.restart(m)
        self.calm()

    def freeze_leader(self):
        m = self.any_core("leader")
        m.control.signal(signal.SIGSTOP)
        self.disturb()
        time.sleep(self.draw.uniform(1.0, 12.0))
        m.control.signal(signal.SIGCONT)
        self.disturb()
        self.calm()

    def go_dark(self, m, seconds):
        """The machine's control host is gone, and its address is silent for a while."""
        self.kill(m)
        ports = [self.fleet.ports.internal[0], self.fleet.ports.control]
        m.hole = BlackHole(m.ip, ports)
        self.record.add(f"{m.name} is silent")
        if seconds:
            time.sleep(seconds)
            m.hole.close()
            self.restart(m)

    def dark(self):
        self.go_dark(self.any_core(), self.draw.uniform(3.0, 8.0))
        self.calm()

    def replace(self, calm=True):
        """A core machine is replaced by an empty one at another address."""
        m = self.draw.choice(self.core())
        self.replacements += 1
        new = Machine(f"{m.name}-r{self.replacements}", self.spare_ips[m.zone].pop(0), m.zone)
        new.control = self.fleet.add("control", new.name, new.ip, m.zone, with_disk=True,
                                     Bootstrap=False)
        new.balancer = self.fleet.add("balancer", new.name, new.ip, m.zone)
        m.balancer.kill()
        if self.draw.random() < 0.5:
            self.kill(m)
        else:
            self.go_dark(m, 0)
        self.machines.remove(m)
        time.sleep(self.draw.choice([1.0, 2.0]))
        new.control.start()
        new.balancer.start()
        self.machines.append(new)
        self.disturb()
        self.disturb(new.name)
        self.operator.daemons = self.control_addresses()
        if calm:
            time.sleep(self.draw.uniform(7.0, 9.0))

    def replace_then_freeze(self):
        for _ in range(self.draw.randint(2, 5)):
            self.replace()
        oldest = [m for m in self.core() if "-r" not in m.name] or self.core()
        for m in oldest[:1]:
            m.control.signal(signal.SIGSTOP)
            self.disturb()
            time.sleep(self.draw.uniform(self.shape["window"] + 1.5, 9.0))
            m.control.signal(signal.SIGCONT)
            self.disturb()
        self.calm()

    def restart_balancers(self):
        """Balancers restart while control has no leader."""
        m = self.any_core("leader")
        self.kill(m)
        for b in self.draw.sample(self.machines, 4):
            if self.draw.random() < 0.5:
                b.balancer.kill()
            else:
                b.balancer.signal(signal.SIGTERM)
                b.balancer.child.wait()
            b.balancer.start()
            self.disturb(b.name)
        time.sleep(self.draw.uniform(0.2, 2.0))
        self.restart(m)
        self.calm()

    def dark_together(self):
        """As many core machines as may be lost are silent for longer than the window."""
        gone = self.draw.sample(self.core(), self.shape["tolerated"])
        if self.draw.random() < 0.5 and (leader := self.leader()) and leader not in gone:
            gone[0] = leader
        for m in gone:
            self.go_dark(m, 0)
        time.sleep(self.shape["window"] + self.draw.uniform(4.0, 6.0))
        for m in gone:
            m.hole.close()
            self.restart(m)
        self.calm()

    def freeze_together(self):
        """As dark_together, with processes that are frozen: the kernel still accepts for them."""
        gone = self.draw.sample(self.core(), self.shape["tolerated"])
        if self.draw.random() < 0.5 and (leader := self.leader()) and leader not in gone:
            gone[0] = leader
        for m in gone:
            m.control.signal(signal.SIGSTOP)
            self.disturb()
        time.sleep(self.shape["window"] + self.draw.uniform(4.0, 6.0))
        for m in gone:
            m.control.signal(signal.SIGCONT)
            self.disturb()
        self.calm()

    def outage(self):
        """All control hosts with a disk are killed together; redirectors are asked meanwhile."""
        gone = self.core()
        for m in gone:
            self.kill(m)
        time.sleep(self.draw.uniform(1.5, 4.0))
        for m in gone:
            self.restart(m)
        self.calm()

    def wipe(self):
        m = self.draw.choice(self.core())
        self.kill(m)
        self.fleet.wipe_disk(m.control)
        time.sleep(1.0)
        self.restart(m)
        self.calm(self.shape["window"] + 6.0)

    def drawn(self):
        self.draw.choice([self.kill_quickly, self.freeze, self.freeze_leader, self.dark,
                          self.replace, self.restart_balancers, self.wipe])()

    # Judgement

    def lags(self):
        """Yields (lag, calm, balancer, sent at, configuration) of each probe that was routed."""
        line = re.compile(r'[IWE]\d{8} (\d\d:\d\d:\d\d\.\d+).*event=flow what="(\w+)" '
                          r'caller="([\d.]+):(\d+)".* configuration=(\d+)')
        base = to_number("198.20.0.1")
        for process in self.fleet.processes:
            if process.role != "balancer":
                continue
            with open(process.log.name, encoding="utf-8", errors="replace") as log:
                for text in log:
                    found = line.search(text)
                    if not found or found.group(2) not in ("no_upstream", "no_route"):
                        continue
                    block = to_number(found.group(3)) - base
                    sent = self.sent.get(int(found.group(4)) + 50000 * block)
                    if sent is None:
                        continue
                    number = int(found.group(5))
                    newer = [at for at, version in self.acknowledged if version > number]
                    lag = max(0.0, sent - newer[0]) if newer else 0.0
                    yield lag, self.was_calm(sent, process.name), process.name, sent, number

    def was_calm(self, at, name):
        window = self.shape["window"]
        return not any(at - window <= t <= at + 0.05 and what in (None, name)
                       for t, what in self.disturbed)

    def progress(self, process):
        offset = {"control": 2, "balancer": 1}[process.role]
        text = self.fetch(process.fields["Ip"], offset, "/metrics", 2.0) or ""
        return sum(float(value) for value in
                   re.findall(r'heartbeat_sent"\} ([\d.e+]+)', text)) if text else None

    def stuck(self):
        """Balancers that send no heartbeats and control hosts that answer no reads any more."""
        running = [p for p in self.fleet.processes if p.is_running()]
        before = {p: self.progress(p) for p in running if p.role == "balancer"}
        time.sleep(3.5)
        result = [p for p, count in before.items()
                  if count is None or self.progress(p) == count]
        for m in self.machines:
            if m.control and m.control.is_running():
                connection = http.client.HTTPConnection(m.ip, self.fleet.ports.control, timeout=6)
                try:
                    connection.request("GET", "/api/config")
                    connection.getresponse().read()
                except (OSError, http.client.HTTPException):
                    result.append(m.control)
                finally:
                    connection.close()
        return result

    def trace(self, process):
        if shutil.which("gdb") is None:
            return
        path = os.path.join(self.options.keep, f"{process.name}-{process.role}.bt")
        with open(path, "w", encoding="utf-8") as out:
            subprocess.run(["gdb", "-p", str(process.child.pid), "-batch", "-ex",
                            "thread apply all bt"], stdout=out, stderr=out, timeout=60,
                           check=False)

    def run(self):
        self.start()
        if not self.operator.put(self.configuration(10), 30.0):
            self.record.add("no configuration was acknowledged")
            return NOT_RUN
        self.acknowledged.append((self.record.now(), 10))
        for target in (self.change, self.probe, self.read_back):
            threading.Thread(target=target, daemon=True).start()
        time.sleep(SETTLE)
        rounds, until = 0, self.record.now() + self.options.seconds
        while self.record.now() < until:
            getattr(self, self.options.sequence)()
            rounds += 1
        self.calm()
        stuck = self.stuck()
        self.stopping.set()
        time.sleep(1.0)
        return self.judge(rounds, stuck)

    def judge(self, rounds, stuck):
        bound = self.shape["bound"]
        lags = list(self.lags())
        calm = [item for item in lags if item[1]]
        worst, worst_calm = (max(items, default=(0.0,)) for items in (lags, calm))
        old_reads = []
        for sent, address, version in self.reads:
            owed = max((v for at, v in self.acknowledged if at + bound < sent), default=0)
            if version < owed:
                old_reads.append((round(sent, 2), address, version, owed))
        gaps = [b[0] - a[0] for a, b in zip(self.acknowledged, self.acknowledged[1:])]
        result = {
            "trial": self.options.sequence, "shape": self.options.shape,
            "seed": self.options.seed, "routes": self.options.routes or self.shape["routes"],
            "load": self.options.load, "rounds": rounds, "acks": len(self.acknowledged),
            "longest_without_ack_s": round(max(gaps, default=0.0), 2), "probes": len(lags),
            "calm_probes": len(calm), "max_lag_s": round(worst[0], 2), "worst": worst[2:],
            "max_calm_lag_s": round(worst_calm[0], 2), "worst_calm": worst_calm[2:],
            "over_bound": sum(item[0] > bound for item in lags),
            "calm_over_bound": sum(item[0] > bound for item in calm),
            "reads": len(self.reads), "old_reads": old_reads[:5],
            "stuck": [f"{p.name}/{p.role}" for p in stuck],
        }
        for process in stuck:
            self.trace(process)
        line = json.dumps(result)
        print(line, flush=True)
        self.record.add(line)
        self.result = result
        broken = result["calm_over_bound"] or old_reads or stuck
        return BROKEN if broken else HELD


def main():
    sequences = ["kill_quickly", "freeze", "freeze_leader", "dark", "replace_then_freeze",
                 "restart_balancers", "wipe", "dark_together", "freeze_together", "outage",
                 "drawn"]
    parser = argparse.ArgumentParser()
    parser.add_argument("--shape", choices=SHAPES, default="westland")
    parser.add_argument("--sequence", choices=sequences, default="drawn")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=60.0)
    parser.add_argument("--routes", type=int, help="idle routes, instead of the shape's")
    parser.add_argument("--load", type=int, default=0, help="busy processes beside the fleet")
    parser.add_argument("--net", type=int, default=0, help="addresses 127.(60 + NET).0.0/16")
    parser.add_argument("--keep", default="trial", help="folder for the record and the logs")
    options = parser.parse_args()
    options.keep = os.path.abspath(options.keep)
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))
    trial = Trial(options)
    loaders = [subprocess.Popen([sys.executable, "-c", "while True: pass"])
               for _ in range(options.load)]
    outcome = NOT_RUN
    try:
        outcome = trial.run()
    finally:
        for loader in loaders:
            loader.kill()
            loader.wait()
        for process in trial.fleet.processes:
            process.log.flush()
            if outcome != HELD:
                shutil.copy(process.log.name, options.keep)
        trial.fleet.close()
    sys.exit(outcome)


if __name__ == "__main__":
    main()
