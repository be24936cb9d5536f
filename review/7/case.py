"""A heartbeat of another writer, with a field missing and one of another type, arrives before a backend says that it leaves."""
import asyncio
import json

from standins import TROUBLE, Backend, Connection, Mesh, call, main, record, route

HOST = "desk.example"
DRAIN_MS = 2000
CLIENTS = 8
SERVES_ON_S = 6  # after its acknowledgement, as backends do at times


async def case():
    mesh = Mesh(["front", "ledger", "ledger"])
    backends = []
    try:
        mesh.start()
        await mesh.all_cores_answer()
        await mesh.configure(1, 0, {"r-read": route(HOST, "/read/", "idempotent", "ledger"), "r-pay": route(HOST, "/pay/", "non_idempotent", "ledger")}, ["front", "ledger"])
        for n, node in enumerate(mesh.nodes):
            backends.append(Backend(node, node.service, "i-%d" % n, slots=3, work=lambda path: 0.05))
            await backends[-1].start()
        await mesh.all_ready()
        return await leave_after_foreign_heartbeat(mesh, backends[1])
    finally:
        for it in backends:
            it.stop()
        await mesh.stop()


async def clients(mesh, sent, end, first):
    """One client: in turn a read and a payment, each 50 ms after the last answer."""
    connection = await Connection(mesh.nodes[0].outbound).open()
    n = first * 100000
    while not end.is_set():
        method, path = ("GET", "/read/%d") if n % 2 == 0 else ("POST", "/pay/%d")
        name = "r-%d" % n
        sent[name] = record.ms()
        status, _, _ = await connection.request(method, HOST, path % n, name, 2000)
        record("client has", name, status)
        if status == 0:
            connection.close()
            connection = await Connection(mesh.nodes[0].outbound).open()
        await asyncio.sleep(0.05)
        n += 1
    connection.close()


async def leave_after_foreign_heartbeat(mesh, leaving):
    sent, end = {}, asyncio.Event()
    traffic = asyncio.gather(*[clients(mesh, sent, end, n) for n in range(CLIENTS)])

    async def runs():
        return len(leaving.runs) >= 5
    await mesh.until("the backend serves", runs)
    await asyncio.sleep(4)  # longer than contact_ms since the last start: all machines are in touch
    if TROUBLE:
        body = {**leaving.beat_body(), "sequence": 1000, "cold_remaining_ms": "none"}
        leaving.sequence -= 1  # it isn't the backend's own
        del body["zone"]
        status, _, _ = await call(leaving.node.control_plane, "POST", "/-/Instances.Heartbeat/" + leaving.id, {"Content-Type": "application/json"}, json.dumps(body).encode())
        record("heartbeat of another writer under the id", leaving.id, json.dumps(body), "->", status)
        await asyncio.sleep(0.5)
    status = await leaving.drain()
    acknowledged = record.ms()
    record("the node has acknowledged with", status, "that", leaving.id, "is draining")
    await asyncio.sleep(SERVES_ON_S)
    late = [it for it in leaving.runs if it["at"] > acknowledged + DRAIN_MS and sent[it["id"]] > acknowledged + DRAIN_MS]
    end.set()
    await traffic
    record("requests at", leaving.id, "later than drain_ms after the acknowledgement:", len(late))
    if status != 200 or not late:
        return []
    return ["DRAIN: %d requests reached %s later than %d ms after the acknowledgement, the last one %.0f ms after it" % (len(late), leaving.id, DRAIN_MS, late[-1]["at"] - acknowledged)]


main(case)
