"""A node is stopped as planned while it forwards payments; one of its clients sends a letter of 3 MB, within max_body_bytes."""
import asyncio
import os

from standins import TROUBLE, Backend, Connection, Mesh, main, own_answer, record, route

HOST = "desk.example"
PAYMENTS = 8
RUN_S = 1.5
LETTER_BYTES = int(os.environ.get("LETTER_BYTES", "3000000"))


async def case():
    mesh = Mesh(["front", "ledger", "ledger"])
    backends = []
    try:
        mesh.start()
        await mesh.all_cores_answer()
        await mesh.configure(1, 0, {"r-pay": route(HOST, "/pay/", "non_idempotent", "ledger"), "r-letter": route(HOST, "/letter/", "non_idempotent", "ledger"),
                                    "r-warm": route(HOST, "/warm/", "idempotent", "ledger")}, ["front", "ledger"])
        work = {"/pay/": RUN_S, "/letter/": 0.2, "/warm/": 0.01}
        for n, node in enumerate(mesh.nodes):
            backends.append(Backend(node, node.service, "i-%d" % n, slots=9, work=lambda path: work["/%s/" % path.split("/")[1]]))
            await backends[-1].start()
        await mesh.all_ready()
        return await stop_while_it_forwards(mesh, mesh.nodes[0], backends[1:])
    finally:
        for it in backends:
            it.stop()
        await mesh.stop()


async def stop_while_it_forwards(mesh, node, ledgers):
    async def serves():
        connection = await Connection(node.outbound).open()
        status, _, _ = await connection.request("GET", HOST, "/warm/0", "warm-%f" % record.ms(), 1000)
        connection.close()
        return status == 200
    await mesh.until("the first answer", serves)
    connections = [await Connection(node.outbound).open() for _ in range(PAYMENTS + 1)]
    for n, it in enumerate(connections):
        await it.request("GET", HOST, "/warm/%d" % n, "kept-%d" % n, 1000)
    await asyncio.sleep(4)  # longer than contact_ms since the last start: all machines are in touch

    stop = asyncio.ensure_future(node.terminate()) if TROUBLE else None
    await asyncio.sleep(0.2)
    answers = {}

    async def pay(n):
        name = "pay-%d" % n
        record("client sends", name)
        status, headers, body = await connections[n].request("POST", HOST, "/pay/%d" % n, name, 5000, b"x" * 200)
        answers[name] = (status, own_answer(headers), record.ms())
        record("client has", name, status, "own answer" if own_answer(headers) else "backend's answer", body[:120])

    def runs():
        return {run["id"]: run for it in ledgers for run in it.runs if run["path"].startswith("/pay/")}

    async def all_run():
        return len(runs()) == PAYMENTS
    payments = [asyncio.ensure_future(pay(n)) for n in range(PAYMENTS)]
    await mesh.until("all payments run", all_run, 3)
    record("client sends the letter with", LETTER_BYTES, "bytes")
    status, headers, body = await connections[PAYMENTS].request("POST", HOST, "/letter/0", "letter-0", 5000, b"y" * LETTER_BYTES)
    record("client has letter-0", status, "own answer" if own_answer(headers) else "backend's answer", body[:160])
    await asyncio.gather(*payments)
    await asyncio.sleep(RUN_S)  # the runs end
    if stop:
        await stop
    broken = []
    for name, (status, own, at) in sorted(answers.items()):
        run = runs()[name]
        if stop and own and status != 200 and run["at"] < at < run["end"] and run["how"] == "done":
            broken.append("LOST: %s was answered %d by the node at %.0f ms, while its backend was at work on it (%.0f to %.0f ms), after a SIGTERM of the node" % (name, status, at, run["at"], run["end"]))
    return broken


main(case)
