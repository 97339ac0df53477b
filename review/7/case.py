"""A proxy that accepted purges of a peer CDN is killed and starts again from nothing; the front takes it in at /_health."""
import asyncio, json, os, random, socket, sys
sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib-2"))
import edge

OBJECTS = 4000           # "many thousands of objects"
A_COMMAND = 250          # objects in one command
BACK_S = 1.2             # "come back after 1.2 to 7.9 s"
PURGE_TAKES_S = 6.0      # until then a pop cache may hold the older copy


async def http(port, method, path, body=None):
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    data = json.dumps(body).encode() if body else b""
    writer.write(("%s %s HTTP/1.1\r\nHost: cdn\r\nContent-Type: application/cdni; ptype=ci-trigger-command\r\n"
                  "Connection: close\r\nContent-Length: %d\r\n\r\n" % (method, path, len(data))).encode() + data)
    line = await asyncio.wait_for(reader.readline(), 8)
    writer.close()
    return int(line.split()[1])


def free_udp():
    return "127.0.0.1:%d" % edge.free_port(socket.SOCK_DGRAM)


async def play(w):
    w.settings = s = edge.settings()
    s["family-info"]["seats-by-zone"] = [0, 3]
    s["group-size"] = 3
    await w.bus.start()
    for i in range(3):
        await w.add_server("s-%08x" % (i + 1), "edge-1", "small-box")
    await w.add_server("s-0000000e", "north-hub", "parent")
    await w.add_server("s-0000000f", "north-hub", "origin", is_origin=True)
    w.bus.add(topology={"rev": 1, "all": True, "targets": [b.target() for b in w.servers.values()]})
    own = [free_udp() for _ in range(3)]
    proxies, cdni, interconnect = [], [], []
    for i in range(3):
        settings = json.loads(json.dumps(s))
        settings["rank"] = i
        p = w.proxy("n%d" % (i + 1), settings, ops=True, peer_listen=own[i], peers=own)
        cdni.append(edge.free_port())
        # The store lies in $TMPDIR, the only folder that the platform gives.
        interconnect.append({
            "cdni": {"listen": "127.0.0.1:%d" % cdni[i], "provider": "AS64500:0", "base": "http://127.0.0.1:%d" % cdni[i],
                     "footprint": ["127.0.0.0/8"], "neighbours": [], "purges": os.path.join(p.tmp, "purges")},
            "peers": {"tell": False, "copies": True},
            "copies": {"wait": 1, "within_ms": 5000, "machine": "machine-%d" % (i + 1),
                       "machines": {a: "machine-%d" % (j + 1) for j, a in enumerate(own)}}})
        p.start(interconnect=interconnect[i])
        proxies.append(p)
    for p in proxies:
        await p.ready()
    await asyncio.sleep(2)
    first = proxies[0]
    keys = ["%016x" % (0xa1b0000 + n) for n in range(OBJECTS)]
    asked = random.Random(6).sample(keys, 300)
    for i in range(0, len(asked), 20):
        await asyncio.gather(*(w.request(first, "video-part", k, budget_ms=6000) for k in asked[i:i + 20]))

    async def purge(i):
        urls = ["http://127.0.0.1:%d/content/video-part/%s" % (cdni[0], k) for k in keys[i:i + A_COMMAND]]
        return await http(cdni[0], "POST", "/cdni/triggers",
                          {"trigger": {"type": "purge", "content.urls": urls}, "cdn-path": ["AS64501:0"]})
    began = edge.now()
    statuses = [await purge(i) for i in range(0, OBJECTS, A_COMMAND)]
    accepted = edge.now()
    w.record("purges answered with", statuses, "after %.3f s" % (accepted - began))
    if any(status != 201 for status in statuses):
        raise edge.CannotRun("not all purges were accepted: %r" % statuses)

    async def dropped():
        # The pop caches drop what is older than the purges by themselves.
        await asyncio.sleep(max(0, began + PURGE_TAKES_S - edge.now()))
        for b in w.servers.values():
            b.copies = {place: made for place, made in b.copies.items() if made > accepted}
    asyncio.ensure_future(dropped())
    if w.trouble:
        first.kill()
        first.process.wait()
        for c in first.connections:
            c.close()
        first.connections.clear()
        await asyncio.sleep(BACK_S)
        first.start(interconnect=interconnect[0])
        await first.ready()
        w.record("/_health is answered with 200 %.3f s after the purges;" % (edge.now() - accepted), "GET /control/ready with",
                 await first.call_ops("GET", "/control/ready"))
    else:
        await asyncio.sleep(BACK_S)
    back, tasks = edge.now(), []
    rng = random.Random(7)
    while edge.now() < began + PURGE_TAKES_S:
        tasks.append(asyncio.ensure_future(w.request(first, "video-part", rng.choice(asked), budget_ms=6000)))
        await asyncio.sleep(0.01)
    await asyncio.gather(*tasks)
    purged = set(keys)
    calls = {c.rid: c for c in w.calls}
    for rid, attempts in w.attempts.items():
        for a in attempts:
            if a.at >= back and a.at > accepted + 0.35 and a.fields.get("key") in purged and a.end == "200" \
                    and a.made < began - 0.1:
                w.breach("request", rid, calls[rid].result, "by n1, sent %.2f s after n1 accepted the purge of" %
                         (a.at - accepted), a.fields["key"], "(%.2f s after its /_health), maxage" % (a.at - back),
                         a.fields.get("maxage", "none"), "copy made %.2f s before the purge" % (began - a.made))

edge.main(__file__, play)
