"""Reading of typed fields from untrusted mappings.

Every problem names the field and, where it is known, its line.
"""

import difflib
from collections.abc import Iterator, Sequence
from typing import Any

import attrs

from clementinebank.errors import FieldProblem

MAX_PORT = 65_535
# Characters of a value that a problem quotes.
MAX_QUOTED_CHARACTERS = 200
# Units of the field names in use, by the suffix of the name.
UNITS_BY_SUFFIX = {
    'ms': 'milliseconds',
    'hours': 'hours',
    'ratio': 'a share of 1',
    'load': 'a share of 1',
    'per_second': 'per second',
}
# Suffixes of other units, which no field name uses. A field with one of them is
# unknown, and its problem suggests the field with the same base name.
UNUSED_UNIT_SUFFIXES = (
    's',
    'sec',
    'secs',
    'seconds',
    'milliseconds',
    'us',
    'minutes',
    'min',
    'days',
    'h',
    'percent',
    'pct',
    'per_minute',
    'per_hour',
)


@attrs.frozen
class Address:
    """IPv4 address and TCP port.

    Parameters
    ----------
    host : str
        IPv4 address in dotted decimal notation.
    port : int
        TCP port.
    """

    host: str
    port: int

    def __str__(self) -> str:
        """Return ``host:port``."""
        return f'{self.host}:{self.port}'


@attrs.define
class FieldReader:
    """Reads the fields of one mapping and collects problems.

    A method that reads a missing or invalid field reports a problem and still
    returns a value of the type, so that one pass reports every problem of the
    input. A number is always within its bounds. The result is only valid if
    ``problems`` is empty. A field without a fallback is required.

    Parameters
    ----------
    data : object
        Untrusted input, expected to be a mapping.
    path : str
        Dotted path of the mapping in the input, empty for the whole input.
    lines_by_path : dict of str to int
        Line of each field by its dotted path; empty if the lines are unknown.
    problems : list of FieldProblem
        Problems found so far, shared by all readers of one input.
    """

    data: Any
    path: str = ''
    lines_by_path: dict[str, int] = attrs.Factory(dict)
    problems: list[FieldProblem] = attrs.Factory(list)
    _read_names: set[str] = attrs.Factory(set)

    def __attrs_post_init__(self) -> None:
        """Report input that is not a mapping and treat it as an empty one."""
        if not isinstance(self.data, dict):
            self._report('', f'must be a mapping, got {_quote(self.data)}')
            self.data = {}

    def text(
        self,
        name: str,
        fallback: str | None = None,
        choices: Sequence[str] = (),
    ) -> str:
        """Read a non-empty string, optionally one of the choices."""
        found = self._get_field(name, fallback)
        if found is None:
            return ''
        if not isinstance(found, str) or not found:
            self._report(
                name, f'must be a non-empty string, got {_quote(found)}'
            )
            return fallback or ''
        if choices and found not in choices:
            listed = ', '.join(choices)
            self._report(name, f'must be one of {listed}, got {_quote(found)}')
        return found

    def integer(
        self,
        name: str,
        fallback: int | None = None,
        *,
        minimum: int = 0,
        maximum: int = 1_000_000_000,
    ) -> int:
        """Read an integer from ``minimum`` to ``maximum``."""
        found = self._get_field(name, fallback)
        if found is None:
            return minimum
        if isinstance(found, bool) or not isinstance(found, int):
            self._report(
                name, f'must be an integer{_unit_of(name)}, got {_quote(found)}'
            )
            return minimum
        if not minimum <= found <= maximum:
            self._report(
                name,
                f'must be between {minimum} and {maximum}'
                f'{_unit_of(name)}, got {_quote(found)}',
            )
            return maximum if found > maximum else minimum
        return found

    def number(
        self,
        name: str,
        fallback: float | None = None,
        *,
        minimum: float = 0,
        maximum: float = 1e9,
    ) -> float:
        """Read a number from ``minimum`` to ``maximum``."""
        found = self._get_field(name, fallback)
        if found is None:
            return minimum
        if isinstance(found, bool) or not isinstance(found, int | float):
            self._report(
                name, f'must be a number{_unit_of(name)}, got {_quote(found)}'
            )
            return minimum
        if not minimum <= found <= maximum:
            self._report(
                name,
                f'must be between {minimum} and {maximum}'
                f'{_unit_of(name)}, got {_quote(found)}',
            )
            return maximum if found > maximum else minimum
        return float(found)

    def address(self, name: str) -> Address:
        """Read an address written as ``IP:PORT``."""
        found = self.text(name)
        address = parse_address(found)
        if address is None and found:
            self._report(name, f'must be IP:PORT, got {_quote(found)}')
        return address or Address('0.0.0.0', 0)  # noqa: S104

    def addresses(self, name: str) -> tuple[Address, ...]:
        """Read a list of addresses written as ``IP:PORT``."""
        found = self._get_field(name, None)
        if found is None:
            return ()
        items = found if isinstance(found, list) else [found]
        addresses = [parse_address(item) for item in items]
        if not isinstance(found, list) or None in addresses:
            self._report(
                name, f'must be a list of IP:PORT, got {_quote(found)}'
            )
        return tuple(each for each in addresses if each is not None)

    def child(self, name: str, *, required: bool = True) -> 'FieldReader':
        """Return a reader of a nested mapping.

        A mapping that is missing but not required is read as an empty one.
        """
        found = self._get_field(name, None if required else {})
        return self._nested(name, {} if found is None else found)

    def children(
        self, name: str, *, required: bool = True
    ) -> Iterator[tuple[str, 'FieldReader']]:
        """Yield each key of a nested mapping with a reader of its value."""
        mapping = self.child(name, required=required)
        for key in mapping.data:
            mapping.mark_read(key)
            yield str(key), mapping._nested(str(key), mapping.data[key])

    def mark_read(self, name: str) -> None:
        """Mark a field as read, so that it is not reported as unknown."""
        self._read_names.add(name)

    def has(self, name: str) -> bool:
        """Return whether the field is present, even without a value."""
        return name in self.data

    def report(self, name: str, message: str) -> None:
        """Report a problem of a field, or of the mapping if it has no name."""
        self._report(name, message)

    def report_unknown_fields(self) -> None:
        """Report every field that was not read as unknown."""
        for name in self.data:
            if name not in self._read_names:
                self._report(
                    str(name), f'unknown field{self._suggestion(str(name))}'
                )

    def _suggestion(self, name: str) -> str:
        """Return a suggestion of the known field that was probably meant.

        That is a field that differs only in its unit, or else one with a
        similar name. Empty if there is none.
        """
        known = sorted(
            each for each in self._read_names if isinstance(each, str)
        )
        base_name = _without_unit(name)
        for known_name in known:
            if _without_unit(known_name) == base_name:
                return f'; write it as {known_name}{_unit_of(known_name)}'
        similar = difflib.get_close_matches(name, known, 1)
        return f'; did you mean {similar[0]}?' if similar else ''

    def _get_field(self, name: str, fallback: Any) -> Any:
        """Return the value of a field, or the fallback if it has none.

        A field that is present without a value is a problem, and so is a
        missing field without a fallback.
        """
        self._read_names.add(name)
        found = self.data.get(name)
        if found is not None:
            return found
        if name in self.data:
            self._report(name, 'must have a value')
        elif fallback is None:
            self._report(name, 'missing field')
        return fallback

    def _nested(self, name: str, data: Any) -> 'FieldReader':
        return FieldReader(
            data, self._path_of(name), self.lines_by_path, self.problems
        )

    def _path_of(self, name: str) -> str:
        return '.'.join(part for part in (self.path, name) if part)

    def _report(self, name: str, message: str) -> None:
        path = self._path_of(name)
        line = self.lines_by_path.get(path, self.lines_by_path.get(self.path))
        self.problems.append(FieldProblem(path or '$', message, line))


def parse_address(text: Any) -> Address | None:
    """Return the address in a text ``IP:PORT``, ``None`` if it is invalid."""
    if not isinstance(text, str):
        return None
    host, _, port = text.rpartition(':')
    octets = host.split('.')
    is_ip = len(octets) == 4 and all(
        _is_plain_integer(octet, 255) for octet in octets
    )
    if is_ip and _is_plain_integer(port, MAX_PORT):
        return Address(host, int(port))
    return None


def _quote(found: Any) -> str:
    """Return a value as text for a problem, shortened if it is long."""
    try:
        text = repr(found)
    except (ValueError, RecursionError):
        # Integers of thousands of digits and deeply nested values have no repr.
        return f'a value of type {type(found).__name__} that is too long'
    if len(text) <= MAX_QUOTED_CHARACTERS:
        return text
    return f'{text[:MAX_QUOTED_CHARACTERS]}...'


def _is_plain_integer(text: str, maximum: int) -> bool:
    # Numbers with leading zeros are refused because some resolvers read them
    # as octal.
    is_short_decimal = text.isascii() and text.isdecimal() and len(text) <= 5
    return is_short_decimal and str(int(text)) == text and int(text) <= maximum


def _unit_of(name: str) -> str:
    """Return the unit of a field in brackets, empty if it has none."""
    for suffix, unit in UNITS_BY_SUFFIX.items():
        if name.endswith(f'_{suffix}'):
            return f' ({unit})'
    return ''


def _without_unit(name: str) -> str:
    """Return the name of a field without the suffix of its unit."""
    for suffix in (*UNITS_BY_SUFFIX, *UNUSED_UNIT_SUFFIXES):
        if name.endswith(f'_{suffix}'):
            return name.removesuffix(f'_{suffix}')
    return name
