"""Proof that no later owner of the cell acts yet, with and without the store.

An owner that can't reach the store doesn't know whether the store is down, which leaves it the only
owner, or whether the others still reach it and have replaced the owner. A later owner sends its
higher fencing token to every runner, and a runner rejects the earlier owner from then on. So an
owner whose commands are accepted by more than half of the runners precedes any owner that at least
half of them have accepted. It relies on them for a limited time only, so that a successor that half
of them don't accept knows when the earlier owner has stopped.
"""

from __future__ import annotations

from collections.abc import Iterable

from coltsfootpier.cells._settings import CellSettings
from coltsfootpier.cells._state import Runner

# Lists of runners up to this length are searched for each decision, which takes 0.1 ms at most.
# Each report needs a decision, and while the store's proof is old, a search of 1,500 runners for
# each took two thirds of the owner's processor time.
_LONGEST_UNTIMED_LIST = 200
# Pause after a search of a longer list, in ms for each of its runners: about fifty times the
# duration of the search. Until the next one the proof may be taken for older than it is.
_SEARCH_PAUSE_MS = 0.02


class OwnershipProof:
    """Decides whether the owner may extend leases, start runs and rely on expired leases.

    Parameters
    ----------
    settings : CellSettings
        Validity of a proof.
    runners : dict of str to Runner
        Runners of the cell by identifier, shared with the fleet.

    Attributes
    ----------
    store_confirmed_ms : float
        Latest local time at which the store showed that no later owner existed, counted from before
        the call was sent.
    """

    def __init__(self, *, settings: CellSettings, runners: dict[str, Runner]) -> None:
        self._settings = settings
        self._runners = runners
        self.store_confirmed_ms = float("-inf")
        # Lists of runners of which a later owner has read one: the durable one, and one that is
        # being written.
        self._recorded: tuple[frozenset[str], ...] = ()
        # When more than half of each list is known to have accepted the owner.
        self._majority_ms = float("-inf")
        # When a list that is too long for a search at each decision may be searched next.
        self._next_search_ms = float("-inf")

    def record_confirmation(self, sent_ms: float) -> None:
        """Record that the store showed that no later owner existed at a local time."""
        self.store_confirmed_ms = max(self.store_confirmed_ms, sent_ms)

    def set_recorded(self, *recorded: Iterable[str]) -> None:
        """Set the lists of runners that a later owner may read from the store."""
        lists = tuple(dict.fromkeys(frozenset(runner_ids) for runner_ids in recorded))
        if lists != self._recorded:
            self._recorded = lists
            self._majority_ms = self._next_search_ms = float("-inf")

    def is_valid(self, now_ms: float) -> bool:
        """Return whether no later owner can rely on this owner having stopped."""
        validity_ms = self._settings.proof_validity_ms
        # A successor counts from its claim, which no confirmation follows.
        if now_ms >= self.store_confirmed_ms + self._settings.max_unconfirmed_ms:
            return False
        if now_ms < max(self.store_confirmed_ms, self._majority_ms) + validity_ms:
            return True
        self._search_majority(now_ms)
        return now_ms < self._majority_ms + validity_ms

    def _search_majority(self, now_ms: float) -> None:
        """Update the time of the majority, unless a long list was searched just before."""
        if now_ms < self._next_search_ms:
            return
        # A restart doesn't undo an acceptance before it.
        self._majority_ms = max(self._majority_ms, self._find_common_majority_ms())
        longest = max(map(len, self._recorded), default=0)
        if longest > _LONGEST_UNTIMED_LIST:
            self._next_search_ms = now_ms + _SEARCH_PAUSE_MS * longest

    def measure_age_ms(self, now_ms: float) -> float:
        """Return the age of the latest proof."""
        age_ms = now_ms - self.store_confirmed_ms
        if age_ms <= self._settings.lease_slack_ms:
            return age_ms
        self._search_majority(now_ms)
        return now_ms - max(self.store_confirmed_ms, self._majority_ms)

    def find_latest(self) -> tuple[str, float]:
        """Return who gave the latest proof (``store`` or ``runners``), and its local time."""
        # A restart doesn't undo an acceptance before it.
        majority_ms = max(self._majority_ms, self._find_common_majority_ms())
        if majority_ms > self.store_confirmed_ms:
            return "runners", majority_ms
        return "store", self.store_confirmed_ms

    def covers_expiry(self, lease_expiry_ms: float) -> bool:
        """Return whether leases that expired at a local time were extended by no later owner.

        The store has to confirm the ownership after the expiry. Runners can't replace it, because
        the one whose leases have expired may be reachable for a later owner only.
        """
        return self.store_confirmed_ms > lease_expiry_ms

    def covers_end(self, shown_ms: float) -> bool:
        """Return whether no later owner relied on an end that a listing showed at a local time.

        A later owner may have started the tasks of the runner elsewhere before the latest proof
        expires.
        """
        return self.find_latest()[1] > shown_ms

    def covers_incarnation(self, runner: Runner) -> bool:
        """Return whether a runner's incarnation accepted this owner before any later one.

        One that started since the store confirmed the ownership last may have forgotten the token
        of a later owner, which counts the earlier incarnation as ended.
        """
        return runner.first_accepted_ms <= self.store_confirmed_ms

    def _find_common_majority_ms(self) -> float:
        return min(
            (self._find_majority_ms(runner_ids) for runner_ids in self._recorded),
            default=float("-inf"),
        )

    def _find_majority_ms(self, runner_ids: frozenset[str]) -> float:
        """Return the latest time since which more than half of the runners accepted the owner."""
        find, confirmed_ms = self._runners.get, self.store_confirmed_ms
        accepted = [
            runner.accepted_ms
            for runner_id in runner_ids
            # As `covers_incarnation`; a call for each runner doubles the time of the search.
            if (runner := find(runner_id)) is not None and runner.first_accepted_ms <= confirmed_ms
        ]
        needed = len(runner_ids) // 2 + 1
        if len(accepted) < needed:
            return float("-inf")
        accepted.sort(reverse=True)
        return accepted[needed - 1]
