"""Stand-ins for one small deployment on loopback: platform, operator, backends and clients, by the users' pages.

The project's programs run as separate processes, started with the words of deploy/system.toml. Every machine has an address
of its own in 127.0.0.0/8. All that is sent, answered and run is written to the record.
"""
import asyncio
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
import traceback

HERE = os.path.dirname(os.path.abspath(__file__))
ROOT = os.path.dirname(os.path.dirname(HERE))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
BEAT_S = 1.5
GRACE_S = 6.0
BOUNDS = {"seed_lag_s": 3, "addr_reuse_s": 2, "contact_ms": 3000, "ack_ms": 4000, "catch_up_s": 4, "drain_ms": 2000, "grace_s": 6,
          "loss_slack_ms": 200, "config_apply_ms": 2000, "rollback_slack_ms": 250, "max_stretch_ms": 5000, "retry_budget_ratio": 0.2,
          "budget_window_s": 10, "retry_budget_extra": 56, "canary_share": 0.1, "canary_slack": 50, "rollback_ms": 5000, "recovery_s": 15}


class CannotRun(Exception):
    """The case could not be set up; says nothing about the rule."""


class Record:
    def __init__(self):
        self.file = open(os.path.join(HERE, "record.txt"), "w")
        self.begun = time.monotonic()

    def ms(self):
        return (time.monotonic() - self.begun) * 1000

    def __call__(self, *words):
        self.file.write("%9.1f %s\n" % (self.ms(), " ".join(str(it) for it in words)))
        self.file.flush()


record = Record()


# --- HTTP/1.1 ---

async def read_head(reader):
    """Start line and header fields (names in lower case); None if the connection ended before a head."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = raw.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers, until_close=False):
    if headers.get("transfer-encoding", "").lower() == "chunked":
        out = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            out += (await reader.readexactly(size + 2))[:size]
            if size == 0:
                return out
    if "content-length" in headers:
        return await reader.readexactly(int(headers["content-length"]))
    return await reader.read() if until_close else b""


class Connection:
    """A client's connection to a node; one request at a time."""

    def __init__(self, address):
        self.address = address
        self.reader = self.writer = None

    async def open(self):
        self.reader, self.writer = await asyncio.wait_for(asyncio.open_connection(*self.address, limit=1 << 20), 1)
        return self

    def close(self):
        if self.writer:
            self.writer.close()

    async def request(self, method, host, path, request_id, deadline_ms, body=b""):
        """Returns (status, headers, body), or (0, {}, text) for an answer that did not come or is not complete."""
        head = "%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n" % (method, path, host, request_id, deadline_ms)
        if body or method == "POST":
            head += "Content-Length: %d\r\n" % len(body)

        async def exchange():
            self.writer.write(head.encode() + b"\r\n" + body)
            await self.writer.drain()
            answer = await read_head(self.reader)
            if answer is None:
                return 0, {}, b"the connection ended"
            status = int(answer[0].split()[1])
            return status, answer[1], await read_body(self.reader, answer[1], True)

        try:
            return await asyncio.wait_for(exchange(), deadline_ms / 1000 + 1)
        except asyncio.TimeoutError:
            return 0, {}, b"no answer"
        except (ConnectionError, asyncio.IncompleteReadError) as problem:
            return 0, {}, repr(problem).encode()


async def call(address, method, path, headers=None, body=b"", timeout=1.0):
    """One call of the platform, a backend or the operator, on a new connection. Status 0: no answer."""
    async def exchange():
        reader, writer = await asyncio.open_connection(*address)
        try:
            lines = ["%s %s HTTP/1.1" % (method, path), "Host: %s:%d" % address, "Connection: close", "Content-Length: %d" % len(body)]
            lines += ["%s: %s" % it for it in (headers or {}).items()]
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
            head = await read_head(reader)
            if head is None:
                return 0, {}, b""
            return int(head[0].split()[1]), head[1], await read_body(reader, head[1], True)
        finally:
            writer.close()
    try:
        return await asyncio.wait_for(exchange(), timeout)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
        return 0, {}, b""


# --- Backends ---

class Backend:
    """One incarnation of a sound backend."""

    def __init__(self, node, service, name, slots=4, version="v1", work=None, address=None):
        self.node = node
        self.service = service
        self.id = name
        self.slots = slots
        self.version = version
        self.work = work or (lambda path: 0.05)  # seconds by path
        self.address = address or node.app  # where it listens
        self.state = "ready"
        self.sequence = 0
        self.born = int(time.time() * 1000)
        self.running = 0
        self.waiting = 0
        self.slot = asyncio.Condition()
        self.runs = []  # of each run: dict with id, path, at, end, how
        self.server = None
        self.tasks = set()
        self.beats = None
        self.dark = False
        self.writers = set()

    async def start(self, beats=True):
        # The socket outlives this incarnation, so that the address answers nothing while the backend is dark.
        if self.node.app_socket is None:
            self.node.app_socket = socket.create_server(self.address, backlog=100)
        self.server = await asyncio.start_server(self.serve, sock=self.node.app_socket.dup(), limit=1 << 20)
        record("backend", self.id, "of", self.service, "listens beside", self.node.name)
        if beats:
            self.beats = asyncio.ensure_future(self.send_beats())

    def stop(self):
        if self.beats:
            self.beats.cancel()
        if self.server:
            self.server.close()
        for it in list(self.writers):
            it.transport.abort()
        for it in list(self.tasks):
            it.cancel()

    def go_dark(self):
        """Ends without a word: its connections stay open and silent."""
        record("backend", self.id, "is dark with", self.running, "runs")
        self.dark = True
        if self.beats:
            self.beats.cancel()
        self.server.close()
        for it in list(self.tasks):
            it.cancel()

    def beat_body(self):
        self.sequence += 1
        return {"service": self.service, "address": "%s:%d" % self.node.app, "zone": self.node.zone, "version": self.version,
                "max_concurrency": self.slots, "state": self.state, "cold_remaining_ms": 0, "sequence": self.sequence, "born": self.born}

    async def beat(self):
        body = self.beat_body()
        status, _, _ = await call(self.node.control_plane, "POST", "/-/Instances.Heartbeat/" + self.id, {"Content-Type": "application/json"}, json.dumps(body).encode())
        record("heartbeat of", self.id, "state", body["state"], "sequence", body["sequence"], "->", status)
        return status

    async def send_beats(self):
        while True:
            await self.beat()
            await asyncio.sleep(BEAT_S)

    async def drain(self):
        self.state = "draining"
        return await self.beat()

    async def deregister(self):
        if self.beats:
            self.beats.cancel()
        status, _, _ = await call(self.node.control_plane, "POST", "/-/Instances.Deregister/" + self.id, {"Content-Type": "application/json"}, json.dumps({"born": self.born}).encode())
        record("deregistration of", self.id, "->", status)
        return status

    async def serve(self, reader, writer):
        task = asyncio.current_task()
        self.tasks.add(task)
        self.writers.add(writer)
        try:
            while True:
                try:
                    head = await asyncio.wait_for(read_head(reader), 10)
                except asyncio.TimeoutError:
                    return
                if head is None:
                    return
                try:
                    body = await read_body(reader, head[1])
                except (asyncio.IncompleteReadError, ConnectionError):
                    return
                if not await self.answer(head, body, reader, writer):
                    return
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.tasks.discard(task)
            if not self.dark:
                self.writers.discard(writer)
                writer.close()

    @staticmethod
    async def reply(writer, status, headers, body=b""):
        lines = ["HTTP/1.1 %d X" % status, "Content-Length: %d" % len(body), "Keep-Alive: timeout=10"]
        lines += ["%s: %s" % it for it in headers.items()]
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
        await writer.drain()
        return True

    async def answer(self, head, body, reader, writer):
        line, headers = head
        method, path, _ = line.split(" ", 2)
        request_id = headers.get("x-request-id")
        if path == "/health":
            return await self.reply(writer, 200 if self.state == "ready" else 503, {"X-Instance-Id": self.id})
        if not request_id:
            return await self.reply(writer, 400, {"X-Not-Executed": "1"})
        echo = {"X-Request-Id": request_id}
        if headers.get("x-expected-instance", self.id) != self.id:
            record("backend", self.id, "got", request_id, "for", headers["x-expected-instance"], "-> 421")
            return await self.reply(writer, 421, {**echo, "X-Instance-Id": self.id})
        arrived = time.monotonic()
        limit = int(headers.get("x-deadline-ms", "60000")) / 1000
        if self.running >= self.slots and self.waiting >= 4 * self.slots:
            return await self.reply(writer, 503, {**echo, "X-Not-Executed": "1"})
        self.waiting += 1
        async with self.slot:
            try:
                await asyncio.wait_for(self.slot.wait_for(lambda: self.running < self.slots), limit)
            except asyncio.TimeoutError:
                self.waiting -= 1
                return await self.reply(writer, 503, {**echo, "X-Not-Executed": "1"})
            self.waiting -= 1
            self.running += 1
        run = {"id": request_id, "path": path, "at": record.ms(), "end": None, "how": "running", "caller": headers.get("x-caller-service"), "bytes": len(body)}
        self.runs.append(run)
        record("backend", self.id, "begins", request_id, method, path, "with", len(body), "bytes, for", headers.get("x-caller-service"))
        work = asyncio.ensure_future(asyncio.sleep(self.work(path)))
        gone = asyncio.ensure_future(self.ended(reader))
        try:
            await asyncio.wait({work, gone}, timeout=max(limit - (time.monotonic() - arrived), 0), return_when=asyncio.FIRST_COMPLETED)
            run["how"] = "done" if work.done() else ("dropped: its connection closed" if gone.done() else "deadline")
        finally:
            run["end"] = record.ms()
            done, left = work.done() and not work.cancelled(), gone.done() and not gone.cancelled()
            if self.dark:
                run["how"] = "lost in the dark"
            work.cancel()
            gone.cancel()
            async with self.slot:
                self.running -= 1
                self.slot.notify_all()
            record("backend", self.id, "ends", request_id, run["how"])
        if left and not done:
            return False
        signed = {**echo, "X-Response-Signature": "sig.%s.%s" % (self.id, request_id)}
        return await self.reply(writer, 200 if done else 504, signed, b"answer to %s\n" % request_id.encode())

    @staticmethod
    async def ended(reader):
        while not reader.at_eof() and reader.exception() is None:
            await asyncio.sleep(0.01)


# --- Machines and their processes ---

class Machine:
    def __init__(self, mesh, name, zone, ip):
        self.mesh = mesh
        self.name = name
        self.zone = zone
        self.ip = ip
        self.process = None
        self.log = None
        self.ends = []  # how the process ended by itself: (ms, exit code)
        self.stopping = False

    def start(self):
        path = os.path.join(self.mesh.folder, self.name + ".json")
        with open(path, "w") as out:
            json.dump(self.settings(), out)
        command = self.run.split()[:-1] + [path]
        command[0] = os.path.join(ROOT, command[0])
        self.log = open(os.path.join(self.mesh.folder, self.name + ".log"), "ab")
        self.process = subprocess.Popen(command, stdout=self.log, stderr=self.log, stdin=subprocess.DEVNULL, cwd=ROOT,
                                        env={it: os.environ[it] for it in ("PATH", "HOME", "LANG") if it in os.environ})
        self.stopping = False
        record("platform starts", self.name, "pid", self.process.pid)

    def signal(self, number):
        if self.process and self.process.poll() is None:
            record("platform sends", signal.Signals(number).name, "to", self.name)
            self.process.send_signal(number)

    async def kill(self):
        self.stopping = True
        self.signal(signal.SIGKILL)
        while self.process.poll() is None:
            await asyncio.sleep(0.005)

    async def terminate(self):
        """SIGTERM, then SIGKILL after the grace period."""
        self.stopping = True
        self.signal(signal.SIGTERM)
        end = time.monotonic() + GRACE_S
        while self.process.poll() is None and time.monotonic() < end:
            await asyncio.sleep(0.02)
        if self.process.poll() is None:
            self.signal(signal.SIGKILL)
            self.process.wait()
        record(self.name, "has ended with", self.process.returncode)

    async def watch(self):
        """Starts the process again after it ended by itself."""
        while True:
            await asyncio.sleep(0.02)
            if self.process and self.process.poll() is not None and not self.stopping:
                self.ends.append((record.ms(), self.process.returncode))
                record("OWN END:", self.name, "pid", self.process.pid, "ended by itself with", self.process.returncode)
                await asyncio.sleep(0.3)
                self.start()

    def common(self, role, machine_class):
        mesh = self.mesh
        return {"node_id": self.name, "role": role, "machine_class": machine_class, "ip": self.ip, "zone": self.zone, "region": "r",
                "internal_port_range": [mesh.inner_port, mesh.inner_port + 15], "seed_nodes": ["%s:%d" % (it.ip, mesh.control_port) for it in mesh.cores[:3]],
                "bootstrap": mesh.bootstrap, "discovery": "static", "entry_mode": "static", "heartbeat_ms": int(BEAT_S * 1000),
                "contracts": ["base", "drain", "config", "cost", "retry", "recover", "rollout"], "zones": {it: "r" for it in mesh.zones},
                "fault_tolerance": {"machines": 1, "zones": 0, "regions": 0}, "bounds": BOUNDS}


class Core(Machine):
    @property
    def run(self):
        return self.mesh.roles["control"]["run"]

    def settings(self):
        data = os.path.join(self.mesh.folder, self.name + ".data")
        os.makedirs(data, exist_ok=True)
        return {**self.common("control", "core"), "serves": ["control"], "in_fault_budget": True, "data_dir": data,
                "bind_addresses": {"control_plane": "%s:%d" % (self.ip, self.mesh.control_port)},
                "limits": {"cpu_share": 0.075, "cpu_cores": 1, "memory_mb": 256, "max_fds": 4096, "link_mbps": 170.0, "disk_mb": 256}}


class Node(Machine):
    service = ""
    app_socket = None  # of its backend

    @property
    def run(self):
        return self.mesh.roles["node"]["run"]

    @property
    def app(self):
        return self.ip, self.mesh.app_port

    @property
    def outbound(self):
        return self.ip, self.mesh.outbound_port

    @property
    def control_plane(self):
        return self.ip, self.mesh.control_port

    def settings(self):
        mesh = self.mesh
        return {**self.common("node", "sidecar"), "serves": ["sidecar"], "in_fault_budget": False, "app_address": "%s:%d" % self.app, "service": self.service,
                "bind_addresses": {"inbound": "%s:%d" % (self.ip, mesh.inbound_port), "outbound": "%s:%d" % self.outbound,
                                   "ready_address": "%s:%d" % (self.ip, mesh.ready_port), "control_plane": "%s:%d" % self.control_plane},
                "limits": {"cpu_share": 0.2, "cpu_cores": 1, "memory_mb": mesh.memory_mb, "max_fds": 4100, "link_mbps": 1000.0, "disk_mb": 0}}

    async def ready(self):
        status, _, _ = await call((self.ip, self.mesh.ready_port), "GET", "/-/ready")
        return status == 200


class Mesh:
    """Three core machines, and a sidecar machine for each service in `services`."""

    memory_mb = 260  # of a sidecar machine

    def __init__(self, services):
        with open(os.path.join(ROOT, "deploy/system.toml"), "rb") as file:
            self.roles = tomllib.load(file)["roles"]
        if not os.access(os.path.join(ROOT, self.roles["node"]["run"].split()[0]), os.X_OK):
            raise CannotRun("the programs are not built")
        self.folder = tempfile.mkdtemp(prefix="appletally-review-")
        self.bootstrap = True
        self.zones = ["zone-a", "zone-b", "zone-c"]
        ips = self.free_addresses(3 + len(services))
        self.inner_port, self.control_port, self.app_port, self.inbound_port, self.outbound_port, self.ready_port = self.free_ports(ips)
        self.cores = [Core(self, "core-%d" % n, self.zones[n % 3], ips[n]) for n in range(3)]
        self.nodes = [Node(self, "node-%d" % n, self.zones[n % 3], ips[3 + n]) for n in range(len(services))]
        for node, service in zip(self.nodes, services):
            node.service = service
        self.tasks = []

    @staticmethod
    def free_addresses(count):
        chosen = random.SystemRandom()
        for _ in range(100):
            net = "127.%d.%d." % (chosen.randrange(10, 250), chosen.randrange(1, 250))
            ips = [net + str(n + 1) for n in range(count)]
            if Mesh.are_free([(ip, 9464) for ip in ips]):
                return ips
        raise CannotRun("no free loopback addresses")

    @staticmethod
    def are_free(addresses):
        for it in addresses:
            probe = socket.socket()
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind(it)
            except OSError:
                return False
            finally:
                probe.close()
        return True

    @staticmethod
    def free_ports(ips):
        chosen = random.SystemRandom()
        for _ in range(100):
            base = chosen.randrange(12000, 28000)
            ports = [base, base + 16, base + 17, base + 18, base + 19, base + 20]
            if Mesh.are_free([(ip, port) for ip in ips for port in ports + [base + 1]]):
                return ports
        raise CannotRun("no free ports")

    def start(self):
        for it in self.cores + self.nodes:
            it.start()
            self.tasks.append(asyncio.ensure_future(it.watch()))

    async def stop(self):
        for it in self.tasks:
            it.cancel()
        for it in self.cores + self.nodes:
            if it.process and it.process.poll() is None:
                it.process.kill()
                it.process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)

    async def operator(self, method, path, headers=None, body=b"", seconds=15):
        """Resends until there is a clear answer, at any control process."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            for core in self.cores:
                address = (core.ip, self.control_port)
                for _ in range(3):
                    status, fields, answer = await call(address, method, path, headers, body)
                    if status != 307:
                        break
                    host, port = fields["location"].split("/")[2].split(":")
                    address = (host, int(port))
                record("operator", method, path, "at", core.name, "->", status)
                if status in (200, 400, 409, 412, 413, 422):
                    return status, answer
            await asyncio.sleep(0.2)
        raise CannotRun("no answer to the operator's " + path)

    async def configure(self, version, base, routes, services):
        config = {"version": version, "routes": routes,
                  "services": {it: {"health_path": "/health", "max_connections": 110, "protocol": "h1", "tls": False} for it in services},
                  "limits": {"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}}
        status, answer = await self.operator("POST", "/-/Config.Put", {"X-Base-Version": str(base), "Content-Type": "application/json"}, json.dumps(config).encode())
        if status != 200:
            raise CannotRun("the configuration was refused: %d %r" % (status, answer))

    async def until(self, what, condition, seconds=20):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if await condition():
                return
            await asyncio.sleep(0.05)
        raise CannotRun("timed out: " + what)

    async def all_cores_answer(self):
        async def leads():
            for core in self.cores:
                status, _, _ = await call((core.ip, self.control_port), "GET", "/-/Config.Get")
                if status == 404:  # the leader has no configuration yet
                    return True
            return False
        await self.until("a leader", leads)

    async def all_ready(self):
        async def ready():
            return all([await it.ready() for it in self.nodes])
        await self.until("all nodes ready", ready)


def route(host, prefix, kind, service, timeout_ms=5000, target_ms=1000, priority=1, attempts=2):
    return {"host": host, "path_prefix": prefix, "route_type": kind, "timeout_ms": timeout_ms, "target_latency_ms": target_ms, "priority": priority,
            "service": service, "max_attempts": attempts}


def own_answer(headers):
    """The answer is the system's own, not a backend's."""
    return "x-response-signature" not in headers


def main(case):
    """Runs the case. Exit code 1: the rule was broken; 0: it held; 2: the case could not run."""
    async def run():
        try:
            broken = await asyncio.wait_for(case(), 110)
        except CannotRun as problem:
            record("cannot run:", problem)
            print("cannot run:", problem)
            return 2
        except asyncio.TimeoutError:
            record("cannot run: it took too long")
            return 2
        except Exception as problem:  # of a stand-in; says nothing about the rule
            record("cannot run:", repr(problem))
            traceback.print_exc()
            return 2
        for it in broken:
            record("BROKEN:", it)
            print("broken:", it)
        record("the rule was broken" if broken else "the rule held")
        print("the rule was broken" if broken else "the rule held")
        return 1 if broken else 0
    raise SystemExit(asyncio.run(run()))
