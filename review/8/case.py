"""An adapter is unloaded while requests run on it, and its place is given away at once."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
sys.dont_write_bytecode = True

from stage2 import LIMITS, Runner, play  # noqa: E402

MODELS = {"m%d" % number: 65100 for number in range(9)}
# The sheet of lmsca-ops: a step of 4.43 ms, 5 tokens in an event, 14 events. srv_slow: x = 5.0 times as long.
EVENT_SECONDS, EVENTS = 0.00443 * 5, 14
SLOWER = 5


def configuration():
    models = [{"name": name, "weightsMb": size, "loadS": 6.0, "adapters": 42 if name == "m0" else 0, "adapterMb": 12.0, "warmS": 0.38, "diskS": 1.0} for name, size in MODELS.items()]
    engine = {"slots": 64, "kvCapacityTokens": 244162, "models": models, "weightsMb": 220000.0, "adapterSlots": 8, "loadsPerS": 3.5, "hostMb": 150000.0, "diskMb": 1300000.0}
    route = {"name": "r1", "host": "host.example", "pathPrefix": "/llm/", "routeKind": "streaming", "timeoutMs": 17000, "targetLatencyMs": 6000, "priority": 2, "service": "llm",
             "maxAttempts": 2, "sticky": True, "resumable": False, "gapTargetMs": 250}
    return {"version": 7, "routes": [route], "services": [{"name": "llm", "healthPath": "/healthz", "maxConns": 360, "protocol": "h1", "tls": False, "engine": engine}], "limits": LIMITS}


async def case(stage, trouble):
    names = list(MODELS)
    for number in range(3):
        held = names[3 * number:3 * number + 3]
        stage.runners.append(Runner(stage, "llm", stage.zones[number], "%s.%d" % (stage.prefix, 71 + number), held, 64, 220000, 8, MODELS))
    runner = stage.runners[0]
    for each in stage.runners:
        each.events = EVENTS
        each.event_seconds = EVENT_SECONDS * (SLOWER if trouble else 1)
    await stage.begin(2, configuration())
    await stage.await_orders()
    await asyncio.sleep(1.0)

    async def ask(number):
        headers = {"Model": "m0/a%d" % number, "Token-Usage": "646,72", "Prompt-Prefix": "%x:155,%x:491" % (7, 1000 + number), "Deadline-Ms": "17000"}
        return await stage.request(number % 2, "POST", "/llm/x", headers, b"{}")

    # Eight adapters, one request each; then requests for three more, one after the other.
    tasks = []
    for number in range(1, 9):
        tasks.append(asyncio.create_task(ask(number)))
        await asyncio.sleep(0.02)
    await asyncio.sleep(0.75)
    for number in range(9, 12):
        tasks.append(asyncio.create_task(ask(number)))
        await asyncio.sleep(0.05)
    answers = await asyncio.gather(*tasks)
    stage.record("%d of %d requests were answered in full" % (sum(1 for _, answer in answers if answer and answer[0] == 200), len(answers)))
    crashed = [each for each in stage.runners if each.has_crashed]
    return "; ".join("runner %s was %s" % (each.id, each.crash_reason) for each in crashed)


play(FOLDER, case)
