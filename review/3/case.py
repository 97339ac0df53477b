"""An upgrade while operators take pop caches out: the new process does not know what the old one said yes to."""
import signal
import sys
import time

from standins import Bus, Cache, CannotRun, Case, Proxy, Web, config, free_address, http, listen, now_ms
from standins import run_thread
import os

DRAIN_GRACE_MS = 1000 + 50  # rules.drain-grace-us, and the slack of the rules on sockets


def wait_ready(case, ops):
    """The platform asks every 0.1 s whether the process is ready, for 6 s at most."""
    end = time.time() + 6
    while time.time() < end:
        if http(ops, "GET", "/control/ready")[0] == 200:
            return case.record("the process with the door %s says yes" % ops)
        time.sleep(0.1)
    raise CannotRun("a process did not say yes within 6 s")


def offline(case, ops, box, taken_out):
    status, _ = http(ops, "POST", "/control/pop-caches/%s/offline" % box.uid)
    case.record("an operator calls offline for %s at %s: %s" % (box.uid, ops, status))
    if status is not None and 200 <= status < 300:
        taken_out.append((box, now_ms()))


def body(case):
    record = case.record
    origin = Cache(record, "s-0000000f", "north-hub", "origin")
    boxes = [Cache(record, "s-0000000%d" % n, "edge-1", "small-box") for n in range(1, 6)]
    bus = Bus(record)
    entries = [server.entry() for server in boxes + [origin]]
    known = {"offset": 0, "batch": [{"offset": 0, "topology": {"rev": 1, "all": True, "targets": entries}}]}
    # The platform holds the clients' listening socket and one folder for both processes.
    listener = listen()
    front = "127.0.0.1:%d" % listener.getsockname()[1]
    tmpdir = os.path.join(case.folder, "tmp")
    doors = [free_address(), free_address()]
    old = Proxy(case, "old", config("n1", front, bus.endpoint, known, ops=doors[0]), tmpdir=tmpdir, listener=listener)
    wait_ready(case, doors[0])

    taken_out = []
    if not case.trouble:
        # Without the disruption the calls come before the upgrade begins.
        offline(case, doors[0], boxes[0], taken_out)
        offline(case, doors[0], boxes[1], taken_out)

    # A request is under way when the old process is told to end: a large video part, which takes 1.6 s to come.
    for box in boxes:
        box.delay_s = 1.6
    slow = Web(record, front)
    run_thread(slow.get, "video-part", "00000000000000aa", 0, 0, 6000, 4000)
    time.sleep(0.3)

    new = Proxy(case, "new", config("n1", front, bus.endpoint, known, ops=doors[1]), tmpdir=tmpdir, listener=listener)
    time.sleep(0.06)
    if case.trouble:
        # The new process has said nothing yet, so the operators' door is that of the process that serves.
        offline(case, doors[0], boxes[0], taken_out)
    time.sleep(0.04)
    wait_ready(case, doors[1])
    old.signal(signal.SIGTERM)
    time.sleep(0.5)
    if case.trouble:
        # The old process still answers what it has taken, and its door still says yes.
        offline(case, doors[0], boxes[1], taken_out)
    if old.wait_ended(3.7 - 0.5) is None:
        raise CannotRun("the old process did not end before SIGKILL was due")
    if not taken_out:
        raise CannotRun("no call was answered with yes")
    for box in boxes:
        box.delay_s = 0.0

    time.sleep(DRAIN_GRACE_MS / 1000 + 0.1)
    web = Web(record, front)
    for number in range(150):
        web.get("photo", "%016x" % (number * 7919 + 1))
    broken = []
    for box, at in taken_out:
        late = box.fetched_after(at + DRAIN_GRACE_MS)
        record("%s, taken out: %d requests came later than %d ms after the yes" % (box.uid, len(late), DRAIN_GRACE_MS))
        if late:
            broken.append("%s was taken out with a yes and got %d new requests later than %d ms after it"
                          % (box.uid, len(late), DRAIN_GRACE_MS))
    sources = {box.uid for box, _ in taken_out}
    last = max(at for _, at in taken_out) + DRAIN_GRACE_MS
    named = [fetch for server in boxes for fetch in server.fetched_after(last) if fetch[2].get("src") in sources]
    if named:
        broken.append("%d fills named it as their source" % len(named))
    return "; ".join(broken) or None


Case(sys.argv[1]).run(body)
