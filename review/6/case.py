"""Keyed requests of a cached class whose repeats only one cell of pop caches drops."""
import asyncio, os, random, sys
sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib-2"))
import edge

NEVER_RAN = ("404", "503", "504")


async def play(w):
    w.settings = s = edge.settings()
    photo = s["categories"][1]
    photo.update({"repeat": "token", "dedup-scope": "cell", "window-us": 2000000})
    await w.bus.start()
    boxes = [await w.add_server("s-%08x" % (i + 1), "edge-1", "small-box", cell=i // 2) for i in range(4)]
    await w.add_server("s-0000000e", "north-hub", "parent")
    await w.add_server("s-0000000f", "north-hub", "origin", is_origin=True)
    w.bus.add(topology={"rev": 1, "all": True, "targets": [b.target() for b in w.servers.values()]})
    proxy = w.proxy("n1", s)
    proxy.start()
    await proxy.ready()
    rng = random.Random(1)
    tasks = []

    async def load():
        for i in range(20 * 20):
            key = "%016x" % rng.randrange(1, 200)
            tasks.append(asyncio.ensure_future(w.request(proxy, "photo", key, once="%032x" % (i + 1))))
            await asyncio.sleep(0.05)

    async def trouble():
        # Every second, one pop cache resets its connections while at least one request on them has begun.
        await asyncio.sleep(2)
        for turn in range(15):
            box = boxes[turn % 4]
            for _ in range(200):
                if any(mine for mine in box.open.values()):
                    w.record("reset the connections of", box.uid)
                    box.reset_connections()
                    break
                await asyncio.sleep(0.005)
            await asyncio.sleep(1)

    jobs = [load()] + ([trouble()] if w.trouble else [])
    await asyncio.gather(*jobs)
    await asyncio.gather(*tasks)
    # The rule: once an attempt may have executed, further ones only within the same cell and the window.
    for rid, attempts in w.attempts.items():
        run = None
        for a in attempts:
            if run and a.cache.cell != run.cache.cell:
                w.breach("request", rid, "came to", run.cache.uid, "of cell", run.cache.cell, "(ended by",
                         run.end + ") and then to", a.cache.uid, "of cell", a.cache.cell)
            elif run and a.at - run.at > 2.0 + edge.SLACK_S:
                w.breach("request", rid, "was sent again after its window")
            if run is None and a.end not in NEVER_RAN:
                run = a

edge.main(__file__, play)
