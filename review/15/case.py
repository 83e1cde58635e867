"""One caller at a time sends a body inside the limits in chunks of one byte."""
import asyncio
import os
import sys

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
import lab3

REQUESTS = 12
BODY = 1000000


async def send(lab):
    id = lab3.new_id()
    head = lab3.request_bytes('POST', '/book/form', id, deadline=4000).split(b'Content-Length')[0]
    if lab3.TROUBLE:
        data = head + b'Transfer-Encoding: chunked\r\n\r\n' + b'1\r\nx\r\n' * BODY + b'0\r\n\r\n'
    else:
        data = head + b'Transfer-Encoding: chunked\r\n\r\n' + b'%x\r\n' % BODY + b'x' * BODY + b'\r\n0\r\n\r\n'
    reader, writer = await asyncio.open_connection(lab.edge(), lab3.FRONT_PORT)
    status = None
    try:
        writer.write(data)
        status, _, _ = await asyncio.wait_for(lab3.read_answer(reader), 5)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError) as error:
        status = type(error).__name__
    writer.close()
    return id, status


async def case(record):
    lab = lab3.Lab(record)
    try:
        await lab.start([lab3.route('book', '/book/', 'unsafe')])
        denied = 0
        for _ in range(REQUESTS):
            id, status = await send(lab)
            denied += status == 413
            record.write(f'sent {id}, {BODY} bytes in {"chunks of 1 byte" if lab3.TROUBLE else "one chunk"}, limit {lab3.LIMITS["maxBodyBytes"]}: {status}')
        lab.check_processes()
        allowed = 5 + REQUESTS / 500
        record.write(f'denied: {denied} of {REQUESTS}; the rule allows {allowed:.2f}; run: {len(lab.all_runs())}')
        return denied <= allowed
    finally:
        lab.stop()


lab3.play(os.path.dirname(os.path.abspath(__file__)), case)
