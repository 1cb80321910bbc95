"""Reload of changed settings."""

import signal
from collections.abc import Callable
from pathlib import Path

import attrs
import curio
from eliot import log_message
from result import Err

from clementinebank.gateway._settings import (
    GatewaySettings,
    load_gateway_settings,
)
from clementinebank.process import SignalWaiter

# The file can change without a signal; looking at it costs one system call.
CHECK_INTERVAL_S = 2.0
RELOAD_SIGNALS = (signal.SIGHUP,)

OnSettings = Callable[[GatewaySettings], None]


@attrs.define(eq=False)
class SettingsWatcher:
    """Loads the settings again after SIGHUP or a change of the file.

    Parameters
    ----------
    path : Path
        YAML settings file.
    settings : GatewaySettings
        In force; invalid ones leave them unchanged.
    on_settings : callable
        Receives changed settings.
    """

    path: Path
    settings: GatewaySettings
    on_settings: OnSettings
    signal_waiter: SignalWaiter = attrs.field(
        factory=lambda: SignalWaiter(RELOAD_SIGNALS)
    )
    _seen: tuple[int, int] = (0, 0)

    async def run(self) -> None:
        """Watch until cancelled."""
        self._seen = self._state()
        await curio.spawn(self._follow_signals, daemon=True)
        while True:
            await curio.sleep(CHECK_INTERVAL_S)
            state = self._state()
            if state != self._seen:
                self._seen = state
                self.reload('changed')

    def reload(self, cause: str) -> None:
        """Load the file and put it in force if it is valid."""
        loaded = load_gateway_settings(self.path)
        if isinstance(loaded, Err):
            log_message(
                message_type='settings:invalid',
                cause=cause,
                problems=[str(problem) for problem in loaded.err_value],
            )
            return
        is_changed = loaded.ok_value != self.settings
        log_message(
            message_type='settings:loaded', cause=cause, is_changed=is_changed
        )
        if is_changed:
            self.settings = loaded.ok_value
            self.on_settings(loaded.ok_value)

    async def _follow_signals(self) -> None:
        while True:
            await self.signal_waiter.wait()
            self.reload('signal')

    def _state(self) -> tuple[int, int]:
        try:
            status = self.path.stat()
        except OSError as error:
            log_message(message_type='settings:unreadable', reason=str(error))
            return self._seen
        return (status.st_mtime_ns, status.st_size)
