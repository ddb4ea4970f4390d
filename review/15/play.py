"""A request that crashes each server that runs it comes again and again, on a route that is split over three services."""

import asyncio
import os
import random
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "harness-3"))
import harness  # noqa: E402

SERVICES = ("archivo", "catalogo", "caja")
SERVERS_PER_SERVICE = 5
ATTEMPTS = 22
# The consumer comes again later than contact-s, so that every machine can know of the last crash.
PAUSE_S = 3.6
BACK_AFTER_S = 4.5
OTHERS_PER_S = 30.0
POISON = "/ficha7/poison"


class Server(harness.Server):
    crashes = []  # Times at which a server crashed.

    async def take(self, writer, method, target, fields, body, request_id):
        if target != POISON or not harness.TROUBLE:
            await super().take(writer, method, target, fields, body, request_id)
            return
        self.case.record(f"{self.name}: began to run {request_id} and crashed with {self.running} other requests")
        self.runs.append(request_id)
        Server.crashes.append(self.case.now())
        self.stop()
        self.case.spawn(self.come_back())

    async def come_back(self):
        await asyncio.sleep(BACK_AFTER_S)
        await self.case.delete_row("servers", self.name)
        successor = Server(self.case, f"{self.name}x", self.service, self.zone, work_s=self.work_s, slots=self.slots)
        self.all.append(successor)
        successor.all = self.all
        await successor.start(self.port)


async def play(case):
    await case.start_platform()
    split = {"name": "ficha", "host": harness.HOST, "prefix": "/ficha7/", "kind": "safe", "timeout-s": 1.2,
        "target-latency-s": 0.2, "priority": 1, "max-attempts": 2,
        "split": [{"service": name, "weight": 1} for name in SERVICES]}
    orders = {**split, "name": "licencia", "prefix": "/licencia9/", "kind": "unsafe"}
    await case.write_config([split, orders], [harness.service(name) for name in SERVICES])
    zones = ("pos-hall", "arima", "chaguanas", "tunapuna")
    servers = [Server(case, f"i-{name}-{index}", name, zones[index % 4], work_s=0.15, slots=3)
        for name in SERVICES for index in range(SERVERS_PER_SERVICE)]
    for server in list(servers):
        server.all = servers
        await server.start()
    await case.start_system(4)
    answers = {}

    async def others():
        tasks = []
        while True:
            async def one():
                request_id = harness.new_id()
                answers[request_id] = await harness.request(case, random.choice(case.daemons), "POST",
                    f"/licencia9/{request_id}", request_id, deadline_ms=3000, body=b"order")
            tasks.append(asyncio.ensure_future(one()))
            await asyncio.sleep(1 / OTHERS_PER_S)

    case.spawn(others())
    attempts = {}
    for number in range(ATTEMPTS):
        request_id = harness.new_id()
        attempts[request_id] = case.now()
        await harness.request(case, case.daemons[number % 4], "GET", POISON, request_id, deadline_ms=1500)
        await asyncio.sleep(PAUSE_S)
    if not harness.TROUBLE:
        return
    crashes = Server.crashes
    ran = {request_id for server in servers for request_id in server.runs if request_id in attempts}
    third = crashes[2] if len(crashes) > 2 else None
    late = [request_id for request_id in ran if third and attempts[request_id] > third + harness.CONTACT_S]
    failed = sum(1 for status, _, _ in answers.values() if status is None or status in (502, 504))
    case.record(f"{len(crashes)} servers crashed; the third at {third}; {len(late)} retries reached servers later than "
        f"contact-s after it; {failed} of {len(answers)} orders of others were lost")
    if len(late) > 3:
        case.breaks("BUDGET", f"the request reached servers in {len(late)} retries later than contact-s after it had crashed "
            f"the third; it crashed {len(crashes)}")


sys.exit(harness.run(FOLDER, play))
