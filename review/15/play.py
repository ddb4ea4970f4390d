"""A heartbeat of a server, whose answer was lost, is performed late, after the server has reported that it leaves."""

import asyncio
import os
import random
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "harness-3"))
import harness  # noqa: E402

# platform_lost, how = "late": 4.5 s, the site's longest time; a write is done 1 to 6 s later.
LOST_S = 4.5
# The server leaves when the store has been without disturbance for contact-s.
LEAVES_AFTER_S = harness.CONTACT_S + 0.05
LATE_S = 5.3
# It serves for drain-s after the acknowledgement and "a little longer (at times many seconds)".
SERVES_S = harness.DRAIN_S + 3.0
ORDERS_PER_S = 40.0


async def play(case):
    await case.start_platform()
    await case.write_config([harness.route("order-submit", "/pufi791/", "orders", "unsafe")], [harness.service("orders")])
    zones = ("pos-hall", "arima", "chaguanas", "tunapuna")
    servers = [harness.Server(case, f"i-{index}", "orders", zones[index % 4], work_s=0.16, tells_load=False)
        for index in range(8)]
    for server in servers:
        await server.start()
    await case.start_system(4)
    answers, sent_at = {}, {}

    async def consume():
        while True:
            async def one():
                request_id = harness.new_id()
                sent_at[request_id] = case.now()
                answers[request_id] = await harness.request(case, random.choice(case.daemons), "POST", "/pufi791/2f", request_id,
                    body=b"order")
            case.spawn(one())
            await asyncio.sleep(1 / ORDERS_PER_S)

    case.spawn(consume())
    await asyncio.sleep(4)
    leaver = servers[0]
    leaver.beating.cancel()
    await leaver.register()
    case.record(f"disruption: the store loses answers of writes for {LOST_S} s" if harness.TROUBLE else "no disruption")
    # Heartbeats go on each 1.5 s. Those that the disturbance doesn't concern are done at once.
    for _ in range(2):
        await asyncio.sleep((LOST_S - 0.05) / 3)
        await leaver.register()
        case.record(f"{leaver.name}: heartbeat {leaver.sequence} (ready) is done")
    await asyncio.sleep((LOST_S - 0.05) / 3)
    # The last heartbeat in that time has no answer, and is done late.
    leaver.sequence += 1
    late = {"service": "orders", "addr": f"127.0.2.1:{leaver.port}", "zone": leaver.zone, "version": "v1", "slots": 2,
        "state": "ready", "cold-left-s": 0, "sequence": leaver.sequence, "born": leaver.born}
    case.record(f"{leaver.name}: heartbeat {leaver.sequence} (ready)" + (" gets no answer" if harness.TROUBLE else " is done"))
    beat_at = case.now()
    if not harness.TROUBLE:
        await case.put_row("servers", leaver.name, late)
    await asyncio.sleep(0.05)
    for _ in range(2):
        await asyncio.sleep(harness.HEARTBEAT_S)
        await leaver.register()
    await asyncio.sleep(max(0, beat_at + 0.05 + LEAVES_AFTER_S - case.now()))
    leaver.state = "draining"
    await leaver.register()
    acknowledged = case.now()
    case.record(f"{leaver.name}: draining, sequence {leaver.sequence}, acknowledged by the store at {acknowledged:.3f}")

    async def beat_while_leaving():
        while True:
            await asyncio.sleep(harness.HEARTBEAT_S)
            await leaver.register()
            case.record(f"{leaver.name}: heartbeat {leaver.sequence} (draining) is done")
    beating = case.spawn(beat_while_leaving())
    await asyncio.sleep(beat_at + LATE_S - case.now())
    if harness.TROUBLE:
        await case.put_row("servers", leaver.name, late)
        case.record(f"disruption: the heartbeat {late['sequence']} (ready) is done now")
    await asyncio.sleep(acknowledged + SERVES_S - case.now())
    late_ids = [request_id for request_id in leaver.got if sent_at[request_id] > acknowledged + harness.DRAIN_S]
    beating.cancel()
    leaver.stop()
    case.record(f"{leaver.name}: ends")
    await asyncio.sleep(3)
    lost = [request_id for request_id in leaver.got if answers.get(request_id, (None,))[0] != 200]
    case.record(f"{len(late_ids)} requests that were sent later than drain-s after the ack reached {leaver.name}; "
        f"{len(lost)} orders that reached it were not answered with success")
    if late_ids:
        case.breaks("DRAIN", f"{len(late_ids)} requests reached {leaver.name} later than drain-s after its leaving was "
            "acknowledged")


class Recorder(harness.Server):
    def __init__(self, *arguments, **options):
        super().__init__(*arguments, **options)
        self.got = []

    async def take(self, writer, method, target, fields, body, request_id):
        self.got.append(request_id)
        await super().take(writer, method, target, fields, body, request_id)


harness.Server = Recorder
sys.exit(harness.run(FOLDER, play))
