"""Compare parsing a changed document with and without the section cache.

Run with ``python -m benchmarks.bench_document``. Each change replaces the
text of one section of about 10 KB. Prints one JSON line per document size, with
the mean processor time per change: with an empty cache, so that all sections
are parsed (``full_s``), with a cache of the other sections, so that only the
changed one is parsed (``changed_s``), and the ratio of the two.
"""

import json
import sys
import time

from clementinebank.document import parse_document
from clementinebank.document._section_cache import SectionCache

SIZES_BYTES = (10_000, 100_000, 500_000, 900_000, 1_000_000)
LEAFS_PER_SECTION = 120
CHANGES = 5
FLEET = """\
owner: platform
max_instances: 8
data_centres:
  north: {region: r1}
"""


def service_text(number, deadline_ms):
    """Return the YAML text of a service section, about 10 KB."""
    lines = [
        'owner: team',
        'kind: search',
        'slots: 2',
        'connections: 30',
        f'deadline_ms: {deadline_ms}',
        'groups:',
        '  group-0:',
        '    yard: north',
        '    leafs:',
    ]
    for leaf in range(LEAFS_PER_SECTION):
        host = f'10.{number}.0.{leaf}'
        lines.append(
            f"      leaf-{number:03d}-{leaf:03d}: {{address: '{host}:7001', "
            'data_centre: north}  # rack 4'
        )
    return '\n'.join(lines) + '\n'


def document_texts(size_bytes):
    """Return the section texts, by name, of a document of limited size.

    As many services as fit into ``size_bytes``, but at least one.
    """
    texts = {'fleet': FLEET}
    size = len(FLEET)
    number = 0
    while True:
        text = service_text(number, 100)
        size += len(text)
        if size > size_bytes and number:
            return texts
        texts[f'service.s{number}'] = text
        number += 1


def cpu_seconds(texts, cache):
    """Return the processor time in seconds of parsing a document."""
    start = time.process_time()
    parse_document(texts, 1, cache).unwrap()
    return time.process_time() - start


def measure(size_bytes):
    """Return the JSON object to print for a document size."""
    texts = document_texts(size_bytes)
    cache = SectionCache()
    parse_document(texts, 1, cache).unwrap()
    cached_s = 0.0
    full_s = 0.0
    for change in range(CHANGES):
        # A document read from the key-value service consists of new string
        # objects, which the cache must hash and compare in full.
        texts = json.loads(json.dumps(texts))
        texts['service.s0'] = service_text(0, 101 + change)
        cached_s += cpu_seconds(texts, cache)
        full_s += cpu_seconds(texts, SectionCache())
    return {
        'benchmark': 'document_parse',
        'document_bytes': sum(map(len, texts.values())),
        'sections': len(texts),
        'full_s': round(full_s / CHANGES, 5),
        'changed_s': round(cached_s / CHANGES, 5),
        'ratio_changed_to_full': round(cached_s / full_s, 4),
    }


def main():
    """Print one JSON line for each document size."""
    for size_bytes in SIZES_BYTES:
        sys.stdout.write(json.dumps(measure(size_bytes)) + '\n')
        sys.stdout.flush()


if __name__ == '__main__':
    main()
