"""Implements scripts/demo: 3 voters, a relay, 6 nodes with stand-in upstreams, and callers of every kind.

While callers send requests, a good version is rolled out, an upstream is drained and a bad version is rolled back.
"""
import collections
import json
import os
import signal
import subprocess
import sys
import time

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
from mesh import Mesh, address, free_ports  # noqa: E402

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
REQUESTS_PER_SECOND = 120  # over all kinds: gives enough evidence for a rollout within seconds at little load
GOOD_ROLLOUT_SECONDS = 20  # until the good version has all traffic
BAD_ROLLOUT_SECONDS = 40

# Every kind of request in the two deployments: method, path, caller, weight, timeout in milliseconds.
REQUEST_MIX = [
    "POST,/plugs/connect/{n},crew,3,3000",
    "POST,/plugs/disconnect/{n},crew,3,3000",
    "GET,/plugs/{n},crew,6,2000",
    "GET,/berths/{n},harbour-master,6,2000",
    "GET,/meters/{n}/history,ship-agent,3,4000",
    "GET,/tariffs/{n},plug-control,4,500",
    "GET,/archive/{n}?bytes=2000000,billing-clerk,1,60000",
    "GET,/members/{n}/loaves,member,5,2000",
    "POST,/pauses/{n},member,2,5000",
    "POST,/donations/{n},member,2,8000",
    "GET,/bake-sheets/{n}?bytes=300000,baker,1,30000",
    "GET,/route-lists/{n},driver,3,2000",
    "GET,/internal/route-lists/{n},catalogue,2,1000",
]
RUN_TIMES = ["/plugs=10", "/plugs/connect=30", "/plugs/disconnect=30", "/berths=8", "/meters=15", "/tariffs=2", "/archive=50",
             "/members=8", "/pauses=20", "/donations=40", "/bake-sheets=40", "/route-lists=10", "/internal=10"]
SERVICE_BY_NODE = {"n0": "plug-control", "n1": "plug-control", "n2": "berth-data", "n3": "subscription", "n4": "bake-sheets"}


def log_progress(text):
    print("%5.1f s  %s" % (time.monotonic() - START_TIME, text), flush=True)


class Demo:
    def __init__(self, mesh):
        self.mesh = mesh
        self.logs = {}  # by upstream: the file that records its runs

    def start_upstream(self, name, node, service, version, *options):
        log = self.logs[name] = os.path.join(self.mesh.folder, name + ".runs")
        command = [self.mesh.program("standin-upstream"), "--listen", address(free_ports(1)[0]), "--announce",
                   address(self.mesh.nodes[node]["announce"]), "--service", service, "--software", version, "--log", log, *options]
        for it in RUN_TIMES:
            command += ["--run", it]
        self.mesh.start(name, command)

    def start_callers(self):
        command = [self.mesh.program("standin-caller"), "--rate", str(REQUESTS_PER_SECOND), "--count", "1000000", "--name", "demo",
                   "--keys", os.path.join(self.mesh.folder, "keys")]
        for ports in self.mesh.nodes.values():
            command += ["--to", address(ports["callers"])]
        for it in REQUEST_MIX:
            command += ["--mix", it]
        return subprocess.Popen(command, stdout=subprocess.PIPE, text=True)

    def all_nodes_answer(self):
        """Whether every node answers reads of each service and a keyed request. The latter needs the keepers of claims, which nodes
        receive after the routes."""
        reads = [("/plugs/1", "crew"), ("/berths/1", "ship-agent"), ("/members/1", "member"), ("/route-lists/1", "driver")]
        for host in self.mesh.nodes:
            for path, caller in reads:
                if self.mesh.request(host, path, headers={"Appletally-Caller": caller})[0] != 200:
                    return False
            headers = {"Appletally-Caller": "member", "Idempotency-Key": "first-" + host}
            if self.mesh.request(host, "/pauses/1", "POST", headers, b"pause")[0] != 200:
                return False
        return True

    def start_rollout(self, service, version, seconds):
        self.mesh.ctl("rollout", "start", service, version, str(seconds))

    def ended_rollout(self, service, version):
        """The rollout once it has ended, or None while it runs."""
        for it in json.loads(self.mesh.ctl("rollouts", "--json")):
            if (it["rollout"]["service"], it["rollout"]["to"]) == (service, version) and it["state"] != "running":
                return it
        return None

    def wait_rollout_end(self, service, version, seconds):
        self.mesh.wait("end of the rollout of %s %s" % (service, version), lambda: self.ended_rollout(service, version), seconds)
        return self.ended_rollout(service, version)


def run_counts(logs):
    runs = collections.Counter()
    for path in logs.values():
        with open(path) as log:
            for line in log:
                key = line.split()[1]
                if key != "-":
                    runs[key] += 1
    return runs


def check_keyed_requests(folder, logs):
    """Keyed requests that ran twice, and those whose outcome at the caller contradicts the run logs."""
    runs = run_counts(logs)
    doubled = [key for key, n in runs.items() if n > 1]
    contradicted = []
    with open(os.path.join(folder, "keys")) as keys:
        for line in keys:
            key, end = line.split()
            if (end == "refused" and runs[key] != 0) or (end in ("whole", "failed") and runs[key] == 0):
                contradicted.append(key)
    return doubled, contradicted


def print_table(rows):
    columns = ["sent", "whole", "failed", "refused", "unknown", "cut", "wrong", "resends"]
    print("\n%-34s %-15s" % ("request", "caller") + "".join("%9s" % it for it in columns) + "   p50 ms   p99 ms")
    for row in rows:
        latency = [row["latency"].get(it, 0) / 1000 for it in ("p50", "p99")]
        print("%-34s %-15s" % (row["method"] + " " + row["path"], row["caller"]) + "".join("%9d" % row[it] for it in columns) + " %8.1f %8.1f" % tuple(latency))
    results = collections.Counter()
    for row in rows:
        results.update(row["results"])
    print("responses that were not whole, including those followed by a resend: " + (", ".join("%d %s" % (n, name) for name, n in sorted(results.items())) or "none"))
    return {it: sum(row[it] for row in rows) for it in columns}


def run_demo(demo):
    mesh = demo.mesh
    log_progress("3 voters, 1 relay, 6 nodes")
    mesh.start_control()
    mesh.start_nodes()
    for n, (node, service) in enumerate(SERVICE_BY_NODE.items()):
        demo.start_upstream("u%d" % n, node, service, "1.0")
    for name in ("berthgrid", "hlyab"):
        mesh.wait("a leader", lambda name=name: "error" not in mesh.ctl("submit", os.path.join(ROOT, "examples", name + ".json"), check=False).lower(), 20)
        log_progress("submitted the answers of " + name)
    mesh.wait("answers from every node", demo.all_nodes_answer, 30)
    log_progress("every node answers; starting callers")
    callers = demo.start_callers()
    try:
        time.sleep(2)
        demo.start_upstream("u5", "n5", "plug-control", "2.0", "--cold-ms", "1000")
        demo.start_rollout("plug-control", "2.0", GOOD_ROLLOUT_SECONDS)
        log_progress("rollout of plug-control 2.0 (good) started, to complete within %d s" % GOOD_ROLLOUT_SECONDS)
        good = demo.wait_rollout_end("plug-control", "2.0", GOOD_ROLLOUT_SECONDS + 5)
        log_progress("%s: %s" % (good["state"], good["why"]))
        status = mesh.stop_process("u1")
        log_progress("upstream beside n1 drained and exited with status %d" % status)
        demo.start_upstream("bad", "n1", "plug-control", "2.1", "--fail", "/plugs=300")
        demo.start_rollout("plug-control", "2.1", BAD_ROLLOUT_SECONDS)
        log_progress("rollout of plug-control 2.1 (fails 3 in 10) started")
        bad = demo.wait_rollout_end("plug-control", "2.1", BAD_ROLLOUT_SECONDS)
        log_progress("%s: %s" % (bad["state"], bad["why"]))
        time.sleep(1)
    finally:
        callers.terminate()
        out, _ = callers.communicate(timeout=30)
    print("\n" + mesh.ctl("status"))
    return json.loads(out), good, bad


def check_results(demo, rows, good, bad):
    totals = print_table(rows)
    doubled, contradicted = check_keyed_requests(demo.mesh.folder, demo.logs)
    lost = totals["unknown"] + totals["cut"] + totals["refused"]
    print("\n%d requests: %d lost (refused after all resends, unknown or cut), %d wrong, %d keyed requests run twice, %d keyed requests with an incorrect outcome; %d failed at the bad version"
          % (totals["sent"], lost, totals["wrong"], len(doubled), len(contradicted), totals["failed"]))
    as_expected = good["state"] == "completed" and bad["state"] == "taken back"
    if not as_expected:
        print("the rollouts did not end as expected")
    return not (lost or totals["wrong"] or doubled or contradicted) and as_expected


START_TIME = time.monotonic()
signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))  # exits through Mesh.__exit__, which stops the processes
with Mesh(os.path.join(ROOT, os.environ.get("BUILD", "build")), voters=3, relays=1, nodes=6) as the_mesh:
    the_demo = Demo(the_mesh)
    passed = check_results(the_demo, *run_demo(the_demo))
    log_progress("done")
sys.exit(0 if passed else 1)
