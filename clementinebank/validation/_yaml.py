"""YAML reading that remembers the line of every field."""

from typing import Any

import attrs
import yaml
from result import Err, Ok, Result

from clementinebank.errors import FieldProblem

# The C loader of libyaml is about ten times as fast where it is present.
LOADER: Any = getattr(yaml, 'CSafeLoader', yaml.SafeLoader)
MAX_DEPTH = 50


@attrs.frozen
class ParsedYaml:
    """Plain data of a YAML text and the line of each field.

    Parameters
    ----------
    data : object
        Mappings, lists and scalars.
    lines_by_path : dict of str to int
        One-based line of each field by its dotted path.
    """

    data: Any
    lines_by_path: dict[str, int]


def parse_yaml(text: str) -> Result[ParsedYaml, FieldProblem]:
    """Parse a YAML text safely.

    Duplicate keys are refused, as the second would silently replace the
    first.
    """
    try:
        node = _compose(text)
    except (yaml.YAMLError, ValueError) as error:
        return Err(_yaml_problem(text, error))
    if node is None:
        return Ok(ParsedYaml(None, {}))
    lines_by_path: dict[str, int] = {}
    problem = _collect_lines(node, '', lines_by_path, set())
    if problem is not None:
        return Err(problem)
    loader = yaml.SafeLoader('')
    try:
        data = loader.construct_document(node)
    except (yaml.YAMLError, ValueError) as error:
        return Err(_yaml_problem(text, error))
    return Ok(ParsedYaml(data, lines_by_path))


def _compose(text: str) -> yaml.Node | None:
    depth = 0
    # The parser is iterative; composing recurses, and the C loader ends the
    # process at a depth of some thousands.
    for event in yaml.parse(text, Loader=LOADER):
        if isinstance(event, yaml.CollectionStartEvent):
            depth += 1
        elif isinstance(event, yaml.CollectionEndEvent):
            depth -= 1
        if depth > MAX_DEPTH:
            mark: Any = event.start_mark
            raise yaml.MarkedYAMLError(
                problem='nested too deeply', problem_mark=mark
            )
    return yaml.compose(text, Loader=LOADER)


def _yaml_problem(text: str, error: Exception) -> FieldProblem:
    # The text of the error itself repeats line numbers, which are wrong for
    # the whole file if the text is one section of it.
    mark = getattr(error, 'problem_mark', None)
    reason = getattr(error, 'problem', None) or str(error)
    line = None if mark is None else mark.line + 1
    if isinstance(error, yaml.reader.ReaderError):
        reason = f'character {error.character:#x} is not allowed'
        line = text.encode()[: error.position].count(b'\n') + 1
    return FieldProblem('$', f'invalid YAML: {reason}', line)


def _collect_lines(
    node: yaml.Node,
    path: str,
    lines_by_path: dict[str, int],
    seen: set[int],
) -> FieldProblem | None:
    if id(node) in seen:
        # The node is that of the anchor; its field is where the alias stands.
        line = lines_by_path.get(path, node.start_mark.line + 1)
        return FieldProblem(path, 'YAML aliases are not allowed', line)
    seen.add(id(node))
    children: list[tuple[str, int, yaml.Node]] = []
    if isinstance(node, yaml.MappingNode):
        children = [
            (str(key.value), key.start_mark.line + 1, child)
            for key, child in node.value
        ]
    elif isinstance(node, yaml.SequenceNode):
        children = [
            (str(index), child.start_mark.line + 1, child)
            for index, child in enumerate(node.value)
        ]
    for name, line, child in children:
        child_path = f'{path}.{name}' if path else name
        if child_path in lines_by_path:
            return FieldProblem(child_path, 'duplicate field', line)
        lines_by_path[child_path] = line
        problem = _collect_lines(child, child_path, lines_by_path, seen)
        if problem is not None:
            return problem
    return None
