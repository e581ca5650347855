"""Small deployment of the programs on loopback addresses, with stand-ins for workers, callers
and the operator. Python's standard library only."""

import http.client
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time

ROOT = os.path.abspath(os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", ".."))
BIN = os.path.join(ROOT, "target", "release")
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, CANNOT = 0, 1, 2
START = time.monotonic()
# A case that is not done by then ends its processes and itself.
LIMIT_S = 112.0
CHILDREN = []


class CannotRun(Exception):
    """The case could not run; says nothing of the rule."""


class Record:
    """Writes what was sent, answered and run to `record.txt` in the folder of the case."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.lock = threading.Lock()

    def write(self, text):
        line = f"{time.monotonic() - START:8.3f} {text}"
        with self.lock:
            self.file.write(line + "\n")
            self.file.flush()


def spawn(arguments):
    """Starts a child process that is ended with the case."""
    child = subprocess.Popen(arguments)
    CHILDREN.append(child)
    return child


class Process:
    """One program of the deploy file with a settings file of its own."""

    def __init__(self, program, settings, log):
        self.program = program
        self.settings = settings
        self.log = log
        self.child = None

    def start(self):
        env = {"PATH": os.environ.get("PATH", ""), "CHESTNUTNOTCH_NODE_FILE": self.settings}
        for name in ("HOME", "LANG"):
            if name in os.environ:
                env[name] = os.environ[name]
        with open(self.log, "ab") as log:
            self.child = subprocess.Popen(
                [os.path.join(BIN, self.program)], cwd=ROOT, env=env, stdout=log, stderr=log
            )
        CHILDREN.append(self.child)

    @property
    def pid(self):
        return self.child.pid

    def is_running(self):
        return self.child is not None and self.child.poll() is None

    def signal(self, number):
        if self.is_running():
            self.child.send_signal(number)

    def kill(self):
        if self.child is not None:
            self.signal(signal.SIGCONT)
            self.signal(signal.SIGKILL)
            self.child.wait()

    def peak_mb(self):
        """Returns the resident memory and its peak, in MiB; None once the process has ended."""
        try:
            with open(f"/proc/{self.pid}/status", encoding="ascii") as status:
                rows = dict(line.split(":", 1) for line in status)
            return tuple(int(rows[name].split()[0]) / 1024 for name in ("VmRSS", "VmHWM"))
        except (OSError, KeyError):
            return None


class Fleet:
    """Hosts with a router each; the first `disks` of them also run a control replica, and the next
    `plain` a control host without a disk."""

    ports = {"front": 18227, "ready": 18220, "control": 18229, "internal": 17340}

    def __init__(self, record, hosts=3, disks=3, plain=0, memory_mb=110, bounds=None, limits=None):
        if not os.path.exists(os.path.join(BIN, "platform-router")):
            raise CannotRun("the programs are not built")
        self.record = record
        self.folder = tempfile.mkdtemp(prefix="chestnutnotch-review-")
        FOLDERS.append(self.folder)
        self.subnet = f"127.{random.randint(30, 220)}.{random.randint(1, 250)}"
        self.hosts, self.disks, self.plain = hosts, disks, plain
        self.memory_mb, self.bounds, self.limits = memory_mb, bounds or {}, limits or {}
        self.routers, self.controls = [], []
        for number in range(hosts):
            self.routers.append(self._process(number, "platform-router", "router"))
            if number < disks + plain:
                self.controls.append(self._process(number, "platform-control", "control"))

    def ip(self, number):
        return f"{self.subnet}.{number + 1}"

    def _process(self, number, program, role):
        path = os.path.join(self.folder, f"{role}-{number}.toml")
        ip, ports = self.ip(number), self.ports
        serves = {"router": "edge", "control": "control"}[role]
        has_disk = number < self.disks
        lines = [
            f'NodeName = "edge-zone-a-{number + 1}"',
            f'Role = "{role}"',
            'MachineClass = "edge"',
            f'Serves = ["{serves}"]',
            f'Ip = "{ip}"',
            'Zone = "zone-a"',
            'Region = "region"',
            f'InternalPortRange = [{ports["internal"]},{ports["internal"] + 15}]',
            "Seeds = [%s]"
            % ",".join(f'"{self.ip(one)}:{ports["control"]}"' for one in range(min(3, self.disks))),
            "Bootstrap = true",
            f"LossCounts = {str(has_disk).lower()}",
        ]
        if role == "control" and has_disk:
            data = os.path.join(self.folder, f"data-{number}")
            os.makedirs(data, exist_ok=True)
            lines.append(f'DataDirectory = "{data}"')
        lines += [
            'Discovery = "registration"',
            'Entry = "virtual_ip"',
            "HeartbeatMs = 1200",
            'Contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants"]',
            'ConfigMode = "highest"',
            "[Zones]",
            'zone-a = "region"',
            "[Listen]",
        ]
        if role == "router":
            lines.append(f'Frontend = "{ip}:{ports["front"]}"')
            lines.append(f'Readiness = "{ip}:{ports["ready"]}"')
        else:
            lines.append(f'ControlPlane = "{ip}:{ports["control"]}"')
        limits = {"CpuShare": 0.45, "Cores": 1, "MemoryMb": self.memory_mb, "FileDescriptors": 4100,
                  "LinkMbps": 1000.0}
        limits.update(self.limits)
        if has_disk:
            limits["DiskMb"] = 64
        lines.append("[Limits]")
        lines += [f"{name} = {value}" for name, value in limits.items()]
        bounds = {
            "SeedLagS": 3, "ReuseAfterS": 2, "ContactMs": 3000, "AckMs": 4000, "CatchUpS": 4,
            "DrainMs": 2000, "GraceS": 8, "LossSlackMs": 200, "ConfigApplyMs": 2000,
            "RollbackSlackMs": 250, "PartitionBoundMs": 5000, "StrictRevocation": "false",
            "RevokeMs": 5000, "RetryBudgetRatio": 0.2, "BudgetWindowS": 10, "RetryAllowance": 60,
            "RecoveryS": 12, "PassMs": 120, "ReuseWindowS": 7.3, "settle_ms": 1500,
        }
        bounds.update(self.bounds)
        lines += ["[FaultTolerance]", "Machines = 1", "Zones = 0", "Regions = 0", "[Bounds]"]
        lines += [f"{name} = {value}" for name, value in bounds.items()]
        with open(path, "w", encoding="utf-8") as file:
            file.write("\n".join(lines) + "\n")
        return Process(program, path, os.path.join(self.folder, f"{role}-{number}.log"))

    def forget_bootstrap(self):
        """Later starts are not the first one of the system."""
        for process in self.routers + self.controls:
            with open(process.settings, encoding="utf-8") as file:
                text = file.read()
            with open(process.settings, "w", encoding="utf-8") as file:
                file.write(text.replace("Bootstrap = true", "Bootstrap = false"))

    def start(self):
        for process in self.controls + self.routers:
            process.start()

    def close(self):
        for process in self.routers + self.controls:
            process.kill()
        if os.environ.get("KEEP") != "1":
            shutil.rmtree(self.folder, ignore_errors=True)
        else:
            print("kept", self.folder)

    def front(self, number):
        return (self.ip(number), self.ports["front"])

    def control(self, number):
        return (self.ip(number), self.ports["control"])

    def call(self, number, method, path, body=None, timeout=2.0):
        """Calls a control host. Returns the status and the body; None without an answer."""
        return http_call(self.control(number), method, path, body, timeout)

    def publish(self, config, patience=20.0):
        """Sends a configuration to one host after the other until one acknowledges it."""
        end = time.monotonic() + patience
        number = 0
        while time.monotonic() < end:
            answer = self.call(number % len(self.controls), "PUT", "/config", config)
            if answer is not None and answer[0] == 200:
                self.record.write(f"configuration {config['Version']} acknowledged by host {number % len(self.controls)}")
                return number % len(self.controls)
            number += 1
            time.sleep(0.1)
        raise CannotRun("no configuration was acknowledged")

    def is_ready(self, number):
        answer = http_call((self.ip(number), self.ports["ready"]), "GET", "/readiness", None, 1.0)
        return answer is not None and answer[0] == 200

    def await_ready(self, patience=20.0):
        end = time.monotonic() + patience
        waiting = list(range(self.hosts))
        while waiting and time.monotonic() < end:
            waiting = [number for number in waiting if not self.is_ready(number)]
            time.sleep(0.05)
        if waiting:
            raise CannotRun(f"routers not ready: {waiting}")


def http_call(address, method, path, body=None, timeout=2.0, headers=None):
    connection = http.client.HTTPConnection(address[0], address[1], timeout=timeout)
    try:
        data = None if body is None else json.dumps(body).encode()
        heads = {"Content-Type": "application/json"} if data else {}
        heads.update(headers or {})
        connection.request(method, path, body=data, headers=heads)
        response = connection.getresponse()
        return response.status, response.read()
    except (OSError, http.client.HTTPException):
        return None
    finally:
        connection.close()


def read_head(reader):
    """Reads the head of an HTTP message from a file object. None at the end."""
    start = reader.readline(65536)
    if not start:
        return None
    headers = {}
    while True:
        line = reader.readline(65536)
        if line in (b"\r\n", b"\n", b""):
            break
        name, _, value = line.partition(b":")
        headers[name.decode("latin-1").strip().lower()] = value.decode("latin-1").strip()
    return start.decode("latin-1").strip(), headers


def read_body(reader, headers):
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int(reader.readline().split(b";")[0], 16)
            part = reader.read(size)
            reader.readline()
            if size == 0:
                return body
            body += part
    return reader.read(int(headers.get("content-length", "0") or 0))


class Worker:
    """Stand-in of a worker: heartbeats, and an answer to each request by `respond`.

    `respond(worker, request, connection)` returns the bytes of the answer, or None after it has
    written its own and closed the connection.
    """

    def __init__(self, fleet, ip, name, service, respond, slots=64, version="v1", beat=1.2, port=8080, late=0.0):
        self.late = late
        self.fleet, self.record = fleet, fleet.record
        self.name, self.service, self.respond = name, service, respond
        self.slots, self.version, self.beat = slots, version, beat
        self.address = (ip, port)
        self.sequence = 0
        self.born = int(time.time() * 1000)
        self.state = "ready"
        self.beating = threading.Event()
        self.beating.set()
        self.closed = threading.Event()
        self.runs = []
        self.lock = threading.Lock()
        self.connections = set()
        self.listener = socket.create_server(self.address, backlog=128)
        threading.Thread(target=self._accept, daemon=True).start()
        threading.Thread(target=self._beat, daemon=True).start()

    def heartbeat(self, number, timeout=1.0):
        """Sends one heartbeat to a control host. Returns whether it was acknowledged."""
        self.sequence += 1
        body = {
            "Service": self.service, "Address": f"{self.address[0]}:{self.address[1]}", "Zone": "zone-a",
            "Version": self.version, "Slots": self.slots, "State": self.state, "ColdRemainingMs": 0,
            "Sequence": self.sequence, "born": self.born,
        }
        if self.late:
            # It is on its way for this time, whatever becomes of its sender.
            late = threading.Timer(self.late, self._deliver, (number, body, timeout))
            late.daemon = True
            late.start()
            return True
        return self._deliver(number, body, timeout)

    def _deliver(self, number, body, timeout):
        answer = self.fleet.call(number, "PUT", f"/instances/{self.name}", body, timeout)
        return answer is not None and 200 <= answer[0] < 300

    def leave(self, number, timeout=1.0):
        """Sends the call by which a worker leaves. Returns whether it was acknowledged."""
        answer = self.fleet.call(number, "DELETE", f"/instances/{self.name}", {"born": self.born}, timeout)
        return answer is not None and 200 <= answer[0] < 300

    def _beat(self):
        number = random.randrange(len(self.fleet.controls))
        while not self.closed.is_set():
            if self.beating.is_set() and not self.heartbeat(number % len(self.fleet.controls)):
                number += 1
                time.sleep(0.1)
                continue
            self.closed.wait(self.beat)

    def _accept(self):
        while not self.closed.is_set():
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            with self.lock:
                self.connections.add(connection)
            threading.Thread(target=self._serve, args=(connection,), daemon=True).start()

    def _serve(self, connection):
        reader = connection.makefile("rb")
        try:
            while not self.closed.is_set():
                head = read_head(reader)
                if head is None:
                    break
                start, headers = head
                request = {"start": start, "headers": headers, "body": read_body(reader, headers)}
                request["id"] = headers.get("x-attempt-id", "")
                request["at"] = time.monotonic()
                expected = headers.get("x-expected-instance")
                if expected not in (None, self.name):
                    connection.sendall(plain(421, b"", request["id"]))
                    continue
                with self.lock:
                    self.runs.append(request)
                self.record.write(f"worker {self.name}: runs {request['id']} ({start})")
                answer = self.respond(self, request, connection)
                if answer is None:
                    break
                connection.sendall(answer)
        except (OSError, ValueError):
            pass
        finally:
            reader.close()
            connection.close()
            with self.lock:
                self.connections.discard(connection)

    def crash(self):
        """Ends like a process that crashes: sends nothing more, and its connections are closed."""
        self.record.write(f"worker {self.name} ({self.version}) crashes")
        self.closed.set()
        self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()
        with self.lock:
            for connection in list(self.connections):
                try:
                    connection.shutdown(socket.SHUT_RDWR)
                except OSError:
                    pass

    def close(self):
        self.closed.set()
        self.listener.close()
        with self.lock:
            for connection in list(self.connections):
                try:
                    connection.shutdown(socket.SHUT_RDWR)
                except OSError:
                    pass


def plain(status, body, attempt, headers=()):
    """Answer of a worker with a length and its signature."""
    lines = [f"HTTP/1.1 {status} X", f"X-Attempt-Id: {attempt}", "X-Server-Signature: 3e1b.07.5a2",
             f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def request_bytes(method, host, path, attempt, deadline=None, key=None, headers=(), body=b""):
    lines = [f"{method} {path} HTTP/1.1", f"Host: {host}", f"X-Attempt-Id: {attempt}"]
    if deadline is not None:
        lines.append(f"X-Deadline-Ms: {deadline}")
    if key is not None:
        lines.append(f"Authorization: Bearer {key}")
    lines += [f"{name}: {value}" for name, value in headers]
    if body or method in ("POST", "PUT"):
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def ask(address, data, timeout=3.0):
    """Sends one request over a new connection. Returns the status, headers and body; None if there
    is no complete answer."""
    try:
        with socket.create_connection(address, timeout=timeout) as connection:
            connection.sendall(data)
            reader = connection.makefile("rb")
            head = read_head(reader)
            if head is None:
                return None
            start, headers = head
            status = int(start.split()[1])
            if "content-length" in headers or "transfer-encoding" in headers:
                return status, headers, read_body(reader, headers)
            return status, headers, reader.read()
    except (OSError, ValueError, IndexError):
        return None


def route(name, prefix, kind, service, timeout=6000, target=600, attempts=1, **more):
    entry = {"Name": name, "Host": "app.example", "PathPrefix": prefix, "RouteKind": kind,
             "TimeoutMs": timeout, "TargetLatencyMs": target, "Priority": 1, "Service": service,
             "MaxAttempts": attempts, "Public": False, "Sticky": False, "Resumable": False}
    entry.update(more)
    return entry


def service(name, connections=120, **more):
    entry = {"Name": name, "HealthPath": "/health", "MaxConnections": connections, "Protocol": "h1",
             "Tls": False}
    entry.update(more)
    return entry


def config(version, routes, services, tenants=None, limits=None):
    document = {
        "Version": version, "Routes": routes, "Services": services,
        "Limits": limits or {"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304,
                             "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
    }
    if tenants is not None:
        document["Tenants"] = tenants
    return document


FOLDERS = []


def end(code, text, record):
    """Ends what is left of the case, also after an error, and the case itself."""
    for child in CHILDREN:
        if child.poll() is None:
            child.send_signal(signal.SIGKILL)
            child.wait()
    for folder in FOLDERS:
        shutil.rmtree(folder, ignore_errors=True)
    record.write(text)
    print(text)
    sys.stdout.flush()
    os._exit(code)


def give_up(record):
    """Ends a case that has not come to a result in time."""
    end(CANNOT, f"could not run: not done after {LIMIT_S} s", record)


def stopped(_number, _frame):
    raise CannotRun("ended by a signal")


def run(folder, case):
    """Runs `case(record)`, which returns whether the rule was broken, and exits by it."""
    record = Record(folder)
    record.write("with the disruption" if TROUBLE else "without the disruption")
    watchdog = threading.Timer(LIMIT_S, give_up, (record,))
    watchdog.daemon = True
    watchdog.start()
    signal.signal(signal.SIGTERM, stopped)
    try:
        broken = case(record)
    except (Exception, KeyboardInterrupt) as error:
        end(CANNOT, f"could not run: {error!r}", record)
    end(BROKEN if broken else HELD, "rule broken" if broken else "rule held", record)
