"""Two core machines are replaced as planned where one zone may be lost."""

import os
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from fleet3 import BOUNDS, Backend, Fleet, Operator, Record, send_request  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# What may be lost at once besides one machine.
LOST_ZONES = int(os.environ.get("ZONES", "1"))
# Time between the steps: longer than the bench counts a removed machine as lost.
STEP_SECONDS = 13.0
EXIT_HELD, EXIT_BROKEN, EXIT_NOT_RUN = 0, 1, 2


def play(record, fleet):
    """Play the case; return its exit status."""
    fleet.tolerance = {"machines": 1, "zones": LOST_ZONES, "regions": 0}
    operator = Operator(fleet, record)
    core = [
        fleet.add(f"core-{zone}-1", True, zone)
        for zone in ("westlands", "upperhill", "karen")
    ]
    edge = fleet.add("edge-westlands-1", False, "westlands")
    fleet.seeds = [f"{machine.ip}:8229" for machine in core]
    for machine in (*core, edge):
        machine.start()
    operator.machines = list(core)
    backends = [
        Backend(fleet, operator, record, f"{fleet.subnet}.{100 + n}", zone, str(n))
        for n, zone in enumerate(("westlands", "karen"))
    ]
    if not operator.replace(10, 20.0):
        return EXIT_NOT_RUN
    time.sleep(3.0)
    served = [send_request(edge, record, n) for n in range(5)]
    if served.count(200) < 4:
        record.write("not served before the disruption")
        return EXIT_NOT_RUN

    # Both successors come first, and have twice `catch_up_s`.
    kept, old_one, old_two = core
    successors = [
        fleet.add(f"core-{old.zone}-2", True, old.zone, bootstrap=False)
        for old in (old_one, old_two)
    ]
    for successor in successors:
        successor.start()
    time.sleep(2 * BOUNDS["catch_up_s"])
    operator.machines = [kept, *successors]
    for old in (old_one, old_two):
        if TROUBLE:
            old.stop(BOUNDS["grace_period_s"])
        time.sleep(STEP_SECONDS)
    if not operator.replace(20, 4.0):
        record.write("configuration 20 isn't acknowledged")
        return EXIT_NOT_RUN
    if TROUBLE:
        kept.kill()
        kept.wipe()
        time.sleep(1.0)
        fleet.seeds = [f"{machine.ip}:8229" for machine in operator.machines]
        kept.start()
    record.write(f"all are back; waiting recovery_s, {BOUNDS['recovery_s']} s")
    time.sleep(BOUNDS["recovery_s"] + BOUNDS["catch_up_s"])

    # The operator reads for `contact_ms` and longer; clients send.
    version = operator.read(10.0)
    statuses = [send_request(edge, record, 100 + n) for n in range(5)]
    record.write(f"acknowledged {operator.acknowledged}, read back {version}")
    record.write(f"served after it: {statuses.count(200)} of {len(statuses)}")
    for backend in backends:
        backend.close()
    is_held = version is not None and version >= operator.acknowledged
    return EXIT_HELD if is_held else EXIT_BROKEN


def main():
    """Run the case and end all its processes."""
    record = Record(os.environ.get("RECORD", HERE / "record.txt"))
    fleet = Fleet(record)
    try:
        status = play(record, fleet)
    except Exception as error:
        record.write(f"could not run: {error!r}")
        status = EXIT_NOT_RUN
    finally:
        fleet.close()
    record.write(f"exit {status}")
    return status


if __name__ == "__main__":
    status = main()
    sys.stdout.flush()
    os._exit(status)
