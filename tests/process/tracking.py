"""Plays the platform for one tracking entry and one tracking agent.

A store, a host and a client on loopback addresses, all in this process; the
entry and the agent are real processes. Prints one line for each step and exits
with 1 at the first that fails.

usage: tracking.py PROGRAM
"""

import base64
import http.server
import json
import os
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
import urllib.error
import urllib.request

from ports import free_port

ENTRY, SIDE, CLIENT, STORE = "127.0.0.1", "127.0.0.2", "127.0.0.3", "127.0.0.4"
SERVICE = ("198.18.0.1", 443)
CLIENT_PORT = 4001
SYN, RST, ACK, BOUNCED = 1, 2, 16, 32
HEADER = struct.Struct(">BII4sHH4sHII")
LOG_LINES = 20  # of each process, shown after a failure
GENEROUS = 20.0  # seconds for a condition that is met in milliseconds


class StepFailed(Exception):
    """A condition wasn't met in time."""


def segment(source, target, flags, seq, ack, data=b""):
    return HEADER.pack(flags, seq, ack, socket.inet_aton(target[0]), source[1],
        target[1], socket.inet_aton(source[0]), len(data), 0, 7) + data


def wait_for(what, condition):
    deadline = time.monotonic() + GENEROUS
    while time.monotonic() < deadline:
        value = condition()
        if value:
            print("event=step what=%s result=pass" % what, flush=True)
            return value
        time.sleep(0.02)
    print("event=step what=%s result=fail" % what, flush=True)
    raise StepFailed(what)


class Store(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    items = {}
    revision = 9
    oldest = 0  # first revision whose changes are still known
    left = {}  # shown by reads that may lag: what has left since
    left_after = 8

    def do_GET(self):
        prefix = self.path.split("prefix=")[1].split("&")[0]
        status = 200
        if self.path.startswith("/kv-watch"):
            time.sleep(0.2)
            body = {"events": [], "store-revision": self.revision}
            if int(self.path.split("after=")[1].split("&")[0]) < self.oldest:
                status = 410
        else:
            lags = "allow-stale=1" in self.path
            items = {**self.items, **self.left} if lags else self.items
            body = {"items": [{"key": key, "rev": 3, "value":
                base64.b64encode(json.dumps(value).encode()).decode()}
                for key, value in items.items()
                if key.startswith(prefix)], "has-more": False,
                "store-revision": self.left_after if lags else self.revision}
        text = json.dumps(body).encode()
        self.send_response(status)
        self.send_header("Content-Length", str(len(text)))
        self.end_headers()
        try:
            self.wfile.write(text)
        except BrokenPipeError:
            pass  # the process was killed meanwhile

    def log_message(self, *args):
        pass


class Health(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    connections = []

    def setup(self):
        super().setup()
        self.connections.append(self.request)

    def do_GET(self):
        self.send_response(200)
        self.send_header("Instance-Id", "i-1")
        self.send_header("Content-Length", "0")
        self.end_headers()

    def log_message(self, *args):
        pass


def add_odd_entries():
    """Entries of another writer, each almost that of the host."""
    host = Store.items["servers/i-1"]
    nested = []
    for _ in range(500):
        nested = [nested]
    for i, (field, value) in enumerate((("zone", nested), ("slots", 10 ** 30),
            ("cold-remaining-ms", 2 ** 63 - 1), ("born", 10 ** 300),
            ("address", host["address"].split(":")[0] + ":99999"))):
        Store.items["servers/odd-%d" % i] = {**host, field: value}
    # Each lacks a field and would displace the host: it names the host's
    # machine and a later start.
    later = {**host, "address": SIDE + ":9", "born": int(time.time() * 1000)}
    for field in host:
        if field not in ("address", "born"):
            Store.items["servers/lacks-" + field] = {
                name: value for name, value in later.items() if name != field}


def serve(address, handler):
    server = http.server.ThreadingHTTPServer(address, handler)
    server.daemon_threads = True
    threading.Thread(target=server.serve_forever, daemon=True).start()
    return server


class Host:
    """Answers a SYN and each request of its flows, returns other segments."""

    def __init__(self, app, output):
        self.output = output
        self.flows = set()
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.sock.bind(app)
        self.sock.settimeout(0.05)
        self.running = True
        threading.Thread(target=self.run, daemon=True).start()

    def run(self):
        while self.running:
            try:
                packet, _ = self.sock.recvfrom(2048)
            except socket.timeout:
                continue
            flags, seq, ack, dst, sport, dport, src, _, _, _ = \
                HEADER.unpack(packet[:HEADER.size])
            client = (socket.inet_ntoa(src), sport)
            service = (socket.inet_ntoa(dst), dport)
            if flags & SYN:
                self.flows.add(client)
                answer = segment(service, client, SYN | ACK, 500, seq + 1)
            elif client not in self.flows:
                answer = bytes([flags | BOUNCED]) + packet[1:]
            elif len(packet) > HEADER.size:
                answer = segment(service, client, ACK, 501, seq, b"answer")
            else:
                continue
            self.sock.sendto(answer, self.output)

    def crash(self, health):
        """Ends without a word, but for its open connections."""
        self.running = False
        health.shutdown()
        health.server_close()
        for connection in Health.connections:
            try:
                connection.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass  # it has ended already


class Deployment:
    def __init__(self, program, folder):
        self.program = program
        self.folder = folder
        self.port, self.notice, self.ready = (free_port() for _ in range(3))
        self.app, self.output, self.store = (free_port() for _ in range(3))
        self.health = serve((SIDE, self.app), Health)
        serve((STORE, self.store), Store)
        self.host = Host((SIDE, self.app), (SIDE, self.output))
        self.client = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.client.bind((CLIENT, self.port))
        self.client.settimeout(0.1)
        self.seq = 100
        Store.items = {
            "op/config": {"version": 1, "routes": [{"host": SERVICE[0],
                "prefix": "/%d/" % SERVICE[1], "service": "s"}],
                "services": [{"name": "s", "health-path": "/health"}]},
            "servers/i-1": {"service": "s", "address": "%s:%d" %
                (SIDE, self.app), "zone": "z", "version": "v", "slots": 2,
                "state": "ready", "cold-remaining-ms": 0, "seq": 1,
                "born": 1},
            "servers/foreign": {"state": 5},
        }
        add_odd_entries()
        Store.left = {"servers/i-0": dict(Store.items["servers/i-1"])}

    def settings(self, role):
        address = ENTRY if role == "entry" else SIDE
        values = {"role": role, "name": role, "domain": "z",
            "segments": "%s:%d" % (address, self.port),
            "ready": "%s:%d" % (address, self.ready),
            "store": "%s:%d" % (STORE, self.store),
            "notice_port": self.notice}
        if role == "agent":
            values["host"] = "%s:%d" % (SIDE, self.app)
            values["host_output"] = "%s:%d" % (SIDE, self.output)
            values["service"] = "s"
        path = os.path.join(self.folder, role + ".json")
        with open(path, "w") as file:
            json.dump(values, file)
        return path

    def start(self, role):
        log = open(os.path.join(self.folder, role + ".log"), "ab")
        return subprocess.Popen([self.program, "tracking-" + role, "--config",
            self.settings(role)], stderr=log)

    def log_has(self, role, text):
        with open(os.path.join(self.folder, role + ".log")) as file:
            return text in file.read()

    def get(self, address, path):
        try:
            url = "http://%s:%d%s" % (address, self.ready, path)
            with urllib.request.urlopen(url, timeout=1) as answer:
                return answer.status, answer.read().decode()
        except urllib.error.HTTPError as error:
            return error.code, ""
        except OSError:
            return 0, ""

    def exchange(self, flags, data, wanted):
        """Sends a segment and returns the first answer with wanted flags."""
        self.client.sendto(segment((CLIENT, CLIENT_PORT), SERVICE, flags,
            self.seq, 501, data), (ENTRY, self.port))
        deadline = time.monotonic() + 0.3
        while time.monotonic() < deadline:
            try:
                packet = self.client.recv(2048)
            except socket.timeout:
                continue
            if packet[0] & wanted == wanted:
                return packet
        return None

    def request(self):
        self.seq += 1
        answer = self.exchange(ACK, b"request", ACK)
        return answer is not None and answer.endswith(b"answer")


def play(deployment):
    entry, agent = deployment.start("entry"), deployment.start("agent")
    try:
        wait_for("ready", lambda: deployment.get(ENTRY, "/ready")[0] == 200)
        wait_for("host_up", lambda: deployment.log_has("agent",
            "event=host_up host=i-1"))
        wait_for("open", lambda: deployment.exchange(SYN, b"", SYN | ACK))
        wait_for("answer", deployment.request)
        wait_for("foreign_entry_named", lambda: deployment.log_has("entry",
            "event=store_item_unreadable key=servers/foreign"))
        # Guards against entries that are left out without a log line.
        wait_for("each_left_out_entry_named", lambda: all(
            deployment.log_has("entry", "key=%s " % key)
            for key in Store.items if key.startswith("servers/lacks-")))
        # Guards against an entry that stops an entry from following the list.
        Store.items["servers/i-2"] = {**Store.items["servers/i-1"],
            "state": "draining"}
        wait_for("list_followed", lambda: deployment.log_has("entry",
            "event=host_listed host=i-2"))
        entry.kill()
        entry.wait()
        Store.items["op/evacuate/away"] = {}
        entry = deployment.start("entry")
        wait_for("ready_again",
            lambda: deployment.get(ENTRY, "/ready")[0] == 200)
        wait_for("found_by_new_entry", deployment.request)
        # Guards against a domain that stays out of service because the store
        # has dropped the history in which it was taken back.
        wait_for("domain_out", lambda: deployment.log_has("entry",
            "event=domain_out"))
        del Store.items["op/evacuate/away"]
        Store.revision = Store.oldest = 10
        wait_for("domain_back", lambda: deployment.log_has("entry",
            "event=domain_back"))
        agent.kill()
        agent.wait()
        agent = deployment.start("agent")
        wait_for("kept_by_new_agent", deployment.request)
        entry.send_signal(signal.SIGHUP)
        with open(os.path.join(deployment.folder, "entry.json"), "w") as file:
            file.write("{ \"role\": 5 }")
        wait_for("wrong_settings_refused", lambda: deployment.log_has("entry",
            "event=settings_refused"))
        wait_for("served_meanwhile", deployment.request)
        wait_for("metrics", lambda: "plantainlug_lookups_found 1" in
            deployment.get(ENTRY, "/metrics")[1])
        wait_for("histogram", lambda: "answer_ms_bucket" in
            deployment.get(SIDE, "/metrics")[1])
        # Guards against a server that has left and is in use again after a
        # restart, because a read of the store lags.
        wait_for("left_host_stays_out",
            lambda: not deployment.log_has("entry", "host=i-0 "))
        deployment.host.crash(deployment.health)
        wait_for("reset_after_crash",
            lambda: deployment.exchange(ACK, b"request", RST))
        entry.terminate()
        wait_for("unready_at_stop",
            lambda: deployment.get(ENTRY, "/ready")[0] == 503)
        wait_for("entry_ended", lambda: entry.poll() == 0)
        agent.terminate()
        wait_for("agent_ended", lambda: agent.poll() == 0)
    finally:
        for process in (entry, agent):
            if process.poll() is None:
                process.kill()
                process.wait()


def main():
    with tempfile.TemporaryDirectory(prefix="plantainlug-") as folder:
        try:
            play(Deployment(os.path.abspath(sys.argv[1]), folder))
        except StepFailed:
            for role in ("entry", "agent"):
                with open(os.path.join(folder, role + ".log")) as file:
                    print("".join(file.readlines()[-LOG_LINES:]), end="")
            sys.exit(1)


if __name__ == "__main__":
    main()
