"""Capacity for best-effort images beside serving tasks, and the queueing delay of each image.

Half of the best-effort images can use only a tenth of the unused CPU, because elsewhere they would
push serving tasks over their targets. Their jobs pile up. A queueing delay computed from all unused
CPU would accept more of these jobs than can ever end in time, and reject jobs whose images can run
everywhere.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from coltsfootpier.cells._interference import InterferenceTable, list_serving
from coltsfootpier.cells._state import Runner

# Time for which measured capacities and delays are reused; loads swing within seconds.
_REFRESH_MS = 250.0
# Number of runners from which they are reused for longer, since the time of a measurement grows
# with their number.
_REFRESH_RUNNERS = 300
# Minimum share of the unused CPU assumed to be available to an image, so that an image without
# any at the moment isn't permanently ranked behind all others.
_MIN_SHARE = 0.05


def compute_refresh_ms(runners: int) -> float:
    """Return the time for which a measurement of a number of runners is reused.

    Examples
    --------
    >>> compute_refresh_ms(176), compute_refresh_ms(1_500)
    (250.0, 1250.0)
    """
    return _REFRESH_MS * max(1.0, runners / _REFRESH_RUNNERS)


class BestEffortCapacity:
    """Capacities and queueing delays of the best-effort images of one service.

    Parameters
    ----------
    table : InterferenceTable
        Estimated interference of best-effort images with serving images.
    """

    def __init__(self, table: InterferenceTable) -> None:
        self._table = table
        # CPU in thousandths of a core that each image could use alone on each runner.
        self._free_cpus: list[dict[str, float]] = []
        self._total_cpus: dict[str, float] = {}
        self._unused_cpu = 0.0

    def measure(self, runners: Iterable[Runner], images: Iterable[str]) -> None:
        """Measure the capacity for each image on the runners of the service now.

        Parameters
        ----------
        runners : iterable of Runner
            Runners that may get new runs.
        images : iterable of str
            Images with waiting or running tasks.
        """
        images = set(images)
        self._free_cpus = []
        self._total_cpus = dict.fromkeys(images, 0.0)
        self._unused_cpu = 0.0
        for runner in runners:
            unused = _measure_unused_cpu(runner)
            self._unused_cpu += unused
            headrooms = self._table.list_headrooms(runner)
            free_cpu = {
                image: min(unused, self._table.limit_cpu(headrooms, image, runner.entry.cpu_milli))
                for image in images
            }
            for image, cpu in free_cpu.items():
                self._total_cpus[image] += cpu
            self._free_cpus.append(free_cpu)

    def estimate_share(self, image: str) -> float:
        """Return the share of the unused CPU that an image can use, up to 1."""
        if self._unused_cpu <= 0 or image not in self._total_cpus:
            return 1.0
        return max(_MIN_SHARE, self._total_cpus[image] / self._unused_cpu)

    def estimate_total_cpu(self, image: str) -> float:
        """Return the CPU in thousandths of a core that an image could use if it ran alone."""
        return self._total_cpus.get(image, self._unused_cpu)

    def estimate_delays(self, work: Mapping[str, float]) -> dict[str, float]:
        """Return the time in ms until the work of each image is done beside that of the others.

        Each image uses the runners that have capacity for it, starting with those that become
        free first. Images with the least capacity are placed first, since they have the least
        choice.

        Parameters
        ----------
        work : Mapping of str to float
            Work by image, in thousandths of a core times ms.
        """
        # Time in ms at which each runner becomes free.
        busy_until_ms = [0.0] * len(self._free_cpus)
        delays: dict[str, float] = {}
        for image in sorted(work, key=self.estimate_total_cpu):
            image_cpus = [free_cpu.get(image, 0.0) for free_cpu in self._free_cpus]
            order = sorted(
                (index for index, cpu in enumerate(image_cpus) if cpu > 0),
                key=busy_until_ms.__getitem__,
            )
            remaining, available_cpu, reached_ms = work[image], 0.0, 0.0
            for index in order:
                # All runners that are already free work until the next one becomes free.
                if available_cpu * (busy_until_ms[index] - reached_ms) >= remaining:
                    break
                remaining -= available_cpu * (busy_until_ms[index] - reached_ms)
                reached_ms = busy_until_ms[index]
                available_cpu += image_cpus[index]
            if available_cpu <= 0:
                delays[image] = float("inf") if remaining > 0 else 0.0
                continue
            delays[image] = reached_ms + remaining / available_cpu
            for index in order:
                busy_until_ms[index] = max(busy_until_ms[index], delays[image])
        return delays


def _measure_unused_cpu(runner: Runner) -> float:
    """Return the CPU that serving and urgent tasks leave unused, in thousandths of a core."""
    used = float(runner.guaranteed_cpu - runner.serving_cpu)
    used += sum(run.step.cpu_milli * run.load for run in list_serving(runner))
    return max(0.0, runner.entry.cpu_milli - used)
