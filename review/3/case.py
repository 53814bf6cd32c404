"""A request that crashes each server that runs it comes again and again, at any entry. The entries have learned to refuse
it, and are then stopped and started in turn."""
import asyncio
import os
import signal
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "common"))
from deployment import BOUNDS, CannotRun, Caller, Entry, Server, Store, TROUBLE, configuration, now, play, route  # noqa: E402

ZONES = ("taichung-a", "taichung-b", "changhua-a", "nantou-a")
SERVERS, SLOTS = 6, 6
CONTACT_S = BOUNDS["contact_ms"] / 1000
LEARNING_S, RETURNS_S = 8, 1.0
MOST_RETRIES = 3  # BUDGET: "in more than three retries".
DEADLY = b"an order that no server survives"


async def look(caller):
    while True:
        answer = await caller.ask("/order-look/1", 1500, (), b"which order")
        await asyncio.sleep(0.08 if answer.status > 0 else 0.3)


async def scenario(record, temporary, entries):
    store = Store(record)
    await store.start()
    servers = [Server(record, store, "shop-app", f"i-shop{n}", SLOTS, ZONES[n % 4]) for n in range(SERVERS)]
    await store.put("op", "config", configuration(7, [
        route("order-look", "shop-app", "safe", 1500, 300, 2)], {"shop-app": {}}))
    for each in servers:
        each.deadly_body = DEADLY
        await each.start()
    entries.extend(Entry(record, store, f"front-{zone}-1", zone, temporary) for zone in ZONES)
    for each in entries:
        await each.start()
    for each in entries:
        await each.wait_ready()
    tasks = [asyncio.create_task(look(Caller(record, entry, f"{entry.name}-look{n}"))) for entry in entries
             for n in range(2)]
    await asyncio.sleep(CONTACT_S + 1)
    deadly = []

    async def send_deadly(entry):
        answer = await Caller(record, entry, "deadly").ask("/order-look/1", 1500, (), DEADLY)
        deadly.append((answer, entry))

    for _ in range(2):  # The entries learn.
        await asyncio.gather(*(send_deadly(each) for each in entries[:2]))
        await asyncio.sleep(LEARNING_S)
    learned_at = now()
    for entry in entries:
        if TROUBLE:
            entry.signal(signal.SIGTERM)
            ended = len(entry.ends)
            while len(entry.ends) == ended:
                await asyncio.sleep(0.05)
            await asyncio.sleep(0.6)
            await entry.wait_ready()
        await asyncio.sleep(CONTACT_S + 0.5)  # In touch again.
        for _ in range(2):
            await send_deadly(entry)
            await asyncio.sleep(RETURNS_S)
    for each in tasks:
        each.cancel()
    return verdict(record, servers, deadly, learned_at)


def verdict(record, servers, deadly, learned_at):
    ids = {answer.id: (answer, entry) for answer, entry in deadly}
    arrivals = sorted((at, request, server.id) for server in servers for at, request, _ in server.runs if request in ids)
    if len(arrivals) < 3:
        raise CannotRun("the request crashed fewer than three servers")
    third_crash = arrivals[2][0]
    late = [each for each in arrivals if each[0] > third_crash + CONTACT_S]
    retries = {request for _, request, _ in late}
    for at, request, _ in late:
        record("late", at=f"{at:.3f}", request=request, entry=ids[request][1].name, status=ids[request][0].status)
    before = sum(at <= learned_at for at, _, _ in arrivals)
    record("summary", sent=len(deadly), crashes=len(arrivals), while_learning=before, third_crash=f"{third_crash:.3f}",
           retries_later=len(retries), crashes_later=len(late))
    print(f"sent {len(deadly)} times; crashes {len(arrivals)}, {before} of them while the entries learned; retries that "
          f"reached servers later than contact_ms after the third crash: {len(retries)}, with {len(late)} crashes")
    return f"BUDGET: {len(retries)} such retries, {MOST_RETRIES} are allowed" if len(retries) > MOST_RETRIES else ""


if __name__ == "__main__":
    play(HERE, scenario)
