"""Guards the age of the head that a watch without a change confirms.

An answer that comes before the end of the wait was given at an unknown moment:
it may have been held up for as long as it was on its way.
"""

import attrs
import curio
import pytest
from result import Ok

from clementinebank.clock import FakeClockKernel, now
from clementinebank.distribution._head_reader import WATCH_WAIT_MS, HeadReader

WAIT_S = WATCH_WAIT_MS / 1000


@attrs.define
class UnchangedAfter:
    """Key-value service that reports no change after some time."""

    delay_s: float

    async def watch(self, key, version, wait_ms):
        await curio.sleep(self.delay_s)
        return Ok(None)


@attrs.define
class RecordingExchange:
    """Exchange that records the readings of the head."""

    readings: list = attrs.Factory(list)

    @property
    def currency(self):
        return self

    def confirm(self, read_at):
        self.readings.append(read_at)


@pytest.mark.parametrize(
    ('delay_s', 'confirmed_s'),
    [(0.6 * WAIT_S, 0), (WAIT_S, WAIT_S), (1.5 * WAIT_S, WAIT_S)],
)
def test_watch_confirms_no_more_than_the_service_said(delay_s, confirmed_s):
    async def run():
        exchange = RecordingExchange()
        reader = HeadReader(UnchangedAfter(delay_s), exchange)
        reader.version = 3
        sent_at = now()
        assert await reader.read_or_watch()
        assert exchange.readings == [pytest.approx(sent_at + confirmed_s)]

    with FakeClockKernel() as kernel:
        kernel.run(run)
