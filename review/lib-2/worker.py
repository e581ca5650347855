"""A stand-in for a worker, which speaks the calls of the pages, and a client of streams."""

import asyncio
import http.client
import json
import socket
import threading
import time

from fleet import call

SIGNATURE = "3e1b.07.5a2.600.0.c9f2a4d1"


class Loop:
    """An event loop on a thread of its own, for all workers of a case."""

    def __init__(self):
        self.loop = asyncio.new_event_loop()
        threading.Thread(target=self.loop.run_forever, daemon=True).start()

    def run(self, coroutine):
        return asyncio.run_coroutine_threadsafe(coroutine, self.loop).result(10)


class Worker:
    """Streams `events` numbered events, one each `pause_s`; every event names the software version
    of the start that made it. One request at a time on a connection."""

    def __init__(self, loop, record, fleet, name, service, version, events=40, pause_s=0.1, zone="zone-a",
                 first_s=0.0, spoil_each=0, fatal=None, down_s=2.5):
        self.loop, self.record = loop, record
        self.name, self.service, self.version, self.zone = name, service, version, zone
        self.address = (fleet.next_ip(), 8120)
        self.events, self.pause_s = events, pause_s
        # Time to the first event, and which of its answers it spoils (each n-th).
        self.first_s, self.spoil_each = first_s, spoil_each
        # Part of a prompt that crashes the worker, for how long it is down then, and its nodes of control.
        self.fatal, self.down_s, self.control = fatal, down_s, []
        self.crashes = []
        self.answers = 0
        self.begun = {}  # attempt id: when it began
        self.spoiled = {}  # attempt id: when work on a spoiled answer ended
        self.server = None
        self.writers = set()
        self.born = 0
        self.sequence = 0
        self.beating = None
        self.ran = []  # (attempt id, version, after)

    def start(self):
        """Begins a new start, which listens at once. Its heartbeats begin with `beat`."""
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.loop.run(self._listen())
        self.record(f"worker {self.name} starts with version {self.version}, born {self.born}")

    async def _listen(self):
        self.server = await asyncio.start_server(
            self._serve, *self.address, reuse_address=True, backlog=256
        )

    def crash(self):
        """Ends the process: no heartbeat, no listener, all connections reset."""
        self.stop_beating()
        self.loop.run(self._crash())
        self.record(f"worker {self.name} crashes")

    async def _crash(self):
        self.server.close()
        for writer in list(self.writers):
            writer.get_extra_info("socket").setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\0\0\0\0\0\0\0"
            )
            writer.transport.abort()
        self.writers.clear()

    async def _crash_under(self, attempt):
        """Crashes under a prompt, and starts again after some seconds."""
        self.crashes.append(time.monotonic())
        self.record(f"worker {self.name} crashes under {attempt}")
        self.stop_beating()
        await self._crash()
        await asyncio.sleep(self.down_s)
        self.born = int(time.time() * 1000)
        self.sequence = 0
        await self._listen()
        self.beat(self.control)

    def beat(self, machines, period_s=1.2):
        """Sends heartbeats of this start to the first of these nodes that answers."""
        self.control = machines
        stop = threading.Event()
        self.beating = stop
        born = self.born

        def run():
            while not stop.is_set():
                self.sequence += 1
                body = json.dumps({
                    "Service": self.service, "Address": f"{self.address[0]}:{self.address[1]}",
                    "Zone": self.zone, "Version": self.version, "Slots": 64, "State": "ready",
                    "ColdRemainingMs": 0, "Stage": "both",
                    "Models": [{"Name": "m", "Version": 1, "Adapters": []}],
                    "Sequence": self.sequence, "born": born,
                })
                for machine in machines:
                    if stop.is_set():
                        return
                    status, _, _ = call(
                        machine.address("control"), "PUT", f"/instances/{self.name}", body,
                        {"Content-Type": "application/json"},
                    )
                    if status == 200:
                        break
                if self.sequence == 1:
                    self.record(f"worker {self.name}: first heartbeat of born {born}, version {self.version}")
                stop.wait(period_s)

        threading.Thread(target=run, daemon=True).start()

    def stop_beating(self):
        if self.beating:
            self.beating.set()

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while await self._serve_one(reader, writer):
                pass
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _serve_one(self, reader, writer):
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        line, *fields = head.split("\r\n")
        headers = {}
        for field in fields:
            if ":" in field:
                key, value = field.split(":", 1)
                headers[key.strip().lower()] = value.strip()
        await reader.readexactly(int(headers.get("content-length", 0)))
        attempt = headers.get("x-attempt-id", "")
        expected = headers.get("x-expected-instance")
        if expected and expected != self.name:
            writer.write(
                f"HTTP/1.1 421 Misdirected Request\r\nX-Instance-Id: {self.name}\r\n"
                f"X-Attempt-Id: {attempt}\r\nContent-Length: 0\r\n\r\n".encode()
            )
            await writer.drain()
            return True
        if line.startswith("GET /health"):
            writer.write(f"HTTP/1.1 200 OK\r\nX-Instance-Id: {self.name}\r\nContent-Length: 0\r\n\r\n".encode())
            await writer.drain()
            return True
        if not line.split(" ")[1].startswith("/chat/"):
            status, body = "404 Not Found", "{}"
            if line.startswith("GET /report"):
                # What a worker says of itself bears the time of its start.
                status, body = "200 OK", json.dumps({
                    "Stage": "both", "Models": [{"Name": "m", "Version": 1, "Adapters": []}], "Busy": False,
                    "Sequence": 0, "Queued": 0, "Active": len(self.writers), "KvUsed": 0, "KvTotal": 247922,
                    "Handles": 0, "born": self.born,
                })
            writer.write(
                f"HTTP/1.1 {status}\r\nX-Attempt-Id: {attempt}\r\nContent-Type: application/json\r\n"
                f"Content-Length: {len(body)}\r\n\r\n{body}".encode()
            )
            await writer.drain()
            return True
        version = self.version
        after = int(headers.get("last-event-id", 0))
        self.begun[attempt] = time.monotonic()
        self.answers += 1
        if self.spoil_each and self.answers % self.spoil_each == 0:
            await self._spoil(reader, writer, attempt)
            return False
        if self.fatal and self.fatal in headers.get("x-prompt-prefix", ""):
            writer.write(self._head(attempt))
            await writer.drain()
            await asyncio.sleep(0.05)
            if self.server.is_serving():
                asyncio.ensure_future(self._crash_under(attempt))
            return False
        self.ran.append((attempt, version, after))
        self.record(f"worker {self.name} (version {version}) runs {attempt}, after event {after}")
        writer.write(self._head(attempt))
        if self.first_s:
            await writer.drain()
            await asyncio.sleep(self.first_s)
        for number in range(after + 1, self.events + 1):
            event = f"id: {number}\ndata: {attempt} {number} of {self.name} {version}\n\n"
            writer.write(f"{len(event):x}\r\n{event}\r\n".encode())
            await writer.drain()
            await asyncio.sleep(self.pause_s)
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True

    def _head(self, attempt):
        return (
            f"HTTP/1.1 200 OK\r\nX-Attempt-Id: {attempt}\r\nX-Server-Signature: {SIGNATURE}\r\n"
            f"X-Instance-Load: {len(self.writers)},0,64\r\n"
            "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        ).encode()

    async def _spoil(self, reader, writer, attempt):
        """Sends three events and then bytes that are no answer, without end until the caller closes."""
        self.record(f"worker {self.name} runs {attempt} and spoils its answer")
        writer.write(self._head(attempt))
        await writer.drain()
        await asyncio.sleep(self.first_s)
        for number in range(1, 4):
            event = f"id: {number}\ndata: {attempt} {number} of {self.name} {self.version}\n\n"
            writer.write(f"{len(event):x}\r\n{event}\r\n".encode())
            await writer.drain()
            await asyncio.sleep(self.pause_s)

        async def send():
            chunk = b"4000\r\n" + b"x" * 0x4000 + b"\r\n"
            while True:
                writer.write(chunk)
                await writer.drain()
                await asyncio.sleep(0.001)

        sending = asyncio.ensure_future(send())
        try:
            await reader.read(1)  # returns or fails once the caller has closed
        except OSError:
            pass
        sending.cancel()
        self.spoiled[attempt] = time.monotonic()
        self.record(f"worker {self.name}: the caller has closed {attempt}, work ends")


class Stream(threading.Thread):
    """A client that reads one stream to its end."""

    def __init__(self, record, address, path, attempt, key, host="desk.example", deadline_ms=15000, extra=None):
        super().__init__(daemon=True)
        self.record, self.address, self.path, self.attempt = record, address, path, attempt
        self.headers = {
            "Host": host, "X-Attempt-Id": attempt, "X-Model": "m", "X-Token-Usage": "60,160",
            "X-Prompt-Prefix": f"5c1e07a2:50,{attempt}:10", "X-Deadline-Ms": str(deadline_ms),
            "Authorization": f"Bearer {key}", **(extra or {}),
        }
        self.timeout = deadline_ms / 1000 + 1
        self.status, self.events, self.complete = 0, [], False

    def run(self):
        connection = http.client.HTTPConnection(*self.address, timeout=self.timeout)
        try:
            connection.request("POST", self.path, b"{}", self.headers)
            answer = connection.getresponse()
            self.status = answer.status
            event = {}
            while line := answer.readline():
                line = line.decode().rstrip("\n")
                if line:
                    key, _, value = line.partition(": ")
                    event[key] = value
                elif event:
                    self.events.append((int(event.get("id", 0)), event.get("data", "")))
                    event = {}
            # The library tells an answer that was cut by an exception.
            self.complete = answer.isclosed()
        except (OSError, http.client.HTTPException) as error:
            self.record(f"client: {self.attempt} ends early: {error!r}")
        finally:
            connection.close()
        self.record(
            f"client: {self.attempt} got {self.status}, {len(self.events)} events of versions "
            f"{sorted(self.versions())}, complete {self.complete}"
        )

    def versions(self):
        return {data.split()[-1] for _, data in self.events}
