"""One booking crashes each server that begins to run it, and comes again. After three crashes it has to be kept away."""
import os
import socket
import struct
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "parts-2"))
import deployment as d  # noqa: E402

SEAL = "3e1b.07.5a2.600.0.c9f2a4d1"
CONTACT_S, HEARTBEAT_S, BACK_S = 3.0, 1.2, float(os.environ.get("BACK_S", "2.0"))
TIMEOUT_MS, ROUNDS, AGAIN_S = 600, int(os.environ.get("ROUNDS", "14")), float(os.environ.get("AGAIN_S", "3.0"))
DEADLY = b"deadly booking" * 40
CALLERS, EACH_S = int(os.environ.get("CALLERS", "2")), float(os.environ.get("EACH_S", "0.5"))


class Server:
    """One of the three servers of `registro`. It ends on the deadly booking, and is back with a new id."""

    boots = 0

    def __init__(self, scene, store, crashes):
        self.scene, self.store, self.crashes, self.port, self.lock = scene, store, crashes, d.free_port(), threading.Lock()
        self.boot()

    def boot(self):
        Server.boots += 1
        self.id, self.open, self.alive = f"i-boot{Server.boots}", [], True
        self.listener = d.Listener(self.serve, self.port)
        self.store.put("servers", self.id, d.server_row("registro", self.listener.address, 6))
        self.scene.record(f"server {self.id} has started")

    def crash(self, number):
        with self.lock:
            if not self.alive:
                return
            self.alive, ended = False, self.id
        self.crashes.append(time.monotonic())
        self.scene.record(f"server {ended} begins to run {number} and crashes, number {len(self.crashes)}")
        self.listener.socket.shutdown(socket.SHUT_RDWR)
        self.listener.socket.close()
        for each in self.open:
            try:
                each.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                each.shutdown(socket.SHUT_RDWR)
                each.close()
            except OSError:
                pass
        # Its entry goes after three heartbeat intervals of silence.
        threading.Timer(3 * HEARTBEAT_S, lambda: self.store.drop("servers", ended)).start()
        threading.Timer(BACK_S, self.boot).start()

    def serve(self, connection):
        mine = self.id
        self.open.append(connection)
        reader = d.Reader(connection)
        while (request := reader.message()) is not None and self.alive and mine == self.id:
            number, status = request.headers["x-request-id"], "200 OK"
            if request.headers["x-expect-instance"] != mine:
                connection.sendall(f"HTTP/1.1 421 X\r\nX-Instance-Id: {mine}\r\nContent-Length: 0\r\n\r\n".encode())
                continue
            if request.body == DEADLY and self.scene.trouble:
                self.crash(number)
                return
            time.sleep(0.015)
            body = b"s" * 800
            connection.sendall(f"HTTP/1.1 {status}\r\nX-Request-Id: {number}\r\nX-Response-Seal: {SEAL}\r\n"
                               f"Content-Length: {len(body)}\r\n\r\n".encode() + body)


def story(scene):
    store, record, crashes = d.Store(), scene.record, []
    store.put("op", "config", d.configuration(7, [
        d.route("r-status", "/status/", "safe", "registro", TIMEOUT_MS, 100, 2, attempts=2),
        d.route("r-order", "/order/", "unsafe", "registro", TIMEOUT_MS, 100, 2)]))
    for _ in range(3):
        Server(scene, store, crashes)
    routers = [scene.router(f"front-cartago-a-{n}", store.address) for n in (1, 2)]
    for each in routers:
        each.wait_ready()
    time.sleep(3.5)  # The machines are in touch.
    served = {}

    def caller(name, router):
        """Looks a status up now and then, over a kept channel."""
        reader, n = None, 0
        while True:
            n += 1
            try:
                if reader is None:
                    reader = d.Reader(router.connect())
                    reader.connection.settimeout(2)
                reader.connection.sendall(d.request_bytes("GET", f"/status/{name}{n}", f"{name}-{n}", TIMEOUT_MS))
                answer = reader.message()
                served[answer.first] = served.get(answer.first, 0) + 1
            except (OSError, AttributeError, EOFError):
                reader = None
            time.sleep(EACH_S)

    for n in range(CALLERS):
        threading.Thread(target=caller, args=(f"c{n}", routers[n % 2]), daemon=True).start()
    time.sleep(2)
    late, third = 0, None
    for n in range(ROUNDS):
        before, sent = len(crashes), time.monotonic()
        try:
            with routers[n % 2].connect() as connection:
                connection.settimeout(3)
                connection.sendall(d.request_bytes("POST", "/order/7", f"dead-{n}", TIMEOUT_MS, DEADLY))
                answer = d.Reader(connection).head()
                record(f"client: dead-{n} got {answer[0] if answer else 'a closed channel'}")
        except OSError as problem:
            record(f"client: dead-{n} {problem!r}")
        if third is None and len(crashes) >= 3:
            third = crashes[2]
        if third is not None and len(crashes) > before and sent > third + CONTACT_S:
            late += 1
        time.sleep(max(0, sent + AGAIN_S - time.monotonic()))
    return late > 3, (f"{len(crashes)} crashes in {ROUNDS} tries of one booking; {late} retries reached servers later "
                      f"than contact_ms after the third crash (bound: 3); other answers: {served}")


d.play(HERE, story)
