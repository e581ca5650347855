"""Two machines of the core are replaced, one after the other. The new ones start first."""

import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib-2"))
from fleet import CannotRun, Fleet, Operator, Record

HERE = os.path.dirname(os.path.abspath(__file__))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
CATCH_UP_S = 4
RECOVERY_S = 12
# Time from the removal of one machine to that of the next.
PAUSE_S = 1.0


def config(version):
    return {
        "Version": version,
        "Routes": [{
            "Name": "r-1", "Host": "desk.example", "PathPrefix": f"/look{version}/",
            "RouteKind": "idempotent", "TimeoutMs": 600, "TargetLatencyMs": 100, "Priority": 0,
            "Service": "desk", "MaxAttempts": 2, "Public": False,
        }],
        "Services": [{
            "Name": "desk", "HealthPath": "/health", "MaxConnections": 120, "Protocol": "h1",
            "Tls": False,
        }],
        "Limits": {
            "MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000,
            "IdleTimeoutMs": 15000,
        },
        "Tenants": [{"Name": "t-1", "ApiKeys": ["key-1"], "Priority": 1}],
    }


def run(record):
    with Fleet(record, ["zone-a", "zone-b", "zone-c"]) as fleet:
        a, b, c = (fleet.add(f"edge-{zone}-1", f"zone-{zone}", True) for zone in "abc")
        fleet.seeds = [a, b, c]
        for machine in (a, b, c):
            machine.start("control", bootstrap=True)
            machine.start("router", bootstrap=True)
        operator = Operator(record)
        if not operator.put(config(1), [a, b, c], 20):
            raise CannotRun("the first configuration was not acknowledged")
        time.sleep(5)

        record("edge-b-1 and edge-c-1 are to be replaced: the new machines start first")
        new = [fleet.add(f"edge-{zone}-2", f"zone-{zone}", True) for zone in "bc"]
        for machine in new:
            machine.start("control")
            machine.start("router")
        time.sleep(CATCH_UP_S + 4)
        if not operator.put(config(2), [*new, a], 4):
            raise CannotRun("the second configuration was not acknowledged")
        record(f"the successors started {CATCH_UP_S + 4} s ago and have acknowledged version 2")

        if TROUBLE:
            for machine in (c, b):
                for program in ("control", "router"):
                    machine.kill(program)
                record(f"{machine.name} is removed for good")
                time.sleep(PAUSE_S)
        time.sleep(RECOVERY_S)

        machines = [a, *new]
        version = operator.get(machines, 12)
        acknowledged = operator.put(config(3), machines, 12)
        read = operator.get(machines, 6) if acknowledged else None
        record(f"read back: {version}; version 3 acknowledged: {bool(acknowledged)}, read: {read}")
        if version == 2 and acknowledged and read == 3:
            record("the rule held")
            return 0
        record("BROKEN: CONFIG: what was acknowledged can't be read back, or no change is acknowledged")
        return 1


if __name__ == "__main__":
    record = Record(os.path.join(HERE, "record.txt"))
    try:
        sys.exit(run(record))
    except CannotRun as error:
        record(f"could not run: {error}")
        sys.exit(2)
    except Exception as error:  # a fault of the script shows nothing of the rule
        record(f"could not run: {error!r}")
        sys.exit(2)
