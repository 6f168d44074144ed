"""Waves of upkeep: how many VMs are down, which, and when a wave is complete."""

import unittest

from coltsfootpier.upkeep import (
    UpkeepOrder,
    UpkeepOutcome,
    UpkeepRecord,
    VmState,
    WaveRecord,
    WorkerVm,
)
from coltsfootpier.upkeep.tests.builders import Answer, SimulatedVms, build_wave


class WaveTest(unittest.TestCase):
    """A wave from its request to its end."""

    def test_whole_wave(self):
        """Guards against a VM without its upkeep, or one that has it twice."""
        world = SimulatedVms("a", "b", "c", "d")
        world.waves = [build_wave("a", "b", "c")]
        world.run(12_000)
        self.assertEqual(world.upkeeps, [1, 1, 1, 0])
        self.assertEqual(world.planner.list_states(), {1: True})
        self.assertFalse(world.planner.is_active)
        self.assertEqual((world.cordons.cordoned, world.cordons.ending), (set(), set()))

    def test_limit(self):
        """Guards against more VMs down at once than the operators allow."""
        names = tuple("abcdefgh")
        for max_down in (1, 2, 3):
            with self.subTest(max_down=max_down):
                world = SimulatedVms(*names)
                world.waves = [build_wave(*names, max_down=max_down)]
                world.run(30_000)
                self.assertEqual(world.most_down, max_down)
                self.assertEqual(world.upkeeps, [1] * len(names))

    def test_complete_only_after_the_last(self):
        """Guards against a wave that is called complete while a VM waits for its upkeep."""
        world = SimulatedVms("a", "b")
        world.waves = [build_wave("a", "b")]
        while not world.planner.list_states().get(1):
            self.assertLess(world.now_ms, 20_000)
            world.step()
        self.assertEqual(world.upkeeps, [1, 1])

    def test_gone_vm(self):
        """Guards against a wave that waits for ever for a VM that was removed."""
        world = SimulatedVms("a")
        world.waves = [build_wave("a", "lost")]
        world.run(6_000)
        self.assertEqual(world.planner.list_states(), {1: True})

    def test_vm_missing_from_one_listing(self):
        """Guards against a wave called complete because one page of a listing missed a VM."""
        world = SimulatedVms("a", "b")
        world.waves = [build_wave("a", "b")]
        world.cordons.unendable = {"b-1"}
        world.run(5_000)
        missing = world.vms.pop("b")
        world.step()
        world.vms["b"] = missing
        world.step()
        self.assertEqual(world.planner.list_states(), {1: False})

    def test_empty_listing(self):
        """Guards against a wave called complete before any VM was listed."""
        world = SimulatedVms()
        world.waves = [build_wave("a")]
        world.run(1_000)
        self.assertEqual(world.planner.list_states(), {1: False})

    def test_wave_that_grows(self):
        """Guards against a VM that was added to a wave after its end and stays without upkeep."""
        world = SimulatedVms("a", "b")
        world.waves = [build_wave("a")]
        world.run(6_000)
        world.waves = [build_wave("a", "b")]
        world.run(6_000)
        self.assertEqual((world.upkeeps, world.planner.list_states()), ([1, 1], {1: True}))

    def test_withdrawn_wave(self):
        """Guards against a VM that gets nothing more after its wave was withdrawn."""
        world = SimulatedVms("a")
        world.cordons.busy = {"a-1"}
        world.waves = [build_wave("a")]
        world.run(500)
        self.assertEqual(world.cordons.cordoned, {"a-1"})
        world.waves = []
        world.step()
        self.assertEqual(world.cordons.cordoned, set())
        self.assertEqual(world.upkeeps, [0])

    def test_vm_that_is_not_of_the_wave(self):
        """Guards against an order that is refused for good and sent for ever."""
        world = SimulatedVms("a")
        world.carry_out = lambda order: UpkeepOutcome.FOREIGN
        world.waves = [build_wave("a")]
        world.run(2_000)
        self.assertEqual(len(world.orders), 1)
        self.assertEqual(world.planner.list_states(), {1: True})

    def test_two_waves_with_one_vm(self):
        """Guards against orders of two waves for one VM at the same time."""
        world = SimulatedVms("a", "b")
        world.waves = [build_wave("a", "b"), build_wave("a", number=2)]
        world.step()
        self.assertEqual(len({order.vm_id for order in world.orders}), len(world.orders))
        world.run(10_000)
        self.assertEqual(world.planner.list_states(), {1: True, 2: True})


class ChoiceTest(unittest.TestCase):
    """Which VM goes down, and how long it waits."""

    def test_least_used_first(self):
        """Guards against work that is thrown away while idle VMs wait for their upkeep."""
        world = SimulatedVms("a", "b", "c")
        world.cordons.uses = {"a-1": 900.0, "b-1": 100.0, "c-1": 500.0}
        world.waves = [build_wave("a", "b", "c")]
        world.run(10_000)
        self.assertEqual([order.vm_id for order in world.orders], ["b", "c", "a"])

    def test_waits_for_short_work(self):
        """Guards against batch work that is cut off although there was time to let it end."""
        world = SimulatedVms("a")
        world.cordons.busy = {"a-1"}
        world.waves = [build_wave("a")]
        world.run(1_000)
        self.assertEqual((world.orders, world.cordons.cordoned), ([], {"a-1"}))
        world.cordons.busy = set()
        world.step()
        self.assertEqual(world.upkeeps, [1])

    def test_wait_is_bounded(self):
        """Guards against a wave that is held up by work that doesn't end."""
        world = SimulatedVms("a")
        world.cordons.busy = {"a-1"}
        world.waves = [build_wave("a")]
        world.run(3_000)
        self.assertEqual(world.upkeeps, [1])

    def test_no_wait_when_the_time_is_short(self):
        """Guards against a wave that is late because each VM waits for its work."""
        world = SimulatedVms("a", "b", "c")
        world.cordons.busy = {"a-1", "b-1", "c-1"}
        world.waves = [build_wave("a", "b", "c", duration_ms=9_000.0)]
        world.run(9_000)
        self.assertEqual(world.upkeeps, [1, 1, 1])

    def test_long_running_tasks_are_not_ended_beyond_their_limit(self):
        """Guards against a step with fewer tasks at work than it allows."""
        world = SimulatedVms("a", "b")
        world.cordons.unendable = {"a-1"}
        world.waves = [build_wave("a", "b")]
        world.run(8_000)
        self.assertEqual(world.upkeeps[0], 0)
        world.cordons.unendable = set()
        world.run(6_000)
        self.assertEqual(world.upkeeps, [1, 1])

    def test_vm_that_crashed_while_it_waited(self):
        """Guards against a cordon that stays on a runner, or an order for a life that is over."""
        world = SimulatedVms("a")
        world.cordons.busy = {"a-1"}
        world.waves = [build_wave("a")]
        world.run(300)
        world.vms["a"].life = 2
        world.step()
        self.assertNotIn("a-1", world.cordons.cordoned)
        world.run(2_000)
        self.assertEqual(world.upkeeps, [1])

    def test_vm_without_a_runner(self):
        """Guards against a wave that never ends because one of its VMs is switched off."""
        world = SimulatedVms("a")
        listed = [WorkerVm(id="a", state=VmState.UP)]
        world.list_vms = lambda: [] if world.upkeeps[0] else listed
        world.waves = [build_wave("a")]
        world.run(1_000)
        self.assertEqual(world.upkeeps, [1])


class AnswerTest(unittest.TestCase):
    """Orders that are refused, lost, or carried out late."""

    def test_lost_answer(self):
        """Guards against a VM that is taken down beside one whose order was carried out."""
        world = SimulatedVms("a", "b", "c")
        world.answers = [Answer.LOST]
        world.waves = [build_wave("a", "b", "c")]
        world.run(15_000)
        self.assertEqual(world.most_down, 1)
        self.assertEqual(world.upkeeps, [1, 1, 1])
        self.assertEqual(world.cordons.ended[0], "a-1")

    def test_late_order(self):
        """Guards against another VM that goes down before a late order is carried out."""
        world = SimulatedVms("a", "b")
        world.answers = [Answer.LATE, Answer.LATE, Answer.LATE]
        world.waves = [build_wave("a", "b")]
        world.run(15_000)
        self.assertEqual(world.most_down, 1)
        self.assertEqual(world.upkeeps, [1, 1])

    def test_busy_vm_is_tried_again(self):
        """Guards against a VM that is left out because it was busy once."""
        world = SimulatedVms("a", "b")
        carry_out, outcomes = world.carry_out, [UpkeepOutcome.BUSY, UpkeepOutcome.REFUSED]
        world.carry_out = lambda order: outcomes.pop(0) if outcomes else carry_out(order)
        world.waves = [build_wave("a", "b")]
        world.run(10_000)
        self.assertEqual(world.upkeeps, [1, 1])

    def test_next_owner_counts_what_may_be_under_way(self):
        """Guards against two owners that take down more VMs than allowed between them."""
        world = SimulatedVms("a", "b")
        world.answers = [Answer.LATE]
        world.waves = [build_wave("a", "b")]
        world.step()
        record = world.planner.export()
        self.assertEqual(record.waves[0].ordered, ("a",))
        world.restart(record)
        world.answers = [Answer.LATE] * 10
        world.run(2_500)
        self.assertEqual({order.vm_id for order in world.orders}, {"a"})
        world.answers = []
        world.run(12_000)
        self.assertEqual((world.most_down, world.upkeeps), (1, [1, 1]))

    def test_next_owner_goes_on(self):
        """Guards against a VM that is taken down again, and a wave that begins anew."""
        record = UpkeepRecord(
            (WaveRecord(number=1, began_unix_ms=0.0, begun=("a",)),),
        )
        world = SimulatedVms("a", "b", record=record)
        world.waves = [build_wave("a", "b")]
        world.run(5_000)
        self.assertEqual(world.orders, [UpkeepOrder(wave=1, vm_id="b")])
        self.assertEqual(world.planner.list_states(), {1: True})

    def test_completed_wave_stays_so(self):
        """Guards against a wave that an operator sees as running again after a change of owner."""
        record = UpkeepRecord(
            (WaveRecord(number=1, began_unix_ms=0.0, begun=("a",), completed=True),),
        )
        world = SimulatedVms("a", record=record)
        world.waves = [build_wave("a")]
        world.run(1_000)
        self.assertEqual((world.orders, world.planner.list_states()), ([], {1: True}))


if __name__ == "__main__":
    unittest.main()
