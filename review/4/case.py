"""A backend falls silent while calls wait for it, and comes back as a new process. Its node ends at the deadline of such a call."""
import asyncio

from standins import TROUBLE, Backend, Connection, Mesh, main, own_answer, record, route

HOST = "desk.example"
LEDGERS = 6  # one of them is a share of 0.167
SLOTS = 2
RUN_S = 0.8
DARK_S = 1.5
CONTACT_S = 3
BYSTANDERS = 6  # clients of the node with requests at another, sound backend
MIN_CYCLES = 3
LAST_CYCLE_MS = 80000
MAX_CLOSED = 3  # by the rule


async def case():
    mesh = Mesh(["front"] + ["ledger"] * LEDGERS)
    current = {}
    try:
        mesh.start()
        await mesh.all_cores_answer()
        await mesh.configure(1, 0, {"r-urgent": route(HOST, "/urgent/", "non_idempotent", "ledger", 8000, 3000, 0),
                                    "r-later": route(HOST, "/later/", "non_idempotent", "ledger", 8000, 6000, 3),
                                    "r-warm": route(HOST, "/warm/", "idempotent", "ledger", 2000, 500, 2),
                                    "r-form": route(HOST, "/form/", "non_idempotent", "front", 8000, 4000, 1)}, ["front", "ledger"])
        for n, node in enumerate(mesh.nodes):
            await incarnate(current, node, "i-%d-0" % n)
        await mesh.all_ready()
        broken = []
        cycle = 0
        while cycle < MIN_CYCLES or (TROUBLE and not broken and record.ms() < LAST_CYCLE_MS):
            broken += await one_cycle(mesh, current, cycle)
            cycle += 1
            if broken:
                break
        for it in mesh.nodes:
            record(it.name, "ended by itself", len(it.ends), "times:", it.ends)
        return broken
    finally:
        for it in current.values():
            it.stop()
        await mesh.stop()


async def incarnate(current, node, name):
    work = {"/urgent/": RUN_S, "/later/": RUN_S, "/warm/": 0.03, "/form/": 5.0}
    current[node] = Backend(node, node.service, name, slots=9 if node.service == "front" else SLOTS, work=lambda path: work["/%s/" % path.split("/")[1]])
    await current[node].start()


async def one_cycle(mesh, current, cycle):
    """What breaks the rule in this cycle."""
    target = mesh.nodes[1 + cycle % LEDGERS]
    entry = mesh.nodes[0]
    record("--- cycle", cycle, "at", target.name)

    async def all_serve():
        seen = {it: len(current[it].runs) for it in mesh.nodes[1:]}

        async def one(n):
            connection = await Connection(entry.outbound).open()
            await connection.request("GET", HOST, "/warm/%d" % n, "warm-%d-%f" % (n, record.ms()), 1000)
            connection.close()
        await asyncio.gather(*[one(n) for n in range(2 * LEDGERS)])
        return all(len(current[it].runs) > seen[it] for it in mesh.nodes[1:])
    await mesh.until("all backends serve", all_serve, 20)
    if cycle == 0:
        await asyncio.sleep(4)  # longer than contact_ms since the last start: all machines are in touch

    async def send(kind, n):
        name = "%s-%d-%d" % (kind, cycle, n)
        connection = await Connection((target if kind == "later" else entry).outbound).open()
        record("client sends", name)
        status, headers, body = await connection.request("POST", HOST, "/%s/%d" % (kind, n), name, 8000, b"x" * 200)
        record("client has", name, status, "own answer" if own_answer(headers) else "backend's answer", body[:100])
        connection.close()
    tasks = [asyncio.ensure_future(send("later", n)) for n in range(LEDGERS * SLOTS)]
    await asyncio.sleep(0.05)
    tasks += [asyncio.ensure_future(send("later", LEDGERS * SLOTS + n)) for n in range(4 * LEDGERS * SLOTS)]
    await asyncio.sleep(0.2)
    tasks += [asyncio.ensure_future(send("urgent", n)) for n in range(LEDGERS * SLOTS)]
    await asyncio.sleep(RUN_S)  # the first ones have ended, and the urgent ones run
    if TROUBLE:
        current[target].go_dark()
        await asyncio.sleep(DARK_S)
        await incarnate(current, target, "i-%s-%d" % (target.name, cycle + 1))
        await asyncio.sleep(CONTACT_S + 0.2)  # the node is in touch again, if the silence counts as a reset of its connections
    closed = []
    bystanders = [asyncio.ensure_future(it) for it in await bystander_requests(mesh, current, target, cycle, closed)]
    await asyncio.wait(tasks, timeout=12)
    await asyncio.gather(*bystanders)
    await asyncio.sleep(0.5)
    if len(closed) <= MAX_CLOSED:
        return []
    return ["LOST: %s closed %d kept connections without an answer, with requests that it had passed on to the sound backend %s: %s" % (target.name, len(closed), current[entry].id, ", ".join(closed))]


async def bystander_requests(mesh, current, target, cycle, closed):
    """Requests of other clients of `target` to the backend of another service, each on a connection that had one before."""
    sound = current[mesh.nodes[0]]
    connections = [await Connection(target.outbound).open() for _ in range(BYSTANDERS)]
    for n, it in enumerate(connections):
        await it.request("GET", HOST, "/warm/k%d" % n, "kept-%d-%d" % (cycle, n), 1000)

    async def one(n):
        name = "form-%d-%d" % (cycle, n)
        record("client of", target.name, "sends", name)
        status, headers, body = await connections[n].request("POST", HOST, "/form/%d" % n, name, 8000, b"x" * 200)
        record("client of", target.name, "has", name, status, "own answer" if own_answer(headers) else "backend's answer", body[:100])
        if status == 0 and any(run["id"] == name for run in sound.runs):
            closed.append(name)
        connections[n].close()
    return [one(n) for n in range(BYSTANDERS)]


main(case)
