"""A new order for a service, given while the backends of the rolled-back version have not left yet."""
import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib-2"))
from standins import BOUNDS, TROUBLE, Backend, Client, Cluster, config, finish, now, route, service

FOLDER = os.path.dirname(os.path.abspath(__file__))
RATE = 100           # requests a second
ORDER_S = 16.0       # duration-s of both orders
BACKENDS = 8         # of each version
LEAVES_AFTER_S = 5.0  # "At rolled_back, the new backends drain some seconds later."


async def main():
    cluster = Cluster(FOLDER)
    record, store = cluster.record, cluster.store
    client = Client(record)
    arrivals = []  # (time at which the client sent the request, version that it reached)

    def note(backend, request, head):
        arrivals.append((client.sent_at[request], backend.version))

    failures = []
    ran = []

    def bad(head, body):
        ran.append(now())
        if len(ran) % 2 == 0:  # a share of 0.5
            failures.append(now())
            return 500, b"failed", 0.02
        return 200, b"ok", 0.02

    def good(head, body):
        return 200, b"ok", 0.02

    async def fleet(version, work):
        started = []
        for i in range(BACKENDS):
            backend = Backend(store, record, f"i-{version}-{i}", "orders", version=version, work=work)
            backend.on_arrival = note
            started.append(await backend.start())
        return started

    old = await fleet("v1", good)
    await cluster.start(config(7, [route("r-submit", "/submit/", "unsafe", "orders"),
                                   route("r-status", "/status/", "safe", "orders")], [service("orders")]))
    tasks = []

    async def traffic():
        n = 0
        while True:
            n += 1
            kind = ("POST", "/submit/", b"order") if n % 4 == 0 else ("GET", "/status/", b"")
            tasks.append(asyncio.create_task(
                client.send(cluster.daemons[n % 3], kind[0], kind[1] + str(n), 1200, kind[2])))
            await asyncio.sleep(1 / RATE)

    load = asyncio.create_task(traffic())
    await asyncio.sleep(2)
    if TROUBLE:
        ack = old[0].drain()
        record.say(f"scale_in: {old[0].name} of v1 drains, acknowledged at {ack:.3f}")

        async def leave():
            await asyncio.sleep(4)
            await old[0].stop()
        tasks.append(asyncio.create_task(leave()))
    await asyncio.sleep(2)
    new = await fleet("v2", bad)
    ordered = store.put("op", "rollout/orders", {"service": "orders", "to": "v2", "duration-s": ORDER_S})
    record.say(f"order: v2 (bad), acknowledged at {ordered:.3f}")
    while (store.value("status", "rollout/orders") or {}).get("state") != "rolled_back":
        if now() > ordered + 12:
            record.say("v2 was not rolled back in 12 s")
            cluster.stop()
            os._exit(2)
        await asyncio.sleep(0.05)
    rolled_back = now()
    record.say(f"v2 is rolled back; bad answers so far: {len(failures)}")

    async def v2_leaves():
        await asyncio.sleep(LEAVES_AFTER_S)
        for backend in new:
            backend.drain()
        record.say("the backends of v2 drain")
        await asyncio.sleep(4)
        for backend in new:
            await backend.stop()
    tasks.append(asyncio.create_task(v2_leaves()))
    await asyncio.sleep(1)
    await fleet("v3", good)
    again = store.put("op", "rollout/orders", {"service": "orders", "to": "v3", "duration-s": ORDER_S})
    record.say(f"order: v3 (good), acknowledged at {again:.3f}")
    await asyncio.sleep(max(0.0, ordered + ORDER_S + 0.5 - now()))
    load.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)

    end = ordered + ORDER_S
    within = [version for at, version in arrivals if ordered <= at <= end]
    got = within.count("v2")
    allowed = BOUNDS["expose-share"] * len(within) + BOUNDS["expose-slack"]
    late = 0
    if len(failures) >= 50:
        late = sum(1 for at, version in arrivals if version == "v2" and at > failures[49] + BOUNDS["rollback-s"])
    after = sum(1 for at, version in arrivals if version == "v2" and at > rolled_back + 1)
    finish(cluster, got > allowed or late > 0,
           f"EXPOSURE: of {len(within)} requests that reached orders between the order of v2 and its time limit, v2 got "
           f"{got} (allowed {allowed:.0f}), {after} of them later than 1 s after it was rolled back; bad answers "
           f"{len(failures)}; requests later than rollback-s after the 50th: {late}")


asyncio.run(main())
