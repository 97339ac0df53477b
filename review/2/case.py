"""A zone of a large fleet is lost: the event that tells it is over 64 KB, and the proxy hears nothing from then on."""
import sys
import time

from standins import Bus, Cache, CannotRun, Case, Proxy, Web, config, free_address, now_ms

BREAK_TOLD_MS = 2000  # what the event bus would have told counts as told this long after a break
TOLD_MS = 7000  # and this long after it is in the event bus, in any case
PURGE_GRACE_MS = 300 + 50  # family-info.purge-slack-us, and the slack of the rules on sockets
DRAIN_GRACE_MS = 1000 + 50  # rules.drain-grace-us, and the same slack
DROPPED_S = 5.9  # family-info.purge-takes-us is 6 s: until then a cache may hold an older copy
ZONE_BOXES = 800  # of a fleet of 1,600 pop caches in two other locations; the pages name up to 3,200
KEY = "00000000000000a7"


def wait_until(at_ms):
    time.sleep(max(0.0, (at_ms - now_ms()) / 1000))


def made_of(content):
    return int(content.rsplit(b"@", 1)[1])


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
    if web.get("video-part", KEY, budget_ms=6000)[0] != 200:
        raise CannotRun("the object could not be fetched")
    for number in range(20):
        web.get("photo", "%016x" % (number * 104729 + 3))
    web.close()

    if case.trouble:
        # The zone is lost for 5 s, as long as the page says, and comes back cold.
        lost = bus.topology(others("edge-2", 0x100000, "gone"), 2)
    time.sleep(1.0)
    # An object is purged, and one box of the proxy's own location drains, in ordinary events. It stays up.
    purged = bus.purge(KEY)
    for box in boxes:
        box.drop_later(KEY, purged, DROPPED_S)
    drained = boxes[0]
    told = bus.topology([drained.entry("draining")], 3)

    # Requests from when the purge counts as told, and its grace is over.
    wait_until(purged + BREAK_TOLD_MS + PURGE_GRACE_MS + 50)
    web = Web(record, front)
    old, is_back = 0, not case.trouble
    while now_ms() < purged + DROPPED_S * 1000 - 100:
        status, content = web.get("video-part", KEY, budget_ms=6000)
        old += status == 200 and made_of(content) < purged
        time.sleep(0.1)
        if not is_back and now_ms() > lost + 5000:
            bus.topology([dict(entry, boot_ms=now_ms()) for entry in others("edge-2", 0x100000, "ready")], 4)
            is_back = True
    web.close()
    record("%d answers came from a copy older than the purge" % old)

    wait_until(told + TOLD_MS + DRAIN_GRACE_MS + 50)
    since = now_ms()
    web = Web(record, front)
    for number in range(120):
        web.get("photo", "%016x" % (number * 7919 + 1))
    late = drained.fetched_after(since)
    named = [fetch for box in boxes for fetch in box.fetched_after(since) if fetch[2].get("src") == drained.uid]
    record("%s drains: %d new requests, and %d fills that name it, later than %d ms after the event"
           % (drained.uid, len(late), len(named), TOLD_MS + DRAIN_GRACE_MS))
    broken = []
    if old:
        broken.append("purge: %d answers from a copy older than the purge, later than %d ms after it counted as told"
                      % (old, PURGE_GRACE_MS))
    if late or named:
        broken.append("drain: %d requests and %d fills for a box that drains, from %d ms after its event"
                      % (len(late), len(named), since - told))
    return "; ".join(broken) or None


Case(sys.argv[1]).run(body)
