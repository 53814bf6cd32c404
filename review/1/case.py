"""Servers are full and ask callers to come back; one of them crashes and comes back as a newer version of its software,
under the id that it had. Counts requests that entries had passed on to the other, sound servers and never answered."""
import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "common"))
from deployment import (CannotRun, Caller, Entry, Server, Store, TROUBLE, configuration, now, play,
                        route)  # noqa: E402

ZONES = ("taichung-a", "taichung-b")
ENGINES, LLM_SLOTS, EVENTS, PAUSE_S = 4, 4, 10, 0.12
STREAM_CALLERS, MORE_IN_BURST, BOOKING_CALLERS = 7, 9, 8  # Of each entry.
CRASHES, BURST_LEAD_S, DOWN_S, BETWEEN_S = 7, 0.6, 0.4, 3
MOST_LOST = 3  # LOST: "more than three times".


async def ask_for_streams(caller, answers, active):
    own = int(caller.name.rpartition("ask")[2]) + 0x91bd3f06
    while True:
        await active.wait()
        answer = await caller.ask("/seam-ask/1", 4000, (
            "X-Model: m", "X-Token-Counts: 1468,30", f"X-Prompt-Prefix: 5c1e07a2:568,{own:08x}:900"), b"question")
        answers.append(answer)
        await asyncio.sleep(float(answer.headers.get("retry-after", 0.05)) if answer.status > 0 else 0.3)


async def book(caller, answers):
    while True:
        answer = await caller.ask("/deposit-book/1", 1500, (), b"deposit")
        answers.append(answer)
        await asyncio.sleep(0.02 if answer.status > 0 else 0.3)


async def scenario(record, temporary, entries):
    store = Store(record)
    await store.start()
    engines = [Server(record, store, "stitch-llm", f"i-llm{n}", LLM_SLOTS, ZONES[n % 2], events=EVENTS,
                      pause_s=PAUSE_S, retry_after="2.0") for n in range(ENGINES)]
    shops = [Server(record, store, "shop-app", f"i-shop{n}", 6, ZONES[n % 2], work_s=0.25) for n in range(3)]
    await store.put("op", "config", configuration(7, [
        route("seam-ask", "stitch-llm", "stream", 4000, 600, 3, stream_resume=True, gap_goal_ms=400,
              session_affinity=True),
        route("deposit-book", "shop-app", "unsafe", 1500, 300, 1)],
        {"stitch-llm": {"engine": {"slots": LLM_SLOTS, "kv_capacity": 232550, "stride": 3}}, "shop-app": {}}))
    for each in engines + shops:
        await each.start()
    entries.extend(Entry(record, store, f"front-{zone}-1", zone, temporary) for zone in ZONES)
    for each in entries:
        await each.start()
    for each in entries:
        await each.wait_ready()
    await asyncio.sleep(3)
    answers, tasks, always, burst = [], [], asyncio.Event(), asyncio.Event()
    always.set()
    for entry in entries:
        for n in range(STREAM_CALLERS + MORE_IN_BURST):
            caller = Caller(record, entry, f"{entry.name}-ask{n}")
            tasks.append(asyncio.create_task(
                ask_for_streams(caller, answers, always if n < STREAM_CALLERS else burst)))
        for n in range(BOOKING_CALLERS):
            tasks.append(asyncio.create_task(book(Caller(record, entry, f"{entry.name}-book{n}"), answers)))
    await asyncio.sleep(4)
    for _ in range(CRASHES):
        burst.set()
        await asyncio.sleep(BURST_LEAD_S)
        if TROUBLE:
            oldest = min(each.version for each in engines)
            engine = max((each for each in engines if each.version == oldest), key=lambda each: each.running)
            await engine.crash()
            await asyncio.sleep(DOWN_S)
            engine.version = str(int(oldest) + 1)
            await engine.start()
        await asyncio.sleep(1)
        burst.clear()
        await asyncio.sleep(BETWEEN_S)
    for each in tasks:
        each.cancel()
    if not any(each.whole and each.status == 200 for each in answers):
        raise CannotRun("nothing was served")
    return verdict(record, engines, shops, entries, answers)


def verdict(record, engines, shops, entries, answers):
    crashed = {each.id for each in engines} if TROUBLE else set()
    ran = {request: server for server in engines + shops for _, request, _ in server.runs}
    lost = [each for each in answers if each.kept and each.status == 0 and each.id in ran and
            ran[each.id].id not in crashed]
    cut = [each for each in answers if each.kept and each.status > 0 and not each.whole]
    for each in lost:
        record("lost", request=each.id, server=ran[each.id].id, sent_at=f"{each.sent_at:.3f}")
    ends = [(at, code) for entry in entries for at, code in entry.ends]
    record("summary", requests=len(answers), served=sum(each.whole and each.status == 200 for each in answers),
           refused=sum(each.whole and each.status == 503 for each in answers), lost=len(lost), cut=len(cut),
           entries_ended=len(ends))
    print(f"requests {len(answers)}, lost {len(lost)}, streams cut {len(cut)}, entries that ended by themselves "
          f"{[code for _, code in ends]}")
    return f"LOST: {len(lost)} requests passed on to sound servers were never answered" if len(lost) > MOST_LOST else ""


if __name__ == "__main__":
    play(HERE, scenario)
