"""A small deployment on loopback addresses for the cases of this review.

The programs under review run as separate processes, with the commands and the
settings template of deploy/system.toml. Everything around them is in this
process, on one event loop: the platform's store, the routers, hosts and
clients. They do what PROTOCOL.md says of them. What a host, a client or the
store sees is written to record.txt, and only that is judged.
"""

import asyncio
import base64
import json
import os
import random
import re
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time
import zlib

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
HEADER = struct.Struct(">BII4sHH4sHII")
SYN, RST, FIN, ACK, BOUNCED = 1, 2, 4, 16, 32
SUM_KEY = b"known to clients and hosts only"
HEARTBEAT = 1.2          # seconds, heartbeat-ms
LAPSE = 3 * HEARTBEAT    # silence after which the store removes an entry
PAGE_ITEMS, PAGE_BYTES = 500, 1000000
SYN_COPIES = (0.2, 0.6)  # times of the copies of a SYN
SYN_END = 1.4            # end of the attempt
RETRANSMIT = 0.2         # first interval; doubles up to 1.6 s
LIMIT = 112              # seconds for a whole run, all plays together
STARTED = time.monotonic()


class CannotRun(Exception):
    """The case could not be played; nothing is said about the rule."""


def packet_sum(flags, seq, ack, dst, sport, dport, src, data):
    text = struct.pack(">BII4sHH4sH", flags & ~BOUNCED, seq, ack, dst, sport,
        dport, src, len(data))
    return zlib.crc32(SUM_KEY + text + data) or 1


def encode(source, target, flags, seq, ack, data=b""):
    src, dst = socket.inet_aton(source[0]), socket.inet_aton(target[0])
    total = packet_sum(flags, seq, ack, dst, source[1], target[1], src, data)
    return HEADER.pack(flags, seq, ack, dst, source[1], target[1], src,
        len(data), 0, total) + data


class Packet:
    def __init__(self, raw):
        (self.flags, self.seq, self.ack, dst, sport, dport, src, self.len,
            self.echo, self.sum) = HEADER.unpack(raw[:HEADER.size])
        self.raw = raw
        self.data = raw[HEADER.size:]
        self.source = (socket.inet_ntoa(src), sport)
        self.target = (socket.inet_ntoa(dst), dport)
        self.genuine = self.len == len(self.data) and self.sum == packet_sum(
            self.flags, self.seq, self.ack, dst, sport, dport, src, self.data)


class Datagrams(asyncio.DatagramProtocol):
    def __init__(self, receive):
        self.receive = receive

    def datagram_received(self, data, address):
        if len(data) >= HEADER.size:
            self.receive(Packet(data))

    def error_received(self, error):
        pass  # a process that is down refuses datagrams


def free_port(candidates, used):
    """A port that nothing uses on any address, over TCP or UDP."""
    for port in random.sample(candidates, len(candidates)):
        if port in used:
            continue
        try:
            for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                with socket.socket(socket.AF_INET, kind) as probe:
                    probe.bind(("127.0.0.1", port))
            return port
        except OSError:
            continue
    raise CannotRun("no free port")


class World:
    def __init__(self, folder):
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.started = time.monotonic()
        self.record_file = open(os.path.join(folder, "record.txt"), "a",
            encoding="utf-8")
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.net = "127.%d.%d." % (random.randint(10, 250),
            random.randint(1, 250))
        self.next_address = 1
        self.processes = {}
        self.tasks = []
        self.hosts = []
        self.violations = []
        names = ("datagram", "ready", "outbound", "app", "store")
        self.ports = {}
        for name in names:
            self.ports[name] = free_port(range(20000, 32000),
                self.ports.values())
        self.notice_port = free_port(range(7720, 7735), ())
        self.record("trouble=%d" % self.trouble)

    # record

    def now(self):
        return time.monotonic() - self.started

    def record(self, text):
        self.record_file.write("%8.3f %s\n" % (self.now(), text))

    def violation(self, text):
        self.violations.append(text)
        self.record("BROKEN " + text)

    # addresses

    def address(self):
        self.next_address += 1
        return self.net + str(self.next_address)

    # processes of the system

    def settings_of(self, role, name, zone, ip, service=None):
        fields = {
            "role": role, "node": name, "zone": zone, "ip": ip,
            "listen.datagram-addr": "%s:%d" % (ip, self.ports["datagram"]),
            "listen.ready": "%s:%d" % (ip, self.ports["ready"]),
            "platform.address": "%s:%d" % (self.store.ip,
                self.ports["store"]),
            "internal-ports.0": str(self.notice_port),
        }
        if role == "agent":
            fields["listen.outbound"] = "%s:%d" % (ip,
                self.ports["outbound"])
            fields["app"] = "%s:%d" % (ip, self.ports["app"])
            fields["service"] = service
        with open(os.path.join(ROOT, "deploy/settings.template"),
                encoding="utf-8") as file:
            text = file.read()
        text = re.sub(r"\{\{#([\w.-]+)\}\}(.*?)\{\{/\1\}\}",
            lambda m: m.group(2).replace("{{.}}", fields[m.group(1)])
            if m.group(1) in fields else "", text, flags=re.S)
        text = re.sub(r"\{\{([\w.-]+)\}\}",
            lambda m: fields.get(m.group(1), ""), text)
        path = os.path.join(self.folder, name + ".conf")
        with open(path, "w", encoding="utf-8") as file:
            file.write(text)
        return path

    def command_of(self, role):
        with open(os.path.join(ROOT, "deploy/system.toml"),
                encoding="utf-8") as file:
            found = re.search(r'\[roles\.%s\][^[]*?run = "([^"]+)"' % role,
                file.read())
        return found.group(1).split()

    async def start(self, role, name, zone, ip, service=None):
        path = self.settings_of(role, name, zone, ip, service)
        log = open(os.path.join(self.folder, name + ".log"), "ab")
        environment = {"PLANTAINLUG_SETTINGS": path,
            "PATH": os.environ.get("PATH", "/usr/bin:/bin"),
            "HOME": self.folder, "LANG": "C"}
        process = await asyncio.create_subprocess_exec(
            *self.command_of(role), cwd=ROOT, env=environment,
            stdin=asyncio.subprocess.DEVNULL, stdout=log, stderr=log)
        log.close()
        self.processes[name] = process
        self.record("start %s role=%s ip=%s" % (name, role, ip))

    async def kill(self, name, how=signal.SIGKILL):
        process = self.processes.pop(name)
        self.record("signal %d to %s" % (how, name))
        process.send_signal(how)
        await process.wait()

    # ends

    async def finish(self):
        for task in self.tasks:
            task.cancel()
        for process in self.processes.values():
            if process.returncode is None:
                process.kill()
        for process in self.processes.values():
            try:
                await asyncio.wait_for(process.wait(), 3)
            except asyncio.TimeoutError:
                self.record("no end reported of pid %d" % process.pid)

    def close(self):
        self.record("--- last lines of the logs of the processes")
        for name in sorted(os.listdir(self.folder)):
            if not name.endswith(".log"):
                continue
            with open(os.path.join(self.folder, name), encoding="utf-8",
                    errors="replace") as file:
                for line in file.readlines()[-60:]:
                    self.record_file.write(name + ": " + line)
        self.record_file.close()
        shutil.rmtree(self.folder, ignore_errors=True)


class Store:
    """The platform's metadata store, as far as it can be read."""

    def __init__(self, world, lag=0.8):
        self.world = world
        world.store = self
        self.ip = world.address()
        self.lag = lag          # age of answers with allow-stale=1
        self.revision = 100
        self.items = {}         # key: (value, revision)
        self.leases = {}        # key: time of its end
        self.history = []       # (revision, key, value or None)
        self.copies = [(0.0, self.revision, {})]
        self.changed = asyncio.Condition()

    async def begin(self):
        await asyncio.start_server(self.serve, self.ip,
            self.world.ports["store"])
        self.world.tasks.append(asyncio.create_task(self.expire()))

    async def put(self, key, value, lease=None, quiet=False):
        """Writes bytes or an object; None removes the item."""
        if value is not None and not isinstance(value, bytes):
            value = json.dumps(value).encode()
        self.revision += 1
        if value is None:
            self.items.pop(key, None)
        else:
            self.items[key] = (value, self.revision)
        if lease is not None:
            self.leases[key] = self.world.now() + lease
        self.history.append((self.revision, key, value))
        self.copies.append((self.world.now(), self.revision,
            dict(self.items)))
        if not quiet:
            self.world.record("store %s %s revision=%d" % (key,
                "removed" if value is None else value[:300].decode(
                    "utf-8", "replace"), self.revision))
        async with self.changed:
            self.changed.notify_all()

    async def expire(self):
        while True:
            await asyncio.sleep(0.05)
            now = self.world.now()
            for key in [k for k, end in self.leases.items() if end < now]:
                del self.leases[key]
                if key in self.items:
                    self.world.record("lapsed %s" % key)
                    await self.put(key, None)

    def stale(self):
        limit = self.world.now() - self.lag
        for when, revision, items in reversed(self.copies):
            if when <= limit:
                return revision, items
        return self.copies[0][1:]

    @staticmethod
    def item(key, value, revision):
        return {"key": key, "value": base64.b64encode(value).decode(),
            "rev": revision, "created-rev": revision, "lease": 0}

    def range(self, query):
        revision, items = self.revision, self.items
        if query.get("allow-stale") == "1":
            revision, items = self.stale()
        after, page, size, more = query.get("after", ""), [], 0, False
        for key in sorted(items):
            if not key.startswith(query["prefix"]) or key <= after:
                continue
            value = items[key][0]
            if page and (len(page) >= PAGE_ITEMS or
                    size + len(value) > PAGE_BYTES):
                more = True
                break
            page.append(self.item(key, *items[key]))
            size += len(value)
        return 200, {"items": page, "has-more": more,
            "store-revision": revision}

    async def watch(self, query):
        after = int(query["after"])
        end = time.monotonic() + int(query["wait-ms"]) / 1000
        while True:
            events = []
            for revision, key, value in self.history:
                if revision <= after or not key.startswith(query["prefix"]):
                    continue
                events.append({"key": key, "rev": revision,
                    "tombstone": True} if value is None else
                    self.item(key, value, revision))
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events,
                    "store-revision": self.revision}
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass

    async def serve(self, reader, writer):
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                target = head.split(b" ")[1].decode()
                path, _, text = target.partition("?")
                query = dict(pair.partition("=")[::2]
                    for pair in text.split("&"))
                await asyncio.sleep(0.004)
                if path == "/kv-watch":
                    status, body = await self.watch(query)
                elif path == "/kv-range":
                    status, body = self.range(query)
                else:
                    status, body = 404, {}
                text = json.dumps(body).encode()
                writer.write(b"HTTP/1.1 %d X\r\nContent-Type: "
                    b"application/json\r\nContent-Length: %d\r\n\r\n" %
                    (status, len(text)) + text)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError,
                asyncio.LimitOverrunError):
            pass
        finally:
            writer.close()


class HostFlow:
    def __init__(self, isn):
        self.isn = isn
        self.open = False
        self.next = isn + 1     # sequence number of the next byte sent
        self.answers = {}       # seq of a request: packets of its answer
        self.running = set()
        self.ended = False
        self.used = time.monotonic()


class Machine:
    """A side machine: its address, at which hosts run one after another."""

    def __init__(self, world, name, zone):
        self.world = world
        self.name = name
        self.zone = zone
        self.ip = world.address()
        self.host = None
        self.connections = set()
        world.hosts.append(self)

    async def begin(self):
        loop = asyncio.get_running_loop()
        self.transport, _ = await loop.create_datagram_endpoint(
            lambda: Datagrams(self.receive),
            local_addr=(self.ip, self.world.ports["app"]))
        self.server = None

    def receive(self, packet):
        if self.host is not None:
            self.host.receive(packet)

    async def listen(self):
        self.server = await asyncio.start_server(self.serve, self.ip,
            self.world.ports["app"])

    async def serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while True:
                await reader.readuntil(b"\r\n\r\n")
                host = self.host
                if host is None:
                    break
                if host.silent:
                    await asyncio.sleep(3600)
                if host.health_delay > 0:
                    await asyncio.sleep(host.health_delay)
                if host.silent or host is not self.host:
                    await asyncio.sleep(3600)
                status = 503 if host.state == "draining" else 200
                writer.write(b"HTTP/1.1 %d X\r\nInstance-Id: %s\r\n"
                    b"Server-Load: 0,0,0\r\nContent-Length: 0\r\n\r\n" %
                    (status, host.id.encode()))
                await writer.drain()
                host.checked_at = time.monotonic()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    async def run(self, host):
        """Starts a host, which takes the address over."""
        for writer in list(self.connections):
            writer.transport.abort()
        self.host = host
        if self.server is None:
            await self.listen()
        await host.register()

    def close_port(self):
        """The host takes no more TCP connections; its flows go on."""
        if self.server is not None:
            self.server.close()
            self.server = None
        for writer in list(self.connections):
            writer.close()

    def stop(self):
        """The host's process ends: its connections and its port are closed."""
        if self.server is not None:
            self.server.close()
            self.server = None
        for writer in list(self.connections):
            writer.transport.abort()
        self.host.dead = True
        self.host = None


class Host:
    """One incarnation of a server."""

    def __init__(self, machine, service, work=0.005, slots=2, name=None,
            cold_s=0.0, cold_x=1.6):
        self.world = machine.world
        self.machine = machine
        self.service = service
        self.id = name or "i-%010x" % random.getrandbits(40)
        self.work = work
        self.slots = asyncio.Semaphore(slots)
        self.slot_count = slots
        self.state = "ready"
        self.silent = False      # crashed without a word
        self.dead = False
        self.health_delay = 0.0
        self.checked_at = 0.0
        self.born = int(time.time() * 1000)
        self.cold_until = time.monotonic() + cold_s
        self.cold_x = cold_x
        self.seq = 0
        self.flows = {}
        self.opened = []         # times of the opening packets it took
        self.runs = []           # (time, request id, vip)
        self.long_request = "long-"  # requests that take long
        self.long_work = work

    def cold_left(self):
        return max(0, int((self.cold_until - time.monotonic()) * 1000))

    async def register(self, quiet=False):
        self.seq += 1
        await self.world.store.put("servers/" + self.id, {
            "service": self.service,
            "address": "%s:%d" % (self.machine.ip, self.world.ports["app"]),
            "zone": self.machine.zone, "version": "v1",
            "slots": self.slot_count, "state": self.state,
            "cold-remaining-ms": self.cold_left(), "seq": self.seq,
            "born": self.born}, lease=LAPSE, quiet=quiet)
        if self.seq == 1:
            self.world.tasks.append(asyncio.create_task(self.beat()))

    async def beat(self):
        while True:
            await asyncio.sleep(HEARTBEAT)
            if self.silent or self.dead:
                return
            await self.register(quiet=True)

    def send(self, raw):
        self.machine.transport.sendto(raw, (self.machine.ip,
            self.world.ports["outbound"]))

    def receive(self, packet):
        if self.silent:
            return
        if not packet.genuine:
            self.world.violation("UNASKED host %s got a packet that its "
                "sender did not write so" % self.id)
            return
        key = packet.source + packet.target
        flow = self.flows.get(key)
        if packet.flags & SYN:
            if flow is None or flow.ended:
                flow = self.flows[key] = HostFlow(random.getrandbits(31))
                self.opened.append(self.world.now())
                self.world.record("host %s (%s) takes SYN of %s:%d to %s:%d"
                    % ((self.id, self.service) + packet.source +
                    packet.target))
            self.send(encode(packet.target, packet.source, SYN | ACK,
                flow.isn, packet.seq + 1))
            return
        if flow is None or (not flow.open and packet.ack != flow.isn + 1):
            self.send(bytes([packet.flags | BOUNCED]) + packet.raw[1:])
            return
        flow.open = True
        flow.used = time.monotonic()
        if packet.flags & RST:
            del self.flows[key]
            return
        if packet.flags & FIN:
            self.send(encode(packet.target, packet.source, FIN | ACK,
                flow.next, packet.seq + 1))
            flow.ended = True
            return
        if packet.len == 0:
            return
        if flow.ended:
            self.send(encode(packet.target, packet.source, RST | ACK,
                flow.next, packet.seq + packet.len))
            return
        if packet.seq in flow.answers:
            self.send(flow.answers[packet.seq])
        elif packet.seq not in flow.running:
            flow.running.add(packet.seq)
            self.world.tasks.append(
                asyncio.create_task(self.answer(packet, key, flow)))

    async def answer(self, packet, key, flow):
        async with self.slots:
            if self.dead or self.silent:
                return
            request = packet.data.decode("utf-8", "replace").split()[-1]
            self.runs.append((self.world.now(), request, packet.target))
            self.world.record("host %s (%s) runs %s on %s:%d" % ((self.id,
                self.service, request) + packet.target))
            cold = time.monotonic() < self.cold_until
            work = self.work * (self.cold_x if cold else 1)
            if request.startswith(self.long_request):
                work = self.long_work
            await asyncio.sleep(work)
        if self.dead or self.silent or self.flows.get(key) is not flow:
            return
        data = ("HTTP/1.1 200 OK\r\nResponse-Signature: %s\r\n"
            "Content-Length: 2\r\n\r\nok" % request).encode()
        # A host that is draining closes each flow after its next response.
        leaving = self.state == "draining"
        raw = encode(packet.target, packet.source,
            ACK | (FIN if leaving else 0), flow.next,
            packet.seq + packet.len, data)
        flow.next += len(data) + (1 if leaving else 0)
        flow.closing = leaving
        self.record_answer(request)
        flow.answers[packet.seq] = raw
        self.send(raw)

    def record_answer(self, request):
        self.world.record("host %s answers %s" % (self.id, request))


class Router:
    """Hands packets to the ready nodes of a zone, by a steady hash."""

    def __init__(self, world):
        self.world = world
        self.nodes = {}  # ip: misses in a row

    def add(self, ip):
        self.nodes[ip] = 2

    async def probe(self, ip):
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(
                ip, self.world.ports["ready"]), 0.4)
            writer.write(b"GET /ready HTTP/1.1\r\nHost: x\r\n"
                b"Connection: close\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 0.4)
            writer.close()
            good = b" 200 " in line
        except (OSError, asyncio.TimeoutError):
            good = False
        self.nodes[ip] = 0 if good else self.nodes[ip] + 1

    async def run(self):
        while True:
            for ip in list(self.nodes):
                self.world.tasks.append(asyncio.create_task(self.probe(ip)))
            await asyncio.sleep(0.5)

    def in_rotation(self):
        return [ip for ip, misses in self.nodes.items() if misses < 2]

    def choose(self, packet):
        ready = self.in_rotation()
        if 2 * len(ready) < len(self.nodes):
            ready = list(self.nodes)
        return max(ready, key=lambda ip: zlib.crc32(
            ip.encode() + packet[9:21]))


class ClientFlow:
    def __init__(self, clients, vip):
        self.clients = clients
        self.world = clients.world
        self.vip = vip
        self.port = clients.new_port()
        self.source = (clients.ip, self.port)
        self.seq = random.getrandbits(31)
        self.ack = 0
        self.state = "opening"
        self.changed = asyncio.Event()
        self.reply = None
        clients.flows[self.port] = self

    def send(self, flags, data=b"", seq=None, ack=None):
        raw = encode(self.source, self.vip, flags,
            self.seq if seq is None else seq,
            self.ack if ack is None else ack, data)
        self.clients.send(raw)

    def receive(self, packet):
        if packet.flags & RST:
            own = packet.sum == 0 and packet.len == 0
            near = self.state == "opening" or \
                (packet.seq - self.ack + 76800) % 2**32 <= 2 * 76800
            if (own and near) or (not own and packet.genuine):
                self.world.record("client %d gets RST (%s) in state %s" % (
                    self.port, "of the system" if own else "of the host",
                    self.state))
                self.state = "reset" if own else "reset_by_host"
        elif not packet.genuine:
            self.world.violation("MIXED client %d got a packet that its "
                "sender did not write so" % self.port)
        elif packet.flags & SYN:
            if self.state == "opening":
                self.state = "open"
                self.seq += 1
                self.ack = packet.seq + 1
                self.send(ACK)
        elif packet.len > 0 and packet.seq == self.ack:
            self.ack += packet.len + (1 if packet.flags & FIN else 0)
            self.reply = packet.data
        self.changed.set()

    async def wait(self, condition, seconds):
        end = time.monotonic() + seconds
        while not condition():
            left = end - time.monotonic()
            if left <= 0:
                return False
            self.changed.clear()
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass
        return True

    async def open(self):
        """Return: whether the flow is open."""
        times = SYN_COPIES + (SYN_END,)
        started = time.monotonic()
        for copy, until in enumerate(times):
            self.send(SYN, ack=copy)
            if await self.wait(lambda: self.state != "opening",
                    started + until - time.monotonic()):
                return self.state == "open"
        self.state = "gave_up"
        return False

    async def request(self, name, deadline):
        """Return: answered, reset, reset_by_host or silent."""
        data = ("GET / HTTP/1.1\r\nRequest-Id: %s\r\n\r\n" % name).encode()
        seq, pause, end = self.seq, RETRANSMIT, time.monotonic() + deadline
        self.seq += len(data)
        self.reply = None
        while time.monotonic() < end:
            self.send(ACK, data, seq=seq)
            if await self.wait(lambda: self.reply is not None or
                    self.state != "open", min(pause, end - time.monotonic())):
                break
            pause = min(1.6, 2 * pause)
        if self.state != "open":
            return self.state
        if self.reply is None:
            return "silent"
        if name.encode() not in self.reply:
            self.world.violation("MIXED client %d got another answer" %
                self.port)
        return "answered"

    def close(self):
        if self.state == "open":
            self.send(FIN | ACK)
        self.clients.flows.pop(self.port, None)


class Clients:
    def __init__(self, world, router):
        self.world = world
        self.router = router
        self.ip = world.address()
        self.flows = {}
        self.port = 10000
        self.count = 0
        self.results = {}

    async def begin(self):
        loop = asyncio.get_running_loop()
        self.transport, _ = await loop.create_datagram_endpoint(
            lambda: Datagrams(self.receive),
            local_addr=(self.ip, self.world.ports["datagram"]))

    def new_port(self):
        self.port += 1
        return self.port

    def receive(self, packet):
        flow = self.flows.get(packet.target[1])
        if flow is not None:
            flow.receive(packet)

    def send(self, raw):
        self.transport.sendto(raw, (self.router.choose(raw),
            self.world.ports["datagram"]))

    async def fresh(self, vip, deadline, kind):
        """A request on a flow of its own."""
        self.count += 1
        name = "%s-%d" % (kind, self.count)
        sent = self.world.now()
        flow = ClientFlow(self, vip)
        result = flow.state
        if await flow.open():
            result = await flow.request(name, deadline)
        else:
            result = "not_open:" + flow.state
        flow.close()
        self.results[name] = (sent, result)
        self.world.record("client %d %s sent at %.3f: %s" % (flow.port, name,
            sent, result))
        return result

    async def load(self, vip, per_s, deadline, kind, until):
        """Fresh flows at a steady rate until a time of the world."""
        due = self.world.now()
        while self.world.now() < until:
            self.world.tasks.append(asyncio.create_task(
                self.fresh(vip, deadline, kind)))
            due += 1 / per_s
            await asyncio.sleep(max(0, due - self.world.now()))


def route(vip, kind, timeout_ms, latency_ms, priority, service):
    return {"name": "r-" + kind, "host": vip[0], "prefix": "/%d/" % vip[1],
        "kind": kind, "timeout-ms": timeout_ms,
        "target-latency-ms": latency_ms, "priority": priority,
        "service": service, "max-attempts": 2}


def config(version, routes, services, idle_ms=15000, cold_s=2.0,
        cold_per_s=0.0):
    return {"version": version, "routes": routes, "services": [{
        "name": name, "health-path": "/health", "max-conns": 2000,
        "protocol": "h1", "tls": False, "cold-start-s": cold_s,
        "cold-per-s": cold_per_s} for name in services],
        "limits": {"max-header-bytes": 16384, "max-body-bytes": 262144,
        "header-timeout-ms": 3000, "idle-timeout-ms": idle_ms}}


# The hosts of lekbai-lb: zone and service.
HOSTS = [("bkk-a", "numbering")] * 3 + [("bkk-a", "book-export")] + \
    [("bkk-b", "numbering")] * 2 + [("bkk-b", "book-export")] + \
    [("nonthaburi", "numbering")] * 2 + [("nonthaburi", "book-export")]
ENTRIES = ["bkk-a"] * 3 + ["bkk-b"] * 2 + ["nonthaburi"] * 2
WORK = {"numbering": 0.02, "book-export": 0.005}  # seconds, means of the sheet
NUMBERS, BOOKS = ("127.198.0.1", 8080), ("127.198.0.2", 8443)


def routes():
    return [route(NUMBERS, "non_idempotent", 600, 150, 1, "numbering"),
        route(BOOKS, "download", 3000, 500, 2, "book-export")]


class Deployment:
    """lekbai-lb with the clients of zone bkk-a."""

    def __init__(self, world):
        self.world = world
        self.store = Store(world)
        self.router = Router(world)
        self.clients = Clients(world, self.router)
        self.hosts = []
        self.nodes = []  # arguments of World.start()

    async def begin(self, configuration):
        await self.store.begin()
        await self.clients.begin()
        await self.store.put("op/config", configuration)
        for i, (zone, service) in enumerate(HOSTS):
            machine = Machine(self.world, "side-%s-%d" % (zone, i), zone)
            await machine.begin()
            self.hosts.append(Host(machine, service, work=WORK[service]))
            await machine.run(self.hosts[-1])
            self.nodes.append(("agent", machine.name, zone, machine.ip,
                service))
        for i, zone in enumerate(ENTRIES):
            ip = self.world.address()
            self.nodes.append(("entry", "front-%s-%d" % (zone, i), zone, ip))
            if zone == "bkk-a":
                self.router.add(ip)
        for node in self.nodes:
            await self.world.start(*node)
        self.world.tasks.append(asyncio.create_task(self.router.run()))
        await until("entries are ready", lambda: len(
            self.router.in_rotation()) == len(self.router.nodes), 10)
        await asyncio.sleep(2)

    def host_of(self, service, zone="bkk-a"):
        for host in self.hosts:
            if host.service == service and host.machine.zone == zone:
                return host
        raise CannotRun("no such host")


async def until(what, condition, seconds):
    end = time.monotonic() + seconds
    while not condition():
        if time.monotonic() > end:
            raise CannotRun(what)
        await asyncio.sleep(0.02)


def run_once(folder, play):
    """Plays once. Return: 0 if the rule held, 1 if it was broken, else 2."""
    world = World(folder)
    world.record("play=%s" % play.__name__)

    async def run():
        task = asyncio.create_task(play(world))
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        try:
            await asyncio.wait_for(task,
                LIMIT - (time.monotonic() - STARTED))
        finally:
            await world.finish()

    code = 2
    try:
        asyncio.run(run())
        code = 1 if world.violations else 0
    except (CannotRun, OSError, asyncio.TimeoutError,
            asyncio.CancelledError) as error:
        world.record("cannot run: %r" % error)
        print("reason=%r" % error)
    finally:
        for text in world.violations[:5]:
            print("broken: " + text)
        summary = "play=%s result=%s violations=%d" % (play.__name__,
            ("held", "broken", "cannot_run")[code], len(world.violations))
        print(summary, flush=True)
        world.record(summary)
        world.close()
    return code


def main(folder, *plays):
    """Plays a case and exits with 1 if its rule was broken in any play."""
    if not os.access(os.path.join(ROOT, "target/plantainlug"), os.X_OK):
        print("result=cannot_run reason=target/plantainlug isn't built")
        sys.exit(2)
    open(os.path.join(folder, "record.txt"), "w", encoding="utf-8").close()
    codes = []
    for play in plays:
        codes.append(run_once(folder, play))
        if codes[-1] == 2:
            break
    sys.exit(1 if 1 in codes else max(codes))
