"""The event bus ends its lines with a carriage return alone, as server-sent events may."""
import asyncio, os, random, sys
sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib-2"))
import edge

DRAIN_GRACE_S = 1.0      # drain-grace-us
TOLD_S = 7.0             # "counts as told 7 s later at the latest"
PURGE_GRACE_S = 0.3      # purge-slack-us
PURGE_TOLD_S = 4.0       # the longest of LATER's terms: "4 s after a stop"; nothing stops here
PURGE_HELD_S = 5.9       # the pop caches drop older copies by themselves within 6 s


class CarriageReturnBus(edge.Bus):
    """Writes the same events; a line ends with CR."""

    async def serve(self, reader, writer):
        write = writer.write

        def with_cr(data):
            head, _, rest = data.partition(b"\r\n\r\n") if data.startswith(b"HTTP/") else (b"", b"", data)
            write((head + b"\r\n\r\n" if head else b"") + rest.replace(b"\n", b"\r"))
        writer.write = with_cr
        await super().serve(reader, writer)


async def play(w):
    w.settings = s = edge.settings()
    if w.trouble:
        w.bus = CarriageReturnBus(w)
    await w.bus.start()
    boxes = [await w.add_server("s-%08x" % (i + 1), "edge-1", "small-box") for i in range(4)]
    await w.add_server("s-0000000e", "north-hub", "parent")
    await w.add_server("s-0000000f", "north-hub", "origin", is_origin=True)
    w.bus.add(topology={"rev": 1, "all": True, "targets": [b.target() for b in w.servers.values()]})
    proxy = w.proxy("n1", s)
    proxy.start()
    await proxy.ready()
    rng, tasks = random.Random(4), []

    async def load():
        for _ in range(20 * 20):
            tasks.append(asyncio.ensure_future(w.request(proxy, "photo", "%016x" % rng.randrange(1, 400))))
            await asyncio.sleep(0.05)

    told_at, purged_at, album = [], [], "%016x" % 0xa1b0

    async def viewer():
        until = edge.now() + 16
        while edge.now() < until:
            tasks.append(asyncio.ensure_future(w.request(proxy, "video-part", album, budget_ms=6000)))
            await asyncio.sleep(0.1)

    async def purge():
        await asyncio.sleep(2)
        purged_at.append(edge.now())
        w.bus.add(ban={"url": album, "ts": edge.unix_ms(purged_at[0])})
        await asyncio.sleep(PURGE_HELD_S)
        for b in w.servers.values():
            if b.copies.get((album, "0"), purged_at[0]) < purged_at[0]:
                del b.copies[(album, "0")]

    async def drain():
        await asyncio.sleep(2.5)
        boxes[0].state = "draining"
        w.bus.add(topology={"rev": 2, "all": False, "targets": [boxes[0].target()]})
        told_at.append(edge.now())

    await asyncio.gather(load(), viewer(), purge(), drain())
    await asyncio.gather(*tasks)
    late = told_at[0] + TOLD_S + DRAIN_GRACE_S + edge.SLACK_S
    stale = purged_at[0] + PURGE_TOLD_S + PURGE_GRACE_S + edge.SLACK_S
    calls, counts = {c.rid: c for c in w.calls}, {"drain": 0, "purge": 0}
    for attempts in w.attempts.values():
        for a in attempts:
            if a.at > late and boxes[0].uid in (a.cache.uid, a.fields.get("src")):
                counts["drain"] += 1
                w.breach("drain: request", a.rid, "uses", boxes[0].uid, "%.2f s after the event that it drains" %
                         (a.at - told_at[0]))
            if a.fields["key"] == album and a.end == "200" and a.at > stale and a.made < purged_at[0]:
                counts["purge"] += 1
                w.breach("purge: request", a.rid, calls[a.rid].result, "from a copy made %.2f s before the purge, %.2f s after it" %
                         (purged_at[0] - a.made, a.at - purged_at[0]))
    w.record("breaches by rule:", counts)

edge.main(__file__, play)
