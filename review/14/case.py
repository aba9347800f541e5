"""A job whose cancelling was confirmed must not start, though its submission was held up at a frozen entry."""

import os
import signal
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "standin-3"))
from deployment import CAPACITY, Worker, configuration, new_job, run_case

CANCEL_MS = 3_000
FREEZE_S = 2.0
WORK_MS = 5_000
SLO_MS, TIME_LIMIT_S = 1_000, 3.0
JOBS = 16
# The share of the clients that leave before their time limit, and when: at half the objective.
LEAVE_SHARE, LEAVE_S = 0.25, SLO_MS / 2_000
# The daemons of bf-nord.
CONTROLS, ENTRIES = 5, 8


def case(deployment, has_trouble):
    for number in range(8):
        worker = Worker(deployment, f"i-{number}", 21 + number, ["a", f"r{number}-1"], CAPACITY)
        worker.behaviour = lambda worker, task, run: {"work_ms": WORK_MS, "end": "done"}
        deployment.workers.append(worker)
    starts, confirmed = [], {}
    deployment.on_start = lambda worker, task, run: starts.append((time.monotonic(), task, run, worker.name))
    deployment.start(configuration(SloMs=SLO_MS))
    time.sleep(4)
    steps = [{"Count": 2, "Cpu": 1000, "MemMb": 1024, "Gpu": 1, "EstimateMs": WORK_MS},
             {"Count": 2, "Cpu": 1000, "MemMb": 1024, "Gpu": 1, "EstimateMs": WORK_MS, "After": [0]}]

    def hand_in(job, leaves):
        """A client that leaves closes its channel and cancels its job at another entry; the others wait for an answer."""
        path, body = deployment.prefix + job, {"Spec": "(text)", "Steps": steps}
        deployment.client(0, "POST", path, body, TIME_LIMIT_S, leaves_after=LEAVE_S if leaves else None)
        if not leaves:
            return
        status, _ = deployment.client(1, "DELETE", path)
        if status is not None and (200 <= status < 300 or status == 410):
            confirmed[job] = time.monotonic()

    frozen = f"entry-{deployment.entries[0]}"
    thaw = threading.Timer(FREEZE_S, lambda: deployment.signal(frozen, signal.SIGCONT))
    if has_trouble:
        thaw.daemon = True
        deployment.signal(frozen, signal.SIGSTOP)
        thaw.start()
    leaving = int(JOBS * LEAVE_SHARE)
    clients = [threading.Thread(target=hand_in, args=(new_job(), n < leaving)) for n in range(JOBS)]
    for client in clients:
        client.start()
    for client in clients:
        client.join()
    if has_trouble:
        thaw.join()
    time.sleep(14)
    for job in confirmed:
        deployment.state(1, job)
    late = []
    for at, task, run, name in starts:
        cancelled_at = confirmed.get(task.split(".")[0])
        if cancelled_at is not None and at > cancelled_at + CANCEL_MS / 1000:
            late.append((at - cancelled_at, task, run, name))
    if not late:
        return None
    after, task, run, name = late[0]
    jobs = len({task.split(".")[0] for _, task, _, _ in late})
    return (f"{jobs} of {len(confirmed)} jobs start tasks later than cancel_ms after their confirmed cancelling, the first "
            f"{after:.1f} s after it: {task} run {run} on {name}")


if __name__ == "__main__":
    sys.exit(run_case(os.path.dirname(os.path.abspath(__file__)), case, CONTROLS, ENTRIES))
