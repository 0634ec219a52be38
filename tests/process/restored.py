"""Plays a store that is restored from copies to several tracking entries.

The store is in this process, the entries are real ones. Operators change the
configuration, take domains out and back; hosts come, begin to leave and go. The
store is away, refuses single entries, is restored from a copy of some seconds
before, and gets back what was lost only after a while. Entries are killed and
started again, stand still, or get a SIGHUP meanwhile. Guards against entries
that believe something else than the store says afterwards, and against what
was confirmed being undone. Prints one line for each step and exits with 1 when
a check fails.

usage: restored.py PROGRAM SEED SECONDS [ENTRIES]
"""

import base64
import datetime
import http.server
import json
import os
import random
import re
import signal
import subprocess
import sys
import tempfile
import threading
import time

from ports import free_port

ENTRIES = 4          # unless the command line tells
DOMAINS = ("north", "south", "east")
HOSTS_MAX = 12
LAG_MAX = 0.5        # seconds by which reads that may lag are old
REWRITE_MAX = 1.5    # seconds until what a restore has lost is written again
LOST = 2.0           # seconds that the restore between two pages loses
APPLY = 3.0          # seconds until a change is in force everywhere
AGREE = 7.0          # the same from the end of an outage: 4 s more until the
                     # store counts as stable
LOG_LINES = 30       # of each entry, shown after a failure
PAGE = 3             # items of a page
START_TRIES = 5
STOP_MAX = 1.0       # seconds for which an entry stands still


class Failed(Exception):
    """A check has failed."""


def step(**fields):
    print("event=step " + " ".join("%s=%s" % item for item in fields.items()),
        flush=True)


class Store:
    """History of the store, with the copies that it may be restored from."""

    def __init__(self):
        self.changed = threading.Condition()
        self.generation = 1
        self.revision = 0
        self.items = {}     # key: (value, revision)
        self.history = []   # (revision, key, value or None)
        self.oldest = 0     # first revision whose successors are known
        self.copies = []    # (time, generation, revision, items)
        self.away = False
        self.refused = set()  # entries that are turned away
        self.restore_between_pages = False

    def write(self, key, value):
        """Writes or, with value None, removes an item; needs the lock."""
        if value is None and key not in self.items:
            return
        self.revision += 1
        if value is None:
            del self.items[key]
        else:
            self.items[key] = (value, self.revision)
        self.history.append((self.revision, key, value))
        self.copy()
        self.changed.notify_all()

    def copy(self):
        self.copies.append((time.monotonic(), self.generation, self.revision,
            dict(self.items)))

    def copy_of(self, age):
        """The state some seconds ago."""
        limit = time.monotonic() - age
        old = [copy for copy in self.copies if copy[0] <= limit]
        return old[-1] if old else self.copies[0]

    def restore(self, age):
        _, _, self.revision, items = self.copy_of(age)
        self.items = dict(items)
        self.generation += 1
        self.history = []
        self.oldest = self.revision
        self.copy()
        self.changed.notify_all()


class Handler(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"

    def do_GET(self):
        store, entry = self.server.store, self.server.entry
        path, _, text = self.path.partition("?")
        query = dict(pair.split("=", 1) for pair in text.split("&"))
        with store.changed:
            if store.away:
                self.close_connection = True
                return
            if entry in store.refused:
                self.reply(503, store.generation, {})
                return
            if path == "/kv-watch":
                answer = self.watch(store, query)
            else:
                answer = self.range(store, query)
            if answer is None or store.away:
                self.close_connection = True
                return
        self.reply(*answer)

    def range(self, store, query):
        lags = query.get("allow-stale") == "1"
        if store.restore_between_pages and "after" in query:
            store.restore_between_pages = lags = False
            store.restore(LOST)
        copy = (0, store.generation, store.revision, store.items)
        if lags:
            copy = store.copy_of(random.uniform(0, LAG_MAX))
        keys = sorted(key for key in copy[3] if key > query.get("after", "")
            and key.startswith(query["prefix"]))
        items = [self.item(key, *copy[3][key]) for key in keys[:PAGE]]
        return 200, copy[1], {"items": items, "has-more": len(keys) > PAGE,
            "store-revision": copy[2]}

    def watch(self, store, query):
        after = int(query["after"])
        deadline = time.monotonic() + int(query["wait-ms"]) / 1000
        generation = store.generation
        if after > store.revision or after < store.oldest:
            return 410, generation, {}
        while not store.away and store.generation == generation:
            events = [entry for entry in store.history if entry[0] > after
                and entry[1].startswith(query["prefix"])]
            left = deadline - time.monotonic()
            if events or left <= 0:
                return 200, generation, {"events": [
                    self.item(key, value, revision)
                    for revision, key, value in events],
                    "store-revision": store.revision}
            store.changed.wait(left)
        return None

    @staticmethod
    def item(key, value, revision):
        if value is None:
            return {"key": key, "rev": revision, "tombstone": True}
        return {"key": key, "rev": revision, "value": base64.b64encode(
            json.dumps(value).encode()).decode()}

    def reply(self, status, generation, body):
        text = json.dumps(body).encode()
        self.send_response(status)
        self.send_header("Store-Era", str(generation))
        self.send_header("Content-Length", str(len(text)))
        self.end_headers()
        try:
            self.wfile.write(text)
        except OSError:
            pass  # the entry has given the read up

    def log_message(self, *args):
        pass


def serve(store, entry, handler=Handler):
    server = http.server.ThreadingHTTPServer(("127.0.0.4", 0), handler)
    server.daemon_threads = True
    server.store, server.entry = store, entry
    threading.Thread(target=server.serve_forever, daemon=True).start()
    return server


class Writers:
    """Operators and hosts: what they want the store to say."""

    def __init__(self, store, random_state):
        self.store = store
        self.random = random_state
        self.wanted = {}
        self.version = 0
        self.next_host = 0
        self.periods = {}  # key: (value, since), of what was confirmed
        self.undone = []   # (key, value, from, to) of what had been wanted

    def put(self, key, value):
        now = time.time()
        with self.store.changed:
            if self.store.away:
                return False
            self.store.write(key, value)
        if key in self.periods:
            old, since = self.periods.pop(key)
            self.undone.append((key, old, since, now))
        if value is None:
            self.wanted.pop(key, None)
        else:
            self.wanted[key] = value
            self.periods[key] = (value, now)
        return True

    def write_again(self):
        with self.store.changed:
            for key in sorted(set(self.wanted) | set(self.store.items)):
                value = self.wanted.get(key)
                if self.store.items.get(key, (None,))[0] != value:
                    self.store.write(key, value)

    def change_config(self):
        self.version += self.random.randint(1, 3)
        return self.put("op/config", {"version": self.version, "routes": [
            {"host": "198.18.0.1", "prefix": "/443/", "service": "s"}],
            "services": [{"name": "s", "health-path": "/health"}]})

    def change_domain(self):
        key = "op/evacuate/" + self.random.choice(DOMAINS)
        return self.put(key, None if key in self.wanted else {})

    def hosts(self, state):
        return sorted(key for key, value in self.wanted.items()
            if value.get("state") == state)

    def change_host(self):
        ready, leaving = self.hosts("ready"), self.hosts("draining")
        what = self.random.random()
        if leaving and what < 0.35:
            return self.put(self.random.choice(leaving), None)
        if len(ready) > 2 and what < 0.7:
            key = self.random.choice(ready)
            return self.put(key, {**self.wanted[key], "state": "draining"})
        if len(ready) + len(leaving) < HOSTS_MAX:
            return self.add_host()
        return True

    def add_host(self):
        self.next_host += 1
        return self.put("servers/i-%d" % self.next_host, {"service": "s",
            "address": "127.0.2.%d:9" % self.next_host, "zone": "z",
            "version": "v", "slots": 2, "state": "ready",
            "cold-remaining-ms": 0, "seq": 1, "born": self.next_host})


class Entry:
    def __init__(self, program, folder, store, index):
        self.name = "entry-%d" % index
        self.path = os.path.join(folder, self.name)
        self.program = program
        self.store = serve(store, self.name).server_address[1]
        self.start()

    def start(self):
        # A port may be taken between its choice and the start.
        for _ in range(START_TRIES):
            before = self.starts()
            self.spawn()
            while self.process.poll() is None:
                if self.starts() > before:
                    return
                time.sleep(0.02)
        raise Failed(self.name + " doesn't start")

    def starts(self):
        if not os.path.exists(self.path + ".log"):
            return 0
        return sum(event == "start" for _, event, _ in self.lines())

    def kill(self):
        self.process.kill()
        self.process.wait()

    def spawn(self):
        segments, ready, notice = (free_port() for _ in range(3))
        with open(self.path + ".json", "w") as file:
            json.dump({"role": "entry", "name": self.name, "domain": "z",
                "segments": "127.0.0.1:%d" % segments,
                "ready": "127.0.0.1:%d" % ready, "notice_port": notice,
                "store": "127.0.0.4:%d" % self.store}, file)
        with open(self.path + ".log", "ab") as log:
            self.process = subprocess.Popen([self.program, "tracking-entry",
                "--config", self.path + ".json"], stderr=log)

    def lines(self):
        """(time, event, fields) of each complete line of the log."""
        with open(self.path + ".log") as file:
            for line in file.read().rpartition("\n")[0].split("\n"):
                fields = dict(re.findall(r"(\w+)=(\S+)", line))
                if "event" in fields:
                    at = datetime.datetime.strptime(fields["time"],
                        "%Y-%m-%dT%H:%M:%S.%fZ").replace(
                        tzinfo=datetime.timezone.utc).timestamp()
                    yield at, fields["event"], fields

    def beliefs(self):
        """Version, domains out and hosts that the log leads to."""
        version, out, hosts = 0, set(), {}
        for _, event, fields in self.lines():
            if event == "start":
                version, out, hosts = 0, set(), {}
            elif event == "config_adopted":
                version = int(fields["version"])
            elif event == "domain_out":
                out.add(fields["domain"])
            elif event == "domain_back":
                out.discard(fields["domain"])
            elif event == "host_gone":
                hosts.pop(fields["host"], None)
            elif event in ("host_listed", "host_ready", "host_draining"):
                hosts[fields["host"]] = fields["draining"] == "1"
        return version, out, hosts

    def generation(self):
        """Generation of the last restore since the last start, or None."""
        generation = None
        for _, event, fields in self.lines():
            if event == "start":
                generation = None
            elif event == "store_restored":
                generation = int(fields["generation"])
        return generation


def wait_for(what, seconds, condition):
    began = time.monotonic()
    while time.monotonic() - began < seconds:
        if condition():
            step(what=what, after="%.2f" % (time.monotonic() - began))
            return
        time.sleep(0.05)
    step(what=what, result="fail", limit=seconds)
    raise Failed(what)


class Play:
    def __init__(self, program, folder, seed, entries):
        self.program = program
        self.folder = folder
        self.entry_count = entries
        self.entries = []
        self.random = random.Random(seed)
        self.store = Store()
        self.writers = Writers(self.store, self.random)
        self.writers.change_config()
        for _ in range(6):
            self.writers.add_host()
        self.hashes = {}  # of the domains' names, as logs show them

    def agreed(self):
        """Whether all entries believe what the store says."""
        wanted = self.writers.wanted
        out = {self.hashes.get(domain) for domain in DOMAINS
            if "op/evacuate/" + domain in wanted}
        hosts = {key.partition("/")[2]: value["state"] == "draining"
            for key, value in wanted.items() if key.startswith("servers/")}
        return all(entry.beliefs() == (self.writers.version, out, hosts)
            and entry.generation() in (None, self.store.generation)
            for entry in self.entries)

    def learn_hashes(self):
        for domain in DOMAINS:
            self.writers.put("op/evacuate/" + domain, {})
            wait_for("out_" + domain, AGREE, lambda: all(
                len(entry.beliefs()[1]) == len(self.hashes) + 1
                for entry in self.entries))
            known = set(self.hashes.values())
            (self.hashes[domain],) = self.entries[0].beliefs()[1] - known
        for domain in DOMAINS:
            self.writers.put("op/evacuate/" + domain, None)
        wait_for("agreed_at_start", AGREE, self.agreed)

    def restore(self):
        age, away = self.random.uniform(0.5, 6), self.random.uniform(0, 2.5)
        later = self.random.choice((0, self.random.uniform(0, REWRITE_MAX)))
        step(what="restore", age="%.1f" % age, away="%.1f" % away,
            written_after="%.1f" % later)
        with self.store.changed:
            self.store.away = True
            self.store.changed.notify_all()
        time.sleep(away)
        with self.store.changed:
            self.store.restore(age)
            self.store.away = False
        time.sleep(later)
        self.writers.write_again()

    def disturb_entry(self):
        entry = self.random.choice(self.entries)
        how = self.random.choice(("kill", "stop", "reload"))
        step(what=how, name=entry.name)
        if how == "kill":
            entry.kill()
            entry.start()
        elif how == "stop":
            entry.process.send_signal(signal.SIGSTOP)
            time.sleep(self.random.uniform(0, STOP_MAX))
            entry.process.send_signal(signal.SIGCONT)
        else:
            entry.process.send_signal(signal.SIGHUP)

    def disturb(self):
        what = self.random.random()
        if what < 0.08:
            self.restore()
        elif what < 0.13:
            self.disturb_entry()
        elif what < 0.2:
            names = [entry.name for entry in self.entries]
            self.store.refused = set(self.random.sample(names,
                self.random.choice((0, 0, 1, 2))))
            step(what="refused", entries=len(self.store.refused))
        elif what < 0.45:
            self.writers.change_config()
        elif what < 0.6:
            self.writers.change_domain()
        else:
            self.writers.change_host()

    def check_confirmed(self, entry):
        """Nothing that was in force for a while is undone while wanted."""
        periods = self.writers.undone + [(key, value, since, time.time())
            for key, (value, since) in self.writers.periods.items()]
        version = 0
        for at, event, fields in entry.lines():
            if event == "start":
                version = 0
            elif event == "config_adopted":
                if int(fields["version"]) < version:
                    raise Failed("%s goes back to version %s" %
                        (entry.name, fields["version"]))
                version = int(fields["version"])
            elif event == "store_restored":
                if fields["reason"] != "generation":
                    raise Failed("%s takes a list for older than it is" %
                        entry.name)
            elif event in ("domain_back", "host_ready", "host_gone"):
                for key, value, since, until in periods:
                    name = key.rpartition("/")[2]
                    if not since + APPLY < at < until:
                        continue
                    if (event == "domain_back" and key.startswith("op/") and
                            self.hashes.get(name) == fields["domain"]) or (
                            event == "host_ready" and fields["host"] == name
                            and value.get("state") == "draining") or (
                            event == "host_gone" and fields["host"] == name):
                        raise Failed("%s logs %s of %s, which is wanted" %
                            (entry.name, event, name))

    def restore_between_pages(self):
        """Guards against a list whose pages are of two histories."""
        time.sleep(LOST)
        for _ in range(6):
            self.writers.change_config()
        time.sleep(LAG_MAX)
        self.store.restore_between_pages = True
        wait_for("restored_between_pages", AGREE,
            lambda: not self.store.restore_between_pages)
        self.writers.write_again()
        time.sleep(LOST)  # a list that is taken for older shows within 1 s
        wait_for("agreed_after_pages", AGREE, self.agreed)

    def run(self, seconds):
        for i in range(self.entry_count):
            self.entries.append(
                Entry(self.program, self.folder, self.store, i))
        wait_for("ready", AGREE, self.agreed)
        self.learn_hashes()
        self.restore_between_pages()
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline:
            self.disturb()
            time.sleep(self.random.uniform(0.05, 0.5))
        self.restore()
        self.store.refused = set()
        wait_for("agreed", AGREE, self.agreed)
        for entry in self.entries:
            self.check_confirmed(entry)
            if entry.generation() is None and entry.starts() == 1:
                raise Failed(entry.name + " logs no store_restored")
            step(what="checked", name=entry.name,
                generation=entry.generation(), lines=len(list(entry.lines())))

    def show(self):
        for entry in self.entries:
            with open(entry.path + ".log") as file:
                print("".join(file.readlines()[-LOG_LINES:]), end="")
        print("wanted:", self.writers.version, sorted(self.writers.wanted))
        for entry in self.entries:
            print("believed:", entry.name, entry.beliefs())

    def stop(self):
        for entry in self.entries:
            entry.kill()


def main():
    program, seed, seconds = sys.argv[1], int(sys.argv[2]), float(sys.argv[3])
    entries = int(sys.argv[4]) if len(sys.argv) > 4 else ENTRIES
    with tempfile.TemporaryDirectory(prefix="plantainlug-") as folder:
        play = Play(os.path.abspath(program), folder, seed, entries)
        step(what="start", seed=seed)
        try:
            play.run(seconds)
        except Failed as failure:
            step(what="failure", seed=seed, reason='"%s"' % failure)
            play.show()
            sys.exit(1)
        finally:
            play.stop()


if __name__ == "__main__":
    main()
