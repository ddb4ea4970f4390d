"""Runs the whole system under a mixed load. See Meta/run.sh."""

import argparse
import sys
import time

import cluster as cluster_module

RESULT = ["requests", "answered", "refused", "wrong", "lost", "doubled", "p50_ms", "p99_ms"]


def parse():
    parser = argparse.ArgumentParser(prog="Meta/run.sh", description=__doc__)
    parser.add_argument("--seconds", type=int, default=10)
    parser.add_argument("--keep", action="store_true", help="keep the system running until interrupted")
    parser.add_argument("--kill", choices=["daemon", "target", "store"], help="kill one or stop the store midway")
    parser.add_argument("--rate", type=float, default=300, help="calls per second")
    parser.add_argument("--daemons", type=int, default=4)
    parser.add_argument("--seed", type=int, default=1)
    return parser.parse_args()


def kill_one(cluster, what):
    if what == "daemon":
        print(f"killing {cluster.daemons[0].name}")
        cluster.daemons[0].kill()
    elif what == "target":
        print(f"killing {cluster.targets[0].name}")
        cluster.targets[0].kill()
    else:
        print("making the store unavailable")
        cluster.platform_fault("down")


def keep_running(cluster):
    daemon = cluster.daemons[0]
    common = f"-H 'Host: orders.example' -H 'Comfreysail-Department: {cluster_module.DEPARTMENTS[0]}'"
    print("the system is running; press Ctrl-C to stop it")
    print(f"  curl -i {common} http://{daemon.caller}/status/1")
    print(f"  curl -i {common} -H 'Idempotency-Key: k1' -d paper http://{daemon.caller}/orders/1")
    print(f"  curl http://{daemon.admin}/status")
    print(f"  Build/bin/comfreysail show --toml --platform {cluster.platform_address}")
    for other in cluster.daemons:
        print(f"  {other.name} zone={other.zone} caller={other.caller} admin={other.admin}")
    for target in cluster.targets:
        print(f"  {target.name} zone={target.zone} address={target.address}")
    print(f"  logs in {cluster.folder}", flush=True)
    while True:
        time.sleep(1)


def main(options):
    def body(cluster):
        cluster.start_all({"orders": 8, "records": 4}, options.daemons)
        load = cluster.start_load(rate=options.rate, seconds=options.seconds, seed=options.seed)
        started = time.monotonic()
        last_printed = ""
        has_killed = options.kill is None
        while load.is_running:
            if not has_killed and time.monotonic() - started > options.seconds / 2:
                kill_one(cluster, options.kill)
                has_killed = True
            time.sleep(0.2)
            lines = load.output().splitlines()
            if lines and lines[-1] != last_printed and load.is_running:
                last_printed = lines[-1]
                print(f"{time.monotonic() - started:4.0f} s {last_printed}", flush=True)
        values = cluster.last_line(load)
        if load.process.returncode != 0 or "lost" not in values:
            print(load.output()[-2000:])
            return 1
        print(load.output().splitlines()[-1])
        if options.keep:
            keep_running(cluster)
        print(cluster_module.report(values, RESULT), flush=True)
        return 0 if all(values[key] == "0" for key in ("wrong", "lost", "doubled")) else 1

    return cluster_module.run(body)


if __name__ == "__main__":
    sys.exit(main(parse()))
