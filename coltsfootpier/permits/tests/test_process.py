"""Test of permits with daemons that run as separate processes."""

from __future__ import annotations

import signal
import unittest
from pathlib import Path

import anyio

from coltsfootpier.ownership import compute_key_group
from standins.cluster import ClientResponse, Cluster, call, read_store, wait_for

ZONES = ("zone-a", "zone-b", "zone-c")
DECLARATION = """
[team a]
cores = 64
memory_mb = 64000

[service web]
team = a
runners = 2
cores = 2
memory_mb = 1000
latency_ms = 100

[request web/write]
idempotent = no

[request web/refresh]
idempotent = yes
exclusive = yes
"""


async def _send(cluster: Cluster, entry: str, kind: str, **headers: str) -> ClientResponse:
    port = cluster.daemons[entry].ports["callers"]
    wire_headers = {name.replace("_", "-"): value for name, value in headers.items()}
    response = await call(port, "POST", f"/services/web/{kind}", body=b"x", headers=wire_headers)
    assert response is not None, f"no response from {entry}"
    return response


async def _send_write(cluster: Cluster, entry: str, key: str) -> ClientResponse:
    return await _send(cluster, entry, "write", x_request_id=key, idempotency_key=key)


async def _count_runs(cluster: Cluster, request_id: str) -> int:
    responses = [
        await call(worker.ports["api"], "GET", "/runs") for worker in cluster.workers.values()
    ]
    return sum(response.json()["requests"].get(request_id, 0) for response in responses)


async def _find_owner(cluster: Cluster, key: str) -> str:
    owners = await read_store(cluster.platform.ports["api"], "control/owners")
    group = compute_key_group(f"idempotency/web/write/{key}")
    return owners["partitions"][group]["member"].split(".")[0]


async def _start_cluster(cluster: Cluster) -> None:
    cluster.start_platform()
    for index in range(2):
        await cluster.start_worker(f"worker-{index}", ZONES[index])
    # The first daemon is the only member for a while, as after an installation.
    for index, zone in enumerate(ZONES):
        cluster.start_daemon(f"entry-{index}", zone)
        await cluster.wait_ready()
    path = Path(cluster.folder / "text.ini")
    path.write_text(DECLARATION)
    operators = cluster.daemons["entry-0"].ports["operators"]
    result = cluster.run_tool("apply", str(path), f"--daemon=127.0.0.1:{operators}")
    assert result.returncode == 0, result.stderr

    async def is_running() -> bool:
        return await cluster.count_running("entry-0", "service/") == 2

    async def is_serving() -> bool:
        responses = [await _send_write(cluster, name, f"warm/{name}") for name in cluster.daemons]
        return all(response.status == 200 for response in responses)

    await wait_for(is_running, timeout_s=60)
    await wait_for(is_serving, timeout_s=60)


class PermitProcessTest(unittest.TestCase):
    def test_key_runs_once_across_entry_vms_and_owner_failure(self) -> None:
        """Guards against running two requests with the same key.

        The second one arrives at another entry VM, or after the owner of the key has failed.
        """
        anyio.run(self._run_checks)

    async def _run_checks(self) -> None:
        cluster = Cluster(zones=ZONES)
        try:
            await _start_cluster(cluster)
            await self._check_exclusive_key(cluster)
            response = await _send(cluster, "entry-0", "write")
            self.assertEqual((response.status, response.json()["error"]), (400, "bad_request"))
            await self._check_repeated_requests(cluster)
        finally:
            cluster.stop()

    async def _check_repeated_requests(self, cluster: Cluster) -> None:
        owner = await _find_owner(cluster, "order-1")
        others = [name for name in cluster.daemons if name != owner]
        response = await _send_write(cluster, others[0], "order-1")
        self.assertEqual(response.headers["x-outcome"], "done")
        for entry in cluster.daemons:
            response = await _send_write(cluster, entry, "order-1")
            self.assertEqual(response.headers["x-outcome"], "done")
            self.assertEqual(response.headers["idempotent-replayed"], "true")
        cluster.daemons[owner].signal(signal.SIGKILL)
        for entry in others:

            async def is_decided(entry: str = entry) -> bool:
                repeat = await _send_write(cluster, entry, "order-1")
                return repeat.headers["x-outcome"] in ("done", "unknown")

            await wait_for(is_decided, timeout_s=60)
        self.assertEqual(await _count_runs(cluster, "order-1"), 1)
        fresh = await _send_write(cluster, others[0], "order-2")
        self.assertEqual(fresh.headers["x-outcome"], "done")

    async def _check_exclusive_key(self, cluster: Cluster) -> None:
        for worker in cluster.workers.values():
            await cluster.set_faults(worker, service_ms=2_500.0)
        statuses: list[int] = []

        async def refresh(entry: str) -> None:
            response = await _send(cluster, entry, "refresh", x_exclusive_key="fire-7")
            statuses.append(response.status)

        async with anyio.create_task_group() as group:
            for entry in cluster.daemons:
                group.start_soon(refresh, entry)
        self.assertEqual(sorted(statuses), [200, 409, 409])
        for worker in cluster.workers.values():
            await cluster.set_faults(worker, service_ms=10.0)
        await refresh("entry-1")
        self.assertEqual(statuses[-1], 200)


if __name__ == "__main__":
    unittest.main()
