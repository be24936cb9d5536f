"""Stand-ins for the review's scripts: a small deployment on loopback, its servers, its operator and its clients.

The system's own programs run as separate processes with the command of the deploy file. Servers, clients, operator and
platform are coroutines of this program and speak the published protocol.
"""
import asyncio
import json
import os
import random
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import traceback

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
SITES = {  # region, memory_mb of a node, cpu_share of a node and of a control process, slots of a server
    "mvs-berthgrid": ("atl-north", 260, 0.2, 0.075, 9),
    "hlyab-mesh": ("plovdiv", 110, 0.2, 0.15, 6),
}
BEAT_MS = 1500
READY_PERIOD_S = 1.0
GRACE_S = 6.0


class CannotRun(Exception):
    """The case could not be played: exit status 2."""


def now():
    return time.monotonic()


class Record:
    """What was sent, answered and run, one JSON line an event."""

    def __init__(self, folder):
        self.start = now()
        self.file = open(os.path.join(folder, "record.txt"), "w")

    def add(self, what, **fields):
        line = {"t": round(now() - self.start, 4), "what": what}
        line.update(fields)
        self.file.write(json.dumps(line) + "\n")

    def close(self):
        self.file.close()


def parse_head(raw):
    lines = raw.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


class Machine:
    """One machine: an address of its own, and at most one process of the system."""

    def __init__(self, name, ip, zone, role):
        self.name, self.ip, self.zone, self.role = name, ip, zone, role
        self.process = None
        self.misses = 0  # readiness probes in a row without a 200
        self.in_use = True  # clients get new work here
        self.first_start = True


class Mesh:
    """Machines, settings files and processes. Every address is a loopback address."""

    def __init__(self, record, site, services, controls=3):
        self.record = record
        self.folder = tempfile.TemporaryDirectory(prefix="appletally-review-")
        self.random = random.Random(7)
        self.region, self.memory_mb, self.node_share, self.control_share, self.slots = SITES[site]
        self.zones = [self.region + end for end in ("-a", "-b", "-c")]
        self.net = self._free_net(len(services) + controls)
        self.nodes = []
        for n, service in enumerate(services):
            it = Machine("sidecar-%d" % n, self._ip(n + 1), self.zones[n % len(self.zones)], "node")
            it.service = service
            self.nodes.append(it)
        self.controls = [Machine("core-%d" % n, self._ip(100 + n), self.zones[n % len(self.zones)], "control") for n in range(controls)]
        self.ports = self._free_ports()
        self.started = []
        self.backends = []

    # --- Addresses ---

    def _ip(self, n):
        return "127.%d.%d.%d" % (self.net[0], self.net[1], n)

    @staticmethod
    def _can_bind(ip, port):
        with socket.socket() as it:
            it.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                it.bind((ip, port))
            except OSError:
                return False
        return True

    def _free_net(self, count):
        rng = random.Random()
        for _ in range(200):
            net = (rng.randrange(16, 250), rng.randrange(1, 250))
            # The programs serve their metrics on a fixed port of their own address.
            if all(self._can_bind("127.%d.%d.%d" % (net[0], net[1], n), 9464) for n in (1, count, 100, 102)):
                return net
        raise CannotRun("no free loopback network")

    def _free_ports(self):
        rng = random.Random()
        ips = [it.ip for it in self.nodes + self.controls]
        names = ["outbound", "inbound", "ready", "control_plane", "app"]
        for _ in range(200):
            base = rng.randrange(20000, 32000)
            ports = {name: base + n for n, name in enumerate(names)}
            ports["internal"] = base + 10
            wanted = list(ports.values()) + [base + n for n in range(11, 26)]
            if all(self._can_bind(ip, port) for ip in ips for port in wanted):
                return ports
        raise CannotRun("no free ports")

    # --- Settings and processes ---

    def settings(self, it):
        ports = self.ports
        seeds = ["%s:%d" % (c.ip, ports["control_plane"]) for c in self.controls[:3]]
        is_node = it.role == "node"
        out = {
            "node_id": it.name, "role": it.role, "machine_class": "sidecar" if is_node else "core",
            "serves": ["sidecar"] if is_node else ["control"], "ip": it.ip, "zone": it.zone, "region": self.region,
            "internal_port_range": [ports["internal"], ports["internal"] + 15], "seed_nodes": seeds, "bootstrap": it.first_start,
            "in_fault_budget": not is_node, "discovery": "static", "entry_mode": "static", "heartbeat_ms": BEAT_MS,
            "contracts": ["base", "drain", "config", "cost", "retry", "recover", "rollout"],
            "zones": {zone: self.region for zone in self.zones},
            "bind_addresses": {"control_plane": "%s:%d" % (it.ip, ports["control_plane"])},
            "limits": {"cpu_share": self.node_share if is_node else self.control_share, "cpu_cores": 1, "memory_mb": self.memory_mb if is_node else 256, "max_fds": 4100,
                       "link_mbps": 1000.0, "disk_mb": 0 if is_node else 256},
            "fault_tolerance": {"machines": 1, "zones": 0, "regions": 0},
            "bounds": {"seed_lag_s": 3, "addr_reuse_s": 2, "contact_ms": 3000, "ack_ms": 4000, "catch_up_s": 4, "drain_ms": 2000,
                       "grace_s": GRACE_S, "loss_slack_ms": 200, "config_apply_ms": 2000, "rollback_slack_ms": 250,
                       "max_stretch_ms": 5000, "retry_budget_ratio": 0.2, "budget_window_s": 10, "retry_budget_extra": 56,
                       "canary_share": 0.1, "canary_slack": 50, "rollback_ms": 5000, "recovery_s": 15},
        }
        if is_node:
            out["app_address"] = "%s:%d" % (it.ip, ports["app"])
            out["service"] = it.service
            out["bind_addresses"].update({"inbound": "%s:%d" % (it.ip, ports["inbound"]), "outbound": "%s:%d" % (it.ip, ports["outbound"]),
                                          "ready_address": "%s:%d" % (it.ip, ports["ready"])})
        else:
            out["data_dir"] = os.path.join(self.folder.name, it.name)
        return out

    def start(self, it):
        path = os.path.join(self.folder.name, it.name + ".json")
        with open(path, "w") as out:
            json.dump(self.settings(it), out)
        if it.role == "control":
            os.makedirs(os.path.join(self.folder.name, it.name), exist_ok=True)
        log = open(os.path.join(self.folder.name, it.name + ".log"), "ab")
        program = os.path.join("target", "appletally-platform")
        if not os.path.exists(os.path.join(ROOT, program)):
            raise CannotRun("the build of the deploy file is missing: " + program)
        environment = {"PATH": os.environ.get("PATH", ""), "HOME": self.folder.name, "LANG": "C", "APPLETALLY_SETTINGS": path}
        it.process = subprocess.Popen([program, it.role, path], cwd=ROOT, env=environment, stdout=log, stderr=log, stdin=subprocess.DEVNULL)
        log.close()
        self.started.append(it.process)
        it.first_start = False
        self.record.add("process started", machine=it.name, role=it.role)

    def start_all(self):
        for it in self.controls + self.nodes:
            self.start(it)

    def end_all(self):
        for it in self.started:
            if it.poll() is None:
                it.kill()
        for it in self.started:
            it.wait()
        self.folder.cleanup()

    def outbound(self, node):
        return node.ip, self.ports["outbound"]

    # --- The platform ---

    async def watch_ready(self):
        """Once per second; after two misses a machine's clients get no new work until it answers 200 again."""
        while True:
            await asyncio.gather(*(self._probe(it) for it in self.nodes))
            await asyncio.sleep(READY_PERIOD_S)

    async def _probe(self, it):
        try:
            status, _, _ = await asyncio.wait_for(call(it.ip, self.ports["ready"], "GET", "/-/ready"), 0.9)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            status = 0
        it.misses = 0 if status == 200 else it.misses + 1
        in_use = it.misses < 2
        if in_use != it.in_use:
            self.record.add("machine in use" if in_use else "machine out of use", machine=it.name)
        it.in_use = in_use

    async def terminate(self, it):
        """SIGTERM, and SIGKILL after the grace period."""
        self.record.add("SIGTERM", machine=it.name)
        at = now()
        it.process.send_signal(signal.SIGTERM)
        while it.process.poll() is None and now() - at < GRACE_S:
            await asyncio.sleep(0.02)
        if it.process.poll() is None:
            it.process.kill()
        it.process.wait()
        self.record.add("process ended", machine=it.name, status=it.process.returncode, after_s=round(now() - at, 2))

    async def kill(self, machines, down_s):
        """SIGKILL at the same moment; they are started again after `down_s`, with their disks."""
        for it in machines:
            it.process.send_signal(signal.SIGKILL)
            self.record.add("SIGKILL", machine=it.name)
        for it in machines:
            it.process.wait()
        await asyncio.sleep(down_s)
        for it in machines:
            self.start(it)

    async def wait_ready(self, seconds=25):
        end = now() + seconds
        while now() < end:
            await asyncio.gather(*(self._probe(it) for it in self.nodes))
            if all(it.misses == 0 for it in self.nodes):
                return
            await asyncio.sleep(0.2)
        raise CannotRun("the machines did not become ready")

    # --- The operator ---

    async def operate(self, method, path, headers=None, body=b""):
        """One call of the operator: any control process first, then at most two redirections. Status 0: no answer."""
        at = self.random.choice(self.controls)
        ip, port = at.ip, self.ports["control_plane"]
        try:
            for _ in range(3):
                status, fields, data = await asyncio.wait_for(call(ip, port, method, path, headers, body), 1)
                if status != 307:
                    break
                ip, port = fields["location"].split("/")[2].rsplit(":", 1)
                port = int(port)
            return status, data
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return 0, b""

    async def order(self, path, body, headers=None, seconds=20):
        """Sent again, to any control process, until there is a clear answer. The status of that answer, 0 if there is none."""
        fields = {"Content-Type": "application/json"}
        fields.update(headers or {})
        end = now() + seconds
        while now() < end:
            status, _ = await self.operate("POST", path, fields, json.dumps(body).encode())
            if status in (200, 400, 409, 412, 413, 422):
                self.record.add("order answered", path=path, status=status, version=body.get("version"))
                return status
            await asyncio.sleep(0.2)
        return 0

    async def put_config(self, document, base):
        if await self.order("/-/Config.Put", document, {"X-Base-Version": str(base)}) != 200:
            raise CannotRun("configuration %d was not acknowledged" % document["version"])


async def call(ip, port, method, path, headers=None, body=b""):
    """One request on a connection of its own."""
    reader, writer = await asyncio.open_connection(ip, port)
    try:
        fields = {"Host": "%s:%d" % (ip, port), "Connection": "close"}
        fields.update(headers or {})
        lines = ["%s %s HTTP/1.1" % (method, path)] + ["%s: %s" % it for it in fields.items()]
        if method == "POST":
            lines.append("Content-Length: %d" % len(body))
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
        await writer.drain()
        start, fields = parse_head(await reader.readuntil(b"\r\n\r\n"))
        data = await reader.readexactly(int(fields.get("content-length", 0)))
        return int(start.split()[1]), fields, data
    finally:
        writer.close()


class Backend:
    """An application server beside a node. It follows the protocol page; `work_s` and `answer` are the case's own.

    `plan(path, serial)` returns (work in seconds, bytes of the answer, fault). Faults: None, or "cut": the answer has no length,
    ends with its connection, and is reset halfway.
    """

    born = int(time.time() * 1000)

    def __init__(self, mesh, node, plan, version="v1"):
        self.mesh, self.node, self.plan, self.slots = mesh, node, plan, mesh.slots
        Backend.born += 1
        self.start_ms = Backend.born
        self.id = "i-%08x" % mesh.random.getrandbits(32)
        self.version = version
        self.sequence = 0
        self.serial = 0
        self.busy = asyncio.Semaphore(mesh.slots)
        self.arrived = {}  # by request id: (time, path)
        self.ended = {}  # by request id: (time, how)
        self.crashed = False
        self.server = None
        mesh.backends.append(self)

    async def listen(self):
        self.server = await asyncio.start_server(self._serve, self.node.ip, self.mesh.ports["app"], limit=1 << 20)

    async def beat(self):
        while not self.crashed:
            self.sequence += 1
            body = {"service": self.node.service, "address": "%s:%d" % (self.node.ip, self.mesh.ports["app"]), "zone": self.node.zone,
                    "version": self.version, "max_concurrency": self.slots, "state": "ready", "cold_remaining_ms": 0, "sequence": self.sequence,
                    "born": self.start_ms}
            try:
                await asyncio.wait_for(call(self.node.ip, self.mesh.ports["control_plane"], "POST", "/-/Instances.Heartbeat/" + self.id,
                                            {"Content-Type": "application/json"}, json.dumps(body).encode()), 1)
                await asyncio.sleep(BEAT_MS / 1000)
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                await asyncio.sleep(0.2)

    async def _serve(self, reader, writer):
        try:
            while True:
                start, fields = parse_head(await reader.readuntil(b"\r\n\r\n"))
                method, path, _ = start.split()
                body = await reader.readexactly(int(fields.get("content-length", 0)))
                if not await self._answer(reader, writer, method, path, fields, body):
                    break
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    def _send(self, writer, status, fields, data, extra=()):
        lines = ["HTTP/1.1 %d %s" % (status, "OK" if status == 200 else "No"), "Content-Length: %d" % len(data), "Keep-Alive: timeout=10"]
        if "x-request-id" in fields:
            lines.append("X-Request-Id: " + fields["x-request-id"])
        lines += extra
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + data)

    async def _answer(self, reader, writer, method, path, fields, body):
        record = self.mesh.record
        request = fields.get("x-request-id")
        if path == "/health":
            self._send(writer, 200, fields, b"", ["X-Instance-Id: " + self.id])
            return True
        if request is None:
            self._send(writer, 400, fields, b"", ["X-Not-Executed: 1"])
            return True
        if fields.get("x-expected-instance", self.id) != self.id:
            self._send(writer, 421, fields, b"", ["X-Not-Executed: 1"])
            return True
        async with self.busy:
            self.serial += 1
            work, size, fault = self.plan(path, self.serial)
            self.arrived[request] = (now(), path)
            record.add("run begins", server=self.node.name, id=request, method=method, path=path, body=len(body), caller=fields.get("x-caller-service"))
            end = now() + work
            while now() < end:
                if reader.at_eof() or writer.is_closing():
                    self.ended[request] = (now(), "dropped")
                    record.add("run dropped, connection closed", server=self.node.name, id=request)
                    return False
                await asyncio.sleep(min(0.01, max(end - now(), 0)))
            data = (request.encode() + b".") * (size // (len(request) + 1) + 1)
            data = data[:size]
            signature = ["X-Response-Signature: %s.%d" % (self.id, size)]
            if fault == "cut":
                lines = "HTTP/1.1 200 OK\r\nConnection: close\r\nX-Request-Id: %s\r\n%s\r\n\r\n" % (request, signature[0])
                writer.write(lines.encode() + data[:size // 2])
                await writer.drain()
                await asyncio.sleep(0.005)
                writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                writer.transport.abort()
                self.ended[request] = (now(), "cut")
                record.add("answer broken off", server=self.node.name, id=request, bytes=size // 2, of=size)
                return False
            self._send(writer, 200, fields, data, signature)
            await writer.drain()
            self.ended[request] = (now(), "answered")
            record.add("run answered", server=self.node.name, id=request, bytes=size)
            return True


class Sent:
    """One request of a client on one connection."""

    def __init__(self, request, path, connection, deadline_ms):
        self.id, self.path, self.connection, self.deadline_ms = request, path, connection, deadline_ms
        self.at = now()
        self.status = None  # of a complete answer
        self.answered_at = None
        self.closed_at = None  # the connection ended without a complete answer
        self.close_announced = False  # an answer before it had `Connection: close`


class Connection:
    """A kept connection of a client that may send further idempotent requests before the first is answered."""

    numbers = 0

    def __init__(self, mesh, node, host):
        Connection.numbers += 1
        self.number = Connection.numbers
        self.mesh, self.node, self.host = mesh, node, host
        self.waiting = []  # in the order of sending
        self.all = []
        self.closing = False  # an answer said `Connection: close`, or it has ended
        self.ended = None
        self.reader = self.writer = None

    async def open(self):
        self.reader, self.writer = await asyncio.wait_for(asyncio.open_connection(*self.mesh.outbound(self.node), limit=1 << 21), 1)
        self.task = asyncio.ensure_future(self._read())

    def send(self, method, path, deadline_ms, body=b""):
        request = "%016x" % self.mesh.random.getrandbits(64)
        it = Sent(request, path, self, deadline_ms)
        lines = ["%s %s HTTP/1.1" % (method, path), "Host: " + self.host, "X-Request-Id: " + request, "X-Deadline-Ms: %d" % deadline_ms]
        if method == "POST":
            lines.append("Content-Length: %d" % len(body))
        self.waiting.append(it)
        self.all.append(it)
        self.mesh.record.add("sent", machine=self.node.name, connection=self.number, id=request, method=method, path=path, body=len(body))
        self.writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
        return it

    async def _read(self):
        why = "closed"
        try:
            while True:
                start, fields = parse_head(await self.reader.readuntil(b"\r\n\r\n"))
                status = int(start.split()[1])
                if fields.get("connection", "").lower() == "close":
                    self.closing = True
                size = 0
                if "content-length" in fields:
                    left = int(fields["content-length"])
                    while left:
                        data = await self.reader.read(min(left, 1 << 16))
                        if not data:
                            raise asyncio.IncompleteReadError(b"", left)
                        left -= len(data)
                        size += len(data)
                else:
                    while True:
                        n = int((await self.reader.readuntil(b"\r\n")).split(b";")[0], 16)
                        await self.reader.readexactly(n + 2)
                        size += n
                        if n == 0:
                            break
                it = self.waiting.pop(0)
                it.status, it.answered_at = status, now()
                self.mesh.record.add("answered", connection=self.number, id=it.id, status=status, bytes=size,
                                     closes=self.closing, result=fields.get("appletally-result"))
                if self.closing:
                    break
        except (asyncio.IncompleteReadError, ConnectionError, OSError) as problem:
            why = "reset" if isinstance(problem, ConnectionResetError) else "closed"
        self.closing = True
        self.ended = now()
        for it in self.waiting:
            it.closed_at = self.ended
            self.mesh.record.add("connection ended without an answer", connection=self.number, id=it.id, how=why)
        self.writer.close()

    async def close(self):
        """By the client, which waits for no more answers."""
        self.task.cancel()
        self.writer.close()


def play(main, folder):
    """Runs a case. Exit status: 0 the rule held, 1 it was broken, 2 the case could not run."""
    record = Record(folder)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.add("begin", trouble=trouble)
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))  # through the case's `finally`, which ends its processes
    try:
        status = asyncio.run(asyncio.wait_for(main(record, trouble), 110))
    except (CannotRun, asyncio.TimeoutError) as problem:
        record.add("could not run", why=str(problem) or "too long")
        print("could not run: %s" % (str(problem) or "too long"))
        status = 2
    except Exception as problem:  # an error of the stand-ins says nothing of the system
        traceback.print_exc()
        record.add("could not run", why=repr(problem))
        status = 2
    record.close()
    return status
