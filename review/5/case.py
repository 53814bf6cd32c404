"""Servers fail part of their requests, and the entries have used up the retry budget when all of them are killed and
started again. Counts the repeats that reach the service in each window of the budget."""
import asyncio
import bisect
import os
import random
import signal
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "common"))
from deployment import BOUNDS, CannotRun, Caller, Entry, Server, Store, TROUBLE, configuration, now, play, route  # noqa: E402

ZONES = ("taichung-a", "taichung-b", "changhua-a", "nantou-a")
SERVERS, REQUESTS_PER_S = 4, 50
WINDOW_S, RATIO, SLACK = BOUNDS["budget_window_s"], BOUNDS["budget_ratio"], BOUNDS["budget_slack"]
WARM_UP_S, GREY_SHARE, GREY_S, KILL_AFTER_S = 11, 0.45, 13, 5.5
random.seed(49)


async def send(idle, entries, caller, sent):
    answer = await caller.ask("/order-look/1", 1500, (), b"which order")
    sent.append((answer.sent_at, answer))
    idle.append(caller)


async def generate(record, entries, sent):
    """Sends at a steady rate, on kept channels to all entries in turn."""
    idle, count, tasks, next_at = {entry: [] for entry in entries}, 0, set(), now()
    while True:
        entry = entries[count % len(entries)]
        count += 1
        caller = idle[entry].pop() if idle[entry] else Caller(record, entry, f"look{count}")
        task = asyncio.create_task(send(idle[entry], entries, caller, sent))
        tasks.add(task)
        task.add_done_callback(tasks.discard)
        next_at += 1 / REQUESTS_PER_S
        await asyncio.sleep(max(0, next_at - now()))


async def scenario(record, temporary, entries):
    store = Store(record)
    await store.start()
    servers = [Server(record, store, "shop-app", f"i-shop{n}", 12, ZONES[n % 4]) for n in range(SERVERS)]
    await store.put("op", "config", configuration(7, [
        route("order-look", "shop-app", "safe", 1500, 300, 2)], {"shop-app": {}}))
    for each in servers:
        await each.start()
    entries.extend(Entry(record, store, f"front-{zone}-1", zone, temporary) for zone in ZONES)
    for each in entries:
        await each.start()
    for each in entries:
        await each.wait_ready()
    await asyncio.sleep(2)
    sent = []
    load = asyncio.create_task(generate(record, entries, sent))
    await asyncio.sleep(WARM_UP_S)
    for each in servers:
        each.failing_share = GREY_SHARE
    await asyncio.sleep(KILL_AFTER_S)
    if TROUBLE:
        for each in entries:
            each.signal(signal.SIGKILL)
    await asyncio.sleep(GREY_S - KILL_AFTER_S)
    load.cancel()
    await asyncio.sleep(1)
    return verdict(record, servers, sent)


def verdict(record, servers, sent):
    arrivals = sorted((at, request) for server in servers for at, request, _ in server.runs)
    requests = sorted(at for at, _ in sent)
    if len(requests) < 300:
        raise CannotRun("too few requests were sent")
    seen, repeats = set(), []
    for at, request in arrivals:
        if request in seen:
            repeats.append(at)
        seen.add(request)

    def between(times, begin):
        return bisect.bisect_left(times, begin + WINDOW_S) - bisect.bisect_left(times, begin)

    worst, broken = (0, 1, 0), 0
    for begin in repeats:
        allowed = RATIO * max(between(requests, begin - earlier) for earlier in (0, WINDOW_S / 2, WINDOW_S)) + SLACK
        count = between(repeats, begin)
        worst = max(worst, (count / allowed, count, allowed))
        broken += count > allowed
    record("summary", requests=len(requests), repeats=len(repeats), worst_window=worst[1], allowed=f"{worst[2]:.1f}")
    print(f"requests {len(requests)}, repeats {len(repeats)}; worst window: {worst[1]} repeats, {worst[2]:.1f} are allowed")
    return f"BUDGET: {worst[1]} repeats in {WINDOW_S} s, {worst[2]:.1f} are allowed" if broken else ""


if __name__ == "__main__":
    play(HERE, scenario)
