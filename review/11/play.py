"""A burst of orders at servers that turn requests away with 503 and Retry-After; some of these answers come twice."""

import asyncio
import os
import random
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "harness-3"))
import harness  # noqa: E402

SECONDS = 95
ORDERS_PER_S = 14.5 * 1.7  # The site's orders, in a burst.
RETRY_AFTER = "0.02"
# The site's dose of garble, how = "extra late": 0.03 of the answers of 0.6 of the servers, here of the only one.
EXTRA_SHARE = 0.03


class Server(harness.Server):
    """Turns requests away with Retry-After while its slots and its queue are full."""

    def __init__(self, *arguments, garbles=False, **options):
        super().__init__(*arguments, **options)
        self.garbles = garbles
        self.late = {}  # By connection: a second copy of an earlier answer, due where the next answer is expected.

    def send(self, writer, data):
        writer.write(data)
        if self.garbles and random.random() < EXTRA_SHARE:
            self.late[writer] = data

    async def take(self, writer, method, target, fields, body, request_id):
        copy = self.late.pop(writer, None)
        if copy:
            status = copy.split(b"\r\n")[0].decode()
            self.case.record(f"{self.name}: second copy of an earlier answer, {status}")
            writer.write(copy)
        await super().take(writer, method, target, fields, body, request_id)

    def refuse(self, writer, request_id, fields=""):
        super().refuse(writer, request_id, f"Retry-After: {RETRY_AFTER}\r\n")


async def play(case):
    await case.start_platform()
    await case.write_config([harness.route("order-submit", "/pufi791/", "orders", "unsafe", timeout_s=4.0,
        latency_s=0.6)], [harness.service("orders")])
    servers = [Server(case, "i-0", "orders", tells_load=False, garbles=harness.TROUBLE)]
    for server in servers:
        await server.start()
    await case.start_system(4)
    answers = {}

    async def order():
        request_id = harness.new_id()
        answers[request_id] = await harness.request(case, random.choice(case.daemons), "POST",
            "/pufi791/" + request_id[:3], request_id, deadline_ms=8000, body=b"o" * 1200)

    end = case.now() + SECONDS
    orders = []
    while case.now() < end:
        orders.append(asyncio.ensure_future(order()))
        await asyncio.sleep(random.expovariate(ORDERS_PER_S))
    await asyncio.gather(*orders)
    await asyncio.sleep(2)
    runs = {}
    for server in servers:
        for request_id in server.runs:
            runs[request_id] = runs.get(request_id, 0) + 1
    for request_id, count in runs.items():
        if count > 1:
            case.breaks("TWICE", f"{request_id} ran {count} times")
        if answers[request_id][0] in (408, 421, 429, 503):
            case.breaks("REFUSED", f"{request_id} was answered {answers[request_id][0]} and ran")
    statuses = {}
    for status, _, _ in answers.values():
        statuses[status] = statuses.get(status, 0) + 1
    case.record(f"{len(answers)} orders, {len(runs)} ran, answers {statuses}")


sys.exit(harness.run(FOLDER, play))
