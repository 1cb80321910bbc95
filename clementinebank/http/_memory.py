"""One budget of memory for what clients make an instance hold."""

import enum
from collections.abc import Callable, Mapping

import attrs

from clementinebank.clock import now
from clementinebank.http._sheds import ShedLog

# Time without progress after which a holding may be shed for another. A
# client that a lost packet holds up makes progress again within it.
MIN_STALL_S = 0.5
# Bytes that count as progress; fewer don't, so that a trickle is no progress.
PROGRESS_STEP_BYTES = 4096


class MemoryPart(enum.Enum):
    """What the memory is held for."""

    SMALL_REQUESTS = 'small_requests'
    REQUESTS = 'requests'
    ANSWERS = 'answers'
    PEERS = 'peers'


# Share of the budget that only this part may use.
RESERVED_SHARES: Mapping[MemoryPart, float] = {
    MemoryPart.SMALL_REQUESTS: 0.1,
    MemoryPart.REQUESTS: 0.2,
    MemoryPart.ANSWERS: 0.2,
    MemoryPart.PEERS: 0.2,
}


def _zero_by_part() -> dict[MemoryPart, int]:
    return dict.fromkeys(MemoryPart, 0)


@attrs.define(eq=False)
class MemoryBudget:
    """Memory for bodies of clients, answers to them and messages of peers.

    Each part has a reserved share; what is left is taken by whoever comes
    first. Load pattern that it answers: a crowd of clients, each within its
    limits, that together send more than the memory, or that stop just short
    of the end of their bodies or don't read their answers.

    Parameters
    ----------
    max_bytes : float
        Largest sum of all holdings, in bytes.
    used_by_part : dict of MemoryPart to int
        Bytes held now.
    sheds : ShedLog
        Connections closed so far to make room.
    holdings : set of Holding
        What holds any bytes now.
    """

    max_bytes: float = float('inf')
    used_by_part: dict[MemoryPart, int] = attrs.Factory(_zero_by_part)
    sheds: ShedLog = attrs.Factory(ShedLog)
    holdings: set['Holding'] = attrs.Factory(set)

    def fits(self, part: MemoryPart, size: int) -> bool:
        """Return whether a part may grow by a number of bytes."""
        if self.max_bytes == float('inf'):
            return True
        shared = self.max_bytes * (1 - sum(RESERVED_SHARES.values()))
        used = sum(
            max(0, self._beyond_reserve(each, size if each is part else 0))
            for each in MemoryPart
        )
        grows_in_reserve = self._beyond_reserve(part, size) <= 0
        return grows_in_reserve or used <= shared

    def find_victim(self, holding: 'Holding') -> 'Holding | None':
        """Return the holding whose end makes room at the least loss.

        It is the one with the most bytes times the time without progress.
        """
        at = now()
        stalled = [
            each
            for each in self.holdings
            if each is not holding
            and each.shed is not None
            and at - each.progress_at >= MIN_STALL_S
            and (
                each.part is holding.part
                or self._beyond_reserve(each.part, 0) > 0
            )
        ]
        return max(
            stalled,
            key=lambda each: each.size * (at - each.progress_at),
            default=None,
        )

    def reserved_bytes(self, part: MemoryPart) -> float:
        """Return the bytes that only this part may use."""
        return self.max_bytes * RESERVED_SHARES[part]

    def _beyond_reserve(self, part: MemoryPart, growth: int) -> float:
        return self.used_by_part[part] + growth - self.reserved_bytes(part)


@attrs.define(eq=False)
class Holding:
    """Bytes that one connection holds of a budget.

    Parameters
    ----------
    budget : MemoryBudget
        Budget of the instance.
    part : MemoryPart
        What the bytes are held for.
    shed : callable or None
        Closes the connection at once; ``None`` while its request runs, which
        can't be undone.
    is_shed : bool
        Whether the connection was closed to make room.
    size : int
        Bytes held.
    progress_at : float
        Time of the last progress, in seconds of the runtime's clock.
    """

    budget: MemoryBudget
    part: MemoryPart
    shed: Callable[[], None] | None = None
    is_shed: bool = False
    size: int = 0
    progress_at: float = attrs.Factory(now)
    _moved: int = 0

    def grow_to(self, size: int) -> bool:
        """Hold this many bytes in all; return whether there is room.

        Others that make no progress are shed to make it.
        """
        growth = size - self.size
        if growth <= 0:
            return True
        while not self.budget.fits(self.part, growth):
            victim = self.budget.find_victim(self)
            if victim is None:
                return False
            victim.end()
        if not self.is_shed:
            self.size = size
            self.budget.used_by_part[self.part] += growth
            self.budget.holdings.add(self)
        return not self.is_shed

    def move_to(self, part: MemoryPart) -> None:
        """Give the bytes back and go on in another part."""
        self.release()
        self.part = part

    def note_progress(self, size: int) -> None:
        """Note that bytes of the client have come, or were taken by it."""
        self._moved += size
        if self._moved >= PROGRESS_STEP_BYTES:
            self._moved = 0
            self.progress_at = now()

    def release(self) -> None:
        """Give all bytes back."""
        self.budget.holdings.discard(self)
        self.budget.used_by_part[self.part] -= self.size
        self.size = 0

    def end(self) -> None:
        """Shed the connection, which makes its bytes free."""
        self.budget.sheds.record(
            self.part.value,
            bytes=self.size,
            stalled_s=round(now() - self.progress_at, 3),
        )
        self.is_shed = True
        self.release()
        if self.shed is not None:
            self.shed()
