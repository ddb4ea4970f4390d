"""Measures the latency that a daemon adds to calls of the fake targets. See Meta/bench-added.sh."""

import argparse
import statistics
import sys
import threading
import time

import cluster as cluster_module

RESULT = ["direct_p99_ms", "proxied_p99_ms", "added_p99_ms", "requests_per_core_second"]
GOAL_MS = 1.8


def parse():
    parser = argparse.ArgumentParser(prog="Meta/bench-added.sh", description=__doc__)
    parser.add_argument("--rate", type=float, default=1000, help="calls per second")
    parser.add_argument("--seconds", type=int, default=5, help="duration of each measurement")
    parser.add_argument("--rounds", type=int, default=3)
    parser.add_argument("--daemons", type=int, default=1, help="above 1, most calls are forwarded to their home")
    parser.add_argument("--lookup-ms", type=float, default=1, help="mean service time of the targets")
    return parser.parse_args()


def change_settings(cluster, stop):
    """Changes a setting every 0.5 s until `stop` is set. Counts the changes in stop.changes."""
    while not stop.is_set():
        stop.changes += 1
        cluster.apply(cluster.settings_text(f"queue_limit = {1000 + stop.changes}"), wait=False)
        stop.wait(0.5)


def measure(cluster, options, name, **load_options):
    load = cluster.start_load(
        name, rate=options.rate, seconds=options.seconds, order_share=0, download_share=0, **load_options
    )
    load.process.wait()
    values = cluster.last_line(load)
    if "p99_ms" not in values or values["answered"] != values["requests"]:
        print(f"{name}: {load.output().splitlines()[-1]}")
    return float(values["p99_ms"]), int(values["answered"])


def main(options):
    def body(cluster):
        cluster.slots = 64  # Enough to avoid queuing at the targets, so that only the path to them differs.
        cluster.start_all({"orders": 4}, options.daemons, ["--lookup-ms", str(options.lookup_ms)])
        results = {"direct": [], "quiet": [], "changes": []}
        answered, processor_seconds, changes = 0, 0.0, 0
        for number in range(options.rounds):
            seed = 100 + number
            direct = measure(cluster, options, f"direct-{number}", seed=seed, target_direct=True)
            cpu_before = sum(daemon.cpu_seconds() for daemon in cluster.daemons)
            quiet = measure(cluster, options, f"quiet-{number}", seed=seed)
            processor_seconds += sum(daemon.cpu_seconds() for daemon in cluster.daemons) - cpu_before
            answered += quiet[1]
            stop = threading.Event()
            stop.changes = 0
            changer = threading.Thread(target=change_settings, args=(cluster, stop))
            changer.start()
            busy = measure(cluster, options, f"changes-{number}", seed=seed)
            stop.set()
            changer.join()
            changes += stop.changes
            for name, result in zip(results, (direct, quiet, busy)):
                results[name].append(result[0])
            print(f"round {number + 1}: p99_ms direct={direct[0]} quiet={quiet[0]} changes={busy[0]}", flush=True)
        direct, quiet, busy = (statistics.median(values) for values in results.values())
        proxied = max(quiet, busy)
        print(f"rate={options.rate:g} daemons={options.daemons} rounds={options.rounds} settings_changes={changes}")
        print(f"added_quiet_p99_ms={quiet - direct:.2f} added_changes_p99_ms={busy - direct:.2f} goal_ms={GOAL_MS}")
        values = {
            "direct_p99_ms": f"{direct:.2f}",
            "proxied_p99_ms": f"{proxied:.2f}",
            "added_p99_ms": f"{proxied - direct:.2f}",
            "requests_per_core_second": f"{answered / max(processor_seconds, 0.01):.0f}",
        }
        print(cluster_module.report(values, RESULT), flush=True)
        return 0

    started = time.monotonic()
    code = cluster_module.run(body)
    print(f"took {time.monotonic() - started:.0f} s", file=sys.stderr)
    return code


if __name__ == "__main__":
    sys.exit(main(parse()))
