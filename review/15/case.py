"""A control host loses power right after it has acknowledged that a worker leaves."""

import json
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib-3"))

import signal
import socket
import threading
import time

import harness
from harness import CannotRun, Fleet, Worker

DRAIN_S = 2.0
LOST = 3
TURNS = 9


def leave(fleet, worker, number):
    """Sends the call by which a worker leaves, and cuts the power of the host at the first byte of the
    acknowledgement. Returns the time of that byte."""
    body = json.dumps({"born": worker.born}).encode()
    head = (f"DELETE /instances/{worker.name} HTTP/1.1\r\nHost: control\r\n"
            f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n")
    machine = [fleet.controls[number].pid, fleet.routers[number].pid] if harness.TROUBLE else []
    with socket.create_connection(fleet.control(number), timeout=2.0) as connection:
        connection.sendall(head.encode() + body)
        answer = connection.recv(1)
        for process in machine:
            os.kill(process, signal.SIGKILL)
        at = time.monotonic()
        answer += connection.recv(4096)
    if not answer.startswith(b"HTTP/1.1 200"):
        return None
    return at


def case(record):
    fleet = Fleet(record, hosts=4, disks=3, plain=1)
    workers = []

    def respond(worker, request, _connection):
        time.sleep(0.015)
        leaving = [("Server-Leaving", "1")] if worker.state == "leaving" else []
        return harness.plain(200, b"done", request["id"], leaving)

    def start(seat):
        worker = Worker(fleet, f"{fleet.subnet}.{100 + seat}", f"i-{seat}", "desk", respond, slots=6)
        workers.append(worker)
        return worker

    def ask(attempt, router, since):
        data = harness.request_bytes("GET", "app.example", "/desk/a", attempt, 600, "k1")
        sent = time.monotonic()
        answer = harness.ask(fleet.front(router), data)
        status = answer[0] if answer else None
        delay = "" if since is None else f", sent {sent - since:.2f} s after the acknowledgement"
        record.write(f"client: {attempt} at router {router}{delay}: {status}")
        return status

    try:
        fleet.start()
        fleet.publish(harness.config(
            1, [harness.route("desk", "/desk/", "idempotent", "desk", 600, 100, 2)],
            [harness.service("desk")], [{"Name": "guild", "ApiKeys": ["k1"], "Priority": 1}],
        ))
        fleet.await_ready()
        fleet.forget_bootstrap()
        start(0)
        reached = 0
        for turn in range(1, TURNS + 1):
            worker = start(turn)
            time.sleep(4.0)
            if not all(ask(f"calm-{turn}-{step}", step % 3, None) == 200 for step in range(3)):
                raise CannotRun("callers are not served in calm")
            worker.beating.clear()
            time.sleep(0.3)
            at = leave(fleet, worker, LOST)
            if at is None:
                raise CannotRun("the leave was not acknowledged")
            worker.state = "leaving"
            record.write(f"worker {worker.name}: DELETE acknowledged by host {LOST}"
                         + (", which loses power" if harness.TROUBLE else ""))
            # It serves on, and no caller comes until the time to drain is over.
            time.sleep(at + DRAIN_S + 0.2 - time.monotonic())
            before = len(worker.runs)
            callers = [
                threading.Thread(target=ask, args=(f"late-{turn}-{step}", step % 3, at), daemon=True)
                for step in range(18)
            ]
            for caller in callers:
                caller.start()
            for caller in callers:
                caller.join(2.0)
            late = len(worker.runs) - before
            record.write(f"worker {worker.name}: {late} requests later than {DRAIN_S} s after the acknowledgement")
            reached += late
            worker.close()
            if harness.TROUBLE:
                for process in (fleet.controls[LOST], fleet.routers[LOST]):
                    process.child.wait()
                    process.start()
        record.write(f"{reached} requests reached workers that had left; none is allowed")
        print(reached, "late requests")
        return reached > 0
    finally:
        for worker in workers:
            worker.close()
        fleet.close()


harness.run(FOLDER, case)
