"""A new configuration that is short of a key: the proxy takes it, and hears nothing of the event bus any more."""
import signal
import sys
import time

from standins import Bus, Cache, Case, Proxy, Web, config, free_address, now_ms

TOLD_MS = 7000  # what the event bus has to tell counts as told after this at the latest
DRAIN_GRACE_MS = 1000 + 50  # rules.drain-grace-us, and the slack of the rules on sockets


def body(case):
    record = case.record
    origin = Cache(record, "s-0000000f", "north-hub", "origin")
    boxes = [Cache(record, "s-0000000%d" % n, "edge-1", "small-box") for n in (1, 2, 3)]
    bus = Bus(record)
    entries = [server.entry() for server in boxes + [origin]]
    known = {"offset": 0, "batch": [{"offset": 0, "topology": {"rev": 1, "all": True, "targets": entries}}]}
    front = free_address()
    settings = config("n1", front, bus.endpoint, known)
    proxy = Proxy(case, "n1", settings)
    case.wait_healthy(front)
    web = Web(record, front)
    for number in range(20):
        web.get("photo", "%016x" % (number * 104729 + 3))
    web.close()
    time.sleep(1.5)  # never in the first second, nor before it is ready

    if case.trouble:
        del settings["bus"]
    proxy.write(settings)
    record("the configuration is replaced by one %s" % ("that is short of the key bus" if case.trouble else "that is whole"))
    proxy.signal(signal.SIGHUP)
    time.sleep(2.0)

    # One box drains. It stays up.
    drained = boxes[0]
    told = bus.topology([drained.entry("draining")], 2)
    time.sleep((told + TOLD_MS + DRAIN_GRACE_MS - now_ms()) / 1000 + 0.1)

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
