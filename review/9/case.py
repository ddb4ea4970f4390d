"""Many users come at once to a service whose backends reset connections when they are full. A lookup on a route that was
added later is refused from then on."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib-3"))
import standins
from standins import now

SERVICE = "caretaker-desk"
ZONES = ("gw-rajkot", "gw-jamnagar", "gw-bhavnagar")
BACKENDS = 6
WORK_S = 0.09
USUAL_PER_S = 110
LATE_EVERY = 20  # One request of so many is on the route that was added later.
BURST = 1.6
BURST_S = 5.0
BURSTS = 3
CALM_S = 6.0
SETTLE_S = 6.0
STEADY_S = 20.0
LATE_PATH = "/today/list"


def manifest(version, has_late_route):
    routes = [
        {"name": "plots", "host": "moss.example", "prefix": "/plots/", "kind": "safe", "timeout-s": 1.2,
         "target-latency-s": 0.25, "priority": 2, "max-attempts": 2, "service": SERVICE}]
    if has_late_route:
        routes.append({**routes[0], "name": "today", "prefix": "/today/"})
    return {
        "version": version, "routes": routes,
        "services": [{"name": SERVICE, "health-path": "/health", "max-conns": 220, "protocol": "h1", "tls": False,
                      "cold-start-s": 3.0, "cold-per-s": 6.3}],
        "limits": {"max-header-bytes": 16384, "max-body-bytes": 67108864, "header-timeout-s": 3, "idle-timeout-s": 15},
    }


def share_served(answers):
    return sum(1 for answer in answers if answer.status == 200) / max(1, len(answers))


async def play(cluster, has_trouble):
    cluster.platform.put("op", "config", manifest(7, False))
    for index in range(BACKENDS):
        backend = await cluster.add_backend(f"desk-{index}", SERVICE, ZONES[index % 3], work_s=WORK_S)
        backend.tells_load = False
        backend.resets_when_full = True
    await cluster.start_machines(ZONES)
    await asyncio.sleep(2)
    cluster.platform.put("op", "config", manifest(9, True))
    await asyncio.sleep(4)
    first = []
    late = []
    tasks = []
    count = 0

    async def one(index):
        is_late = index % LATE_EVERY == 0
        path = LATE_PATH if is_late else f"/plots/{index}"
        machine = cluster.machines[(index + index // LATE_EVERY) % 3]
        (late if is_late else first).append(await cluster.request(machine, "GET", path))

    async def traffic(seconds, per_s):
        nonlocal count
        begin = now()
        sent = 0
        while now() < begin + seconds:
            tasks.append(asyncio.create_task(one(count)))
            count += 1
            sent += 1
            await asyncio.sleep(max(0.0, begin + sent / per_s - now()))

    await traffic(CALM_S, USUAL_PER_S)
    for index in range(BURSTS):
        cluster.record.note("burst" if has_trouble else "no burst")
        await traffic(BURST_S, USUAL_PER_S * (BURST if has_trouble else 1))
        cluster.record.note("usual traffic")
        await traffic(SETTLE_S, USUAL_PER_S)
    steady_at = now()
    await traffic(STEADY_S, USUAL_PER_S)
    await asyncio.gather(*tasks)

    steady_first = [answer for answer in first if answer.sent_at >= steady_at]
    steady_late = [answer for answer in late if answer.sent_at >= steady_at]
    refused = [answer for answer in steady_late if answer.fields and answer.fields.get("comfreysail-error") == "request_quarantined"]
    print(f"all the time: first route {share_served(first):.3f} of {len(first)} served, later route {share_served(late):.3f} of "
          f"{len(late)}; full backends rejected {sum(backend.resets for backend in cluster.backends)}")
    print(f"steady state, {SETTLE_S} s after the last burst: first route {share_served(steady_first):.3f} of {len(steady_first)} "
          f"served, later route {share_served(steady_late):.3f} of {len(steady_late)}; {len(refused)} refused as "
          "request_quarantined")
    if len(steady_late) >= 20 and share_served(steady_late) < 0.25 * share_served(steady_first):
        return [f"CONFIG: the route that was added later is served {share_served(steady_late):.3f}, the first one "
                f"{share_served(steady_first):.3f}"]
    return []


standins.main(play)
