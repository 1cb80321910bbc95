"""The burn report as one self-contained HTML page."""

import html

from clementinebank.burn._report import (
    BurnReport,
    ObjectiveBurn,
    ServiceBurn,
)
from clementinebank.burn._text import (
    LIMITATION,
    objective_title,
    window_coverage_lines,
    worst_text,
)
from clementinebank.burn._windows import BUDGET_WINDOW

SECONDS_PER_MINUTE = 60
PLOT_WIDTH_PX = 720
PLOT_HEIGHT_PX = 120
BIN_MINUTES = 5
STYLE = (
    'body{font-family:sans-serif;margin:2em;max-width:60em}'
    'table{border-collapse:collapse}'
    'td,th{border:1px solid #bbb;padding:.2em .6em;text-align:right}'
    '.burning{color:#b00020;font-weight:bold}.uncovered{color:#777}'
)


def burn_html(report: BurnReport) -> str:
    """Return the report as an HTML page that loads no other file."""
    coverage_items = ''.join(
        f'<li>{html.escape(line)}</li>'
        for line in window_coverage_lines(report)
    )
    minute = int(report.wall_s // SECONDS_PER_MINUTE)
    services = ''.join(
        _service_section(service, minute) for service in report.services
    )
    return (
        '<!DOCTYPE html><html lang="en"><head><meta charset="utf-8">'
        f'<title>Burn report</title><style>{STYLE}</style></head><body>'
        f'<h1>Burn report</h1><p>{len(report.instances)} instances '
        f'answered. {html.escape(LIMITATION)}</p><ul>{coverage_items}</ul>'
        f'{services}</body></html>\n'
    )


def _service_section(service: ServiceBurn, minute: int) -> str:
    parts = [f'<h2>{html.escape(service.name)}</h2>']
    for objective in service.objectives:
        parts.append(f'<h3>{html.escape(objective_title(objective))}</h3>')
        parts.append(_table(objective))
        parts.append(_plot(objective, minute))
    centre = html.escape(worst_text(service.worst_data_centre))
    yard = html.escape(worst_text(service.worst_yard))
    parts.append(f'<p>Worst data centre: {centre}. Worst yard: {yard}.</p>')
    return ''.join(parts)


def _table(objective: ObjectiveBurn) -> str:
    rows = []
    for burn in objective.burns:
        css_class = '' if burn.is_covered else ' class="uncovered"'
        uncovered_by = ', '.join(burn.uncovered_by)
        note = f'not covered by {uncovered_by}' if uncovered_by else 'covered'
        rows.append(
            f'<tr{css_class}><td>{burn.window.label}</td>'
            f'<td>{burn.rate:.2f}</td><td>{burn.bad}</td>'
            f'<td>{burn.total}</td><td>{html.escape(note)}</td></tr>'
        )
    alarms = ''.join(
        f'<p class="burning">Burning over {pair.short.label} and '
        f'{pair.long.label}, threshold {pair.threshold}</p>'
        for pair in objective.burning_pairs
    )
    return (
        '<table><tr><th>window</th><th>burn rate</th><th>bad</th>'
        f'<th>requests</th><th>coverage</th></tr>{"".join(rows)}</table>'
        f'{alarms}'
    )


def _plot(objective: ObjectiveBurn, minute: int) -> str:
    """Return a plot of the share of bad requests per bin as inline SVG."""
    ratios_by_bin = _bad_ratios(objective, minute)
    allowed = 1 - objective.target
    y_max = max(allowed * 2, *ratios_by_bin.values(), 1e-6)
    last_bin = BUDGET_WINDOW.minutes // BIN_MINUTES
    points = ' '.join(
        f'{bin_index * PLOT_WIDTH_PX / last_bin:.1f},{_y_px(ratio / y_max):.1f}'
        for bin_index, ratio in sorted(ratios_by_bin.items())
    )
    allowed_y = _y_px(allowed / y_max)
    return (
        f'<svg xmlns="http://www.w3.org/2000/svg" width="{PLOT_WIDTH_PX}" '
        f'height="{PLOT_HEIGHT_PX}" role="img" aria-label="share of bad '
        f'requests over {BUDGET_WINDOW.label}">'
        f'<rect width="100%" height="100%" fill="#f4f4f4"/>'
        f'<line x1="0" x2="{PLOT_WIDTH_PX}" '
        f'y1="{allowed_y:.1f}" y2="{allowed_y:.1f}" '
        'stroke="#b00020" stroke-dasharray="4"/>'
        f'<polyline points="{points}" fill="none" stroke="#00458b"/>'
        f'<text x="4" y="12" font-size="11">top {y_max:.3%}, dashed: allowed '
        f'{allowed:.3%}, last {BUDGET_WINDOW.label}</text></svg>'
    )


def _bad_ratios(objective: ObjectiveBurn, minute: int) -> dict[int, float]:
    """Return the share of bad requests by bin, 0 for a bin without requests.

    A bin has ``BIN_MINUTES``; bin 0 starts with the budget window.
    """
    start = minute - BUDGET_WINDOW.minutes
    counts = {
        bin_index: (0, 0)
        for bin_index in range(BUDGET_WINDOW.minutes // BIN_MINUTES + 1)
    }
    for slot_minute, total, bad in objective.series:
        bin_index = (slot_minute - start) // BIN_MINUTES
        if bin_index in counts:
            counted = counts[bin_index]
            counts[bin_index] = (counted[0] + total, counted[1] + bad)
    return {
        bin_index: counts_of_bin[1] / max(counts_of_bin[0], 1)
        for bin_index, counts_of_bin in counts.items()
    }


def _y_px(share: float) -> float:
    """Return the y coordinate in the plot for a share of its height."""
    return PLOT_HEIGHT_PX * (1 - share)
