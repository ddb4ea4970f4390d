"""Stand-ins for the users' platform, backends and consumers, and the daemons of a small deployment, on loopback.

The store, the backends and the consumers run in the process of the script; the daemons are processes started with the
command of deploy/system.toml and with the settings that its template yields."""

import asyncio
import base64
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

# The figures of the site kesarvan-moss.
BOUNDS = {"grace-s": 6, "budget-ratio": 0.2, "budget-slack": 56}
HEARTBEAT_S = 1.5
STORE_ANSWER_S = 0.004
COLD_S, COLD_SLOWNESS = 3.0, 2.0
PROMISES = (408, 421, 429, 503)


def free_ports(count):
    """Returns ports that nothing listens on, below those of outgoing connections."""
    with open("/proc/sys/net/ipv4/ip_local_port_range") as file:
        end = int(file.read().split()[0])
    ports, port = [], random.randrange(12000, max(12001, end - 2000))
    while len(ports) < count:
        port = port + 1 if port + 1 < end else 12000
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        ports.append(port)
    return ports


class Record:
    """Writes what was sent, answered and run to record.txt."""

    def __init__(self, folder):
        self.started = time.monotonic()
        self.file = open(os.path.join(folder, "record.txt"), "w")

    def note(self, event, **values):
        pairs = " ".join(f"{key}={value}" for key, value in values.items())
        self.file.write(f"{time.monotonic() - self.started:8.3f} {event} {pairs}\n")

    def say(self, text):
        print(text, flush=True)
        self.file.write(text + "\n")
        self.file.flush()


async def read_message(reader):
    """Reads a message with a length, in chunks or without a body: (first line, fields in lower case, body)."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head[:-4].split("\r\n")
    fields = {}
    for line in lines:
        name, _, value = line.partition(":")
        fields[name.strip().lower()] = value.strip()
    body = b""
    if fields.get("transfer-encoding", "").lower() == "chunked":
        while size := int((await reader.readline()).split(b";")[0], 16):
            body += await reader.readexactly(size)
            await reader.readexactly(2)
        await reader.readline()
    elif "content-length" in fields:
        body = await reader.readexactly(int(fields["content-length"]))
    return first, fields, body


REASONS = {200: "OK", 412: "Precondition Failed", 421: "Misdirected Request", 500: "Internal Server Error",
           503: "Service Unavailable", 404: "Not Found", 403: "Forbidden"}


def message(status, fields=(), body=b""):
    lines = [f"HTTP/1.1 {status} {REASONS.get(status, 'Other')}"]
    lines += [f"{name}: {value}" for name, value in dict(fields).items()]
    lines += [f"Content-Length: {len(body)}"]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class Server:
    """Accepts connections and ends all of them on stop()."""

    def __init__(self):
        self.port = None
        self.server = None
        self.writers = set()

    async def listen(self, port):
        self.port = port
        self.server = await asyncio.start_server(self.accept, "127.0.0.1", port)

    async def accept(self, reader, writer):
        self.writers.add(writer)
        try:
            await self.serve(reader, writer)
        except (OSError, EOFError, ValueError, asyncio.LimitOverrunError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def serve(self, reader, writer):
        raise NotImplementedError

    def crash(self):
        """Resets all connections and listens no more, as a process does that ends with unread bytes."""
        if self.server:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
            writer.transport.abort()


class Store(Server):
    """The platform's metadata store."""

    def __init__(self):
        super().__init__()
        self.rows = {}
        self.version = 0
        self.answer_s = STORE_ANSWER_S

    def put(self, table, key, value, part=""):
        self.version += 1
        self.rows[table, part, key] = (base64.b64encode(value).decode(), self.version)

    def put_json(self, table, key, value):
        self.put(table, key, json.dumps(value).encode())

    def drop(self, table, key, part=""):
        if self.rows.pop((table, part, key), None):
            self.version += 1

    def get_json(self, table, key, part=""):
        row = self.rows.get((table, part, key))
        return json.loads(base64.b64decode(row[0])) if row else None

    async def serve(self, reader, writer):
        while True:
            first, _, body = await read_message(reader)
            method, target, _ = first.split(" ")
            await asyncio.sleep(self.answer_s)
            status, answer = self.run(method, target, body)
            writer.write(message(status, {"Content-Type": "application/json"}, json.dumps(answer).encode()))
            await writer.drain()

    def run(self, method, target, body):
        url = urllib.parse.urlsplit(target)
        query = {key: values[0] for key, values in urllib.parse.parse_qs(url.query, keep_blank_values=True).items()}
        if (method, url.path) == ("GET", "/rows-get"):
            return self.rows_get(query)
        if (method, url.path) == ("POST", "/rows-tx"):
            return self.rows_tx(json.loads(body))
        return 404, {}

    def row_json(self, key):
        value, version = self.rows.get(key, (None, 0))
        row = {"table": key[0], "part": key[1], "key": key[2], "resource-version": version}
        return row if value is None else {**row, "value": value}

    def rows_get(self, query):
        limit = min(500, int(query.get("limit", 500)))
        keys = sorted(key for key in self.rows if key[0] == query["table"] and key[1] == query.get("part", "")
                      and key[2] >= query.get("from", "") and ("to" not in query or key[2] < query["to"]))
        return 200, {"rows": [self.row_json(key) for key in keys[:limit]], "has-more": len(keys) > limit,
                     "resource-version": self.version, "now-s": time.monotonic()}

    def rows_tx(self, call):
        key_of = lambda row: (row["table"], row.get("part", ""), row["key"])
        if any(row["table"] in ("op", "servers") for row in call.get("puts", []) + call.get("deletes", [])):
            return 403, {}
        conditions = [(key_of(row), row["resource-version"]) for row in call.get("precondition", [])]
        if any(self.rows.get(key, (None, 0))[1] != version for key, version in conditions):
            return 412, {"rows": [self.row_json(key) for key, _ in conditions], "resource-version": self.version}
        self.version += 1
        for row in call.get("puts", []):
            self.rows[key_of(row)] = (row["value"], self.version)
        for row in call.get("deletes", []):
            self.rows.pop(key_of(row), None)
        return 200, {"resource-version": self.version, "now-s": time.monotonic()}


class Backend(Server):
    """A backend with slots and a queue, which registers itself and reports its load."""

    SLOTS, QUEUE = 2, 8

    def __init__(self, store, record, name, service, zone, work_s, version="v1"):
        super().__init__()
        self.store, self.record, self.name, self.service, self.zone = store, record, name, service, zone
        self.work_s, self.version = work_s, version
        self.running = self.waiting = self.sequence = 0
        self.slots = asyncio.Semaphore(self.SLOTS)
        self.state = "ready"
        self.born = 0
        self.cold_until = 0.0
        self.arrivals = []  # (time, request id) of each request that is not another backend's
        self.runs = []  # (time, request id, path)
        self.heart = None

    async def start(self, port=None, is_cold=False):
        self.cold_until = time.monotonic() + COLD_S if is_cold else 0.0
        self.born = int(time.time() * 1000)
        self.running = self.waiting = self.sequence = 0
        self.slots = asyncio.Semaphore(self.SLOTS)
        await self.listen(port or self.port)
        self.heart = asyncio.create_task(self.beat())

    def stop(self):
        """Ends at once; nothing is said to the store, which drops the entry after three heartbeats."""
        self.heart.cancel()
        self.crash()
        asyncio.get_running_loop().call_later(3 * HEARTBEAT_S, self.expire, self.born)

    def expire(self, born):
        if self.born == born:
            self.store.drop("servers", self.name)

    def report(self):
        self.sequence += 1
        self.store.put_json("servers", self.name, {
            "service": self.service, "addr": f"127.0.0.1:{self.port}", "zone": self.zone, "version": self.version,
            "slots": self.SLOTS, "state": self.state, "cold-left-s": round(self.cold_left(), 3), "sequence": self.sequence, "born": self.born})

    async def beat(self):
        while True:
            self.report()
            await asyncio.sleep(HEARTBEAT_S)

    def cold_left(self):
        return max(0.0, self.cold_until - time.monotonic())

    def health(self):
        fields = {"X-Comfreysail-Instance-Id": self.name, "X-Comfreysail-Cold-Ms": int(1000 * self.cold_left())}
        return message(200 if self.state == "ready" else 503, {**fields, **self.load()})

    def load(self):
        return {"X-Comfreysail-Backend-Load": f"{self.running},{self.waiting},{self.SLOTS}"}

    async def serve(self, reader, writer):
        while True:
            first, fields, body = await read_message(reader)
            method, path, _ = first.split(" ")
            if path == "/health":
                answer = self.health()
            else:
                answer = await self.handle(method, path, fields, body)
            writer.write(answer)
            await writer.drain()

    async def handle(self, method, path, fields, body):
        request_id = fields.get("x-comfreysail-request-id", "")
        echo = {"X-Comfreysail-Request-Id": request_id}
        if fields.get("x-comfreysail-expect-instance", self.name) != self.name:
            return message(421, {**echo, "X-Comfreysail-Instance-Id": self.name})
        self.arrivals.append((time.monotonic(), request_id))
        if self.running + self.waiting >= self.SLOTS + self.QUEUE:
            return message(503, {**echo, "X-Comfreysail-Not-Executed": "1", **self.load()})
        self.waiting += 1
        async with self.slots:
            self.waiting -= 1
            self.running += 1
            self.runs.append((time.monotonic(), request_id, path))
            self.record.note("run", backend=self.name, id=request_id, path=path)
            try:
                return await self.work(method, path, fields, body, {**echo, "X-Comfreysail-Backend-Signature": f"{self.name}.{request_id}"})
            finally:
                self.running -= 1

    async def work(self, method, path, fields, body, answer_fields):
        await asyncio.sleep(self.work_s * (COLD_SLOWNESS if self.cold_left() else 1))
        return message(200, {**answer_fields, **self.load()}, f"{path} {request_tag(body)}".encode())


def request_tag(body):
    return f"{len(body)}"


class Daemon:
    """A process of the deploy file's role."""

    def __init__(self, folder, name, zone, ports, seeds, store_port, first=True):
        self.name, self.zone = name, zone
        self.front, self.ready, self.control = ports
        self.folder, self.seeds, self.store_port = folder, seeds, store_port
        self.settings = os.path.join(folder, f"{name}.settings")
        self.log = os.path.join(folder, f"{name}.log")
        self.process = None
        self.misses = 2
        self.bootstrap = first

    def write_settings(self):
        values = {"node-name": self.name, "zone": self.zone, "bootstrap": self.bootstrap, "limits.cpu-share": 0.2,
                  "limits.memory-mb": 260, "listen.front": f"127.0.0.1:{self.front}", "seeds": self.seeds,
                  "listen.ready": f"127.0.0.1:{self.ready}", "listen.control": f"127.0.0.1:{self.control}",
                  "platform.addr": f"127.0.0.1:{self.store_port}", **{f"bounds.{k}": v for k, v in BOUNDS.items()}}

        def fill(found):
            name, _, form = found.group(1).partition("|")
            value = values[name]
            return json.dumps(value) if form == "json" or isinstance(value, bool) else str(value)

        with open(os.path.join(ROOT, "deploy", "daemon.toml.template")) as file:
            text = re.sub(r"\{\{([^}]+)\}\}", fill, file.read())
        with open(self.settings, "w") as file:
            file.write(text)

    def start(self):
        self.write_settings()
        self.bootstrap = False
        with open(os.path.join(ROOT, "deploy", "system.toml")) as file:
            command = re.search(r'^run = "(.*)"$', file.read(), re.MULTILINE).group(1)
        arguments = [self.settings if word.startswith("/etc/") else word for word in command.split()]
        environment = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        environment["COMFREYSAIL_SETTINGS"] = self.settings
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen(arguments, cwd=ROOT, env=environment, stdin=subprocess.DEVNULL,
                                            stdout=log, stderr=subprocess.STDOUT)

    def is_running(self):
        return self.process is not None and self.process.poll() is None

    def send(self, number):
        if self.is_running():
            self.process.send_signal(number)

    def kill(self):
        self.send(signal.SIGKILL)
        self.process.wait()

    async def watch_ready(self):
        """Asks once a second, as the platform does; two misses take the daemon out of rotation."""
        while True:
            is_ready = False
            try:
                async with asyncio.timeout(0.8):
                    reader, writer = await asyncio.open_connection("127.0.0.1", self.ready)
                    writer.write(b"GET /ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n")
                    is_ready = (await reader.readline()).split()[1:2] == [b"200"]
                    writer.close()
            except (OSError, TimeoutError):
                pass
            self.misses = 0 if is_ready else self.misses + 1
            await asyncio.sleep(1)

    @property
    def in_rotation(self):
        return self.misses < 2


def route(name, host, prefix, kind, service, timeout_s=1.5, attempts=3):
    return {"name": name, "host": host, "prefix": prefix, "kind": kind, "service": service, "timeout-s": timeout_s,
            "target-latency-s": 0.4, "priority": 1, "max-attempts": attempts}


def manifest(version, routes):
    services = [{"name": name, "health-path": "/health", "max-conns": 220, "cold-start-s": 3, "cold-per-s": 6.3}
                for name in sorted({entry["service"] for entry in routes})]
    return {"version": version, "routes": routes, "services": services,
            "limits": {"max-header-bytes": 16384, "max-body-bytes": 1000000, "header-timeout-s": 3, "idle-timeout-s": 15}}


class Answer:
    def __init__(self, request_id, daemon):
        self.request_id, self.daemon = request_id, daemon
        self.sent_at = time.monotonic()
        self.ended_at = None
        self.status = None  # None: the connection ended without a whole answer.
        self.fields, self.body = {}, b""


class System:
    """A small deployment: three zones, some daemons in each, one store, backends and the platform's balancer."""

    ZONES = ["gw-rajkot", "gw-jamnagar", "gw-bhavnagar"]

    def __init__(self, case_folder):
        self.record = Record(case_folder)
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.store = Store()
        self.daemons, self.backends, self.tasks = [], [], []
        self.random = random.Random(int(os.environ.get("SEED", "1")))
        self.ids = 0

    async def start(self, daemons, routes, backends=()):
        if not os.path.exists(os.path.join(ROOT, "target", "bin", "comfreysaild")):
            raise RuntimeError("target/bin/comfreysaild is missing: run the build of deploy/system.toml")
        await self.store.listen(free_ports(1)[0])
        self.store.put_json("op", "config", manifest(1, routes))
        for backend, port in zip(backends, free_ports(len(backends))):
            await backend.start(port)
            self.backends.append(backend)
        ports = free_ports(3 * daemons)
        groups = [ports[3 * index:3 * index + 3] for index in range(daemons)]
        seeds = [f"127.0.0.1:{group[2]}" for group in groups[:3]]
        for index, group in enumerate(groups):
            zone = self.ZONES[index % len(self.ZONES)]
            daemon = Daemon(self.folder, f"edge-{zone}-{index + 1}", zone, group, seeds, self.store.port)
            daemon.start()
            self.daemons.append(daemon)
            self.tasks.append(asyncio.create_task(daemon.watch_ready()))
        # Traffic starts 8 s after the machines do.
        await asyncio.sleep(8)
        await self.until(lambda: all(daemon.in_rotation for daemon in self.daemons), 12, "all daemons are ready")

    async def until(self, condition, seconds, what):
        end = time.monotonic() + seconds
        while not condition():
            if time.monotonic() > end:
                raise RuntimeError(f"not after {seconds} s: {what}")
            await asyncio.sleep(0.05)

    def pick_daemon(self):
        ready = [daemon for daemon in self.daemons if daemon.in_rotation]
        return self.random.choice(ready or self.daemons)

    def next_id(self):
        self.ids += 1
        return f"{self.random.getrandbits(32):08x}{self.ids:08x}"

    def head(self, method, path, host, request_id, deadline_ms, body=b""):
        lines = [f"{method} {path} HTTP/1.1", f"Host: {host}", f"X-Comfreysail-Request-Id: {request_id}",
                 f"X-Comfreysail-Deadline-Ms: {deadline_ms}"]
        if body or method == "POST":
            lines.append(f"Content-Length: {len(body)}")
        return "\r\n".join(lines).encode() + b"\r\n\r\n"

    async def request(self, method, path, host, deadline_ms=1500, body=b"", daemon=None):
        """One consumer attempt on a new connection."""
        daemon = daemon or self.pick_daemon()
        answer = Answer(self.next_id(), daemon)
        self.record.note("sent", id=answer.request_id, daemon=daemon.name, method=method, path=path)
        writer = None
        try:
            async with asyncio.timeout(deadline_ms / 1000):
                reader, writer = await asyncio.open_connection("127.0.0.1", daemon.front)
                writer.write(self.head(method, path, host, answer.request_id, deadline_ms, body) + body)
                first, answer.fields, answer.body = await read_message(reader)
                answer.status = int(first.split()[1])
        except (OSError, EOFError, TimeoutError, ValueError):
            pass
        if writer:
            writer.close()
        answer.ended_at = time.monotonic()
        self.record.note("answered", id=answer.request_id, daemon=daemon.name, status=answer.status,
                         error=answer.fields.get("comfreysail-error", "-"), bytes=len(answer.body))
        return answer

    def stop(self):
        for task in self.tasks:
            task.cancel()
        for daemon in self.daemons:
            daemon.send(signal.SIGCONT)
            daemon.send(signal.SIGKILL)
        for daemon in self.daemons:
            if daemon.process:
                daemon.process.wait()
        for server in [self.store, *self.backends]:
            server.crash()
        if os.environ.get("KEEP"):
            print(f"logs: {self.folder}")
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def main(case_file, play, limit_s=115):
    """Runs play(system), which returns True if the rule held. Exits with 0, 1 (broken) or 2 (could not run)."""
    folder = os.path.dirname(os.path.abspath(case_file))

    async def run():
        # Also where SIGINT is ignored, as in a shell's background.
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
        system = System(folder)
        try:
            async with asyncio.timeout(limit_s):
                held = await play(system)
            system.record.say("the rule held" if held else "the rule was broken")
            return 0 if held else 1
        except (Exception, asyncio.CancelledError) as error:
            system.record.say(f"could not run: {type(error).__name__}: {error}")
            return 2
        finally:
            system.stop()
            system.record.file.close()

    try:
        code = asyncio.run(run())
    except (Exception, KeyboardInterrupt) as error:
        print(f"could not run: {type(error).__name__}: {error}", file=sys.stderr)
        code = 2
    sys.exit(code)
