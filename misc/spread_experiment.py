#!/usr/bin/env python3
"""Runs daemons and the platform stand-in on 127.0.0.1 and measures how a configuration spreads.

  misc/spread_experiment.py in-force --daemons 60 --submissions 50 [--outage]
  misc/spread_experiment.py cost --sizes 8,16,32,64 --seconds 20

Every process that it starts it ends by its id. Times are of one clock, since all processes are on one machine.
"""
import argparse
import json
import os
import signal
import subprocess
import sys
import tempfile
import time
import urllib.request

BIN = os.path.join(os.environ.get("BUILD", "build"), "bin")
TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")


def fetch(url, body=None):
    data = None if body is None else json.dumps(body).encode()
    with urllib.request.urlopen(urllib.request.Request(url, data), timeout=5) as answer:
        return answer.read().decode()


class Deployment:
    def __init__(self, size, base):
        self.size, self.base = size, base
        self.folder = tempfile.mkdtemp(prefix="spread-")
        self.processes = []
        self.daemons = []
        self.platform_url = f"http://127.0.0.1:{base}"

    def run(self, name, *words):
        log = open(os.path.join(self.folder, name + ".log"), "w")
        process = subprocess.Popen(words, stdout=log, stderr=log)
        self.processes.append(process)
        return process

    def start(self):
        self.run("platform", f"{BIN}/clementinegap_stand_in", "--kind", "platform", "--port", str(self.base))
        wait_until(lambda: fetch(self.platform_url + "/v1/vms"))
        vms = []
        for i in range(self.size):
            name, peer, admin = f"vm-{i:03}", self.base + 100 + i, self.base + 300 + i
            region, zone = ("east", "west")[i % 2], f"zone-{i % 6}"
            role = "entry" if i % 3 == 0 else "upstream"
            vms.append({"name": name, "role": role, "zone": zone, "region": region,
                        "address": f"127.0.0.1:{peer}", "state": "live"})
            settings = {"role": role, "vm": name, "zone": zone, "region": region, "log_level": "warning",
                        "admin": {"port": admin}, "platform": {"url": self.platform_url},
                        "peers": {"address": f"127.0.0.1:{peer}", "plain_text": True}}
            if role == "entry":
                settings["callers"] = {"port": self.base + 500 + i}
            else:
                settings["upstream"] = {"url": f"http://127.0.0.1:{self.base + 1}", "models": ["assistant"]}
            path = os.path.join(self.folder, name + ".json")
            with open(path, "w") as file:
                json.dump(settings, file)
        fetch(self.platform_url + "/control/vms", {"vms": vms})
        for i in range(self.size):
            name = f"vm-{i:03}"
            process = self.run(name, f"{BIN}/clementinegapd", "--settings",
                               os.path.join(self.folder, name + ".json"))
            self.daemons.append((process, f"http://127.0.0.1:{self.base + 300 + i}"))
        for _, admin in self.daemons:
            wait_until(lambda: fetch(admin + "/healthz"))

    def stop(self):
        for process in reversed(self.processes):
            process.terminate()
        for process in self.processes:
            try:
                process.wait(20)
            except subprocess.TimeoutExpired:
                process.kill()

    def submit(self, number, based_on):
        answers = {"team": "load", "work": [{"name": "work", "served_by": "assistant", "who_waits": "nobody",
                   "lateness": "none", "repetition": "none", "answer_length": "page"}],
                   "callers": [{"workspace": "desk", "key_sha256": "0" * 64, "share": 1 + number}]}
        path = os.path.join(self.folder, "answers.json")
        with open(path, "w") as file:
            json.dump(answers, file)
        before = time.time()
        done = subprocess.run([f"{BIN}/clementinegap", "config", "submit", "--platform", self.platform_url,
                               "--based-on", str(based_on), path], capture_output=True, text=True, check=True)
        return before, int(done.stdout.split()[-1])

    def metric(self, admin, name):
        for line in fetch(admin + "/metrics").splitlines():
            if line.startswith(name + " ") or line.startswith(name + "{"):
                return float(line.split()[-1])
        return 0.0

    def applied(self, version):
        return sum(self.metric(admin, "clementinegap_configuration_version") >= version
                   for _, admin in self.daemons)


def wait_until(probe, seconds=15):
    end = time.time() + seconds
    while True:
        try:
            if probe():
                return
        except OSError:
            pass
        if time.time() > end:
            raise SystemExit("timeout")
        time.sleep(0.05)


def in_force(options):
    deployment = Deployment(options.daemons, options.base)
    accepted = {}
    try:
        deployment.start()
        version = 0
        time.sleep(5)
        for number in range(options.submissions):
            before, version = deployment.submit(number, version)
            accepted[version] = before
            if options.outage:
                fetch(deployment.platform_url + "/control/faults", {"outage": True})
                wait_until(lambda: deployment.applied(version) == options.daemons or time.time() > before + 10, 20)
                fetch(deployment.platform_url + "/control/faults", {"outage": False})
            time.sleep(0.3)
        wait_until(lambda: deployment.applied(version) == options.daemons, 20)
        last, skipped, back = {}, 0, 0
        for _, admin in deployment.daemons:
            seen = 0
            times = {}
            for line in fetch(admin + "/timeline").splitlines():
                event = json.loads(line)
                text = json.dumps(event)
                if "configuration.applied" not in text or "version " not in text:
                    continue
                applied = int(text.split("version ")[1].split('"')[0])
                back += applied < seen
                seen = max(seen, applied)
                times.setdefault(applied, event["wall_us"] / 1e6)
            for wanted in accepted:
                newer = [at for applied, at in times.items() if applied >= wanted]
                skipped += not newer
                last[wanted] = max(last.get(wanted, 0), min(newer, default=float("inf")))
        spans = sorted(last[wanted] - before for wanted, before in accepted.items())
        at = lambda share: spans[min(len(spans) - 1, int(share * len(spans)))]
        print(f"daemons {options.daemons}, submissions {len(spans)}, outage {options.outage}: "
              f"s until in force everywhere: median {at(0.5):.3f}, 99th {at(0.99):.3f}, "
              f"largest {spans[-1]:.3f}; steps back {back}, never applied {skipped}")
        return 0 if back == 0 and skipped == 0 and spans[-1] <= (6 if options.outage else 2) else 1
    finally:
        deployment.stop()


def proc_figures(pid):
    with open(f"/proc/{pid}/stat") as file:
        fields = file.read().rsplit(")", 1)[1].split()
    with open(f"/proc/{pid}/status") as file:
        resident = [line for line in file if line.startswith("VmRSS")][0].split()[1]
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_SECOND, int(resident) / 1024


def cost(options):
    for size in [int(word) for word in options.sizes.split(",")]:
        deployment = Deployment(size, options.base)
        try:
            deployment.start()
            deployment.submit(0, 0)
            time.sleep(20)
            sample = lambda: ([proc_figures(process.pid) for process, _ in deployment.daemons],
                              [(deployment.metric(admin, "clementinegap_overlay_bytes_sent"),
                                deployment.metric(admin, "clementinegap_overlay_bytes_received"))
                               for _, admin in deployment.daemons],
                              json.loads(fetch(deployment.platform_url + "/control/counts")), time.time())
            first = sample()
            time.sleep(options.seconds)
            second = sample()
            span = second[3] - first[3]
            mean = lambda values: sum(values) / len(values)
            cpu = mean([b[0] - a[0] for a, b in zip(first[0], second[0])]) / span * 100
            sent = mean([b[0] - a[0] for a, b in zip(first[1], second[1])]) / span
            received = mean([b[1] - a[1] for a, b in zip(first[1], second[1])]) / span
            print(f"daemons {size}: by daemon {sent:.0f} B/s sent, {received:.0f} B/s received, "
                  f"{cpu:.2f}% of a core, {mean([b[1] for b in second[0]]):.1f} MB resident; fleet "
                  f"{(second[2]['reads'] - first[2]['reads']) / span:.1f} table reads/s, "
                  f"{(second[2]['writes'] - first[2]['writes']) / span:.1f} writes/s", flush=True)
        finally:
            deployment.stop()
    return 0


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("what", choices=["in-force", "cost"])
    parser.add_argument("--daemons", type=int, default=60)
    parser.add_argument("--submissions", type=int, default=50)
    parser.add_argument("--outage", action="store_true")
    parser.add_argument("--sizes", default="8,16,32,64")
    parser.add_argument("--seconds", type=int, default=20)
    parser.add_argument("--base", type=int, default=23000)
    options = parser.parse_args()
    signal.signal(signal.SIGTERM, lambda *_: sys.exit("ended"))
    return in_force(options) if options.what == "in-force" else cost(options)


if __name__ == "__main__":
    sys.exit(main())
