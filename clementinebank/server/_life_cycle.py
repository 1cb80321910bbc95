"""Phases of an instance and its shutdown after a stop signal."""

import enum
from collections.abc import Awaitable, Callable

import attrs
import curio
from eliot import log_message, write_traceback

from clementinebank.clock import now
from clementinebank.http import HttpServer
from clementinebank.invariants import check, invariant
from clementinebank.process import SignalWaiter
from clementinebank.settings import InstanceSettings

MS_PER_S = 1000
# Longest time that the shutdown waits for one hook.
HOOK_TIMEOUT_S = 0.5
# End of the shutdown limit that requests of callers may not use: it is for
# the last hooks, for closing the operators' listener and for the exit.
EXIT_RESERVE_S = 1.0

Hook = Callable[[], Awaitable[None]]


class Phase(enum.Enum):
    """Phase of an instance.

    ``LEAVING``: the stop signal has arrived; callers are still served for
    the drain delay. ``CLOSING``: the callers' listener is closed and the
    requests in flight are finished. ``STOPPED``: all listeners are closed.
    """

    SERVING = 'serving'
    LEAVING = 'leaving'
    CLOSING = 'closing'
    STOPPED = 'stopped'


class ExitStatus(enum.IntEnum):
    """Exit status of the daemon after a stop signal.

    ``REQUESTS_CUT``: the shutdown limit ended requests of callers that were
    still in flight.
    """

    DONE = 0
    REQUESTS_CUT = 3


@invariant('shutdown-cuts-no-request', 'R7')
def _has_no_request_in_flight(in_flight: int) -> bool:
    """Return whether every request was finished before its end was forced."""
    return in_flight == 0


@attrs.define(eq=False)
class LifeCycle:
    """Waits for the stop signal and shuts the listeners down in order.

    Parameters
    ----------
    settings : InstanceSettings
        Drain delay and time limit of the shutdown.
    stop_signal : SignalWaiter
        Wakes the life cycle when the process gets a stop signal.
    phase : Phase
        Current phase.
    """

    settings: InstanceSettings
    stop_signal: SignalWaiter = attrs.Factory(SignalWaiter)
    phase: Phase = Phase.SERVING
    _leaving_hooks: list[Hook] = attrs.Factory(list)
    _drained_hooks: list[Hook] = attrs.Factory(list)

    @property
    def is_serving(self) -> bool:
        """Return whether no stop signal has been handled yet."""
        return self.phase is Phase.SERVING

    def add_leaving_hook(self, hook: Hook) -> None:
        """Register a hook that runs when the shutdown starts.

        It informs others, for example peers, that this instance leaves.
        """
        self._leaving_hooks.append(hook)

    def add_drained_hook(self, hook: Hook) -> None:
        """Register a hook that runs after the last request of a caller."""
        self._drained_hooks.append(hook)

    async def run(self, callers: HttpServer, operators: HttpServer) -> int:
        """Wait for the stop signal, shut down and return the exit status.

        Parameters
        ----------
        callers, operators : HttpServer
            Listeners. The operators' listener stays open until the last
            request of a caller is finished.
        """
        await self.stop_signal.wait()
        started_at = now()
        self._enter_phase(Phase.LEAVING)
        callers.announce_close()
        await _run_hooks(self._leaving_hooks)
        drain_delay_s = self.settings.drain_delay_ms / MS_PER_S
        await curio.sleep(max(0, started_at + drain_delay_s - now()))
        self._enter_phase(Phase.CLOSING)
        end_at = started_at + self.settings.shutdown_limit_ms / MS_PER_S
        in_flight = await _close(callers, end_at - EXIT_RESERVE_S)
        is_complete = check(
            'shutdown-cuts-no-request', 'shutdown', in_flight=in_flight
        )
        await _run_hooks(self._drained_hooks)
        await _close(operators, (now() + end_at) / 2)
        self._enter_phase(Phase.STOPPED)
        return ExitStatus.DONE if is_complete else ExitStatus.REQUESTS_CUT

    def _enter_phase(self, phase: Phase) -> None:
        self.phase = phase
        log_message(message_type='life_cycle:phase', phase=phase.value)


async def _close(server: HttpServer, end_at: float) -> int:
    """Close a listener by ``end_at``; return how many requests were cut."""
    await server.stop_accepting()
    in_flight = await server.drain(max(0, end_at - now()))
    await server.abort()
    return in_flight


async def _run_hooks(hooks: list[Hook]) -> None:
    """Run the hooks concurrently, each with a timeout.

    A hook that hangs or raises neither delays the shutdown beyond the timeout
    nor fails it.
    """
    async with curio.TaskGroup() as group:
        for hook in hooks:
            await group.spawn(_run_hook, hook)


async def _run_hook(hook: Hook) -> None:
    """Run a hook; log its exception or timeout."""
    try:
        await curio.timeout_after(HOOK_TIMEOUT_S, hook)
    except (Exception, curio.TaskTimeout):
        write_traceback()
