"""The burn report as text and as plain data."""

from typing import Any

import attrs

from clementinebank.burn._report import (
    BurnReport,
    ObjectiveBurn,
    ServiceBurn,
    WorstPart,
)
from clementinebank.burn._windows import BUDGET_WINDOW

LIMITATION = (
    'Instances keep nothing beyond their own life: requests of instances '
    'that have ended are in no window.'
)


def burn_text(report: BurnReport) -> str:
    """Return the report as text for a person."""
    lines = [f'{len(report.instances)} instances answered. {LIMITATION}']
    lines.extend(window_coverage_lines(report))
    for service in report.services:
        lines.extend(_service_lines(service))
    return '\n'.join(lines)


def burn_data(report: BurnReport) -> dict[str, Any]:
    """Return the report as plain data for a program."""
    return {
        'wall_time': report.wall_s,
        'instances': [each.instance_id for each in report.instances],
        'unreachable': list(report.unreachable),
        'uncovered_windows': {
            label: list(names)
            for label, names in report.uncovered_windows.items()
        },
        'limitation': LIMITATION,
        'services': {
            service.name: {
                'objectives': {
                    each.kind: _objective_data(each)
                    for each in service.objectives
                },
                'worst_data_centre': _worst_data(service.worst_data_centre),
                'worst_yard': _worst_data(service.worst_yard),
            }
            for service in report.services
        },
    }


def window_coverage_lines(report: BurnReport) -> list[str]:
    """Return lines on windows that are not covered and who is unreachable."""
    lines = [
        f'window {label}: not covered by {", ".join(names)}'
        for label, names in report.uncovered_windows.items()
    ]
    lines.extend(f'unreachable: {each}' for each in report.unreachable)
    return lines or ['every window is covered by every instance']


def objective_title(objective: ObjectiveBurn) -> str:
    """Return one line with the objective, its target and the budget left."""
    is_covered = objective.burns[-1].is_covered
    state = '' if is_covered else ', as far as it is covered'
    return (
        f'{objective.kind}: target {objective.target:.2%}, budget left over '
        f'{BUDGET_WINDOW.label} {objective.budget_left:.1%}{state}'
    )


def worst_text(worst: WorstPart | None) -> str:
    """Return a data centre or yard with its count of bad results as text."""
    if worst is None:
        return 'none'
    return f'{worst.name} ({worst.bad} of {worst.total})'


def _service_lines(service: ServiceBurn) -> list[str]:
    lines = ['', service.name]
    for objective in service.objectives:
        lines.append(f'  {objective_title(objective)}')
        for burn in objective.burns:
            mark = '' if burn.is_covered else '  (not covered)'
            lines.append(
                f'    {burn.window.label:>6}: burn rate {burn.rate:8.2f}, '
                f'{burn.bad} of {burn.total} bad{mark}'
            )
        lines.extend(
            f'    BURNING over {pair.short.label} and {pair.long.label} '
            f'(threshold {pair.threshold})'
            for pair in objective.burning_pairs
        )
    lines.append(
        f'  worst data centre: {worst_text(service.worst_data_centre)}'
    )
    lines.append(f'  worst yard: {worst_text(service.worst_yard)}')
    return lines


def _objective_data(objective: ObjectiveBurn) -> dict[str, Any]:
    return {
        'target': objective.target,
        'budget_left': objective.budget_left,
        'budget_window': BUDGET_WINDOW.label,
        'windows': {
            burn.window.label: {
                'total': burn.total,
                'bad': burn.bad,
                'burn_rate': burn.rate,
                'covered': burn.is_covered,
                'uncovered_by': list(burn.uncovered_by),
            }
            for burn in objective.burns
        },
        'burning': [attrs.asdict(pair) for pair in objective.burning_pairs],
    }


def _worst_data(worst: WorstPart | None) -> dict[str, Any] | None:
    return None if worst is None else attrs.asdict(worst)
