#!/usr/bin/env python3
"""Stops and kills daemons under load and counts what must never happen. Seeded; loads 127.0.0.1 only; bounded.

  misc/soak.py --stops 50 --kills 50 --seed 1

Counted at the service stand-ins' ledgers, not by the product: bookings that ran twice, and bookings that were told
`ran: no` last and ran all the same. Counted by the callers: answers without a truthful end and streams that a planned
stop cut off. Callers choose among the entries that answer /readyz with 200, as a balancer does. A connection that
breaks because its entry was killed is counted apart: nobody is left to answer. Exits 1 when a count is not zero.
"""
import argparse
import collections
import http.client
import json
import os
import random
import signal
import subprocess
import tempfile
import threading
import time
import urllib.request

BIN = os.path.join(os.environ.get("BUILD", "build"), "bin")
ENTRIES, ENGINES, SERVICES, WORKERS = 3, 4, 2, 12
HEADERS = {"Authorization": "Bearer demo-key", "Content-Type": "application/json"}


def fetch(url, body=None, timeout=5):
    data = None if body is None else json.dumps(body).encode()
    with urllib.request.urlopen(urllib.request.Request(url, data), timeout=timeout) as answer:
        return answer.read().decode()


class Deployment:
    def __init__(self, base):
        self.base, self.folder = base, tempfile.mkdtemp(prefix="soak-")
        self.processes, self.words, self.admin = {}, {}, {}
        self.platform = f"http://127.0.0.1:{base}"

    def run(self, name, *words):
        self.words[name] = words
        with open(os.path.join(self.folder, name + ".log"), "a") as log:
            self.processes[name] = subprocess.Popen(words, stdout=log, stderr=log)

    def stand_in(self, name, kind, port, *more):
        self.run(name, f"{BIN}/clementinegap_stand_in", "--kind", kind, "--port", str(port), *more)

    def daemon(self, name, role, number, part):
        peer, admin = self.base + 20 + number, self.base + 40 + number
        settings = {"role": role, "vm": name, "zone": f"zone-{number % 3}", "region": "central",
                    "admin": {"port": admin}, "platform": {"url": self.platform},
                    "peers": {"address": f"127.0.0.1:{peer}", "plain_text": True}}
        settings.update(part)
        path = os.path.join(self.folder, name + ".json")
        with open(path, "w") as file:
            json.dump(settings, file)
        self.admin[name] = f"http://127.0.0.1:{admin}"
        self.run(name, f"{BIN}/clementinegapd", "--settings", path)
        return {"name": name, "role": role, "zone": settings["zone"], "region": "central",
                "address": f"127.0.0.1:{peer}", "state": "live"}

    def start(self):
        self.stand_in("platform", "platform", self.base)
        vms = []
        for i in range(ENGINES):
            self.stand_in(f"engine-{i}", "engine", self.base + 1 + i, "--slots", "8", "--token-us", "5000")
        for i in range(SERVICES):
            self.stand_in(f"service-{i}", "service", self.base + 10 + i)
        time.sleep(0.5)
        subprocess.run([f"{BIN}/clementinegap", "config", "submit", "--platform", self.platform,
                        "examples/lanyu.questionnaire.json"], check=True, capture_output=True)
        number = 0
        for i in range(ENGINES + SERVICES):
            is_engine = i < ENGINES
            port = self.base + 1 + i if is_engine else self.base + 10 + i - ENGINES
            part = {"upstream": {"url": f"http://127.0.0.1:{port}", "slots": 8,
                                 "models": ["assistant" if is_engine else "bookings"]}}
            vms.append(self.daemon(f"upstream-{i}", "upstream", number, part))
            number += 1
        for i in range(ENTRIES):
            vms.append(self.daemon(f"entry-{i}", "entry", number, {"callers": {"port": self.base + 70 + i}}))
            number += 1
        fetch(self.platform + "/control/vms", {"vms": vms})
        for name in self.admin:
            self.wait_ready(name)
        time.sleep(3)

    def is_ready(self, name):
        try:
            return fetch(self.admin[name] + "/readyz", timeout=1) == "ready\n"
        except OSError:
            return False

    def wait_ready(self, name):
        end = time.time() + 20
        while not self.is_ready(name):
            if time.time() > end:
                raise SystemExit(f"{name} does not become ready")
            time.sleep(0.05)

    def replace(self, name, number):
        process = self.processes[name]
        process.send_signal(number)
        code = process.wait(120)
        self.run(name, *self.words[name])
        self.wait_ready(name)
        return code

    def stop(self):
        for process in self.processes.values():
            process.terminate()
        for process in self.processes.values():
            try:
                process.wait(20)
            except subprocess.TimeoutExpired:
                process.kill()


class Callers:
    """Workers that send bookings and streams, and judge each answer."""

    def __init__(self, deployment, seed):
        self.deployment, self.seed = deployment, seed
        self.lock, self.counts = threading.Lock(), collections.Counter()
        self.bookings, self.killed_entries = {}, {}
        self.running, self.ready, self.threads = True, [], []

    def count(self, what):
        with self.lock:
            self.counts[what] += 1

    def start(self):
        self.threads = [threading.Thread(target=self.balance)]
        self.threads += [threading.Thread(target=self.work, args=(i,)) for i in range(WORKERS)]
        for thread in self.threads:
            thread.start()
        time.sleep(1)

    def finish(self):
        self.running = False
        for thread in self.threads:
            thread.join()

    def balance(self):
        while self.running:
            self.ready = [i for i in range(ENTRIES) if self.deployment.is_ready(f"entry-{i}")]
            time.sleep(0.1)

    def work(self, worker):
        rng = random.Random(self.seed * 1000 + worker)
        number = 0
        while self.running:
            number += 1
            if rng.random() < 0.4:
                self.book(rng, f"b{worker}-{number}")
            else:
                self.stream(rng, f"guide {worker} {number}")

    def send(self, rng, path, body, headers):
        """The status, the body and whether the body came whole; None when the connection broke first."""
        while not self.ready and self.running:
            time.sleep(0.05)
        entry = rng.choice(self.ready or [0])
        connection = http.client.HTTPConnection("127.0.0.1", self.deployment.base + 70 + entry, timeout=60)
        sent_at = time.time()
        try:
            connection.connect()
        except OSError:
            connection.close()
            self.count("not connected")
            return None, entry, sent_at, False
        try:
            connection.request("POST", path, json.dumps(body), {**HEADERS, **headers})
            answer = connection.getresponse()
            text = answer.read().decode()
            return (answer.status, text), entry, sent_at, True
        except http.client.IncompleteRead as cut:
            return (0, cut.partial.decode()), entry, sent_at, True
        except (OSError, http.client.HTTPException):
            return None, entry, sent_at, True
        finally:
            connection.close()

    def broke(self, entry, sent_at, what):
        was_killed = any(t >= sent_at - 0.1 for t in self.killed_entries.get(entry, []))
        self.count(f"{what}: entry killed" if was_killed else f"LOST {what}: no answer")

    def stream(self, rng, prompt):
        body = {"model": "assistant", "stream": True, "stand_in_tokens": rng.randint(10, 80),
                "messages": [{"role": "user", "content": prompt}]}
        answer, entry, sent_at, sent = self.send(rng, "/v1/chat/completions", body, {})
        if not sent:
            return
        if answer is None:
            self.broke(entry, sent_at, "stream")
        elif answer[0] == 200 and answer[1].rstrip().endswith("data: [DONE]"):
            whole = answer[1].count("data: {") == body["stand_in_tokens"]
            self.count("stream whole" if whole else "WRONG stream: ended whole with other words")
        elif '"ran"' in answer[1]:
            self.count("stream failed, told so" + (" after it began" if answer[0] == 200 else ""))
        else:
            self.broke(entry, sent_at, "stream cut")

    def book(self, rng, booking):
        record = self.bookings.setdefault(booking, {"last": None})
        for _ in range(4):
            answer, entry, sent_at, sent = self.send(
                rng, "/services/bookings/deposit", {"booking": booking},
                {"Clementinegap-Class": "deposit_booking", "Idempotency-Key": booking})
            if not sent:
                continue
            if answer is None or answer[0] == 0:
                record["last"] = "unknown"
                self.broke(entry, sent_at, "booking")
            elif answer[0] == 200:
                record["last"] = "done"
                self.count("booking done")
                return
            else:
                problem = json.loads(answer[1])["error"]
                record["last"] = problem["ran"]
                self.count(f"booking answered {problem['type']}, ran {problem['ran']}")
                if rng.random() < 0.3:
                    return
            time.sleep(0.2)


def judge(deployment, callers):
    ledger = collections.Counter()
    for i in range(SERVICES):
        for booking, times in json.loads(fetch(f"http://127.0.0.1:{deployment.base + 10 + i}/ledger")).items():
            ledger[booking] += times
    for booking, record in callers.bookings.items():
        if ledger[booking] > 1:
            callers.count("DOUBLED booking")
        if record["last"] == "no" and ledger[booking] > 0:
            callers.count("LIE booking told `ran: no` and ran")
        if record["last"] == "done" and ledger[booking] != 1:
            callers.count("LIE booking told done and did not run")
    return sum(ledger.values())


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--stops", type=int, default=50)
    parser.add_argument("--kills", type=int, default=50)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--base", type=int, default=27000)
    options = parser.parse_args()
    rng = random.Random(options.seed)
    deployment = Deployment(options.base)
    bad = 0
    try:
        deployment.start()
        for phase, number in (("planned stops", signal.SIGTERM), ("hard kills", signal.SIGKILL)):
            rounds = options.stops if number == signal.SIGTERM else options.kills
            callers = Callers(deployment, options.seed + int(number))
            callers.start()
            for _ in range(rounds):
                name = rng.choice(sorted(deployment.admin))
                if number == signal.SIGKILL and name.startswith("entry"):
                    callers.killed_entries.setdefault(int(name[-1]), []).append(time.time())
                code = deployment.replace(name, number)
                if number == signal.SIGTERM and code != 0:
                    callers.count(f"BAD exit {code} of a planned stop")
                time.sleep(rng.uniform(0.1, 0.5))
            callers.finish()
            time.sleep(3)
            executions = judge(deployment, callers)
            print(f"{phase}: {rounds} rounds, seed {options.seed}, {executions} bookings run so far at the ledgers")
            for what, count in sorted(callers.counts.items()):
                print(f"  {count:6}  {what}")
                upper = what.split()[0].isupper()
                cut = number == signal.SIGTERM and "after it began" in what
                bad += count if upper or cut else 0
    finally:
        deployment.stop()
    print("nothing that must not happen" if bad == 0 else f"{bad} things that must not happen")
    raise SystemExit(0 if bad == 0 else 1)


if __name__ == "__main__":
    main()
