"""A configuration takes a service out while a roll-out of it runs; later all processes of the core are killed at once."""
import asyncio
import json
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "lib"))
from mesh import Backend, CannotRun, Mesh, call, now, play  # noqa: E402

HOST = "ficu95.example"
RECOVERY_S = 15  # recovery_s of the site
CONTACT_S = 3  # contact_ms: the operator reads for at least as long
STORM = 12  # further configurations, as in the site's config_storm: one each 0.33 s for 4 s
GAP_S = 0.33
DOWN_S = 0.6  # "back within a second"


def configuration(version, timeout_ms, with_view):
    """Until the service is taken out, two routes lead to it; then they lead to the other one."""
    def route(path, kind, service):
        return {"host": HOST, "path_prefix": path, "route_type": kind, "timeout_ms": timeout_ms, "target_latency_ms": 600, "priority": 1,
                "service": service, "max_attempts": 2}
    service = {"health_path": "/health", "max_connections": 110, "protocol": "h1", "tls": False}
    view = "berthview" if with_view else "plugctl"
    out = {"version": version,
           "routes": {"r-meter": route("/meter-history/", "idempotent", "plugctl"), "r-switch": route("/plug-switch/", "non_idempotent", "plugctl"),
                      "r-status": route("/berth-status/", "idempotent", view), "r-archive": route("/consumption-archive/", "download", view)},
           "services": {"plugctl": dict(service)},
           "limits": {"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}}
    if with_view:
        out["services"]["berthview"] = dict(service)
    return out


async def read_back(mesh, record, seconds):
    """What the operator reads until `seconds` have passed: (status, body) of the last clear answer."""
    end = now() + seconds
    last = (0, None)
    seen = None
    while now() < end:
        status, data = await mesh.operate("GET", "/-/Config.Get")
        version = json.loads(data).get("version") if status == 200 else None
        if (status, version) != seen:
            record.add("read of the configuration", status=status, version=version)
            seen = (status, version)
        if status and status != 503:
            last = (status, json.loads(data))
        await asyncio.sleep(0.25)
    return last


async def probe(mesh, node, path):
    """One request of a client; its status."""
    headers = {"X-Request-Id": "%016x" % mesh.random.getrandbits(64), "X-Deadline-Ms": "4000", "Host": HOST}
    try:
        status, _, _ = await asyncio.wait_for(call(*mesh.outbound(node), "GET", path, headers), 5)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
        status = 0
    return status


def note_logs(mesh, record):
    """What the control processes say of a snapshot that they can't read; for the record only."""
    for it in mesh.controls:
        path = os.path.join(mesh.folder.name, it.name + ".log")
        if not os.path.exists(path):
            continue
        with open(path, errors="replace") as log:
            for line in log:
                if "cannot decode" in line:
                    record.add("log", machine=it.name, line=line.strip())


async def main(record, trouble):
    mesh = Mesh(record, "mvs-berthgrid", ["plugctl"] * 6 + ["berthview"] * 4)
    try:
        mesh.start_all()
        new = mesh.nodes[-1]  # the machine of the new version's server
        for node in mesh.nodes:
            await Backend(mesh, node, lambda path, serial: (0.1, 400, None), "v2" if node is new else "v1").listen()
        beats = [asyncio.ensure_future(b.beat()) for b in mesh.backends if b.node is not new]
        version = 1
        sent = configuration(version, 2000, True)
        await mesh.put_config(sent, 0)
        await mesh.wait_ready()
        await asyncio.sleep(2)

        async def change(with_view):
            nonlocal version, sent
            sent = configuration(version + 1, 2000 + version, with_view)
            await mesh.put_config(sent, version)
            version += 1

        await change(True)
        status = await mesh.order("/-/Rollouts.Start", {"service": "berthview", "target_version": "v2", "duration_s": 16}, seconds=4)
        if status != 200:
            raise CannotRun("the roll-out was answered with %d" % status)
        beats.append(asyncio.ensure_future(mesh.backends[-1].beat()))
        await asyncio.sleep(2)
        await change(False)
        for _ in range(STORM):
            await asyncio.sleep(GAP_S)
            await change(False)
        await asyncio.sleep(3)
        status, before = await read_back(mesh, record, 1)
        if status != 200 or before != sent:
            raise CannotRun("the configuration can't be read before the disruption")
        served = [await probe(mesh, node, "/meter-history/1") for node in mesh.nodes[:3]]
        record.add("requests before", statuses=served)
        if trouble:
            await mesh.kill(mesh.controls, DOWN_S)
        status, after = await read_back(mesh, record, RECOVERY_S + CONTACT_S)
        gone = status != 200 or after != sent
        again = await mesh.order("/-/Config.Put", configuration(version + 1, 2500, False), {"X-Base-Version": str(version)}, seconds=8)
        served = [await probe(mesh, node, "/meter-history/2") for node in mesh.nodes[:3]]
        record.add("requests after", statuses=served)
        for it in beats:
            it.cancel()
        text = "configuration %d was acknowledged; after %s the read of it is answered %d%s; the next configuration on top of it is answered %d" % (
            version, "the core was killed" if trouble else "the same time without a kill", status, " with version %s" % after["version"] if status == 200 else "", again)
        record.add("result", text=text)
        print(text)
        return 1 if gone else 0
    finally:
        note_logs(mesh, record)
        mesh.end_all()


sys.exit(play(main, FOLDER))
