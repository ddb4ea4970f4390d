"""A request crashes each backend that runs it, after the backend has begun to send its answer."""
import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib-2"))
from standins import BOUNDS, TROUBLE, Backend, Client, Cluster, config, finish, now, route, service

FOLDER = os.path.dirname(os.path.abspath(__file__))
RATE = 40          # other requests a second, half of them orders
BACKENDS = 8
POISON = "/status/poison"
POISON_EVERY_S = 1.5
BACK_AFTER_S = 3.0  # "the backend is back after some seconds"
BEGINS = os.environ.get("BEGINS", "1") != "0"  # BEGINS=0, for comparison: the backends crash before they answer


async def main():
    cluster = Cluster(FOLDER)
    record, store = cluster.record, cluster.store
    client = Client(record)
    tasks = []
    crashes = []        # times
    reached = {}        # id of a try of the poison: when it was sent
    poison_ids = set()
    results = []

    def note(backend, request, head):
        if POISON in head.first and backend.state == "ready":
            reached[request] = client.sent_at[request]

    async def crash(backend):
        """The process ends; its connections are closed by its system. It starts again with the same id."""
        record.say(f"{backend.name} crashes")
        crashes.append(now())
        await backend.stop(crash=True)
        await asyncio.sleep(BACK_AFTER_S)
        backend.state = "ready"
        backend.born = int(time.time() * 1000)
        backend.running = backend.waiting = 0
        backend.slot = asyncio.Semaphore(backend.slots)
        backend.tasks = []
        await backend.start()
        record.say(f"{backend.name} is back")

    def crash_while_answering(backend, request, data, writer):
        if not TROUBLE or request not in poison_ids:
            return data
        if BEGINS:
            writer.write(data[:-10])

        async def soon():
            await asyncio.sleep(0.02)
            if backend.state == "ready":
                await crash(backend)
        tasks.append(asyncio.create_task(soon()))
        return b""

    for i in range(BACKENDS):
        backend = Backend(store, record, f"i-{i}", "orders", slots=4,
                          work=lambda head, body: (200, b"an answer of some length", 0.1))
        backend.on_arrival = note
        backend.answer_hook = crash_while_answering
        await backend.start()
    await cluster.start(config(7, [route("r-submit", "/submit/", "unsafe", "orders"),
                                   route("r-status", "/status/", "safe", "orders")], [service("orders")]))

    async def one(n):
        kind = ("POST", "/submit/", b"order") if n % 2 == 0 else ("GET", "/status/", b"")
        results.append((kind[1], await client.send(cluster.daemons[n % 3], kind[0], kind[1] + str(n), 1200, kind[2])))

    async def traffic():
        n = 0
        while True:
            n += 1
            tasks.append(asyncio.create_task(one(n)))
            await asyncio.sleep(1 / RATE)

    load = asyncio.create_task(traffic())
    await asyncio.sleep(2)
    end = now() + 30
    n = 0
    while now() < end:
        n += 1
        poison_ids.add(f"{client.count + 1:012x}")
        tasks.append(asyncio.create_task(client.send(cluster.daemons[n % 3], "GET", POISON, 1200)))
        await asyncio.sleep(POISON_EVERY_S)
    load.cancel()
    await asyncio.sleep(2)
    third = sorted(crashes)[2] if len(crashes) > 2 else None
    late = [sent for sent in reached.values() if third and sent > third + BOUNDS["contact-s"]]
    failed = [path for path, (_, result) in results if not result.startswith("200")]
    finish(cluster, len(late) > 3,
           f"BUDGET: {n} tries of the request that crashes backends, {len(crashes)} crashes; tries sent later than "
           f"contact-s after the third crash that reached backends: {len(late)} (allowed 3); other requests without "
           f"success: {len(failed)} of {len(results)}, of them orders: {sum(1 for path in failed if path == '/submit/')}")


asyncio.run(main())
