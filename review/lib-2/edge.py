"""Stand-ins for the cases of the second review, written from the operators' protocol pages alone.

One process runs all stand-ins on one asyncio loop: pop caches, the origin, the event bus and the front's web servers.
The proxy under test is a process of its own, started with the `run` line of deploy/balancer.toml.
"""
import asyncio, json, os, random, re, shutil, signal, socket, struct, subprocess, sys, tempfile, time

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
SLACK_S = 0.050          # "each time limit 50 ms longer"


def now():
    return time.time()


def unix_ms(at=None):
    return int((now() if at is None else at) * 1000)


class Record:
    """record.txt of a case: what was sent, answered and run."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w")
        self.start = now()

    def __call__(self, *words):
        print("%9.3f" % (now() - self.start), *words, file=self.file)

    def close(self):
        self.file.close()


def listen_socket(address=("127.0.0.1", 0)):
    s = socket.socket()
    s.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    s.bind(address)
    s.listen(512)
    s.setblocking(False)
    return s


def reset(writer):
    """Closes a connection so that the peer sees a reset, as when a process dies."""
    s = writer.get_extra_info("socket")
    try:
        s.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    except OSError:
        pass
    writer.transport.abort()


# ---------------------------------------------------------------- pop caches and the origin

class Attempt:
    """An attempt that has come whole to a pop cache."""

    def __init__(self, cache, rid, fields, body, at):
        self.cache, self.rid, self.fields, self.body, self.at = cache, rid, fields, body, at
        self.end = None          # word of the answer, 'aborted', 'reset' or 'closed'
        self.ended_at = None
        self.made = None         # when the copy of the answer left the origin

    def __repr__(self):
        return "%s@%s" % (self.rid, self.cache.uid)


def parse_fields(text):
    if text == "-":
        return {}
    return dict(pair.split("=", 1) for pair in text.split(","))


def frame(*items):
    out = [b"*%d\r\n" % len(items)]
    for item in items:
        item = item if isinstance(item, bytes) else str(item).encode()
        out.append(b"$%d\r\n%s\r\n" % (len(item), item))
    return b"".join(out)


class Server:
    """A pop cache, parent or origin: sound unless a case gives it a hook.

    on_fetch(attempt, writer) may return True to say that it has dealt with the attempt itself.
    spoil(attempt, fields) may change the fields of a good answer.
    """

    def __init__(self, world, uid, az, model, cell=0, capacity=8, service_s=0.02, is_origin=False):
        self.world, self.uid, self.az, self.model, self.cell = world, uid, az, model, cell
        self.capacity, self.service_s, self.is_origin = capacity, service_s, is_origin
        self.copies = {}         # (key, part) -> Unix time at which the copy left the origin
        self.open = {}           # writer -> {id: attempt}
        self.on_fetch = None
        self.spoil = None
        self.port = None
        self.server = None
        self.boot_ms = 0
        self.state = "ready"
        self.ran = []            # what ran here

    async def start(self):
        s = listen_socket(("127.0.0.1", self.port or 0))
        self.port = s.getsockname()[1]
        self.server = await asyncio.start_server(self.serve, sock=s, limit=1 << 20)

    async def stop(self):
        """The process dies: its connections are reset, new ones are refused."""
        self.server.close()
        self.reset_connections()
        await asyncio.sleep(0)

    def reset_connections(self):
        for writer, mine in list(self.open.items()):
            for attempt in mine.values():
                attempt.end, attempt.ended_at = "reset", now()
            reset(writer)

    def target(self, **more):
        t = {"uid": self.uid, "endpoint": "127.0.0.1:%d" % self.port, "az": self.az, "model": self.model,
             "pod_group": self.cell, "state": self.state, "capacity_hint": self.capacity, "boot_ms": self.boot_ms}
        t.update(more)
        return t

    async def serve(self, reader, writer):
        writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        mine = self.open[writer] = {}
        end = "closed"
        try:
            while True:
                line = await reader.readline()
                if not line:
                    break
                count = int(line[1:])
                items = []
                for _ in range(count):
                    length = int((await reader.readline())[1:])
                    items.append((await reader.readexactly(length + 2))[:-2])
                self.command(items, writer, mine)
        except (asyncio.IncompleteReadError, ConnectionError, OSError):
            end = "reset"
        finally:
            self.open.pop(writer, None)
            for attempt in list(mine.values()):
                if attempt.end is None:
                    attempt.end, attempt.ended_at = end, now()
            writer.transport.abort()

    def command(self, items, writer, mine):
        word = items[0].decode()
        if word in ("alive", "stats"):
            return writer.write(frame(items[1], "alive" if word == "alive" else "status", "stats=inflight:1;x0:0.5", ""))
        rid = items[1].decode()
        if word == "abort":
            attempt = mine.pop(rid, None)
            if attempt and attempt.end is None:
                attempt.end, attempt.ended_at = "aborted", now()
                self.world.record("abort", attempt)
            return
        attempt = Attempt(self, rid, parse_fields(items[2].decode()), items[3] if len(items) > 3 else b"", now())
        mine[rid] = attempt
        self.world.arrived(attempt)
        if self.on_fetch and self.on_fetch(attempt, writer):
            return
        asyncio.ensure_future(self.answer(attempt, writer, mine))

    def usable(self, attempt):
        """Whether there is a copy here that is new enough for the attempt."""
        f = attempt.fields
        made = self.copies.get((f["key"], f.get("part", "0")))
        if made is None:
            return None
        limit = float(f.get("maxage", 0)) / 1000 or self.world.fresh_s(f["class"])
        return made if not limit or now() - made <= limit else None

    async def answer(self, attempt, writer, mine):
        f = attempt.fields
        place = (f["key"], f.get("part", "0"))
        is_write = self.world.is_write(f["class"])
        if self.is_origin:
            await asyncio.sleep(self.service_s)
            made, how = now(), "local"
        elif is_write and f.get("src"):
            await asyncio.sleep(self.service_s + 0.01)
            made, how = now(), "pulled_far"
        else:
            made, how = self.usable(attempt), "local"
            if made is None:
                src = self.world.server(f.get("src"))
                if src is None or "no-fetch" in f.get("flags", "").split("+") and not src.is_origin \
                        and place not in src.copies:
                    return self.finish(attempt, writer, mine, "404", "how=not_there")
                await asyncio.sleep(0.01)
                if src.is_origin:
                    made, how = now(), "pulled_far"
                else:
                    made, how = src.usable(attempt), "pulled"
                    if made is None:
                        made, how = now(), "pulled_far"
                        src.copies[place] = made
                if f.get("keep", "0") != "0":
                    self.copies[place] = made
            await asyncio.sleep(self.service_s)
        if attempt.end is not None:
            return
        self.ran.append(attempt)
        attempt.made = made
        fields = "etag=%s,made=%d,how=%s,ttfb=5" % (attempt.rid, int(made * 1000), how)
        if self.spoil:
            fields = self.spoil(attempt, fields)
        self.finish(attempt, writer, mine, "200", fields, self.world.body(f["key"], f.get("part", "0"), made))

    def finish(self, attempt, writer, mine, word, fields, body=b""):
        if attempt.end is not None:
            return
        mine.pop(attempt.rid, None)
        attempt.end, attempt.ended_at = word, now()
        self.world.record("end", attempt, word, fields)
        if not writer.transport.is_closing():
            writer.write(frame(attempt.rid, word, fields, body))


# ---------------------------------------------------------------- the event bus

class Bus:
    """The event bus: numbered events, told from Last-Event-ID on, a comment every second."""

    def __init__(self, world):
        self.world, self.events, self.port = world, [], None
        self.changed = asyncio.Event()
        self.writers = set()

    async def start(self):
        s = listen_socket()
        self.port = s.getsockname()[1]
        self.server = await asyncio.start_server(self.serve, sock=s)

    def add(self, **event):
        event["offset"] = len(self.events) + 1
        self.events.append(event)
        self.changed.set()
        self.changed = asyncio.Event()
        self.world.record("bus", json.dumps(event))
        return event["offset"]

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
            last = int(re.search(r"(?im)^last-event-id: *(\d+)", head).group(1))
            self.world.record("bus read from", last)
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n")
            while True:
                changed = self.changed
                for event in self.events[last:]:
                    writer.write(("id: %d\ndata: %s\n\n" % (event["offset"], json.dumps(event))).encode())
                    last = event["offset"]
                await writer.drain()
                try:
                    await asyncio.wait_for(changed.wait(), 1.0)
                except asyncio.TimeoutError:
                    writer.write(b": still here\n\n")
        except (ConnectionError, OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            writer.transport.abort()


# ---------------------------------------------------------------- the front's web servers

def record_bytes(kind, number, content):
    return struct.pack(">BBHHBB", 1, kind, number, len(content), 0, 0) + content


def pair(name, value):
    name, value = name.encode(), value.encode()
    size = lambda n: bytes([n]) if n < 128 else struct.pack(">I", n | 0x80000000)
    return size(len(name)) + size(len(value)) + name + value


class Call:
    """A client's request and what became of it."""

    def __init__(self, rid, cls, key, budget_ms, proxy):
        self.rid, self.cls, self.key, self.budget_ms, self.proxy = rid, cls, key, budget_ms, proxy
        self.sent_at = self.answered_at = None
        self.result = None       # 'served', 'refused', 'failed', 'lost'
        self.status, self.body, self.unchanged = None, b"", False
        self.answers = 0
        self.done = asyncio.get_event_loop().create_future()


class FcgiConnection:
    def __init__(self, world, proxy):
        self.world, self.proxy = world, proxy
        self.calls, self.out, self.next = {}, {}, 1
        self.closed = False
        self.used_at = now()

    async def open(self, bytes_per_s=None):
        """Opens the connection; with a rate, the client reads that much a second at most."""
        self.bytes_per_s = bytes_per_s
        s = socket.socket()
        if bytes_per_s:
            s.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65536)
        s.setblocking(False)
        await asyncio.get_event_loop().sock_connect(s, ("127.0.0.1", self.proxy.port))
        self.reader, self.writer = await asyncio.open_connection(sock=s, limit=65536)
        self.writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.world.keep.append(asyncio.ensure_future(self.read()))
        return self

    def send(self, call, params, body=b""):
        number, self.next = self.next, self.next % 60000 + 1
        self.calls[number], self.out[number] = call, b""
        data = record_bytes(1, number, struct.pack(">HB5x", 1, 1))
        block = b"".join(pair(n, v) for n, v in params)
        data += record_bytes(4, number, block) + record_bytes(4, number, b"")
        for i in range(0, len(body), 32768):
            data += record_bytes(5, number, body[i:i + 32768])
        data += record_bytes(5, number, b"")
        self.used_at = call.sent_at = now()
        self.writer.write(data)
        return number

    def abort(self, number):
        self.writer.write(record_bytes(2, number, b""))
        call = self.calls.get(number)
        if call:
            call.result = "aborted"

    async def read(self):
        try:
            while True:
                head = await self.reader.readexactly(8)
                _, kind, number, length, padding, _ = struct.unpack(">BBHHBB", head)
                content = (await self.reader.readexactly(length + padding))[:length]
                if self.bytes_per_s:
                    await asyncio.sleep(length / self.bytes_per_s)
                if kind == 6:
                    self.out[number] = self.out.get(number, b"") + content
                elif kind == 3:
                    self.end(number, content[4])
        except (asyncio.IncompleteReadError, ConnectionError, OSError):
            pass
        self.closed = True
        for call in list(self.calls.values()):
            self.world.lost(call, "the connection ended without an answer")
        self.calls.clear()
        self.writer.transport.abort()

    def end(self, number, status):
        call = self.calls.pop(number, None)
        if call is None:
            return self.world.record("an answer under a number that is not open:", number)
        text = self.out.pop(number, b"")
        head, _, body = text.partition(b"\r\n\r\n")
        fields = {}
        for line in head.decode("latin1").split("\r\n"):
            name, _, value = line.partition(":")
            fields[name.strip().lower()] = value.strip()
        call.answered_at, call.answers = now(), call.answers + 1
        call.status = int(fields.get("status", "0").split(" ")[0] or 0)
        call.body, call.unchanged = body, fields.get("x-unchanged") == "1"
        if call.result == "aborted":
            pass
        elif status == 2 or call.status in (429, 503):
            call.result = "refused"
        elif call.status == 200:
            call.result = "served"
        else:
            call.result = "failed"
        self.world.record("answer", call.rid, call.result, call.status,
                          "after %.0f ms" % ((call.answered_at - call.sent_at) * 1000))
        if not call.done.done():
            call.done.set_result(call.result)

    def close(self):
        self.closed = True
        self.writer.close()


# ---------------------------------------------------------------- the proxy under test

class Proxy:
    """One edge proxy: a process started with the `run` line of the deploy file."""

    def __init__(self, world, name, config, port):
        self.world, self.name, self.config, self.port = world, name, config, port
        self.folder = os.path.join(world.folder, name)
        os.makedirs(self.folder, exist_ok=True)
        self.tmp = os.path.join(self.folder, "tmp")
        self.process = None
        self.connections = []

    def write_config(self, config=None):
        path = os.path.join(self.folder, "config.json")
        with open(path + ".new", "w") as f:
            json.dump(config or self.config, f)
        os.replace(path + ".new", path)
        return path

    def start(self, keep_tmp=False, interconnect=None, fds=None, env=None):
        if not keep_tmp:
            shutil.rmtree(self.tmp, ignore_errors=True)
        os.makedirs(self.tmp, exist_ok=True)
        known = self.world.bus.events
        self.config["known"] = {"offset": len(known), "batch": [e for e in known if self.world.tell_at_start(e)]}
        self.config["bus"] = "127.0.0.1:%d" % self.world.bus.port
        e = dict(os.environ, ROUTER_NAME=self.name, ROUTER_LISTEN=self.config["listen"],
                 ROUTER_CONFIG=self.write_config(), TMPDIR=self.tmp,
                 RUST_LOG=os.environ.get("RUST_LOG", "info"))
        e.pop("LINNETKNOT_INTERCONNECT", None)
        if interconnect is not None:
            path = os.path.join(self.folder, "interconnect.json")
            with open(path, "w") as f:
                json.dump(interconnect, f)
            e["LINNETKNOT_INTERCONNECT"] = path
        e.update(env or {})
        log = open(os.path.join(self.folder, "log"), "a")
        self.process = subprocess.Popen(["/bin/sh", "-c", RUN_LINE], cwd=ROOT, env=e, stdout=log, stderr=log,
                                        pass_fds=fds or ())
        self.world.processes.append(self.process)
        self.world.record("start", self.name)

    async def ready(self, limit=30):
        until = now() + limit
        while now() < until:
            if self.process.poll() is not None:
                raise CannotRun("%s ended at its start" % self.name)
            try:
                c = await FcgiConnection(self.world, self).open()
                call = Call("health", "", "", 1000, self)
                c.send(call, [("SCRIPT_NAME", "/_health")])
                result = await asyncio.wait_for(call.done, 1)
                c.close()
                if result == "served":
                    return
            except (OSError, asyncio.TimeoutError):
                pass
            await asyncio.sleep(0.05)
        raise CannotRun("%s is not ready" % self.name)

    def kill(self, sig=signal.SIGKILL):
        self.world.record("signal", self.name, sig)
        self.process.send_signal(sig)

    async def call_ops(self, method, path, port=None):
        reader, writer = await asyncio.open_connection("127.0.0.1", port or self.ops_port)
        writer.write(("%s %s HTTP/1.1\r\nHost: ops\r\nContent-Length: 0\r\n\r\n" % (method, path)).encode())
        line = await asyncio.wait_for(reader.readline(), 2)
        writer.close()
        status = int(line.split()[1])
        self.world.record("ops", self.name, method, path, status)
        return status


class CannotRun(Exception):
    pass


def run_line():
    text = open(os.path.join(ROOT, "deploy", "balancer.toml")).read()
    return re.search(r'(?m)^run = "(.*)"', text).group(1)


RUN_LINE = run_line()


# ---------------------------------------------------------------- the world of a case

class World:
    def __init__(self, folder):
        self.case = folder
        self.record = Record(folder)
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.folder = tempfile.mkdtemp(prefix="edge-case-")
        self.servers, self.processes = {}, []
        self.bus = Bus(self)
        self.calls, self.attempts, self.breaches = [], {}, []
        self.settings = None
        self.counter = 0
        self.keep = []           # tasks that nobody waits for

    # what stand-ins ask
    def server(self, uid):
        return self.servers.get(uid)

    def class_index(self, name):
        return next(i for i, c in enumerate(self.settings["categories"]) if c["name"] == name)

    def fresh_s(self, name):
        return self.settings["family-info"]["good-for-us"][self.class_index(name)] / 1e6

    def is_write(self, name):
        return self.settings["family-info"]["never-kept"][self.class_index(name)]

    def body(self, key, part, made):
        return ("%s/%s made %d " % (key, part, int(made * 1000))).encode() + b"." * 200

    def tell_at_start(self, event):
        return True

    # what stand-ins report
    def arrived(self, attempt):
        self.attempts.setdefault(attempt.rid, []).append(attempt)
        self.record("fetch", attempt, json.dumps(attempt.fields))

    def lost(self, call, why):
        if call.result is None:
            call.result = "lost"
            self.record("lost", call.rid, why)
            if not call.done.done():
                call.done.set_result("lost")

    def breach(self, *words):
        text = " ".join(str(w) for w in words)
        self.breaches.append(text)
        self.record("BREACH", text)

    # building
    async def add_server(self, *args, **kw):
        s = Server(self, *args, **kw)
        await s.start()
        self.servers[s.uid] = s
        return s

    def proxy(self, name, settings, ops=False, **more):
        port = free_port()
        config = {"name": name, "listen": "127.0.0.1:%d" % port, "seed": "%x" % (0x1f + len(self.processes)),
                  "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
                  "flow_bytes_per_s": 310000, "link_bytes_per_s": 1240000, "settings": settings}
        config.update(more)
        p = Proxy(self, name, config, port)
        if ops:
            p.ops_port = free_port()
            config["ops"] = "127.0.0.1:%d" % p.ops_port
        return p

    async def request(self, proxy, cls, key, budget_ms=2500, kb=200.0, part=0, once=None, lot=7, body=b"", connection=None,
                      ver=None):
        self.counter += 1
        rid = "%08x%08x" % (int(self.record.start) & 0xffffffff, self.counter)
        call = Call(rid, cls, key, budget_ms, proxy)
        self.calls.append(call)
        params = [("SCRIPT_NAME", "/invoke/" + cls), ("HTTP_REQUEST_ID", rid), ("HTTP_BUDGET_MS", str(budget_ms)),
                  ("HTTP_RESOURCE_KEY", key), ("HTTP_X_PIECE", str(part)), ("HTTP_X_LOT", str(lot)),
                  ("HTTP_FOOTPRINT_KB", "%.1f" % kb)]
        if once:
            params.append(("HTTP_ONCE_KEY", once))
        if ver:
            params.append(("HTTP_X_VER", ver))
        try:
            c = connection or await self.connection(proxy)
        except OSError:
            call.result = "not taken"
            return call
        self.record("request", rid, cls, key, budget_ms, once or "")
        call.connection, call.number = c, c.send(call, params, body)
        try:
            await asyncio.wait_for(asyncio.shield(call.done), budget_ms / 1000 + 0.6)
        except asyncio.TimeoutError:
            self.lost(call, "no answer half a second after its time")
        return call

    async def connection(self, proxy):
        """A connection of the pool; idle ones are closed by the client after 4 s."""
        for c in list(proxy.connections):
            if c.closed or now() - c.used_at > 4 and not c.calls:
                proxy.connections.remove(c)
                if not c.closed:
                    c.close()
        free = [c for c in proxy.connections if len(c.calls) < 8]
        if free:
            return free[0]
        c = await FcgiConnection(self, proxy).open()
        proxy.connections.append(c)
        return c

    def end(self):
        for p in self.processes:
            if p.poll() is None:
                p.kill()
                p.wait()
        shutil.rmtree(self.folder, ignore_errors=True)


def free_port(kind=socket.SOCK_STREAM):
    """A port for a process that is started later: below those that the system gives to outgoing connections, and drawn at
    random, so that neither they nor another script take it meanwhile."""
    draw = random.SystemRandom()
    while True:
        port = draw.randrange(10000, 32000)
        s = socket.socket(socket.AF_INET, kind)
        try:
            s.bind(("127.0.0.1", port))
            return port
        except OSError:
            pass
        finally:
            s.close()


def settings(caches_zone="edge-1", **changes):
    """The settings of a small family-albums deployment: the example of the operators' wire page, one edge site."""
    s = {
        "categories": [
            {"aim-stretch": 1.6, "aim-us": 500000, "deadline-us": 6000000, "dedup-scope": "all", "late-worth": 0.15,
             "name": "video-part", "repeat": "pure", "streaming": False, "window-us": 5000000, "worth": 2.0},
            {"aim-stretch": 2.0, "aim-us": 300000, "deadline-us": 2500000, "dedup-scope": "all", "late-worth": 0.2,
             "name": "photo", "repeat": "pure", "streaming": False, "window-us": 5000000, "worth": 1.0},
            {"aim-us": 700000, "deadline-us": 3000000, "dedup-scope": "all", "late-worth": 0.0, "name": "album-post",
             "repeat": "token", "streaming": False, "window-us": 3000000, "worth": 3.0}],
        "clients": {"marks-retry": False}, "customers": [], "discovery": "push", "family": "edge",
        "family-info": {
            "attached-to": [0, 0], "can-join": True, "good-for-us": [0, 8000000, 0], "in-pieces": [True, False, False],
            "may-pass-by": True, "mid-kind": 2, "neighbours": "any", "never-kept": [False, False, True],
            "note-level": "all", "old-copy-worth": [0.7, 0.7, 0.7], "one-flow-kb-per-s": 4200.0,
            "origin-fall-multiple": 0.0, "parent-cold-from": 0.065, "purge-slack-us": 300000,
            "purge-takes-us": 6000000, "report-x0": "share of hits, lately", "root-fall-us": 3000000,
            "seats-by-zone": [0, 1], "source-kind": 3, "transit-price": 0.04, "upper-cold-us": 22000000,
            "upper-fall-multiple": 2.0, "usable-after-us": [0, 0, 0], "zone-link-kb-per-s": [0.0, 0.0]},
        "fees": {"connection": 0.0, "cross-zone": 0.01, "discovery": 0.0, "handshake": 0.0, "late-fail": 0.08,
                 "moves": 0.0, "origin": 0.08, "peer": 0.01, "probe": 0.012, "waste": 0.024},
        "goal": {"whole": 0.4, "worst-class": 0.2, "worst-tenant": 0.0, "worst-window": 0.4},
        "group-size": 1, "kinds": ["small-box", "large-box", "parent", "origin"],
        "limits": {"cancel": True, "conn-idle-us": 30000000, "connect-timeout-us": 400000, "cpu-us-per-request": 0.0,
                   "cpu-us-per-s": 400000, "max-open": 20000, "max-retry-after-us": 2000000, "peers": True,
                   "probing": True, "retry-after": False, "second-copies": False, "streams-per-conn": 100,
                   "try-limit": 6},
        "localities": ["north-hub", "edge-1"], "over-share-worth": 0.1, "period-us": 2000, "rank": 0,
        "rules": {"ask-within-us": 10000000, "cold-share": 0.15, "drain-grace-us": 1000000, "fall-multiple": 2.5,
                  "grace-to-answer-us": 8000, "ramp-time-us": 13000000, "tip-after-us": 3000000},
        "telemetry": {"fields": ["busy_reqs", "x0"], "source": "on_probe"}, "tier": 0, "tiers": ["album-cache"],
        "weights": "rough", "worth-by": "request", "zone": "edge-1"}
    return s


def main(case_file, play):
    """Plays a case and ends with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run."""
    folder = os.path.dirname(os.path.abspath(case_file))

    async def run():
        world = World(folder)
        try:
            if not os.path.exists(os.path.join(ROOT, "target", "release", "linnetknot")):
                raise CannotRun("the release build is missing")
            await asyncio.wait_for(play(world), 100)
            for p in world.processes:
                if p.poll() is not None and p.returncode not in (0, -signal.SIGKILL):
                    world.breach("a proxy ended by itself with", p.returncode)
            code = 1 if world.breaches else 0
            by = {}
            for call in world.calls:
                by[call.result] = by.get(call.result, 0) + 1
            text = "%s: %d breaches; requests: %s" % (
                "TROUBLE=1" if world.trouble else "TROUBLE=0", len(world.breaches),
                ", ".join("%s %d" % (k, v) for k, v in sorted(by.items(), key=str)))
        except (CannotRun, asyncio.TimeoutError, OSError) as e:
            code, text = 2, "could not run: %r" % e
        finally:
            if os.environ.get("KEEP_LOG"):
                for root, _, files in os.walk(world.folder):
                    for f in files:
                        if f == "log":
                            shutil.copy(os.path.join(root, f), os.environ["KEEP_LOG"] + "." + os.path.basename(root))
            world.end()
        world.record(text)
        world.record.close()
        print(text)
        for b in world.breaches[:3]:
            print("  " + b)
        return code
    code = asyncio.new_event_loop().run_until_complete(run())
    sys.stdout.flush()
    os._exit(code)           # the loop's leftovers need no orderly end
