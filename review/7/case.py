"""A client sends a body within max_body_bytes, and the platform's memory limit ends the node."""
import asyncio

from standins import TROUBLE, Backend, Connection, Mesh, main, own_answer, record, route

HOST = "desk.example"
MEMORY_MB = 110  # of a sidecar machine of the Hlyab deployment
UPLOAD_BYTES = 40_000_000 if TROUBLE else 100_000
BYSTANDERS = 6  # other clients of the node, with requests at a sound backend
MAX_CLOSED = 3  # by the rule


async def case():
    mesh = Mesh(["front", "ledger", "ledger"])
    backends = []
    try:
        mesh.memory_mb = MEMORY_MB
        mesh.start()
        mesh.tasks += [asyncio.ensure_future(keep_memory_limit(it)) for it in mesh.nodes]
        await mesh.all_cores_answer()
        await mesh.configure(1, 0, {"r-pay": route(HOST, "/pay/", "non_idempotent", "ledger"), "r-letter": route(HOST, "/letter/", "non_idempotent", "ledger"),
                                    "r-warm": route(HOST, "/warm/", "idempotent", "ledger")}, ["front", "ledger"])
        work = {"/pay/": 2.5, "/letter/": 0.2, "/warm/": 0.01}
        for n, node in enumerate(mesh.nodes):
            backends.append(Backend(node, node.service, "i-%d" % n, slots=9, work=lambda path: work["/%s/" % path.split("/")[1]]))
            await backends[-1].start()
        await mesh.all_ready()
        return await upload_beside_payments(mesh, mesh.nodes[0], backends[1:])
    finally:
        for it in backends:
            it.stop()
        await mesh.stop()


async def keep_memory_limit(machine):
    """The platform kills a process that uses more than memory_mb."""
    peak = 0
    while True:
        await asyncio.sleep(0.002)
        process = machine.process
        if process is None or process.poll() is not None:
            peak = 0
            continue
        try:
            with open("/proc/%d/statm" % process.pid) as file:
                used = int(file.read().split()[1]) * 4096 / 1e6
        except (OSError, IndexError):
            continue
        if used > peak + 10:
            peak = used
            record(machine.name, "uses %.0f MB" % used)
        if used > MEMORY_MB:
            record("platform kills", machine.name, "which uses %.0f of %d MB" % (used, MEMORY_MB))
            process.kill()


async def upload_beside_payments(mesh, node, ledgers):
    async def serves():
        connection = await Connection(node.outbound).open()
        status, _, _ = await connection.request("GET", HOST, "/warm/0", "warm-%f" % record.ms(), 1000)
        connection.close()
        return status == 200
    await mesh.until("the first answer", serves)
    connections = [await Connection(node.outbound).open() for _ in range(BYSTANDERS + 1)]
    for n, it in enumerate(connections):
        await it.request("GET", HOST, "/warm/%d" % n, "kept-%d" % n, 1000)
    await asyncio.sleep(4)  # longer than contact_ms since the last start: all machines are in touch
    answers = {}

    async def pay(n):
        name = "pay-%d" % n
        record("client sends", name)
        status, headers, body = await connections[n].request("POST", HOST, "/pay/%d" % n, name, 5000, b"x" * 200)
        answers[name] = status
        record("client has", name, status, "own answer" if own_answer(headers) else "backend's answer", body[:120])

    def runs():
        return {run["id"] for it in ledgers for run in it.runs if run["path"].startswith("/pay/")}

    async def all_run():
        return len(runs()) == BYSTANDERS
    payments = [asyncio.ensure_future(pay(n)) for n in range(BYSTANDERS)]
    await mesh.until("all payments run", all_run, 3)
    record("another client sends a letter with", UPLOAD_BYTES, "bytes")
    status, headers, body = await connections[BYSTANDERS].request("POST", HOST, "/letter/0", "letter-0", 5000, b"y" * UPLOAD_BYTES)
    record("client has letter-0", status, "own answer" if own_answer(headers) else "backend's answer", body[:160])
    await asyncio.gather(*payments)
    await asyncio.sleep(1)
    for it in mesh.nodes:
        record(it.name, "was ended", len(it.ends), "times:", it.ends)
    closed = sorted(name for name, status in answers.items() if status == 0)
    if len(closed) <= MAX_CLOSED:
        return []
    return ["LOST: %s closed %d kept connections without an answer, with requests that it had passed on to sound backends: %s" % (node.name, len(closed), ", ".join(closed))]


main(case)
