"""Plays hosts whose addresses are taken over to tracking entries and agents.

Two services on four machines, each with a real agent, behind two real entries;
the store, the routers, the hosts and the clients are in this process. Again and
again a host falls silent, at any moment between two health checks, and a host
of the other service takes its address over as early as the platform allows it
or later; the old connection of the health check is reset at once or only by the
next check. Meanwhile the agent may be killed, or stopped until after the
take-over. Guards against a host that gets the SYN of another service's route,
and against services that no caller reaches afterwards. Prints one line for each
step and exits with 1 when a check fails.

usage: reused.py PROGRAM SEED ROUNDS
"""

import json
import os
import random
import select
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time

import tracking
from ports import free_port
from tracking import ACK, BOUNCED, HEADER, SYN, segment

SERVICES = ("books", "numbers")
MACHINES = ["127.0.1.%d" % i for i in range(1, 5)]
ENTRIES = ["127.0.2.%d" % i for i in range(1, 3)]
CLIENT, STORE = "127.0.3.1", "127.0.3.2"
ROUTES = {"books": ("198.18.0.1", 443), "numbers": ("198.18.0.2", 443)}
HOLD = 1.0           # seconds, the setting address_reuse_s
CHECK_PERIOD = 2.0   # seconds between health checks
LAPSE = 3.0          # seconds until the store removes a silent host's entry
RATE = 40            # new flows a second, of each service
COPIES = (0.2, 0.6)  # seconds until a client repeats its SYN
GIVE_UP = 1.4        # seconds until it ends the attempt
SETTLE = 3.0         # seconds from a take-over until all flows are answered
LOG_LINES = 40       # of each agent, shown after a failure
START_MAX = 20.0     # seconds for conditions that are met in milliseconds


class Failed(Exception):
    """A check has failed."""


def step(**fields):
    print("event=step " + " ".join("%s=%s" % item for item in fields.items()),
        flush=True)


class Machine:
    """An address, where hosts run one after another."""

    def __init__(self, deployment, address):
        self.deployment = deployment
        self.address = address
        self.host = None      # (id, service), or None while silent
        self.connections = {}  # socket of a health check: its host
        self.wrong = []
        self.syns = 0
        self.udp = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.udp.bind((address, deployment.app))
        self.tcp = socket.create_server((address, deployment.app))
        threading.Thread(target=self.run, daemon=True).start()

    def run(self):
        while True:
            ready, _, _ = select.select([self.udp, self.tcp] +
                list(self.connections), [], [], 0.2)
            for sock in ready:
                if sock is self.udp:
                    self.receive(self.udp.recv(2048))
                elif sock is self.tcp:
                    self.connections[self.tcp.accept()[0]] = self.host
                else:
                    self.check(sock)

    def check(self, sock):
        """Answers a health check; a silent host keeps it waiting."""
        host = self.host
        try:
            if host is None and sock.recv(4096, socket.MSG_PEEK):
                time.sleep(0.01)
                return
            owner = self.connections[sock] or host
            if sock.recv(4096) and owner == host:
                self.connections[sock] = host
                sock.sendall(b"HTTP/1.1 200 OK\r\nInstance-Id: %s\r\n"
                    b"Content-Length: 0\r\n\r\n" % host[0].encode())
                return
        except OSError:
            pass  # the agent was killed
        self.drop(sock)

    def drop(self, sock):
        del self.connections[sock]
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
            b"\x01\0\0\0\0\0\0\0")
        sock.close()

    def receive(self, packet):
        host = self.host
        if host is None:
            return
        flags, seq, ack, dst, sport, dport, src, _, _, _ = \
            HEADER.unpack(packet[:HEADER.size])
        client, route = (socket.inet_ntoa(src), sport), \
            (socket.inet_ntoa(dst), dport)
        isn = hash((host, client)) & 0x3fffffff
        if flags & SYN:
            self.syns += 1
            if ROUTES[host[1]] != route:
                self.wrong.append((host, client))
            answer = segment(route, client, SYN | ACK, isn, seq + 1)
        elif ack != isn + 1:
            answer = bytes([flags | BOUNCED]) + packet[1:]
        elif len(packet) > HEADER.size:
            answer = segment(route, client, ACK, isn + 1, seq, b"answer")
        else:
            return
        self.udp.sendto(answer, (self.address, self.deployment.output))

    def silence(self):
        self.host = None

    def take_over(self, host, resets):
        """Another host starts; the old connections may stay until used."""
        self.host = host
        if resets:
            for sock in list(self.connections):
                try:
                    sock.shutdown(socket.SHUT_RDWR)
                except OSError:
                    pass  # it has ended already


class Clients:
    """Flows with a SYN, its copies and one request each."""

    def __init__(self, deployment):
        self.deployment = deployment
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.sock.bind((CLIENT, deployment.port))
        self.sock.settimeout(0.005)
        self.port = 1000
        self.open = {}    # port: [service, start, copies sent, requested]
        self.answered = {}  # service: times of the requests' starts
        self.unanswered = {}
        self.running = True
        threading.Thread(target=self.run, daemon=True).start()

    def send(self, port, service, flags, ack=0, data=b""):
        packet = segment((CLIENT, port), ROUTES[service], flags,
            port + len(data), ack, data)
        self.sock.sendto(packet, (ENTRIES[port % 2], self.deployment.port))

    def run(self):
        due = time.monotonic()
        while self.running:
            now = time.monotonic()
            while due <= now:
                due += 1 / RATE
                for service in SERVICES:
                    self.port = self.port + 1 if self.port < 60000 else 1000
                    self.open[self.port] = [service, now, 0, False]
                    self.send(self.port, service, SYN)
            self.receive()
            for port, flow in list(self.open.items()):
                self.step(port, flow, time.monotonic())

    def receive(self):
        try:
            packet = self.sock.recv(2048)
        except socket.timeout:
            return
        flags, seq, _, _, _, port, _, _, _, _ = \
            HEADER.unpack(packet[:HEADER.size])
        flow = self.open.get(port)
        if flow is None:
            return
        if flags & SYN and not flow[3]:
            flow[3] = True
            self.send(port, flow[0], ACK, seq + 1, b"request")
        elif packet.endswith(b"answer"):
            del self.open[port]
            self.answered.setdefault(flow[0], []).append(flow[1])

    def step(self, port, flow, now):
        service, start, copies, requested = flow
        if now - start > GIVE_UP:
            del self.open[port]
            self.unanswered.setdefault(service, []).append(start)
        elif not requested and copies < len(COPIES) and \
                now - start > COPIES[copies]:
            flow[2] += 1
            self.send(port, service, SYN)


class Deployment:
    def __init__(self, program, folder, seed):
        self.program, self.folder = program, folder
        self.random = random.Random(seed)
        self.port, self.notice, self.ready = (free_port() for _ in range(3))
        self.app, self.output, self.store = (free_port() for _ in range(3))
        self.count = 0
        tracking.Store.items = {"op/config": {"version": 1, "routes": [
            {"host": ROUTES[name][0], "prefix": "/%d/" % ROUTES[name][1],
                "service": name, "timeout-ms": 1000, "target-latency-ms": 200}
            for name in SERVICES], "services": [{"name": name,
                "health-path": "/health"} for name in SERVICES]}}
        tracking.serve((STORE, self.store), tracking.Store)
        self.machines = [Machine(self, address) for address in MACHINES]
        for i, machine in enumerate(self.machines):
            machine.host = self.new_host(machine, SERVICES[i % 2])
        self.processes = {}
        for address in MACHINES:
            self.start("agent", address)
        for address in ENTRIES:
            self.start("entry", address)

    def new_host(self, machine, service):
        self.count += 1
        name = "i-%d" % self.count
        items = dict(tracking.Store.items)
        items["servers/" + name] = {"service": service, "address": "%s:%d" %
            (machine.address, self.app), "zone": "z", "version": "v",
            "slots": 8, "state": "ready", "cold-remaining-ms": 0, "seq": 1,
            "born": self.count}
        tracking.Store.items = items
        tracking.Store.revision += 1
        tracking.Store.left_after = tracking.Store.revision
        return name, service

    def remove(self, name):
        items = dict(tracking.Store.items)
        items.pop("servers/" + name, None)
        tracking.Store.items = items
        tracking.Store.revision += 1
        tracking.Store.left_after = tracking.Store.revision

    def path(self, address, kind):
        return os.path.join(self.folder, "%s.%s" % (address, kind))

    def start(self, role, address):
        values = {"role": role, "name": address, "domain": "z",
            "segments": "%s:%d" % (address, self.port),
            "ready": "%s:%d" % (address, self.ready),
            "store": "%s:%d" % (STORE, self.store),
            "notice_port": self.notice}
        if role == "agent":
            values["host"] = "%s:%d" % (address, self.app)
            values["host_output"] = "%s:%d" % (address, self.output)
            values["address_reuse_s"] = HOLD
        with open(self.path(address, "json"), "w") as file:
            json.dump(values, file)
        with open(self.path(address, "log"), "ab") as log:
            self.processes[address] = subprocess.Popen([self.program,
                "tracking-" + role, "--config", self.path(address, "json")],
                stderr=log)

    def kill(self, address):
        self.processes[address].kill()
        self.processes[address].wait()

    def served(self, clients, since):
        """Whether each service answers flows that began after a moment."""
        return all(any(start > since for start in clients.answered.get(name,
            [])) for name in SERVICES)

    def await_service(self, clients, since, limit):
        deadline = time.monotonic() + limit
        while not self.served(clients, since):
            if time.monotonic() > deadline:
                raise Failed("a service is not reached")
            time.sleep(0.02)

    def round(self, clients):
        """One take-over. Return: what was varied, for the step's line."""
        machine = self.random.choice(self.machines)
        name, service = machine.host
        others = [m.host[1] for m in self.machines if m is not machine]
        # Each service keeps a host, whose callers then must be served.
        new = SERVICES[1 - SERVICES.index(service)] \
            if service in others else service
        trouble = self.random.choice(("none", "none", "kill", "stop"))
        wait = HOLD + self.random.choice((0, self.random.uniform(0, 2)))
        resets = self.random.random() < 0.5
        time.sleep(self.random.uniform(0, CHECK_PERIOD))
        machine.silence()
        lapse = threading.Timer(LAPSE, self.remove, (name,))
        lapse.start()
        process = self.processes[machine.address]
        if trouble == "stop":
            time.sleep(self.random.uniform(0, HOLD / 2))
            process.send_signal(signal.SIGSTOP)
            time.sleep(wait)
        elif trouble == "kill":
            self.kill(machine.address)
            time.sleep(self.random.uniform(0, wait))
            self.start("agent", machine.address)
            time.sleep(wait)
        else:
            time.sleep(wait)
        machine.take_over(self.new_host(machine, new), resets)
        if trouble == "stop":
            time.sleep(self.random.uniform(0, 0.5))
            process.send_signal(signal.SIGCONT)
        since = time.monotonic()
        lapse.join()
        self.await_service(clients, max(since, time.monotonic() - SETTLE / 2),
            SETTLE)
        return {"from": service, "to": new, "trouble": trouble,
            "wait": "%.2f" % wait, "resets": int(resets)}

    def check(self):
        for machine in self.machines:
            if machine.wrong:
                raise Failed("host %s of %s got the SYN of %s" %
                    (machine.wrong[0][0] + (machine.wrong[0][1],)))

    def finish(self):
        for process in self.processes.values():
            process.kill()
            process.wait()


def play(deployment, rounds):
    clients = Clients(deployment)
    deployment.await_service(clients, 0, START_MAX)
    for number in range(rounds):
        varied = deployment.round(clients)
        deployment.check()
        step(round=number, **varied)
    clients.running = False
    step(answered=sum(map(len, clients.answered.values())),
        unanswered=sum(map(len, clients.unanswered.values())),
        syns=sum(machine.syns for machine in deployment.machines))


def main():
    program, seed, rounds = sys.argv[1], int(sys.argv[2]), int(sys.argv[3])
    with tempfile.TemporaryDirectory(prefix="plantainlug-") as folder:
        deployment = Deployment(os.path.abspath(program), folder, seed)
        try:
            play(deployment, rounds)
        except Failed as error:
            step(result="fail", seed=seed, reason='"%s"' % error)
            for address in MACHINES:
                with open(deployment.path(address, "log")) as file:
                    print("".join(file.readlines()[-LOG_LINES:]), end="")
            sys.exit(1)
        finally:
            deployment.finish()
    step(result="pass", seed=seed)


main()
