"""QUOTA while single machines are cut off: see claim.txt."""

import asyncio
import os
import random
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "standins-2"))
import world as w

RATE, BURST = 40, 40  # quota of the tenant
USUAL = 25  # requests a second that it sends on usual days
HOT_X, HOT_S = 7.5, 6.5  # hot_tenant: x, for_s
CUT_SHARE, CUT_S = 0.35, 12.0  # node_cut: share, for_s
CLIENTS = 40  # of the tenant, in each zone
KEY, OTHER_KEY = "k-tenant-0123456789", "k-other-0123456789"


def config():
    return {
        "version": "r5",
        "routes": {
            "columns": ["name", "host", "prefix", "kind", "timeout_s", "slo_s", "priority", "attempts", "public", "service"],
            "rows": [["r-a", "h.example", "/a/", "unsafe", 2.5, 0.8, 1, 2, False, "svc"]],
        },
        "services": {"columns": ["name", "health_path", "max_conns"], "rows": [["svc", "/healthz", 1560]]},
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 1048576, "header_timeout_s": 3, "idle_timeout_s": 15},
        "tenants": {
            "columns": ["name", "api_keys", "priority", "rate_per_s", "burst"],
            "rows": [["tenant", [KEY], 1, RATE, BURST], ["other", [OTHER_KEY], 1, None, None]],
        },
    }


async def case(world, trouble):
    world.add_servers("svc", 5, 6, 0.1)
    await world.start(config())
    clients = {z: [w.Client(world, z) for _ in range(CLIENTS)] for z in world.zones}
    others = {z: [w.Client(world, z) for _ in range(CLIENTS)] for z in world.zones}
    begin = time.monotonic()
    end = begin + 26
    cut_at, hot_at = begin + 6, begin + 6 + CUT_S - HOT_S - 0.3

    async def one(pool, key):
        z = random.choice(world.zones)
        rid, status, address = await random.choice(pool[z]).request(
            "POST", "/a/x", 3, {"Api-Key": key}, b"y" * 200, "unsafe"
        )
        world.record.write("answer", id=rid, status=status, at=address)

    async def traffic(pool, key, rate):
        tasks = set()
        due = time.monotonic()
        while due < end:
            due += random.expovariate(rate(due))
            await asyncio.sleep(max(0, due - time.monotonic()))
            task = asyncio.create_task(one(pool, key))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
        await asyncio.sleep(3)

    async def cuts():
        await asyncio.sleep(cut_at - time.monotonic())
        if not trouble:
            return
        chosen = random.sample(world.machines, int(CUT_SHARE * len(world.machines)))
        for m in chosen:
            m.cut = True
        world.record.write("cut", machines=",".join(m.name for m in chosen))
        await asyncio.sleep(CUT_S)
        for m in chosen:
            m.cut = False
        world.record.write("healed")

    await asyncio.gather(
        traffic(clients, KEY, lambda t: USUAL * (HOT_X if hot_at <= t < hot_at + HOT_S else 1)),
        traffic(others, OTHER_KEY, lambda t: 30),
        cuts(),
    )
    # QUOTA: requests of the tenant that are both sent and run within a window of quota_window_s.
    b = world.bounds
    window = b["quota_window_s"]
    bound = (RATE * window + BURST) * (1 + b["quota_over"]) + b["quota_slack"]
    runs = sorted({rid: t for t, rid, _, tenant in reversed(world.runs) if tenant == "tenant"}.items(), key=lambda x: x[1])
    most, at = 0, 0.0
    for _, start in runs:
        count = sum(1 for rid, t in runs if start <= t <= start + window and world.sent[rid] >= start)
        if count > most:
            most, at = count, start
    print(
        f"QUOTA: at most {most} requests of the tenant sent and run in {window} s"
        f" (from {at - begin:.1f} s), allowed {bound:.0f}; {len(runs)} in all, cut at 6 s, hot from {hot_at - begin:.1f} s"
    )
    world.record.write("verdict", most=most, allowed=bound)
    return most <= bound


w.main(case, HERE, ["zone-a", "zone-b", "zone-c"], 12)
