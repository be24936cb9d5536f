"""A backend deregisters, its node is killed and starts again, and then a heartbeat of the backend from before arrives late."""
import asyncio
import json

from standins import TROUBLE, Backend, Connection, Mesh, call, main, record, route

HOST = "desk.example"
DRAIN_MS = 2000
CLIENTS = 14
CONTACT_S = 3.0
SERVES_ON_S = 7.5  # after its acknowledgement, as backends do at times


async def case():
    mesh = Mesh(["front"] + ["ledger"] * 6)  # ten machines with the core: one of them is a share of 0.1
    backends = []
    try:
        mesh.start()
        await mesh.all_cores_answer()
        await mesh.configure(1, 0, {"r-read": route(HOST, "/read/", "idempotent", "ledger"), "r-pay": route(HOST, "/pay/", "non_idempotent", "ledger")}, ["front", "ledger"])
        for n, node in enumerate(mesh.nodes):
            backends.append(Backend(node, node.service, "i-%d" % n, slots=1, work=lambda path: 0.05))
            await backends[-1].start()
        await mesh.all_ready()
        return await leave_and_restart(mesh, backends[1])
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


async def leave_and_restart(mesh, leaving):
    sent, end = {}, asyncio.Event()
    traffic = asyncio.gather(*[clients(mesh, sent, end, n) for n in range(CLIENTS)])

    async def runs():
        return len(leaving.runs) >= 5
    await mesh.until("the backend serves", runs)
    await asyncio.sleep(4)
    leaving.beats.cancel()
    delayed = leaving.beat_body()  # sent now, held up on its way
    record("heartbeat of", leaving.id, "with sequence", delayed["sequence"], "is sent and held up")
    await asyncio.sleep(0.1)
    status = await leaving.deregister()
    acknowledged = record.ms()
    record("the node has acknowledged with", status, "that", leaving.id, "leaves")
    node = leaving.node
    await asyncio.sleep(0.2)
    if TROUBLE:
        await node.kill()
        await asyncio.sleep(0.3)
        node.start()
    started = record.ms()

    async def ready():
        return await node.ready()
    await mesh.until("the node is ready again", ready)
    await asyncio.sleep(CONTACT_S + 0.3 - (record.ms() - started) / 1000)
    status_late, _, _ = await call(node.control_plane, "POST", "/-/Instances.Heartbeat/" + leaving.id, {"Content-Type": "application/json"}, json.dumps(delayed).encode())
    record("the heartbeat with sequence", delayed["sequence"], "arrives", "%.0f" % (record.ms() - acknowledged), "ms after the acknowledgement ->", status_late)
    await asyncio.sleep(max(SERVES_ON_S - (record.ms() - acknowledged) / 1000, 1))
    in_touch = started + CONTACT_S * 1000
    late = [it for it in leaving.runs if it["at"] > acknowledged + DRAIN_MS and sent[it["id"]] > max(acknowledged + DRAIN_MS, in_touch)]
    end.set()
    await traffic
    record("requests at", leaving.id, "later than drain_ms after the acknowledgement:", len(late))
    if status != 200 or not late:
        return []
    return ["DRAIN: %d requests reached %s later than %d ms after the acknowledgement, the last one %.0f ms after it" % (len(late), leaving.id, DRAIN_MS, late[-1]["at"] - acknowledged)]


main(case)
