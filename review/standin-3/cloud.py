"""A stand-in for the platform that owns the machines, as PROTOCOL.md describes it: it lists them and takes them down for upkeep."""

import json
import socket
import threading
import time
from http.server import BaseHTTPRequestHandler

from deployment import CLOUD_PORT, Worker, WorkerServer


class Machine:
    """A machine with one worker at a time; each upkeep ends its worker, and a new one joins afterwards."""

    def __init__(self, cloud, number, labels, capacity):
        self.cloud, self.number, self.labels, self.capacity = cloud, number, labels, capacity
        self.name = f"m-{number}"
        self.state, self.lives, self.done = "up", 0, set()
        self.next_life()

    def next_life(self):
        """A new worker, at an address of its own."""
        deployment = self.cloud.deployment
        host = 21 + self.number + 40 * (self.lives % 5)
        self.worker = Worker(deployment, f"i-{self.number}-{self.lives}", host, self.labels, self.capacity)
        self.worker.machine = self.name
        self.worker.behaviour = self.cloud.behaviour
        self.lives += 1
        deployment.workers.append(self.worker)

    def take_down(self, wave, span):
        self.state = "upkeep"
        self.done.add(wave)
        self.cloud.deployment.record.write(f"platform: upkeep of {self.name} begins for wave {wave}")
        self.worker.crash()
        threading.Timer(span, self.bring_up).start()

    def bring_up(self):
        if self.cloud.is_closed:
            return
        self.next_life()
        self.state = "up"
        self.cloud.deployment.record.write(f"platform: upkeep of {self.name} is over, {self.worker.name} joins")
        self.worker.start()


class Cloud:
    """`answer(path, body, number)` gives for the call of that number its delay in seconds and whether its answer is lost."""

    def __init__(self, deployment, machines, labels, capacity, behaviour, maintenance_s=2.0):
        self.deployment, self.behaviour, self.maintenance_s = deployment, behaviour, maintenance_s
        self.is_closed = False
        self.lock = threading.Lock()
        self.waves = {}
        self.calls = 0
        self.answer = lambda path, body, number: (0.0, False)
        self.machines = [Machine(self, number, labels(number), capacity) for number in range(machines)]
        cloud = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"
            disable_nagle_algorithm = True

            def log_message(self, *args):
                pass

            def do_POST(self):
                cloud.serve(self, json.loads(self.rfile.read(int(self.headers.get("Content-Length", 0))) or b"{}"))

            def do_GET(self):
                cloud.serve(self, {})

        self.server = WorkerServer((deployment.ip(9), CLOUD_PORT), Handler)
        threading.Thread(target=self.server.serve_forever, args=(0.02,), daemon=True).start()

    def serve(self, handler, body):
        path = handler.path.split("?")[0]
        with self.lock:
            self.calls += 1
            number = self.calls
            delay, is_lost = self.answer(path, body, number)
            status, answer = self.carry_out(path, body)
        holder = f" of {handler.headers['X-Duty-Holder']} {handler.headers['X-Fence-Token']}" if body else ""
        shown = f"{status} {answer.get('Reason', '')}" if body else f"{status}"
        self.deployment.record.write(f"platform: {path} {json.dumps(body) if body else ''}{holder} -> {shown}"
                                     f"{', answer lost' if is_lost else ''}{f', answered after {delay} s' if delay else ''}")
        time.sleep(delay)
        if is_lost:
            handler.close_connection = True
            handler.connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\0\0\0\0\0\0\0")
            return
        data = json.dumps(answer).encode()
        try:
            handler.send_response(status)
            handler.send_header("Content-Type", "application/json")
            handler.send_header("Content-Length", str(len(data)))
            handler.end_headers()
            handler.wfile.write(data)
        except OSError:
            handler.close_connection = True

    def carry_out(self, path, body):
        if path == "/machines":
            rows = [{"Machine": m.name, "Pool": "pool", "State": m.state, "Zone": "lulea-a", "Labels": m.labels,
                     "Capacity": m.capacity, "Id": m.worker.name if m.state == "up" else ""} for m in self.machines]
            return 200, {"Machines": rows, "NextToken": ""}
        if path == "/machine-upkeep":
            machine = next((m for m in self.machines if m.name == body["Machine"]), None)
            if machine is None:
                return 400, {}
            if body["Machine"] not in self.waves.get(body["Wave"], []):
                return 409, {"Reason": "wave"}
            if machine.state != "up":
                return 409, {"Reason": "busy"}
            if body["Wave"] not in machine.done:
                machine.take_down(body["Wave"], self.maintenance_s)
            return 200, {}
        return 404, {}

    def close(self):
        self.is_closed = True
        self.server.shutdown()
        self.server.server_close()
