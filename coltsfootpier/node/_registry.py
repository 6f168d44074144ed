"""Reading of the runner registry, and merging with the runners in use after an outage."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from returns.result import Failure, Result

from coltsfootpier.cells import RunnerEntry
from coltsfootpier.platform import Item, decode_runner_entry

# Time after an outage in which runners without an entry stay in use. Runners whose entries expired
# during the outage register again within about 2,000 ms of its end; the rest covers the time
# between two reads of the registry.
REREGISTRATION_GRACE_MS = 2_500.0
# Maximum length of a key in a log line, in characters; the platform allows 200 bytes.
_MAX_LOGGED_KEY = 200


class RegistryReader:
    """Decoder of the registry that refuses malformed entries and logs each once.

    Parameters
    ----------
    log : callable
        Callback that logs one event with its fields.
    """

    def __init__(self, *, log: Callable[..., None]) -> None:
        self._log = log
        # Reason why each malformed entry of the last reading was refused, by key.
        self._refused: dict[str, str] = {}
        # Value and decoded entry of each key of the last reading. Most values are the same in the
        # next one, and decoding 1,500 of them takes 0.1 s.
        self._decoded: dict[str, tuple[bytes | None, Result[RunnerEntry, str]]] = {}

    def decode(self, items: Iterable[Item]) -> list[RunnerEntry]:
        """Return the runners of a reading; an entry that is refused doesn't affect the others."""
        entries: list[RunnerEntry] = []
        refused: dict[str, str] = {}
        earlier, self._decoded = self._decoded, {}
        for item in items:
            value, decoded = earlier.get(item.key, (None, None))
            if decoded is None or value != item.value:
                decoded = decode_runner_entry(item)
            self._decoded[item.key] = (item.value, decoded)
            if not isinstance(decoded, Failure):
                entries.append(decoded.unwrap())
                continue
            reason = refused[item.key] = decoded.failure()
            if self._refused.get(item.key) != reason:
                self._log("registry entry refused", key=item.key[:_MAX_LOGGED_KEY], reason=reason)
        self._refused = refused
        return entries


class RegistryMerger:
    """Retains runners whose entries expired during an outage until they can register again.

    Examples
    --------
    >>> merger, entry = RegistryMerger(), RunnerEntry(id="a", service="s", address="h:1")
    >>> merger.record_failure()
    >>> merger.merge([], [entry], 0.0) == [entry]
    True
    >>> merger.merge([], [entry], REREGISTRATION_GRACE_MS)
    []
    """

    def __init__(self) -> None:
        self._is_unreadable = False
        self._recovered_ms = float("-inf")

    def record_failure(self) -> None:
        """Record that the registry could not be read."""
        self._is_unreadable = True

    def merge(
        self, entries: Iterable[RunnerEntry], in_use: Iterable[RunnerEntry], now_ms: float
    ) -> list[RunnerEntry]:
        """Return the runners to use after a read of the registry.

        Parameters
        ----------
        entries : iterable of RunnerEntry
            Current entries of the registry.
        in_use : iterable of RunnerEntry
            Runners in use before the read.
        now_ms : float
            Local time in ms.
        """
        if self._is_unreadable:
            self._is_unreadable = False
            self._recovered_ms = now_ms
        merged = list(entries)
        if now_ms - self._recovered_ms < REREGISTRATION_GRACE_MS:
            known = {entry.id for entry in merged}
            merged += [entry for entry in in_use if entry.id not in known]
        return merged
