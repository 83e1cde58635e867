"""A configuration raises the limit on bodies while callers keep connections open; they then send longer bodies."""
import asyncio
import os
import sys

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
import lab3

CONNECTIONS = 20
LOW, HIGH = 65536, 4194304
BODY = 100000


async def exchange(connection, body):
    reader, writer = connection
    id = lab3.new_id()
    try:
        writer.write(lab3.request_bytes('POST', '/book/form', id, body, 3000))
        status, _, _ = await asyncio.wait_for(lab3.read_answer(reader), 4)
        return id, status
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError) as error:
        return id, type(error).__name__


async def case(record):
    lab = lab3.Lab(record)
    routes = [lab3.route('book', '/book/', 'unsafe')]
    try:
        await lab.start(routes, dict(lab3.LIMITS, maxBodyBytes=LOW if lab3.TROUBLE else HIGH))
        kept = [await asyncio.open_connection(lab.edge(), lab3.FRONT_PORT) for _ in range(CONNECTIONS)]
        statuses = [(await exchange(connection, b'short'))[1] for connection in kept]
        record.write(f'{CONNECTIONS} callers send a short body each and keep their connections; answers: {statuses}')
        if lab3.TROUBLE:
            await lab.put(2, routes, dict(lab3.LIMITS, maxBodyBytes=HIGH))
        # Within four fifths of idleTimeoutMs, and past configApplyMs.
        await asyncio.sleep(lab3.BOUNDS['configApplyMs'] / 1000 + 2)
        refused = 0
        for connection in kept:
            id, status = await exchange(connection, b'x' * BODY)
            refused += status == 413
            record.write(f'sent {id} with {BODY} bytes on a kept connection, limit {HIGH}: {status}')
        fresh = await asyncio.open_connection(lab.edge(), lab3.FRONT_PORT)
        id, status = await exchange(fresh, b'x' * BODY)
        record.write(f'sent {id} with {BODY} bytes on a new connection: {status}')
        lab.check_processes()
        record.write(f'refused by the limit of the older version: {refused} of {CONNECTIONS}')
        return refused == 0
    finally:
        lab.stop()


lab3.play(os.path.dirname(os.path.abspath(__file__)), case)
