"""A small deployment on loopback for the cases 6 to 10: the router as the deploy file starts it, and stand-ins of the
platform's store and of servers. Threads and plain sockets only. Ends only processes that it started."""
import base64
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
ROUTER = os.path.join(ROOT, "target", "bin", "clementinegap_router")  # The command of [roles.entry].
HOST = "ficu95.example"
KEY = "n2ctnfzs989anu6wsjnb"
TENANT = "hule930"
CANNOT_RUN = 2
LONGEST_S = 112


def cannot_run(text):
    print("cannot run: " + text)
    sys.exit(CANNOT_RUN)


def free_port(given=set()):
    while True:
        with socket.create_server(("127.0.0.1", 0)) as probe:
            port = probe.getsockname()[1]
        if port not in given:
            given.add(port)
            return port


class Record:
    """record.txt: what was sent, answered and run, with milliseconds since the start."""

    def __init__(self, path):
        self.file, self.lock, self.begin = open(path, "w", encoding="utf-8"), threading.Lock(), time.monotonic()

    def __call__(self, text):
        with self.lock:
            self.file.write(f"{(time.monotonic() - self.begin) * 1000:9.1f} {text}\n")
            self.file.flush()


class Message:
    def __init__(self, first, headers, body):
        self.first, self.headers, self.body = first, headers, body


class Reader:
    """Reads HTTP/1.1 messages from a socket."""

    def __init__(self, connection):
        self.connection, self.rest = connection, b""

    def more(self):
        data = self.connection.recv(65536)
        self.rest += data
        return bool(data)

    def head(self):
        while b"\r\n\r\n" not in self.rest:
            if not self.more():
                return None
        text, self.rest = self.rest.split(b"\r\n\r\n", 1)
        lines = text.decode("latin-1").split("\r\n")
        headers = {}
        for line in lines[1:]:
            name, value = line.split(":", 1)
            headers[name.lower()] = value.strip()
        return lines[0], headers

    def exactly(self, size):
        while len(self.rest) < size:
            if not self.more():
                raise EOFError
        data, self.rest = self.rest[:size], self.rest[size:]
        return data

    def line(self):
        while b"\r\n" not in self.rest:
            if not self.more():
                raise EOFError
        text, self.rest = self.rest.split(b"\r\n", 1)
        return text

    def chunk(self):
        """The next chunk; empty at the end."""
        size = int(self.line().split(b";")[0], 16)
        data = self.exactly(size)
        self.line()
        return data

    def body(self, headers):
        if "chunked" in headers.get("transfer-encoding", ""):
            whole = b""
            while data := self.chunk():
                whole += data
            return whole
        return self.exactly(int(headers.get("content-length", "0")))

    def message(self):
        head = self.head()
        return None if head is None else Message(head[0], head[1], self.body(head[1]))


class Listener:
    """Accepts connections and serves each in a thread of its own."""

    def __init__(self, serve, port=0):
        self.socket = socket.create_server(("127.0.0.1", port), backlog=256)
        self.port = self.socket.getsockname()[1]
        self.address = f"127.0.0.1:{self.port}"
        self.serve = serve
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            try:
                connection, _ = self.socket.accept()
            except OSError:
                return
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self.guard, args=(connection,), daemon=True).start()

    def guard(self, connection):
        try:
            self.serve(connection)
        except (OSError, EOFError, ValueError):
            pass
        finally:
            connection.close()


class Store:
    """The platform's store: rows-get, rows-feed and rows-tx as PROTOCOL.md has them."""

    def __init__(self):
        self.rows, self.version, self.begin = {}, 1, time.monotonic()
        self.changed = threading.Condition()
        self.listener = Listener(self.serve)
        self.address = self.listener.address

    def put(self, table, key, value):
        text = value if isinstance(value, bytes) else json.dumps(value).encode()
        with self.changed:
            self.apply([(table, key, base64.b64encode(text).decode())])

    def drop(self, table, key):
        with self.changed:
            self.apply([(table, key, None)])

    def apply(self, changes):
        self.version += 1
        for table, key, value in changes:
            self.rows[table, key] = (self.version, value)
        self.changed.notify_all()

    def of(self, table, after=0, deleted=False):
        found = []
        for (name, key), (version, value) in self.rows.items():
            if name == table and version > after and (value is not None or deleted):
                row = {"table": name, "part": "", "key": key, "ver": version}
                row.update({"deleted": True} if value is None else {"value": value})
                found.append(row)
        return found

    def serve(self, connection):
        reader = Reader(connection)
        while (request := reader.message()) is not None:
            method, target, _ = request.first.split(" ")
            path, _, query = target.partition("?")
            given = dict(each.split("=", 1) for each in query.split("&") if each)
            status, answer = self.answer(path, given, request.body)
            body = json.dumps(answer).encode()
            connection.sendall(b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
                               % (status, len(body)) + body)

    def answer(self, path, given, body):
        time.sleep(0.004)
        with self.changed:
            if path.endswith("/rows-get"):
                rows = sorted(self.of(given["table"]), key=lambda row: row["key"].encode())
                rows = [row for row in rows if row["key"] >= given.get("from", "")]
                return 200, self.stamped({"rows": rows, "has_more": False})
            if path.endswith("/rows-feed"):
                after, until = int(given["since_rev"]), time.monotonic() + int(given.get("wait_ms", "0")) / 1000
                while not (rows := self.of(given["table"], after, True)) and time.monotonic() < until:
                    self.changed.wait(max(0.001, until - time.monotonic()))
                return 200, self.stamped({"rows": sorted(rows, key=lambda row: row["ver"])})
            if path.endswith("/rows-tx"):
                call = json.loads(body)
                for row in call["expected"]:
                    if self.rows.get((row["table"], row["key"]), (0, None))[0] != row["ver"]:
                        return 412, self.stamped({"rows": self.of(row["table"])})
                self.apply([(row["table"], row["key"], row["value"]) for row in call["set_keys"]] +
                           [(row["table"], row["key"], None) for row in call["remove"]])
                return 200, self.stamped({})
        return 404, {}

    def stamped(self, answer):
        answer.update({"ver": self.version, "now_ms": int((time.monotonic() - self.begin) * 1000)})
        return answer


def route(name, prefix, kind, service, timeout_ms, goal_ms, priority, attempts=1, resume=False, gap_ms=250):
    row = {"name": name, "host": HOST, "prefix": prefix, "kind": kind, "timeout_ms": timeout_ms, "goal_ms": goal_ms,
           "priority": priority, "service": service, "max_attempts": attempts, "public": False}
    if kind == "stream":
        row.update({"session_affinity": True, "stream_resume": resume, "gap_goal_ms": gap_ms})
    return row


def configuration(version, routes, tenants=None):
    """`asistente` and `registro` with the figures of sites/placas-cartago.toml."""
    engine = {"slots": 64, "kv_capacity": 302607, "kv_token_bytes": 163840, "link_mbps": 280000.0, "moves": True,
              "backups": True, "stride": 3, "most": 12, "pin_ms": 4000.0, "hold_ms": 2000.0, "handle_s": 5.0,
              "models": [{"name": "m"}]}
    return {"version": version, "routes": routes,
            "services": [{"name": "asistente", "health": "/health", "max_conns": 370, "protocol": "h1", "tls": False,
                          "engine": engine},
                         {"name": "registro", "health": "/health", "max_conns": 110, "protocol": "h1", "tls": False}],
            "limits": {"header_bytes": 16384, "body_bytes": 4194304, "header_timeout_ms": 3000,
                       "idle_timeout_ms": 15000},
            "tenants": tenants or [{"name": TENANT, "keys": [KEY], "priority": 1}]}


def server_row(service, address, slots, state="ready", version="v1", born=None):
    return {"service": service, "address": address, "zone": "cartago-a", "version": version, "slots": slots,
            "state": state, "warmup_left_ms": 0, "sequence": 1,
            "born": int(time.time() * 1000) if born is None else born}


class Router:
    """One entry, started with the command of the deploy file and the settings that its template gives."""

    def __init__(self, folder, name, store, zone="cartago-a", memory_mb=260, bounds=None):
        self.name, self.folder = name, folder
        self.port, self.ready_port, self.peer_port = free_port(), free_port(), free_port()
        bounds = {"drain_ms": 2000, "config_apply_ms": 2000, "grace_s": 8, **(bounds or {})}
        settings = {"vm": name, "zone": zone, "log_level": "info", "caller_address": f"127.0.0.1:{self.port}",
                    "readiness_address": f"127.0.0.1:{self.ready_port}",
                    "peer_address": f"127.0.0.1:{self.peer_port}", "metrics_path": "/metrics",
                    "store_address": store, "link_mbps": 1000.0, "directory_bound_ms": bounds["drain_ms"],
                    "configuration_bound_ms": bounds["config_apply_ms"], "retry_ratio": 0.2, "retry_window_s": 10,
                    "retry_slack": 56, "stop_grace_s": bounds["grace_s"]}
        self.settings = os.path.join(folder, name + ".toml")
        with open(self.settings, "w", encoding="utf-8") as file:
            json.dump(settings, file)
        self.process = None
        self.start()

    def start(self):
        environment = {each: os.environ[each] for each in ("PATH", "HOME", "LANG") if each in os.environ}
        environment["CLEMENTINEGAP_CONFIG"] = self.settings
        with open(os.path.join(self.folder, self.name + ".log"), "ab") as log:
            self.process = subprocess.Popen([ROUTER, "--settings", self.settings], cwd=ROOT, stdout=log, stderr=log,
                                            env=environment)

    def ask_ready(self, timeout=1.0):
        """The status of the platform's question; 0 without an answer."""
        try:
            with socket.create_connection(("127.0.0.1", self.ready_port), timeout) as connection:
                connection.settimeout(timeout)
                connection.sendall(b"GET /clementinegap/ready HTTP/1.1\r\nHost: ready\r\n\r\n")
                head = Reader(connection).head()
                return int(head[0].split(" ")[1]) if head else 0
        except OSError:
            return 0

    def wait_ready(self, seconds=15):
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            if self.ask_ready() == 200:
                return
            time.sleep(0.1)
        raise RuntimeError(f"{self.name} did not become ready")

    def connect(self):
        connection = socket.create_connection(("127.0.0.1", self.port), 1)
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return connection

    def signal(self, number):
        self.process.send_signal(number)

    def stop(self):
        if self.process and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()


def request_bytes(method, path, number, wait_ms, body=b"", more=None, key=KEY):
    headers = {"Host": HOST, "X-Request-Id": number, "X-Deadline-Ms": str(wait_ms), "Authorization": "Bearer " + key}
    headers.update(more or {})
    if body or method == "POST":
        headers["Content-Length"] = str(len(body))
    text = f"{method} {path} HTTP/1.1\r\n" + "".join(f"{name}: {value}\r\n" for name, value in headers.items())
    return text.encode() + b"\r\n" + body


def prompt_headers(number, tokens=400, out=243):
    return {"X-Model": "m", "X-Token-Counts": f"{tokens},{out}",
            "X-Prompt-Prefix": f"5c1e07a2:172,{number}:{tokens - 172}"}


class Scene:
    """The folder of settings and logs, and all that has to be ended."""

    def __init__(self, case):
        if not os.access(ROUTER, os.X_OK):
            cannot_run("build the deploy file first")
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.record = Record(os.path.join(case, "record.txt"))
        self.routers = []

    def router(self, *arguments, **named):
        self.routers.append(Router(self.folder, *arguments, **named))
        return self.routers[-1]

    def end(self, broken, text):
        for each in self.routers:
            each.stop()
        self.record(("BROKEN: " if broken else "held: ") + text)
        print(("broken: " if broken else "held: ") + text)
        if os.environ.get("KEEP"):
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)
        sys.stdout.flush()
        os._exit(1 if broken else 0)


def play(case, story):
    """Runs the story; a fault of the scene itself, rather than of a rule, ends with 2."""
    scene = Scene(case)

    def abandon(why):
        scene.record(f"the case could not run: {why}")
        print(f"the case could not run: {why}")
        for each in scene.routers:
            each.stop()
        shutil.rmtree(scene.folder, ignore_errors=True)
        sys.stdout.flush()
        os._exit(CANNOT_RUN)

    limit = threading.Timer(LONGEST_S, abandon, ("it took too long",))
    limit.daemon = True
    limit.start()
    signal.signal(signal.SIGTERM, lambda *_: abandon("it was ended"))
    try:
        broken, text = story(scene)
    except Exception as problem:  # pylint: disable=broad-except
        abandon(repr(problem))
    scene.end(broken, text)
