"""Life cycle of an instance, from its start to its exit."""

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
HOOK_TIMEOUT_S = 0.5
# Part of the shutdown limit that is kept for the hooks and the exit.
EXIT_RESERVE_S = 1.0

Hook = Callable[[], Awaitable[None]]


class Phase(enum.Enum):
    """Phase of the life of an instance."""

    SERVING = 'serving'
    LEAVING = 'leaving'
    CLOSING = 'closing'
    STOPPED = 'stopped'


class ExitStatus(enum.IntEnum):
    """Exit status of the daemon after a signal."""

    DONE = 0
    REQUESTS_CUT = 3


@invariant('shutdown-cuts-no-request', 'R7')
def _is_uncut(in_flight: int) -> bool:
    return in_flight == 0


@attrs.define(eq=False)
class LifeCycle:
    """Runs the shutdown when the process is told to stop.

    Parameters
    ----------
    settings : InstanceSettings
        Delay and limit of the shutdown.
    stop_signal : SignalWaiter
        Tells when to stop.
    """

    settings: InstanceSettings
    stop_signal: SignalWaiter = attrs.Factory(SignalWaiter)
    phase: Phase = Phase.SERVING
    _on_leaving: list[Hook] = attrs.Factory(list)
    _on_gone: list[Hook] = attrs.Factory(list)

    @property
    def is_serving(self) -> bool:
        """Return whether the instance has not been told to stop."""
        return self.phase is Phase.SERVING

    def on_leaving(self, hook: Hook) -> None:
        """Register what informs others at the start of the shutdown."""
        self._on_leaving.append(hook)

    def on_gone(self, hook: Hook) -> None:
        """Register what runs after the last request."""
        self._on_gone.append(hook)

    async def run(self, callers: HttpServer, operators: HttpServer) -> int:
        """Wait for the signal, shut down and return the exit status.

        Parameters
        ----------
        callers, operators : HttpServer
            Listeners. That of the operators stays open until the last
            request of a caller is finished.
        """
        await self.stop_signal.wait()
        started = now()
        self._enter(Phase.LEAVING)
        callers.announce_close()
        await _run_hooks(self._on_leaving)
        drain_delay_s = self.settings.drain_delay_ms / MS_PER_S
        await curio.sleep(max(0, started + drain_delay_s - now()))
        self._enter(Phase.CLOSING)
        end = started + self.settings.shutdown_limit_ms / MS_PER_S
        in_flight = await _close(callers, end - EXIT_RESERVE_S)
        is_uncut = check(
            'shutdown-cuts-no-request', 'shutdown', in_flight=in_flight
        )
        await _run_hooks(self._on_gone)
        await _close(operators, (now() + end) / 2)
        self._enter(Phase.STOPPED)
        return ExitStatus.DONE if is_uncut else ExitStatus.REQUESTS_CUT

    def _enter(self, phase: Phase) -> None:
        self.phase = phase
        log_message(message_type='life_cycle:phase', phase=phase.value)


async def _close(server: HttpServer, end: float) -> int:
    """Close a listener by the given time; return the requests cut."""
    await server.stop_accepting()
    in_flight = await server.drain(max(0, end - now()))
    await server.abort()
    return in_flight


async def _run_hooks(hooks: list[Hook]) -> None:
    """Run the hooks side by side; none may delay or fail the shutdown."""
    async with curio.TaskGroup() as group:
        for hook in hooks:
            await group.spawn(_run_hook, hook)


async def _run_hook(hook: Hook) -> None:
    try:
        await curio.timeout_after(HOOK_TIMEOUT_S, hook)
    except (Exception, curio.TaskTimeout):
        write_traceback()
