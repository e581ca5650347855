"""A worker starts again behind a cut, then leaves by DELETE; a heartbeat that the cut held up comes after it."""
import asyncio
import json
import os
import random
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))
import stand  # noqa: E402

CUT = 5.0
DOWN = 1.0
HELD_UP = 1.0      # from the end of the cut, or the leave, until the held-up heartbeat arrives
DRAIN = 2.0        # DrainMs
SERVES_ON = 8.0    # how long the worker serves after its leave was acknowledged
RATE = 160.0       # requests a second
WORK = 0.1         # how long a worker works on each
WORKERS = 5        # one of them is cut off: a share of 0.2


class CountingWorker(stand.Worker):
    """Notes when the clients sent the requests that reach it."""

    async def run(self, first, headers, body, writer):
        self.reached.append((time.monotonic(), headers.get("x-attempt-id")))
        await asyncio.sleep(WORK)
        self.reply(writer, "200 OK", headers, b"ok", signed=True)
        return True


def document():
    return {
        "Version": 1,
        "Routes": [{"Name": "r1", "Host": "h.example", "PathPrefix": "/i/",
                    "RouteKind": "non_idempotent", "TimeoutMs": 600, "TargetLatencyMs": 100,
                    "Priority": 0, "Service": "svc", "MaxAttempts": 1, "Public": True,
                    "Sticky": False, "Resumable": False}],
        "Services": [{"Name": "svc", "HealthPath": "/health", "MaxConnections": 120,
                      "Protocol": "h1", "Tls": False}],
        "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000,
                   "IdleTimeoutMs": 15000},
    }


async def traffic(fleet, sent, answers):
    number = 0
    while True:
        number += 1
        ident = f"q{number}"
        sent[ident] = time.monotonic()

        async def one(ident=ident):
            machine = random.choice(fleet.machines)
            reply = await stand.call(machine.ip, fleet.FRONT, "POST", f"/i/{ident}", b"{}", {
                "Host": "h.example", "X-Attempt-Id": ident, "X-Deadline-Ms": "600"})
            status = reply[0] if reply else "none"
            answers[status] = answers.get(status, 0) + 1

        asyncio.ensure_future(one())
        await asyncio.sleep(1 / RATE)


async def case(record):
    fleet = stand.Fleet(record)
    try:
        await fleet.start()
        workers = [CountingWorker(fleet, f"w{n}", f"{fleet.subnet}.{100 + n}", "svc", slots=6)
                   for n in range(1, WORKERS + 1)]
        await fleet.publish(document())
        for worker in workers:
            worker.reached = []
            await worker.start()
        await fleet.wait_ready()
        await asyncio.sleep(4)
        sent, answers = {}, {}
        load = asyncio.ensure_future(traffic(fleet, sent, answers))
        await asyncio.sleep(1)
        leaver, hosts = workers[0], fleet.machines
        if stand.TROUBLE:
            record(f"w1 is cut off from control for {CUT} s, not from the routers")
            end = time.monotonic() + CUT
            # No heartbeat of its own gets through any more: it leaves as soon as the cut has healed.
            leaver.cut_until = end + 1
            await leaver.crash()
            await asyncio.sleep(DOWN)
            await leaver.start()
            held = leaver.beat_body(leaver.sequence, "ready")
            await asyncio.sleep(end - time.monotonic())
            record("the cut has healed")
        else:
            await asyncio.sleep(CUT)
            held = leaver.beat_body(leaver.sequence, "ready")
        leaver.beating.cancel()
        reply = await stand.call(hosts[1].ip, fleet.CONTROL, "DELETE", "/instances/w1",
                                 json.dumps({"born": leaver.born}).encode())
        if not reply or reply[0] != 200:
            raise stand.CannotRun("the leave was not acknowledged")
        left = time.monotonic()
        record("w1 leaves: machine 2 acknowledged its DELETE; it sends no heartbeat any more")
        await asyncio.sleep(HELD_UP)
        reply = await stand.call(hosts[0].ip, fleet.CONTROL, "PUT", "/instances/w1", held)
        record(f"a heartbeat of w1 from before its leave, held up on its way, arrives at machine 1: "
               f"{reply and reply[0]}")
        await asyncio.sleep(SERVES_ON - HELD_UP)
        load.cancel()
        late = [(at - left, ident) for at, ident in leaver.reached if sent[ident] > left + DRAIN]
        for at, ident in late[:20]:
            record(f"request {ident}, sent {sent[ident] - left:.3f} s after the acknowledgement, "
                   f"reaches w1 at {at:.3f} s")
        record(f"{len(late)} requests reached w1 later than {DRAIN} s after the acknowledgement; "
               f"answers: {answers}")
        return bool(late)
    finally:
        await fleet.stop()


stand.run_case(__file__, case)
