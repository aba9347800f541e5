"""No task may run twice at the same time when the answer to an order for an upkeep is lost."""

import os
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "standin-3"))
from cloud import Cloud
from deployment import CAPACITY, CannotRun, configuration, new_job, run_case

MACHINES = 6
WORK_MS = 4_000
# How long the platform's answers are lost, from the moment at which it has carried out a machine's first upkeep.
LOST_S = 0.9


def case(deployment, has_trouble):
    lock, running, twice = threading.Lock(), {}, []

    def on_start(worker, task, run):
        with lock:
            others = [(name, number, other) for name, number, other in running.get(task, []) if other is not worker
                      and other.up and other.running.get(task, {}).get("run") == number]
            if others:
                twice.append(f"{task} run {run} on {worker.name} beside run {others[0][1]} on {others[0][0]}")
                deployment.record.write(f"TWICE: {twice[-1]}")
            running.setdefault(task, []).append((worker.name, run, worker))

    def on_end(worker, task, run, how):
        with lock:
            running[task] = [entry for entry in running.get(task, []) if entry[:2] != (worker.name, run)]

    deployment.on_start, deployment.on_end = on_start, on_end
    cloud = Cloud(deployment, MACHINES, lambda n: ["a", f"r{n}-1"], CAPACITY,
                  lambda worker, task, run: {"work_ms": WORK_MS, "end": "done"})
    ordered, lost_until = set(), [0.0]

    def answer(path, body, number):
        now = time.monotonic()
        if has_trouble and path == "/machine-upkeep" and body["Machine"] not in ordered:
            ordered.add(body["Machine"])
            lost_until[0] = now + LOST_S
        return 0.0, now < lost_until[0]

    cloud.answer = answer
    try:
        deployment.start(configuration())
        time.sleep(4)
        # More work than there is room for, so that each free place is taken at once.
        for number in range(8):
            step = {"Count": 60, "Cpu": 1000, "MemMb": 1024, "Gpu": 1, "EstimateMs": WORK_MS}
            deployment.submit(number, new_job(), {"Spec": "(text)", "Steps": [step]})
        machines = [machine.name for machine in cloud.machines]
        cloud.waves[1] = machines
        deployment.start_wave(1, machines, 80, 1)
        deadline = time.monotonic() + 85
        while time.monotonic() < deadline and not twice and deployment.wave_state(1) != "completed":
            time.sleep(0.5)
        time.sleep(3)
        return f"{len(twice)} runs beside another run of the same task, the first: {twice[0]}" if twice else None
    finally:
        cloud.close()


if __name__ == "__main__":
    sys.exit(run_case(os.path.dirname(os.path.abspath(__file__)), case))
