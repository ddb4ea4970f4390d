"""Starts comfreysail's daemons, the platform's store and stand-ins of servers and consumers on loopback addresses.

The daemons run with the command and the settings template of the deploy file. The store is the project's FakePlatform.
Servers and consumers are written here after PROTOCOL.md.
"""

import asyncio
import base64
import json
import os
import random
import re
import shutil
import signal
import socket
import struct
import subprocess
import tempfile
import time
import tomllib

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
PLATFORM = os.path.join(ROOT, "target", "review-3", "bin", "FakePlatform")
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST = "ficu95.example"
# Bounds of a small deployment (jtsu-gateway).
HEARTBEAT_S = 1.5
DRAIN_S = 2.0
GRACE_S = 6.0
CONFIG_APPLY_S = 2.0
CONTACT_S = 3.0


class CannotRun(Exception):
    """The case couldn't run; exit code 2."""


def free_port(address):
    with socket.socket() as probe:
        probe.bind((address, 0))
        return probe.getsockname()[1]


class Case:
    """A run of one case: its folder, record, processes and result."""

    def __init__(self, folder):
        self.record_file = open(os.path.join(folder, "record.txt"), "w")
        self.start = time.monotonic()
        self.temporary = tempfile.mkdtemp(prefix="comfreysail-review-")
        self.processes = []
        self.tasks = []
        self.broken = []
        self.version = 5

    def now(self):
        return time.monotonic() - self.start

    def record(self, text):
        self.record_file.write(f"{self.now():9.4f} {text}\n")
        self.record_file.flush()

    def breaks(self, rule, text):
        self.broken.append(rule)
        self.record(f"BROKEN {rule}: {text}")

    def spawn(self, coroutine):
        task = asyncio.ensure_future(coroutine)
        self.tasks.append(task)
        return task

    def run_program(self, name, command, environment=None):
        log = open(os.path.join(self.temporary, name + ".log"), "ab")
        process = subprocess.Popen(command, cwd=ROOT, stdin=subprocess.DEVNULL, stdout=log, stderr=log,
            env={"PATH": os.environ.get("PATH", ""), "HOME": self.temporary, "LANG": "C", **(environment or {})})
        self.processes.append(process)
        return process

    # The platform's store.

    async def start_platform(self):
        if not os.path.exists(PLATFORM):
            raise CannotRun("FakePlatform isn't built; run review/build-3.sh")
        self.store_address = "127.0.0.1"
        self.store_port = free_port("127.0.0.1")
        self.control_port = free_port("127.0.0.1")
        self.run_program("platform", [PLATFORM, "--port", str(self.store_port), "--control-port", str(self.control_port),
            "--writes-per-second", "400", "--reads-per-second", "2000"])
        await self.wait_for_port("127.0.0.1", self.control_port)

    async def wait_for_port(self, address, port, limit=10):
        end = time.monotonic() + limit
        while time.monotonic() < end:
            try:
                _, writer = await asyncio.open_connection(address, port)
                writer.close()
                return
            except OSError:
                await asyncio.sleep(0.05)
        raise CannotRun(f"nothing listens at {address}:{port}")

    async def store_call(self, method, path, body=None):
        """A call of the operator, a server or the drill; returns (status, object)."""
        text = json.dumps(body).encode() if body is not None else b""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.control_port)
        writer.write(f"{method} {path} HTTP/1.1\r\nHost: store\r\nConnection: close\r\n"
            f"Content-Type: application/json\r\nContent-Length: {len(text)}\r\n\r\n".encode() + text)
        answer = await asyncio.wait_for(reader.read(), 10)
        writer.close()
        head, _, rest = answer.partition(b"\r\n\r\n")
        return int(head.split()[1]), json.loads(rest or b"{}")

    async def put_row(self, table, key, value):
        text = value if isinstance(value, bytes) else json.dumps(value).encode()
        status, _ = await self.store_call("POST", "/rows-tx", {"precondition": [], "deletes": [],
            "puts": [{"table": table, "part": "", "key": key, "value": base64.b64encode(text).decode()}]})
        if status != 200:
            raise CannotRun(f"the store answered {status} to a write of {table}/{key}")

    async def delete_row(self, table, key):
        await self.store_call("POST", "/rows-tx", {"precondition": [], "puts": [],
            "deletes": [{"table": table, "part": "", "key": key}]})

    async def write_config(self, routes, services):
        self.version += random.randint(1, 3)
        await self.put_row("op", "config", {"version": self.version, "routes": routes, "services": services,
            "limits": {"max-header-bytes": 16384, "max-body-bytes": 67108864, "header-timeout-s": 3,
                "idle-timeout-s": 15}})
        self.record(f"store acknowledged op/config version {self.version}")

    # The daemons.

    def render(self, template, values):
        def text(name, as_json):
            value = values
            for part in name.split("."):
                value = value.get(part) if isinstance(value, dict) else None
            if as_json:
                return json.dumps(value)
            if isinstance(value, bool):
                return "true" if value else "false"
            return "" if value is None else str(value)
        return re.sub(r"\{\{([a-z0-9.-]+)(\|json)?\}\}", lambda match: text(match[1], match[2]), template)

    def plan_daemons(self, count, zones=("pos-hall", "arima", "chaguanas", "tunapuna"), names=None, seeds=3):
        """Chooses names and addresses; start_daemon() starts one."""
        self.daemons = []
        for index in range(count):
            address = f"127.0.1.{index + 1}"
            zone = zones[index % len(zones)]
            name = names[index] if names else f"edge-{zone}-{index // len(zones) + 1}"
            self.daemons.append({"name": name, "zone": zone, "address": address, "front": free_port(address),
                "ready": free_port(address), "control": free_port(address), "process": None})
        self.seeds = [f"{daemon['address']}:{daemon['control']}" for daemon in self.daemons[:seeds]]

    def start_daemon(self, daemon, bootstrap):
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
            role = tomllib.load(file)["roles"]["entry"]
        with open(os.path.join(ROOT, role["template"])) as file:
            template = file.read()
        address = daemon["address"]
        values = {"node-name": daemon["name"], "zone": daemon["zone"], "bootstrap": bootstrap, "seeds": self.seeds,
            "listen": {part: f"{address}:{daemon[part]}" for part in ("front", "ready", "control")},
            "limits": {"cpu-share": 0.2, "cores": 1, "memory-mb": 260, "max-fds": 4100},
            "bounds": {"grace-s": int(GRACE_S), "budget-ratio": 0.2, "budget-slack": 56},
            "platform": {"addr": f"{self.store_address}:{self.store_port}"}}
        path = os.path.join(self.temporary, daemon["name"] + ".toml")
        with open(path, "w") as file:
            file.write(self.render(template, values))
        environment = {name: self.render(text, values) for name, text in role["env"].items()}
        command = role["run"].replace("/etc/comfreysail/node.json", path).split()
        command[0] = os.path.join(ROOT, command[0])
        if not os.path.exists(command[0]):
            raise CannotRun("the build of the deploy file is missing")
        daemon["process"] = self.run_program(daemon["name"], command, environment)
        self.record(f"started {daemon['name']} at {address}:{daemon['front']}")

    async def is_ready(self, daemon):
        try:
            reader, writer = await asyncio.open_connection(daemon["address"], daemon["ready"])
            writer.write(b"GET /ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n")
            answer = await asyncio.wait_for(reader.read(), 1)
            writer.close()
            return answer.startswith(b"HTTP/1.1 200")
        except (OSError, asyncio.TimeoutError):
            return False

    async def wait_until_ready(self, daemon, limit=15):
        end = time.monotonic() + limit
        while time.monotonic() < end:
            if await self.is_ready(daemon):
                self.record(f"{daemon['name']} says that it is ready")
                return
            await asyncio.sleep(0.1)
        raise CannotRun(f"{daemon['name']} doesn't get ready")

    async def start_system(self, count, **options):
        self.plan_daemons(count, **options)
        for daemon in self.daemons:
            self.start_daemon(daemon, True)
        for daemon in self.daemons:
            await self.wait_until_ready(daemon)

    # The end.

    def close(self):
        for task in self.tasks:
            task.cancel()
        for process in self.processes:
            if process.poll() is None:
                try:
                    process.send_signal(signal.SIGCONT)
                except OSError:
                    pass
                process.kill()
            process.wait()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.temporary, keep, dirs_exist_ok=True)
        shutil.rmtree(self.temporary, ignore_errors=True)


def run(folder, play):
    """Plays the case; returns its exit code."""
    case = Case(folder)
    case.record(f"TROUBLE={int(TROUBLE)}")

    def stop(*_):
        case.record("couldn't run: stopped from outside")
        case.close()
        os._exit(2)
    signal.signal(signal.SIGTERM, stop)
    signal.signal(signal.SIGINT, stop)

    async def main():
        try:
            await asyncio.wait_for(play(case), 110)
        finally:
            case.close()
    try:
        asyncio.run(main())
    except CannotRun as error:
        case.record(f"couldn't run: {error}")
        return 2
    except Exception as error:  # The case itself failed, so nothing is known of the rule.
        case.record(f"couldn't run: {error!r}")
        import traceback
        traceback.print_exc(file=case.record_file)
        return 2
    case.record("result: " + ("broken: " + ", ".join(sorted(set(case.broken))) if case.broken else "held"))
    return 1 if case.broken else 0


def reset(writer):
    raw = writer.get_extra_info("socket")
    if raw is not None and raw.fileno() >= 0:
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.close()


async def read_message(reader):
    """Reads a head and its body; returns (first line, lower-case fields, body)."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head[:-4].split("\r\n")
    fields = {name.lower(): value.strip() for name, _, value in (line.partition(":") for line in lines)}
    body = b""
    if "chunked" in fields.get("transfer-encoding", ""):
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            body += (await reader.readexactly(size + 2))[:-2]
            if size == 0:
                break
    elif "content-length" in fields:
        body = await reader.readexactly(int(fields["content-length"]))
    return first, fields, body


class Server:
    """A backend: registers itself, has slots and a queue, runs requests and answers its health path."""

    def __init__(self, case, name, service, zone="pos-hall", work_s=0.16, slots=2, queue=4, version="v1",
            tells_load=True):
        self.case, self.name, self.service, self.zone = case, name, service, zone
        self.work_s, self.slots, self.queue, self.version, self.tells_load = work_s, slots, queue, version, tells_load
        self.born = int(time.time() * 1000)
        self.state = "ready"
        self.sequence = 0
        self.running = 0
        self.waiting = 0
        self.runs = []  # Ids in the order in which the work on them began.
        self.slot_free = asyncio.Semaphore(slots)
        self.writers = set()
        self.listener = None

    async def start(self, port=0):
        self.listener = await asyncio.start_server(self.serve, "127.0.2.1", port)
        self.port = self.listener.sockets[0].getsockname()[1]
        await self.register()
        self.beating = self.case.spawn(self.beat())

    async def register(self):
        self.sequence += 1
        await self.case.put_row("servers", self.name, {"service": self.service, "addr": f"127.0.2.1:{self.port}",
            "zone": self.zone, "version": self.version, "slots": self.slots, "state": self.state, "cold-left-s": 0,
            "sequence": self.sequence, "born": self.born})

    async def beat(self):
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            try:
                await self.register()
            except (OSError, CannotRun, asyncio.TimeoutError):
                pass

    def load_field(self):
        if not self.tells_load:
            return ""
        return f"X-Comfreysail-Backend-Load: {self.running},{self.waiting},{self.slots},100\r\n"

    def answer(self, request_id, status, body, fields="", signed=True):
        proof = f"X-Comfreysail-Backend-Signature: {self.name}.{request_id}\r\n" if signed else ""
        return (f"HTTP/1.1 {status}\r\nX-Comfreysail-Request-Id: {request_id}\r\n{proof}{self.load_field()}{fields}"
            f"Content-Length: {len(body)}\r\n\r\n").encode() + body

    def body_for(self, request_id):
        return f"{self.name} ran {request_id} ".encode() + b"x" * 1500

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                first, fields, body = await read_message(reader)
                await self.handle(writer, first, fields, body)
        except (OSError, asyncio.IncompleteReadError, ValueError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def send(self, writer, data):
        writer.write(data)

    async def handle(self, writer, first, fields, body):
        method, target, _ = first.split(" ")
        if target == "/health":
            status = "200 OK" if self.state == "ready" else "503 Service Unavailable"
            self.send(writer, f"HTTP/1.1 {status}\r\nX-Comfreysail-Instance-Id: {self.name}\r\n{self.load_field()}"
                "Content-Length: 0\r\n\r\n".encode())
            await writer.drain()
            return
        request_id = fields.get("x-comfreysail-request-id", "")
        if fields.get("x-comfreysail-expect-instance", self.name) != self.name:
            self.case.record(f"{self.name}: 421 to {request_id}")
            self.send(writer, f"HTTP/1.1 421 Misdirected Request\r\nX-Comfreysail-Instance-Id: {self.name}\r\n"
                f"X-Comfreysail-Request-Id: {request_id}\r\nContent-Length: 0\r\n\r\n".encode())
            return
        await self.take(writer, method, target, fields, body, request_id)

    async def take(self, writer, method, target, fields, body, request_id):
        self.case.record(f"{self.name}: got {method} {target} {request_id} on port {writer.get_extra_info('peername')[1]}")
        if self.running + self.waiting >= self.slots + self.queue:
            self.refuse(writer, request_id)
            return
        await self.run_request(writer, target, request_id)

    def refuse(self, writer, request_id, fields=""):
        self.case.record(f"{self.name}: refused {request_id} with 503, not executed {fields.strip()}")
        self.send(writer, self.answer(request_id, "503 Service Unavailable", b"", "X-Comfreysail-Not-Executed: 1\r\n" + fields,
            signed=False))

    async def run_request(self, writer, target, request_id):
        self.waiting += 1
        async with self.slot_free:
            self.waiting -= 1
            self.running += 1
            self.runs.append(request_id)
            self.case.record(f"{self.name}: began to run {request_id}")
            try:
                await asyncio.sleep(self.work_s)
            finally:
                self.running -= 1
        self.case.record(f"{self.name}: ran {request_id} to its end")
        self.send(writer, self.answer(request_id, "200 OK", self.body_for(request_id)))
        await writer.drain()

    def stop(self):
        """The process ends: its port refuses and its connections are reset."""
        self.beating.cancel()
        self.listener.close()
        for writer in list(self.writers):
            reset(writer)


def new_id():
    return f"{random.getrandbits(64):016x}"


async def request(case, daemon, method, path, request_id=None, deadline_ms=3000, body=b"", fields="", connection=None):
    """One consumer attempt; returns (status, fields, body), or (None, reason, b"") without a complete answer."""
    request_id = request_id or new_id()
    case.record(f"consumer: sent {method} {path} {request_id} to {daemon['name']}")
    length = f"Content-Length: {len(body)}\r\n" if method != "GET" else ""
    try:
        reader, writer = connection or await asyncio.open_connection(daemon["address"], daemon["front"])
        writer.write(f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Comfreysail-Request-Id: {request_id}\r\n"
            f"X-Comfreysail-Deadline-Ms: {deadline_ms}\r\n{length}{fields}\r\n".encode() + body)
        first, answer_fields, answer_body = await asyncio.wait_for(read_message(reader), deadline_ms / 1000 + 0.5)
        if not connection:
            writer.close()
        status = int(first.split()[1])
        case.record(f"consumer: got {status} for {request_id} ({len(answer_body)} bytes, "
            f"retry-after {answer_fields.get('retry-after')}, proof {answer_fields.get('x-comfreysail-backend-signature')})")
        return status, answer_fields, answer_body
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError) as error:
        case.record(f"consumer: no complete answer to {request_id}: {type(error).__name__}")
        return None, type(error).__name__, b""


def route(name, prefix, service, kind, timeout_s=1.5, latency_s=0.4, attempts=2, priority=1):
    return {"name": name, "host": HOST, "prefix": prefix, "kind": kind, "timeout-s": timeout_s,
        "target-latency-s": latency_s, "priority": priority, "service": service, "max-attempts": attempts}


def service(name):
    return {"name": name, "health-path": "/health", "max-conns": 220, "protocol": "h1", "tls": False,
        "cold-start-s": 3.0, "cold-per-s": 4.8}
