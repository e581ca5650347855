"""Starts the programs of the deploy file on loopback addresses, and speaks to them as the operator,
a worker and a client do. Standard library only."""

import http.client
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import threading
import time

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
BIN = os.path.join(ROOT, "target", "release")
PORTS = {"frontend": 8227, "readiness": 8220, "control": 8229}
INTERNAL = [7340, 7355]
METRICS = (9464, 9465)
# After this time a script ends by itself, without a statement on the rule.
TIME_LIMIT_S = 110


class CannotRun(Exception):
    """The case could not be set up; no statement on the rule."""


class Record:
    """Writes what was sent, answered and run, with the time since the start."""

    def __init__(self, path):
        self.start = time.monotonic()
        self.file = open(path, "w", encoding="utf-8")
        self.lock = threading.Lock()

    def __call__(self, text):
        with self.lock:
            self.file.write(f"{time.monotonic() - self.start:8.3f} s  {text}\n")
            self.file.flush()


class Machine:
    """A machine with an address of its own, on which both programs may run."""

    def __init__(self, fleet, name, zone, disk):
        self.fleet = fleet
        self.name = name
        self.zone = zone
        self.disk = disk
        self.ip = fleet.next_ip()
        self.folder = os.path.join(fleet.folder, name)
        self.data = os.path.join(self.folder, "data")
        self.processes = {}
        os.makedirs(self.folder)

    def address(self, what):
        return (self.ip, PORTS[what])

    def write_settings(self, program, bootstrap):
        seeds = ", ".join(f'"{seed.ip}:{PORTS["control"]}"' for seed in self.fleet.seeds)
        zones = "\n".join(f'{zone} = "region-1"' for zone in self.fleet.zones)
        bounds = "\n".join(f"{name} = {value}" for name, value in self.fleet.bounds.items())
        has_disk = self.disk and program == "control"
        text = f"""NodeName = "{self.name}"
Role = "{program}"
MachineClass = "edge"
Serves = ["{'control' if program == 'control' else 'edge'}"]
Ip = "{self.ip}"
Zone = "{self.zone}"
Region = "region-1"
InternalPortRange = [{INTERNAL[0]}, {INTERNAL[1]}]
Seeds = [{seeds}]
Bootstrap = {str(bootstrap).lower()}
LossCounts = {str(self.disk).lower()}
{f'DataDirectory = "{self.data}"' if has_disk else ''}
Discovery = "registration"
Entry = "virtual_ip"
HeartbeatMs = 1200
Contracts = ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants"]
ConfigMode = "highest"
[Zones]
{zones}
[Listen]
Frontend = "{self.ip}:{PORTS['frontend']}"
Readiness = "{self.ip}:{PORTS['readiness']}"
ControlPlane = "{self.ip}:{PORTS['control']}"
[Limits]
CpuShare = 0.45
Cores = 1
MemoryMb = 110
FileDescriptors = 4100
LinkMbps = 1000.0
{'DiskMb = 64' if has_disk else ''}
[FaultTolerance]
Machines = {self.fleet.tolerance}
Zones = 0
Regions = 0
[Bounds]
{bounds}
"""
        path = os.path.join(self.folder, f"{program}.toml")
        with open(path + ".new", "w", encoding="utf-8") as file:
            file.write(text)
        os.replace(path + ".new", path)
        return path

    def start(self, program, bootstrap=False):
        path = self.write_settings(program, bootstrap)
        if self.disk and program == "control":
            os.makedirs(self.data, exist_ok=True)
        binary = os.path.join(BIN, f"platform-{program}")
        if not os.path.exists(binary):
            raise CannotRun("the programs of the deploy file are not built")
        keep = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        log = open(os.path.join(self.folder, f"{program}.log"), "ab")
        self.processes[program] = subprocess.Popen(
            [binary],
            cwd=ROOT,
            env={**keep, "CHESTNUTNOTCH_NODE_FILE": path},
            stdin=subprocess.DEVNULL,
            stdout=log,
            stderr=log,
        )
        log.close()
        self.fleet.record(f"{self.name} ({self.ip}): {program} started")

    def signal(self, program, number):
        process = self.processes.get(program)
        if process and process.poll() is None:
            process.send_signal(number)
            self.fleet.record(f"{self.name}: {program} gets {signal.Signals(number).name}")

    def wait_end(self, program, timeout):
        """Waits for the end of a program; SIGKILL after `timeout`, as the platform does."""
        process = self.processes.pop(program, None)
        if not process:
            return
        try:
            process.wait(timeout)
        except subprocess.TimeoutExpired:
            process.kill()
            process.wait()
        self.fleet.record(f"{self.name}: {program} has ended")

    def kill(self, program):
        self.signal(program, signal.SIGKILL)
        self.wait_end(program, 5)

    def wipe(self):
        """The disk of the machine is lost."""
        shutil.rmtree(self.data, ignore_errors=True)
        self.fleet.record(f"{self.name}: the disk is lost")


class Fleet:
    """All machines of a case. A context manager that ends every process it started."""

    def __init__(self, record, zones, tolerance=1):
        self.record = record
        self.zones = zones
        self.tolerance = tolerance
        self.folder = tempfile.mkdtemp(prefix="chestnutnotch-review-")
        self.machines = []
        self.seeds = []
        self.net = self.find_net()
        self.hosts = iter(range(11, 250))
        self.bounds = {
            "SeedLagS": 3, "ReuseAfterS": 2, "ContactMs": 3000, "AckMs": 4000, "CatchUpS": 4,
            "DrainMs": 2000, "GraceS": 8, "LossSlackMs": 200, "ConfigApplyMs": 2000,
            "RollbackSlackMs": 250, "PartitionBoundMs": 5000, "StrictRevocation": "false",
            "RevokeMs": 5000, "RetryBudgetRatio": 0.2, "BudgetWindowS": 10, "RetryAllowance": 60,
            "RecoveryS": 12, "PassMs": 120, "ReuseWindowS": 7.3, "settle_ms": 1500,
        }

    @staticmethod
    def find_net():
        """Returns a loopback network on whose first address the ports are free."""
        for _ in range(50):
            net = f"127.{random.randint(20, 220)}.{random.randint(1, 250)}"
            try:
                for port in [*PORTS.values(), *INTERNAL, *METRICS]:
                    with socket.socket() as probe:
                        probe.bind((f"{net}.11", port))
                return net
            except OSError:
                continue
        raise CannotRun("no free ports")

    def next_ip(self):
        return f"{self.net}.{next(self.hosts)}"

    def add(self, name, zone, disk=False):
        machine = Machine(self, name, zone, disk)
        self.machines.append(machine)
        return machine

    def __enter__(self):
        signal.signal(signal.SIGTERM, lambda *_: self.give_up("ordered to stop"))
        watch = threading.Timer(TIME_LIMIT_S, self.give_up, ["the time is up"])
        watch.daemon = True
        watch.start()
        return self

    def give_up(self, reason):
        self.record(f"could not run: {reason}")
        self.__exit__()
        os._exit(2)

    def __exit__(self, *_):
        for machine in self.machines:
            for process in list(machine.processes.values()):
                if process.poll() is None:
                    process.send_signal(signal.SIGCONT)
                    process.kill()
                    process.wait()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            print("logs:", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def call(address, method, path, body=None, headers=None, timeout=1.0):
    """Makes one call over a new connection. Returns (status, headers, body), or (0, {}, reason)
    without a clear answer."""
    connection = http.client.HTTPConnection(*address, timeout=timeout)
    try:
        connection.request(method, path, body, headers or {})
        answer = connection.getresponse()
        return answer.status, {k.lower(): v for k, v in answer.getheaders()}, answer.read()
    except (OSError, http.client.HTTPException) as error:
        return 0, {}, str(error).encode()
    finally:
        connection.close()


class Operator:
    """Sends configurations and reads them back, at any of the nodes that serve control."""

    def __init__(self, record):
        self.record = record

    def put(self, document, machines, tries_s):
        """Sends a configuration until it is acknowledged or `tries_s` are over."""
        body = json.dumps(document)
        headers = {"Content-Type": "application/json"}
        end = time.monotonic() + tries_s
        last = None
        while time.monotonic() < end:
            for machine in machines:
                status, _, answer = call(
                    machine.address("control"), "PUT", "/config", body, headers
                )
                line = f"PUT /config version {document['Version']} at {machine.name}: {status} {answer[:80]!r}"
                if (machine.name, status) != last:
                    self.record(line)
                last = (machine.name, status)
                if status == 200:
                    return machine
            time.sleep(0.2)
        return None

    def get(self, machines, tries_s):
        """Reads the configuration until a node answers. Returns its version, or None."""
        end = time.monotonic() + tries_s
        seen = {}
        while time.monotonic() < end:
            for machine in machines:
                status, _, answer = call(machine.address("control"), "GET", "/config")
                if seen.get(machine.name) != status:
                    self.record(f"GET /config at {machine.name}: {status} {answer[:80]!r}")
                seen[machine.name] = status
                if status == 200:
                    version = json.loads(answer)["Version"]
                    self.record(f"GET /config at {machine.name}: version {version}")
                    return version
            time.sleep(0.2)
        return None
