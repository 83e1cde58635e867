"""
A small deployment on loopback for the cases 11 to 15: coordinators and gateways as processes, started with
the commands and templates of deploy/, beside stand-ins for the platform and the servers.
"""
import asyncio
import json
import os
import random
import re
import resource
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
TROUBLE = os.environ.get('TROUBLE', '1') != '0'
HOST = 'h.example'
FRONT_PORT = 8149
READY_PORT = 8141
CONTROL_PORT = 8144
METRICS_PORT = 7395
PLATFORM_PORT = 8142
SERVER_PORT = 8080
MAXIMUM_DESCRIPTORS = 4100

# The sheet of polleliin in SYSTEM.md.
BOUNDS = dict(seedLagS=3, reuseAfterS=2, contactMs=3000, ackMs=4000, catchUpS=4, drainMs=3000, graceS=8, lossSlackMs=200, configApplyMs=2000,
              downgradeSlackMs=250, maxStretchMs=5000, retryBudgetRatio=0.2, budgetWindowS=10, budgetExtraTries=54, recoverS=12, passMs=120,
              retryAfterS=0, fencingRequired=False, leaseMs=3000, thawSlackMs=300, ceilingWindowS=5, loadRateFactor=1.1)
LIMITS = dict(maxHeaderBytes=16384, maxBodyBytes=4194304, headerTimeoutMs=3000, idleTimeoutMs=15000)


class CannotRun(Exception):
    """The case could not be played; says nothing about the rule."""


def render(template, fields):
    """Fills in a template of deploy/ as DEPLOY.md says, as far as these templates need it."""
    def lookup(path):
        value = fields
        for part in path.split('.'):
            value = value[int(part)] if isinstance(value, list) else value.get(part)
            if value is None:
                return None
        return value

    def field(match):
        value = lookup(match.group(1))
        if match.group(2) or isinstance(value, (bool, dict)):
            return json.dumps(value)
        return '' if value is None else str(value)

    with open(os.path.join(ROOT, 'deploy', template)) as file:
        text = file.read()
    text = re.sub(r'\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}', lambda match: match.group(2) if lookup(match.group(1)) else '', text, flags=re.S)
    return re.sub(r'\{\{([\w.]+)(\|json)?\}\}', field, text)


def command(role):
    """The program of a role, from the deploy file."""
    with open(os.path.join(ROOT, 'deploy', 'system.toml')) as file:
        section = file.read().split('[roles.' + role + ']')[1]
    program = re.search(r'run = "(\S+)', section).group(1)
    path = os.path.join(ROOT, program)
    if not os.access(path, os.X_OK):
        raise CannotRun(program + ' is not built')
    return path


# ---------------------------------------------------------------------------------------------------------------------
# HTTP

async def read_head(reader):
    head = await reader.readuntil(b'\r\n\r\n')
    lines = head.decode('latin1').split('\r\n')
    headers = {}
    for line in lines[1:]:
        if ':' in line:
            name, value = line.split(':', 1)
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    if headers.get('transfer-encoding', '').lower() != 'chunked':
        return await reader.readexactly(int(headers.get('content-length', 0)))
    body = b''
    while True:
        size = int((await reader.readline()).split(b';')[0], 16)
        data = await reader.readexactly(size + 2)
        if size == 0:
            return body
        body += data[:-2]


def new_id():
    return '%016x' % random.getrandbits(64)


def request_bytes(method, path, id, body=b'', deadline=2000, headers=''):
    head = f'{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {id}\r\nDeadline-Ms: {deadline}\r\n{headers}'
    if body or method == 'POST':
        head += f'Content-Length: {len(body)}\r\n'
    return head.encode() + b'\r\n' + body


async def read_answer(reader):
    line, headers = await read_head(reader)
    body = await read_body(reader, headers)
    return int(line.split()[1]), headers, body


async def ask(address, data, patience):
    """Sends a request on a new connection; the status, headers and body, or (None, reason, b'')."""
    async def exchange():
        reader, writer = await asyncio.open_connection(address, FRONT_PORT)
        try:
            writer.write(data)
            return await read_answer(reader)
        finally:
            writer.close()
    try:
        return await asyncio.wait_for(exchange(), patience)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError) as error:
        return None, type(error).__name__, b''


# ---------------------------------------------------------------------------------------------------------------------
class Server:
    """A sound server of a plain service. Keeps what it has run."""

    def __init__(self, id, service, address):
        self.id, self.service, self.address = id, service, address
        self.state = 'ready'
        self.born = int(time.time() * 1000)
        self.ran = []

    def entry(self):
        return dict(service=self.service, addr=f'{self.address}:{SERVER_PORT}', zone='z1', version='v1', slots=6, state=self.state, coldLeftMs=0, id=self.id, born=self.born)

    async def start(self):
        self.listener = await asyncio.start_server(self.serve, self.address, SERVER_PORT, limit=1 << 24)

    async def serve(self, reader, writer):
        try:
            while True:
                line, headers = await read_head(reader)
                method, target, _ = line.split(' ', 2)
                body = await read_body(reader, headers)
                await self.answer(writer, method, target, headers, body)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def answer(self, writer, method, target, headers, body):
        if target == '/healthz':
            writer.write(f'HTTP/1.1 200 OK\r\nInstance-Id: {self.id}\r\nContent-Length: 0\r\n\r\n'.encode())
            return
        id = headers.get('attempt-id')
        if headers.get('expect-instance', self.id) != self.id or not id:
            writer.write(b'HTTP/1.1 421 Misdirected Request\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n')
            return
        self.ran.append(dict(at=time.monotonic(), id=id, method=method, target=target, body=body))
        await asyncio.sleep(0.015)
        text = f'done {id}'
        writer.write(f'HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nServer-Seal: {self.id}.{id}\r\nContent-Length: {len(text)}\r\n\r\n{text}'.encode())
        await writer.drain()


class Lab:
    def __init__(self, record, coordinators=3, gateways=1, servers=3, gateway_settings=''):
        self.record = record
        self.network = self.free_network()
        self.coordinators, self.gateways = coordinators, gateways
        self.servers = [Server(f'i-{n}', 'app', f'{self.network}.4.{n + 1}') for n in range(servers)]
        self.gateway_settings = gateway_settings
        self.foreign_entry = None
        self.processes = {}
        self.work = tempfile.mkdtemp(prefix='review-')

    @staticmethod
    def free_network():
        for _ in range(100):
            network = f'127.{random.randint(20, 250)}'
            try:
                with socket.socket() as probe:
                    probe.bind((network + '.2.1', FRONT_PORT))
                return network
            except OSError:
                continue
        raise CannotRun('no free loopback network')

    def core(self, number):
        return f'{self.network}.1.{number + 1}'

    def edge(self, number=0):
        return f'{self.network}.2.{number + 1}'

    def all_runs(self):
        return [run for server in self.servers for run in server.ran]

    # ------------------------------------------------------------------------------------------------------------
    async def serve_list(self, reader, writer):
        """The platform's list, of one page."""
        try:
            while True:
                await read_head(reader)
                entries = [json.dumps(server.entry()).encode() for server in self.servers if server.state != 'gone']
                if self.foreign_entry:
                    entries.append(self.foreign_entry)
                body = b'{"instances":[' + b','.join(entries) + b'],"nextToken":null}'
                writer.write(f'HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n'.encode() + body)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    def fields(self, role, number, seeds, bootstrap):
        address = self.core(number) if role == 'coordinator' else self.edge(number)
        listen = {'control': f'{address}:{CONTROL_PORT}'} if role == 'coordinator' else {'front': f'{address}:{FRONT_PORT}', 'ready': f'{address}:{READY_PORT}'}
        seeds = [f'{self.core(n)}:{CONTROL_PORT}' for n in (range(self.coordinators) if seeds is None else seeds)]
        return dict(nodeName=f'{role}-{number}', ip=address, zone='z1', listen=listen, internalPorts=[7380, METRICS_PORT], seeds=seeds, bootstrap=bootstrap, dataDir='data',
                    cloud=dict(addr=f'{self.network}.9.1:{PLATFORM_PORT}'), bounds=BOUNDS, faultTolerance=dict(machines=(self.coordinators - 1) // 2))

    def start_process(self, role, number, seeds=None, bootstrap=True):
        """`seeds` are numbers of coordinators; the first ones of all unless given."""
        name = f'{role}-{number}'
        folder = os.path.join(self.work, name)
        os.makedirs(os.path.join(folder, 'data'))
        settings = render(role + '.toml', self.fields(role, number, seeds, bootstrap)) + (self.gateway_settings if role == 'gateway' else '')
        with open(os.path.join(folder, 'node.json'), 'w') as file:
            file.write(settings)

        def limit():
            hard = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
            most = MAXIMUM_DESCRIPTORS if hard == resource.RLIM_INFINITY else min(hard, MAXIMUM_DESCRIPTORS)
            resource.setrlimit(resource.RLIMIT_NOFILE, (most, hard))
        with open(os.path.join(folder, 'log'), 'wb') as log:
            self.processes[name] = subprocess.Popen([command(role), '--settings=' + os.path.join(folder, 'node.json')], cwd=folder, stdout=log, stderr=log, preexec_fn=limit)

    async def put(self, version, routes, limits=None, numbers=None):
        """Sends a configuration to the coordinators in turn until one acknowledges it."""
        numbers = numbers or range(self.coordinators)
        services = [dict(name=name, healthPath='/healthz', maxConns=500, protocol='h1', tls=False) for name in sorted({server.service for server in self.servers})]
        body = json.dumps(dict(version=version, routes=routes, services=services, limits=limits or LIMITS)).encode()
        end = time.monotonic() + 15
        number = 0
        while time.monotonic() < end:
            try:
                reader, writer = await asyncio.open_connection(self.core(numbers[number % len(numbers)]), CONTROL_PORT)
                writer.write(f'PUT /hemlockchute/config HTTP/1.1\r\nHost: control\r\nContent-Type: application/json\r\nContent-Length: {len(body)}\r\nConnection: close\r\n\r\n'.encode() + body)
                status, _, _ = await asyncio.wait_for(read_answer(reader), 1)
                writer.close()
                if status == 200:
                    self.record.write(f'configuration {version} acknowledged')
                    return
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                pass
            number += 1
            await asyncio.sleep(0.2)
        raise CannotRun(f'configuration {version} was not acknowledged')

    async def await_ready(self, number):
        end = time.monotonic() + 15
        while time.monotonic() < end:
            try:
                reader, writer = await asyncio.open_connection(self.edge(number), READY_PORT)
                writer.write(b'GET /hemlockchute/readyz HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n')
                line, _ = await asyncio.wait_for(read_head(reader), 1)
                writer.close()
                if ' 200 ' in line:
                    return
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                pass
            await asyncio.sleep(0.1)
        raise CannotRun(f'gateway {number} did not become ready')

    async def start(self, routes, limits=None):
        self.platform = await asyncio.start_server(self.serve_list, self.network + '.9.1', PLATFORM_PORT)
        for server in self.servers:
            await server.start()
        for number in range(self.coordinators):
            self.start_process('coordinator', number)
        for number in range(self.gateways):
            self.start_process('gateway', number)
        await self.put(1, routes, limits)
        for number in range(self.gateways):
            await self.await_ready(number)
        # All machines are in touch from here on.
        await asyncio.sleep(BOUNDS['contactMs'] / 1000 + 0.5)

    def check_processes(self):
        for name, process in self.processes.items():
            if process.poll() is not None:
                raise CannotRun(f'{name} ended with {process.returncode}')

    def stop(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()  # Also ends one that is stopped.
        for process in self.processes.values():
            process.wait()
        shutil.rmtree(self.work, ignore_errors=True)


def route(name, prefix, kind, **others):
    whole = dict(name=name, host=HOST, pathPrefix=prefix, routeKind=kind, timeoutMs=5000, targetLatencyMs=250, priority=0, service='app', maxAttempts=1 if kind == 'unsafe' else 2,
                 sticky=False, resumable=False)
    whole.update(others)
    return whole


class Record:
    def __init__(self, folder):
        self.file = open(os.path.join(folder, 'record.txt'), 'w')
        self.start = time.monotonic()

    def write(self, text):
        line = f'{time.monotonic() - self.start:8.3f} s  {text}'
        self.file.write(line + '\n')
        self.file.flush()
        print(line, flush=True)


def play(folder, case):
    """Plays a case; `case(record)` returns True if the rule held. Exit codes: 0 held, 1 broken, 2 could not run."""
    record = Record(folder)
    record.write('with the trouble' if TROUBLE else 'without the trouble')

    async def limited():
        # Connections that are cut at the end are of no interest.
        asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
        return await asyncio.wait_for(case(record), 110)

    def end(signal_number, frame):
        raise CannotRun(f'ended by signal {signal_number}')
    signal.signal(signal.SIGTERM, end)
    try:
        held = asyncio.run(limited())
    except Exception as error:  # Whatever it is, it says nothing about the rule.
        record.write(f'could not run: {error!r}')
        sys.exit(2)
    record.write('the rule held' if held else 'THE RULE WAS BROKEN')
    sys.exit(0 if held else 1)
