"""A part of prompts that crashes workers as they begin to write, at a fleet of ten machines."""

import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib-3"))

import threading
import time

import harness
from harness import CannotRun, Fleet, Worker

CONTACT_S = 3.0
DOWN_S = 4.0
MACHINES = 10
WORKERS = 12
EVENTS = 4
PERIOD_S = 2.5
FATAL = 18
PART = "3fe1"


def case(record):
    fleet = Fleet(record, hosts=MACHINES, disks=3, plain=1)
    workers, crashes, arrivals = {}, [], []
    lock = threading.Lock()
    stopped = threading.Event()
    starts = [0]

    def start(seat):
        starts[0] += 1
        name = f"i-{seat}-{starts[0]}"
        worker = Worker(fleet, f"{fleet.subnet}.{100 + seat}", name, "texts", respond)
        worker.seat = seat
        workers[seat] = worker

    def restart(seat):
        time.sleep(DOWN_S)
        if not stopped.is_set():
            start(seat)

    def send_event(connection, number):
        event = f"id: {number}\ndata: {number}\n\n".encode()
        connection.sendall(b"%x\r\n%s\r\n" % (len(event), event))

    def begin(request, connection):
        """Writes the head and the first event of an answer."""
        connection.sendall((
            f"HTTP/1.1 200 OK\r\nX-Attempt-Id: {request['id']}\r\nX-Server-Signature: 3e1b.07\r\n"
            "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        ).encode())
        send_event(connection, 1)

    def respond(worker, request, connection):
        parts = [part.split(":")[0] for part in request["headers"].get("x-prompt-prefix", "").split(",")]
        if PART in parts:
            with lock:
                arrivals.append(request["at"])
            begin(request, connection)
            time.sleep(0.02)
            with lock:
                if worker.closed.is_set():
                    return None
                crashes.append(time.monotonic())
                worker.crash()
            threading.Thread(target=restart, args=(worker.seat,), daemon=True).start()
            return None
        time.sleep(0.03)
        if worker.closed.is_set():
            return None
        begin(request, connection)
        for number in range(2, EVENTS + 1):
            time.sleep(0.03)
            send_event(connection, number)
            if worker.closed.is_set():
                return None
        return b"0\r\n\r\n"

    def ask(attempt, router, part):
        number = int(attempt.split("-")[1])
        prefix = f"aa:60,{part}:200,{number + 4096:x}:40"
        data = harness.request_bytes(
            "POST", "app.example", "/texts/a", attempt, 6000, "k1",
            [("X-Model", "m"), ("X-Token-Usage", "300,60"), ("X-Prompt-Prefix", prefix)],
            b'{"text":%d}' % number,
        )
        answer = harness.ask(fleet.front(router), data, 6.0)
        status = answer[0] if answer else None
        record.write(f"client: {attempt} at machine {router}: {status}")
        return status

    def visit():
        """Sound requests, which share the caller and the first part."""
        number = 0
        while not stopped.is_set():
            number += 1
            caller = threading.Thread(
                target=ask, args=(f"sound-{number}", number % MACHINES, f"b{number % 5}"), daemon=True
            )
            caller.start()
            time.sleep(0.1)

    try:
        fleet.start()
        engine = {"Slots": 64, "KvCapacityTokens": 247922, "KvBytes": 163840, "LinkMbps": 260000.0,
                  "Moves": True, "Backups": True, "Stride": 4, "most": 12, "PinMs": 4000.0,
                  "HoldMs": 2000.0, "HandleS": 5.0, "Models": [{"Name": "m"}]}
        fleet.publish(harness.config(
            1, [harness.route("texts", "/texts/", "stream", "texts", 6000, 600, 1, Sticky=True, ItlTargetMs=250)],
            [harness.service("texts", 380, Engine=engine)],
            [{"Name": "guild", "ApiKeys": ["k1"], "Priority": 1, "Prepaid": 10000000}],
        ))
        for seat in range(WORKERS):
            start(seat)
        fleet.await_ready()
        time.sleep(CONTACT_S)
        if ask("sound-0", 0, "b0") != 200:
            raise CannotRun("a sound request was not served")
        threading.Thread(target=visit, daemon=True).start()
        time.sleep(2.0)
        for number in range(FATAL):
            if harness.TROUBLE:
                ask(f"fatal-{number}", number % MACHINES, PART)
            time.sleep(PERIOD_S)
        stopped.set()
        time.sleep(0.5)
        late = [at for at in arrivals if len(crashes) >= 5 and at > crashes[4] + CONTACT_S]
        record.write(
            f"{len(crashes)} crashes; {len(late)} requests with the part reached workers later than"
            f" {CONTACT_S} s after the fifth; three are allowed"
        )
        print(f"{len(crashes)} crashes, {len(late)} late requests")
        return len(late) > 3
    finally:
        stopped.set()
        for worker in workers.values():
            worker.close()
        fleet.close()


harness.run(FOLDER, case)
