"""One spoilt answer; then a pop cache is replaced and objects are purged."""
import asyncio, math, os, random, sys
sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib-2"))
import edge

CAPACITY = 16            # transfers at full pace: the weight in the list
WORK_S = 0.3             # mean sending time of a video-part
RATE = 190.0             # requests a second
PURGE_GRACE_S = 0.3      # purge-slack-us
PURGE_HELD_S = 5.0       # the pop caches drop older copies by themselves within 6 s


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
    proxy = w.proxy("n1", s)
    proxy.start()
    await proxy.ready()
    rng, tasks, stop = random.Random(3), [], []

    async def load():
        start, n = edge.now(), 0
        while not stop:
            key, part = "%016x" % rng.randrange(1, 400), rng.randrange(8)
            kb = WORK_S * 4200 * rng.uniform(0.8, 1.2)
            tasks.append(asyncio.ensure_future(w.request(proxy, "video-part", key, budget_ms=6000, kb=kb, part=part)))
            n += 1
            await asyncio.sleep(max(0, start + n / RATE - edge.now()))

    spoilt, told, new = [], {}, []

    def spoil(attempt, fields):
        # Noise in one answer: one wrong character, the first digit of `made`.
        if not spoilt:
            spoilt.append(attempt)
            w.record("spoilt answer", attempt)
            return fields.replace("made=1", "made=9", 1)
        return fields

    async def drop(key, at):
        await asyncio.sleep(PURGE_HELD_S)
        for b in w.servers.values():
            for place in [p for p, made in b.copies.items() if p[0] == key and made <= at]:
                del b.copies[place]

    async def day():
        await asyncio.sleep(5)
        if w.trouble:
            boxes[1].spoil = spoil
        await asyncio.sleep(1)
        # A pop cache is replaced; the event bus tells both at once.
        b = await w.add_server("s-%08x" % 0x105, "edge-1", "small-box", capacity=CAPACITY)
        b.boot_ms = edge.unix_ms()
        b.started = edge.now()
        boxes[0].state = "gone"
        w.bus.add(topology={"rev": 2, "all": False, "targets": [boxes[0].target(), b.target()]})
        new.append(b)
        await asyncio.sleep(1)
        for n in range(1, 7):
            key = "%016x" % n
            told[key] = edge.now()
            w.bus.add(ban={"url": key, "ts": edge.unix_ms(told[key])})
            asyncio.ensure_future(drop(key, told[key]))
        await asyncio.sleep(6)
        stop.append(True)

    await asyncio.gather(load(), day())
    await asyncio.gather(*tasks)
    if w.trouble and not spoilt:
        raise edge.CannotRun("no answer was spoilt")
    counts = {"failback": 0, "purge": 0}
    # Purges: no attempt later than the slack ends ok from an older copy.
    for attempts in w.attempts.values():
        for a in attempts:
            at = told.get(a.fields.get("key"))
            if at and a.end == "200" and a.at > at + PURGE_GRACE_S + edge.SLACK_S and a.made < at:
                counts["purge"] += 1
                w.breach("purge: request", a.rid, "was sent %.2f s after the purge of" % (a.at - at), a.fields["key"],
                         "with maxage", a.fields.get("maxage", "none"), "and answered from a copy made %.2f s before it" %
                         (at - a.made))
    # Cold starts: N + 2 root N + 2 (under 30: N + 3 root N + 3) requests of mean work in any window.
    b = new[0]
    share = lambda t: min(1.0, cold + (1 - cold) * max(0.0, t) / ramp)
    arrivals = sorted(a.at - b.started for al in w.attempts.values() for a in al if a.cache is b)
    worst = None
    for i, at in enumerate(arrivals):
        end = at + window
        count = sum(1 for x in arrivals[i:] if x <= end)
        n = multiple * (share(at) + share(min(end, ramp))) / 2 * CAPACITY * window / WORK_S
        limit = n + 2 * math.sqrt(n) + 2 if n >= 30 else n + 3 * math.sqrt(n) + 3
        w.record("window from %.2f s: %d requests, N %.1f, allowed %.1f" % (at, count, n, limit))
        if count > limit and (worst is None or count - limit > worst[0]):
            worst = (count - limit, at, count, limit, n)
    if worst:
        counts["failback"] += 1
        w.breach("failback: %s fell: from %.2f s after its start it got %d requests of mean work in %.0f s, allowed %.1f (N %.1f)" %
                 (b.uid, worst[1], worst[2], window, worst[3], worst[4]))
    w.record("breaches by rule:", counts)
    print("breaches by rule:", counts)

edge.main(__file__, play)
