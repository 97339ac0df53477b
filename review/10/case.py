"""One spoilt answer, and then purges that the proxy has been told of."""
import asyncio, os, random, sys
sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib-2"))
import edge

GRACE_S = 0.3            # purge-slack-us
PURGE_TAKES_S = 6.0      # purge-takes-us: until then a pop cache may still hold the older copy


async def play(w):
    w.settings = s = edge.settings()
    await w.bus.start()
    boxes = [await w.add_server("s-%08x" % (i + 1), "edge-1", "small-box") for i in range(3)]
    await w.add_server("s-0000000e", "north-hub", "parent")
    await w.add_server("s-0000000f", "north-hub", "origin", is_origin=True)
    w.bus.add(topology={"rev": 1, "all": True, "targets": [b.target() for b in w.servers.values()]})
    proxy = w.proxy("n1", s)
    proxy.start()
    await proxy.ready()
    keys = ["%016x" % (0xa0 + i) for i in range(12)]
    for key in keys:
        await w.request(proxy, "video-part", key, budget_ms=6000)

    spoilt = []

    def spoil(attempt, fields):
        # Noise in one answer: one wrong character, the first digit of `made`.
        if not spoilt:
            spoilt.append(attempt)
            w.record("spoilt answer", attempt)
            return fields.replace("made=1", "made=9", 1)
        return fields
    if w.trouble:
        boxes[0].spoil = boxes[1].spoil = boxes[2].spoil = spoil
    await w.request(proxy, "photo", "%016x" % 0xbb)
    await asyncio.sleep(0.5)

    told = {}

    async def drop(key, at):
        # The pop caches and the parent drop the older copies by themselves, 5 s after the purge.
        await asyncio.sleep(5.0)
        for b in w.servers.values():
            made = b.copies.get((key, "0"))
            if made is not None and made <= at:
                del b.copies[(key, "0")]

    for key in keys[:6]:
        at = edge.now()
        w.bus.add(ban={"url": key, "ts": edge.unix_ms(at)})
        told[key] = at
        asyncio.ensure_future(drop(key, at))
        await asyncio.sleep(0.05)
    await asyncio.sleep(1.0)
    for _ in range(3):
        for key in keys:
            await w.request(proxy, "video-part", key, budget_ms=6000)
        await asyncio.sleep(0.5)
    # Whatever the event bus has to tell is told at once here: the proxy reads it all the time.
    for attempts in w.attempts.values():
        for a in attempts:
            at = told.get(a.fields.get("key"))
            if at and a.end == "200" and a.at > at + GRACE_S + edge.SLACK_S and a.made < at:
                w.breach("request", a.rid, "was sent %.2f s after the purge of" % (a.at - at), a.fields["key"],
                         "with maxage", a.fields.get("maxage", "none"), "and answered from a copy made %.2f s before it"
                         % (at - a.made))

edge.main(__file__, play)
