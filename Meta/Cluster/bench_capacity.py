"""Computes the resources needed at the two-year size. See Meta/bench-capacity.sh and docs/CAPACITY.md."""

import argparse
import math
import os
import subprocess
import sys
import time

import cluster as cluster_module

# The two-year size and the resource limits at that size (docs/design.md, 1.5).
CALLS_PER_SECOND = 140_000
TARGETS = 2_000
SERVICES = 150
ZONES = 11
CHANGES_PER_DAY = 5_900
SECONDS_PER_DAY = 86_400
LIMIT_CORE_PERCENT = 1.9
LIMIT_MEGABYTES = 32
LIMIT_KILOBYTES_PER_SECOND = 29
STORE_READS_PER_SECOND = 2_000
STORE_WRITES_PER_SECOND = 300

# Assumptions where the design states no figure; docs/CAPACITY.md gives the reasons.
UTILIZATION = 0.5
ZONES_PER_SERVICE = 3
MOVES_AT_ONCE = 12
ORDERS_SHARE = 0.05
DEPARTMENT_SERIES = 390
SCRAPE_SECONDS = 60
HEAD_READS_PER_SECOND = 1
MOVE_AND_VM_READS_PER_SECOND = 0.4
CLAIMS_PER_TRANSACTION = 10


def parse():
    parser = argparse.ArgumentParser(prog="Meta/bench-capacity.sh", description=__doc__)
    parser.add_argument("--cores", type=int, default=4, help="cores of an entry VM")
    parser.add_argument("--rates", type=float, nargs="+", default=[500, 1000, 2000])
    parser.add_argument("--seconds", type=int, default=4, help="duration of each measurement of the request path")
    parser.add_argument("--request-microseconds", type=float, help="of one call; skips the measurement")
    return parser.parse_args()


def measure_roles():
    """Runs BenchmarkCapacity. Returns its linear cost models by (role, cost): (cost per unit, fixed cost)."""
    result = subprocess.run([os.path.join(cluster_module.BIN, "BenchmarkCapacity")], capture_output=True, text=True)
    print(result.stdout, end="", flush=True)
    costs = {}
    for line in result.stdout.splitlines():
        pairs = dict(pair.split("=", 1) for pair in line.split())
        per_unit = [value for key, value in pairs.items() if key.startswith("slope_per_")]
        if per_unit:
            costs[pairs["role"], pairs["cost"]] = (float(per_unit[0]), float(pairs["fixed"]))
    return costs


def measure_request_path(options):
    """Returns the processor time in microseconds that one call costs on all daemons that it passes through.

    This is the slope of a linear fit of processor time over call rates.
    """

    def body(cluster):
        cluster.slots = 64
        cluster.start_all({"orders": 4}, 4, ["--lookup-ms", "1"])
        print_idle(cluster)
        points = []
        for number, rate in enumerate(options.rates):
            cpu_used = sum(daemon.cpu_seconds() for daemon in cluster.daemons)
            load = cluster.start_load(
                f"rate-{number}", rate=rate, seconds=options.seconds, seed=7, order_share=0, download_share=0
            )
            load.process.wait()
            cpu_used = sum(daemon.cpu_seconds() for daemon in cluster.daemons) - cpu_used
            answered = int(cluster.last_line(load)["answered"])
            points.append((answered / options.seconds, cpu_used / options.seconds * 1e6))
            print(f"role=request_path daemons=4 calls_per_second={points[-1][0]:.0f} microseconds={points[-1][1]:.0f}")
        fits.append(linear_fit(points))
        return 0

    fits = []
    if cluster_module.run(body) != 0:
        raise RuntimeError("the request path could not be measured")
    per_call, fixed = fits[0]
    print(f"role=request_path slope_per_call={per_call:.1f} fixed={fixed:.0f}")
    return per_call


def print_idle(cluster):
    """Prints the processor time that daemons use without calls, for control traffic and timers.

    Size.rows() does not include the timers.
    """
    seconds = 5
    cpu_used = sum(daemon.cpu_seconds() for daemon in cluster.daemons)
    time.sleep(seconds)
    cpu_used = sum(daemon.cpu_seconds() for daemon in cluster.daemons) - cpu_used
    percent = cpu_used / seconds / len(cluster.daemons) * 100
    print(f"idle daemons={len(cluster.daemons)} groups=4 core_percent_per_daemon={percent:.2f}", flush=True)


# Returns (slope, intercept) of a least-squares fit.
def linear_fit(points):
    x_mean = sum(x for x, _ in points) / len(points)
    y_mean = sum(y for _, y in points) / len(points)
    per_unit = sum((x - x_mean) * (y - y_mean) for x, y in points) / sum((x - x_mean) ** 2 for x, _ in points)
    return per_unit, y_mean - per_unit * x_mean


class Size:
    """The load on one daemon at the two-year size, and its cost."""

    def __init__(self, costs, options, request_microseconds):
        self.costs = costs
        self.vms = math.ceil(CALLS_PER_SECOND * request_microseconds / 1e6 / (options.cores * UTILIZATION))
        self.groups = SERVICES * ZONES_PER_SERVICE
        self.groups_per_home = self.groups / self.vms
        self.changes_per_second = CHANGES_PER_DAY / SECONDS_PER_DAY

    def cost(self, role, cost, size):
        per_unit, fixed = self.costs[role, cost]
        return max(0.0, fixed + per_unit * size)

    def rows(self):
        """Yields the control cost of one daemon for each role.

        Fields: role, processor time in microseconds per second, memory in bytes, network traffic in bytes per second.
        """
        reports = min(
            self.cost("load_knowledge", "report_bytes_per_second_unlimited", self.groups_per_home),
            self.cost("load_knowledge", "report_bytes_per_second_budgeted", self.groups_per_home),
        )
        report_time = self.cost("load_knowledge", "report_microseconds_per_second_unlimited", self.groups_per_home)
        group_bytes = self.groups * self.cost("load_knowledge", "group_bytes", TARGETS / self.groups)
        yield "load_knowledge", report_time, group_bytes, reports

        tree = self.cost("settings", "tree_bytes", SERVICES)
        adopt = self.cost("settings", "adopt_microseconds", SERVICES) * self.changes_per_second
        # The previous snapshot is freed when its last in-flight request has ended, so two can exist at a time.
        yield "settings", adopt, 2 * (tree + self.cost("settings", "snapshot_bytes", SERVICES)), (
            tree * self.changes_per_second
        )

        yield (
            "membership",
            self.cost("membership", "microseconds_per_second", self.vms),
            self.cost("membership", "table_bytes", self.vms),
            self.cost("membership", "bytes_per_second", self.vms),
        )

        judging = self.cost("moves_and_evidence", "judge_microseconds", MOVES_AT_ONCE) * MOVES_AT_ONCE
        evidence = self.cost("moves_and_evidence", "delta_bytes_for_one_second", MOVES_AT_ONCE)
        yield "moves_and_evidence", judging, self.cost("moves_and_evidence", "evidence_bytes", MOVES_AT_ONCE), evidence

        render = self.cost("telemetry", "render_microseconds", DEPARTMENT_SERIES) / SCRAPE_SECONDS
        text = self.cost("telemetry", "text_bytes", DEPARTMENT_SERIES) / SCRAPE_SECONDS
        yield "telemetry", render, self.cost("telemetry", "registry_bytes", DEPARTMENT_SERIES), text


def print_size(size):
    print(f"entry_vms={size.vms} calls_per_vm_second={CALLS_PER_SECOND / size.vms:.0f} groups_per_home={size.groups_per_home:.1f}")
    processor = memory = traffic = 0.0
    for role, microseconds, stored, sent in size.rows():
        print(f"control role={role} core_percent={microseconds / 1e4:.3f} mb={stored / 1e6:.2f} kb_per_s={sent / 1e3:.2f}")
        processor += microseconds / 1e4
        memory += stored / 1e6
        traffic += sent / 1e3
    reads = size.vms * (HEAD_READS_PER_SECOND + MOVE_AND_VM_READS_PER_SECOND)
    orders = CALLS_PER_SECOND * ORDERS_SHARE
    print(f"store reads_per_s={reads:.0f} of={STORE_READS_PER_SECOND}")
    for batch in (1, CLAIMS_PER_TRANSACTION):
        transactions = 2 * orders / batch
        print(f"store claims_per_s={orders:.0f} claims_per_transaction={batch} writes_per_s={transactions:.0f}"
              f" of={STORE_WRITES_PER_SECOND}")
    for name, value, limit in (
        ("core_percent", processor, LIMIT_CORE_PERCENT),
        ("mb", memory, LIMIT_MEGABYTES),
        ("kb_per_s", traffic, LIMIT_KILOBYTES_PER_SECOND),
    ):
        print(f"limit {name}={limit} used={value:.2f} {'within' if value <= limit else 'EXCEEDED'}")
    print(f"control_core_percent={processor:.2f} control_mb={memory:.1f} control_kb_per_s={traffic:.1f}")


def main(options):
    costs = measure_roles()
    request_microseconds = options.request_microseconds or measure_request_path(options)
    print_size(Size(costs, options, request_microseconds))
    return 0


if __name__ == "__main__":
    sys.exit(main(parse()))
