"""What the logs of instances say of one request."""

import json
from collections.abc import Iterable, Iterator
from typing import Any

import attrs

from clementinebank.errors import Failure, Step

# Beliefs about a leaf that are older seldom explain a request; a leaf that is
# ejected because of the request is logged when its call ends.
BEFORE_S = 30.0
AFTER_S = 5.0
MS_PER_S = 1000
STARTED = 'gateway:started'
CONFIGURATION = 'configuration:activated'
FEED_PREFIX = 'feed:'
LEAF_PREFIX = 'leaf:'
REQUEST_PREFIX = 'request:'
# Fields of the logging library, and those that are printed by name.
COMMON_FIELDS = frozenset(('timestamp', 'task_uuid', 'task_level'))


@attrs.frozen
class LogLine:
    """One line of the log of an instance.

    Parameters
    ----------
    source : str
        Name of the instance, or of the file until it is known.
    at : float
        Unix time in seconds.
    kind : str
        Type of the message.
    facts : dict
        Its other fields.
    """

    source: str
    at: float
    kind: str
    facts: dict[str, Any]


@attrs.frozen
class RequestStory:
    """One request at one instance, with what the instance believed.

    Parameters
    ----------
    ending : LogLine
        The line that says how it ended.
    beliefs : tuple of LogLine
        Lines on its routes, its leafs and the control store, in order.
    """

    ending: LogLine
    beliefs: tuple[LogLine, ...]

    @property
    def started_at(self) -> float:
        """Return the Unix time of the arrival in seconds."""
        elapsed_ms = float(self.ending.facts.get('elapsed_ms', 0))
        return self.ending.at - elapsed_ms / MS_PER_S


def read_log(name: str, stream: Iterable[str]) -> Iterator[LogLine]:
    """Yield the lines of one log; lines that are no messages are left out.

    The platform's tools put other text before a message.
    """
    source = name
    for text in stream:
        message = _message_of(text)
        if message is None:
            continue
        kind = str(message.pop('message_type'))
        at = float(message.pop('timestamp'))
        if kind == STARTED:
            source = str(message.get('instance', name))
        facts = {
            field: fact
            for field, fact in message.items()
            if field not in COMMON_FIELDS
        }
        yield LogLine(str(facts.get('instance', source)), at, kind, facts)


def stories_of(request_id: str, lines: Iterable[LogLine]) -> list[RequestStory]:
    """Return the story of a request at each instance that logged it."""
    all_lines = sorted(lines, key=lambda line: line.at)
    endings = [
        line
        for line in all_lines
        if line.kind.startswith(REQUEST_PREFIX)
        and line.facts.get('request_id') == request_id
    ]
    return [RequestStory(each, _beliefs(each, all_lines)) for each in endings]


def not_on_record(request_id: str) -> Failure:
    """Return the failure for a request that no log names."""
    return Failure(
        'not_on_record',
        f'no line names {request_id}: it reached none of these instances, it '
        'was an ordinary request (one of 50 is logged), or its line was one '
        'of the suppressed or lost ones',
        Step.READ,
    )


def story_text(story: RequestStory) -> str:
    """Return the lines that are printed for one request."""
    ending = story.ending
    facts = ending.facts
    outcome = facts.get('outcome', facts.get('code', ending.kind))
    head = (
        f'{ending.source}: {outcome} after {facts.get("elapsed_ms", 0)} ms, '
        f'route {facts.get("route", "unknown")}, '
        f'version {facts.get("version", "unknown")}'
    )
    details = [
        f'  {name}: {facts[name]}'
        for name in ('reason', 'confirmed_s', 'objective_ms')
        if name in facts
    ]
    events = [
        f'  {offset_ms:9.2f} ms  {event}  {_pairs(event_facts)}'
        for offset_ms, event, event_facts in facts.get('events', ())
    ]
    beliefs = [
        f'  {line.at - story.started_at:9.2f} s   {line.kind}  '
        f'{_pairs(line.facts)}'
        for line in story.beliefs
    ]
    if beliefs:
        beliefs.insert(0, '  before and after, from its arrival:')
    return '\n'.join((head, *details, *events, *beliefs))


def _message_of(text: str) -> dict[str, Any] | None:
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


def _beliefs(ending: LogLine, lines: Iterable[LogLine]) -> tuple[LogLine, ...]:
    own = [line for line in lines if line.source == ending.source]
    known = [line for line in own if line.at <= ending.at]
    newest: list[LogLine] = []
    for prefix in (CONFIGURATION, FEED_PREFIX):
        found = [line for line in known if line.kind.startswith(prefix)]
        newest.extend(found[-1:])
    leafs = _leafs_of(ending)
    near = [
        line
        for line in own
        if line.kind.startswith(LEAF_PREFIX)
        and ending.at - BEFORE_S <= line.at <= ending.at + AFTER_S
        and _leaf_id(str(line.facts.get('leaf', ''))) in leafs
    ]
    return tuple(sorted([*newest, *near], key=lambda line: line.at))


def _leafs_of(ending: LogLine) -> set[str]:
    return {
        _leaf_id(str(facts['leaf']))
        for _, _, facts in ending.facts.get('events', ())
        if 'leaf' in facts
    }


def _leaf_id(key: str) -> str:
    """Return the id of a leaf without its incarnation."""
    return key.partition('@')[0]


def _pairs(facts: dict[str, Any]) -> str:
    return ' '.join(f'{name}={fact}' for name, fact in facts.items())
