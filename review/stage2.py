"""A small deployment on loopback addresses for the scripts of the second review.

Starts the project's coordinators and gateways as separate processes, from the templates of deploy/,
beside a stand-in of the platform's list and stand-ins of runners that follow the users' pages.
Python's standard library only.
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
import traceback

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
HELD, BROKEN, NOT_RUN = 0, 1, 2
CONTROL_PORT, FRONT_PORT, READY_PORT, LIST_PORT, RUNNER_PORT = 8144, 8149, 8141, 8142, 8080
INTERNAL_PORTS = [7380, 7395]


def end_as_not_run(kind, error, trace):
    """An error of a script says nothing about the rule."""
    traceback.print_exception(kind, error, trace)
    sys.stderr.flush()
    os._exit(NOT_RUN)


sys.excepthook = end_as_not_run


class CannotRun(Exception):
    """The case could not be played; says nothing about the rule."""


class Record:
    """record.txt: what was sent, answered and run, with seconds since the start."""

    def __init__(self, folder):
        self.start = time.monotonic()
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")

    def __call__(self, text):
        self.file.write("%8.3f %s\n" % (time.monotonic() - self.start, text))
        self.file.flush()


# ----------------------------------------------------------------------------------------------
# Templates (DEPLOY.md, "Settings of a process")

def look_up(scopes, name):
    if name == ".":
        return scopes[-1]
    for scope in reversed(scopes):
        value, found = scope, True
        for part in name.split("."):
            if isinstance(value, dict) and part in value:
                value = value[part]
            elif isinstance(value, list) and part.isdigit() and int(part) < len(value):
                value = value[int(part)]
            else:
                found = False
                break
        if found:
            return value
    return None


def as_text(value, is_json):
    if is_json or isinstance(value, dict):
        return json.dumps(value)
    if value is None:
        return ""
    if isinstance(value, list):
        return ",".join(str(each) for each in value)
    return json.dumps(value) if isinstance(value, bool) else str(value)


def render(text, scopes):
    section = re.compile(r"\{\{([#^])([^{}]+)\}\}(.*?)\{\{/\2\}\}", re.S)

    def replace(found):
        value = look_up(scopes, found.group(2))
        if found.group(1) == "^":
            return "" if value else render(found.group(3), scopes)
        if isinstance(value, list):
            return "".join(render(found.group(3), scopes + [each]) for each in value)
        return render(found.group(3), scopes + [value]) if value else ""

    text = section.sub(replace, text)
    return re.sub(r"\{\{([^{}|]+)(\|json)?\}\}", lambda found: as_text(look_up(scopes, found.group(1)), bool(found.group(2))), text)


# ----------------------------------------------------------------------------------------------
# HTTP

async def read_message(reader):
    """Reads a head and its body; None at the end of the connection. The body of a message without a length is empty."""
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    body = b""
    if "chunked" in headers.get("transfer-encoding", ""):
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            body += await reader.readexactly(size)
            await reader.readexactly(2)
            if size == 0:
                break
    elif int(headers.get("content-length", 0)):
        body = await reader.readexactly(int(headers["content-length"]))
    return lines[0], headers, body


def response(status, headers=None, body=b""):
    reasons = {200: "OK", 202: "Accepted", 409: "Conflict", 412: "Precondition Failed", 421: "Misdirected Request", 503: "Service Unavailable"}
    head = "HTTP/1.1 %d %s\r\n" % (status, reasons.get(status, "Status"))
    for name, value in (headers or {}).items():
        head += "%s: %s\r\n" % (name, value)
    return (head + "Content-Length: %d\r\n\r\n" % len(body)).encode("latin-1") + body


def json_response(status, value):
    return response(status, {"Content-Type": "application/json"}, json.dumps(value).encode())


async def call(address, method, target, headers=None, body=b"", timeout=5.0):
    """One request on a new connection. Returns (status, headers, body), or None without an answer in time."""
    async def run():
        reader, writer = await asyncio.open_connection(*address)
        try:
            head = "%s %s HTTP/1.1\r\nHost: %s\r\nConnection: close\r\n" % (method, target, (headers or {}).get("Host", address[0]))
            for name, value in (headers or {}).items():
                if name != "Host":
                    head += "%s: %s\r\n" % (name, value)
            if body or method in ("POST", "PUT"):
                head += "Content-Length: %d\r\n" % len(body)
            writer.write((head + "\r\n").encode("latin-1") + body)
            await writer.drain()
            message = await read_message(reader)
            return message and (int(message[0].split()[1]), message[1], message[2])
        finally:
            writer.close()
    try:
        return await asyncio.wait_for(run(), timeout)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
        return None


# ----------------------------------------------------------------------------------------------
# The platform's list

class Platform:
    def __init__(self, stage):
        self.stage = stage
        self.runners = []

    async def start(self, ip):
        self.address = (ip, LIST_PORT)
        self.server = await asyncio.start_server(self.serve, *self.address)

    async def serve(self, reader, writer):
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    break
                entries = [runner.entry() for runner in self.runners if runner.is_listed]
                writer.write(json_response(200, {"instances": entries, "nextToken": None}))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


# ----------------------------------------------------------------------------------------------
# Runners

class Runner:
    """A runner as in PROTOCOL.md; what it crashes on ends its server and its connections."""

    def __init__(self, stage, service, zone, ip, models=None, slots=16, weights_mb=0, adapter_slots=8, specs=None):
        self.stage, self.service, self.zone, self.ip = stage, service, zone, ip
        self.id = "i-%08x" % stage.random.getrandbits(32)
        self.born = int(time.time() * 1000)
        self.slots, self.weights_mb, self.adapter_slots = slots, weights_mb, adapter_slots
        self.specs = specs or {}
        self.models = {name: set() for name in models or []}
        self.is_engine = models is not None
        self.leaving_adapters = set()
        self.pending = set()
        self.running = {}
        self.sequence = 0
        self.order = None
        self.order_done = 0.0
        self.is_listed = True
        self.is_draining = False
        self.has_crashed = False
        self.crash_reason = ""
        self.event_seconds = 0.03
        self.events = 9
        self.work_seconds = 0.015
        self.orders = []
        self.runs = []
        self.connections = set()

    async def start(self):
        self.address = (self.ip, RUNNER_PORT)
        self.server = await asyncio.start_server(self.serve, *self.address)

    def entry(self):
        return {"service": self.service, "addr": "%s:%d" % self.address, "zone": self.zone, "version": "v1", "slots": self.slots,
                "state": "draining" if self.is_draining else "ready", "coldLeftMs": 0, "stage": "both", "models": self.held(), "id": self.id, "born": self.born}

    def held(self):
        return [{"name": name, "version": 1, "adapters": sorted(adapters)} for name, adapters in sorted(self.models.items())]

    def crash(self, reason):
        if self.has_crashed:
            return
        self.stage.record("runner %s CRASHES: %s" % (self.id, reason))
        self.has_crashed, self.crash_reason = True, reason
        self.server.close()
        for writer in list(self.connections):
            writer.transport.abort()

    async def serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while not self.has_crashed:
                message = await read_message(reader)
                if message is None:
                    break
                await self.answer(message, reader, writer)
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError, ValueError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    async def answer(self, message, reader, writer):
        line, headers, body = message
        method, target, _ = line.split(" ")
        if target == "/hemlockchute/report":
            writer.write(json_response(200, self.report()))
        elif headers.get("expect-instance", self.id) != self.id:
            writer.write(response(421, {"Not-Executed": "1"}))
        elif target == "/hemlockchute/order":
            order = json.loads(body)
            status = self.take_order(order)
            self.orders.append((order, status))
            self.stage.record("runner %s order %s %s %s precondition %s fence %s -> %d" % (self.id, order["op"], order["model"], order.get("adapter", ""), order.get("precondition"), order["fence"], status))
            if not self.has_crashed:
                writer.write(json_response(status, {}))
        else:
            await self.run(method, target, headers, body, reader, writer)
        await writer.drain()

    def report(self):
        return {"stage": "both", "models": self.held(), "busy": self.is_busy(), "sequence": self.sequence, "queued": 0, "active": sum(self.running.values()),
                "kvUsed": 0, "kvTotal": 200000, "handles": 0, "born": self.born, "loading": ["%s/%s@1" % each for each in sorted(self.pending)]}

    def is_busy(self):
        return self.order is not None

    def weights(self):
        total = sum(self.specs.get(name, 0) for name in self.models)
        if self.order and self.order["op"] == "load" and self.order["model"] not in self.models:
            total += self.specs.get(self.order["model"], 0)
        return total

    def adapters(self):
        return sum(len(each) for each in self.models.values()) + len(self.pending)

    def take_order(self, order):
        name, adapter = order["model"], order.get("adapter")
        is_load = order["op"] == "load"
        if adapter:
            return self.take_adapter_order(order, name, adapter, is_load)
        if self.order and (self.order["op"], self.order["model"]) == (order["op"], name):
            return 202
        if self.order:
            return 409
        if is_load == (name in self.models):
            return 200
        if order.get("precondition", self.sequence) != self.sequence:
            return 409
        self.sequence += 1
        if is_load and self.weights() + self.specs.get(name, 0) > self.weights_mb:
            self.crash("ordered to load %s: %d MB held, %d MB more, %d MB there" % (name, self.weights(), self.specs.get(name, 0), self.weights_mb))
            return 202
        self.order = order
        asyncio.get_running_loop().create_task(self.carry_out(order, name, is_load))
        return 202

    async def carry_out(self, order, name, is_load):
        if is_load:
            await asyncio.sleep(self.stage.load_seconds)
            self.models[name] = set()
        else:
            while any(key[0] == name and count for key, count in self.running.items()):
                await asyncio.sleep(0.01)
            self.models.pop(name, None)
        self.order = None

    def take_adapter_order(self, order, name, adapter, is_load):
        if name not in self.models:
            return 421
        key = (name, adapter)
        is_held = adapter in self.models[name] and key not in self.leaving_adapters
        if is_load and (is_held or key in self.pending):
            return 200 if is_held else 202
        if not is_load and adapter not in self.models[name]:
            return 200
        if order.get("precondition", self.sequence) != self.sequence:
            return 409
        self.sequence += 1
        if is_load:
            if self.adapters() + 1 > self.adapter_slots:
                self.crash("ordered to load adapter %s/%s: %d places, all taken (%d of them by adapters that wait for their runs to end)" % (name, adapter, self.adapter_slots, len(self.leaving_adapters)))
                return 202
            self.pending.add(key)
            asyncio.get_running_loop().call_later(0.005, self.end_adapter_load, key)
            return 202
        # An unload waits for its runs to finish; an adapter that no request uses goes at once.
        if not self.running.get(key):
            self.models[name].discard(adapter)
            return 200
        self.leaving_adapters.add(key)
        return 202

    def end_adapter_load(self, key):
        self.pending.discard(key)
        if key[0] in self.models:
            self.models[key[0]].add(key[1])

    async def run(self, method, target, headers, body, reader, writer):
        attempt = headers.get("attempt-id", "")
        marks = {"Attempt-Id": attempt}
        name, _, adapter = headers.get("model", "").partition("/")
        key = (name, adapter)
        if self.is_engine and (name not in self.models or (adapter and adapter not in self.models[name])):
            self.stage.record("runner %s refuses %s: 421, %s isn't here" % (self.id, attempt, headers.get("model")))
            writer.write(response(421, dict(marks, **{"Not-Executed": "1"})))
            return
        if key in self.leaving_adapters or (self.order and self.order["model"] == name):
            writer.write(response(503, dict(marks, **{"Not-Executed": "1"})))
            return
        if sum(self.running.values()) >= self.slots:
            writer.write(response(503, dict(marks, **{"Not-Executed": "1"})))
            return
        run = {"attempt": attempt, "method": method, "target": target, "headers": headers, "body": body, "at": time.monotonic(), "runner": self, "ended": None}
        self.runs.append(run)
        self.running[key] = self.running.get(key, 0) + 1
        self.stage.record("runner %s runs %s %s %s %s" % (self.id, attempt, method, target, headers.get("model", "")))
        marks["Server-Seal"] = "seal.%s" % attempt
        try:
            await self.produce(run, marks, headers, writer)
        finally:
            run["ended"] = time.monotonic()
            self.running[key] -= 1
            if not self.running[key] and key in self.leaving_adapters:
                self.leaving_adapters.discard(key)
                if name in self.models:
                    self.models[name].discard(adapter)

    async def produce(self, run, marks, headers, writer):
        if not self.is_engine:
            await asyncio.sleep(self.work_seconds)
            writer.write(response(200, marks, b"ran %s" % run["attempt"].encode()))
            return
        head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\nWeight-Versions: 1\r\n"
        for each, value in marks.items():
            head += "%s: %s\r\n" % (each, value)
        writer.write((head + "\r\n").encode("latin-1"))
        for number in range(int(headers.get("last-event-id", 0)) + 1, self.events + 1):
            await asyncio.sleep(self.event_seconds)
            if writer.is_closing():
                raise ConnectionError("the caller has left")
            text = b"id: %d\ndata: %s\n\n" % (number, b"x" * 30)
            writer.write(b"%x\r\n%s\r\n" % (len(text), text))
            await writer.drain()
        writer.write(b"0\r\n\r\n")


# ----------------------------------------------------------------------------------------------
# The deployment

class Stage:
    def __init__(self, folder, seed=None, zones=("z1", "z2", "z3"), fds=None):
        self.folder = folder
        self.record = Record(folder)
        self.random = random.Random(seed)
        self.zones = list(zones)
        self.fds = fds
        self.work = tempfile.mkdtemp(prefix="hemlockchute-review-")
        self.prefix = self.free_prefix()
        self.processes = {}
        self.files = []
        self.load_seconds = 6.0
        self.version = 0
        self.platform = Platform(self)
        self.runners = self.platform.runners
        self.bounds = {"seedLagS": 3, "reuseAfterS": 2, "contactMs": 3000, "ackMs": 4000, "catchUpS": 4, "drainMs": 3000, "graceS": 8, "lossSlackMs": 200, "configApplyMs": 2000,
                       "downgradeSlackMs": 250, "maxStretchMs": 5000, "retryBudgetRatio": 0.2, "budgetWindowS": 10, "budgetExtraTries": 54, "recoverS": 12, "passMs": 120, "retryAfterS": 0,
                       "fencingRequired": False, "leaseMs": 3000, "thawSlackMs": 300, "ceilingWindowS": 5, "loadRateFactor": 1.1}

    def free_prefix(self):
        for _ in range(200):
            prefix = "127.%d.%d" % (self.random.randint(20, 250), self.random.randint(1, 250))
            try:
                for port in (CONTROL_PORT, FRONT_PORT, LIST_PORT, RUNNER_PORT, INTERNAL_PORTS[0]):
                    for host in (11, 31, 51, 71):
                        with socket.socket() as probe:
                            probe.bind(("%s.%d" % (prefix, host), port))
                return prefix
            except OSError:
                continue
        raise CannotRun("no free loopback addresses")

    def core_ip(self, number):
        return "%s.%d" % (self.prefix, 31 + number)

    def edge_ip(self, number):
        return "%s.%d" % (self.prefix, 51 + number)

    def settings(self, role, number, is_first):
        is_core = role == "coordinator"
        ip = self.core_ip(number) if is_core else self.edge_ip(number)
        zone = self.zones[number % len(self.zones)]
        listen = {"control": "%s:%d" % (ip, CONTROL_PORT)} if is_core else {"front": "%s:%d" % (ip, FRONT_PORT), "ready": "%s:%d" % (ip, READY_PORT)}
        return {"nodeName": "%s-%d" % (role, number), "role": role, "machineClass": "core" if is_core else "edge", "serves": ["control_plane" if is_core else "edge"], "ip": ip, "zone": zone, "region": "r",
                "zones": {each: "r" for each in self.zones}, "listen": listen, "internalPorts": INTERNAL_PORTS, "seeds": ["%s:%d" % (self.core_ip(each), CONTROL_PORT) for each in range(3)],
                "bootstrap": is_first, "countsAsLoss": is_core, "limits": {"cpuShare": 0.25, "cores": 1, "memoryMb": 260, "maxFds": 4100, "linkMbps": 1000.0, "diskMb": 128 if is_core else 0},
                "dataDir": os.path.join(self.work, "data-%d" % number) if is_core else None, "discovery": "cloud_api", "entry": "vip", "heartbeatMs": 1200, "contracts": ["base"],
                "faultTolerance": {"machines": 1, "zones": 1, "regions": 0}, "bounds": self.bounds, "configMode": "highest",
                "cloud": {"addr": "%s:%d" % self.platform.address, "ratePerS": 42.0, "duties": [], "maxLagMs": 800}}

    def start(self, role, number, is_first=False):
        name = "%s-%d" % (role, number)
        folder = os.path.join(self.work, name)
        os.makedirs(folder, exist_ok=True)
        fields = self.settings(role, number, is_first)
        if fields["dataDir"]:
            os.makedirs(fields["dataDir"], exist_ok=True)
        with open(os.path.join(ROOT, "deploy", role + ".toml"), encoding="utf-8") as template:
            text = render(template.read(), [fields])
        path = os.path.join(folder, "node.json")
        with open(path, "w", encoding="utf-8") as file:
            file.write(text)
        with open(os.path.join(ROOT, "deploy", "system.toml"), encoding="utf-8") as deploy:
            run = re.search(r"\[roles\.%s\]\s+run = \"([^\"]+)\"" % role, deploy.read()).group(1).split()
        command = [os.path.join(ROOT, run[0])] + [word.replace("/etc/hemlockchute/node.json", path) for word in run[1:]]
        if not os.access(command[0], os.X_OK):
            raise CannotRun(command[0] + " is not built")
        log = open(os.path.join(folder, "log"), "ab")
        self.files.append(log)

        def limit():
            if self.fds:
                resource.setrlimit(resource.RLIMIT_NOFILE, (self.fds, self.fds))
        environment = {"PATH": os.environ.get("PATH", ""), "HOME": self.work, "LANG": "C", "HEMLOCKCHUTE_BOOT": path}
        self.processes[name] = subprocess.Popen(command, cwd=ROOT, stdin=subprocess.DEVNULL, stdout=log, stderr=log, env=environment, preexec_fn=limit, start_new_session=True)
        self.record("%s starts%s" % (name, ", for the first time" if is_first else ""))
        return self.processes[name]

    def kill(self, name, number=signal.SIGKILL):
        process = self.processes[name]
        self.record("%s gets %s" % (name, signal.Signals(number).name))
        process.send_signal(number)
        if number == signal.SIGKILL:
            process.wait()

    def log_text(self, name):
        with open(os.path.join(self.work, name, "log"), encoding="utf-8", errors="replace") as file:
            return file.read()

    async def begin(self, gateways, configuration):
        await self.platform.start("%s.11" % self.prefix)
        for runner in self.runners:
            await runner.start()
        for number in range(3):
            self.start("coordinator", number, True)
        for number in range(gateways):
            self.start("gateway", number, True)
        await self.configure(configuration)
        for number in range(gateways):
            await self.await_ready(number)

    async def configure(self, configuration, seconds=15.0):
        """Sends a configuration as an operator does, until it is acknowledged; returns when."""
        self.version = configuration["version"]
        body = json.dumps(configuration).encode()
        end = time.monotonic() + seconds
        number = 0
        while time.monotonic() < end:
            answer = await call((self.core_ip(number % 3), CONTROL_PORT), "PUT", "/hemlockchute/config", {"Content-Type": "application/json"}, body, 3.0)
            number += 1
            if answer:
                self.record("operator PUT version %d -> %d" % (configuration["version"], answer[0]))
            if answer and answer[0] == 200:
                return time.monotonic()
            await asyncio.sleep(0.1)
        raise CannotRun("no configuration was acknowledged")

    async def await_ready(self, number, seconds=15.0):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            answer = await call((self.edge_ip(number), READY_PORT), "GET", "/hemlockchute/readyz", {}, b"", 1.0)
            if answer and answer[0] == 200:
                return
            await asyncio.sleep(0.1)
        raise CannotRun("gateway-%d does not become ready" % number)

    async def await_orders(self, seconds=15.0):
        """Waits until a coordinator may give orders."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if any("coordinator.gives_orders" in self.log_text("coordinator-%d" % number) for number in range(3)):
                return
            await asyncio.sleep(0.1)
        raise CannotRun("no coordinator gives orders")

    def leader(self):
        """The number of the coordinator that began to lead last."""
        found = []
        for number in range(3):
            for at, line in enumerate(self.log_text("coordinator-%d" % number).splitlines()):
                if '"keeper.leads"' in line:
                    found.append((json.loads(line)["time"], number))
        if not found:
            raise CannotRun("no leader")
        return max(found)[1]

    def front(self, number):
        return (self.edge_ip(number), FRONT_PORT)

    def attempt(self):
        return "%016x" % self.random.getrandbits(64)

    async def request(self, gateway, method, target, headers, body=b"", timeout=20.0):
        headers = dict({"Host": "host.example", "Attempt-Id": self.attempt()}, **headers)
        self.record("client sends %s %s %s %s to gateway-%d" % (headers["Attempt-Id"], method, target, headers.get("Model", ""), gateway))
        answer = await call(self.front(gateway), method, target, headers, body, timeout)
        self.record("client gets for %s: %s" % (headers["Attempt-Id"], "no whole answer" if answer is None else answer[0]))
        return headers["Attempt-Id"], answer

    def end(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.terminate()
        end = time.monotonic() + 10
        for process in self.processes.values():
            try:
                process.wait(max(0.1, end - time.monotonic()))
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()
        for file in self.files:
            file.close()
        if os.environ.get("KEEP"):
            shutil.rmtree(os.environ["KEEP"], ignore_errors=True)
            shutil.copytree(self.work, os.environ["KEEP"])
        shutil.rmtree(self.work, ignore_errors=True)


LIMITS = {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}


def play(folder, case, limit=100.0, **options):
    """Runs `await case(stage, trouble)`, which returns why the rule was broken, or an empty text; ends the process."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    stage = Stage(folder, **options)
    code = NOT_RUN

    def end_early(*_):
        stage.end()
        os._exit(NOT_RUN)

    signal.signal(signal.SIGTERM, end_early)
    try:
        reason = asyncio.run(asyncio.wait_for(case(stage, trouble), limit))
        code = BROKEN if reason else HELD
        stage.record("RESULT: " + ("the rule was broken: " + reason if reason else "the rule held"))
        print("broken: " + reason if reason else "held")
    except Exception as error:  # An error of the script says nothing about the rule.
        stage.record("RESULT: not run: %s %s" % (type(error).__name__, error))
        print("not run: %s %s" % (type(error).__name__, error))
    finally:
        stage.end()
    sys.exit(code)
