"""Registry of the steps of a booking, in their order."""

from collections.abc import Awaitable, Callable
from typing import Any

import attrs

from clementinebank.errors import Step

StepRun = Callable[[Any], Awaitable[Step | None]]

STEP_ORDER = (
    Step.ACCEPT,
    Step.CLAIM_SEND,
    Step.CLAIM_CONFIRM,
    Step.DISPATCH,
    Step.FIRST_BYTE,
    Step.REPLY_READ,
    Step.RECORD,
    Step.RESPOND,
)


@attrs.frozen
class BookingStep:
    """One step of a booking and the function that performs it.

    Parameters
    ----------
    step : Step
        Name of the step.
    run : callable
        Coroutine function that performs the step for a ``BookingRun`` and
        returns the next step, or ``None`` after the last one.
    """

    step: Step
    run: StepRun


BOOKING_STEPS: dict[Step, BookingStep] = {}


def booking_step(step: Step) -> Callable[[StepRun], StepRun]:
    """Return a decorator that registers the function of a step.

    Raises
    ------
    ValueError
        If the step is registered already.
    """

    def register(run: StepRun) -> StepRun:
        if step in BOOKING_STEPS:
            raise ValueError(f'step {step.value} is registered twice')
        BOOKING_STEPS[step] = BookingStep(step, run)
        return run

    return register
