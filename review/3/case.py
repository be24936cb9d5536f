"""A node is stopped as planned while clients send further idempotent requests before the first is answered."""
import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "lib"))
from mesh import Backend, Connection, GRACE_S, Mesh, now, play  # noqa: E402

HOST = "ficu95.example"
PATH = "/meter-history/"
TIMEOUT_MS = 2000
DEADLINE_MS = 4000
CLIENTS = 2  # on each machine
GAP_S = 0.1667  # between two requests of one client: 108 requests a second in all; the site's sheet has 106
STOPPED = 9  # all machines, one after the other: a share of 1.0
ROLL_GAP_S = 2.0
SPEEDS = [0.5, 1.0, 1.0, 1.5]  # of the servers, as in the site file


def configuration():
    route = {"host": HOST, "path_prefix": PATH, "route_type": "idempotent", "timeout_ms": TIMEOUT_MS, "target_latency_ms": 600,
             "priority": 2, "service": "plugctl", "max_attempts": 2}
    service = {"health_path": "/health", "max_connections": 110, "protocol": "h1", "tls": False}
    return {"version": 1, "routes": {"r-meter": route}, "services": {"plugctl": dict(service), "berthview": dict(service)},
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}}


def plan_of(mesh, speed):
    """Work of 220 ms in the mean, spread 0.3, and one in a hundred three times as long, as the site file says."""
    def plan(path, serial):
        work = mesh.random.lognormvariate(-0.045, 0.3) * 0.22
        if mesh.random.random() < 0.01:
            work *= 3
        return min(work, 1.3) / speed, 400, None
    return plan


async def client(mesh, home, stop, connections):
    """Keeps one connection to its own machine, or to another one while that is out of use."""
    it = None
    while not stop.is_set():
        if it is None or it.closing:
            ready = [node for node in mesh.nodes if node.in_use]
            at = home if home.in_use or not ready else mesh.random.choice(ready)
            try:
                it = Connection(mesh, at, HOST)
                await it.open()
                connections.append(it)
            except (OSError, asyncio.TimeoutError):
                it = None
                await asyncio.sleep(0.1)
                continue
        if len(it.waiting) < 8:
            it.send("GET", PATH + "%d" % mesh.random.randrange(1000000), DEADLINE_MS)
        await asyncio.sleep(GAP_S * mesh.random.uniform(0.5, 1.5))


def lost_requests(mesh, connections, node, term_at):
    """Rule LOST around planned work: read whole, passed on to a backend, and the connection ended without a complete answer."""
    out = []
    for connection in connections:
        if connection.node is not node:
            continue
        for it in connection.all:
            if it.closed_at is None or it.closed_at < term_at or not term_at <= it.at <= term_at + GRACE_S + 1:
                continue
            runs = [b for b in mesh.backends if it.id in b.arrived]
            if not runs:
                continue  # not passed on
            if it.closed_at - it.at >= min(TIMEOUT_MS, DEADLINE_MS) / 1000:
                continue  # the deadline or the route's timeout was reached
            last_sixth = term_at + GRACE_S * 5 / 6
            at_work = any(b.ended.get(it.id, (it.closed_at, ""))[0] >= last_sixth for b in runs)
            if at_work and it.at <= term_at + 3:
                continue
            out.append((it, runs[0].arrived[it.id][0]))
    return out


async def main(record, trouble):
    mesh = Mesh(record, "mvs-berthgrid", ["plugctl"] * 6 + ["berthview"] * 3)
    try:
        mesh.start_all()
        for n, node in enumerate(mesh.nodes):
            await Backend(mesh, node, plan_of(mesh, SPEEDS[n % len(SPEEDS)])).listen()
        beats = [asyncio.ensure_future(b.beat()) for b in mesh.backends]
        await mesh.put_config(configuration(), 0)
        await mesh.wait_ready()
        watch = asyncio.ensure_future(mesh.watch_ready())
        await asyncio.sleep(4)  # calm for contact_ms before the planned work
        connections = []
        stop = asyncio.Event()
        clients = [asyncio.ensure_future(client(mesh, node, stop, connections)) for node in mesh.nodes for _ in range(CLIENTS)]
        await asyncio.sleep(4)
        stops = []
        for node in mesh.nodes[:STOPPED]:
            stops.append((node, now()))
            if trouble:
                await mesh.terminate(node)
                mesh.start(node)
            else:
                await asyncio.sleep(GRACE_S / 2)
            await asyncio.sleep(ROLL_GAP_S)
        stop.set()
        await asyncio.gather(*clients)
        await asyncio.sleep(2.5)
        for it in [watch] + beats:
            it.cancel()
        lost = [(node, at, it) for node, at in stops for it in lost_requests(mesh, connections, node, at)]
        requests = [it for c in connections for it in c.all]
        answered = sum(it.status == 200 for it in requests)
        for node, at, (it, began) in lost:
            record.add("LOST", id=it.id, machine=node.name, connection=it.connection.number, sent_after_sigterm_s=round(it.at - at, 3),
                       run_began_s=round(began - it.at, 3), connection_ended_s=round(it.closed_at - it.at, 3))
        text = "%d requests sent, %d answered 200, %d passed on to a backend and lost with their connection around %d planned stops" % (
            len(requests), answered, len(lost), STOPPED if trouble else 0)
        record.add("result", text=text)
        print(text)
        if answered < 500:
            print("too few answers to judge")
            return 2
        return 1 if lost else 0
    finally:
        mesh.end_all()


sys.exit(play(main, FOLDER))
