"""A small deployment on loopback: the project's own programs as processes, and stand-ins for workers and clients.

Everything runs on addresses of one randomly chosen loopback network, with a temporary folder for settings, disks and logs.
Only processes that were started here are signalled, by their ids.
"""

import http.client
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import tempfile
import threading
import time
from http.server import BaseHTTPRequestHandler, HTTPServer
from socketserver import TCPServer, ThreadingMixIn

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
CONTROL_PORT, FRONT_PORT, READY_PORT, WORKER_PORT, CLOUD_PORT = 8526, 8521, 8523, 8080, 8524
LINK_PORTS = (7000, 7015)
HEARTBEAT_MS, MAX_HOLD_MS, STOP_MS, GANG_MS = 1500, 10_000, 400, 3_000
ENDS_MAX = 500
TIME_LIMIT_S = 114


class CannotRun(Exception):
    """The case could not be set up; says nothing about the rule."""


class Record:
    """What was sent, answered and run, with the seconds since the start of the case."""

    def __init__(self, path):
        self.file = open(path, "w", buffering=1)
        self.lock = threading.Lock()
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def write(self, text):
        with self.lock:
            self.file.write(f"{self.now():8.3f} {text}\n")


class WorkerServer(ThreadingMixIn, HTTPServer):
    daemon_threads = True
    allow_reuse_address = True
    request_queue_size = 64

    def server_bind(self):
        """Binds the address without the look-up of its name that HTTPServer makes."""
        TCPServer.server_bind(self)
        self.server_name, self.server_port = self.server_address[:2]

    def handle_error(self, request, client_address):
        pass


class Worker:
    """A worker as PROTOCOL.md describes it, with `AdmissionCheck`. It may crash and start again under its id."""

    def __init__(self, deployment, name, host, labels, capacity, service="pool"):
        self.deployment, self.name, self.labels, self.capacity = deployment, name, labels, capacity
        self.record = deployment.record
        self.address = (deployment.ip(host), WORKER_PORT)
        self.service = service
        self.cond = threading.Condition()
        self.up = False
        self.life = 0
        self.behaviour = lambda worker, task, run: {"work_ms": 200, "end": "done"}
        self.order_hook = None
        self.state = "ready"
        # While a worker is cut off nothing passes, either way, and it runs on.
        self.is_cut = False
        self.machine = f"m-{name}"

    # Life cycle.

    def start(self):
        with self.cond:
            self.life += 1
            self.born = int(time.time() * 1000)
            self.started = time.monotonic()
            self.seq, self.fence, self.until, self.last_end, self.acked = 0, 0, 0, 0, 0
            self.running, self.ended, self.outdated = {}, [], {}
            self.lapsed_at = []
            self.connections = set()
            self.up = True
        worker = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"
            disable_nagle_algorithm = True

            def setup(self):
                super().setup()
                worker.connections.add(self.connection)

            def log_message(self, *args):
                pass

            def do_POST(self):
                worker.serve(self)

            def do_GET(self):
                worker.send(self, 200, {})

        self.server = WorkerServer(self.address, Handler)
        threading.Thread(target=self.server.serve_forever, args=(0.02,), daemon=True).start()
        threading.Thread(target=self.beat_loop, args=(self.life,), daemon=True).start()
        threading.Thread(target=self.work_loop, args=(self.life,), daemon=True).start()
        self.record.write(f"worker {self.name}: up, life {self.life}, born {self.born}")

    def crash(self):
        """Ends this life without a word: everything that runs here terminates."""
        with self.cond:
            if not self.up:
                return
            self.up = False
            gone = [f"{task} run {run['run']}" for task, run in self.running.items()]
            self.running, self.ended = {}, []
            connections = list(self.connections)
            self.cond.notify_all()
        self.record.write(f"worker {self.name}: crashed, life {self.life}, with {', '.join(gone) or 'no run'}")
        self.server.shutdown()
        self.server.server_close()
        for connection in connections:
            try:
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\0\0\0\0\0\0\0")
                connection.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass

    def clock(self):
        return int((time.monotonic() - self.started) * 1000) + 1000

    # Heartbeats.

    def beat_body(self):
        self.seq += 1
        return {
            "Service": self.service, "Addr": f"{self.address[0]}:{self.address[1]}", "Zone": "lulea-a",
            "Version": "v1", "Slots": 8, "State": self.state, "ColdLeftMs": 0, "Capacity": self.capacity,
            "Labels": self.labels, "ClockMs": self.clock(), "Seq": self.seq, "Machine": self.machine,
            "born": self.born,
        }

    def beat_loop(self, life):
        targets = list(self.deployment.control_addresses())
        random.shuffle(targets)
        while self.up and self.life == life:
            for _ in range(0 if self.is_cut else len(targets)):
                try:
                    status, _ = call(targets[0], "POST", f"/instances/{self.name}/heartbeat", self.beat_body(), 1.0)
                    if 200 <= status < 300:
                        break
                except OSError:
                    pass
                targets.append(targets.pop(0))
                if not (self.up and self.life == life):
                    return
            time.sleep(HEARTBEAT_MS / 1000)

    # Orders.

    def send(self, handler, status, body):
        body = dict(body, ClockMs=self.clock(), born=self.born)
        data = json.dumps(body).encode()
        try:
            handler.send_response(status)
            handler.send_header("Content-Type", "application/json")
            handler.send_header("Content-Length", str(len(data)))
            handler.end_headers()
            handler.wfile.write(data)
            handler.wfile.flush()
        except OSError:
            handler.close_connection = True

    def serve(self, handler):
        length = int(handler.headers.get("Content-Length", 0))
        body = json.loads(handler.rfile.read(length) or b"{}")
        life = self.life
        expected = handler.headers.get("X-Expect-Instance")
        if expected is not None and expected != self.name:
            return self.send(handler, 421, {})
        if self.order_hook and self.order_hook(self, handler, handler.path, body):
            return None
        if self.drop_if_cut(handler):
            return None
        status, answer = self.carry_out(handler.path, body, life)
        if self.drop_if_cut(handler):
            return None
        if handler.path != "/hold":
            self.record.write(f"worker {self.name}: {handler.path} {body.get('Task')} run {body.get('Run')} -> "
                              f"{status} {answer.get('Reason', '')}".rstrip())
        if not self.up or self.life != life:
            handler.close_connection = True
            return None
        return self.send(handler, status, answer)

    def drop_if_cut(self, handler):
        """Loses what a cut holds up."""
        if not self.is_cut:
            return False
        while self.is_cut and self.up:
            time.sleep(0.01)
        handler.close_connection = True
        return True

    def carry_out(self, path, body, life):
        if path == "/run-start":
            return self.run_start(body)
        if path == "/run-stop":
            return self.run_stop(body)
        if path == "/hold":
            return self.hold(body, life)
        if path == "/pace":
            return 200, {}
        return 404, {}

    def extend(self, until):
        self.until = max(self.until, min(until, self.clock() + self.deployment.max_hold_ms))

    def run_start(self, body):
        task, run, fence = body["Task"], body["Run"], body.get("Fence", 0)
        with self.cond:
            if fence < self.fence:
                return 409, {"Reason": "fence"}
            self.fence = fence
            known = self.running.get(task)
            if known and known["run"] == run:
                return 200, {}
            if body["UntilMs"] <= self.clock():
                return 409, {"Reason": "late"}
            self.extend(body["UntilMs"])
            if run <= self.outdated.get(task, 0) or known:
                return 409, {"Reason": "old"}
            if len(self.running) >= self.capacity["Gpu"]:
                return 409, {"Reason": "room"}
            plan = self.behaviour(self, task, run)
            now = time.monotonic()
            self.running[task] = {"run": run, "since": now, **plan}
            self.deployment.on_start(self, task, run)
            self.record.write(f"worker {self.name}: started {task} run {run} (fence {fence})")
            self.cond.notify_all()
            return 200, {}

    def run_stop(self, body):
        task, run, fence = body["Task"], body["Run"], body.get("Fence", 0)
        with self.cond:
            if fence < self.fence:
                return 409, {"Reason": "fence"}
            self.fence = fence
            self.outdated[task] = max(self.outdated.get(task, 0), run)
            known = self.running.get(task)
            if known and known["run"] == run:
                self.end(task, "stopped")
            return 200, {}

    def hold(self, body, life):
        fence = body.get("Fence", 0)
        deadline = time.monotonic() + min(body.get("WaitMs", 0), 2000) / 1000
        with self.cond:
            if fence < self.fence:
                return 409, {"Reason": "fence"}
            self.fence = fence
            if "UntilMs" in body:
                self.extend(body["UntilMs"])
            acked = body.get("AckedUpto", 0)
            for number, task, run, how, _ in self.ended:
                if number <= acked:
                    self.record.write(f"worker {self.name}: end {number} of {task} run {run} ({how}) taken note of")
                    self.deployment.on_end_noted(self, task, run, how)
            self.ended = [end for end in self.ended if end[0] > acked]
            while not self.ended and self.up and self.life == life and time.monotonic() < deadline:
                self.cond.wait(max(0.0, deadline - time.monotonic()))
            rows = [[task, run["run"], "", self.percent(run), 0] for task, run in self.running.items()]
            return 200, {"Running": rows, "Ended": [list(end) for end in self.ended[:ENDS_MAX]]}

    def percent(self, run):
        done = (time.monotonic() - run["since"]) * 100_000 / run["work_ms"]
        return min(int(done), 100 if run["end"] is None else 99)

    # Work.

    def end(self, task, how):
        run = self.running.pop(task)
        self.last_end += 1
        self.outdated[task] = max(self.outdated.get(task, 0), run["run"])
        self.ended.append([self.last_end, task, run["run"], how, ""])
        self.record.write(f"worker {self.name}: {task} run {run['run']} ended {how}")
        self.deployment.on_end(self, task, run["run"], how)
        self.cond.notify_all()

    def work_loop(self, life):
        while True:
            with self.cond:
                if not self.up or self.life != life:
                    return
                now = time.monotonic()
                if self.running and self.clock() > self.until:
                    self.lapsed_at.append(now)
                    for task in list(self.running):
                        self.end(task, "lapsed")
                for task, run in list(self.running.items()):
                    if run["end"] is not None and (now - run["since"]) * 1000 >= run["work_ms"]:
                        self.end(task, run["end"])
            time.sleep(0.01)


def call(address, method, path, body=None, limit=3.0, headers=None):
    """One HTTP call on a connection of its own. Returns the status and the body; raises OSError without a response."""
    connection = http.client.HTTPConnection(address[0], address[1], timeout=limit)
    try:
        data = None if body is None else (body if isinstance(body, bytes) else json.dumps(body).encode())
        headers = {"Content-Type": "application/json", **(headers or {})}
        connection.request(method, path, data, headers)
        response = connection.getresponse()
        text = response.read()
        try:
            return response.status, json.loads(text) if text else None
        except ValueError:
            return response.status, text.decode(errors="replace")
    except http.client.HTTPException as error:
        raise OSError(str(error)) from error
    finally:
        connection.close()


class Deployment:
    """Three control processes, two entry processes and some workers."""

    def __init__(self, folder, controls=3, entries=2):
        self.record = Record(os.path.join(folder, "record.txt"))
        self.dir = tempfile.mkdtemp(prefix="hg-review-")
        self.net = free_network()
        self.controls = [1 + n for n in range(controls)]
        self.entries = [11 + n for n in range(entries)]
        self.processes = {}
        self.workers = []
        self.key = "key-0"
        self.host, self.prefix = "jobs.example", "/queue/"
        self.max_hold_ms, self.stop_ms, self.gang_ms = MAX_HOLD_MS, STOP_MS, GANG_MS
        self.stopped = set()
        self.watcher = None
        self.on_start = lambda worker, task, run: None
        self.on_end = lambda worker, task, run, how: None
        self.on_end_noted = lambda worker, task, run, how: None

    def ip(self, host):
        return f"127.{self.net[0]}.{self.net[1]}.{host}"

    def control_addresses(self):
        return [(self.ip(host), CONTROL_PORT) for host in self.controls]

    def front(self, number):
        return (self.ip(self.entries[number]), FRONT_PORT)

    # Processes.

    def command(self, role):
        """The command of a role in the deploy file."""
        with open(os.path.join(ROOT, "deploy", "system.toml")) as f:
            found = re.search(rf'^\[roles\.{role}\]$.*?^run = "([^"]+)"$', f.read(), re.MULTILINE | re.DOTALL)
        if found is None:
            raise CannotRun(f"the deploy file has no command for {role}")
        return found.group(1).split(" ")

    def settings(self, name, role, host, bootstrap):
        seeds = ", ".join(f'"{self.ip(c)}:{CONTROL_PORT}"' for c in self.controls[:3])
        ip, cloud = self.ip(host), f"{self.ip(9)}:{CLOUD_PORT}"
        is_control = role == "control"
        listen = (f'Control = "{ip}:{CONTROL_PORT}"' if is_control else
                  f'Front = "{ip}:{FRONT_PORT}"\nReadyAddr = "{ip}:{READY_PORT}"')
        disk = f'DataDir = "{self.dir}/{name}.disk"\n' if is_control else ""
        return (
            f'Node = "{name}"\nRole = "{role}"\nMachineClass = "{"core" if is_control else "front"}"\n'
            f'Serves = ["{"control" if is_control else "front"}"]\nIp = "{ip}"\nZone = "lulea-a"\n'
            f'Region = "sverige-nord"\nInternalPorts = [{LINK_PORTS[0]}, {LINK_PORTS[1]}]\nSeeds = [{seeds}]\n'
            f'Bootstrap = {str(bootstrap).lower()}\nLossCounts = {str(is_control).lower()}\nDiscovery = "registry"\n'
            f'Entry = "vip"\nHeartbeatMs = {HEARTBEAT_MS}\nconfig_mode = "highest"\nOrders = "rpc"\n'
            f'Advice = "{cloud}"\n{disk}[Zones]\nlulea-a = "sverige-nord"\n[Listen]\n{listen}\n'
            f'[Limits]\nCpuShare = 0.5\nCores = 1\nMemoryMb = 256\nMaxFds = 4096\n'
            f'[Bounds]\nMaxHoldMs = {self.max_hold_ms}\nStopMs = {self.stop_ms}\nGangMs = {self.gang_ms}\nGraceS = 6\n'
            f'RestoreMs = 600\nReclaimMs = 2900\nLeaseMs = 3000\nPaceMs = 100\nstatus_s = 120\nMaintenanceS = 2\n'
            f'[Cloud]\nAddr = "{cloud}"\nRatePerS = 60.0\nDuties = []\nDutyRateS = 60.0\n'
        )

    def spawn(self, name, role, host, bootstrap=False):
        command = self.command(role)
        program = os.path.join(ROOT, command[0])
        if not os.path.exists(program):
            raise CannotRun(f"{command[0]} is not built")
        settings = os.path.join(self.dir, f"{name}.toml")
        with open(settings, "w") as f:
            f.write(self.settings(name, role, host, bootstrap))
        env = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        env["HEATHERGRADE_NODE_FILE"] = settings
        log = open(os.path.join(self.dir, f"{name}.log"), "ab")
        child = subprocess.Popen([program, *command[1:]], cwd=ROOT, env=env, stdout=log, stderr=log,
                                 stdin=subprocess.DEVNULL)
        self.processes[name] = child
        self.record.write(f"process {name}: started, pid {child.pid}")

    def start(self, configuration):
        for host in self.entries:
            self.spawn(f"entry-{host}", "entry", host)
        for host in self.controls:
            self.spawn(f"control-{host}", "control", host, bootstrap=True)
        for worker in self.workers:
            worker.start()
        self.wait_for("the first config is accepted", 20, lambda: self.put(configuration) == 200)
        self.wait_for("the entries are ready", 20, lambda: all(
            self.try_call((self.ip(h), READY_PORT), "GET", "/ready")[0] == 200 for h in self.entries))

    def watch_processes(self, memory_mb, restart_after_s=0.5):
        """What the platform does: kills a process that uses more than `memory_mb`, and restarts each that has ended."""
        deadline = {}
        self.kills, self.is_watching = [], True

        def watch():
            while self.is_watching:
                for name, child in list(self.processes.items()):
                    if child.poll() is None:
                        used = resident_mb(child.pid)
                        self.peak[name] = max(self.peak.get(name, 0), used)
                        if used > memory_mb:
                            child.kill()
                            child.wait()
                            self.kills.append(name)
                            self.record.write(f"platform: {name} uses {used} MB of {memory_mb}, killed")
                    elif name not in deadline:
                        self.record.write(f"platform: {name} has ended with {child.returncode}")
                        deadline[name] = time.monotonic() + restart_after_s
                    elif time.monotonic() >= deadline[name]:
                        del deadline[name]
                        role, host = name.split("-")
                        self.spawn(name, role, int(host))
                time.sleep(0.02)

        self.peak = {}
        self.watcher = threading.Thread(target=watch, daemon=True)
        self.watcher.start()

    def put(self, configuration):
        status, body = self.try_call(random.choice(self.control_addresses()), "POST", "/config/replace", configuration)
        self.record.write(f"operator: POST /config/replace version {configuration['Version']} -> {status} {body}")
        return status

    def start_wave(self, number, machines, deadline_s, cap):
        wave = {"Wave": number, "Machines": machines, "DeadlineS": deadline_s, "Cap": cap}
        for _ in range(5):
            status, _ = self.try_call(random.choice(self.control_addresses()), "POST", "/wave-start", wave, 1.0)
            self.record.write(f"operator: POST /wave-start {wave} -> {status}")
            if status == 200:
                return
        raise CannotRun("the wave was not accepted")

    def wave_state(self, number):
        address = random.choice(self.control_addresses())
        status, body = self.try_call(address, "GET", f"/wave-get/{number}", None, 1.0)
        state = body["State"] if status == 200 else status
        self.record.write(f"operator: GET /wave-get/{number} -> {state}")
        return state

    @staticmethod
    def try_call(address, method, path, body=None, limit=3.0, headers=None):
        try:
            return call(address, method, path, body, limit, headers)
        except OSError as error:
            return None, str(error)

    def wait_for(self, what, limit, holds):
        deadline = time.monotonic() + limit
        while not holds():
            if time.monotonic() > deadline:
                raise CannotRun(f"not within {limit} s: {what}")
            time.sleep(0.1)

    def signal(self, name, number):
        child = self.processes[name]
        if child.poll() is not None:
            return
        os.kill(child.pid, number)
        if number == signal.SIGSTOP:
            self.stopped.add(name)
        if number == signal.SIGCONT:
            self.stopped.discard(name)
        self.record.write(f"process {name}: {signal.Signals(number).name}")

    def close(self):
        if self.watcher is not None:
            self.is_watching = False
            self.watcher.join()
        for name in list(self.stopped):
            self.signal(name, signal.SIGCONT)
        for child in self.processes.values():
            if child.poll() is None:
                child.kill()
        for child in self.processes.values():
            child.wait()
        for worker in self.workers:
            if worker.up:
                worker.crash()
        if os.environ.get("KEEP"):
            print(self.dir)
        else:
            shutil.rmtree(self.dir, ignore_errors=True)

    # Clients.

    def client(self, number, method, path, body=None, limit=3.0, host=None, key=None, leaves_after=None):
        """A client's call. It waits for `limit`, as its X-Deadline-Ms says, unless it leaves earlier."""
        headers = {"Host": host or self.host, "X-Api-Key": key or self.key, "X-Deadline-Ms": str(int(limit * 1000))}
        status, answer = self.try_call(self.front(number), method, path, body, leaves_after or limit, headers)
        self.record.write(f"client: {method} {path} at entry {number} -> {status} {answer}")
        return status, answer

    def submit(self, number, job, body, limit=3.0):
        """Hands a job in as clients do: again after no clear answer, at the other entry."""
        for attempt in range(5):
            status, _ = self.client((number + attempt) % len(self.entries), "POST", self.prefix + job, body, limit)
            if status is not None and 200 <= status < 300:
                return
            time.sleep(0.3)
        raise CannotRun(f"job {job} was not accepted")

    def state(self, number, job):
        """The job's state, its status if that is no 200, or None without a response."""
        status, answer = self.client(number, "GET", self.prefix + job)
        return answer.get("State") if status == 200 and isinstance(answer, dict) else status


def free_network():
    """The second and the third byte of a loopback network in which the ports of the deployment are free."""
    for _ in range(20):
        net = (random.randint(20, 250), random.randint(1, 250))
        try:
            for host, port in ((1, CONTROL_PORT), (9, CLOUD_PORT), (11, FRONT_PORT), (21, WORKER_PORT)):
                with socket.socket() as probe:
                    probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                    probe.bind((f"127.{net[0]}.{net[1]}.{host}", port))
            return net
        except OSError:
            continue
    raise CannotRun("no loopback network has its ports free")


def resident_mb(pid):
    """The memory that a process uses, in MiB."""
    try:
        with open(f"/proc/{pid}/statm") as f:
            return int(f.read().split()[1]) * os.sysconf("SC_PAGE_SIZE") >> 20
    except (OSError, IndexError):
        return 0


def configuration(version=1, **route):
    """A valid config with one queue, one service and one tenant."""
    return {
        "Version": version,
        "Routes": [{"Name": "r-0", "Host": "jobs.example", "PathPrefix": "/queue/", "Kind": "non_idempotent",
                    "TimeoutMs": 3000, "SloMs": 1000, "Priority": 1, "Service": "pool", "Attempts": 3,
                    "Stretch": 3.0, "Anonymous": False, **route}],
        "Services": [{"Name": "pool", "HealthPath": "/health", "MaxConns": 64, "Protocol": "h1", "Tls": False,
                      "AdmissionCheck": True, "Standby": False}],
        "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 262144, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
        "Tenants": [{"Name": "kaje80", "ApiKeys": ["key-0"], "Priority": 1, "Guaranteed": {"Gpu": 8}}],
    }


def new_job():
    return f"{random.getrandbits(64):016x}"


CAPACITY = {"Cpu": 32_000, "MemMb": 131_072, "Gpu": 8}


# The exit codes of a case's program; run.sh translates them. Python itself exits with 1 after an error.
BROKEN, HELD, CANNOT_RUN = 10, 0, 2


def run_case(folder, case, controls=3, entries=2):
    """Runs a case in `folder` and returns its exit code."""

    def stop(*_):
        raise CannotRun("the time is up, or the script was told to stop")

    signals = (signal.SIGALRM, signal.SIGTERM, signal.SIGINT)
    for number in signals:
        signal.signal(number, stop)
    signal.alarm(TIME_LIMIT_S)
    deployment = None
    try:
        deployment = Deployment(folder, controls, entries)
        has_trouble = os.environ.get("TROUBLE", "1") != "0"
        deployment.record.write(f"disruption: {'yes' if has_trouble else 'no'}")
        verdict, code = case(deployment, has_trouble), HELD
        text = "held"
        if verdict is not None:
            text, code = f"broken: {verdict}", BROKEN
    except Exception as error:
        text, code = f"cannot run: {type(error).__name__}: {error}", CANNOT_RUN
    finally:
        # Nothing interrupts the end of the processes.
        for number in signals:
            signal.signal(number, signal.SIG_IGN)
        if deployment is not None:
            deployment.close()
    if deployment is not None:
        deployment.record.write(f"result: {text}")
    print(text)
    return code
