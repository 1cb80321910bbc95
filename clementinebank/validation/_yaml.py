"""YAML reading that remembers the line of every field."""

from typing import Any

import attrs
import yaml
from result import Err, Ok, Result

from clementinebank.errors import FieldProblem


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
        node = yaml.compose(text, Loader=yaml.SafeLoader)
    except yaml.YAMLError as error:
        mark = getattr(error, 'problem_mark', None)
        line = None if mark is None else mark.line + 1
        return Err(FieldProblem('$', f'invalid YAML: {error}', line))
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
        return Err(FieldProblem('$', f'invalid YAML value: {error}'))
    return Ok(ParsedYaml(data, lines_by_path))


def _collect_lines(
    node: yaml.Node,
    path: str,
    lines_by_path: dict[str, int],
    seen: set[int],
) -> FieldProblem | None:
    if id(node) in seen:
        return FieldProblem(
            path, 'YAML aliases are not allowed', node.start_mark.line + 1
        )
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
