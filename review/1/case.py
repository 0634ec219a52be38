"""ROUTE: the address of a silent host is taken over by another service.

Two plays: one in which the host's machine and its agent stay, one in which
they go with the host and a new machine with the address takes their place.
"""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
import world as w  # noqa: E402

BOOKS, NUMBERS = w.BOOKS, w.NUMBERS
ALLOWED = {BOOKS: "book-export", NUMBERS: "numbering"}
REUSE_AFTER = 2.6   # seconds; the pages: reuse-after-s 2
REUSE_SOONEST = 2.0
FIRST_ANSWER = 0.3  # seconds until a host that has just started is checked


async def deploy(world):
    deployment = w.Deployment(world)
    await deployment.begin(w.config(7, w.routes(),
        ("book-export", "numbering")))
    old = deployment.host_of("book-export")
    return deployment.clients, deployment.hosts, old


def judge(world, clients, hosts):
    for host in hosts:
        for when, request, vip in host.runs:
            if ALLOWED[vip] != host.service:
                world.violation("ROUTE at %.3f host %s of %s ran %s, which "
                    "every configuration sends to %s" % (when, host.id,
                    host.service, request, ALLOWED[vip]))
    answered = sum(r == "answered" for _, r in clients.results.values())
    summary = "requests=%d answered=%d" % (len(clients.results), answered)
    world.record(summary)
    print(summary)


async def machine_stays(world):
    """The host falls silent (dark); its machine and agent go on."""
    clients, hosts, old = await deploy(world)
    end = world.now() + 18
    world.tasks.append(asyncio.create_task(
        clients.load(BOOKS, 10, 3.0, "book", end)))
    world.tasks.append(asyncio.create_task(
        clients.load(NUMBERS, 5, 0.6, "number", end)))
    await asyncio.sleep(5)
    if world.trouble:
        # A second after a health check, of which there is one every 2 s.
        seen = old.checked_at
        await w.until("a health check", lambda: old.checked_at > seen, 5)
        await asyncio.sleep(1.0)
        old.silent = True
        world.record("host %s (book-export) falls silent" % old.id)
        await asyncio.sleep(REUSE_AFTER)
        new = w.Host(old.machine, "numbering", work=0.02, cold_s=2.0)
        world.record("host %s (numbering) starts at its address" % new.id)
        hosts.append(new)
        await old.machine.run(new)
    await asyncio.sleep(end - world.now() + 2)
    judge(world, clients, hosts)


async def machine_goes(world):
    """The host and its machine end (side); a new one takes the address."""
    clients, hosts, old = await deploy(world)
    world.tasks.append(asyncio.create_task(
        clients.load(NUMBERS, 5, 0.6, "number", world.now() + 12)))
    for _ in range(4):
        await clients.fresh(BOOKS, 3.0, "book")
        await asyncio.sleep(1)
    if world.trouble:
        world.record("machine of host %s (book-export) ends" % old.id)
        old.machine.stop()
        await world.kill(old.machine.name)
        await asyncio.sleep(REUSE_SOONEST)
        new = w.Host(old.machine, "numbering", work=0.02, cold_s=2.0)
        new.health_delay = FIRST_ANSWER
        world.record("host %s (numbering) starts at its address" % new.id)
        hosts.append(new)
        await old.machine.run(new)
        await world.start("agent", "side-bkk-a-3", "bkk-a", old.machine.ip,
            "numbering")
    await asyncio.sleep(0.15)
    await asyncio.gather(*(clients.fresh(BOOKS, 3.0, "book")
        for _ in range(6)))
    await asyncio.sleep(5)
    judge(world, clients, hosts)


w.main(HERE, machine_stays, machine_goes)
