"""Tests of the planner: commands to VMs, limit of VMs down at once, completion of waves."""

import unittest

from coltsfootpier.maintenance import (
    MaintenanceCommand,
    MaintenanceOutcome,
    MaintenanceRecord,
    VmState,
    WaveRecord,
    WorkerVm,
)
from coltsfootpier.maintenance.tests.builders import (
    MAINTENANCE_MS,
    Response,
    SimulatedVms,
    build_wave,
)


class WaveTest(unittest.TestCase):
    """A wave from its request to its completion."""

    def test_whole_wave(self):
        """Guards against a VM of the wave that gets no maintenance, or gets it twice."""
        simulation = SimulatedVms("a", "b", "c", "d")
        simulation.waves = [build_wave("a", "b", "c")]
        simulation.run(12_000)
        self.assertEqual(simulation.maintenance_counts, [1, 1, 1, 0])
        self.assertEqual(simulation.planner.get_completion_by_wave(), {1: True})
        self.assertFalse(simulation.planner.is_active)
        self.assertEqual((simulation.cordons.cordoned, simulation.cordons.ending), (set(), set()))

    def test_max_down_limit(self):
        """Guards against taking down more VMs at once than the operators allow."""
        names = tuple("abcdefgh")
        for max_down in (1, 2, 3):
            with self.subTest(max_down=max_down):
                simulation = SimulatedVms(*names)
                simulation.waves = [build_wave(*names, max_down=max_down)]
                simulation.run(30_000)
                self.assertEqual(simulation.peak_down, max_down)
                self.assertEqual(simulation.maintenance_counts, [1] * len(names))

    def test_complete_only_after_last_vm(self):
        """Guards against a wave reported as complete while a VM still waits for maintenance."""
        simulation = SimulatedVms("a", "b")
        simulation.waves = [build_wave("a", "b")]
        while not simulation.planner.get_completion_by_wave().get(1):
            self.assertLess(simulation.now_ms, 20_000)
            simulation.step()
        self.assertEqual(simulation.maintenance_counts, [1, 1])

    def test_removed_vm(self):
        """Guards against a wave that waits forever for a VM that was removed."""
        simulation = SimulatedVms("a")
        simulation.waves = [build_wave("a", "lost")]
        simulation.run(6_000)
        self.assertEqual(simulation.planner.get_completion_by_wave(), {1: True})

    def test_vm_missing_from_one_listing(self):
        """Guards against a wave reported as complete because one listing missed a VM."""
        simulation = SimulatedVms("a", "b")
        simulation.waves = [build_wave("a", "b")]
        simulation.cordons.protected = {"b-1"}
        simulation.run(5_000)
        missing = simulation.vms.pop("b")
        simulation.step()
        simulation.vms["b"] = missing
        simulation.step()
        self.assertEqual(simulation.planner.get_completion_by_wave(), {1: False})

    def test_empty_listing(self):
        """Guards against a wave reported as complete before any VM was listed."""
        simulation = SimulatedVms()
        simulation.waves = [build_wave("a")]
        simulation.run(1_000)
        self.assertEqual(simulation.planner.get_completion_by_wave(), {1: False})

    def test_vm_added_to_completed_wave(self):
        """Guards against ignoring a VM that operators add to a completed wave."""
        simulation = SimulatedVms("a", "b")
        simulation.waves = [build_wave("a")]
        simulation.run(6_000)
        simulation.waves = [build_wave("a", "b")]
        simulation.run(6_000)
        self.assertEqual(
            (simulation.maintenance_counts, simulation.planner.get_completion_by_wave()),
            ([1, 1], {1: True}),
        )

    def test_withdrawn_wave(self):
        """Guards against a VM that stays cordoned after its wave was withdrawn."""
        simulation = SimulatedVms("a")
        simulation.cordons.busy = {"a-1"}
        simulation.waves = [build_wave("a")]
        simulation.run(500)
        self.assertEqual(simulation.cordons.cordoned, {"a-1"})
        simulation.waves = []
        simulation.step()
        self.assertEqual(simulation.cordons.cordoned, set())
        self.assertEqual(simulation.maintenance_counts, [0])

    def test_vm_outside_the_wave(self):
        """Guards against endless retries of a command that the platform permanently rejects."""
        simulation = SimulatedVms("a")
        simulation.execute = lambda command: MaintenanceOutcome.FOREIGN
        simulation.waves = [build_wave("a")]
        simulation.run(2_000)
        self.assertEqual(len(simulation.commands), 1)
        self.assertEqual(simulation.planner.get_completion_by_wave(), {1: True})

    def test_two_waves_with_one_vm(self):
        """Guards against commands of two waves to one VM at the same time."""
        simulation = SimulatedVms("a", "b")
        simulation.waves = [build_wave("a", "b"), build_wave("a", number=2)]
        simulation.step()
        self.assertEqual(
            len({command.vm_id for command in simulation.commands}), len(simulation.commands)
        )
        simulation.run(10_000)
        self.assertEqual(simulation.planner.get_completion_by_wave(), {1: True, 2: True})


class ChoiceTest(unittest.TestCase):
    """Choice of the next VM, and how long it waits to become idle."""

    def test_least_used_first(self):
        """Guards against ending the runs of a busy VM while less used VMs are still waiting."""
        simulation = SimulatedVms("a", "b", "c")
        simulation.cordons.ending_costs = {"a-1": 900.0, "b-1": 100.0, "c-1": 500.0}
        simulation.waves = [build_wave("a", "b", "c")]
        simulation.run(10_000)
        self.assertEqual([command.vm_id for command in simulation.commands], ["b", "c", "a"])

    def test_waits_for_short_task(self):
        """Guards against ending a short batch task although there is time for it to finish."""
        simulation = SimulatedVms("a")
        simulation.cordons.busy = {"a-1"}
        simulation.waves = [build_wave("a")]
        simulation.run(1_000)
        self.assertEqual((simulation.commands, simulation.cordons.cordoned), ([], {"a-1"}))
        simulation.cordons.busy = set()
        simulation.step()
        self.assertEqual(simulation.maintenance_counts, [1])

    def test_wait_is_bounded(self):
        """Guards against a wave that is blocked by a task that doesn't end."""
        simulation = SimulatedVms("a")
        simulation.cordons.busy = {"a-1"}
        simulation.waves = [build_wave("a")]
        simulation.run(3_000)
        self.assertEqual(simulation.maintenance_counts, [1])

    def test_no_wait_close_to_deadline(self):
        """Guards against a wave that misses its deadline because each VM waits to become idle."""
        simulation = SimulatedVms("a", "b", "c")
        simulation.cordons.busy = {"a-1", "b-1", "c-1"}
        simulation.waves = [build_wave("a", "b", "c", duration_ms=9_000.0)]
        simulation.run(9_000)
        self.assertEqual(simulation.maintenance_counts, [1, 1, 1])

    def test_long_running_tasks_are_not_ended_beyond_limit(self):
        """Guards against a long-running step that loses more tasks at once than it tolerates."""
        simulation = SimulatedVms("a", "b")
        simulation.cordons.protected = {"a-1"}
        simulation.waves = [build_wave("a", "b")]
        simulation.run(8_000)
        self.assertEqual(simulation.maintenance_counts[0], 0)
        simulation.cordons.protected = set()
        simulation.run(6_000)
        self.assertEqual(simulation.maintenance_counts, [1, 1])

    def test_crash_while_cordoned(self):
        """Guards against a cordon that stays, or a command for an incarnation that has ended.

        The VM crashes while it is cordoned, and its runner returns under another identifier.
        """
        simulation = SimulatedVms("a")
        simulation.cordons.busy = {"a-1"}
        simulation.waves = [build_wave("a")]
        simulation.run(300)
        simulation.vms["a"].incarnation = 2
        simulation.step()
        self.assertNotIn("a-1", simulation.cordons.cordoned)
        simulation.run(2_000)
        self.assertEqual(simulation.maintenance_counts, [1])

    def test_vm_without_a_runner(self):
        """Guards against a wave that never completes because one of its VMs has no runner."""
        simulation = SimulatedVms("a")
        listed = [WorkerVm(id="a", state=VmState.UP)]
        simulation.list_vms = lambda: [] if simulation.maintenance_counts[0] else listed
        simulation.waves = [build_wave("a")]
        simulation.run(1_000)
        self.assertEqual(simulation.maintenance_counts, [1])


class ResponseTest(unittest.TestCase):
    """Commands that are rejected, lose their response, or are executed late."""

    def test_lost_response(self):
        """Guards against a second VM taken down after a command whose response was lost."""
        simulation = SimulatedVms("a", "b", "c")
        simulation.responses = [Response.LOST]
        simulation.waves = [build_wave("a", "b", "c")]
        simulation.run(15_000)
        self.assertEqual(simulation.peak_down, 1)
        self.assertEqual(simulation.maintenance_counts, [1, 1, 1])
        self.assertEqual(simulation.cordons.ended[0], "a-1")

    def test_delayed_command(self):
        """Guards against a second VM taken down before a delayed command is executed."""
        simulation = SimulatedVms("a", "b")
        simulation.responses = [Response.LATE, Response.LATE, Response.LATE]
        simulation.waves = [build_wave("a", "b")]
        simulation.run(15_000)
        self.assertEqual(simulation.peak_down, 1)
        self.assertEqual(simulation.maintenance_counts, [1, 1])

    def test_busy_vm_is_retried(self):
        """Guards against skipping a VM for good because it was busy once."""
        simulation = SimulatedVms("a", "b")
        execute, outcomes = simulation.execute, [
            MaintenanceOutcome.BUSY,
            MaintenanceOutcome.REFUSED,
        ]
        simulation.execute = lambda command: outcomes.pop(0) if outcomes else execute(command)
        simulation.waves = [build_wave("a", "b")]
        simulation.run(10_000)
        self.assertEqual(simulation.maintenance_counts, [1, 1])

    def test_next_owner_counts_commands_in_flight(self):
        """Guards against two successive owners that together take down more VMs than allowed."""
        simulation = SimulatedVms("a", "b")
        simulation.responses = [Response.LATE]
        simulation.waves = [build_wave("a", "b")]
        simulation.step()
        record = simulation.planner.export()
        self.assertEqual(record.waves[0].ordered, ("a",))
        simulation.change_owner(record)
        simulation.responses = [Response.LATE] * 10
        simulation.run(2_500)
        self.assertEqual({command.vm_id for command in simulation.commands}, {"a"})
        simulation.responses = []
        simulation.run(12_000)
        self.assertEqual((simulation.peak_down, simulation.maintenance_counts), (1, [1, 1]))

    def test_next_owner_waits_before_it_commands_a_vm_of_its_predecessor(self):
        """Guards against commands of two owners for one VM within the platform's pause.

        The VM's maintenance for the first wave has begun, so only the second wave names it again.
        """
        for is_completed in (False, True):
            for has_both in (False, True):
                with self.subTest(is_completed=is_completed, has_both=has_both):
                    first, second = build_wave("a", "b"), build_wave("a", "c", number=2)
                    wave = WaveRecord(
                        number=1, began_unix_ms=0.0, begun=("a",), completed=is_completed
                    )
                    simulation = SimulatedVms("a", "b", "c", record=MaintenanceRecord((wave,)))
                    simulation.waves = [first, second] if has_both else [first]
                    simulation.step()
                    simulation.waves = [first, second]
                    simulation.run(simulation.takeover_delay_ms - 200.0)
                    self.assertNotIn("a", {command.vm_id for command in simulation.commands})
                    self.assertIn("c", {command.vm_id for command in simulation.commands})
                    simulation.run(5_000)
                    self.assertIn(MaintenanceCommand(wave=2, vm_id="a"), simulation.commands)

    def test_owner_of_both_waves_does_not_wait(self):
        """Guards against a pause between two waves that only a change of owner requires."""
        simulation = SimulatedVms("a")
        simulation.waves = [build_wave("a"), build_wave("a", number=2)]
        simulation.run(MAINTENANCE_MS + 1_000)
        self.assertEqual([command.wave for command in simulation.commands], [1, 2])

    def test_next_owner_continues_wave(self):
        """Guards against a change of owner that restarts a wave or repeats maintenance of a VM."""
        record = MaintenanceRecord(
            (WaveRecord(number=1, began_unix_ms=0.0, begun=("a",)),),
        )
        simulation = SimulatedVms("a", "b", record=record)
        simulation.waves = [build_wave("a", "b")]
        simulation.run(5_000)
        self.assertEqual(simulation.commands, [MaintenanceCommand(wave=1, vm_id="b")])
        self.assertEqual(simulation.planner.get_completion_by_wave(), {1: True})

    def test_completed_wave_stays_completed(self):
        """Guards against a completed wave shown as running again after a change of owner."""
        record = MaintenanceRecord(
            (WaveRecord(number=1, began_unix_ms=0.0, begun=("a",), completed=True),),
        )
        simulation = SimulatedVms("a", record=record)
        simulation.waves = [build_wave("a")]
        simulation.run(1_000)
        self.assertEqual(
            (simulation.commands, simulation.planner.get_completion_by_wave()), ([], {1: True})
        )


if __name__ == "__main__":
    unittest.main()
