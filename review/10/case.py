"""An operator takes a pop cache out, restarts it and calls it back; the return is cold."""
import asyncio, math, os, random, sys
sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib-2"))
import edge

CAPACITY = 16            # transfers at full pace: the weight in the list
WORK_S = 0.3             # mean sending time of a video-part
RATE = 190.0             # requests a second
BUS_LATE_S = 3.4         # the box list tells the restart seconds late


async def play(w):
    w.settings = s = edge.settings()
    rules = s["rules"]
    cold, ramp = rules["cold-share"], rules["ramp-time-us"] / 1e6
    multiple, window = rules["fall-multiple"], rules["tip-after-us"] / 1e6
    await w.bus.start()
    boxes = [await w.add_server("s-%08x" % (i + 1), "edge-1", "small-box", capacity=CAPACITY) for i in range(4)]
    fixed = [await w.add_server("s-0000000e", "north-hub", "parent", capacity=200),
             await w.add_server("s-0000000f", "north-hub", "origin", is_origin=True, capacity=200)]
    w.bus.add(topology={"rev": 1, "all": True, "targets": [b.target() for b in boxes + fixed]})
    proxy = w.proxy("n1", s, ops=True)
    proxy.start()
    await proxy.ready()
    rng, tasks, until = random.Random(3), [], []

    async def load():
        start, n = edge.now(), 0
        while not until or edge.now() < until[0]:
            key, part = "%016x" % rng.randrange(1, 400), rng.randrange(8)
            kb = WORK_S * 4200 * rng.uniform(0.8, 1.2)
            tasks.append(asyncio.ensure_future(w.request(proxy, "video-part", key, budget_ms=6000, kb=kb, part=part)))
            n += 1
            await asyncio.sleep(max(0, start + n / RATE - edge.now()))

    box, started, called = boxes[0], [], []

    def tell():
        w.bus.add(topology={"rev": 2, "all": False, "targets": [box.target()]})

    async def operators():
        await asyncio.sleep(8)
        status = await proxy.call_ops("POST", "/control/pop-caches/%s/offline" % box.uid)
        if status // 100 != 2:
            raise edge.CannotRun("offline was answered with %d" % status)
        await asyncio.sleep(2)
        await box.stop()                      # the operators restart the pop cache
        box.copies.clear()
        await asyncio.sleep(1)
        await box.start()
        box.boot_ms = edge.unix_ms()
        started.append(edge.now())
        if not w.trouble:
            tell()                            # the box list is quick for once
        await asyncio.sleep(0.1)
        status = await proxy.call_ops("POST", "/control/pop-caches/%s/online" % box.uid)
        if status // 100 != 2:
            raise edge.CannotRun("online was answered with %d" % status)
        called.append(edge.now())
        if w.trouble:
            await asyncio.sleep(max(0, started[0] + BUS_LATE_S - edge.now()))
            tell()
        until.append(started[0] + 8)

    await asyncio.gather(load(), operators())
    await asyncio.gather(*tasks)
    # The rule on cold starts, with its allowance: N + 2 root N + 2 (under 30: N + 3 root N + 3) requests of mean work in
    # any window of the stated length, N being what the settings allow then.
    t0 = started[0]
    share = lambda t: min(1.0, cold + (1 - cold) * max(0.0, t) / ramp)
    arrivals = sorted(a.at - t0 for al in w.attempts.values() for a in al if a.cache is box and a.at >= called[0])
    worst = None
    for i, at in enumerate(arrivals):
        if at > ramp:
            break
        end = at + window
        count = sum(1 for x in arrivals[i:] if x <= end)
        mean = (share(at) + share(min(end, ramp))) / 2
        n = multiple * mean * CAPACITY * window / WORK_S
        limit = n + 2 * math.sqrt(n) + 2 if n >= 30 else n + 3 * math.sqrt(n) + 3
        w.record("window from %.2f s: %d requests, N %.1f, allowed %.1f" % (at, count, n, limit))
        if count > limit and (worst is None or count - limit > worst[0]):
            worst = (count - limit, at, count, n, limit)
    if worst:
        w.breach("%s fell: from %.2f s after its start it got %d requests of mean work in %.0f s, allowed %.1f (N %.1f)" %
                 (box.uid, worst[1], worst[2], window, worst[4], worst[3]))

edge.main(__file__, play)
