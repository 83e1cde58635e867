"""An adapter is unloaded while requests run on it, and its place is given away at once."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
sys.dont_write_bytecode = True

from stage2 import LIMITS, Runner, play  # noqa: E402

MODELS = {"m%d" % number: 65100 for number in range(21)}
# The sheet of lmsca-ops: a step of 4.43 ms, 5 tokens in an event, 14 events. The site's largest srv_slow: share 0.16, x = 5.0,
# for 6.5 s; here it is one runner of seven.
EVENT_SECONDS, EVENTS = 0.00443 * 5, 14
SLOWER, SLOW_SECONDS, RUNNERS = 5, 6.5, 7


def configuration():
    models = [{"name": name, "weightsMb": size, "loadS": 6.0, "adapters": 42 if name == "m0" else 0, "adapterMb": 12.0, "warmS": 0.38, "diskS": 1.0} for name, size in MODELS.items()]
    engine = {"slots": 64, "kvCapacityTokens": 244162, "models": models, "weightsMb": 220000.0, "adapterSlots": 8, "loadsPerS": 3.5, "hostMb": 150000.0, "diskMb": 1300000.0}
    route = {"name": "r1", "host": "host.example", "pathPrefix": "/llm/", "routeKind": "streaming", "timeoutMs": 17000, "targetLatencyMs": 6000, "priority": 2, "service": "llm",
             "maxAttempts": 2, "sticky": True, "resumable": False, "gapTargetMs": 250}
    return {"version": 7, "routes": [route], "services": [{"name": "llm", "healthPath": "/healthz", "maxConns": 360, "protocol": "h1", "tls": False, "engine": engine}], "limits": LIMITS}


async def case(stage, trouble):
    names = list(MODELS)
    for number in range(RUNNERS):
        held = names[3 * number:3 * number + 3]
        stage.runners.append(Runner(stage, "llm", stage.zones[number % 3], "%s.%d" % (stage.prefix, 71 + number), held, 64, 220000, 8, MODELS))
    runner = stage.runners[0]
    for each in stage.runners:
        each.events = EVENTS
        each.event_seconds = EVENT_SECONDS
    await stage.begin(2, configuration())
    await stage.await_orders()
    await asyncio.sleep(1.0)

    async def ask(number):
        headers = {"Model": "m0/a%d" % number, "Token-Usage": "646,72", "Prompt-Prefix": "%x:155,%x:491" % (7, 1000 + number), "Deadline-Ms": "17000"}
        return await stage.request(number % 2, "POST", "/llm/x", headers, b"{}")

    if trouble:
        runner.event_seconds = EVENT_SECONDS * SLOWER
        asyncio.get_running_loop().call_later(SLOW_SECONDS, setattr, runner, "event_seconds", EVENT_SECONDS)
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
