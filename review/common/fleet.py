"""Starts a small deployment of the project's daemons on loopback addresses for the review cases.

Settings are rendered from platform/*.ini, as the platform does at each start of a process. Every
machine has its own address in 127.0.0.0/8; ports are the same on all machines. Only processes that
were started here are ended, by their ids.
"""

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
import tempfile
import threading
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
DAEMON = os.path.join(ROOT, "target", "toucanusherd")
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

HELD, BROKEN, NOT_RUN = 0, 1, 2

# The bounds of sites/beiral-quotes.toml and sites/gkp-westland.toml.
STABILITY_WINDOW = 4.0
ACK_TIMEOUT = 5.0
DRAIN_PERIOD = 3.0
CONFIG_PROPAGATION = 3.0
RECOVERY = 12.0
GRACE_PERIOD = 6.0
HEARTBEAT_INTERVAL = 0.77


class Record:
    """Writes what was sent, answered and run, with the seconds since the start."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.start = time.monotonic()
        self.lock = threading.Lock()

    def now(self):
        return time.monotonic() - self.start

    def add(self, text):
        with self.lock:
            self.file.write(f"{self.now():8.3f}  {text}\n")
            self.file.flush()


def lookup(fields, name):
    value = fields
    for part in name.split("."):
        if isinstance(value, dict):
            value = value.get(part)
        elif isinstance(value, list) and part.isdigit() and int(part) < len(value):
            value = value[int(part)]
        else:
            return None
    return value


def render(template, fields):
    def section(match):
        return match.group(2) if lookup(fields, match.group(1)) else ""

    def value(match):
        found = lookup(fields, match.group(1))
        if found is None:
            return ""
        if isinstance(found, list):
            return ",".join(str(item) for item in found)
        if isinstance(found, bool):
            return "true" if found else "false"
        return str(found)

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.S)
    return re.sub(r"\{\{([\w.]+)\}\}", value, text)


class Ports:
    """Ports that are free on every address that is used."""

    COUNT = 24

    def __init__(self, addresses):
        for _ in range(200):
            base = random.randrange(20000, 32000 - self.COUNT)
            if all(self.is_free(a, base + i) for a in addresses for i in range(self.COUNT)):
                break
        else:
            raise RuntimeError("no free ports")
        self.internal = [base, base + 15]
        self.control = base + 16
        self.ready = base + 17
        self.outbound = base + 18
        self.app = base + 19
        self.datagram = base + 20

    @staticmethod
    def is_free(address, port):
        for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
            with socket.socket(socket.AF_INET, kind) as probe:
                try:
                    probe.bind((address, port))
                except OSError:
                    return False
        return True


class Process:
    """One daemon of one machine."""

    def __init__(self, fleet, name, role, fields):
        self.fleet, self.name, self.role, self.fields = fleet, name, role, fields
        self.child = None
        self.log = open(os.path.join(fleet.folder, f"{name}-{role}.log"), "ab")

    def start(self):
        template = os.path.join(ROOT, "platform", f"{self.role}.ini")
        with open(template, encoding="utf-8") as source:
            text = render(source.read(), self.fields)
        path = os.path.join(self.fleet.folder, f"{self.name}-{self.role}.ini")
        with open(path, "w", encoding="utf-8") as out:
            out.write(text)
        self.child = subprocess.Popen([DAEMON, "--config", path], stdin=subprocess.DEVNULL,
                                      stdout=self.log, stderr=self.log, cwd=ROOT)
        self.fleet.record.add(f"start {self.role} {self.name}, Bootstrap = "
                              f"{str(self.fields['Bootstrap']).lower()}")

    def signal(self, number):
        self.fleet.record.add(f"{signal.Signals(number).name} to {self.role} {self.name}")
        self.child.send_signal(number)

    def kill(self):
        self.signal(signal.SIGKILL)
        self.child.wait()

    def is_running(self):
        return self.child is not None and self.child.poll() is None


class Fleet:
    """The machines of a deployment and the operator's list of them."""

    def __init__(self, case_folder, addresses, tolerated=1):
        if not os.access(DAEMON, os.X_OK):
            print("target/toucanusherd is missing: build the deploy file first")
            sys.exit(NOT_RUN)
        self.record = Record(case_folder)
        self.folder = tempfile.mkdtemp(prefix="toucanusher-review-")
        self.ports = Ports(addresses)
        self.tolerated = tolerated
        self.seeds = []
        self.processes = []

    def add(self, role, name, ip, zone, with_disk=False, **more):
        ports = self.ports
        fields = {
            "NodeName": name, "Ip": ip, "Zone": zone, "Region": "lisboa",
            "InternalPortRange": ports.internal, "SeedAddrs": self.seeds, "Bootstrap": True,
            "FailureDomainMember": with_disk, "HashPolicy": "steady", "DeploymentMode": "agent",
            "BindAddrs": {"DatagramAddr": f"{ip}:{ports.datagram}",
                          "Ready": f"{ip}:{ports.ready}",
                          "ControlPlane": f"{ip}:{ports.control}",
                          "outbound": f"{ip}:{ports.outbound}"},
            "Limits": {"BandwidthMbps": 1000.0},
            "FaultTolerance": {"MaxHostFailures": self.tolerated},
        }
        if with_disk:
            fields["DataDir"] = os.path.join(self.folder, "disk", name)
            os.makedirs(fields["DataDir"])
        fields.update(more)
        process = Process(self, name, role, fields)
        self.processes.append(process)
        return process

    def control_address(self, ip):
        return f"{ip}:{self.ports.control}"

    def wipe_disk(self, process):
        """The machine loses its disk; the process must be down."""
        shutil.rmtree(process.fields["DataDir"])
        os.makedirs(process.fields["DataDir"])
        process.fields["Bootstrap"] = False
        self.record.add(f"{process.name} loses its disk")

    def close(self):
        for process in self.processes:
            if process.is_running():
                process.child.send_signal(signal.SIGCONT)
                process.child.kill()
                process.child.wait()
            process.log.close()
        if os.environ.get("KEEP", "0") == "1":
            print(f"logs: {self.folder}")
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


class Operator:
    """Calls the configuration API as the operator does: follows a redirect twice and goes on to
    another daemon after a failure, a 5xx or a second without a response."""

    def __init__(self, record, daemons):
        self.record, self.daemons = record, daemons
        self.turn = 0
        self.silent_until = {}

    def pick(self):
        """Takes turns; a daemon that gave no response is left out for some seconds."""
        now = self.record.now()
        choices = [d for d in self.daemons if self.silent_until.get(d, 0) <= now] or self.daemons
        self.turn += 1
        return choices[self.turn % len(choices)]

    def call(self, method, body=None, only=None):
        """Returns (status, body, daemon) of one call; the status is None without a response."""
        where = only or self.pick()
        for _ in range(3):
            host, port = where.split(":")
            connection = http.client.HTTPConnection(host, int(port), timeout=1.0)
            try:
                headers = {"Content-Type": "application/json"} if body else {}
                connection.request(method, "/api/config", body, headers)
                answer = connection.getresponse()
                content = answer.read().decode("utf-8", "replace")
                status, location = answer.status, answer.getheader("Location")
            except (OSError, http.client.HTTPException):
                self.silent_until[where] = self.record.now() + 5.0
                return None, "", where
            finally:
                connection.close()
            if status != 307 or not location:
                return status, content, where
            where = location.split("/")[2]
        return status, content, where

    def put(self, configuration, until):
        """Sends the configuration until it is acknowledged; returns whether it was."""
        body = json.dumps(configuration)
        pause = 0.1
        while self.record.now() < until:
            status, _, where = self.call("PUT", body)
            self.record.add(f"PUT version {configuration['Version']} at {where}: {status}")
            if status == 200:
                return True
            if status in (400, 409, 412, 413, 422):
                return False
            time.sleep(pause)
            pause = min(pause * 1.5, 0.5)
        return False

    def read(self, only=None):
        """Returns the version that a daemon reads back, or nothing."""
        status, content, where = self.call("GET", only=only)
        version = None
        if status == 200:
            version = json.loads(content).get("Version")
        self.record.add(f"GET at {where}: {status}, version {version}")
        return version


def make_configuration(version, routes=(("198.18.0.1", 8443, "huvo11a"),),
                       services=("huvo11a",), kind="non_idempotent"):
    return {
        "Version": version,
        "Routes": [{"Name": f"r-{i}", "Host": host, "PathPrefix": f"/{port}/", "Type": kind,
                    "TimeoutMs": 2500, "AimMs": 250, "Priority": 1, "Service": service,
                    "Attempts": 2} for i, (host, port, service) in enumerate(routes)],
        "Services": [{"Name": name, "HealthCheckPath": "/healthz", "MaxConnections": 2000,
                      "Protocol": "h1", "TlsEnabled": False} for name in services],
        "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 262144, "HeaderTimeoutMs": 3000,
                   "IdleTimeoutMs": 15000},
    }


def run_case(run, case_file, addresses):
    """Runs a case with a fleet on the addresses; ends its processes and the program."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))
    fleet = Fleet(os.path.dirname(os.path.abspath(case_file)), addresses)
    outcome = NOT_RUN
    try:
        outcome = run(fleet)
        fleet.record.add(f"exit {outcome}")
    except Exception as fault:  # the case could not run
        fleet.record.add(f"exit {NOT_RUN}: {fault!r}")
    finally:
        fleet.close()
    sys.exit(outcome)
