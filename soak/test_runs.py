"""Property test of rule TWICE, and the series of events that broke it."""

import unittest
from concurrent.futures import ProcessPoolExecutor
from functools import partial

import anyio

from soak._loop import VirtualLoop, discard_loop
from soak._run_simulation import RunSimulation, record_logs, run_seed

JOB = "5c0e7a21d94b36f8"
TASK = f"{JOB}.0.0.0"
# Seconds in which the first owner and its runners know each other.
SETTLING_S = 2.0
SEEDS = range(20)
# Number of seeds that run at the same time.
PROCESS_COUNT = 2


class ScenarioTest(unittest.TestCase):
    """Series of events after which a task had two runs at once."""

    def setUp(self):
        self.loop = VirtualLoop()
        self.addCleanup(discard_loop, self.loop)

    def _play(self, play, *, runner_count=2, runner_rate=1.0):
        """Play a scenario and check that the task has one run in the end and never had two."""

        async def run():
            self.simulation = RunSimulation(
                loop=self.loop,
                seed=1,
                runner_count=runner_count,
                claims_automatically=False,
                runner_rate=runner_rate,
            )
            with self.simulation.patch_time(), record_logs(self.simulation):
                await self.simulation.start()
                await anyio.sleep(SETTLING_S)
                await play(self.simulation)

        self.loop.run_until_complete(run())
        history = self.simulation.history
        self.assertEqual(history.violations, [], "\n".join(history.format_events(TASK)[-80:]))
        self.assertEqual(len(history.find_runners(TASK)), 1)

    def _set_links(self, owner, *runners, **changes):
        addresses = [runner.address for runner in runners]
        self.simulation.set_links([owner.host.name], addresses, **changes)

    async def _start_task(self):
        """Start the task on the first runner, the only one that the owner reaches."""
        first, *others = self.simulation.runners
        self._set_links(self.simulation.current, *others, is_cut=True)
        await anyio.sleep(2.0)
        await self.simulation.submit(JOB, duration_ms=float("inf"))
        await anyio.sleep(1.0)
        self.assertEqual(self.simulation.history.find_runners(TASK), [first])
        return first, others

    def test_successor_frees_task_while_earlier_owner_extends_its_lease(self):
        """Guards against an earlier owner that reaches more runners than its successor."""

        async def play(simulation):
            runner, _ = await self._start_task()
            earlier = simulation.current
            earlier.store.is_cut = True
            simulation.cut_from_successor = ((runner.address,), 60.0)
            simulation.revoke_ownership()
            simulation.claim()
            await anyio.sleep(30.0)

        self._play(play, runner_count=3)

    def test_superseded_owner_starts_task_on_restarted_runner(self):
        """Guards against a start where the token of the successor was forgotten."""

        async def play(simulation):
            runner, (other, _) = await self._start_task()
            earlier = simulation.current
            earlier.store.is_cut = True
            self._set_links(earlier, *simulation.runners, is_cut=True)
            simulation.revoke_ownership()
            successor = simulation.claim()
            await anyio.sleep(6.0)
            self.assertEqual(simulation.history.find_runners(TASK), [runner])
            self._set_links(successor, other, is_cut=True)
            simulation.restart_runner(other, 0.02)
            self._set_links(earlier, other, is_cut=False)
            await anyio.sleep(6.0)

        self._play(play, runner_count=3)

    def test_restarted_runner_takes_deadline_on_the_clock_of_its_earlier_incarnation(self):
        """Guards against a lease of 10 s that the owner assumes to be 4 s."""

        async def play(simulation):
            runner, others = await self._start_task()
            await anyio.sleep(10.0)
            simulation.restart_runner(runner, 0.02)
            await anyio.sleep(2.0)
            self.assertEqual(simulation.history.find_runners(TASK), [runner])
            self._set_links(simulation.current, *others, is_cut=False)
            self._set_links(simulation.current, runner, is_cut=True)
            # A call without a response may extend the longest lease 12 s after the restart.
            await anyio.sleep(25.0)

        self._play(play)

    def test_restarted_runner_carries_out_late_start_of_its_earlier_incarnation(self):
        """Guards against a start whose deadline lies ahead on the clock of the new incarnation."""

        async def play(simulation):
            runner, other = simulation.runners
            owner = simulation.current
            self._set_links(owner, other, is_cut=True)
            await anyio.sleep(4.0)
            simulation.network.late_s = (6.0, 6.0)
            self._set_links(owner, runner, late=1.0)
            await simulation.submit(JOB, duration_ms=float("inf"))
            await anyio.sleep(0.2)
            self._set_links(owner, runner, late=0.0)
            await anyio.sleep(2.5)
            simulation.restart_runner(runner, 0.02)
            self._set_links(owner, other, is_cut=False)
            await anyio.sleep(8.0)

        self._play(play)

    def test_restart_in_the_registry_frees_run_of_the_new_incarnation(self):
        """Guards against a restart that frees a run that was started after it."""

        async def play(simulation):
            runner, other = simulation.runners
            other.is_unhealthy = True
            await anyio.sleep(2.0)
            simulation.restart_runner(runner, 0.02)
            await anyio.sleep(0.03)
            await simulation.submit(JOB, duration_ms=float("inf"))
            await anyio.sleep(0.1)
            other.is_unhealthy = False
            simulation.register(runner)
            await anyio.sleep(8.0)

        self._play(play)

    def test_estimate_of_the_runner_clock_grows_stale_while_responses_are_lost(self):
        """Guards against a lease that drift prolongs beyond the assumed expiry."""

        async def play(simulation):
            runner, others = await self._start_task()
            owner = simulation.current
            self._set_links(owner, runner, loses_responses=True)
            await anyio.sleep(60.0)
            self._set_links(owner, *others, is_cut=False)
            self._set_links(owner, runner, is_cut=True, loses_responses=False)
            await anyio.sleep(15.0)

        self._play(play, runner_rate=0.98)

    def test_changed_address_discards_the_lease_expiry(self):
        """Guards against a task that is freed because its runner rejects the first deadline."""

        async def play(simulation):
            runner, others = await self._start_task()
            simulation.change_address(runner, "127.0.0.1:99")
            report_count = runner.report_count
            while runner.report_count == report_count:
                await anyio.sleep(0.0005)
            runner.is_unhealthy = True
            self._set_links(simulation.current, *others, is_cut=False)
            await anyio.sleep(15.0)

        self._play(play)


class SeedTest(unittest.TestCase):
    """Random series of restarts, cuts, late calls, freezes and changes of owner."""

    def test_no_task_has_two_runs_at_once(self):
        """Guards against two runs of one task and against a run after a noted end."""
        with ProcessPoolExecutor(PROCESS_COUNT) as pool:
            reports = list(pool.map(partial(run_seed, duration_s=40.0), SEEDS))
        for seed, report in zip(SEEDS, reports, strict=True):
            with self.subTest(seed=seed):
                self.assertEqual(report.violations, (), "\n".join(report.events[-120:]))

    def test_seed_replays_exactly(self):
        """Guards against a violation that can't be reproduced from its seed."""
        first, second = (run_seed(3, duration_s=15.0) for _ in range(2))
        self.assertEqual(first, second)


if __name__ == "__main__":
    unittest.main()
