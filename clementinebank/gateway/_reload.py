"""Reloads the settings file when it has changed or on SIGHUP."""

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

# Interval of the check whether the file has changed without a signal; a check
# is one stat call.
FILE_CHECK_INTERVAL_S = 2.0
RELOAD_SIGNALS = (signal.SIGHUP,)

OnSettings = Callable[[GatewaySettings], None]


@attrs.define(eq=False)
class SettingsWatcher:
    """Watcher that reloads the settings after SIGHUP or a change of the file.

    Parameters
    ----------
    path : Path
        YAML settings file.
    settings : GatewaySettings
        Settings in force; an invalid file leaves them unchanged.
    on_settings : callable
        Called with the new settings if they are valid and differ from those
        in force.
    """

    path: Path
    settings: GatewaySettings
    on_settings: OnSettings
    signal_waiter: SignalWaiter = attrs.field(
        factory=lambda: SignalWaiter(RELOAD_SIGNALS)
    )
    _last_file_state: tuple[int, int] = (0, 0)

    async def run(self) -> None:
        """Watch the file and the signal until cancelled."""
        self._last_file_state = self._file_state()
        await curio.spawn(self._reload_on_signals, daemon=True)
        while True:
            await curio.sleep(FILE_CHECK_INTERVAL_S)
            state = self._file_state()
            if state != self._last_file_state:
                self._last_file_state = state
                self.reload('changed')

    def reload(self, cause: str) -> None:
        """Load the file and put its settings in force if they are valid.

        Parameters
        ----------
        cause : str
            Why the file is loaded, for the log.
        """
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

    async def _reload_on_signals(self) -> None:
        while True:
            await self.signal_waiter.wait()
            self.reload('signal')

    def _file_state(self) -> tuple[int, int]:
        """Return modification time in ns and size; the last ones on failure."""
        try:
            status = self.path.stat()
        except OSError as error:
            log_message(message_type='settings:unreadable', reason=str(error))
            return self._last_file_state
        return (status.st_mtime_ns, status.st_size)
