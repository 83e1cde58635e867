"""Core machines are replaced one after the other for good; then the machine that leads is lost, and a route moves."""
import asyncio
import os
import re
import signal
import sys
import time

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
import lab3

REPLACEMENTS = 8
GATEWAYS = 6
CATCH_UP = lab3.BOUNDS['catchUpS'] + 0.2
CONTACT = lab3.BOUNDS['contactMs'] / 1000
APPLY = lab3.BOUNDS['configApplyMs'] / 1000


async def leads(lab, number):
    """Whether a coordinator leads, by its metrics page."""
    try:
        reader, writer = await asyncio.open_connection(lab.core(number), lab3.METRICS_PORT)
        writer.write(b'GET /metrics HTTP/1.1\r\nHost: m\r\nConnection: close\r\n\r\n')
        _, _, body = await asyncio.wait_for(lab3.read_answer(reader), 1)
        writer.close()
        return bool(re.search(rb'(?m)^hemlock_coordinator_leads\S* 1', body))
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
        return False


async def find_leader(lab, numbers):
    for _ in range(20):
        leaders = [number for number in numbers if await leads(lab, number)]
        if len(leaders) == 1:
            return leaders[0]
        await asyncio.sleep(0.1)
    raise lab3.CannotRun(f'coordinators that lead: {leaders}')


async def case(record):
    lab = lab3.Lab(record, gateways=GATEWAYS)
    lab.servers += [lab3.Server(f'j-{n}', 'other', f'{lab.network}.5.{n + 1}') for n in range(3)]
    try:
        await lab.start([lab3.route('stock', '/stock/', 'safe')])
        current = [0, 1, 2]
        for number in range(3, 3 + REPLACEMENTS):
            if lab3.TROUBLE:
                lab.start_process('coordinator', number, seeds=current, bootstrap=False)
                current.append(number)
            await asyncio.sleep(CATCH_UP)
            if lab3.TROUBLE:
                # As an operator would, who leaves the machine that leads for the end.
                leader = await find_leader(lab, current)
                gone = next(number for number in current if number != leader)
                current.remove(gone)
                lab.processes[f'coordinator-{gone}'].send_signal(signal.SIGSTOP)
                record.write(f'coordinator {number} has run for {CATCH_UP} s; coordinator {gone} is gone for good and answers nothing from now on')
        await asyncio.sleep(CONTACT + CATCH_UP)
        leader = await find_leader(lab, current)
        status, _, _ = await lab3.ask(lab.edge(), lab3.request_bytes('GET', '/stock/item', lab3.new_id()), 3)
        record.write(f'the core is {current}, {leader} leads; an ordinary request gets {status}')
        lab.processes[f'coordinator-{leader}'].send_signal(signal.SIGSTOP)
        lost = time.monotonic()
        record.write(f'coordinator {leader} is lost, the only one')
        await lab.put(2, [lab3.route('stock', '/stock/', 'safe', service='other')], numbers=[number for number in current if number != leader])
        acknowledged = time.monotonic()
        begin = max(acknowledged + APPLY, lost + CONTACT) + 0.1
        await asyncio.sleep(begin - time.monotonic())
        old, new = [0] * GATEWAYS, [0] * GATEWAYS

        async def ask(gateway):
            id = lab3.new_id()
            sent = time.monotonic()
            await lab3.ask(lab.edge(gateway), lab3.request_bytes('GET', '/stock/item', id, deadline=1000), 2)
            by = [server.service for server in lab.servers if any(run['id'] == id for run in server.ran)]
            old[gateway] += 'app' in by
            new[gateway] += 'other' in by
            if 'app' in by and old[gateway] % 20 == 1:
                record.write(f'{id}, sent to gateway {gateway} {sent - acknowledged:.2f} s after the acknowledgement and {sent - lost:.2f} s after the loss, was run by the service of version 1')

        while time.monotonic() < begin + 8:
            await asyncio.gather(*[ask(gateway) for gateway in range(GATEWAYS)])
            await asyncio.sleep(0.1)
        lab.check_processes()
        for gateway in range(GATEWAYS):
            record.write(f'gateway {gateway}, requests sent later than configApplyMs after the acknowledgement: {old[gateway]} run by the old service, {new[gateway]} by the new one')
        return not any(old)
    finally:
        lab.stop()


lab3.play(os.path.dirname(os.path.abspath(__file__)), case)
