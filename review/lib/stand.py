"""Stand-ins of the platform, the operator, workers and clients for the cases of this review.

Each machine is a loopback address. The programs under test are started as separate processes, with
a settings file as the users' pages describe it. Standard library only.
"""
import asyncio
import json
import os
import random
import signal
import socket
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
PROGRAMS = os.path.join(os.environ.get("CARGO_TARGET_DIR", os.path.join(ROOT, "target")), "release")
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class CannotRun(Exception):
    """The case could not run: exit code 2."""


class Record:
    """Writes record.txt in the folder of the case."""

    def __init__(self, folder):
        self.start = time.monotonic()
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")

    def __call__(self, text):
        self.file.write(f"{time.monotonic() - self.start:8.3f} s  {text}\n")
        self.file.flush()


def free_subnet(hosts, ports):
    """Returns the first three octets of loopback addresses on which all these ports are free."""
    for _ in range(50):
        subnet = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
        try:
            for host in hosts:
                for port in ports:
                    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                        with socket.socket(socket.AF_INET, kind) as probe:
                            probe.bind((f"{subnet}.{host}", port))
            return subnet
        except OSError:
            continue
    raise CannotRun("no free ports")


class Machine:
    """A machine with up to two processes."""

    def __init__(self, fleet, number, disk):
        self.fleet, self.number, self.disk = fleet, number, disk
        self.ip = f"{fleet.subnet}.{number}"
        self.processes = {}
        self.bootstrap = True

    def settings(self, role):
        fleet = self.fleet
        data = os.path.join(fleet.folder, f"data-{self.number}")
        path = os.path.join(fleet.folder, f"boot-{self.number}-{role}.toml")
        seeds = ",".join(f'"{fleet.subnet}.{n}:{fleet.CONTROL}"' for n in fleet.seeds)
        lines = [
            f'NodeName = "edge-{self.number}"', f'Role = "{role}"', 'MachineClass = "edge"',
            'Serves = ["edge","control"]', f'Ip = "{self.ip}"', f'Zone = "zone-{self.number}"',
            'Region = "region"', f"InternalPortRange = [{fleet.INTERNAL},{fleet.INTERNAL + 15}]",
            f"Seeds = [{seeds}]", f"Bootstrap = {str(self.bootstrap).lower()}",
            f"LossCounts = {str(self.disk).lower()}",
        ]
        if self.disk and role == "control":
            lines.append(f'DataDirectory = "{data}"')
        lines += [
            'Discovery = "registration"', 'Entry = "virtual_ip"', "HeartbeatMs = 1200",
            'ConfigMode = "highest"', "[Listen]", f'Frontend = "{self.ip}:{fleet.FRONT}"',
            f'Readiness = "{self.ip}:{fleet.READY}"', f'ControlPlane = "{self.ip}:{fleet.CONTROL}"',
            "[Limits]", "CpuShare = 0.45", "Cores = 1", "MemoryMb = 110", "FileDescriptors = 4100",
            "LinkMbps = 1000.0", "DiskMb = 64", "[FaultTolerance]", "Machines = 1", "Zones = 0",
            "Regions = 0", "[Bounds]",
        ] + [f"{name} = {value}" for name, value in fleet.bounds.items()]
        with open(path, "w", encoding="utf-8") as file:
            file.write("\n".join(lines) + "\n")
        return path

    async def start(self, role):
        program = os.path.join(PROGRAMS, f"platform-{role}")
        if not os.path.exists(program):
            raise CannotRun(f"{program} is missing")
        log = open(os.path.join(self.fleet.folder, f"{role}-{self.number}.log"), "ab")
        env = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        env["CHESTNUTNOTCH_NODE_FILE"] = self.settings(role)
        process = await asyncio.create_subprocess_exec(
            program, cwd=ROOT, env=env, stdin=asyncio.subprocess.DEVNULL, stdout=log, stderr=log)
        log.close()
        self.processes[role] = process
        self.fleet.record(f"machine {self.number}: {role} started")

    async def end(self, role, how=signal.SIGKILL):
        process = self.processes.pop(role, None)
        if process and process.returncode is None:
            self.fleet.record(f"machine {self.number}: {role} gets {how.name}")
            process.send_signal(how)
            await process.wait()


class Fleet:
    """The machines of a small deployment."""

    FRONT, READY, CONTROL, INTERNAL = 18227, 18220, 18229, 17340
    METRICS = (9464, 9465)

    def __init__(self, record, disks=3, others=0, bounds=None):
        self.record = record
        self.temporary = tempfile.TemporaryDirectory(prefix="review-")
        self.folder = self.temporary.name
        numbers = range(1, disks + others + 1)
        ports = [self.FRONT, self.READY, self.CONTROL, self.INTERNAL, self.INTERNAL + 1]
        self.subnet = free_subnet(numbers, [*ports, *self.METRICS])
        self.seeds = list(range(1, min(disks, 3) + 1))
        self.bounds = {
            "SeedLagS": 3, "ReuseAfterS": 2, "ContactMs": 3000, "AckMs": 4000, "CatchUpS": 4,
            "DrainMs": 2000, "GraceS": 8, "LossSlackMs": 200, "ConfigApplyMs": 2000,
            "RollbackSlackMs": 250, "PartitionBoundMs": 5000, "RetryBudgetRatio": 0.2,
            "BudgetWindowS": 10, "RetryAllowance": 60, "RecoveryS": 12, **(bounds or {}),
        }
        self.machines = [Machine(self, number, number <= disks) for number in numbers]

    async def start(self):
        for machine in self.machines:
            if machine.disk:
                await machine.start("control")
            await machine.start("router")

    async def stop(self):
        for machine in self.machines:
            for role in list(machine.processes):
                await machine.end(role)
        self.temporary.cleanup()

    async def publish(self, document, timeout=20.0):
        """Sends a configuration to any control host until one acknowledges it."""
        end = time.monotonic() + timeout
        body = json.dumps(document).encode()
        while time.monotonic() < end:
            hosts = [machine for machine in self.machines if "control" in machine.processes]
            host = random.choice(hosts)
            reply = await call(host.ip, self.CONTROL, "PUT", "/config", body, timeout=1.0)
            if reply and reply[0] == 200:
                self.record(f"config {document['Version']} acknowledged by machine {host.number}")
                return
            await asyncio.sleep(0.1)
        raise CannotRun("the configuration was not acknowledged")

    async def wait_ready(self, timeout=20.0):
        end = time.monotonic() + timeout
        for machine in self.machines:
            while True:
                reply = await call(machine.ip, self.READY, "GET", "/readiness")
                if reply and reply[0] == 200:
                    break
                if time.monotonic() > end:
                    raise CannotRun("not ready")
                await asyncio.sleep(0.1)


async def read_head(reader):
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head.rstrip("\r\n").split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return first, headers


async def read_chunks(reader):
    """Yields the chunks of a body; raises if it is not complete."""
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        data = await reader.readexactly(size + 2)
        if size == 0:
            return
        yield data[:-2]


async def call(ip, port, method, path, body=b"", headers=None, timeout=1.0):
    """Sends one request on a new connection. Returns status, headers and body, or None."""
    async def run():
        reader, writer = await asyncio.open_connection(ip, port)
        try:
            lines = [f"{method} {path} HTTP/1.1", f"Content-Length: {len(body)}"]
            own = {"Host": f"{ip}:{port}", "Connection": "close", **(headers or {})}
            lines += [f"{name}: {value}" for name, value in own.items()]
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
            first, got = await read_head(reader)
            if "content-length" in got:
                data = await reader.readexactly(int(got["content-length"]))
            elif got.get("transfer-encoding") == "chunked":
                data = b"".join([chunk async for chunk in read_chunks(reader)])
            else:
                data = await reader.read()
            return int(first.split()[1]), got, data
        finally:
            writer.close()
    try:
        return await asyncio.wait_for(run(), timeout)
    except (OSError, EOFError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
        return None


class Worker:
    """A worker: serves requests one at a time on each connection, and sends heartbeats."""

    def __init__(self, fleet, ident, ip, service, version="v1", slots=64):
        self.fleet, self.ident, self.ip, self.service = fleet, ident, ip, service
        self.version, self.slots, self.state = version, slots, "ready"
        self.port, self.sequence, self.born = 19000, 0, 0
        self.server, self.beating, self.writers = None, None, set()
        self.cut_until, self.heard = 0.0, set()

    async def start(self, version=None):
        """Starts a new incarnation."""
        self.version = version or self.version
        self.born, self.sequence, self.state = int(time.time() * 1000), 0, "ready"
        self.server = await asyncio.start_server(
            self.connected, self.ip, self.port, reuse_address=True)
        self.beating = asyncio.ensure_future(self.beat_forever())
        self.fleet.record(f"worker {self.ident}: started, version {self.version}, "
                          f"born {self.born}")

    async def crash(self):
        """Ends at once: connections are reset, and nothing is said."""
        self.fleet.record(f"worker {self.ident}: crashes")
        self.beating.cancel()
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        self.writers.clear()

    async def beat_forever(self):
        while True:
            self.sequence += 1
            await self.beat(self.sequence, self.state)
            await asyncio.sleep(1.2)

    def beat_body(self, sequence, state):
        return json.dumps({
            "Service": self.service, "Address": f"{self.ip}:{self.port}", "Zone": "zone-1",
            "Version": self.version, "Slots": self.slots, "State": state, "ColdRemainingMs": 0,
            "Sequence": sequence, "born": self.born}).encode()

    async def beat(self, sequence, state):
        """Sends one heartbeat to one node after another until one acknowledges it. Behind a cut
        none gets it."""
        body = self.beat_body(sequence, state)
        born = self.born
        if time.monotonic() < self.cut_until:
            return None
        hosts = [machine for machine in self.fleet.machines if "control" in machine.processes]
        random.shuffle(hosts)
        for host in hosts:
            reply = await call(host.ip, self.fleet.CONTROL, "PUT", f"/instances/{self.ident}", body)
            if reply and 200 <= reply[0] < 300:
                if born not in self.heard:
                    self.heard.add(born)
                    self.fleet.record(f"worker {self.ident}: first heartbeat of start {born} "
                                      f"acknowledged by machine {host.number}")
                return host
        return None

    async def connected(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                first, headers = await read_head(reader)
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                if not await self.serve(first, headers, body, writer):
                    break
        except (OSError, EOFError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def serve(self, first, headers, body, writer):
        """Answers one request. Returns whether the connection is kept."""
        expected = headers.get("x-expected-instance")
        if expected not in (None, self.ident):
            self.reply(writer, "421 Misdirected Request", headers, b"")
            return True
        return await self.run(first, headers, body, writer)

    async def run(self, first, headers, body, writer):
        self.reply(writer, "200 OK", headers, b"ok", signed=True)
        return True

    def reply(self, writer, status, headers, body, signed=False, more=()):
        lines = [f"HTTP/1.1 {status}", f"X-Attempt-Id: {headers.get('x-attempt-id', '')}",
                 f"Content-Length: {len(body)}", *more]
        if signed:
            lines.append(f"X-Server-Signature: {self.ident}.{self.born}")
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)


def run_case(file, case, limit=110.0):
    """Runs an async function `case(record)`, which returns whether the rule was broken."""
    folder = os.path.dirname(os.path.abspath(file))
    record = Record(folder)
    record(f"TROUBLE={int(TROUBLE)}")
    try:
        broken = asyncio.run(asyncio.wait_for(case(record), limit))
    except (CannotRun, asyncio.TimeoutError, OSError) as error:
        record(f"could not run: {error!r}")
        print(f"could not run: {error!r}")
        sys.exit(2)
    record("the rule was broken" if broken else "the rule held")
    print("the rule was broken" if broken else "the rule held")
    sys.exit(1 if broken else 0)
