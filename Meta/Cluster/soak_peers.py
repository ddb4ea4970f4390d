"""Targets, callers and the links to the store and between daemons, as the soak plays them around the real daemons."""

import asyncio
import json
import random
import socket
import struct
import time

HOST = "orders.test"
READ_LIMIT = 1 << 20
# Time of a request, in seconds.
DEADLINE = 2.0
# Bytes that one send on loopback delivers at once.
MAX_SEGMENT = 8192
# How long a target runs a request, in seconds.
WORK = (0.005, 0.06)
# For how long a target that sheds requests wants none, in seconds.
PAUSE = 1.2
# Departments of the callers; each has a key and a spare one, which a fault withdraws.
DEPARTMENTS = ("d0", "d1", "d2")
SPARE_KEY = "spare-key-"
# Responses to downloads, whose request ids end with "d", are larger than the 1 MiB that a daemon buffers.
MIN_DOWNLOAD = 1200000
# A window of the usage reports, and after its end the time in which it has to be reported (report_due_seconds) with a
# second for the call.
WINDOW = 2
WINDOW_DUE = 11


def department_of(request_id):
    return DEPARTMENTS[sum(request_id.encode()) % len(DEPARTMENTS)]


def close_hard(writer):
    """Resets the connection."""
    raw = writer.get_extra_info("socket")
    if raw is not None and raw.fileno() >= 0:
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.close()


async def read_message(reader):
    """Reads a head and its body. Returns (first line, lower-case fields, body); raises if it is incomplete."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head[:-4].split("\r\n")
    fields = {name.lower(): value.strip() for name, _, value in (line.partition(":") for line in lines)}
    body = b""
    if "chunked" in fields.get("transfer-encoding", ""):
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            body += (await reader.readexactly(size + 2))[:-2]
            if size == 0:
                break
    elif "content-length" in fields:
        body = await reader.readexactly(int(fields["content-length"]))
    elif first.startswith("HTTP/") and first.split()[1] not in ("204", "304"):
        raise ValueError("a response without a length cannot be checked")
    return first, fields, body


def answer_for(request_id, body):
    size = sum(request_id.encode()) % 3000 + (MIN_DOWNLOAD if request_id.endswith("d") else 0)
    return f"answer {request_id} {len(body)} ".encode() + b"x" * size


class SoakTarget:
    """A target that records what it runs. `faults` are the kinds of damage that its answers get in turn, at random."""

    FAULTS = ("slow", "mute", "reset", "truncate", "copy", "late-copy", "foreign", "shed", "endless", "garbage", "drip", "extra")
    # Start of a copy of a refusal. In front of the next response on the connection, both together would be a refusal of a
    # request that ran.
    EXTRA = b"HTTP/1.1 503 Service Unavailable\r\nX-Comfreysail-Not-Executed: 1\r\nX-Cut: "

    def __init__(self, name, journal, generator):
        self.name = name
        self.journal = journal
        self.generator = generator
        self.faults = ()
        self.left_at = None
        self.is_leaving = False
        self.is_stopped = False
        self.limit = None  # Requests a second that it wants from all daemons together.
        self.running = 0
        self.slots = 2
        self.server = None
        self.writers = set()
        self.port = 0

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0, limit=READ_LIMIT)
        self.port = self.server.sockets[0].getsockname()[1]

    async def stop(self):
        self.is_stopped = True
        self.server.close()
        self.drop_connections()

    def drop_connections(self):
        for writer in list(self.writers):
            close_hard(writer)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while await self.serve_one(reader, writer):
                pass
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def fields(self, request_id):
        load = f"X-Comfreysail-Backend-Load: {min(self.running, self.slots)},{max(0, self.running - self.slots)},{self.slots},100\r\n"
        load += f"Server-Limit: {self.limit}\r\n" if self.limit else ""
        leaving = "Server-Leaving: 1\r\n" if self.is_leaving and request_id else ""
        return f"X-Comfreysail-Request-Id: {request_id}\r\n{load}{leaving}" if request_id else load

    async def serve_one(self, reader, writer):
        first, fields, body = await read_message(reader)
        method, path, _ = first.split()
        request_id = fields.get("x-comfreysail-request-id", "")
        if path == "/health":
            if "mute" in self.faults:
                await asyncio.sleep(5)
                return False
            identity = f"X-Comfreysail-Instance-Id: {self.name}\r\n"
            writer.write(f"HTTP/1.1 200 OK\r\n{identity}{self.fields('')}Content-Length: 0\r\n\r\n".encode())
            await writer.drain()
            return True
        self.journal.note_arrival(request_id, self)
        expected = fields.get("x-comfreysail-expect-instance", self.name)
        refusal = "421 Misdirected Request" if expected != self.name else None
        is_shed = "shed" in self.faults and self.generator.random() < 0.5
        if is_shed or self.running >= self.slots + 4:
            refusal = refusal or "503 Service Unavailable"
        pause = f"Retry-After: {PAUSE}\r\n" if is_shed and refusal.startswith("503") else ""
        if pause:
            self.journal.note_pause(request_id, self, PAUSE)
        if refusal:
            writer.write(
                f"HTTP/1.1 {refusal}\r\n{self.fields(request_id)}X-Comfreysail-Not-Executed: 1\r\n{pause}Content-Length: 0\r\n\r\n".encode()
            )
            await writer.drain()
            return True
        self.journal.note_run(request_id, self, path)
        department = department_of(request_id)
        if fields.get("x-comfreysail-tenant") != department or "authorization" in fields:
            self.journal.wrong_departments.append(f"{request_id} named {fields.get('x-comfreysail-tenant')}")
        self.running += 1
        try:
            await asyncio.sleep(self.generator.uniform(*WORK) * (8 if "slow" in self.faults else 1))
        finally:
            self.running -= 1
        return await self.respond(writer, request_id, body)

    async def respond(self, writer, request_id, body):
        content = answer_for(request_id, body)
        signature = f"X-Comfreysail-Backend-Signature: s.{request_id}\r\n"
        is_download = request_id.endswith("d")
        is_chunked = is_download or self.generator.random() < 0.3
        framing = "Transfer-Encoding: chunked" if is_chunked else f"Content-Length: {len(content)}"
        if is_chunked:
            content = b"%x\r\n%s\r\n0\r\n\r\n" % (len(content), content)
        whole = f"HTTP/1.1 200 OK\r\n{self.fields(request_id)}{signature}{framing}\r\n\r\n".encode() + content
        fault = self.generator.choice(self.faults) if self.faults and self.generator.random() < 0.6 else None
        if fault == "mute":
            await asyncio.sleep(5)
            return False
        if fault == "reset":
            close_hard(writer)
            return False
        if fault == "truncate":
            # Of a download, after its daemon has begun to forward it.
            writer.write(whole[: self.generator.randrange(MIN_DOWNLOAD * 9 // 10 if is_download else 1, len(whole))])
            self.journal.truncated.add(request_id)
            await writer.drain()
            if self.generator.random() < 0.5:
                close_hard(writer)
            return False
        if fault == "garbage":
            writer.write(bytes(self.generator.randrange(256) for _ in range(300)))
            await writer.drain()
            return False
        if fault == "endless":
            start = [b"HTTP/1.1 200 OK\r\nX-A: ", b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;", b"HTTP/1.1 1"]
            writer.write(self.generator.choice(start))
            while not writer.is_closing():
                writer.write(b"a" * 4096)
                await writer.drain()
                await asyncio.sleep(0)
            return False
        if fault == "drip":
            for offset in range(0, min(len(whole), 200)):
                writer.write(whole[offset : offset + 1])
                await writer.drain()
                await asyncio.sleep(0.002)
            writer.write(whole[200:])
        elif fault == "foreign":
            writer.write(whole.replace(request_id.encode(), b"another"))
        else:
            # In one segment: bytes that arrive after the next request was sent cannot be told from its response.
            writer.write(whole + (self.EXTRA if fault == "extra" and len(whole) < MAX_SEGMENT else b""))
        await writer.drain()
        if fault == "copy":
            writer.write(whole)
        if fault == "late-copy":
            await asyncio.sleep(self.generator.uniform(0, 0.3))
            writer.write(whole)
        await writer.drain()
        return True


class Link:
    """Forwards connections of one daemon to the store or to another daemon. `mode` changes what passes."""

    MODES = ("silent", "reset", "one-way", "slow", "refuse", "reject")

    def __init__(self, port):
        self.destination_port = port
        self.mode = None
        self.server = None
        self.port = 0
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            if self.mode == "refuse":
                return
            far_reader, far_writer = await asyncio.open_connection("127.0.0.1", self.destination_port)
            self.writers.add(far_writer)
            await asyncio.gather(self.copy(reader, far_writer, writer), self.copy(far_reader, writer))
            self.writers.discard(far_writer)
            far_writer.close()
        except OSError:
            pass
        finally:
            self.writers.discard(writer)
            close_hard(writer)

    async def copy(self, reader, writer, requester=None):
        """Copies requests, whose `requester` gets the rejections, or responses."""
        try:
            while data := await reader.read(65536):
                if self.mode == "silent" or (self.mode == "one-way" and not requester):
                    continue
                if self.mode == "reject" and requester:
                    requester.write(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 2\r\nConnection: close\r\n\r\n{}")
                    await requester.drain()
                    return
                if self.mode == "reset":
                    close_hard(writer)
                    return
                if self.mode == "slow":
                    await asyncio.sleep(0.4)
                writer.write(data)
                await writer.drain()
        except OSError:
            pass
        finally:
            writer.close()

    def set_mode(self, mode):
        self.mode = mode
        if mode in ("refuse", "reset"):
            for writer in list(self.writers):
                close_hard(writer)


class UsageService:
    """Receives the platform's usage reports. Some get 429, or are accepted without a response."""

    def __init__(self, generator):
        self.generator = generator
        self.problems = []
        self.bodies = {}  # By window.
        self.holders = {}  # By token.
        self.server = None
        self.port = 0

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    async def serve(self, reader, writer):
        try:
            while True:
                _, fields, body = await read_message(reader)
                fault = self.generator.random()
                if fault >= 0.1:
                    self.note(fields, body)
                if fault < 0.2:
                    status = "429 Too Many Requests" if fault < 0.1 else None
                else:
                    status = "200 OK"
                if status is None:
                    break
                writer.write(f"HTTP/1.1 {status}\r\nContent-Length: 0\r\n\r\n".encode())
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    def note(self, fields, body):
        window = json.loads(body)["window-id"]
        token, holder = fields["x-comfreysail-fence-token"], fields["x-comfreysail-duty-holder"]
        late = time.time() - (window + 1) * WINDOW
        if not -0.5 <= late <= WINDOW_DUE:
            self.problems.append(f"window {window} was reported {late:.1f} s after its end")
        if self.bodies.setdefault(window, body) != body:
            self.problems.append(f"two reports of window {window}: {self.bodies[window]} and {body}")
        if self.holders.setdefault(token, holder) != holder:
            self.problems.append(f"token {token} of two holders: {self.holders[token]} and {holder}")


class SoakCaller:
    """Sends requests one after the other and keeps its connection until the daemon closes it."""

    def __init__(self, number, soak, generator):
        self.number = number
        self.soak = soak
        self.journal = soak.journal
        self.generator = generator
        self.sent = 0
        self.is_stopping = False

    def choose(self):
        # Some callers do not look at who is ready, so that a daemon that stops has requests until it accepts no more.
        looks = self.generator.random() < 0.75
        ready = [daemon for daemon in self.soak.daemons if daemon.is_ready and looks]
        return self.generator.choice(ready or self.soak.daemons)

    async def run(self):
        while not self.is_stopping:
            daemon = self.choose()
            try:
                reader, writer = await asyncio.open_connection("127.0.0.1", daemon.caller_port, limit=READ_LIMIT)
            except OSError:
                await asyncio.sleep(0.1)
                continue
            try:
                is_open = not self.is_stopping and await self.send_one(daemon, reader, writer, is_first=True)
                while is_open and not self.is_stopping:
                    await asyncio.sleep(self.generator.uniform(0, 0.06))
                    is_open = await self.send_one(daemon, reader, writer)
            finally:
                writer.close()

    def request(self, kind=None):
        self.sent += 1
        kinds = ["read", "pay", "upload", "trial", "download", *self.soak.added_at]
        kind = kind or self.generator.choices(kinds, [5, 4, 1, 2, 0.4] + [2] * len(self.soak.added_at))[0]
        request_id = f"c{self.number}n{self.sent}" + ("d" if kind == "download" else "")
        key = f"key-{department_of(request_id)}"
        if kind == "read" and self.sent % 4 == 0:
            kind, key = "spare", SPARE_KEY + department_of(request_id)
        body = b"" if kind not in ("pay", "upload") else b"b" * self.generator.randrange(1, 60 if kind == "pay" else 200000)
        method = "POST" if body else "GET"
        lines = [f"{method} /{kind}/{request_id} HTTP/1.1", f"Host: {HOST}", f"X-Comfreysail-Request-Id: {request_id}"]
        lines += [f"X-Comfreysail-Deadline-Ms: {int(DEADLINE * 1000)}", f"Authorization: Token {key}", "X-Comfreysail-Tenant: forged"]
        if body and self.generator.random() < 0.3:
            framing = "Transfer-Encoding: chunked"
            half = len(body) // 2
            pieces = [piece for piece in (body[:half], body[half:]) if piece]
            framed = b"".join(b"%x\r\n%s\r\n" % (len(piece), piece) for piece in pieces) + b"0\r\n\r\n"
        else:
            framing, framed = f"Content-Length: {len(body)}", body
        if body:
            lines.append(framing)
        return request_id, kind, body, "\r\n".join(lines).encode() + b"\r\n\r\n" + framed

    async def probe(self, daemon, kind):
        """Sends one request on a connection of its own."""
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", daemon.caller_port, limit=READ_LIMIT)
        except OSError:
            return
        await self.send_one(daemon, reader, writer, kind, is_first=True)
        writer.close()

    async def send_one(self, daemon, reader, writer, kind=None, is_first=False):
        request_id, kind, body, text = self.request(kind)
        record = self.journal.note_request(request_id, kind, daemon)
        record.is_first = is_first
        try:
            writer.write(text)
            await asyncio.wait_for(writer.drain(), 3)
            first, fields, content = await asyncio.wait_for(read_message(reader), 3.5)
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError, ValueError, asyncio.TimeoutError) as error:
            record.finish("no response" if not isinstance(error, asyncio.TimeoutError) else "timeout", daemon)
            return False
        status = int(first.split()[1])
        is_right = content == answer_for(request_id, body) and fields.get("x-comfreysail-request-id") == request_id
        record.finish(status, daemon, is_wrong=status == 200 and not is_right)
        if is_right and fields.get("server-leaving") == "1" and record.runs:
            self.journal.note_leaving(request_id, record.runs[-1][1])
        if status in (429, 503):
            await asyncio.sleep(min(float(fields.get("retry-after", "0.1")), 0.5))
        return fields.get("connection", "").lower() != "close"
