"""Plays entries that leave while an agent is frozen, after all agents restarted.

Four entries and five hosts, each with its agent, are the project's programs; the
store, the routers, the hosts and the clients are threads of this process. They
follow PROTOCOL.md. Writes record.txt beside this file. With TROUBLE=0 no agent
is frozen.

exit status: 1 when FLOW (b) was broken, 0 when it held, 2 when the case could
not run
"""

import base64
import hashlib
import http.client
import http.server
import json
import os
import random
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
PROGRAM = os.path.join(FOLDER, "..", "..", "target", "plantainlug")
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

ENTRIES = ["127.10.0.%d" % i for i in range(1, 5)]
SIDES = ["127.20.0.%d" % i for i in range(1, 6)]
CLIENT, STORE = "127.30.0.1", "127.40.0.1"
VIP = ("127.50.0.1", 443)
ZONE, SERVICE = "zone-a", "disburse"

FLOWS = 240
HEARTBEAT_S = 1.2
IDLE_MS = 15000        # limits.idle-timeout-ms
DEADLINE_S = 2.0       # of a request, as bank-confirm of tahseel-amman
GRACE_S = 2.0          # bounds.flow-grace-ms
IN_TOUCH_S = 4.0       # bounds.stability-window-ms
FREEZE_S = 4.0         # node_freeze, for_s
ROLL_GAP_S = 0.5       # between the restarts of two agents
LEAVE_GAP_S = 1.4      # between the SIGTERMs of two entries that leave
GRACE_KILL_S = 6.0     # bounds.grace-s

SYN, RST, FIN, ACK, BOUNCED = 1, 2, 4, 16, 32
HEADER = struct.Struct(">BII4sHH4sHII")

START = time.monotonic()
lock = threading.RLock()
lines = []
processes = []


def now():
    return time.monotonic() - START


def record(text):
    with lock:
        lines.append("%8.3f %s" % (now(), text))


class CannotRun(Exception):
    """The case could not be set up."""


def free_port(addresses):
    for _ in range(200):
        port = random.randrange(10000, 30000)
        try:
            for address in addresses:
                for kind in (socket.SOCK_DGRAM, socket.SOCK_STREAM):
                    with socket.socket(socket.AF_INET, kind) as sock:
                        sock.bind((address, port))
        except OSError:
            continue
        return port
    raise CannotRun("no free port")


def packet(source, target, flags, seq, ack, data=b""):
    return HEADER.pack(flags, seq & 0xffffffff, ack & 0xffffffff,
        socket.inet_aton(target[0]), source[1], target[1],
        socket.inet_aton(source[0]), len(data), 0, 7) + data


def unpack(data):
    flags, seq, ack, dst, sport, dport, src, _, _, _ = \
        HEADER.unpack(data[:HEADER.size])
    return flags, seq, ack, (socket.inet_ntoa(src), sport), \
        (socket.inet_ntoa(dst), dport), data[HEADER.size:]


class Server(http.server.ThreadingHTTPServer):
    daemon_threads = True

    def handle_error(self, request, client_address):
        pass  # the process at the other end has ended


class Store:
    """Holds one configuration and the hosts' entries, which change with seq."""

    def __init__(self, port, app):
        self.revision = 10
        self.items = {"op/config": (10, {"version": 1, "routes": [{
            "name": "r", "host": VIP[0], "prefix": "/%d/" % VIP[1],
            "kind": "non_idempotent", "timeout-ms": int(DEADLINE_S * 1000),
            "target-latency-ms": 400, "priority": 1, "service": SERVICE}],
            "services": [{"name": SERVICE, "health-path": "/health",
                "max-conns": 2000, "cold-start-s": 2.0, "cold-per-s": 0.0}],
            "limits": {"idle-timeout-ms": IDLE_MS}})}
        store = self

        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def do_GET(self):
                try:
                    store.answer(self)
                except OSError:
                    pass  # the process has ended

            def log_message(self, *args):
                pass

        server = Server((STORE, port), Handler)
        threading.Thread(target=server.serve_forever, daemon=True).start()
        threading.Thread(target=self.beat, args=(app,), daemon=True).start()

    def beat(self, app):
        seq = 0
        while True:
            seq += 1
            with lock:
                for i, side in enumerate(SIDES):
                    self.revision += 1
                    self.items["servers/i-%d" % (i + 1)] = (self.revision, {
                        "service": SERVICE, "address": "%s:%d" % (side, app),
                        "zone": ZONE, "version": "v1", "slots": 9,
                        "state": "ready", "cold-remaining-ms": 0, "seq": seq})
            time.sleep(HEARTBEAT_S)

    def answer(self, request):
        path, _, query = request.path.partition("?")
        fields = dict(field.split("=") for field in query.split("&"))
        if path == "/kv-watch":
            # Nothing under op/ changes.
            time.sleep(int(fields["wait-ms"]) / 1000)
            body = {"events": []}
        else:
            with lock:
                body = {"items": [{"key": key, "rev": rev, "created-rev": rev,
                    "lease": 0, "value":
                    base64.b64encode(json.dumps(value).encode()).decode()}
                    for key, (rev, value) in sorted(self.items.items())
                    if key.startswith(fields["prefix"])], "has-more": False}
        body["store-revision"] = self.revision
        text = json.dumps(body).encode()
        request.send_response(200)
        request.send_header("Content-Type", "application/json")
        request.send_header("Content-Length", str(len(text)))
        request.end_headers()
        request.wfile.write(text)


class Host:
    """Runs each request once and returns the packets of flows it doesn't hold."""

    def __init__(self, number, address, app, outbound):
        self.number = number
        self.outbound = (address, outbound)
        self.flows = {}   # client: [isn, next expected, next own, answer]
        self.packets = {}  # client: list of (time, own)
        self.runs = {}
        host = self

        class Health(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def do_GET(self):
                self.send_response(200)
                self.send_header("Instance-Id", "i-%d" % host.number)
                self.send_header("Content-Length", "0")
                self.end_headers()

            def log_message(self, *args):
                pass

        server = Server((address, app), Health)
        threading.Thread(target=server.serve_forever, daemon=True).start()
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.sock.bind((address, app))
        threading.Thread(target=self.run, daemon=True).start()

    def run(self):
        while True:
            data = self.sock.recv(2048)
            flags, seq, ack, client, route, body = unpack(data)
            answer = self.handle(data, flags, seq, ack, client, route, body)
            if answer is not None:
                self.sock.sendto(answer, self.outbound)

    def handle(self, data, flags, seq, ack, client, route, body):
        flow = self.flows.get(client)
        if flags & SYN:
            if flow is None:
                isn = random.randrange(1 << 31)
                flow = self.flows[client] = [isn, seq + 1, isn + 1, b""]
            return packet(route, client, SYN | ACK, flow[0], seq + 1)
        own = flow is not None and 0 <= ack - flow[0] <= 76800
        with lock:
            self.packets.setdefault(client, []).append((now(), own))
        record("host-%d gets a packet of flow %d, flags %d, %d bytes: %s" % (
            self.number, client[1], flags, len(body),
            "its flow" if own else "returned, not its flow"))
        if not own:
            return bytes([flags | BOUNCED]) + data[1:]
        if flags & RST:
            del self.flows[client]
            return None
        if flags & FIN:
            return packet(route, client, ACK | FIN, flow[2], seq + 1)
        if not body:
            return None
        if seq == flow[1]:
            flow[1] = seq + len(body)
            self.runs[body] = self.runs.get(body, 0) + 1
            flow[3] = packet(route, client, ACK, flow[2], flow[1],
                b"done " + body)
            flow[2] += len(body) + 5
            time.sleep(0.002)
        return flow[3] or None


class Routers:
    """Polls the entries' readiness and chooses an entry for each packet."""

    def __init__(self, ready):
        self.ready = ready
        self.misses = {entry: 2 for entry in ENTRIES}
        for entry in ENTRIES:
            threading.Thread(
                target=self.poll, args=(entry,), daemon=True).start()

    def poll(self, entry):
        while True:
            started = time.monotonic()
            try:
                connection = http.client.HTTPConnection(
                    entry, self.ready, timeout=0.4)
                connection.request("GET", "/ready")
                good = connection.getresponse().status == 200
                connection.close()
            except OSError:
                good = False
            with lock:
                was = self.misses[entry] < 2
                self.misses[entry] = 0 if good else self.misses[entry] + 1
                if was != (self.misses[entry] < 2):
                    record("routers: entry-%d is %s rotation" % (
                        ENTRIES.index(entry) + 1, "out of" if was else "in"))
            time.sleep(max(0, started + 0.5 - time.monotonic()))

    def choose(self, port):
        """The hash is steady: only flows of an entry that comes or goes move."""
        with lock:
            nodes = [e for e in ENTRIES if self.misses[e] < 2]
        if len(nodes) * 2 < len(ENTRIES):
            nodes = ENTRIES
        return max(nodes, key=lambda entry: hashlib.sha256(
            ("%s %d" % (entry, port)).encode()).digest())


class Flow:
    """A client's flow, kept open for several requests."""

    def __init__(self, clients, port):
        self.clients = clients
        self.port = port
        self.seq = random.randrange(1 << 31)
        self.ack = 0
        self.state = "opening"
        self.data = None       # request that has no answer yet
        self.answered = None   # time of the last answer
        self.sent_at = None
        self.due = now() + 0.2
        self.interval = 0.2
        self.copies = 0

    def send(self, flags, data=b""):
        entry = self.clients.routers.choose(self.port)
        self.clients.sock.sendto(packet((CLIENT, self.port), VIP, flags,
            self.seq, self.ack, data), (entry, self.clients.port))
        return entry

    def open(self):
        entry = self.send(SYN)
        record("flow %d: SYN to entry-%d" % (
            self.port, ENTRIES.index(entry) + 1))

    def request(self, name):
        self.data = ("%s %d" % (name, self.port)).encode()
        self.answered = None
        self.sent_at = now()
        self.interval = 0.2
        self.transmit("request")

    def transmit(self, what):
        entry = self.send(ACK, self.data)
        self.due = now() + self.interval
        record("flow %d: %s '%s' to entry-%d" % (self.port, what,
            self.data.decode(), ENTRIES.index(entry) + 1))

    def step(self):
        if self.state == "opening" and now() >= self.due:
            self.copies += 1
            if self.copies > 2:
                self.state = "failed"
                return
            self.due = now() + 0.4 if self.copies == 1 else now() + 0.8
            ack, self.ack = self.ack, self.copies
            self.send(SYN)
            self.ack = ack
        elif self.state == "open" and self.data is not None and \
                now() >= self.due:
            if now() - self.sent_at >= DEADLINE_S:
                record("flow %d: the client gives up" % self.port)
                self.state = "given up"
                self.send(ACK | FIN)
                return
            self.interval = min(self.interval * 2, 1.6)
            self.transmit("copy of")

    def receive(self, flags, seq, ack, body):
        if flags & RST:
            if self.state in ("opening", "open"):
                record("flow %d: reset" % self.port)
                self.state = "reset"
        elif flags & SYN and self.state == "opening":
            self.state = "open"
            self.seq += 1
            self.ack = seq + 1
            self.request("first")
        elif body and self.data is not None and body == b"done " + self.data:
            self.seq += len(self.data)
            self.ack = seq + len(body)
            self.answered = now()
            record("flow %d: answer to '%s'" % (self.port, self.data.decode()))
            self.data = None
            self.send(ACK)


class Clients:
    def __init__(self, port, routers):
        self.port = port
        self.routers = routers
        self.flows = {}
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 20)
        self.sock.bind((CLIENT, port))
        self.sock.settimeout(0.005)
        threading.Thread(target=self.run, daemon=True).start()

    def run(self):
        while True:
            try:
                flags, seq, ack, _, client, body = unpack(self.sock.recv(2048))
                flow = self.flows.get(client[1])
            except socket.timeout:
                flow = None
            with lock:
                if flow is not None:
                    flow.receive(flags, seq, ack, body)
                for each in list(self.flows.values()):
                    each.step()


class Node:
    """One of the project's programs, started as the deploy file says."""

    def __init__(self, folder, role, number, address, ports):
        self.name = "%s-%d" % (role, number)
        self.role = role
        self.path = os.path.join(folder, self.name + ".json")
        self.log = os.path.join(folder, self.name + ".log")
        settings = {"role": role, "name": self.name, "domain": ZONE,
            "segments": "%s:%d" % (address, ports["packets"]),
            "ready": "%s:%d" % (address, ports["ready"]),
            "store": "%s:%d" % (STORE, ports["store"]),
            "notice_port": ports["inner"],
            "flow_age_max_s": 60, "address_reuse_s": 2}
        if role == "agent":
            settings.update({
                "host_output": "%s:%d" % (address, ports["outbound"]),
                "host": "%s:%d" % (address, ports["app"]),
                "service": SERVICE})
        with open(self.path, "w") as file:
            json.dump(settings, file)
        self.start()

    def start(self):
        environment = {"PATH": os.environ.get("PATH", "/usr/bin:/bin"),
            "HOME": os.path.dirname(self.path), "LANG": "C",
            "PLANTAINLUG_SETTINGS": self.path}
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen(
                [PROGRAM, "tracking-" + self.role], env=environment,
                stdout=log, stderr=log, stdin=subprocess.DEVNULL)
        processes.append(self.process)
        record("%s: started" % self.name)

    def terminate(self):
        record("%s: SIGTERM" % self.name)
        self.process.send_signal(signal.SIGTERM)

    def restart(self):
        self.terminate()
        try:
            self.process.wait(GRACE_KILL_S)
        except subprocess.TimeoutExpired:
            self.process.kill()
            self.process.wait()
        time.sleep(0.1)
        self.start()

    def log_has(self, text):
        with open(self.log) as file:
            return text in file.read()


def wait_for(what, condition, seconds=15.0):
    deadline = time.monotonic() + seconds
    while not condition():
        if time.monotonic() > deadline:
            raise CannotRun(what)
        time.sleep(0.02)


def sleep_until(moment):
    time.sleep(max(0, moment - now()))


def broken(hosts, home, port, since):
    """FLOW (b): for GRACE_S, three or more packets at others, none at its own.

    A span doesn't count when a packet has reached the flow's own host between
    the request, sent at since, and its end.

    Return: the times of the packets at other hosts in the first such span, or
    None.
    """
    client = (CLIENT, port)
    with lock:
        mine = [at for at, own in hosts[home].packets.get(client, []) if own]
        other = sorted(at for i, host in enumerate(hosts) if i != home
            for at, own in host.packets.get(client, []))
    for at in other:
        span = [t for t in other if at <= t < at + GRACE_S]
        if len(span) >= 3 and now() >= at + GRACE_S and \
                not any(since <= t < at + GRACE_S for t in mine):
            return span
    return None


def play(folder):
    everyone = ENTRIES + SIDES + [CLIENT, STORE]
    ports = {name: free_port(everyone) for name in
        ("packets", "ready", "store", "inner", "outbound", "app")}
    if len(set(ports.values())) < len(ports):
        raise CannotRun("ports")
    Store(ports["store"], ports["app"])
    hosts = [Host(i + 1, side, ports["app"], ports["outbound"])
        for i, side in enumerate(SIDES)]
    agents = [Node(folder, "agent", i + 1, side, ports)
        for i, side in enumerate(SIDES)]
    entries = [Node(folder, "entry", i + 1, entry, ports)
        for i, entry in enumerate(ENTRIES)]
    routers = Routers(ports["ready"])
    clients = Clients(ports["packets"], routers)
    wait_for("entries in rotation",
        lambda: all(misses == 0 for misses in routers.misses.values()))
    wait_for("hosts are up", lambda: all(
        agent.log_has("event=host_up") for agent in agents))
    wait_for("hosts are listed", lambda: all(
        entry.log_has("host=i-%d " % i) for entry in entries
        for i in range(1, len(SIDES) + 1)))
    time.sleep(1.0)

    for i in range(FLOWS):
        flow = Flow(clients, 20000 + i)
        with lock:
            clients.flows[flow.port] = flow
            flow.open()
        time.sleep(0.01)
    wait_for("all flows are open and answered", lambda: all(
        flow.answered for flow in clients.flows.values()))
    home = {}
    for flow in clients.flows.values():
        home[flow.port] = [i for i, host in enumerate(hosts)
            if ("first %d" % flow.port).encode() in host.runs][0]
    before = {port: routers.choose(port) for port in home}

    record("planned work: the agents are restarted in turn")
    for agent in agents:
        agent.restart()
        time.sleep(ROLL_GAP_S)
    wait_for("hosts are up again", lambda: all(open(agent.log).read().count(
        "event=host_up") >= 2 for agent in agents))
    sleep_until(now() + IN_TOUCH_S + 0.5)

    record("planned work: entry-1 and entry-2 leave in turn")
    started = now()
    entries[0].terminate()
    sleep_until(started + 0.8)
    frozen = len(SIDES) - 1
    if TROUBLE:
        record("agent-%d: freezes for %.1f s" % (frozen + 1, FREEZE_S))
        agents[frozen].process.send_signal(signal.SIGSTOP)
    sleep_until(started + 1.2)
    with lock:
        asked = [flow for flow in clients.flows.values()
            if before[flow.port] == ENTRIES[0] and
            routers.choose(flow.port) == ENTRIES[1] and
            home[flow.port] != frozen]
        for flow in asked:
            flow.request("second")
    sleep_until(started + LEAVE_GAP_S)
    entries[1].terminate()
    sleep_until(started + 0.8 + FREEZE_S)
    if TROUBLE:
        agents[frozen].process.send_signal(signal.SIGCONT)
        record("agent-%d: wakes" % (frozen + 1))
    sleep_until(started + 9.0)

    if not asked:
        raise CannotRun("no flow went from entry-1 to entry-2")
    count = 0
    for flow in asked:
        span = broken(hosts, home[flow.port], flow.port, flow.sent_at)
        record("result: flow %d of host-%d: %s; answer %s" % (flow.port,
            home[flow.port] + 1, "FLOW broken, packets at other hosts at %s" %
            ", ".join("%.3f" % at for at in span) if span else "FLOW kept",
            "after %.3f s" % (flow.answered - flow.sent_at)
            if flow.answered else "none"))
        count += span is not None
    twice = sum(1 for host in hosts for n in host.runs.values() if n > 1)
    answered = sum(1 for flow in asked if flow.answered)
    record("result: %d of %d flows broken, %d answered, %d run twice" % (
        count, len(asked), answered, twice))
    print(lines[-1][9:])
    if not TROUBLE and answered < len(asked):
        raise CannotRun("a request had no answer without the trouble")
    return 1 if count else 0


def main():
    status = 2
    # So that an interrupted run ends its processes, too.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    try:
        with tempfile.TemporaryDirectory(prefix="review-8-") as folder:
            try:
                status = play(folder)
            except Exception as error:
                record("could not run: %r" % error)
                print("could not run: %r" % error)
            finally:
                for process in processes:
                    if process.poll() is None:
                        process.send_signal(signal.SIGCONT)
                        process.kill()
                        process.wait()
    finally:
        with open(os.path.join(FOLDER, "record.txt"), "w") as file:
            file.write("TROUBLE=%d\n" % TROUBLE + "\n".join(lines) + "\n")
    sys.stdout.flush()
    os._exit(status)


if __name__ == "__main__":
    main()
