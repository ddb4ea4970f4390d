"""Runs real processes under random faults and a mixed load. See Meta/bench-faults.sh."""

import argparse
import collections
import random
import re
import signal
import sys
import time

import cluster as cluster_module

RESULT = [
    "requests",
    "wrong",
    "false_not_run",
    "doubled",
    "cut",
    "max_targets_killed_by_one_request",
    "send_ratio",
]
MUST_BE_ZERO = ["wrong", "false_not_run", "doubled", "cut"]
RESTART_SECONDS = 2

# Faults and their weights in the random choice.
DAEMON_FAULTS = {"kill_daemon": 2, "pause_daemon": 2}
TARGET_FAULTS = {
    "kill_target": 2,
    "pause_target": 1,
    "silent": 2,
    "slow": 2,
    "fail_fast": 1,
    "drain": 1,
    "cold": 1,
    "reset": 1,
    "cut": 1,
    "lie": 1,
}
STORE_FAULTS = {"down": 2, "slow": 1, "lose_answers": 2}


def parse():
    parser = argparse.ArgumentParser(prog="Meta/bench-faults.sh", description=__doc__)
    parser.add_argument("--seed", type=int, default=None, help="of faults and load; default: random, printed first")
    parser.add_argument("--seconds", type=int, default=60)
    parser.add_argument("--rate", type=float, default=200, help="calls per second")
    parser.add_argument("--daemons", type=int, default=14)
    parser.add_argument("--targets", type=int, default=20)
    parser.add_argument("--poison-rate", type=float, default=0.3, help="calls per second that crash their target")
    parser.add_argument("--fault-every", type=float, default=1, help="mean seconds between faults")
    return parser.parse_args()


class Faults:
    """Injects random faults and ends each after a random time."""

    def __init__(self, cluster, options):
        self.cluster = cluster
        self.options = options
        self.random = random.Random(options.seed)
        self.active = []  # (end time, affected program, function that ends the fault)
        self.counts = collections.Counter()
        self.killed_daemons = collections.defaultdict(list)  # caller address: Unix times in ms
        self.started = time.monotonic()
        self.next_fault = self.started + 2

    def log(self, text):
        print(f"{time.monotonic() - self.started:5.1f} s fault {text}", flush=True)

    def affected(self):
        return {id(program) for _, program, _ in self.active if program}

    def end_after(self, seconds, program, function):
        self.active.append((time.monotonic() + seconds, program, function))

    def step(self):
        now = time.monotonic()
        for end in [end for end in self.active if end[0] <= now]:
            self.active.remove(end)
            end[2]()
        # Restart targets that crashed, for example by a poison request.
        for target in self.cluster.targets:
            if not target.is_running and id(target) not in self.affected():
                self.counts["crashed"] += 1
                self.end_after(RESTART_SECONDS, target, target.start)
        if now >= self.next_fault:
            self.next_fault = now + self.random.expovariate(1 / self.options.fault_every)
            self.inject_random()

    def inject_random(self):
        weights = {**DAEMON_FAULTS, **TARGET_FAULTS, **STORE_FAULTS}
        fault = self.random.choices(list(weights), list(weights.values()))[0]
        seconds = self.random.uniform(0.5, 4)
        if fault in STORE_FAULTS:
            if any(program is self.cluster.platform for _, program, _ in self.active):
                return
            self.log(f"store {fault} for {seconds:.1f} s")
            self.cluster.platform_fault(fault, delay_ms=1500)
            self.end_after(seconds, self.cluster.platform, lambda: self.cluster.platform_fault("up"))
        else:
            group = self.cluster.daemons if fault in DAEMON_FAULTS else self.cluster.targets
            affected = self.affected()
            healthy = [program for program in group if id(program) not in affected and program.is_running]
            # Keep most of the system up: faults affect about a quarter of the daemons or targets at a time.
            if len(healthy) <= len(group) * 3 / 4:
                return
            self.inject(fault, self.random.choice(healthy), seconds)
        self.counts[fault] += 1

    def inject(self, fault, program, seconds):
        self.log(f"{fault} {program.name} for {seconds:.1f} s")
        if fault.startswith("kill"):
            if program in self.cluster.daemons:
                self.killed_daemons[program.caller].append(time.time() * 1000)
            program.kill()
            self.end_after(seconds, program, program.start)
        elif fault.startswith("pause"):
            program.send(signal.SIGSTOP)
            self.end_after(seconds, program, lambda: program.send(signal.SIGCONT))
        else:
            body = {"fault": fault, "factor": 10, "for_ms": int(seconds * 1000)}
            cluster_module.call("POST", program.address, "/faults", body)
            end = (lambda: self.clear_fault(program)) if fault == "drain" else (lambda: None)
            self.end_after(seconds, program, end)

    @staticmethod
    def clear_fault(target):
        cluster_module.call("POST", target.address, "/faults", {"fault": "none"})

    def end_all(self):
        for _, _, end in self.active:
            end()
        self.active = []


class SendCounter:
    """Counts the requests that reached targets.

    A target's own count restarts at 0 with its process, so the counts are polled and the increases added up.
    """

    def __init__(self, targets):
        self.targets = targets
        self.total = 0
        self.last = {}

    def poll(self):
        for target in self.targets:
            status, body = cluster_module.call("GET", target.address, "/load", timeout=0.2)
            found = re.search(r'"requests":(\d+)', body)
            if status != 200 or not found:
                continue
            key = (target.name, target.process.pid)
            self.total += int(found[1]) - self.last.get(key, 0)
            self.last[key] = int(found[1])


# Returns the highest number of targets that crashed with the same request path.
def targets_killed_by_one_request(targets):
    killed = collections.defaultdict(set)
    for target in targets:
        for path in re.findall(r"event=crash \S+ path=(\S+)", target.output()):
            killed[path].add(target.name)
    return max((len(names) for names in killed.values()), default=0)


def count_cuts_by_killed_daemons(load, faults):
    """Returns the number of cut responses from daemons that were killed within 1 s of the cut.

    A killed daemon cannot complete its responses in flight, so these cuts do not count as errors.
    """
    excused = 0
    for at, address in re.findall(r"event=cut at_ms=(\d+) address=(\S+)", load.output()):
        excused += any(abs(int(at) - kill) < 1000 for kill in faults.killed_daemons[address])
    return excused


def main(options):
    def body(cluster):
        print(f"seed={options.seed}", flush=True)
        downloads = options.targets // 5
        targets = {"orders": options.targets - downloads, "records": downloads}
        cluster.start_all(targets, options.daemons, ["--cold-ms", "2000"])
        load = cluster.start_load(
            rate=options.rate,
            seconds=options.seconds,
            seed=options.seed,
            poison_rate=options.poison_rate,
            poison_paths=3,
            timeout_ms=5000,
        )
        faults = Faults(cluster, options)
        sends = SendCounter(cluster.targets)
        last_poll = 0
        while load.is_running:
            if time.monotonic() - faults.started < options.seconds - 2:
                faults.step()
            elif faults.active:
                faults.end_all()
            if time.monotonic() - last_poll > 0.5:
                sends.poll()
                last_poll = time.monotonic()
            time.sleep(0.02)
        sends.poll()
        values = cluster.last_line(load)
        if "false_not_run" not in values:
            print(load.output()[-2000:])
            return 1
        for line in load.output().splitlines():
            if line.startswith(("event=wrong", "event=cut")):
                print(line)
        print("faults: " + " ".join(f"{name}={count}" for name, count in sorted(faults.counts.items())))
        print(load.output().splitlines()[-1])
        excused = count_cuts_by_killed_daemons(load, faults)
        print(f"cut_by_killed_daemon={excused}")
        values["cut"] = str(int(values["cut"]) - excused)
        values["max_targets_killed_by_one_request"] = targets_killed_by_one_request(cluster.targets)
        values["send_ratio"] = f"{sends.total / max(1, int(values['sends'])):.3f}"
        print(cluster_module.report(values, RESULT), flush=True)
        return 0 if all(values[key] == "0" for key in MUST_BE_ZERO) else 1

    return cluster_module.run(body)


if __name__ == "__main__":
    arguments = parse()
    if arguments.seed is None:
        arguments.seed = random.SystemRandom().randrange(1, 1_000_000)
    sys.exit(main(arguments))
