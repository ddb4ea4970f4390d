"""Runs real daemons under random faults and checks the promises from what callers and targets see.

The first line names the seed, which determines the faults and their times. A seed that fails keeps its logs; the last
lines say what was broken and print the command that plays it again."""

import argparse
import asyncio
import os
import random
import re
import signal
import sys
import time

import cluster
from soak_peers import DEADLINE, DEPARTMENTS, SPARE_KEY, WINDOW, Link, SoakCaller, SoakTarget, UsageService

# The bounds of the users' site files, in seconds.
CONFIG_APPLY = 3.0
DRAIN = 3.0
GRACE = 6.0
BALANCER_LAG = 0.6
CONTACT = 4.0
RECOVER = 15.0
CALM = 2.0
# A fault excuses what was sent this long before it, since a request takes some time.
EXCUSED_BEFORE = 0.5
# What control may take on a VM (32 MB), and the quarter of the daemons' memory_mb that bodies may take.
MEMORY_MB = 64
MAX_RESIDENT_KB = (32 + MEMORY_MB // 4) * 1024
# A tenth of what a VM allows (4,100).
MAX_DESCRIPTORS = 400
# Growth from before the load to after it, when clients and targets have closed their connections. Memory: half of what
# bodies may take, since the clients send 3 MB at once (16 uploads of 200 kB) and rarely have more than a few downloads (1 MiB
# buffered each) at one daemon, and about a dozen copies of the settings
# (text of 0.3 MB for a thousand routes, decoded, in force, before, compressed). Descriptors: two connections of each kind
# (rows, usage) to and from each of three other daemons, and two to the store and to the usage service.
GROWTH_KB = MEMORY_MB // 4 // 2 * 1024
GROWTH_KB_PER_THOUSAND_ROUTES = 4 * 1024
GROWTH_DESCRIPTORS = 16

ROLLBACK_SLACK = 0.25
# A target that has asked for a pause gets at most this many requests from that daemon between this time and the pause's end.
PAUSE_REQUESTS = 2
PAUSE_SLACK = 0.5
# Daemons know a target's limit after this time; in each second they send half as much again and a few requests at most.
LIMIT_KNOWN = 2.0
LIMIT_RATIO = 1.5
LIMIT_FEW = 4
MAX_CLOCK_STEP = 2400

ROUTES = {"read": "safe", "pay": "unsafe", "upload": "upload", "trial": "safe", "spare": "safe", "download": "safe"}
# Each is withdrawn while a daemon is paused.
ROUTES |= {f"paused{index}": "safe" for index in range(3)}
BULK_ROUTES = 1000
# Each change of the settings adds a route with this prefix and the version. The requests on it show which settings a
# daemon has.
ADDED = "added"
NOT_RUN = (408, 421, 429, 503)
DAEMON = os.path.join(cluster.BIN, "comfreysaildWithFaults")
# Number of events of a seed, and of kinds of damage that one faulty target mixes.
EVENTS = (8, 20)
FAULTS_AT_ONCE = 3


class Record:
    """One request of a caller and its end."""

    def __init__(self, request_id, kind, daemon):
        self.request_id = request_id
        self.kind = kind
        self.sent_at = time.monotonic()
        self.daemon = daemon.name
        self.incarnation = daemon.incarnation
        self.ended_at = None
        self.result = None
        self.is_wrong = False
        self.is_first = False  # On its connection.
        self.runs = []

    def finish(self, result, daemon, is_wrong=False):
        self.ended_at = time.monotonic()
        self.result = result
        self.is_wrong = is_wrong
        # A daemon that was killed may cut requests; one that was stopped as planned may not.
        self.was_killed = daemon.kill_times and daemon.kill_times[-1] > self.sent_at - 0.1

    def line(self):
        runs = " ".join(f"{target.name}@{moment:.3f}" for moment, target in self.runs)
        ended = f"{self.ended_at:.3f}" if self.ended_at else ""
        return f"{self.request_id} {self.kind} {self.daemon}.{self.incarnation} {self.sent_at:.3f} {ended} {self.result} {runs}"


class Journal:
    """All requests and runs of one seed."""

    def __init__(self):
        self.records = {}
        self.unknown_runs = []
        self.truncated = set()  # Requests whose responses a target cut off.
        self.wrong_departments = []
        self.late_runs = []
        self.said_leaving = {}  # Time at which a daemon passed on that a target leaves, by (daemon, incarnation, target).
        self.used_leaving = []  # Requests that came later than the bound all the same: (request id, target, lateness).
        self.pauses = []  # (daemon, incarnation, target, start, end) of each pause that a target asked for.
        self.arrivals = []  # (daemon, incarnation, target, time) of each request.
        # (daemon, incarnation, target, start, end): the daemon knows that the target was removed, and is offered older rows.
        self.removals = []
        self.limits = []  # (target, requests a second, start, end) of each limit that a target announced.

    def note_arrival(self, request_id, target):
        record = self.records.get(request_id)
        if record is None:
            return
        daemon = (record.daemon, record.incarnation, target.name)
        self.arrivals.append((*daemon, time.monotonic()))
        said_at = self.said_leaving.get(daemon)
        if said_at is not None and record.sent_at > said_at + DRAIN:
            self.used_leaving.append((request_id, target.name, record.sent_at - said_at))

    def note_leaving(self, request_id, target):
        """The response to this request has reached its caller, and said that the target leaves."""
        record = self.records[request_id]
        self.said_leaving.setdefault((record.daemon, record.incarnation, target.name), time.monotonic())

    def note_pause(self, request_id, target, seconds):
        record = self.records.get(request_id)
        if record is not None:
            now = time.monotonic()
            self.pauses.append((record.daemon, record.incarnation, target.name, now, now + seconds))

    def note_request(self, request_id, kind, daemon):
        self.records[request_id] = Record(request_id, kind, daemon)
        return self.records[request_id]

    def note_run(self, request_id, target, path):
        now = time.monotonic()
        record = self.records.get(request_id)
        if record is None or not path.endswith("/" + request_id):
            self.unknown_runs.append((request_id, target.name, path))
            return
        record.runs.append((now, target))
        # The request itself was sent later than the bound, so it cannot have been on its way.
        if target.left_at is not None and record.sent_at > target.left_at + DRAIN:
            self.late_runs.append((request_id, target.name, now - target.left_at))


class SoakDaemon(cluster.Program):
    def __init__(self, name, ports, seeds, link, peer_links, usage_port, folder):
        self.caller_port, self.admin_port, self.control_port = ports
        self.link = link
        self.peer_links = peer_links  # By name of the other daemon.
        self.is_ready = False
        self.incarnation = 0
        self.kill_times = []
        self.crashes = []  # Exit codes.
        self.misses = 0
        settings = os.path.join(folder, f"{name}.toml")
        lines = [f'vm_name = "{name}"', 'availability_zone = "pos-hall"', 'placement = "ask_targets"']
        lines += [f'grace_seconds = "{GRACE}"', f'memory_mb = "{MEMORY_MB}"', f"balancer_lag_ms = {int(BALANCER_LAG * 1000)}"]
        for section, port in (("caller", ports[0]), ("admin", ports[1]), ("platform", link.port), ("control", ports[2])):
            lines += [f"[{section}]", 'address = "127.0.0.1"', f"port = {port}"]
        lines += ["seeds = [" + ", ".join(f'"127.0.0.1:{port}"' for port in seeds) + "]"]
        # Windows are shorter than on the platform, so that there are some in the time of a seed.
        lines += ["[duties]", f'endpoint = "127.0.0.1:{usage_port}"', 'kinds = ["usage"]', f'report_window_seconds = "{WINDOW}"']
        with open(settings, "w") as file:
            file.write("\n".join(lines) + "\n")
        self.clock = os.path.join(folder, f"{name}.clock")
        self.shift_clock(0)
        ports = ",".join(f"{link.destination_port}={link.port}" for link in peer_links.values())
        environment = {"COMFREYSAIL_CLOCK_SHIFT": self.clock, "COMFREYSAIL_CONNECT_MAP": ports}
        super().__init__(name, [DAEMON, "--settings", settings], folder, environment)

    def shift_clock(self, seconds):
        # Renamed into place, so that the daemon never reads half of the number.
        with open(self.clock + ".next", "w") as file:
            file.write(str(int(seconds)))
        os.replace(self.clock + ".next", self.clock)

    def restart(self):
        if not self.is_running:
            if self.process.returncode not in (0, -signal.SIGKILL):
                self.crashes.append(self.process.returncode)
            self.incarnation += 1
            self.start()

    async def poll_ready(self):
        """Asks as the platform does: two misses take the daemon out."""
        while True:
            try:
                reader, writer = await asyncio.wait_for(asyncio.open_connection("127.0.0.1", self.admin_port), 0.3)
                writer.write(b"GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                line = await asyncio.wait_for(reader.readline(), 0.3)
                writer.close()
                self.misses = 0 if b" 200 " in line else self.misses + 1
            except (OSError, asyncio.TimeoutError):
                self.misses += 1
            self.is_ready = self.misses < 2
            await asyncio.sleep(0.25)

    def usage(self):
        """Returns the resident memory in kB and the number of open descriptors."""
        with open(f"/proc/{self.process.pid}/status") as status:
            resident = next(int(line.split()[1]) for line in status if line.startswith("VmRSS"))
        return resident, len(os.listdir(f"/proc/{self.process.pid}/fd"))


class Event:
    """A fault of the schedule. `time` counts from the start of the load."""

    KINDS = {
        "term": 3, "roll": 2, "kill": 2, "kill-all": 1, "pause": 3, "target-fault": 8, "target-crash": 2, "target-leaves": 2,
        "target-lapses": 1, "target-limit": 3, "store-mode": 3, "store-link": 3, "peer-link": 3, "settings": 3, "withdraw": 2,
        "pause-withdraw": 2, "clock": 2, "grow": 1, "isolate": 3,
    }

    def __init__(self, generator, seconds):
        self.kind = generator.choices(list(self.KINDS), list(self.KINDS.values()))[0]
        self.time = generator.uniform(0.5, seconds)
        self.duration = generator.uniform(0.3, 4.0)
        self.draw = generator.random()
        self.choice = generator.random()
        # Beside a fault of the store, a daemon may go on with old rows. Most events that look for old rows are played before
        # the first one, since the store is disturbed for most of a seed.
        self.is_early = self.kind in ("pause-withdraw", "isolate") and self.draw < 0.7
        if self.is_early:
            self.time = 0.5
        self.played = None  # Its start and end, by the monotonic clock.

    @property
    def disturbs_store(self):
        return self.kind.startswith("store") or self.kind in ("target-lapses", "isolate")

    def __str__(self):
        played = " to ".join(f"{moment:.2f}" for moment in self.played or ())
        return f"{self.time:.2f}s {self.kind} for {self.duration:.2f}s, {self.draw:.3f} {self.choice:.3f}; {played}"


def events_of(seed, options):
    """Returns the events to play, by their number in the seed."""
    generator = random.Random(seed)
    events = {index: Event(generator, options.seconds) for index in range(generator.randrange(*EVENTS))}
    return {index: event for index, event in events.items() if options.only is None or index in options.only}


class Soak:
    def __init__(self, seed, options):
        self.seed = seed
        self.options = options
        self.events = events_of(seed, options)
        self.early_left = sum(event.is_early for event in self.events.values())
        self.generator = random.Random(seed + 1)
        self.system = cluster.Cluster()
        self.journal = Journal()
        self.targets = []
        self.daemons = []
        self.left = []
        self.callers = []
        self.tasks = []
        self.version = 1
        self.settings_lock = asyncio.Lock()  # Versions are written in their order.
        self.routes = dict(ROUTES)
        self.pause_routes = [kind for kind in ROUTES if kind.startswith("paused")]  # Not yet withdrawn.
        self.added_at = {}  # Time at which the store acknowledged each added route.
        self.withdrawn_at = {}  # Time at which the store acknowledged it, by kind.
        self.clock_lock = asyncio.Lock()  # The median of the clocks needs most of them right.
        self.before = {}  # Memory and descriptors of each daemon before the load.
        self.growth = []  # (memory in kB, descriptors) of each daemon.
        self.max_lag = 0.0
        self.withdraws_spare_keys = False
        self.targets_started = 0
        self.store_faults = 0  # Now active.
        self.extra_callers = 0
        self.disturbed = []  # Times of faults of the store or of targets: (start, end).
        self.store_disturbed = []
        self.paused = []  # Times of pauses of daemons. They excuse slow responses, but nothing done with old knowledge.
        self.usage = UsageService(random.Random(seed + 2))
        self.problems = []

    async def store(self, method, path, body=None):
        """Calls the store on its control port, which has no faults. Runs in a thread, since targets share this loop."""
        address = f"127.0.0.1:{self.system.platform_control_port}"
        return await asyncio.to_thread(cluster.call, method, address, path, body)

    async def write_rows(self, puts=(), deletes=()):
        rows = lambda items: [{"table": table, "part": "", "key": key, **value} for table, key, value in items]
        body = {"precondition": [], "puts": rows(puts), "deletes": rows(deletes)}
        status, text = await self.store("POST", "/rows-tx", body)
        if status != 200:
            raise RuntimeError(f"the store refused a write on its control port: {status} {text}")

    async def write_settings(self):
        routes = [
            {"name": name, "host": "orders.test", "prefix": f"/{name}/", "kind": self.routes[name], "timeout-s": 1.5,
             "target-latency-s": 0.4, "priority": 1, "service": "orders", "max-attempts": 2}
            for name in sorted(self.routes)
        ]
        service = {"name": "orders", "health-path": "/health", "max-conns": 220, "protocol": "h1", "tls": False}
        spare = lambda name: [] if self.withdraws_spare_keys else [SPARE_KEY + name]
        tenants = [{"name": name, "api-keys": [f"key-{name}", *spare(name)]} for name in DEPARTMENTS]
        value = {"version": self.version, "routes": routes, "tenants": tenants, "services": [{**service, "cold-start-s": 3, "cold-per-s": 4.8}],
                 "limits": {"max-header-bytes": 16384, "max-body-bytes": 1000000, "header-timeout-s": 3, "idle-timeout-s": 15}}
        await self.write_rows([("op", "config", {"value": cluster.encode_value(value)})])

    async def register(self, target, state="ready"):
        value = {"service": "orders", "addr": f"127.0.0.1:{target.port}", "zone": "pos-hall", "version": "v1", "slots": 2,
                 "state": state, "cold-left-s": 0, "sequence": 1, "born": 1}
        await self.write_rows([("servers", target.name, {"value": cluster.encode_value(value)})])

    async def add_target(self):
        self.targets_started += 1
        target = SoakTarget(f"t{self.targets_started}", self.journal, random.Random(self.seed * 100 + self.targets_started))
        await target.start()
        await self.register(target)
        self.targets.append(target)
        return target

    async def start(self):
        if not os.path.exists(DAEMON):
            raise RuntimeError(f"not built: {DAEMON}; run Meta/comfreysail.sh build")
        self.system.platform = self.system.add(cluster.Program("platform", [
            os.path.join(cluster.BIN, "FakePlatform"), "--port", str(self.system.platform_port),
            "--control-port", str(self.system.platform_control_port)], self.system.folder))
        while (await self.store("GET", "/rows-get?table=op"))[0] != 200:
            await asyncio.sleep(0.05)
        await self.write_settings()
        for _ in range(self.options.targets):
            await self.add_target()
        await self.usage.start()
        ports = cluster.free_ports(3 * self.options.daemons)
        groups = [tuple(ports[3 * index : 3 * index + 3]) for index in range(self.options.daemons)]
        for index, group in enumerate(groups):
            link = Link(self.system.platform_port)
            peer_links = {f"vm-{other + 1}": Link(ports[2]) for other, ports in enumerate(groups) if other != index}
            for each in (link, *peer_links.values()):
                await each.start()
            seeds = [other[2] for other in groups[:3]]
            daemon = SoakDaemon(f"vm-{index + 1}", group, seeds, link, peer_links, self.usage.port, self.system.folder)
            self.daemons.append(self.system.add(daemon))
            self.system.daemons.append(daemon)
            self.tasks.append(asyncio.create_task(daemon.poll_ready()))
        await self.until(lambda: all(daemon.is_ready for daemon in self.daemons), 10, "all daemons are ready")
        await asyncio.sleep(0.5)
        self.before = {daemon: daemon.usage() for daemon in self.daemons}
        self.tasks.append(asyncio.create_task(self.watch_lag()))

    async def watch_lag(self):
        """Notes how late this process ran, since it plays targets and clients and all of its times may be as late."""
        while True:
            due = time.monotonic() + 0.05
            await asyncio.sleep(0.05)
            self.max_lag = max(self.max_lag, time.monotonic() - due)

    async def until(self, condition, seconds, what):
        end = time.monotonic() + seconds
        while not condition():
            if time.monotonic() > end:
                self.problems.append(f"not after {seconds} s: {what}")
                return False
            await asyncio.sleep(0.05)
        return True

    def pick(self, items, event):
        return items[int(event.choice * len(items))]

    async def play(self, event):
        await asyncio.sleep(event.time)
        while self.early_left > 0 and event.disturbs_store and not event.is_early:
            await asyncio.sleep(0.05)
        started = time.monotonic()
        self.store_faults += event.disturbs_store
        await getattr(self, "play_" + event.kind.replace("-", "_"))(event)
        event.played = (started, time.monotonic())
        self.store_faults -= event.disturbs_store
        if event.is_early:
            # A fault of the store excuses what was sent shortly before it.
            await asyncio.sleep(EXCUSED_BEFORE)
            self.early_left -= 1
        if event.kind.startswith(("target", "store")):
            self.disturbed.append((started, time.monotonic()))
        if event.disturbs_store:
            self.store_disturbed.append((started, time.monotonic()))

    async def play_term(self, event):
        await self.stop_and_restart(self.pick(self.daemons, event), event)

    async def play_roll(self, event):
        """Stops all daemons one after the other, as a roll-out does."""
        for daemon in self.daemons:
            await self.stop_and_restart(daemon, event)

    async def stop_and_restart(self, daemon, event):
        daemon.send(signal.SIGTERM)
        end = time.monotonic() + GRACE
        # Another event may kill it and start it again meanwhile.
        incarnation = daemon.incarnation
        if event.draw < 0.3:
            await asyncio.sleep(0.3)
            daemon.send(signal.SIGTERM)
        elif event.draw < 0.8:
            await self.connect_during_stop(daemon, event)
        is_stopping = lambda: daemon.is_running and daemon.incarnation == incarnation
        while is_stopping() and time.monotonic() < end:
            await asyncio.sleep(0.02)
        if is_stopping():
            if not self.was_disturbed_at(end, self.paused):
                self.problems.append(f"{daemon.name} did not stop within {GRACE} s")
            daemon.kill_times.append(time.monotonic())
            daemon.kill()
        daemon.restart()

    async def connect_during_stop(self, daemon, event):
        """Connections wait in the kernel when the daemon stops accepting, as on a machine without time for it."""
        await asyncio.sleep(BALANCER_LAG - 0.1)
        daemon.send(signal.SIGSTOP)
        caller = self.new_caller(event)
        probes = [asyncio.create_task(caller.probe(daemon, "read")) for _ in range(12)]
        await asyncio.sleep(0.2)
        daemon.send(signal.SIGCONT)
        await asyncio.gather(*probes)

    def new_caller(self, event):
        self.extra_callers += 1
        return SoakCaller(f"p{self.extra_callers}-", self, random.Random(event.draw))

    async def play_kill(self, event):
        daemon = self.pick(self.daemons, event)
        daemon.kill_times.append(time.monotonic())
        daemon.kill()
        await asyncio.sleep(event.duration / 4)
        daemon.restart()

    async def play_kill_all(self, event):
        for daemon in self.daemons:
            daemon.kill_times.append(time.monotonic())
            daemon.kill()
        await asyncio.sleep(0.2)
        for daemon in self.daemons:
            daemon.restart()

    async def play_pause(self, event):
        daemon = self.pick(self.daemons, event)
        started = time.monotonic()
        daemon.send(signal.SIGSTOP)
        await asyncio.sleep(event.duration)
        daemon.send(signal.SIGCONT)
        self.paused.append((started, time.monotonic()))

    async def play_target_fault(self, event):
        target = self.pick(self.targets, event)
        target.faults = random.Random(event.draw).sample(SoakTarget.FAULTS, FAULTS_AT_ONCE)
        await asyncio.sleep(event.duration)
        target.faults = ()

    async def play_target_crash(self, event):
        target = self.pick(self.targets, event)
        if len(self.targets) < 3:
            return
        self.targets.remove(target)
        await target.stop()
        await asyncio.sleep(event.duration / 2)
        await self.write_rows(deletes=[("servers", target.name, {})])
        await self.add_target()

    async def play_target_leaves(self, event):
        target = self.pick(self.targets, event)
        if len(self.targets) < 3:
            return
        self.targets.remove(target)
        self.left.append(target)
        target.is_leaving = True
        await self.add_target()
        if event.draw < 0.6:
            await self.register(target, "draining")
        else:
            await self.write_rows(deletes=[("servers", target.name, {})])
        if not self.is_store_disturbed():
            target.left_at = time.monotonic()

    async def play_target_lapses(self, event):
        """The registration expires while the store is down and is back shortly after."""
        target = self.pick(self.targets, event)
        self.system.platform_fault("down")
        await asyncio.sleep(event.duration)
        await self.write_rows(deletes=[("servers", target.name, {})])
        self.system.platform_fault("up")
        await asyncio.sleep(0.5)
        # Another event may have taken it away meanwhile.
        if target in self.targets:
            await self.register(target)

    async def play_store_mode(self, event):
        mode = ("down", "hang", "slow", "lose_answers", "late", "busy", "too_many")[int(event.draw * 7)]
        # A write may be applied seconds late.
        delay = 300 + int(event.choice * 2700) if mode == "late" else 600
        await self.store("POST", "/faults", {"mode": mode, "delay_ms": delay})
        await asyncio.sleep(event.duration)
        await self.store("POST", "/faults", {"mode": "up"})

    async def play_store_link(self, event):
        """The store fails for some daemons only."""
        generator = random.Random(event.draw)
        links = [daemon.link for daemon in generator.sample(self.daemons, generator.choice((1, 1, 2, 3)))]
        await self.disturb(links, generator.choice(Link.MODES), event.duration)

    async def play_peer_link(self, event):
        """Connections that one daemon opens to the others, or that they open to it, or both ways between two daemons."""
        generator = random.Random(event.draw)
        one, other = generator.sample(self.daemons, 2)
        opened = list(one.peer_links.values())
        accepted = [daemon.peer_links[one.name] for daemon in self.daemons if daemon is not one]
        pair = [one.peer_links[other.name], other.peer_links[one.name]]
        await self.disturb(generator.choice((opened, accepted, pair)), generator.choice(Link.MODES), event.duration)

    async def disturb(self, links, mode, seconds):
        for link in links:
            link.set_mode(mode)
        await asyncio.sleep(seconds)
        for link in links:
            link.set_mode(None)

    async def play_isolate(self, event):
        """All daemons but one reach neither the store nor another one while a target is removed and the settings change. The
        one has these changes and then reaches only the others, whose rows are older."""
        generator = random.Random(event.draw)
        one = generator.choice(self.daemons)
        target = generator.choice(self.targets)
        if len(self.targets) < 3:
            return
        seconds = event.duration / 2
        mode = generator.choice(("refuse", "silent"))
        links = [link for daemon in self.daemons if daemon is not one for link in (daemon.link, *daemon.peer_links.values())]
        cut = asyncio.create_task(self.disturb(links, mode, DRAIN + seconds + 1))
        self.targets.remove(target)
        self.left.append(target)
        await self.add_target()
        incarnation = one.incarnation
        await self.write_rows(deletes=[("servers", target.name, {})])
        removed_at = time.monotonic()
        await self.play_settings(event)
        await asyncio.sleep(DRAIN)
        # Beside another fault of the store, it may not have the changes.
        is_alone = self.store_faults == 1 and not self.was_disturbed_at(removed_at, self.store_disturbed)
        cut_at = time.monotonic()
        await self.disturb([one.link], "refuse", seconds + 0.5)
        if is_alone:
            self.journal.removals.append((one.name, incarnation, target.name, cut_at, time.monotonic()))
        await cut

    async def play_target_limit(self, event):
        target = self.pick(self.targets, event)
        if target.limit:
            return
        target.limit = 2 + int(event.draw * 10)
        started = time.monotonic()
        await asyncio.sleep(LIMIT_KNOWN + event.duration)
        self.journal.limits.append((target.name, target.limit, started, time.monotonic()))
        target.limit = None

    async def play_clock(self, event):
        async with self.clock_lock:
            daemon = self.pick(self.daemons, event)
            step = 15 + int(event.draw * (MAX_CLOCK_STEP - 15))
            daemon.shift_clock(step if event.duration > 2 else -step)
            await asyncio.sleep(event.duration)
            daemon.shift_clock(0)

    async def play_pause_withdraw(self, event):
        """A route is withdrawn while a daemon is paused. Requests on it arrive before the daemon goes on."""
        daemon = self.pick(self.daemons, event)
        if not self.pause_routes:
            return
        kind = self.pause_routes.pop(0)
        started = time.monotonic()
        daemon.send(signal.SIGSTOP)
        async with self.settings_lock:
            self.version += 1
            del self.routes[kind]
            await self.write_settings()
            self.withdrawn_at[kind] = time.monotonic()
        await asyncio.sleep(CONFIG_APPLY + 0.1)
        caller = self.new_caller(event)
        probes = [asyncio.create_task(caller.probe(daemon, kind)) for _ in range(4)]
        await asyncio.sleep(0.2)
        daemon.send(signal.SIGCONT)
        self.paused.append((started, time.monotonic()))
        await asyncio.gather(*probes)

    async def play_grow(self, event):
        if any(name.startswith("bulk") for name in self.routes):
            return
        await self.play_settings(event, {f"bulk{index}": "safe" for index in range(BULK_ROUTES)})

    async def play_settings(self, event, routes=()):
        async with self.settings_lock:
            self.routes.update(routes)
            self.version += 1 + int(event.draw * 5)
            name = f"{ADDED}{self.version}"
            self.routes[name] = "safe"
            await self.write_settings()
            self.added_at[name] = time.monotonic()

    async def play_withdraw(self, event):
        """The route "trial" and the spare keys are withdrawn; they do not come back in this run."""
        async with self.settings_lock:
            self.version += 1
            self.routes.pop("trial", None)
            self.withdraws_spare_keys = True
            await self.write_settings()
            for kind in ("trial", "spare"):
                self.withdrawn_at.setdefault(kind, time.monotonic())

    def is_store_disturbed(self):
        return any(daemon.link.mode for daemon in self.daemons)

    async def run(self):
        try:
            await self.start()
            for number in range(self.options.callers):
                caller = SoakCaller(number, self, random.Random(self.seed * 1000 + number))
                self.callers.append(caller)
                self.tasks.append(asyncio.create_task(caller.run()))
            await asyncio.gather(*(self.play(event) for event in self.events.values()))
            await self.recover()
            # Without excuses: the bounds count from here on, whatever happened before.
            await asyncio.sleep(CONTACT + CALM)
            for caller in self.callers:
                caller.is_stopping = True
            await asyncio.sleep(4)
            for target in self.targets + self.left:
                target.drop_connections()
            # Daemons close such connections once a second, but on a busy machine they did not run for 2 s at this point.
            end = time.monotonic() + 5
            await asyncio.sleep(1)
            while self.holds_more_descriptors() and time.monotonic() < end:
                await asyncio.sleep(0.2)
            self.check_growth()
            self.check()
        finally:
            for task in self.tasks:
                task.cancel()
            await asyncio.to_thread(self.system.stop)
            for target in self.targets + self.left:
                await target.stop()
        return self.problems

    async def recover(self):
        """After the last fault, requests must be served again within the bound."""
        for daemon in self.daemons:
            daemon.send(signal.SIGCONT)
            daemon.restart()
            for link in (daemon.link, *daemon.peer_links.values()):
                link.set_mode(None)
        await self.store("POST", "/faults", {"mode": "up"})
        end = time.monotonic() + RECOVER
        while True:
            start = time.monotonic()
            await asyncio.sleep(1.5)
            recent = [
                record for record in self.journal.records.values()
                if record.sent_at > start and record.ended_at and record.kind not in ("trial", "spare")
            ]
            if len(recent) >= 20 and all(record.result == 200 for record in recent):
                break
            if time.monotonic() > end:
                results = sorted({str(record.result) for record in recent})
                self.problems.append(f"not recovered after {RECOVER} s: {len(recent)} requests ended with {results}")
                break
        for daemon in self.daemons:
            resident, descriptors = daemon.usage()
            if resident > MAX_RESIDENT_KB or descriptors > MAX_DESCRIPTORS:
                self.problems.append(f"{daemon.name} holds {resident} kB and {descriptors} descriptors")

    def holds_more_descriptors(self):
        most = max(descriptors for _, descriptors in self.before.values()) + GROWTH_DESCRIPTORS
        return any(daemon.usage()[1] > most for daemon in self.daemons)

    def check_growth(self):
        """A daemon that was started again is compared with the largest values, of all daemons before the load."""
        resident_before, descriptors_before = (max(values) for values in zip(*self.before.values()))
        thousands = len(self.routes) / 1000
        for daemon in self.daemons:
            resident, descriptors = daemon.usage()
            self.growth.append((resident - resident_before, descriptors - descriptors_before))
            if resident > resident_before + GROWTH_KB + thousands * GROWTH_KB_PER_THOUSAND_ROUTES:
                self.problems.append(f"{daemon.name} holds {resident} kB; {resident_before} before the load")
            if descriptors > descriptors_before + GROWTH_DESCRIPTORS:
                self.problems.append(f"{daemon.name} holds {descriptors} descriptors; {descriptors_before} before the load")

    def check(self):
        found = self.problems
        records = self.journal.records.values()
        found += [f"run of an unknown request: {run}" for run in self.journal.unknown_runs]
        found += [f"run for another department: {run}" for run in self.journal.wrong_departments]
        found += [f"a target that had left ran {run}" for run in self.journal.late_runs if not self.was_store_disturbed(run)]
        found += [f"a target that said that it leaves got {late}" for late in self.journal.used_leaving]
        found += [f"{daemon.name} ended with {code}" for daemon in self.daemons for code in daemon.crashes]
        found += self.usage.problems
        if not self.usage.bodies:
            found.append("no usage was reported")
        self.check_pauses()
        self.check_limits()
        for daemon, incarnation, name, start, end in self.journal.removals:
            sent = [arrival[3] for arrival in self.journal.arrivals if arrival[:3] == (daemon, incarnation, name)]
            count = sum(start < moment < end for moment in sent)
            if count:
                found.append(f"rows went back: {daemon} sent {count} requests to the removed {name}; {start:.2f} to {end:.2f}")
        for record in records:
            name = f"{record.request_id} ({record.kind}, {record.daemon}, {record.result})"
            is_once = ROUTES.get(record.kind) in ("unsafe", "upload")
            if record.is_wrong:
                found.append(f"wrong answer: {name}")
            if is_once and len(record.runs) > 1:
                found.append(f"ran {len(record.runs)} times: {name}")
            if record.result in NOT_RUN and is_once and record.runs:
                found.append(f"said not to have run: {name}")
            if record.result == 200 and not record.runs:
                found.append(f"answered without a run: {name}")
            if record.result == "timeout" and not self.was_disturbed_at(record.sent_at, self.disturbed + self.paused):
                found.append(f"no response in time: {name}")
            if record.result == "no response" and record.runs and not record.was_killed and not self.may_be_cut(record):
                found.append(f"cut although its daemon was not killed: {name}")
            # A daemon may close an idle connection while a request is on its way, but not a new connection.
            if record.result == "no response" and record.is_first and not record.runs and not record.was_killed:
                found.append(f"a new connection was closed although its daemon was not killed: {name}")
            if record.kind in self.withdrawn_at and record.result == 200:
                late = record.sent_at - self.withdrawn_at[record.kind]
                if late > CONFIG_APPLY and not self.was_disturbed_at(record.sent_at, self.store_disturbed):
                    found.append(f"served by a route or key withdrawn {late:.2f} s before: {name}")
            if record.result == 401 and (record.kind != "spare" or "spare" not in self.withdrawn_at):
                found.append(f"a valid key was refused: {name}")
            if record.kind in self.added_at and record.result == 404:
                late = record.sent_at - self.added_at[record.kind]
                if late > CONFIG_APPLY and not self.was_disturbed_at(record.sent_at, self.store_disturbed):
                    found.append(f"refused on a route added {late:.2f} s before: {name}")
        self.check_settings_never_go_back()

    def may_be_cut(self, record):
        """A download that has begun ends where its target or the time of the request ends, and must not look complete."""
        is_cut = record.request_id in self.journal.truncated or any(target.is_stopped for _, target in record.runs)
        return record.kind == "download" and (is_cut or record.ended_at - record.sent_at > DEADLINE - 0.1)

    def check_pauses(self):
        """A daemon that was frozen meanwhile is excused; its incarnation tells a restart."""
        arrivals = {}
        for *daemon, moment in self.journal.arrivals:
            arrivals.setdefault(tuple(daemon), []).append(moment)
        for *daemon, start, end in self.journal.pauses:
            if any(begin <= end and start <= finish for begin, finish in self.paused):
                continue
            count = sum(start + PAUSE_SLACK < moment < end for moment in arrivals.get(tuple(daemon), []))
            if count > PAUSE_REQUESTS:
                self.problems.append(f"{daemon[2]} got {count} requests from {daemon[0]} in the {end - start:.1f} s that it asked for")

    def check_limits(self):
        for name, limit, start, end in self.journal.limits:
            moments = sorted(moment for *_, target, moment in self.journal.arrivals if target == name)
            moments = [moment for moment in moments if start + LIMIT_KNOWN < moment < end]
            most = max((sum(first <= moment < first + 1 for moment in moments) for first in moments), default=0)
            if most > limit * LIMIT_RATIO + LIMIT_FEW:
                self.problems.append(f"{name} got {most} requests in one second, of {limit} that it named; {start:.2f} to {end:.2f}")

    def check_settings_never_go_back(self):
        """A daemon that knew an added route knows it, and all added before, until it is started again."""
        newest = {}
        added = [record for record in self.journal.records.values() if record.kind in self.added_at and record.ended_at]
        for record in sorted(added, key=lambda record: record.ended_at):
            if record.result == 200:
                newest.setdefault((record.daemon, record.incarnation), []).append((record.ended_at, self.added_at[record.kind]))
        for record in added:
            if record.result != 404:
                continue
            known = newest.get((record.daemon, record.incarnation), [])
            if any(end + ROLLBACK_SLACK < record.sent_at and at >= self.added_at[record.kind] for end, at in known):
                self.problems.append(f"settings went back: {record.request_id} ({record.kind}, {record.daemon})")

    def was_disturbed_at(self, moment, times=None):
        """Whether a fault that may excuse a broken bound was there at this time, or ended shortly before."""
        times = self.disturbed if times is None else times
        return any(start - EXCUSED_BEFORE <= moment <= end + CONTACT for start, end in times)

    def was_store_disturbed(self, late_run):
        return self.was_disturbed_at(self.journal.records[late_run[0]].sent_at, self.store_disturbed)

    def summary(self):
        counts = {}
        for record in self.journal.records.values():
            counts[str(record.result)] = counts.get(str(record.result), 0) + 1
        counts["windows"] = len(self.usage.bodies)
        counts["max_lag_ms"] = round(self.max_lag * 1000)
        counts["grown_kb"], counts["grown_descriptors"] = (max(values) for values in zip(*self.growth or [(0, 0)]))
        return " ".join(f"{key.replace(' ', '_')}={counts[key]}" for key in sorted(counts))


def play(seed, options):
    print(f"seed={seed}", flush=True)
    soak = Soak(seed, options)
    try:
        problems = asyncio.run(soak.run())
    except BaseException:
        soak.system.stop()
        print(f"interrupted; logs: {soak.system.folder}", file=sys.stderr)
        raise
    print(f"seed={seed} events={len(soak.events)} requests={len(soak.journal.records)} {soak.summary()} problems={len(problems)}", flush=True)
    if not problems:
        soak.system.remove_folder()
        return problems
    report = [f"event {index}: {event}" for index, event in soak.events.items()] + problems
    with open(os.path.join(soak.system.folder, "soak.txt"), "w") as file:
        file.write("\n".join(report + [record.line() for record in soak.journal.records.values()]) + "\n")
    for line in report[: len(soak.events) + 20]:
        print(f"  {line}")
    print(f"  logs: {soak.system.folder}")
    print(f"  again: {command_for(seed, options)}", flush=True)
    return problems


def command_for(seed, options):
    only = "" if options.only is None else " --only " + (",".join(map(str, sorted(options.only))) or "-1")
    values = " ".join(f"--{name} {getattr(options, name)}" for name in ("seconds", "daemons", "targets", "callers"))
    return f"Meta/comfreysail.sh soak --seed {seed} {values}{only}"


def kinds_of(problems):
    """Returns the problems without their names and figures."""
    return {re.sub(r"\(.*|\S*\d\S*", "", problem.split(":")[0]).strip() for problem in problems}


def shrink(seed, options):
    """Leaves out halves of the events, then smaller parts, as long as the seed still fails in one of the same ways. The
    times inside the processes are not determined, so a part is kept only after two plays without it passed."""
    wanted = kinds_of(play(seed, options))
    if not wanted:
        print(f"passed, so there is nothing to shrink: {command_for(seed, options)}")
        return 1
    kept = sorted(events_of(seed, options))
    size = max(1, len(kept) // 2)
    while size and kept:
        start = 0
        while start < len(kept):
            options.only = set(kept[:start] + kept[start + size :])
            if any(wanted & kinds_of(play(seed, options)) for _ in range(2)):
                kept = sorted(options.only)
            else:
                start += size
        size //= 2
    options.only = set(kept)
    print(f"smallest failing schedule: {command_for(seed, options)}")
    return 1


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, help="plays this seed only, or the first of --seeds")
    parser.add_argument("--seeds", type=int, default=1, help="number of seeds")
    parser.add_argument("--minutes", type=float, help="plays seeds until this time is over")
    parser.add_argument("--seconds", type=float, default=10, help="time in which the faults of a seed begin")
    parser.add_argument("--daemons", type=int, default=4)
    parser.add_argument("--targets", type=int, default=6)
    parser.add_argument("--callers", type=int, help="by default so few that the targets can serve all of them")
    parser.add_argument("--only", type=lambda text: {int(part) for part in text.split(",")}, help="numbers of the events to play")
    parser.add_argument("--shrink", action="store_true", help="looks for a smaller schedule that still fails")
    options = parser.parse_args()
    if options.callers is None:
        options.callers = 16 if options.targets >= 6 else options.targets + 1
    seed = options.seed if options.seed is not None else random.SystemRandom().randrange(1 << 31)
    # SIGTERM ends the run as Ctrl-C does, so that all processes are stopped. A shell that starts the soak in the background
    # makes it ignore SIGINT.
    signal.signal(signal.SIGINT, signal.default_int_handler)
    signal.signal(signal.SIGTERM, lambda *_: signal.raise_signal(signal.SIGINT))
    if options.shrink:
        return shrink(seed, options)
    end = time.monotonic() + options.minutes * 60 if options.minutes else None
    failed = []
    played = 0
    while time.monotonic() < end if end else played < options.seeds:
        if play(seed + played, options):
            failed.append(seed + played)
        played += 1
    print(f"seeds={played} failed={len(failed)} {' '.join(map(str, failed))}".rstrip())
    return 1 if failed else 0


if __name__ == "__main__":
    try:
        sys.exit(main())
    except KeyboardInterrupt:
        sys.exit(130)
