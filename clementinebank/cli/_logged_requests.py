"""Search of the logs of instances for one request and what explains it."""

import json
from collections.abc import Iterable, Iterator
from typing import Any

import attrs

from clementinebank.errors import Failure, Step

# Log lines on a leaf are shown from LEAF_LINES_BEFORE_END_S before to
# LEAF_LINES_AFTER_END_S after the end of the request. Older lines seldom
# explain it; if the request causes the ejection of a leaf, this is logged when
# the call to the leaf ends, which may be later.
LEAF_LINES_BEFORE_END_S = 30.0
LEAF_LINES_AFTER_END_S = 5.0
MS_PER_S = 1000
STARTED_MESSAGE_TYPE = 'gateway:started'
# The newest line of each of these is shown. A line counts for the first one
# only, so that an outage of the feed and the version that it brought last don't
# hide each other.
BELIEF_PREFIXES = ('configuration:activated', 'feed:configuration', 'feed:')
LEAF_PREFIX = 'leaf:'
REQUEST_PREFIX = 'request:'
# Fields of a request that are printed below its first line.
DETAIL_FIELDS = (
    'reason',
    'route_version',
    'in_force_s',
    'revision',
    'confirmed_s',
    'objective_ms',
)
# Fields that the logging library adds to each message; they are not shown.
LOGGING_LIBRARY_FIELDS = frozenset(('timestamp', 'task_uuid', 'task_level'))


@attrs.frozen
class LogLine:
    """One line of the log of an instance.

    Parameters
    ----------
    source : str
        Name of the instance, or of the log until a line names the instance.
    at : float
        Unix time in seconds.
    kind : str
        Type of the message.
    facts : dict
        Other fields of the message, without those of the logging library.
    """

    source: str
    at: float
    kind: str
    facts: dict[str, Any]


@attrs.frozen
class LoggedRequest:
    """One request at one instance, with log lines that may explain it.

    Parameters
    ----------
    ending : LogLine
        Line that states how the request ended.
    beliefs : tuple of LogLine
        Newest lines on the configuration and on the feed of changes before
        the end, and lines on the leafs of the request, oldest first.
    """

    ending: LogLine
    beliefs: tuple[LogLine, ...]

    @property
    def started_at(self) -> float:
        """Return the Unix time in seconds at which the request arrived."""
        elapsed_ms = float(self.ending.facts.get('elapsed_ms', 0))
        return self.ending.at - elapsed_ms / MS_PER_S


def read_log(name: str, stream: Iterable[str]) -> Iterator[LogLine]:
    """Yield the messages of one log; lines without a message are left out.

    The platform's tools may put other text before a message on its line.
    """
    source = name
    for text in stream:
        message = _decode_message(text)
        if message is None:
            continue
        kind = str(message.pop('message_type'))
        at = float(message.pop('timestamp'))
        if kind == STARTED_MESSAGE_TYPE:
            source = str(message.get('instance', name))
        facts = {
            field: fact
            for field, fact in message.items()
            if field not in LOGGING_LIBRARY_FIELDS
        }
        yield LogLine(str(facts.get('instance', source)), at, kind, facts)


def find_logged_requests(
    request_id: str, lines: Iterable[LogLine]
) -> list[LoggedRequest]:
    """Return a logged request for each instance that logged it."""
    all_lines = sorted(lines, key=lambda line: line.at)
    endings = [
        line
        for line in all_lines
        if line.kind.startswith(REQUEST_PREFIX)
        and line.facts.get('request_id') == request_id
    ]
    return [
        LoggedRequest(ending, _related_lines(ending, all_lines))
        for ending in endings
    ]


def request_not_logged(request_id: str) -> Failure:
    """Return the failure for a request that no line of the logs names."""
    return Failure(
        'not_on_record',
        f'no log line names request {request_id}: it reached none of these '
        'instances, it was an ordinary request (one of 50 is logged), or its '
        'line was suppressed or lost',
        Step.READ,
    )


def logged_request_text(logged_request: LoggedRequest) -> str:
    """Return the text that is printed for one request at one instance."""
    ending = logged_request.ending
    facts = ending.facts
    outcome = facts.get('outcome', facts.get('code', ending.kind))
    first_line = (
        f'{ending.source}: {outcome} after {facts.get("elapsed_ms", 0)} ms, '
        f'route {facts.get("route", "unknown")}, '
        f'version {facts.get("version", "unknown")}'
    )
    details = [
        f'  {name}: {facts[name]}' for name in DETAIL_FIELDS if name in facts
    ]
    events = [
        f'  {offset_ms:9.2f} ms  {event}  {_facts_text(event_facts)}'
        for offset_ms, event, event_facts in facts.get('events', ())
    ]
    belief_lines = [
        f'  {line.at - logged_request.started_at:9.2f} s   {line.kind}  '
        f'{_facts_text(line.facts)}'
        for line in logged_request.beliefs
    ]
    if belief_lines:
        belief_lines.insert(0, '  before and after, from its arrival:')
    return '\n'.join((first_line, *details, *events, *belief_lines))


def _decode_message(text: str) -> dict[str, Any] | None:
    """Return the message of a log line, ``None`` if it has none."""
    start = text.find('{')
    if start < 0:
        return None
    try:
        message = json.loads(text[start:])
    except ValueError:
        return None
    is_message = isinstance(message, dict) and {
        'message_type',
        'timestamp',
    } <= set(message)
    return message if is_message else None


def _related_lines(
    ending: LogLine, lines: Iterable[LogLine]
) -> tuple[LogLine, ...]:
    """Return the log lines of the instance that may explain the request."""
    lines_of_instance = [line for line in lines if line.source == ending.source]
    earlier_lines = [line for line in lines_of_instance if line.at <= ending.at]
    newest_lines = {
        prefix: line
        for line in earlier_lines
        for prefix in _belief_prefixes(line)[:1]
    }
    leafs = _leafs_of(ending)
    leaf_lines = [
        line
        for line in lines_of_instance
        if line.kind.startswith(LEAF_PREFIX)
        and ending.at - LEAF_LINES_BEFORE_END_S
        <= line.at
        <= ending.at + LEAF_LINES_AFTER_END_S
        and _leaf_id(str(line.facts.get('leaf', ''))) in leafs
    ]
    return tuple(
        sorted([*newest_lines.values(), *leaf_lines], key=lambda line: line.at)
    )


def _belief_prefixes(line: LogLine) -> list[str]:
    """Return the prefixes that the kind of a line has, the longest first."""
    return [each for each in BELIEF_PREFIXES if line.kind.startswith(each)]


def _leafs_of(ending: LogLine) -> set[str]:
    return {
        _leaf_id(str(facts['leaf']))
        for _, _, facts in ending.facts.get('events', ())
        if 'leaf' in facts
    }


def _leaf_id(key: str) -> str:
    """Return the id of a leaf from a key ``id@incarnation``."""
    return key.partition('@')[0]


def _facts_text(facts: dict[str, Any]) -> str:
    return ' '.join(f'{name}={fact}' for name, fact in facts.items())
