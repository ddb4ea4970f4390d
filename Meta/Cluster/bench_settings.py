"""Changes settings on real processes under random faults. See Meta/bench-settings.sh."""

import argparse
import json
import os
import random
import signal
import subprocess
import sys
import threading
import time

import cluster as cluster_module

RESULT = ["changes", "lost", "reverted", "in_force_p99_s", "in_force_max_s"]
LIMIT_SECONDS = 9
SETTLE_SECONDS = 12
ACCEPTED = 0
CONFLICT = 3
OUTCOME_UNKNOWN = 4


def parse():
    parser = argparse.ArgumentParser(prog="Meta/bench-settings.sh", description=__doc__)
    parser.add_argument("--seed", type=int, default=None, help="of the faults; default: random, printed first")
    parser.add_argument("--seconds", type=int, default=40)
    parser.add_argument("--daemons", type=int, default=14)
    parser.add_argument("--fault-every", type=float, default=3, help="mean seconds between faults")
    return parser.parse_args()


class Operator(threading.Thread):
    """Changes one setting repeatedly, as a human operator would.

    If the outcome of a change is unknown, sends it again with the same id.
    """

    def __init__(self, cluster, number, seed, stop):
        super().__init__(daemon=True)
        self.cluster = cluster
        self.number = number
        self.random = random.Random(seed * 10 + number)
        self.stop_event = stop
        self.accepted = []  # (time of the response, revision, change id)
        self.outcomes = {}

    def run(self):
        count = 0
        while not self.stop_event.is_set():
            count += 1
            self.change(f"operator-{self.number}-change-{count}", 1000 * self.number + count % 1000)
            self.stop_event.wait(self.random.uniform(0.2, 0.8))

    def change(self, change_id, queue_limit):
        file = os.path.join(self.cluster.folder, f"operator-{self.number}.toml")
        with open(file, "w") as settings:
            settings.write(self.cluster.settings_text(f"queue_limit = {queue_limit}"))
        daemon = self.random.choice(self.cluster.daemons)
        command = [os.path.join(cluster_module.BIN, "comfreysail"), "apply", file, "--output", "json"]
        command += ["--platform", self.cluster.platform_address, "--change-id", change_id, "--timeout", "3"]
        command += ["--daemon", daemon.admin]
        while not self.stop_event.is_set():
            result = subprocess.run(command, capture_output=True, text=True, start_new_session=True)
            self.outcomes[result.returncode] = self.outcomes.get(result.returncode, 0) + 1
            if result.returncode == OUTCOME_UNKNOWN:
                time.sleep(0.2)
                continue
            if result.returncode == ACCEPTED:
                revision = json.loads(result.stdout)["revision"]
                self.accepted.append((time.monotonic(), revision, change_id))
            return


class Watcher(threading.Thread):
    """Polls the settings revision of every daemon."""

    def __init__(self, daemons, stop):
        super().__init__(daemon=True)
        self.daemons = daemons
        self.stop_event = stop
        self.readings = []  # (time, daemon name, process id, revision); of ready daemons only

    def run(self):
        while not self.stop_event.is_set():
            for daemon in self.daemons:
                process_id = daemon.process.pid
                asked = time.monotonic()
                status, body = cluster_module.call("GET", daemon.admin, "/status", timeout=0.15)
                # Ignore a late response: the daemon may have read its revision before a pause.
                if status != 200 or time.monotonic() - asked > 0.1:
                    continue
                values = json.loads(body)
                if values["ready"]:
                    self.readings.append((asked, daemon.name, process_id, values["revision"]))
            time.sleep(0.05)


# Injects random faults and ends each after a random time.
class Faults:
    def __init__(self, cluster, options):
        self.cluster = cluster
        self.options = options
        self.random = random.Random(options.seed)
        self.active = []  # (end time, affected program, function that ends the fault)
        self.started = time.monotonic()
        self.next_fault = self.started + 2

    def step(self):
        now = time.monotonic()
        for end in [end for end in self.active if end[0] <= now]:
            self.active.remove(end)
            end[2]()
        if now >= self.next_fault:
            self.next_fault = now + self.random.expovariate(1 / self.options.fault_every)
            self.inject_random(now)

    def inject_random(self, now):
        fault = self.random.choice(["kill", "kill", "pause", "pause", "down", "slow", "lose_answers", "lose_answers"])
        seconds = self.random.uniform(1, 6)
        affected = [end[1] for end in self.active]
        if fault in ("kill", "pause"):
            healthy = [daemon for daemon in self.cluster.daemons if daemon not in affected and daemon.is_running]
            if len(healthy) <= len(self.cluster.daemons) * 2 / 3:
                return
            daemon = self.random.choice(healthy)
            print(f"{now - self.started:5.1f} s fault {fault} {daemon.name} for {seconds:.1f} s", flush=True)
            if fault == "kill":
                daemon.kill()
                self.active.append((now + seconds, daemon, daemon.start))
            else:
                daemon.send(signal.SIGSTOP)
                self.active.append((now + seconds, daemon, lambda: daemon.send(signal.SIGCONT)))
        elif self.cluster.platform not in affected:
            print(f"{now - self.started:5.1f} s fault store {fault} for {seconds:.1f} s", flush=True)
            self.cluster.platform_fault(fault, delay_ms=1500)
            self.active.append((now + seconds, self.cluster.platform, lambda: self.cluster.platform_fault("up")))

    def end_all(self):
        for _, _, end in self.active:
            end()
        self.active = []


def in_force_seconds(accepted_at, revision, readings):
    """Returns the time from the response to the operator until no ready daemon reports a lower revision any more."""
    late = [at for at, _, _, seen_revision in readings if at > accepted_at and seen_revision < revision]
    return max(late, default=accepted_at) - accepted_at


def count_reverted(readings):
    """Returns the number of readings with a lower revision than an earlier reading of the same daemon process."""
    highest = {}
    reverted = 0
    for _, name, process_id, revision in readings:
        key = (name, process_id)
        reverted += revision < highest.get(key, 0)
        highest[key] = max(revision, highest.get(key, 0))
    return reverted


def count_lost(cluster, accepted):
    """Returns the number of lost changes among the accepted ones.

    A change is lost if its row is missing or has another revision, or if another change has the same revision.
    """
    lost = 0
    revisions = set()
    for _, revision, change_id in accepted:
        row = cluster.platform_row("changes", change_id) or {}
        lost += row.get("revision") != revision or revision in revisions
        revisions.add(revision)
    return lost


def check_last(cluster, accepted, readings):
    """Returns True if the head in the store and all daemons have the last accepted revision or a later one."""
    last_accepted = max(revision for _, revision, _ in accepted)
    head = (cluster.platform_row("settings", "head") or {"revision": 0})["revision"]
    latest = {name: revision for _, name, _, revision in readings}
    behind = [name for name in (daemon.name for daemon in cluster.daemons) if latest.get(name, 0) < last_accepted]
    print(f"last_accepted={last_accepted} head={head} behind={','.join(behind) or 'none'}")
    return head >= last_accepted and not behind


def percentile(values, share):
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(len(ordered) * share))] if ordered else 0


def main(options):
    def body(cluster):
        print(f"seed={options.seed}", flush=True)
        cluster.start_all({"orders": 8}, options.daemons)
        stop_changes, stop_watching = threading.Event(), threading.Event()
        watcher = Watcher(cluster.daemons, stop_watching)
        watcher.start()
        operators = [Operator(cluster, number, options.seed, stop_changes) for number in (1, 2)]
        for operator in operators:
            operator.start()
        faults = Faults(cluster, options)
        while time.monotonic() - faults.started < options.seconds:
            faults.step()
            time.sleep(0.02)
        faults.end_all()
        time.sleep(2)
        stop_changes.set()
        for operator in operators:
            operator.join()
        time.sleep(SETTLE_SECONDS)
        stop_watching.set()
        watcher.join()

        accepted = [change for operator in operators for change in operator.accepted]
        outcomes = [operator.outcomes for operator in operators]
        print(f"tool exit codes by operator: {outcomes}; readings: {len(watcher.readings)}")
        if not accepted:
            print("error: no change was accepted", file=sys.stderr)
            return 1
        times = [in_force_seconds(at, revision, watcher.readings) for at, revision, _ in accepted]
        values = {
            "changes": len(accepted),
            "lost": count_lost(cluster, accepted),
            "reverted": count_reverted(watcher.readings),
            "in_force_p99_s": f"{percentile(times, 0.99):.2f}",
            "in_force_max_s": f"{max(times):.2f}",
        }
        is_complete = check_last(cluster, accepted, watcher.readings)
        print(cluster_module.report(values, RESULT), flush=True)
        is_good = is_complete and values["lost"] == 0 and values["reverted"] == 0 and max(times) <= LIMIT_SECONDS
        return 0 if is_good else 1

    return cluster_module.run(body)


if __name__ == "__main__":
    arguments = parse()
    if arguments.seed is None:
        arguments.seed = random.SystemRandom().randrange(1, 1_000_000)
    sys.exit(main(arguments))
