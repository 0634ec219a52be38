"""Plays a store with the largest configuration to an entry on a slow link.

The store is that of restored.py, the entry is a real process. Its link has 10
Mbit/s, and the configuration's value is as large as the platform allows. Guards
against an entry that cuts off each read while its answer arrives: it never gets
ready, or never learns of a change again after the store has dropped its
history. Guards as well against one that was cut off and reads all versions that
it has missed before it learns of an evacuation and of the last version. Prints
one line for each step and exits with 1 when a check fails.

Other sizes are for measurements by hand: a configuration of ROUTES, a link of
MBITS, and an entry that is cut off for CUT seconds.

usage: slowlink.py PROGRAM [ROUTES MBITS CUT]
"""

import json
import os
import subprocess
import sys
import tempfile
import threading
import time

import restored
from ports import free_port
from restored import Failed, Handler, Store, step

MBITS = 10.0           # of the link, unless the command line tells
VALUE_MAX = 1048576    # bytes of a value
CHUNK = 12500          # bytes sent at a time
WATCH_MAX = 1048576    # bytes after which a watch leaves the rest for the next
MISSED = 8             # versions written while the entry is cut off
APPLY = 5.0            # seconds until a change is in force on such a link
GENEROUS = 20.0        # seconds for a condition without a bound
LOG_LINES = 30         # shown after a failure


class Link:
    """Serves the store's answers at the bandwidth of one link."""

    def __init__(self, mbits):
        self.bytes_per_s = mbits * 1e6 / 8
        self.lock = threading.Lock()
        self.free_at = 0.0

    def send(self, file, data):
        for at in range(0, len(data), CHUNK):
            chunk = data[at:at + CHUNK]
            with self.lock:
                start = max(time.monotonic(), self.free_at)
                self.free_at = start + len(chunk) / self.bytes_per_s
                until = self.free_at
            time.sleep(max(0, until - time.monotonic()))
            file.write(chunk)


class SlowHandler(Handler):
    encoded = {}  # by key and revision, as the values are large

    @classmethod
    def item(cls, key, value, revision):
        if (key, revision) not in cls.encoded:
            cls.encoded[key, revision] = Handler.item(key, value, revision)
        return cls.encoded[key, revision]

    def watch(self, store, query):
        """Like a store that also tells reads that wait of changes to itself."""
        answer = super().watch(store, query)
        if answer is None:
            return None
        if self.server.entry in store.refused:
            return 503, store.generation, {}
        if int(query["after"]) < store.oldest:
            return 410, store.generation, {}
        size = 0
        for count, event in enumerate(answer[2]["events"], 1):
            size += len(event.get("value", ""))
            if size > WATCH_MAX and count < len(answer[2]["events"]):
                answer[2]["events"] = answer[2]["events"][:count]
                answer[2]["store-revision"] = event["rev"]
                break
        return answer

    def reply(self, status, generation, body):
        text = json.dumps(body).encode()
        try:
            self.send_response(status)
            self.send_header("Store-Era", str(generation))
            self.send_header("Content-Length", str(len(text)))
            self.end_headers()
            self.server.link.send(self.wfile, text)
        except OSError:
            pass  # the entry has given the read up


class Entry:
    def __init__(self, program, folder, store, mbits):
        self.program = program
        self.log = os.path.join(folder, "entry.log")
        self.settings = os.path.join(folder, "entry.json")
        server = restored.serve(store, self, SlowHandler)
        server.link = Link(mbits)
        # A port may be taken between its choice and the start.
        for _ in range(restored.START_TRIES):
            self.start(server.server_address[1])
            while self.process.poll() is None:
                if self.count("event=start"):
                    return
                time.sleep(0.02)
        raise Failed("start")

    def start(self, store_port):
        with open(self.settings, "w") as file:
            json.dump({"role": "entry", "name": "entry", "domain": "north",
                "segments": "127.0.0.1:%d" % free_port(),
                "ready": "127.0.0.1:%d" % free_port(),
                "store": "127.0.0.4:%d" % store_port,
                "notice_port": free_port()}, file)
        with open(self.log, "wb") as log:
            self.process = subprocess.Popen([self.program, "tracking-entry",
                "--config", self.settings], stderr=log)

    def count(self, text):
        with open(self.log) as file:
            return file.read().count(text)

    def wait_for(self, what, text, limit, since=None, times=1):
        """Waits until the log has a text some times, limit seconds from since."""
        start = time.monotonic() if since is None else since
        while time.monotonic() < start + limit:
            if self.count(text) >= times:
                step(what=what, after_s="%.1f" % (time.monotonic() - start),
                    result="pass")
                return
            time.sleep(0.02)
        step(what=what, limit_s=limit, result="fail")
        raise Failed(what)


def config(version, routes):
    return {"version": version, "routes": [{"name": "r-%06d" % i,
        "host": "198.18.%d.%d" % (i // 250, i % 250 + 1),
        "prefix": "/443/", "kind": "idempotent", "timeout-ms": 800,
        "target-latency-ms": 250, "priority": 2, "service": "s",
        "max-attempts": 2} for i in range(routes)],
        "services": [{"name": "s", "health-path": "/health"}]}


def most_routes():
    """Routes of the largest configuration that a value may have."""
    two, one = (len(json.dumps(config(1, routes))) for routes in (2, 1))
    return (VALUE_MAX - one) // (two - one)


def write(store, key, value):
    with store.changed:
        store.write(key, value)
    return time.monotonic()


def drop_history(store):
    with store.changed:
        store.revision += 1
        store.oldest = store.revision
        store.history = []


def play(program, folder, routes, mbits, cut):
    store = Store()
    write(store, "op/config", config(1, routes))
    write(store, "servers/i-1", {"service": "s", "address": "127.0.2.1:9",
        "zone": "south", "version": "v", "slots": 2, "state": "ready",
        "cold-remaining-ms": 0, "seq": 1, "born": 1})
    entry = Entry(program, folder, store, mbits)
    try:
        entry.wait_for("ready", "event=ready", GENEROUS)
        drop_history(store)
        entry.wait_for("history_dropped", "event=store_history_dropped",
            GENEROUS)
        at = write(store, "op/config", config(2, routes))
        entry.wait_for("change_in_force", "event=config_adopted version=2",
            APPLY, at)
        at = write(store, "op/evacuate/south", {})
        entry.wait_for("domain_out", "event=domain_out", APPLY, at)
        at = write(store, "op/evacuate/south", None)
        entry.wait_for("domain_back", "event=domain_back", APPLY, at)
        with store.changed:
            store.refused.add(entry)
        entry.wait_for("cut_off", "event=store_lost", GENEROUS)
        for version in range(3, 3 + MISSED):
            value = config(version, routes)
            write(store, "op/config", value)
            SlowHandler.item("op/config", value, store.revision)
        write(store, "op/evacuate/north", {})
        time.sleep(cut)
        with store.changed:
            store.refused.discard(entry)
        at = time.monotonic()
        entry.wait_for("missed_evacuation_in_force",
            "event=domain_out", APPLY, at, times=2)
        entry.wait_for("last_missed_change_in_force",
            "event=config_adopted version=%d" % (2 + MISSED), APPLY, at)
    except Failed:
        with open(entry.log) as file:
            print("".join(file.readlines()[-LOG_LINES:]), end="")
        return 1
    finally:
        entry.process.kill()
        entry.process.wait()
    return 0


def main():
    routes, mbits, cut = most_routes(), MBITS, 0.0
    if len(sys.argv) > 2:
        routes, mbits, cut = (int(sys.argv[2]), float(sys.argv[3]),
            float(sys.argv[4]))
    with tempfile.TemporaryDirectory(prefix="plantainlug-") as folder:
        sys.exit(play(os.path.abspath(sys.argv[1]), folder, routes, mbits,
            cut))


if __name__ == "__main__":
    main()
