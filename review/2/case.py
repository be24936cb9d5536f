"""Backends break off some of their downloads, while the same connections wait for a command that a sound backend runs."""
import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "lib"))
from mesh import Backend, Connection, Mesh, now, play  # noqa: E402

HOST = "ficu95.example"
COMMAND = "/pause-or-pay/"
DOWNLOAD = "/bake-sheet-pdf/"
CLIENTS = 22
GAP_S = 1.0  # 22 pairs of a command and a download a second; the site's sheet has 68.9 commands and 21.6 downloads a second
GARBLING = 1  # of three servers of the download's service; the largest share named is 0.6
EVERY = 20  # while it garbles it breaks off one answer in 20: an x of 0.05, the largest named for `unframed`
GARBLE_S = 5.0  # for_s of `unframed`
CALM_S = 4.0
TIMES = 8  # a disruption may come more than once
SPEEDS = [0.6, 1.0, 1.4]
MOST_LOST = 3  # rule LOST: "more than three times"


def configuration():
    def route(path, kind, service, timeout_ms, priority):
        return {"host": HOST, "path_prefix": path, "route_type": kind, "timeout_ms": timeout_ms, "target_latency_ms": 400,
                "priority": priority, "service": service, "max_attempts": 2}
    service = {"health_path": "/health", "max_connections": 110, "protocol": "h1", "tls": False}
    return {"version": 1,
            "routes": {"r-pay": route(COMMAND, "non_idempotent", "subscriptions", 1000, 1), "r-sheet": route(DOWNLOAD, "download", "bakehouse-catalogue", 800, 2)},
            "services": {"subscriptions": dict(service), "bakehouse-catalogue": dict(service)},
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}}


def command_plan(mesh, speed):
    """Work of 120 ms in the mean, spread 0.3, as the site file says."""
    return lambda path, serial: (min(mesh.random.lognormvariate(-0.045, 0.3) * 0.12, 0.88) / speed, 5000, None)


class Garbling:
    """Whether the disruption lasts at the moment, and how many answers it has met."""

    def __init__(self):
        self.on = False
        self.met = 0


def download_plan(mesh, garbling):
    """Work of 72 ms in the mean, spread 0.8; 600,000 of at most 1,700,000 bytes, as the site file says."""
    def plan(path, serial):
        work = min(mesh.random.lognormvariate(-0.32, 0.8) * 0.072, 0.43)
        garbling.met += garbling.on
        return work, 600000, "cut" if garbling.on and garbling.met % EVERY == 0 else None
    return plan


async def client(mesh, node, stop, connections):
    """One pair after the other on a kept connection: a command, and behind it a download."""
    it = None
    while now() < stop:
        if it is None or it.closing:
            try:
                it = Connection(mesh, node, HOST)
                await it.open()
                connections.append(it)
            except (OSError, asyncio.TimeoutError):
                it = None
                await asyncio.sleep(0.1)
                continue
        if not it.waiting:
            it.send("POST", COMMAND + "%d" % mesh.random.randrange(1000000), 1000, b"x" * 4000)
            await asyncio.sleep(0.02)
            if not it.closing:
                it.send("GET", DOWNLOAD + "%d" % mesh.random.randrange(1000000), 800)
        await asyncio.sleep(GAP_S * mesh.random.uniform(0.8, 1.2))


async def main(record, trouble):
    mesh = Mesh(record, "hlyab-mesh", ["subscriptions"] * 6 + ["bakehouse-catalogue"] * 3)
    try:
        mesh.start_all()
        garbling = []
        for n, node in enumerate(mesh.nodes):
            if node.service == "subscriptions":
                await Backend(mesh, node, command_plan(mesh, SPEEDS[n % len(SPEEDS)])).listen()
                continue
            it = Garbling()
            if len(garbling) < GARBLING:
                garbling.append(it)
                record.add("server that will break off answers", server=node.name)
            await Backend(mesh, node, download_plan(mesh, it)).listen()
        beats = [asyncio.ensure_future(b.beat()) for b in mesh.backends]
        await mesh.put_config(configuration(), 0)
        await mesh.wait_ready()
        await asyncio.sleep(4)
        connections = []
        stop = now() + TIMES * (GARBLE_S + CALM_S)
        clients = [asyncio.ensure_future(client(mesh, mesh.nodes[n % len(mesh.nodes)], stop, connections)) for n in range(CLIENTS)]
        for _ in range(TIMES):
            await asyncio.sleep(CALM_S)
            for it in garbling:
                it.on = trouble
            record.add("garbling begins" if trouble else "calm")
            await asyncio.sleep(GARBLE_S)
            for it in garbling:
                it.on = False
            record.add("garbling ends")
        await asyncio.gather(*clients)
        await asyncio.sleep(3)
        for it in beats:
            it.cancel()
        lost, commands, downloads, ran = [], 0, 0, 0
        for connection in connections:
            kept = False  # it has carried an answered request before
            for it in connection.all:
                command = it.path.startswith(COMMAND)
                commands += command
                downloads += not command
                passed_on = [b for b in mesh.backends if it.id in b.arrived]
                if command and kept and passed_on and it.closed_at is not None:
                    lost.append(it)
                    ended = passed_on[0].ended.get(it.id, (0, ""))
                    ran += ended[1] == "answered"
                    record.add("LOST", id=it.id, connection=connection.number, server=passed_on[0].node.name, run_ended=ended[1],
                               connection_ended_s=round(it.closed_at - it.at, 3))
                kept = kept or it.status is not None
        broken_off = sum(how == "cut" for b in mesh.backends for _, how in b.ended.values())
        text = "%d commands and %d downloads sent, %d answers broken off by their backends, %d commands passed on to a sound backend and lost with their connection, %d of them run to the end" % (
            commands, downloads, broken_off, len(lost), ran)
        record.add("result", text=text)
        print(text)
        if commands < 300:
            return 2
        return 1 if len(lost) > MOST_LOST else 0
    finally:
        mesh.end_all()


sys.exit(play(main, FOLDER))
