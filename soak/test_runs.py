"""Property test of rule TWICE, and the series of events that broke it."""

import unittest
from concurrent.futures import ProcessPoolExecutor
from functools import partial
from unittest import mock

import anyio

from coltsfootpier.cells import CellSettings
from coltsfootpier.node.keys import FLEET_KEY, OWNER_KEY
from soak import _run_model
from soak._loop import VirtualLoop, discard_loop
from soak._run_simulation import (
    COPIES,
    RANDOM,
    RECUT,
    SCHEDULED,
    RunSimulation,
    record_logs,
    run_seed,
)

JOB = "5c0e7a21d94b36f8"
TASK = f"{JOB}.0.0.0"
# Seconds in which the first owner and its runners know each other.
SETTLING_S = 2.0
SEEDS = range(20)
# Seeds of restarts, each followed by a change of owner and a cut, that have broken the rule.
RECUT_SEEDS = (15, 17, 88, 134, 217, 240, 275, 299)
COPIES_SEEDS = range(6)
SCHEDULED_SEEDS = range(6)
# Number of seeds that run at the same time.
PROCESS_COUNT = 2


class ScenarioTest(unittest.TestCase):
    """Series of events after which a task had two runs at once."""

    def setUp(self):
        self.loop = VirtualLoop()
        self.addCleanup(discard_loop, self.loop)

    def _play(self, play, *, runner_count=2, runner_rate=1.0, final_run_count=1, **settings):
        """Play a scenario and check how many runs the task has in the end, and never had two."""

        async def run():
            self.simulation = RunSimulation(
                loop=self.loop,
                seed=1,
                runner_count=runner_count,
                claims_automatically=False,
                runner_rate=runner_rate,
                cell_settings=CellSettings(**settings),
            )
            with self.simulation.patch_time(), record_logs(self.simulation):
                await self.simulation.start()
                await anyio.sleep(SETTLING_S)
                await play(self.simulation)

        self.loop.run_until_complete(run())
        history = self.simulation.history
        self.assertEqual(history.violations, [], "\n".join(history.format_events(TASK)[-80:]))
        self.assertEqual(len(history.find_runners(TASK)), final_run_count)

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

    def test_successor_reaches_fewer_than_half_of_the_runners_for_good(self):
        """Guards against a task that waits for good, and against a second run of it meanwhile."""

        async def play(simulation):
            runner, (second, third, last) = await self._start_task()
            earlier = simulation.current
            self._set_links(earlier, second, third, is_cut=False)
            await anyio.sleep(2.0)
            earlier.store.is_cut = True
            addresses = tuple(other.address for other in (runner, second, third))
            simulation.cut_from_successor = (addresses, 120.0)
            simulation.revoke_ownership()
            simulation.claim()
            await anyio.sleep(18.0)
            self.assertEqual(simulation.history.find_runners(TASK), [runner])
            await anyio.sleep(35.0)
            self.assertEqual(simulation.history.find_runners(TASK), [last])

        self._play(play, runner_count=4, max_unconfirmed_ms=20_000.0)

    def test_successor_cannot_decode_the_list_of_runners(self):
        """Guards against a second run of a task whose runner the successor doesn't know."""

        async def play(simulation):
            runner, others = await self._start_task()
            simulation.store.put(FLEET_KEY, b'{"runners":7}')
            simulation.cut_from_successor = ((runner.address,), 8.0)
            simulation.revoke_ownership()
            successor = simulation.claim()
            await anyio.sleep(2.0)
            await simulation.submit("1c0e7a21d94b36f8", duration_ms=float("inf"))
            await anyio.sleep(1.0)
            self.assertEqual(simulation.history.find_runners(TASK), [runner])
            await anyio.sleep(3.0)
            # The lease has ended, which the successor doesn't know.
            self.assertEqual(simulation.history.find_runners(TASK), [])
            self.assertEqual(simulation.history.find_runners("1c0e7a21d94b36f8.0.0.0"), others)
            await anyio.sleep(4.0)
            self.assertTrue(successor.owner.cell.fleet.is_complete)

        self._play(play)

    def test_owner_without_key_extends_leases_while_its_renewals_succeed(self):
        """Guards against renewals that count as a proof of ownership after the key was removed."""

        async def play(simulation):
            runner, _ = await self._start_task()
            earlier = simulation.current
            simulation.cut_from_successor = ((runner.address,), 60.0)
            simulation.revoke_ownership()
            simulation.claim()
            await anyio.sleep(1.0)
            ended.append(earlier.is_ended)
            await anyio.sleep(30.0)

        ended = []
        self._play(play, runner_count=3)
        self.assertEqual(ended, [True])

    def test_owner_that_is_replaced_while_it_loads_ends(self):
        """Guards against a daemon that acts as owner, and never claims again, for good."""

        async def play(simulation):
            await self._start_task()
            simulation.revoke_ownership()
            replaced = simulation.claim()
            await anyio.sleep(0.004)
            simulation.revoke_ownership()
            simulation.claim()
            replaced.owner.record_latest_generation(3)
            await anyio.sleep(5.0)
            ended.append(replaced.is_ended)

        ended = []
        self._play(play)
        self.assertEqual(ended, [True])

    def test_successor_keeps_its_lease_while_it_loads_from_a_slow_store(self):
        """Guards against owners that replace each other before any of them begins."""

        async def play(simulation):
            await self._start_task()
            with mock.patch.object(_run_model, "_STORE_DELAY_S", (0.2, 0.2)):
                simulation.revoke_ownership()
                simulation.claim()
                for _ in range(60):
                    await anyio.sleep(0.05)
                    self.assertIsNotNone(simulation.store.read(OWNER_KEY).value)

        self._play(play)

    def test_odd_runner_does_not_end_the_owner_while_the_store_is_down(self):
        """Guards against work that is lost because one runner claims to know a later owner."""

        async def play(simulation):
            runner, (other, odd) = await self._start_task()
            owner = simulation.current
            self._set_links(owner, other, odd, is_cut=False)
            await anyio.sleep(2.0)
            odd.token = 99
            simulation.store.is_down = True
            await anyio.sleep(10.0)
            simulation.store.is_down = False
            await anyio.sleep(2.0)
            ended.append(owner.is_ended)
            self.assertEqual(simulation.history.find_runners(TASK), [runner])

        ended = []
        self._play(play, runner_count=3)
        self.assertEqual(ended, [False])

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

    def test_successor_does_not_know_that_a_restarted_runner_has_the_longest_lease(self):
        """Guards against a run for which the successor assumes the usual lease."""

        async def play(simulation):
            runner, other, _ = simulation.runners
            earlier = simulation.current
            await anyio.sleep(20.0)
            self._set_links(earlier, other, is_cut=True)
            simulation.network.late_s = (3.0, 3.0)
            self._set_links(earlier, runner, late=1.0)
            await anyio.sleep(0.6)
            self._set_links(earlier, runner, late=0.0)
            simulation.restart_runner(runner, 0.2)
            self._set_links(earlier, simulation.runners[2], is_cut=True)
            await anyio.sleep(2.0)
            await simulation.submit(JOB, duration_ms=float("inf"))
            await anyio.sleep(1.0)
            self.assertEqual(simulation.history.find_runners(TASK), [runner])
            simulation.cut_from_successor = ((runner.address,), 20.0)
            earlier.store.is_cut = True
            simulation.revoke_ownership()
            simulation.claim()
            await anyio.sleep(25.0)

        self._play(play, runner_count=3)

    async def _restart_first_runner(self, *, late_s):
        """Restart the first runner; report requests from before are carried out late.

        The owner reaches only this runner from then on.
        """
        first, *others = self.simulation.runners
        owner = self.simulation.current
        await anyio.sleep(20.0)
        self.simulation.network.late_s = (late_s, late_s)
        self._set_links(owner, first, late=1.0)
        await anyio.sleep(0.6)
        self._set_links(owner, first, late=0.0)
        self.simulation.restart_runner(first, 0.2)
        self._set_links(owner, *others, is_cut=True)
        return first

    def _replace_owner(self, *unreachable, duration_s):
        """Kill the owner; its successor doesn't reach some runners for a while."""
        addresses = tuple(runner.address for runner in unreachable)
        self.simulation.cut_from_successor = (addresses, duration_s)
        self.simulation.current.host.dead = True
        self.simulation.revoke_ownership()
        self.simulation.claim()

    async def _start_task_before_restart_is_noticed(self):
        """Start the task on the first runner, on its next incarnation, which nobody has seen."""
        first, *others = self.simulation.runners
        await anyio.sleep(20.0)
        self._set_links(self.simulation.current, *others, is_cut=True)
        await anyio.sleep(2.0)
        self.simulation.restart_runner(first, 0.02)
        await anyio.sleep(0.05)
        await self.simulation.submit(JOB, duration_ms=float("inf"))
        await anyio.sleep(0.05)
        self.assertEqual(self.simulation.history.find_runners(TASK), [first])
        return first

    def test_successor_does_not_know_that_a_start_preceded_the_detection_of_a_restart(self):
        """Guards against a start whose deadline on the earlier clock gives the longest lease."""

        async def play(simulation):
            runner = await self._start_task_before_restart_is_noticed()
            await anyio.sleep(1.2)
            self._replace_owner(runner, duration_s=20.0)
            await anyio.sleep(25.0)

        self._play(play, runner_count=3)

    def test_owner_ends_before_it_detects_the_restart_that_a_start_followed(self):
        """Guards against a run with the longest lease that no owner knows of."""

        async def play(simulation):
            runner = await self._start_task_before_restart_is_noticed()
            self._replace_owner(runner, duration_s=20.0)
            await anyio.sleep(25.0)

        self._play(play, runner_count=3)

    def test_successor_does_not_know_that_a_late_deadline_preceded_the_detection_of_a_restart(self):
        """Guards against a lease that a late deadline gives before the owner sees the restart."""

        async def play(simulation):
            runner = await self._restart_first_runner(late_s=0.9)
            await anyio.sleep(1.2)
            await simulation.submit(JOB, duration_ms=float("inf"))
            await anyio.sleep(1.0)
            self.assertEqual(simulation.history.find_runners(TASK), [runner])
            self._replace_owner(runner, duration_s=20.0)
            await anyio.sleep(25.0)

        self._play(play, runner_count=3)

    def test_late_deadline_extends_the_lease_of_a_run_after_the_change_of_owner(self):
        """Guards against a deadline from before a restart that arrives after the owner is gone."""

        async def play(simulation):
            runner = await self._restart_first_runner(late_s=5.0)
            await anyio.sleep(2.0)
            await simulation.submit(JOB, duration_ms=float("inf"))
            await anyio.sleep(1.0)
            self.assertEqual(simulation.history.find_runners(TASK), [runner])
            self._replace_owner(runner, duration_s=20.0)
            await anyio.sleep(25.0)

        self._play(play, runner_count=3)

    def test_third_owner_does_not_know_that_the_runner_has_the_longest_lease(self):
        """Guards against a young incarnation that only the owner in between has seen."""

        async def play(simulation):
            runner = await self._restart_first_runner(late_s=0.9)
            await anyio.sleep(1.2)
            await simulation.submit(JOB, duration_ms=float("inf"))
            await anyio.sleep(0.5)
            self.assertEqual(simulation.history.find_runners(TASK), [runner])
            self._replace_owner(duration_s=0.0)
            await anyio.sleep(1.0)
            self._replace_owner(runner, duration_s=20.0)
            await anyio.sleep(25.0)

        self._play(play, runner_count=3)

    def test_late_request_acknowledges_an_end_of_the_next_incarnation(self):
        """Guards against a done task that starts again, as a late request hid its end."""

        async def play(simulation):
            runner, *others = simulation.runners
            owner = simulation.current
            self._set_links(owner, *others, is_cut=True)
            await anyio.sleep(20.0)
            await simulation.submit("1c0e7a21d94b36f8", duration_ms=200.0)
            await anyio.sleep(0.1)
            # The next request acknowledges the end.
            simulation.network.late_s = (7.0, 7.0)
            self._set_links(owner, runner, late=1.0)
            await anyio.sleep(0.4)
            self._set_links(owner, runner, late=0.0)
            simulation.restart_runner(runner, 0.2)
            await anyio.sleep(2.0)
            await simulation.submit(JOB, duration_ms=3_000.0)
            await anyio.sleep(1.0)
            self.assertEqual(simulation.history.find_runners(TASK), [runner])
            self._replace_owner(runner, duration_s=5.0)
            await anyio.sleep(20.0)

        self._play(play, runner_count=3, final_run_count=0)

    def test_successor_does_not_know_of_a_start_that_the_owner_sent_last(self):
        """Guards against a late start that couldn't be recorded for the successor."""

        async def play(simulation):
            runner, _, _ = await self._send_late_start(8.0)
            self._replace_owner(runner, duration_s=20.0)
            simulation.restart_runner(runner, 4.0)
            await anyio.sleep(25.0)

        self._play(play, runner_count=3)

    def test_unreachable_runner_carries_out_late_start_shortly_before_it_expires(self):
        """Guards against a start that still has a run when it can't be carried out any more."""

        async def play(simulation):
            await anyio.sleep(10.0)
            runner, _, owner = await self._send_late_start(11.8)
            await anyio.sleep(0.2)
            self._set_links(owner, runner, is_cut=True)
            await anyio.sleep(10.8)
            simulation.restart_runner(runner, 0.3)
            await anyio.sleep(20.0)

        self._play(play, runner_count=3)

    def test_superseded_owner_has_not_noticed_that_the_runner_restarted(self):
        """Guards against a start on an incarnation that the successor counts as ended."""

        async def play(simulation):
            runner, (other, _) = await self._start_task()
            earlier = simulation.current
            self._set_links(earlier, other, is_cut=False)
            await anyio.sleep(3.25)
            simulation.cut_from_successor = ((runner.address, other.address), 6.0)
            earlier.store.is_cut = True
            simulation.revoke_ownership()
            simulation.claim()
            await anyio.sleep(0.1)
            simulation.restart_runner(runner, 30.0)
            await anyio.sleep(0.3)
            simulation.restart_runner(other, 0.25)
            await anyio.sleep(8.0)

        self._play(play, runner_count=3)

    def test_owner_counts_the_longest_lease_once_a_response_shows_the_restart(self):
        """Guards against a run that its own owner takes for expired before any report shows it."""

        async def play(simulation):
            runner, *others = simulation.runners
            owner = simulation.current
            await anyio.sleep(20.0)
            self._set_links(owner, *others, is_cut=True)
            await anyio.sleep(2.0)
            simulation.restart_runner(runner, 0.02)
            await anyio.sleep(0.05)
            await simulation.submit(JOB, duration_ms=float("inf"))
            while not simulation.history.find_runners(TASK):
                await anyio.sleep(0.002)
            # The response arrives before the cut, the next report doesn't.
            await anyio.sleep(0.012)
            self._set_links(owner, runner, is_cut=True)
            self._set_links(owner, *others, is_cut=False)
            await anyio.sleep(25.0)

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

    async def _send_late_start(self, late_s):
        """Send a start to the first runner that is carried out later and gets no response."""
        first, *others = self.simulation.runners
        owner = self.simulation.current
        self._set_links(owner, *others, is_cut=True)
        await anyio.sleep(4.0)
        self.simulation.network.late_s = (late_s, late_s)
        self._set_links(owner, first, late=1.0)
        await self.simulation.submit(JOB, duration_ms=float("inf"))
        await anyio.sleep(0.1)
        self._set_links(owner, first, late=0.0)
        self._set_links(owner, *others, is_cut=False)
        return first, others, owner

    def test_unlisted_runner_restarts_and_carries_out_late_start(self):
        """Guards against a listing that frees the task of a start without a response."""

        async def play(simulation):
            runner, _, owner = await self._send_late_start(6.0)
            simulation.restart_runner(runner, 4.0)
            await anyio.sleep(3.0)
            self._set_links(owner, runner, is_cut=True)
            await anyio.sleep(6.0)
            self._set_links(owner, runner, is_cut=False)
            await anyio.sleep(10.0)

        self._play(play)

    def test_runner_rejects_late_start_and_carries_it_out_after_a_restart(self):
        """Guards against a confirmed stop that frees the task although a restart voids it."""

        async def play(simulation):
            owner = simulation.current
            runner, other = simulation.runners
            self._set_links(owner, other, is_cut=True)
            await anyio.sleep(2.0)
            # The other runner has more free capacity.
            await simulation.submit("f" * 16, duration_ms=float("inf"), count=3)
            runner, _, owner = await self._send_late_start(8.0)
            await anyio.sleep(2.0)
            self._set_links(owner, runner, is_cut=True)
            simulation.restart_runner(runner, 1.0)
            await anyio.sleep(6.0)
            self._set_links(owner, runner, is_cut=False)
            await anyio.sleep(10.0)

        self._play(play)

    def test_runner_restarts_after_its_leases_expired_and_carries_out_late_start(self):
        """Guards against an expired lease that frees the task of a start without a response."""

        async def play(simulation):
            runner, _, owner = await self._send_late_start(10.0)
            self._set_links(owner, runner, is_cut=True)
            await anyio.sleep(8.0)
            simulation.restart_runner(runner, 0.5)
            await anyio.sleep(4.0)
            self._set_links(owner, runner, is_cut=False)
            await anyio.sleep(10.0)

        self._play(play)

    def test_successor_does_not_know_of_a_late_start(self):
        """Guards against a successor that starts the task of a start without a response."""

        async def play(simulation):
            runner, _, _ = await self._send_late_start(8.0)
            await anyio.sleep(0.8)
            simulation.cut_from_successor = ((runner.address,), 8.0)
            simulation.revoke_ownership()
            simulation.claim()
            simulation.restart_runner(runner, 4.0)
            await anyio.sleep(20.0)

        self._play(play)

    def test_runner_leaves_the_registry_and_takes_late_deadline_after_its_restart(self):
        """Guards against a removed runner whose calls without a response are forgotten."""

        async def play(simulation):
            runner, other = simulation.runners
            owner = simulation.current
            await anyio.sleep(20.0)
            simulation.network.late_s = (11.5, 11.5)
            self._set_links(owner, runner, late=1.0)
            await anyio.sleep(0.6)
            self._set_links(owner, runner, late=0.0)
            self._set_links(owner, other, is_cut=True)
            simulation.restart_runner(runner, 7.0)
            await anyio.sleep(9.7)
            await simulation.submit(JOB, duration_ms=float("inf"))
            await anyio.sleep(1.4)
            self.assertEqual(simulation.history.find_runners(TASK), [runner])
            self._set_links(owner, runner, is_cut=True)
            self._set_links(owner, other, is_cut=False)
            await anyio.sleep(25.0)

        self._play(play)

    def test_removed_runner_takes_late_deadline_before_it_responds_to_a_successor(self):
        """Guards against a lease of 10 s on a runner that isn't in the fleet record."""

        async def play(simulation):
            runner, other = simulation.runners
            await anyio.sleep(20.0)
            simulation.network.late_s = (11.5, 11.5)
            self._set_links(simulation.current, runner, late=1.0)
            await anyio.sleep(0.6)
            self._set_links(simulation.current, runner, late=0.0)
            simulation.restart_runner(runner, 8.4)
            await anyio.sleep(7.4)
            simulation.cut_from_successor = ((runner.address,), 3.7)
            simulation.revoke_ownership()
            simulation.claim()
            await anyio.sleep(3.9)
            self._set_links(simulation.current, other, is_cut=True)
            await anyio.sleep(1.4)
            await simulation.submit(JOB, duration_ms=float("inf"))
            await anyio.sleep(0.5)
            self.assertEqual(simulation.history.find_runners(TASK), [runner])
            self._set_links(simulation.current, runner, is_cut=True)
            self._set_links(simulation.current, other, is_cut=False)
            await anyio.sleep(25.0)

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
        self._check_seeds(SEEDS, RANDOM)

    def test_no_task_has_two_runs_after_restarts_with_changes_of_owner(self):
        """Guards against calls from before a restart that act on the next incarnation."""
        self._check_seeds(RECUT_SEEDS, RECUT)

    def test_copies_keep_their_rules(self):
        """Guards against a third run of a speculative task, and against starts after its end.

        Neither a run 1 s after an acknowledged end `done`, nor one after `max_attempts` failures.
        """
        self._check_seeds(COPIES_SEEDS, COPIES)

    def test_scheduled_jobs(self):
        """Guards against two runs of a task whose occurrence a later owner hasn't begun."""
        self._check_seeds(SCHEDULED_SEEDS, SCHEDULED)

    def _check_seeds(self, seeds, series):
        """Run some seeds of a series and check that none of them has broken the rule."""
        with ProcessPoolExecutor(PROCESS_COUNT) as pool:
            reports = list(pool.map(partial(run_seed, duration_s=40.0, series=series), seeds))
        for seed, report in zip(seeds, reports, strict=True):
            with self.subTest(seed=seed):
                self.assertEqual(report.violations, (), "\n".join(report.events[-120:]))

    def test_seed_replays_exactly(self):
        """Guards against a violation that can't be reproduced from its seed."""
        first, second = (run_seed(3, duration_s=15.0) for _ in range(2))
        self.assertEqual(first, second)


if __name__ == "__main__":
    unittest.main()
