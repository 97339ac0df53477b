"""Stand-ins for the review's cases: pop caches, the event bus, a front's web server, and the start of edge proxies.

Only the standard library is used. All of them speak the messages of the operators' protocol page and listen on
loopback addresses at free ports.
"""
import json
import os
import re
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))


def now_ms():
    return int(time.time() * 1000)


class Record:
    """The record of a case: one line for each thing that was sent, answered or run."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w")
        self.lock = threading.Lock()
        self.began = time.time()

    def __call__(self, text):
        with self.lock:
            line = "%8.3f %s" % (time.time() - self.began, text)
            self.file.write(line + "\n")
            self.file.flush()


class CannotRun(Exception):
    """The case could not run; the script ends with 2."""


def compact(value):
    """JSON as the protocol page writes it, without spaces."""
    return json.dumps(value, separators=(",", ":"))


def listen():
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind(("127.0.0.1", 0))
    listener.listen(128)
    return listener


def free_address(kind=socket.SOCK_STREAM):
    with socket.socket(type=kind) as probe:
        probe.bind(("127.0.0.1", 0))
        return "127.0.0.1:%d" % probe.getsockname()[1]


def address_of(text):
    host, port = text.rsplit(":", 1)
    return host, int(port)


def run_thread(target, *arguments):
    thread = threading.Thread(target=target, args=arguments, daemon=True)
    thread.start()
    return thread


def encode_array(items):
    out = b"*%d\r\n" % len(items)
    for item in items:
        out += b"$%d\r\n%s\r\n" % (len(item), item)
    return out


class ArrayReader:
    """Reads RESP arrays of bulk strings from a socket."""

    def __init__(self, connection):
        self.stream = connection.makefile("rb")

    def read(self):
        line = self.stream.readline()
        if not line:
            return None
        items = []
        for _ in range(int(line[1:])):
            length = self.stream.readline()
            if not length:
                return None
            body = self.stream.read(int(length[1:]) + 2)
            if len(body) < 2:
                return None
            items.append(body[:-2])
        return items


def fields_of(raw):
    text = raw.decode()
    return {} if text == "-" else dict(pair.split("=", 1) for pair in text.split(","))


class Cache:
    """A pop cache, parent or origin. It keeps copies, honours the oldest age that will do and fills from its source."""

    def __init__(self, record, uid, zone, kind, origin=None):
        self.record, self.uid, self.zone, self.kind, self.origin = record, uid, zone, kind, origin
        self.copies = {}
        self.fetches = []  # (Unix ms of arrival, request id, fields)
        self.aborts = set()
        self.delay_s = 0.0
        self.fresh_ms = {"photo": 8000}
        self.lock = threading.Lock()
        self.listener = listen()
        self.endpoint = "127.0.0.1:%d" % self.listener.getsockname()[1]
        run_thread(self.accept)

    def accept(self):
        while True:
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            run_thread(self.serve, connection)

    def serve(self, connection):
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        reader, writing = ArrayReader(connection), threading.Lock()
        try:
            while True:
                command = reader.read()
                if command is None:
                    return
                word = command[0]
                if word == b"fetch":
                    at = now_ms()
                    fields = fields_of(command[2])
                    with self.lock:
                        self.fetches.append((at, command[1].decode(), fields))
                    self.record("%s got fetch %s %s" % (self.uid, command[1].decode(), command[2].decode()))
                    run_thread(self.answer, connection, writing, command, fields)
                elif word == b"abort":
                    self.record("%s got abort %s" % (self.uid, command[1].decode()))
                    with self.lock:
                        self.aborts.add(command[1])
                elif word == b"alive":
                    self.write(connection, writing, [command[1], b"alive", b"-", b""])
                elif word == b"stats":
                    self.write(connection, writing, [command[1], b"status", b"stats=inflight:0;x0:0.5", b""])
        except (OSError, ValueError):
            pass
        finally:
            connection.close()

    def write(self, connection, writing, items):
        with writing:
            try:
                connection.sendall(encode_array(items))
            except OSError:
                pass

    def copy_for(self, fields):
        """Returns (word, how, made): the copy that answers a request."""
        name, now = (fields["key"], fields["part"]), now_ms()
        if self.kind == "origin":
            return b"200", "local", now
        oldest = int(fields.get("maxage", 0)) or self.fresh_ms.get(fields["class"], 0)
        with self.lock:
            made = self.copies.get(name)
        if made is not None and (not oldest or now - made <= oldest):
            return b"200", "local", made
        if "src" not in fields:
            return b"404", "not_there", None
        with self.lock:
            if int(fields.get("keep", 0)) > 0:
                self.copies[name] = now
        return b"200", "pulled_far", now

    def answer(self, connection, writing, command, fields):
        time.sleep(self.delay_s + 0.004)
        with self.lock:
            if command[1] in self.aborts:
                return
        word, how, made = self.copy_for(fields)
        if word != b"200":
            self.record("%s answered %s %s" % (self.uid, command[1].decode(), word.decode()))
            return self.write(connection, writing, [command[1], word, b"how=%s" % how.encode(), b""])
        body = ("%s/%s@%d" % (fields["key"], fields["part"], made)).encode()
        answer = "how=%s,etag=%016x,made=%d" % (how, made, made)
        self.record("%s answered %s 200 %s" % (self.uid, command[1].decode(), answer))
        self.write(connection, writing, [command[1], word, answer.encode(), body])

    def drop_later(self, key, ts, after_s):
        """Drops by itself, some time after a purge, the copies of an object that are older than the purge."""
        def drop():
            with self.lock:
                for name in [name for name, made in self.copies.items() if name[0] == key and made < ts]:
                    del self.copies[name]
            self.record("%s has dropped its copies of %s from before the purge" % (self.uid, key))
        timer = threading.Timer(after_s, drop)
        timer.daemon = True
        timer.start()

    def entry(self, state="ready", boot_ms=0):
        return {"uid": self.uid, "endpoint": self.endpoint, "az": self.zone, "model": self.kind, "pod_group": 0,
                "state": state, "capacity_hint": 4, "boot_ms": boot_ms}

    def fetched_after(self, at_ms):
        with self.lock:
            return [fetch for fetch in self.fetches if fetch[0] > at_ms]


class Bus:
    """The event bus: numbered events, sent to each reader from the number after its Last-Event-ID."""

    def __init__(self, record, first=1):
        self.record, self.first = record, first
        self.events = []
        self.open = True
        self.answers = True
        self.changed = threading.Condition()
        self.connections = set()
        self.listener = listen()
        self.endpoint = "127.0.0.1:%d" % self.listener.getsockname()[1]
        run_thread(self.accept)

    def publish(self, event):
        with self.changed:
            event["offset"] = self.first + len(self.events)
            self.events.append(event)
            text = compact(event)
            self.record("the bus tells event %d, %d bytes: %s" % (event["offset"], len(text), text[:300]))
            self.changed.notify_all()
        return now_ms()

    def topology(self, entries, rev, whole=False):
        return self.publish({"topology": {"rev": rev, "all": whole, "targets": entries}})

    def purge(self, key):
        """Tells the purge of an object, made now."""
        ts = now_ms()
        self.publish({"ban": {"url": key, "ts": ts}})
        return ts

    def go_down(self):
        with self.changed:
            self.open = False
            self.changed.notify_all()
            self.record("the bus is down: connections are closed, new ones are closed unread")

    def come_back(self):
        with self.changed:
            self.open = True
            self.record("the bus is back")

    def accept(self):
        while True:
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            if not self.open:
                connection.close()
                continue
            run_thread(self.serve, connection)

    def serve(self, connection):
        try:
            stream = connection.makefile("rb")
            last = 0
            while True:
                line = stream.readline().strip()
                if not line:
                    break
                name, _, value = line.partition(b":")
                if name.lower() == b"last-event-id":
                    last = int(value)
            self.record("the bus is read after event %d" % last)
            connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nCache-Control: no-cache\r\n\r\n")
            while True:
                with self.changed:
                    self.changed.wait_for(lambda: self.answers and self.first + len(self.events) - 1 > last
                                          or not self.open, 1.0)
                    if not self.open:
                        return
                    news = [e for e in self.events if e["offset"] > last] if self.answers else []
                out = b": here\n\n"
                for event in news:
                    out += b"id: %d\ndata: %s\n\n" % (event["offset"], compact(event).encode())
                    last = event["offset"]
                connection.sendall(out)
        except OSError:
            pass
        finally:
            connection.close()


def fcgi_record(kind, number, content=b""):
    return struct.pack(">BBHHBx", 1, kind, number, len(content), 0) + content


def fcgi_pair(name, value):
    def length(text):
        return bytes([len(text)]) if len(text) < 128 else struct.pack(">I", len(text) | 0x80000000)
    name, value = name.encode(), value.encode()
    return length(name) + length(value) + name + value


class Web:
    """A connection of the front's web server to an edge proxy. Requests on it are made one after another."""

    numbers = iter(range(1, 1 << 40))
    number_lock = threading.Lock()

    def __init__(self, record, address, timeout_s=8.0):
        self.record = record
        self.connection = socket.create_connection(address_of(address), timeout=timeout_s)
        self.connection.settimeout(timeout_s)
        self.stream = self.connection.makefile("rb")

    def get(self, class_name, key, part=0, lot=0, budget_ms=2500, kb=40, body=b"", once=None, tag=None, path=None):
        """Makes one request. Returns (status, body); status is None if the connection ended without a whole answer."""
        with Web.number_lock:
            number = next(Web.numbers)
        request = "%016x" % (number * 0x9E3779B97F4A7C15 % (1 << 64))
        params = fcgi_pair("SCRIPT_NAME", path or "/invoke/" + class_name)
        for name, value in (("HTTP_REQUEST_ID", request), ("HTTP_BUDGET_MS", str(budget_ms)),
                            ("HTTP_RESOURCE_KEY", key), ("HTTP_X_PIECE", str(part)), ("HTTP_X_LOT", str(lot)),
                            ("HTTP_FOOTPRINT_KB", str(kb))):
            params += fcgi_pair(name, value)
        if once:
            params += fcgi_pair("HTTP_ONCE_KEY", once)
        if tag:
            params += fcgi_pair("HTTP_X_VER", tag)
        out = fcgi_record(1, 1, struct.pack(">HB5x", 1, 1)) + fcgi_record(4, 1, params) + fcgi_record(4, 1)
        if body:
            out += fcgi_record(5, 1, body)
        out += fcgi_record(5, 1)
        if not path:
            self.record("client sends %s: %s of %s" % (request, class_name, key))
        try:
            self.connection.sendall(out)
            answer = b""
            while True:
                head = self.stream.read(8)
                if len(head) < 8:
                    raise OSError("the connection ended")
                _, kind, _, length, padding = struct.unpack(">BBHHBx", head)
                content = self.stream.read(length + padding)[:length]
                if kind == 6:
                    answer += content
                elif kind == 3:
                    break
        except OSError as error:
            self.record("client has no answer to %s: %s" % (request, error))
            return None, b""
        head, _, content = answer.partition(b"\r\n\r\n")
        status = int(head.split(b"Status: ")[1].split()[0]) if b"Status: " in head else 0
        if not path:
            self.record("client got %d for %s: %s" % (status, request, content[:80].decode(errors="replace")))
        return status, content

    def close(self):
        self.connection.close()


def http(address, method, path, timeout_s=3.0, body=None):
    """One HTTP/1.1 call on a connection of its own. Returns its status and its body, or (None, b"")."""
    try:
        with socket.create_connection(address_of(address), timeout=timeout_s) as connection:
            connection.settimeout(timeout_s)
            payload = b"" if body is None else body.encode()
            head = "%s %s HTTP/1.1\r\nHost: %s\r\nConnection: close\r\n" % (method, path, address)
            if body is not None:
                head += "Content-Type: application/json\r\nContent-Length: %d\r\n" % len(payload)
            connection.sendall(head.encode() + b"\r\n" + payload)
            answer = b""
            while True:
                piece = connection.recv(65536)
                if not piece:
                    break
                answer += piece
            head, _, content = answer.partition(b"\r\n\r\n")
            return int(head.split()[1]), content
    except (OSError, IndexError, ValueError):
        return None, b""


def settings():
    """Settings with the first site's classes, rules and limits, for a small deployment with one location of boxes."""
    return {
        "categories": [
            {"name": "video-part", "aim-us": 500000, "aim-stretch": 1.6, "deadline-us": 6000000, "repeat": "pure",
             "dedup-scope": "all", "window-us": 5000000, "worth": 2.0, "late-worth": 0.15, "streaming": False},
            {"name": "photo", "aim-us": 300000, "aim-stretch": 2.0, "deadline-us": 2500000, "repeat": "pure",
             "dedup-scope": "all", "window-us": 5000000, "worth": 1.0, "late-worth": 0.2, "streaming": False},
            {"name": "album-post", "aim-us": 700000, "deadline-us": 3000000, "repeat": "token", "dedup-scope": "all",
             "window-us": 3000000, "worth": 3.0, "late-worth": 0.0, "streaming": False}],
        "clients": {"marks-retry": False}, "customers": [], "discovery": "push", "family": "edge",
        "family-info": {
            "attached-to": [0, 0], "can-join": True, "good-for-us": [0, 8000000, 0],
            "in-pieces": [True, False, False], "may-pass-by": True, "mid-kind": 1, "neighbours": "any",
            "never-kept": [False, False, True], "note-level": "all", "old-copy-worth": [0.7, 0.7, 0.7],
            "one-flow-kb-per-s": 4200.0, "origin-fall-multiple": 0.0, "parent-cold-from": 0.065,
            "purge-slack-us": 300000, "purge-takes-us": 6000000, "root-fall-us": 3000000, "seats-by-zone": [0, 1],
            "source-kind": 2, "transit-price": 0.04, "upper-cold-us": 22000000, "upper-fall-multiple": 2.0,
            "usable-after-us": [0, 0, 0], "zone-link-kb-per-s": [0.0, 0.0],
            "report-x0": "share of hits, lately", "report-x1": ""},
        "fees": {"connection": 0.0, "cross-zone": 0.01, "discovery": 0.0, "handshake": 0.0, "late-fail": 0.08,
                 "moves": 0.0, "origin": 0.08, "peer": 0.01, "probe": 0.012, "waste": 0.024},
        "goal": {"whole": 0.4, "worst-class": 0.2, "worst-tenant": 0.0, "worst-window": 0.4},
        "group-size": 1, "rank": 0, "kinds": ["small-box", "parent", "origin"],
        "limits": {"cancel": True, "conn-idle-us": 30000000, "connect-timeout-us": 400000,
                   "cpu-us-per-request": 0.0, "cpu-us-per-s": 400000, "max-open": 20000,
                   "max-retry-after-us": 2000000, "peers": True, "probing": True, "retry-after": False,
                   "second-copies": False, "streams-per-conn": 100, "try-limit": 6},
        "localities": ["north-hub", "edge-1"], "over-share-worth": 0.1, "period-us": 2000,
        "rules": {"ask-within-us": 10000000, "cold-share": 0.15, "drain-grace-us": 1000000, "fall-multiple": 2.5,
                  "grace-to-answer-us": 8000, "ramp-time-us": 13000000, "tip-after-us": 3000000},
        "telemetry": {"fields": ["busy_reqs", "x0"], "source": "on_probe"}, "tier": 0, "tiers": ["album-cache"],
        "weights": "rough", "worth-by": "request", "zone": "edge-1"}


def config(name, listen_at, bus, known, **more):
    out = {"name": name, "listen": listen_at, "seed": "%016x" % (time.time_ns() & (1 << 64) - 1),
           "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "bus": bus,
           "flow_bytes_per_s": 310000, "link_bytes_per_s": 1240000, "known": known, "settings": settings()}
    out.update(more)
    return out


class Proxy:
    """One process of the edge proxy, started as the deploy file says."""

    def __init__(self, case, name, configuration, tmpdir=None, own=None, listener=None):
        self.case, self.name = case, name
        self.folder = tempfile.mkdtemp(dir=case.folder)
        self.tmpdir = tmpdir or os.path.join(self.folder, "tmp")
        os.makedirs(self.tmpdir, exist_ok=True)
        self.config_path = os.path.join(self.folder, "config.json")
        self.write(configuration)
        with open(os.path.join(ROOT, "deploy", "balancer.toml")) as file:
            run = re.search(r'^run = "([^"]*)"$', file.read(), re.MULTILINE).group(1)
        environment = {"PATH": os.environ["PATH"], "ROUTER_NAME": configuration["name"],
                       "ROUTER_LISTEN": configuration["listen"], "ROUTER_CONFIG": self.config_path,
                       "TMPDIR": self.tmpdir, "RUST_LOG": "info"}
        if "ops" in configuration:
            environment["ROUTER_OPS"] = configuration["ops"]
        if own is not None:
            path = os.path.join(self.folder, "interconnect.json")
            with open(path, "w") as file:
                json.dump(own, file)
            environment["LINNETKNOT_INTERCONNECT"] = path
        prepare, passed = None, ()
        if listener is not None:
            environment["ROUTER_SOCKET_FD"] = "3"
            held = listener.fileno()

            def prepare():
                os.dup2(held, 3)
                os.set_inheritable(3, True)
            passed = (3,)
        self.log_path = os.path.join(self.folder, "log")
        with open(self.log_path, "wb") as log:
            self.child = subprocess.Popen(["/bin/sh", "-c", run], cwd=ROOT, env=environment, stdout=log, stderr=log,
                                          stdin=subprocess.DEVNULL, preexec_fn=prepare, pass_fds=passed)
        case.processes.append(self)
        case.record("started %s as process %d" % (name, self.child.pid))

    def write(self, configuration):
        with open(self.config_path + ".new", "w") as file:
            json.dump(configuration, file)
        os.rename(self.config_path + ".new", self.config_path)

    def signal(self, number):
        self.case.record("%s gets %s" % (self.name, signal.Signals(number).name))
        self.child.send_signal(number)

    def wait_ended(self, timeout_s):
        try:
            code = self.child.wait(timeout_s)
        except subprocess.TimeoutExpired:
            return None
        self.case.record("%s ended with %d" % (self.name, code))
        return code

    def log(self):
        with open(self.log_path, errors="replace") as file:
            return file.read()


class Case:
    """Runs the body of a case and turns its result into the script's exit status."""

    def __init__(self, folder):
        self.here = folder
        self.record = Record(folder)
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.processes = []
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        watchdog = threading.Timer(112, self.give_up)
        watchdog.daemon = True
        watchdog.start()

    def give_up(self):
        """Ends the case within its 120 s, whatever hangs."""
        self.record("the case could not run: it took over 112 s")
        for process in self.processes:
            if process.child.poll() is None:
                process.child.kill()
        shutil.rmtree(self.folder, ignore_errors=True)
        os._exit(2)

    def wait_healthy(self, address, timeout_s=6.0):
        """Waits until the front would take the proxy in: a request for /_health is answered with 200."""
        end = time.time() + timeout_s
        while time.time() < end:
            try:
                web = Web(self.record, address, 1.0)
                status, _ = web.get("", "0" * 16, path="/_health")
                web.close()
                if status == 200:
                    self.record("the proxy at %s answers /_health with 200" % address)
                    return
            except OSError:
                pass
            time.sleep(0.05)
        raise CannotRun("the proxy at %s was not ready in time" % address)

    def run(self, body):
        self.record("TROUBLE=%d" % self.trouble)
        status = 2
        try:
            broken = body(self)
            status = 1 if broken else 0
            self.record("the rule was broken: %s" % broken if broken else "the rule held")
            print("broken: %s" % broken if broken else "held")
        except CannotRun as error:
            self.record("the case could not run: %s" % error)
            print("could not run: %s" % error)
        except Exception as error:  # a fault of the script is no verdict
            import traceback
            self.record("the case could not run: %s\n%s" % (error, traceback.format_exc()))
            print("could not run: %s" % error)
        finally:
            for process in self.processes:
                if process.child.poll() is None:
                    process.child.kill()
                process.child.wait()
                for line in process.log().splitlines()[-60:]:
                    self.record("log of %s: %s" % (process.name, line[:400]))
            shutil.rmtree(self.folder, ignore_errors=True)
        sys.stdout.flush()
        os._exit(status)
