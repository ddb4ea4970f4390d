"""A backend's heartbeat that the store performs late overtakes the same backend's report that it is draining."""
import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib-2"))
from standins import BOUNDS, TROUBLE, Backend, Client, Cluster, config, finish, now, route, service

FOLDER = os.path.dirname(os.path.abspath(__file__))
RATE = 200
BACKENDS = 8
LOST_FOR_S = 4.5   # platform_lost on jtsu-gateway
HEARTBEAT_S = 1.5
LATE_S = 5.2       # "done 1 to 6 s later"
SERVES_ON_S = 2.9  # "drain-s after the store has accepted that report and a little longer"


async def main():
    cluster = Cluster(FOLDER)
    record, store = cluster.record, cluster.store
    client = Client(record)
    arrivals = []
    results = []
    tasks = []

    def note(backend, request, head):
        arrivals.append((client.sent_at[request], now(), backend.name, request))

    backends = []
    for i in range(BACKENDS):
        backend = Backend(store, record, f"i-{i}", "orders", slots=8, tells_load=False, work=lambda head, body: (200, b"ok", 0.2))
        backend.on_arrival = note
        backends.append(await backend.start())
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
    await asyncio.sleep(1)
    # From here on the heartbeats of this backend are written by the case, at the same interval.
    leaving = backends[0]
    leaving.tasks[0].cancel()
    leaving.beat()
    begin = now()
    record.say(f"the store loses answers of writes for {LOST_FOR_S} s" if TROUBLE else "calm")

    async def heartbeats():
        """The beat at 4.4 s is one of those whose write gets no answer; the store performs it late."""
        for at in (1.4, 2.9, 4.4, 5.9, 7.4, 8.9, 10.4, 11.9):
            await asyncio.sleep(begin + at - now())
            if leaving.state == "stopped":
                return
            if at == 4.4 and TROUBLE:
                entry = leaving.entry()
                record.say(f"{leaving.name}: heartbeat {entry['sequence']} ({entry['state']}) gets no answer")

                async def late():
                    await asyncio.sleep(LATE_S)
                    store.put("servers", leaving.name, entry)
                    record.say(f"{leaving.name}: heartbeat {entry['sequence']} ({entry['state']}) is performed now")
                tasks.append(asyncio.create_task(late()))
            else:
                leaving.beat()
                record.note(f"{leaving.name}: heartbeat {leaving.sequence} ({leaving.state})")
    tasks.append(asyncio.create_task(heartbeats()))
    # The store is stable again contact-s after the disturbance.
    await asyncio.sleep(begin + LOST_FOR_S + BOUNDS["contact-s"] + 0.05 - now())
    ack = leaving.drain()
    record.say(f"{leaving.name} reports draining with sequence {leaving.sequence}, acknowledged at {ack:.3f}")
    await asyncio.sleep(SERVES_ON_S)
    await leaving.stop()
    record.say(f"{leaving.name} ends")
    await asyncio.sleep(2)
    load.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    late = [(sent, request) for sent, at, name, request in arrivals
            if name == leaving.name and at > ack + BOUNDS["drain-s"]]
    failed = [path for path, (_, result) in results if not result.startswith("200")]
    finish(cluster, bool(late),
           f"DRAIN: requests that reached {leaving.name} later than drain-s after the ack: {len(late)}, sent "
           f"{min(late, default=(ack,))[0] - ack:.2f} to {max(late, default=(ack,))[0] - ack:.2f} s after it; requests "
           f"without success: {len(failed)}, of them orders: {sum(1 for path in failed if path == '/submit/')}")


asyncio.run(main())
