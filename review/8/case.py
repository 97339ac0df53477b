"""Six in ten pop caches are replaced; the event bus tells it by a complete list."""
import asyncio, os, random, sys
sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib-2"))
import edge

GRACE_S = 1.0            # drain-grace-us


async def play(w):
    w.settings = s = edge.settings()
    await w.bus.start()
    old = [await w.add_server("s-%08x" % (i + 1), "edge-1", "small-box") for i in range(10)]
    fixed = [await w.add_server("s-0000000e", "north-hub", "parent"),
             await w.add_server("s-0000000f", "north-hub", "origin", is_origin=True)]
    w.bus.add(topology={"rev": 1, "all": True, "targets": [b.target() for b in old + fixed]})
    proxy = w.proxy("n1", s)
    proxy.start()
    await proxy.ready()
    rng, tasks = random.Random(2), []

    async def load():
        for _ in range(20 * 25):
            key = "%016x" % rng.randrange(1, 400)
            tasks.append(asyncio.ensure_future(w.request(proxy, "photo", key)))
            await asyncio.sleep(0.05)

    gone, told_at = old[:6], []

    async def trouble():
        await asyncio.sleep(3)
        new = []
        for i in range(6):
            b = await w.add_server("s-%08x" % (0x100 + i), "edge-1", "small-box")
            b.boot_ms = edge.unix_ms()
            new.append(b)
        for b in gone:
            b.state = "gone"
        w.bus.add(topology={"rev": 2, "all": True, "targets": [b.target() for b in old[6:] + new + fixed]})
        told_at.append(edge.now())

    async def calm():
        # The same replacement, told by a list of what has changed.
        await asyncio.sleep(3)
        new = []
        for i in range(6):
            b = await w.add_server("s-%08x" % (0x100 + i), "edge-1", "small-box")
            b.boot_ms = edge.unix_ms()
            new.append(b)
        for b in gone:
            b.state = "gone"
        w.bus.add(topology={"rev": 2, "all": False, "targets": [b.target() for b in gone + new]})
        told_at.append(edge.now())

    await asyncio.gather(load(), trouble() if w.trouble else calm())
    await asyncio.gather(*tasks)
    uids = {b.uid for b in gone}
    late = told_at[0] + GRACE_S + edge.SLACK_S
    for attempts in w.attempts.values():
        for a in attempts:
            if a.at <= late:
                continue
            if a.cache.uid in uids:
                w.breach("request", a.rid, "came to", a.cache.uid, "%.2f s after its removal" % (a.at - told_at[0]))
            elif a.fields.get("src") in uids:
                w.breach("request", a.rid, "names", a.fields["src"], "as its source %.2f s after its removal" %
                         (a.at - told_at[0]))

edge.main(__file__, play)
