"""A lookup that many consumers send is in flight at three unrelated crashes of backends, and then all daemons are
killed. The rule: of the requests sent later than recover-s after the machines are back, a quarter is served."""

import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))
import standins
from standins import TROUBLE

HOST = "desk.example"
ROUTES = [standins.route("lookup", HOST, "/plots/", "safe", "caretaker-desk"),
          standins.route("booking", HOST, "/bookings/", "unsafe", "caretaker-desk")]
BACKENDS = 8
CRASHES = 3
CRASH_FOR_S = 4.3
DOWN_S = 0.8
RECOVER_S = 15
MEASURED_S = 10
RATE = 40
LOOKUP_SHARE = 0.85


async def play(system):
    backends = [standins.Backend(system.store, system.record, f"i-{number}", "caretaker-desk",
                                 system.ZONES[number % 3], 0.09) for number in range(BACKENDS)]
    await system.start(4, ROUTES, backends)
    answers, pending = [], set()

    async def send():
        if system.random.random() < LOOKUP_SHARE:
            answers.append(await system.request("GET", "/plots/today", HOST))
        else:
            answers.append(await system.request("POST", f"/bookings/{system.ids}", HOST, body=b"b" * 600))

    async def traffic():
        while True:
            task = asyncio.create_task(send())
            pending.add(task)
            task.add_done_callback(pending.discard)
            await asyncio.sleep(system.random.expovariate(RATE))

    load = asyncio.create_task(traffic())
    system.tasks.append(load)
    await asyncio.sleep(5)
    for backend in backends[:CRASHES]:
        if TROUBLE:
            # The lookup is in flight at the backend that crashes.
            await system.until(lambda: backend.running and backend.runs[-1][2] == "/plots/today", 10, "a lookup runs")
            system.record.note("crash", backend=backend.name)
            backend.stop()
            await asyncio.sleep(CRASH_FOR_S)
            await backend.start(is_cold=True)
        await asyncio.sleep(3)
    # The final fault follows the ack of a manifest.
    system.store.put_json("op", "config", standins.manifest(2, ROUTES))
    killed_at = time.monotonic()
    if TROUBLE:
        system.record.note("kill_all")
        for daemon in system.daemons:
            daemon.kill()
        await asyncio.sleep(DOWN_S)
        for daemon in system.daemons:
            daemon.start()
    back_at = time.monotonic()
    await asyncio.sleep(RECOVER_S + MEASURED_S)
    load.cancel()
    await asyncio.gather(*pending)

    def share(chosen):
        return sum(answer.status == 200 for answer in chosen) / max(1, len(chosen)), len(chosen)

    before, sent_before = share([answer for answer in answers if answer.ended_at < killed_at])
    late = [answer for answer in answers if answer.sent_at > back_at + RECOVER_S]
    after, sent_after = share(late)
    reasons = sorted({answer.fields.get("comfreysail-error", str(answer.status)) for answer in late if answer.status != 200})
    system.record.say(f"served before the final fault: {before:.3f} of {sent_before}")
    system.record.say(f"served later than {RECOVER_S} s after it: {after:.3f} of {sent_after}, other answers: {reasons}")
    return not (before >= 0.25 and after < 0.25)


standins.main(__file__, play)
