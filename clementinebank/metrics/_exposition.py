"""Rendering of the metrics in the Prometheus text exposition format."""

from collections import defaultdict

from clementinebank.metrics._metrics import Distribution, Labels, Metrics
from clementinebank.metrics._names import METRICS_BY_NAME, MetricDescription

# Quantiles that the exposition gives of every distribution.
QUANTILES = (0.5, 0.9, 0.99, 0.999)


def format_metrics(metrics: Metrics) -> str:
    """Return all metrics in the text exposition format.

    The metrics are in the order of their registration, each with its help
    text and type; metrics without a value are left out.
    """
    lines_by_name: dict[str, list[str]] = defaultdict(list)
    for sample in metrics.samples():
        line = (
            f'{sample.name}{_format_labels(sample.labels)} '
            f'{_format_number(sample.amount)}'
        )
        lines_by_name[sample.name].append(line)
    for (name, labels), distribution in metrics.distributions.items():
        lines_by_name[name].extend(_format_summary(name, labels, distribution))
    blocks = [
        '\n'.join(
            [*_format_header(description), *lines_by_name[description.name]]
        )
        for description in METRICS_BY_NAME.values()
        if description.name in lines_by_name
    ]
    return '\n'.join([*blocks, ''])


def _format_header(description: MetricDescription) -> list[str]:
    name = description.name
    return [
        f'# HELP {name} {description.summary}',
        f'# TYPE {name} {description.kind}',
    ]


def _format_summary(
    name: str, labels: Labels, distribution: Distribution
) -> list[str]:
    """Return the lines of one distribution: quantiles, sum and count."""
    lines = []
    for quantile in QUANTILES:
        quantile_labels = _format_labels((*labels, ('quantile', str(quantile))))
        amount = _format_number(distribution.quantile_ms(quantile))
        lines.append(f'{name}{quantile_labels} {amount}')
    own_labels = _format_labels(labels)
    lines.append(
        f'{name}_sum{own_labels} {_format_number(distribution.sum_ms)}'
    )
    lines.append(f'{name}_count{own_labels} {distribution.count}')
    return lines


def _format_labels(labels: Labels) -> str:
    if not labels:
        return ''
    pairs = ','.join(
        f'{name}="{_escape_label_text(text)}"' for name, text in labels
    )
    return f'{{{pairs}}}'


def _escape_label_text(text: str) -> str:
    escaped = text.replace('\\', r'\\').replace('"', r'\"')
    return escaped.replace('\n', r'\n')


def _format_number(amount: float) -> str:
    """Return a number as text, without a decimal point if it is whole."""
    return str(int(amount)) if amount == int(amount) else repr(amount)
