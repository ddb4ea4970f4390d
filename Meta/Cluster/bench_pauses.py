"""Measures what callers get from a target that refuses part of its orders once, with Retry-After.

Real daemons and a real store; the target and the callers are played here. Prints one line for each stated time."""

import argparse
import asyncio
import os
import random
import sys
import time

import cluster

HOST = "orders.test"
ZONE = "pos-hall"
# A request that was on its way when the target asked for a pause may still arrive this long afterwards.
PAUSE_SLACK = 0.5
# Time that a caller takes beyond its deadline to see the response.
LATE_SLACK = 0.05


def parse():
    parser = argparse.ArgumentParser(prog="Meta/bench-pauses.sh", description=__doc__)
    parser.add_argument("--retry-after", type=float, nargs="+", default=[0.01, 0.05, 0.2, 1.0], help="stated times, in seconds")
    parser.add_argument("--daemons", type=int, default=2)
    parser.add_argument("--targets", type=int, default=1)
    parser.add_argument("--slots", type=int, default=6)
    parser.add_argument("--load", action=argparse.BooleanOptionalAction, default=True, help="the targets report their load")
    parser.add_argument("--work-ms", type=float, default=20)
    parser.add_argument("--rate", type=float, default=40, help="orders per second, at random times")
    parser.add_argument("--refused-share", type=float, default=0.1, help="part of the orders that a target refuses once")
    parser.add_argument("--deadline-ms", type=int, default=3000)
    parser.add_argument("--latency-target-ms", type=int, default=400)
    parser.add_argument("--returns", choices=["never", "told", "at-once"], default="never", help="what a refused caller does, twice at most")
    parser.add_argument("--seconds", type=float, default=25)
    parser.add_argument("--seed", type=int, default=1)
    return parser.parse_args()


class Response:
    def __init__(self, status=0, fields=None):
        self.status = status
        self.fields = fields or {}


async def read_head(reader):
    """Returns the first line and the fields of a message, with lower-case names."""
    text = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = text.rstrip("\r\n").split("\r\n")
    return first, {name.strip().lower(): value.strip() for name, _, value in (line.partition(":") for line in lines)}


class Target:
    """Runs orders in its slots, queues the others, and refuses some once."""

    def __init__(self, name, options, retry_after, generator):
        self.name = name
        self.options = options
        self.retry_after = retry_after
        self.generator = generator
        self.slots = asyncio.Semaphore(options.slots)
        self.running = 0
        self.waiting = 0
        self.refused = set()
        self.seen = set()
        self.runs = {}
        self.pauses = {}  # (start, end) of the last pause, by daemon.
        self.early = 0  # Orders that arrived inside a pause.

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    async def serve(self, reader, writer):
        try:
            while True:
                first, fields = await read_head(reader)
                await reader.readexactly(int(fields.get("content-length", 0)))
                if first.startswith("GET /health "):
                    self.respond(writer, 200, f"X-Comfreysail-Instance-Id: {self.name}\r\n")
                else:
                    await self.take(writer, fields)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    def respond(self, writer, status, fields, body=b""):
        load = f"X-Comfreysail-Backend-Load: {self.running},{self.waiting},{self.options.slots},100\r\n"
        if not self.options.load:
            load = ""
        writer.write(f"HTTP/1.1 {status} X\r\n{fields}{load}Content-Length: {len(body)}\r\n\r\n".encode() + body)

    async def take(self, writer, fields):
        request_id = fields["x-comfreysail-request-id"]
        daemon = fields["x-daemon"]
        now = time.monotonic()
        start, end = self.pauses.get(daemon, (now, now))
        self.early += start + PAUSE_SLACK < now < end
        id_field = f"X-Comfreysail-Request-Id: {request_id}\r\n"
        is_first = request_id not in self.seen
        self.seen.add(request_id)
        if is_first and self.generator.random() < self.options.refused_share:
            self.refused.add(request_id)
            self.pauses[daemon] = (now, now + self.retry_after)
            self.respond(writer, 503, f"{id_field}X-Comfreysail-Not-Executed: 1\r\nRetry-After: {self.retry_after}\r\n")
            return
        self.waiting += 1
        async with self.slots:
            self.waiting -= 1
            self.running += 1
            await asyncio.sleep(self.options.work_ms / 1000)
            self.running -= 1
        self.runs[request_id] = self.runs.get(request_id, 0) + 1
        self.respond(writer, 200, f"{id_field}X-Comfreysail-Backend-Signature: s\r\n", b"done")


class Play:
    """One run with one stated time."""

    def __init__(self, options, retry_after):
        self.options = options
        self.retry_after = retry_after
        self.generator = random.Random(options.seed)
        self.system = cluster.Cluster()
        self.targets = [Target(f"t{index + 1}", options, retry_after, self.generator) for index in range(options.targets)]
        self.ports = []
        self.orders = []  # (status of the last response, seconds from the first send, number of refusals, ids)

    async def write_rows(self, rows):
        puts = [{"table": table, "part": "", "key": key, "value": cluster.encode_value(value)} for table, key, value in rows]
        address = f"127.0.0.1:{self.system.platform_control_port}"
        body = {"precondition": [], "puts": puts, "deletes": []}
        status, text = await asyncio.to_thread(cluster.call, "POST", address, "/rows-tx", body)
        if status != 200:
            raise RuntimeError(f"the store refused a write: {status} {text}")

    async def start(self):
        options = self.options
        control_port = self.system.platform_control_port
        self.system.add(cluster.Program("platform", [os.path.join(cluster.BIN, "FakePlatform"), "--port", str(self.system.platform_port),
            "--control-port", str(control_port)], self.system.folder))
        while (await asyncio.to_thread(cluster.call, "GET", f"127.0.0.1:{control_port}", "/rows-get?table=op"))[0] != 200:
            await asyncio.sleep(0.05)
        route = {"name": "order", "host": HOST, "prefix": "/order/", "kind": "unsafe", "timeout-s": options.deadline_ms / 1000,
                 "target-latency-s": options.latency_target_ms / 1000, "priority": 1, "service": "orders", "max-attempts": 2}
        settings = {"version": 1, "routes": [route], "services": [{"name": "orders", "health-path": "/health", "max-conns": 220}],
                    "limits": {"max-header-bytes": 16384, "max-body-bytes": 1000000}}
        rows = [("op", "config", settings)]
        for target in self.targets:
            await target.start()
            rows.append(("servers", target.name, {"service": "orders", "addr": f"127.0.0.1:{target.port}", "zone": ZONE, "version": "v1",
                "slots": options.slots, "state": "ready", "cold-left-s": 0, "sequence": 1, "born": 1}))
        await self.write_rows(rows)
        ports = cluster.free_ports(3 * options.daemons)
        for index in range(options.daemons):
            self.start_daemon(f"vm-{index + 1}", ports[3 * index : 3 * index + 3], ports[2::3][:3])
        for port in ports[1::3]:
            while (await asyncio.to_thread(cluster.call, "GET", f"127.0.0.1:{port}", "/ready"))[0] != 200:
                await asyncio.sleep(0.05)
        await asyncio.sleep(1)  # The daemons know each other as members.

    def start_daemon(self, name, ports, seeds):
        lines = [f'vm_name = "{name}"', f'availability_zone = "{ZONE}"', 'placement = "ask_targets"', 'memory_mb = "64"']
        sections = (("caller", ports[0]), ("admin", ports[1]), ("platform", self.system.platform_port), ("control", ports[2]))
        for section, port in sections:
            lines += [f"[{section}]", 'address = "127.0.0.1"', f"port = {port}"]
        lines.append("seeds = [" + ", ".join(f'"127.0.0.1:{port}"' for port in seeds) + "]")
        path = os.path.join(self.system.folder, f"{name}.toml")
        with open(path, "w") as file:
            file.write("\n".join(lines) + "\n")
        self.ports.append((name, ports[0]))
        self.system.add(cluster.Program(name, [os.path.join(cluster.BIN, "comfreysaild"), "--settings", path], self.system.folder))

    async def send(self, request_id, milliseconds):
        daemon, port = self.generator.choice(self.ports)
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(f"POST /order/1 HTTP/1.1\r\nHost: {HOST}\r\nX-Comfreysail-Request-Id: {request_id}\r\nX-Daemon: {daemon}\r\n"
                f"X-Comfreysail-Deadline-Ms: {milliseconds}\r\nContent-Length: 5\r\n\r\norder".encode())
            first, fields = await asyncio.wait_for(read_head(reader), milliseconds / 1000 + 2)
            writer.close()
            return Response(int(first.split()[1]), fields)
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
            return Response()

    async def order(self, number):
        begin = time.monotonic()
        end = begin + self.options.deadline_ms / 1000
        refusals = 0
        ids = []
        while True:
            ids.append(f"o{number}-{refusals}")
            response = await self.send(ids[-1], max(1, int((end - time.monotonic()) * 1000)))
            if response.status != 503:
                break
            refusals += 1
            told = float(response.fields.get("retry-after", 0)) if self.options.returns == "told" else 0
            if self.options.returns == "never" or refusals > 2 or time.monotonic() + told > end:
                break
            await asyncio.sleep(told)
        self.orders.append((response.status, time.monotonic() - begin, refusals, ids))

    async def run(self):
        await self.start()
        end = time.monotonic() + self.options.seconds
        tasks = []
        while time.monotonic() < end:
            tasks.append(asyncio.create_task(self.order(len(tasks))))
            await asyncio.sleep(self.generator.expovariate(self.options.rate))
        await asyncio.gather(*tasks)

    def result(self):
        runs = {}
        for target in self.targets:
            for request_id, count in target.runs.items():
                runs[request_id] = runs.get(request_id, 0) + count
        answered = [order for order in self.orders if order[0] == 200]
        deadline = self.options.deadline_ms / 1000
        return {
            "retry_after": self.retry_after,
            "orders": len(self.orders),
            "refused_by_targets": sum(len(target.refused) for target in self.targets),
            "answered_200": len(answered),
            "in_time": sum(order[1] <= self.options.latency_target_ms / 1000 for order in answered),
            "answered_503": sum(order[0] == 503 for order in self.orders),
            "other": sum(order[0] not in (200, 503) for order in self.orders),
            "refusals": sum(order[2] for order in self.orders),
            "longest_ms": round(1000 * max(order[1] for order in self.orders)),
            "early": sum(target.early for target in self.targets),
            "late": sum(order[1] > deadline + LATE_SLACK for order in self.orders),
            "ran_twice": sum(count > 1 for count in runs.values()),
            "refused_and_ran": sum(order[0] == 503 and order[3][-1] in runs for order in self.orders),
        }


async def play(options, retry_after):
    run = Play(options, retry_after)
    try:
        await run.run()
        return run.result()
    finally:
        run.system.stop()


def main():
    options = parse()
    cluster.require_programs()
    print(f"seed={options.seed}", flush=True)
    is_broken = False
    for retry_after in options.retry_after:
        result = asyncio.run(play(options, retry_after))
        print(" ".join(f"{name}={value}" for name, value in result.items()), flush=True)
        is_broken = is_broken or any(result[name] for name in ("early", "late", "ran_twice", "refused_and_ran"))
    return 1 if is_broken else 0


if __name__ == "__main__":
    sys.exit(main())
