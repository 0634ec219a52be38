"""Plays entries of another writer that lack fields, and the end of all processes.

Two entries and three hosts, each with its agent, are the project's programs; the
store, the routers, the hosts and the clients are those of review/8/play.py. Writes
record.txt beside this file. With TROUBLE=0 there are no entries of another writer.

exit status: 1 when RECOVER was broken, 0 when it held, 2 when the case could not
run
"""

import os
import signal
import sys
import tempfile
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "8"))

import play as base  # noqa: E402
from play import (CLIENT, SERVICE, ZONE, CannotRun, Clients, Flow, Host,  # noqa
    Node, Routers, lock, now, record, sleep_until, wait_for)

ENTRIES = ["127.10.0.1", "127.10.0.2"]
SIDES = ["127.20.0.%d" % i for i in range(1, 4)]
RECOVERY_S = 15.0   # bounds.recovery-s
DOWN_S = 1.0        # closing kill_all, down_s
REQUESTS = 60


class Store(base.Store):
    """Also says when each host has started, as all hosts do."""

    def beat(self, app):
        born = int(time.time() * 1000)
        seq = 0
        while True:
            seq += 1
            with lock:
                for i, side in enumerate(SIDES):
                    self.revision += 1
                    self.items["servers/i-%d" % (i + 1)] = (self.revision, {
                        "service": SERVICE, "address": "%s:%d" % (side, app),
                        "zone": ZONE, "version": "v1", "slots": 9,
                        "state": "ready", "cold-remaining-ms": 0, "seq": seq,
                        "born": born})
            time.sleep(base.HEARTBEAT_S)

    def add_other_writer(self, port):
        """Entries without version and seq, one for each machine of a host."""
        with lock:
            for i, side in enumerate(SIDES):
                self.revision += 1
                value = {"service": SERVICE, "address": "%s:%d" % (side, port),
                    "zone": ZONE, "slots": 9, "state": "ready",
                    "cold-remaining-ms": 0, "born": int(time.time() * 1000)}
                self.items["servers/monitor-%d" % (i + 1)] = \
                    (self.revision, value)
                record("store: another writer puts servers/monitor-%d %s" % (
                    i + 1, value))


def ask(clients, first_port, what):
    """Opens flows with a request each. Return: the part that was answered."""
    flows = []
    for i in range(REQUESTS):
        flow = Flow(clients, first_port + i)
        with lock:
            clients.flows[flow.port] = flow
            flow.open()
        flows.append(flow)
        time.sleep(0.05)
    time.sleep(base.DEADLINE_S)
    answered = sum(1 for flow in flows if flow.answered)
    for flow in flows:
        if not flow.answered:
            record("flow %d: no answer, %s" % (flow.port, flow.state))
    record("result: %s, %d of %d requests served" % (
        what, answered, REQUESTS))
    print(base.lines[-1][9:])
    return answered / REQUESTS


def play(folder):
    base.ENTRIES, base.SIDES = ENTRIES, SIDES
    everyone = ENTRIES + SIDES + [CLIENT, base.STORE]
    ports = {name: base.free_port(everyone) for name in
        ("packets", "ready", "store", "inner", "outbound", "app", "other")}
    if len(set(ports.values())) < len(ports):
        raise CannotRun("ports")
    store = Store(ports["store"], ports["app"])
    for i, side in enumerate(SIDES):
        Host(i + 1, side, ports["app"], ports["outbound"])
    nodes = [Node(folder, "agent", i + 1, side, ports)
        for i, side in enumerate(SIDES)]
    nodes += [Node(folder, "entry", i + 1, entry, ports)
        for i, entry in enumerate(ENTRIES)]
    routers = Routers(ports["ready"])
    clients = Clients(ports["packets"], routers)
    wait_for("entries in rotation",
        lambda: all(misses == 0 for misses in routers.misses.values()))
    sleep_until(now() + 5.0)
    before = ask(clients, 20000, "before the final fault")
    if before < 0.25:
        raise CannotRun("too little was served before the final fault")

    record("final fault: all processes are killed")
    for node in nodes:
        node.process.kill()
        node.process.wait()
    if base.TROUBLE:
        store.add_other_writer(ports["other"])
    sleep_until(now() + DOWN_S)
    for node in nodes:
        node.start()
    sleep_until(now() + RECOVERY_S + 0.5)
    after = ask(clients, 30000, "%.0f s after the processes are back" %
        RECOVERY_S)
    return 1 if after < 0.25 else 0


def main():
    status = 2
    # So that an interrupted run ends its processes, too.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    try:
        with tempfile.TemporaryDirectory(prefix="review-6-") as folder:
            try:
                status = play(folder)
            except Exception as error:
                record("could not run: %r" % error)
                print("could not run: %r" % error)
            finally:
                for process in base.processes:
                    if process.poll() is None:
                        process.kill()
                        process.wait()
    finally:
        with open(os.path.join(FOLDER, "record.txt"), "w") as file:
            file.write("TROUBLE=%d\n" % base.TROUBLE +
                "\n".join(base.lines) + "\n")
    sys.stdout.flush()
    os._exit(status)


if __name__ == "__main__":
    main()
