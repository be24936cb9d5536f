"""Starts a small mesh on loopback for the demo and the measurements, and stops its processes.

Each process is stopped by its own process id. Free ports are reserved from the system and released just before use.
"""
import json
import os
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import urllib.request

KEY = "5a" * 32  # fixed, as the mesh runs on loopback for about a minute; a real mesh has a random key


def free_ports(count):
    """Ports that are free now. All sockets stay open until the last port is known, so that no port is returned twice."""
    sockets = [socket.socket() for _ in range(count)]
    for it in sockets:
        it.bind(("127.0.0.1", 0))
    ports = [it.getsockname()[1] for it in sockets]
    for it in sockets:
        it.close()
    return ports


def address(port):
    return "127.0.0.1:%d" % port


class Mesh:
    def __init__(self, build, voters=3, relays=0, nodes=2, zones=3):
        self.build = build
        self.folder = tempfile.mkdtemp(prefix="appletally-")
        self.processes = {}  # by name
        self.nodes = {}  # by host: its callers, inner, announce and operators ports
        ports = iter(free_ports(voters + relays + 4 * nodes))
        self.voters = {"v%d" % n: next(ports) for n in range(voters)}
        self.relays = {"r%d" % n: next(ports) for n in range(relays)}
        for n in range(nodes):
            self.nodes["n%d" % n] = {it: next(ports) for it in ("callers", "inner", "announce", "operators")}
        self.zones = ["zone-%d" % n for n in range(zones)]
        self._write_settings()

    def _path(self, name):
        return os.path.join(self.folder, name)

    def _write(self, name, settings):
        with open(self._path(name + ".json"), "w") as out:
            json.dump(settings, out, indent=1)

    def _write_settings(self):
        def peers(ports):
            return [{"host": host, "address": address(port)} for host, port in ports.items()]

        control = list(self.voters.items()) + list(self.relays.items())
        for n, (host, port) in enumerate(control):
            settings = {"cluster": "demo", "key": KEY, "host": host, "zone": self.zones[n % len(self.zones)], "region": "r",
                        "role": "voter" if host in self.voters else "relay", "listen": address(port),
                        "voters": peers(self.voters), "relays": peers(self.relays)}
            if host in self.voters:
                settings["data"] = self._path(host + ".data")
            self._write(host, settings)
        voters = [address(port) for port in self.voters.values()]
        relays = [address(port) for port in self.relays.values()]
        for n, (host, ports) in enumerate(self.nodes.items()):
            self._write(host, {"cluster": "demo", "key": KEY, "host": host, "zone": self.zones[n % len(self.zones)], "region": "r",
                               "listen": {it: address(port) for it, port in ports.items()}, "voters": voters, "sources": relays or voters})
        self._write("ctl", {"cluster": "demo", "key": KEY, "operator": "demo", "voters": voters})

    def start(self, name, command):
        log = open(self._path(name + ".log"), "ab")
        self.processes[name] = subprocess.Popen(command, stdout=log, stderr=log, stdin=subprocess.DEVNULL)
        return self.processes[name]

    def program(self, name):
        return os.path.join(self.build, name)

    def start_control(self):
        for n, host in enumerate(self.voters):
            command = [self.program("appletally-control"), self._path(host + ".json"), "--format"] + (["--first"] if n == 0 else [])
            subprocess.run(command, check=True)
        for host in list(self.voters) + list(self.relays):
            self.start(host, [self.program("appletally-control"), self._path(host + ".json")])

    def start_nodes(self):
        for host in self.nodes:
            self.start(host, [self.program("appletally-node"), self._path(host + ".json")])

    def ctl(self, *arguments, check=True):
        result = subprocess.run([self.program("appletallyctl"), self._path("ctl.json"), *arguments], stdout=subprocess.PIPE, stderr=subprocess.STDOUT, text=True)
        if check and result.returncode != 0:
            raise RuntimeError("appletallyctl %s: %s" % (" ".join(arguments), result.stdout))
        return result.stdout

    def request(self, host, path, method="GET", headers=None, body=None, timeout=5):
        """Status, headers and body of the response to one request through a node. Status 0 if there was no response."""
        url = "http://127.0.0.1:%d%s" % (self.nodes[host]["callers"], path)
        http_request = urllib.request.Request(url, data=body, method=method, headers=headers or {})
        try:
            with urllib.request.urlopen(http_request, timeout=timeout) as response:
                return response.status, dict(response.headers), response.read()
        except urllib.error.HTTPError as error:
            return error.code, dict(error.headers), error.read()
        except OSError:
            return 0, {}, b""

    def wait(self, what, condition, seconds=20):
        """Polls until the condition holds. Raises RuntimeError if it does not hold in time."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if condition():
                return
            time.sleep(0.05)
        raise RuntimeError("timed out after %d s waiting for: %s\n%s" % (seconds, what, self.last_log_lines()))

    def last_log_lines(self):
        out = []
        for name in sorted(self.processes):
            with open(self._path(name + ".log"), errors="replace") as log:
                out += ["%s: %s" % (name, line.rstrip()) for line in log.readlines()[-3:]]
        return "\n".join(out)

    def resident_kb(self, name):
        with open("/proc/%d/status" % self.processes[name].pid) as status:
            return next(int(line.split()[1]) for line in status if line.startswith("VmRSS"))

    def cpu_seconds(self, name):
        with open("/proc/%d/stat" % self.processes[name].pid) as stat:
            fields = stat.read().rsplit(")", 1)[1].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    def stop_process(self, name, signal_number=signal.SIGTERM, seconds=40):
        process = self.processes.pop(name)
        process.send_signal(signal_number)
        process.wait(seconds)
        return process.returncode

    def close(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
        for process in self.processes.values():
            process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.close()
