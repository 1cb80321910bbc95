"""Parsing of untrusted YAML, with the line of every field."""

from typing import Any

import attrs
import yaml
from result import Err, Ok, Result

from clementinebank.errors import FieldProblem

# Loader class of PyYAML. The C loader of libyaml is about ten times as fast as
# the Python one, but not every installation has it.
YAML_LOADER: Any = getattr(yaml, 'CSafeLoader', yaml.SafeLoader)
# Deepest nesting of collections that is accepted.
MAX_DEPTH = 50


@attrs.frozen
class ParsedYaml:
    """Parsed data of a YAML text and the line of each field.

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
    """Parse a YAML text from an untrusted source.

    Duplicate keys are refused, as the second would silently replace the
    first. Aliases and deep nesting are refused too.

    Parameters
    ----------
    text : str
        Whole YAML text with at most one document.

    Returns
    -------
    Result
        The data with the lines, or the first problem. The data is ``None``
        for an empty text.
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
    """Return the root node of a text; raise an error if it nests too deeply."""
    depth = 0
    # The depth is checked on the events of the parser, which is iterative.
    # Composing nodes is recursive: at a depth of some thousands, the C loader
    # overflows the stack and ends the process.
    for event in yaml.parse(text, Loader=YAML_LOADER):
        if isinstance(event, yaml.CollectionStartEvent):
            depth += 1
        elif isinstance(event, yaml.CollectionEndEvent):
            depth -= 1
        if depth > MAX_DEPTH:
            mark: Any = event.start_mark
            raise yaml.MarkedYAMLError(
                problem='nested too deeply', problem_mark=mark
            )
    return yaml.compose(text, Loader=YAML_LOADER)


def _yaml_problem(text: str, error: Exception) -> FieldProblem:
    # str(error) is avoided where possible because it contains line numbers,
    # which are wrong for the file if the text is only one section of it.
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
    seen_node_ids: set[int],
) -> FieldProblem | None:
    """Fill in the line of each field below a node, by its dotted path.

    Return the first alias or duplicate key as a problem, else ``None``.
    """
    if id(node) in seen_node_ids:
        # An alias is composed to the node of its anchor, whose mark gives the
        # line of the anchor. The path is that of the alias, so its line is
        # preferred.
        line = lines_by_path.get(path, node.start_mark.line + 1)
        return FieldProblem(path, 'YAML aliases are not allowed', line)
    seen_node_ids.add(id(node))
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
        problem = _collect_lines(
            child, child_path, lines_by_path, seen_node_ids
        )
        if problem is not None:
            return problem
    return None
