"""Text exposition format of the metrics."""

from collections import defaultdict

from clementinebank.metrics._metrics import Distribution, Labels, Metrics
from clementinebank.metrics._names import METRICS_BY_NAME, MetricDescription

QUANTILES = (0.5, 0.9, 0.99, 0.999)


def expose(metrics: Metrics) -> str:
    """Return all metrics in the text exposition format."""
    lines_by_name: dict[str, list[str]] = defaultdict(list)
    for each in metrics.samples():
        line = f'{each.name}{_labels(each.labels)} {_number(each.amount)}'
        lines_by_name[each.name].append(line)
    for (name, labels), distribution in metrics.distributions.items():
        lines_by_name[name].extend(_summary(name, labels, distribution))
    blocks = [
        '\n'.join([*_header(known), *lines_by_name[known.name]])
        for known in METRICS_BY_NAME.values()
        if known.name in lines_by_name
    ]
    return '\n'.join([*blocks, ''])


def _header(description: MetricDescription) -> list[str]:
    name = description.name
    return [
        f'# HELP {name} {description.summary}',
        f'# TYPE {name} {description.kind}',
    ]


def _summary(
    name: str, labels: Labels, distribution: Distribution
) -> list[str]:
    lines = []
    for quantile in QUANTILES:
        marked = _labels((*labels, ('quantile', str(quantile))))
        amount = _number(distribution.quantile_ms(quantile))
        lines.append(f'{name}{marked} {amount}')
    plain = _labels(labels)
    lines.append(f'{name}_sum{plain} {_number(distribution.sum_ms)}')
    lines.append(f'{name}_count{plain} {distribution.count}')
    return lines


def _labels(labels: Labels) -> str:
    if not labels:
        return ''
    pairs = ','.join(f'{name}="{_escape(text)}"' for name, text in labels)
    return f'{{{pairs}}}'


def _escape(text: str) -> str:
    escaped = text.replace('\\', r'\\').replace('"', r'\"')
    return escaped.replace('\n', r'\n')


def _number(amount: float) -> str:
    return str(int(amount)) if amount == int(amount) else repr(amount)
