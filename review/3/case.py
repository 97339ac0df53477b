"""A zone of a large fleet is lost: the event that tells it is over 64 KB, and the proxy hears nothing from then on."""
import sys
import time

from standins import Bus, Cache, Case, Proxy, Web, config, free_address, now_ms

TOLD_MS = 7000  # what the event bus has to tell counts as told after this at the latest
DRAIN_GRACE_MS = 1000 + 50  # rules.drain-grace-us, and the slack of the rules on sockets
ZONE_BOXES = 800  # of a fleet of 1,600 pop caches in two other locations; the pages name up to 3,200


def others(zone, first, state):
    return [{"uid": "s-%08x" % (first + n), "endpoint": "127.%d.%d.%d:6565" % (first >> 16, n // 250, n % 250 + 1),
             "az": zone, "model": "small-box", "pod_group": 0, "state": state, "capacity_hint": 4, "boot_ms": 0}
            for n in range(ZONE_BOXES)]


def body(case):
    record = case.record
    origin = Cache(record, "s-0000000f", "north-hub", "origin")
    boxes = [Cache(record, "s-0000000%d" % n, "edge-1", "small-box") for n in (1, 2, 3)]
    bus = Bus(record)
    entries = [server.entry() for server in boxes + [origin]]
    entries += others("edge-2", 0x100000, "ready") + others("edge-3", 0x200000, "ready")
    known = {"offset": 0, "batch": [{"offset": 0, "topology": {"rev": 1, "all": True, "targets": entries}}]}
    front = free_address()
    settings = config("n1", front, bus.endpoint, known)
    settings["settings"]["localities"] = ["north-hub", "edge-1", "edge-2", "edge-3"]
    family = settings["settings"]["family-info"]
    family.update({"attached-to": [0, 0, 0, 0], "seats-by-zone": [0, 1, 1, 1], "zone-link-kb-per-s": [0.0] * 4})
    Proxy(case, "n1", settings)
    case.wait_healthy(front)
    time.sleep(0.5)
    web = Web(record, front)
    for number in range(20):
        web.get("photo", "%016x" % (number * 104729 + 3))
    web.close()

    if case.trouble:
        # The zone is lost for 5 s, as long as the page says, and comes back cold.
        bus.topology(others("edge-2", 0x100000, "gone"), 2)
    time.sleep(1.0)
    # One box of the proxy's own location drains, in an ordinary event. It stays up.
    drained = boxes[0]
    told = bus.topology([drained.entry("draining")], 3)
    time.sleep(4.0)
    if case.trouble:
        back = [dict(entry, boot_ms=now_ms()) for entry in others("edge-2", 0x100000, "ready")]
        bus.topology(back, 4)
    time.sleep(max(0.0, (told + TOLD_MS + DRAIN_GRACE_MS - now_ms()) / 1000 + 0.1))

    since = now_ms()
    web = Web(record, front)
    for number in range(120):
        web.get("photo", "%016x" % (number * 7919 + 1))
    late = drained.fetched_after(since)
    named = [fetch for box in boxes for fetch in box.fetched_after(since) if fetch[2].get("src") == drained.uid]
    record("%s drains: %d new requests, and %d fills that name it, later than %d ms after the event"
           % (drained.uid, len(late), len(named), TOLD_MS + DRAIN_GRACE_MS))
    if late or named:
        return "%d requests and %d fills for a box that drains, from %d ms after the event bus had the event" % (
            len(late), len(named), since - told)
    return None


Case(sys.argv[1]).run(body)
