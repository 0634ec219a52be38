"""The platform, hosts and clients around real tracking entries and agents.

Everything runs on loopback addresses: the store, the routers, the hosts and the
clients in this process, the entries and agents as processes of the deploy file.
The scripts in review/11 to review/13 build their cases from these parts.
"""

import base64
import heapq
import http.server
import json
import os
import random
import re
import select
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
import urllib.error
import urllib.request

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
SYN, RST, FIN, ACK, BOUNCED = 1, 2, 4, 16, 32
HEADER = struct.Struct(">BII4sHH4sHII")
SYN_COPIES = (0.2, 0.6)   # seconds until a client repeats its SYN
SYN_GIVE_UP = 1.4         # seconds until it ends the attempt
RETRANSMIT = 0.2          # seconds, doubles up to RETRANSMIT_MAX
RETRANSMIT_MAX = 1.6
RETRANSMIT_TRIES = 8
HELD, BROKEN, FAILED = 0, 1, 2  # exit codes of a case
TIME_LIMIT_S = 100

START = time.monotonic()


def now():
    """Seconds since the start of the script."""
    return time.monotonic() - START


class CannotRun(Exception):
    """The case couldn't be set up."""


class Record:
    """record.txt: what was sent, answered and run."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w")
        self.lock = threading.Lock()

    def add(self, event, **fields):
        with self.lock:
            self.file.write("t=%.3f event=%s %s\n" % (now(), event,
                " ".join("%s=%s" % item for item in fields.items())))
            self.file.flush()


def packet(source, target, flags, seq, ack, data=b"", echo=0):
    return HEADER.pack(flags, seq & 0xffffffff, ack & 0xffffffff,
        socket.inet_aton(target[0]), source[1], target[1],
        socket.inet_aton(source[0]), len(data), echo, 7) + data


def parse(data):
    flags, seq, ack, dst, sport, dport, src, _, echo, _ = \
        HEADER.unpack(data[:HEADER.size])
    return (flags, seq, ack, (socket.inet_ntoa(src), sport),
        (socket.inet_ntoa(dst), dport), data[HEADER.size:], echo)


class Store:
    """The platform's store. Reads with allow-stale show it as it was stale_s
    seconds ago; all others are exact."""

    def __init__(self, address, record):
        self.record = record
        self.stale_s = 0.3
        self.items, self.revision, self.events = {}, 100, []
        self.states = [(now(), 100, {})]
        self.changed = threading.Condition()
        store = self

        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def do_GET(self):
                store.answer(self)

            def log_message(self, *args):
                pass

        server = http.server.ThreadingHTTPServer(address, Handler)
        server.daemon_threads = True
        threading.Thread(target=server.serve_forever, daemon=True).start()

    def put(self, key, value):
        """Writes an item, or removes it if value is None. Returns the time of
        the acknowledgement."""
        with self.changed:
            self.revision += 1
            if value is None:
                self.items.pop(key, None)
                event = {"key": key, "rev": self.revision, "tombstone": True}
            else:
                text = base64.b64encode(json.dumps(value).encode()).decode()
                event = {"key": key, "value": text, "rev": self.revision,
                    "created-rev": self.revision, "lease": 0}
                self.items[key] = event
            self.events.append(event)
            self.states.append((now(), self.revision, dict(self.items)))
            self.changed.notify_all()
            self.record.add("store_acknowledged", key=key,
                revision=self.revision, value=json.dumps(value))
            return now()

    def answer(self, handler):
        path, _, query = handler.path.partition("?")
        query = dict(part.split("=", 1) for part in query.split("&"))
        prefix = query["prefix"]
        time.sleep(0.004)
        with self.changed:
            if path == "/kv-watch":
                body = self.watch(prefix, int(query["after"]),
                    int(query["wait-ms"]) / 1000)
            else:
                revision, items = self.revision, self.items
                if query.get("allow-stale") == "1":
                    at = now() - self.stale_s
                    _, revision, items = [state for state in self.states
                        if state[0] <= at or state is self.states[0]][-1]
                body = {"items": [items[key] for key in sorted(items)
                    if key.startswith(prefix)
                    and key > query.get("after", "")],
                    "has-more": False, "store-revision": revision}
        text = json.dumps(body).encode()
        try:
            handler.send_response(200)
            handler.send_header("Content-Type", "application/json")
            handler.send_header("Content-Length", str(len(text)))
            handler.end_headers()
            handler.wfile.write(text)
        except OSError:
            handler.close_connection = True  # the process has ended

    def watch(self, prefix, after, wait_s):
        end = time.monotonic() + wait_s
        while True:
            events = [event for event in self.events if event["rev"] > after
                and event["key"].startswith(prefix)]
            left = end - time.monotonic()
            if events or left <= 0:
                return {"events": events, "store-revision": self.revision}
            self.changed.wait(left)


class Timers:
    def __init__(self):
        self.heap, self.count, self.lock = [], 0, threading.Lock()

    def after(self, seconds, call):
        with self.lock:
            self.count += 1
            heapq.heappush(self.heap,
                (time.monotonic() + seconds, self.count, call))

    def run_due(self):
        """Returns the seconds until the next one, 0.02 at most."""
        while True:
            with self.lock:
                left = self.heap[0][0] - time.monotonic() if self.heap else 1
                if left > 0:
                    return min(left, 0.02)
                call = heapq.heappop(self.heap)[2]
            call()


class Peer:
    """One end of a flow: data in order, acknowledgements, retransmission."""

    def __init__(self, end, local, remote, isn, remote_next):
        self.end, self.local, self.remote = end, local, remote
        self.next, self.remote_next = isn + 1, remote_next
        self.unacked, self.unanswered = [], 0
        self.ended = False

    def send(self, flags, data=b""):
        entry = [self.next, flags, data, 0]
        self.next += len(data) + (1 if flags & FIN else 0)
        self.unacked.append(entry)
        self.transmit(entry, RETRANSMIT)

    def transmit(self, entry, delay):
        if self.ended or entry not in self.unacked:
            return
        if entry[3] > RETRANSMIT_TRIES:
            self.ended = True
            return
        entry[3] += 1
        self.unanswered = 0
        self.end.transmit(self, packet(self.local, self.remote,
            entry[1] | ACK, entry[0], self.remote_next, entry[2]), entry[3])
        self.end.timers.after(delay, lambda: self.transmit(entry,
            min(2 * delay, RETRANSMIT_MAX)))

    def acknowledge(self):
        self.unanswered = 0
        self.end.transmit(self, packet(self.local, self.remote, ACK,
            self.next, self.remote_next), 1)

    def receive(self, flags, seq, ack, data):
        """Returns whether the packet has new data or a new FIN."""
        self.unacked = [entry for entry in self.unacked if
            entry[0] + len(entry[2]) + (1 if entry[1] & FIN else 0) > ack]
        size = len(data) + (1 if flags & FIN else 0)
        if size == 0:
            return False
        if seq != self.remote_next:
            self.acknowledge()
            return False
        self.remote_next += size
        self.unanswered += 1
        if self.unanswered >= 2 or flags & FIN:
            self.acknowledge()
        return True


class Host:
    """An application host: slots, a queue before them, flows and a health
    check that takes a slot. A request is one packet; its first word is the
    id, its second one the work in milliseconds."""

    def __init__(self, world, name, service, zone, address, slots=2):
        self.world, self.record = world, world.record
        self.name, self.service, self.zone = name, service, zone
        self.address, self.slots = address, slots
        self.timers, self.flows, self.takes = Timers(), {}, []
        self.busy, self.queue = 0, []
        self.draining = False
        self.beats, self.born, self.cold_until = 0, 0, 0.0
        self.udp = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.udp.bind((address, world.app))
        self.listener, self.checks, self.running = None, set(), False
        self.begin(name, 0.0)
        threading.Thread(target=self.run, daemon=True).start()

    def begin(self, name, cold_s):
        """Starts, or starts again, knowing nothing of before."""
        self.name, self.flows, self.busy, self.queue = name, {}, 0, []
        self.epoch = object()
        self.beats, self.born = 0, int(time.time() * 1000)
        self.cold_until = now() + cold_s
        if self.listener is None:
            self.listener = socket.create_server((self.address,
                self.world.app))
        self.running = True
        self.beat()

    def crash(self):
        """Sends nothing more; its connections end with its machine."""
        self.running, self.epoch = False, None
        self.close_port()
        self.reset_checks()

    def fall_silent(self):
        """Sends nothing more and closes nothing, as when its machine stops."""
        self.running, self.epoch = False, None

    def end_silence(self, name, cold_s):
        """Starts again; the connections of before are reset."""
        self.listener.setblocking(False)
        try:
            while True:
                self.checks.add(self.listener.accept()[0])
        except BlockingIOError:
            pass
        self.listener.setblocking(True)
        self.reset_checks()
        self.begin(name, cold_s)

    def reset_checks(self):
        for check in list(self.checks):
            self.checks.discard(check)
            check.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                struct.pack("ii", 1, 0))
            check.close()

    def close_port(self):
        listener, self.listener = self.listener, None
        if listener is not None:
            listener.close()

    def entry(self):
        return {"service": self.service, "address": "%s:%d" % (self.address,
            self.world.app), "zone": self.zone, "version": "v1",
            "slots": self.slots, "state": "draining" if self.draining else
            "ready", "cold-remaining-ms": max(0, int(1000 *
            (self.cold_until - now()))), "seq": self.beats, "born": self.born}

    def beat(self):
        self.beats += 1
        return self.world.store.put("servers/" + self.name, self.entry())

    def keep_beating(self, epoch):
        if epoch is self.epoch and self.running:
            self.beat()
            self.timers.after(self.world.heartbeat_s,
                lambda: self.keep_beating(epoch))

    def drain(self):
        self.draining = True
        return self.beat()

    def run(self):
        while True:
            wait = self.timers.run_due()
            socks = [self.udp] + list(self.checks)
            if self.listener is not None and self.running:
                socks.append(self.listener)
            try:
                ready, _, _ = select.select(socks, [], [], wait)
            except (OSError, ValueError):
                continue  # a socket was closed meanwhile
            for sock in ready:
                try:
                    if sock is self.udp:
                        self.receive(sock.recv(2048))
                    elif sock is self.listener:
                        self.checks.add(sock.accept()[0])
                    else:
                        self.check(sock)
                except OSError:
                    self.checks.discard(sock)

    def transmit(self, peer, data, tries):
        if self.running:
            self.udp.sendto(data, (self.address, self.world.output))

    def take_slot(self, work, done):
        """Runs work() now or later; the slot is free after the seconds that
        it returns, and done() is called then."""
        self.queue.append((work, done, self.epoch))
        self.fill_slots()

    def fill_slots(self):
        while self.busy < self.slots and self.queue:
            work, done, epoch = self.queue.pop(0)
            self.busy += 1
            self.timers.after(work(), lambda done=done, epoch=epoch:
                self.free_slot(done, epoch))

    def free_slot(self, done, epoch):
        if epoch is not self.epoch:
            return
        self.busy -= 1
        done()
        self.fill_slots()

    def check(self, sock):
        if not self.running:
            time.sleep(0.001)  # it stays in the socket, unread
            return
        request = sock.recv(4096)
        if not request:
            self.checks.discard(sock)
            sock.close()
            return
        self.take_slot(lambda: 0.001, lambda: self.answer_check(sock))

    def answer_check(self, sock):
        leaving = self.draining
        self.record.add("health_answered", host=self.name,
            status=503 if leaving else 200)
        try:
            sock.sendall(b"HTTP/1.1 %s\r\nInstance-Id: %s\r\n"
                b"Server-Load: %d,0,%d\r\nContent-Length: 0\r\n\r\n" % (
                b"503 Service Unavailable" if leaving else b"200 OK",
                self.name.encode(), self.busy, len(self.flows)))
        except OSError:
            leaving = True
        if leaving:
            self.checks.discard(sock)
            sock.close()

    def receive(self, data):
        if not self.running:
            return
        flags, seq, ack, client, route, body, _ = parse(data)
        peer = self.flows.get((client, route))
        if flags & SYN:
            if peer is None:
                isn = random.randrange(1 << 29)
                peer = Peer(self, route, client, isn, seq + 1)
                peer.isn, peer.open = isn, False
                self.flows[(client, route)] = peer
                self.takes.append((now(), client))
                self.record.add("host_takes_syn", host=self.name,
                    client="%s:%d" % client, route="%s:%d" % route)
            self.transmit(peer, packet(route, client, SYN | ACK, peer.isn,
                peer.remote_next), 1)
            return
        if peer is None or (not peer.open and ack != peer.isn + 1):
            self.transmit(None, bytes([flags | BOUNCED]) + data[1:], 1)
            return
        if flags & RST:
            peer.ended = True
            del self.flows[(client, route)]
            return
        if not peer.open:
            peer.open = True
            self.record.add("flow_open", host=self.name,
                client="%s:%d" % client)
        new = peer.receive(flags, seq, ack, body)
        if new and body:
            self.request(peer, client, route, body)
        elif new and flags & FIN and not getattr(peer, "closed", False):
            peer.closed = True
            peer.send(FIN)

    def request(self, peer, client, route, body):
        words = body.split()
        work = int(words[1]) / 1000

        def start():
            self.record.add("request_runs", host=self.name,
                id=words[0].decode(), work_ms=int(1000 * work))
            return work

        def done():
            self.record.add("request_done", host=self.name,
                id=words[0].decode())
            peer.send(0, b"done " + words[0])
            if self.draining and not getattr(peer, "closed", False):
                peer.closed = True
                peer.send(FIN)

        self.take_slot(start, done)


class Flow(Peer):
    """A client's end of a flow."""

    def __init__(self, clients, local, route):
        super().__init__(clients, local, route, random.randrange(1 << 29), 0)
        self.isn, self.state, self.answers = self.next - 1, "opening", []
        self.reset_at, self.entry = None, None
        self.on_open = self.on_end = lambda flow: None


class Clients:
    """Clients of one zone; their packets go through the zone's router."""

    def __init__(self, world, zone, address):
        self.world, self.record, self.zone = world, world.record, zone
        self.address, self.timers, self.flows = address, Timers(), {}
        self.next_port = 40001
        self.lose = lambda flow, data, tries: False
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.sock.bind((address, world.port))
        self.sock.settimeout(0.02)
        threading.Thread(target=self.run, daemon=True).start()

    def run(self):
        while True:
            self.sock.settimeout(max(0.0005, self.timers.run_due()))
            try:
                data = self.sock.recv(2048)
            except (socket.timeout, BlockingIOError):
                continue
            self.receive(data)

    def open(self, route, on_open=None, on_end=None):
        flow = Flow(self, (self.address, self.next_port), route)
        self.next_port += 1
        if on_open:
            flow.on_open = on_open
        if on_end:
            flow.on_end = on_end
        self.flows[flow.local] = flow
        self.record.add("syn_sent", client="%s:%d" % flow.local,
            route="%s:%d" % route)
        self.send_syn(flow, 0)
        for copy, delay in enumerate(SYN_COPIES, 1):
            self.timers.after(delay, lambda copy=copy: self.send_syn(flow,
                copy))
        self.timers.after(SYN_GIVE_UP, lambda: self.end_attempt(flow))
        return flow

    def send_syn(self, flow, copy):
        if flow.state == "opening":
            self.transmit(flow, packet(flow.local, flow.remote, SYN,
                flow.isn, copy), copy + 1)

    def end_attempt(self, flow):
        if flow.state == "opening":
            flow.state = "failed"
            self.record.add("attempt_ended", client="%s:%d" % flow.local)
            flow.on_end(flow)

    def transmit(self, flow, data, tries):
        entry = self.world.route_packet(self.zone, flow)
        if entry is None or self.lose(flow, data, tries):
            return
        try:
            self.sock.sendto(data, (entry, self.world.port))
        except OSError:
            pass

    def receive(self, data):
        flags, seq, ack, _, local, body, _ = parse(data)
        flow = self.flows.get(local)
        if flow is None:
            return
        if flags & RST:
            if flow.state in ("opening", "open"):
                flow.reset_at, flow.state = now(), "reset"
                flow.ended = True
                self.record.add("client_gets_reset", client="%s:%d" %
                    flow.local, own_of_system=data[27:31] == bytes(4))
                flow.on_end(flow)
            return
        if flags & SYN:
            if flow.state == "opening":
                flow.state, flow.remote_next = "open", seq + 1
                flow.acknowledge()
                flow.on_open(flow)
            return
        if flow.state == "closed":
            flow.receive(flags, seq, ack, body)
        elif flow.state == "open" and flow.receive(flags, seq, ack, body):
            if body.startswith(b"done"):
                flow.answers.append(body.split()[1].decode())
                self.record.add("client_gets_answer",
                    id=flow.answers[-1], client="%s:%d" % flow.local)
                flow.acknowledge()
            if flags & FIN:
                flow.state = "closed"
                flow.send(FIN)
                flow.on_end(flow)

    def request(self, flow, request, work_ms):
        text = "%s %d" % (request, work_ms)
        self.record.add("request_sent", id=request, client="%s:%d" %
            flow.local, work_ms=work_ms)
        self.timers.after(0, lambda: flow.send(0, text.encode()))

    def close(self, flow):
        if flow.state == "open":
            flow.state = "closed"
            self.timers.after(0, lambda: flow.send(FIN))


def fill_in(template, values, inner=None):
    """Fills in a settings template as DEPLOY.md says."""
    def section(match):
        sign, name, body = match.groups()
        value = values.get(name)
        if sign == "^":
            return "" if value else fill_in(body, values, inner)
        return fill_in(body, values, value) if value else ""

    text = re.sub(r"\{\{([#^])([^}]+)\}\}(.*?)\{\{/\2\}\}", section, template,
        flags=re.S)

    def value_of(match):
        name = match.group(1)
        if name == ".":
            return str(inner)
        base, _, index = name.rpartition(".")
        if index.isdigit():
            return str(values[base][int(index)])
        return str(values.get(name, ""))

    return re.sub(r"\{\{([^}#^/]+)\}\}", value_of, text)


class World:
    def __init__(self, folder):
        self.folder = folder
        self.record = Record(folder)
        self.temporary = tempfile.TemporaryDirectory(prefix="plantainlug-")
        self.processes, self.heartbeat_s = {}, 1.2
        net = "127.%d.%d" % (random.randrange(64, 250),
            random.randrange(1, 250))
        self.net = net
        first = random.randrange(2100, 2900) * 10
        (self.port, self.notice, self.ready, self.app, self.output,
            store) = range(first, first + 6)
        self.store_address = (net + ".250", store)
        self.store = Store(self.store_address, self.record)
        self.rotation, self.entries = {}, {}
        with open(os.path.join(ROOT, "deploy/system.toml"), "rb") as file:
            self.roles = tomllib.load(file)["roles"]

    def configure(self, version, routes, services, idle_ms=15000):
        return self.store.put("op/config", {"version": version,
            "routes": routes, "services": services, "limits": {
            "max-header-bytes": 16384, "max-body-bytes": 262144,
            "header-timeout-ms": 3000, "idle-timeout-ms": idle_ms}})

    def start(self, role, node, zone, address, service=None):
        """Starts a process with the command of the deploy file."""
        deploy = self.roles[role]
        values = {"node": node, "role": role, "zone": zone,
            "listen.datagram-addr": "%s:%d" % (address, self.port),
            "listen.ready": "%s:%d" % (address, self.ready),
            "platform.address": "%s:%d" % self.store_address,
            "internal-ports": [self.notice, self.notice],
            "bounds.max-flow-s": 60, "bounds.reuse-after-s": 2}
        if role == "agent":
            values.update({"listen.outbound": "%s:%d" % (address,
                self.output), "app": "%s:%d" % (address, self.app),
                "service": service})
        with open(os.path.join(ROOT, deploy["template"])) as file:
            text = fill_in(file.read(), values)
        path = os.path.join(self.temporary.name, node + ".settings")
        with open(path, "w") as file:
            file.write(text)
        log = open(os.path.join(self.temporary.name, node + ".log"), "ab")
        self.processes[node] = subprocess.Popen(deploy["run"].split(),
            cwd=ROOT, env={"PATH": os.environ["PATH"],
            "PLANTAINLUG_SETTINGS": path}, stdout=log, stderr=log,
            stdin=subprocess.DEVNULL)
        self.record.add("process_started", node=node, role=role)
        if role == "entry":
            self.entries[address] = zone
            self.rotation.setdefault(address, False)

    def end(self, node, number):
        process = self.processes.pop(node)
        process.send_signal(number)
        self.record.add("process_signalled", node=node, signal=number)
        return process

    def is_ready(self, address):
        try:
            url = "http://%s:%d/ready" % (address, self.ready)
            with urllib.request.urlopen(url, timeout=0.4) as answer:
                return answer.status == 200
        except (OSError, urllib.error.HTTPError):
            return False

    def watch_rotation(self):
        """GET /ready twice a second; out after two misses."""
        def run():
            misses = {}
            while True:
                for address in list(self.entries):
                    ready = self.is_ready(address)
                    misses[address] = 0 if ready else \
                        misses.get(address, 0) + 1
                    inside = ready or (self.rotation[address] and
                        misses[address] < 2)
                    if inside != self.rotation[address]:
                        self.record.add("rotation", entry=address,
                            inside=inside)
                    self.rotation[address] = inside
                time.sleep(0.5)
        threading.Thread(target=run, daemon=True).start()

    def route_packet(self, zone, flow):
        """The entry that the router picks for a packet."""
        inside = [address for address, at in self.entries.items()
            if at == zone and self.rotation[address]] or \
            [address for address in self.entries if self.rotation[address]]
        return max(inside, key=lambda address: hash((address, flow.local,
            flow.remote))) if inside else None

    def wait_for(self, what, condition, seconds=15.0):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if condition():
                return
            time.sleep(0.01)
        raise CannotRun(what)

    def log_text(self, node):
        with open(os.path.join(self.temporary.name, node + ".log")) as file:
            return file.read()

    def finish(self):
        for process in self.processes.values():
            process.kill()
            process.wait()


def interrupted(number, frame):
    raise CannotRun("signal %d" % number)


def play(folder, case):
    """Plays case(world, trouble), which returns whether the rule was broken
    and a text; exits with 1 if so, 0 if not, 2 if the case couldn't run."""
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGALRM):
        signal.signal(number, interrupted)
    signal.alarm(TIME_LIMIT_S)
    world = World(folder)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    try:
        broken, text = case(world, trouble)
        status = BROKEN if broken else HELD
    except CannotRun as reason:
        status, text = FAILED, "the case couldn't run: %s" % reason
    except Exception as error:  # a fault of the script shows nothing
        status, text = FAILED, "the script failed: %r" % error
    finally:
        for node in list(world.processes):
            for line in world.log_text(node).splitlines():
                if re.search(r"event=(host_|flow_reset|domain_|store_|ready|"
                        r"stopp|config_)", line):
                    world.record.add("log", node=node, line=line)
        world.finish()
        world.temporary.cleanup()
    world.record.add("verdict", status=status, text=repr(text))
    print(text, flush=True)
    sys.stdout.flush()
    os._exit(status)
