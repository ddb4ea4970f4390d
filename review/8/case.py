"""A daemon is stopped while a client still reads a download; the client sends a further request on that connection."""
import asyncio
import os
import signal
import socket
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib-2"))
from standins import TROUBLE, Backend, Cluster, config, finish, now, read_head, request, route, service

FOLDER = os.path.dirname(os.path.abspath(__file__))
SIZE = 540_000  # the largest download on jtsu-gateway-grown
TIME_LIMIT_MS = 6000  # of downloads there
READ_RATE = 120_000  # bytes a second
NEXT_AT = 3.4  # s after its first request, when the client sends its next request
STOP_AT = 0.8  # s after the first requests
CLIENTS = 8


async def main():
    cluster = Cluster(FOLDER)
    record, store = cluster.record, cluster.store
    gets = {}

    def note(backend, request_id, head):
        gets[request_id] = now()

    for i in range(4):
        backend = Backend(store, record, f"i-gallery-{i}", "gallery", slots=8,
                          work=lambda head, body: (200, b"x" * SIZE, 0.05))
        backend.on_arrival = note
        await backend.start()
    await cluster.start(config(7, [route("r-photo", "/photo/", "download", "gallery", timeout_s=6, aim_s=1)],
                               [service("gallery")]))
    daemon = cluster.daemons[0]
    results = {}

    async def client(n):
        first, second = f"{n:06x}1", f"{n:06x}2"
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 16384)
        sock.setblocking(False)
        loop = asyncio.get_running_loop()
        await loop.sock_connect(sock, ("127.0.0.1", daemon.ports["front"]))
        record.note(f"client sends {first}")
        start = now()
        await loop.sock_sendall(sock, request("GET", f"/photo/{n}", first, TIME_LIMIT_MS))
        data = b""
        has_sent = False
        error = "end of the connection"
        head_end = -1
        try:
            while True:
                part = await asyncio.wait_for(loop.sock_recv(sock, 4096), 8)
                if not part:
                    break
                data += part
                if head_end < 0:
                    head_end = data.find(b"\r\n\r\n") + 4
                if head_end > 3 and len(data) - head_end >= SIZE:
                    error = "complete"
                    break
                if not has_sent and now() - start >= NEXT_AT:
                    has_sent = True
                    record.note(f"client sends {second} behind {first}")
                    await loop.sock_sendall(sock, request("GET", f"/photo/{n}b", second, 6000))
                await asyncio.sleep(max(0, len(data) / READ_RATE - (now() - start)))
        except (OSError, asyncio.TimeoutError) as caught:
            error = type(caught).__name__
        sock.close()
        results[first] = error == "complete"
        says_close = b"connection: close" in data[:max(head_end, 0)].lower()
        record.say(f"client: {first} after {now() - start:.2f} s: {max(len(data) - head_end, 0)} of {SIZE} bytes, {error}; "
                   f"the answer {'had' if says_close else 'had no'} Connection: close")

    tasks = [asyncio.create_task(client(n)) for n in range(CLIENTS)]
    await asyncio.sleep(STOP_AT)
    if TROUBLE:
        daemon.may_end = True
        daemon.signal(signal.SIGTERM)
        record.say(f"SIGTERM to {daemon.name}")
    await asyncio.gather(*tasks, return_exceptions=True)
    lost = [request_id for request_id, is_whole in results.items() if not is_whole and request_id in gets]
    finish(cluster, bool(lost), f"LOST: downloads that a backend has run and that ended early: {len(lost)}")


asyncio.run(main())
