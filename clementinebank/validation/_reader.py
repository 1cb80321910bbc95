"""Typed reading of untrusted mappings; every problem names its field."""

import difflib
from collections.abc import Iterator, Sequence
from typing import Any

import attrs

from clementinebank.errors import FieldProblem

MAX_PORT = 65_535
UNITS_BY_SUFFIX = {
    'ms': 'milliseconds',
    'hours': 'hours',
    'ratio': 'a share of 1',
    'load': 'a share of 1',
    'per_second': 'per second',
}
# Suffixes of units that no field uses; they are recognised to name the
# field that was meant.
OTHER_SUFFIXES = (
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
    """TCP address by IP number.

    Parameters
    ----------
    host : str
        IPv4 number.
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

    A field that is missing or invalid yields its fallback, so that one pass
    reports every problem of the input.

    Parameters
    ----------
    data : object
        Untrusted input, expected to be a mapping.
    path : str
        Dotted path of the mapping.
    lines_by_path : dict of str to int
        Line of each field, empty where it is unknown.
    problems : list of FieldProblem
        Shared by all readers of one input.
    """

    data: Any
    path: str = ''
    lines_by_path: dict[str, int] = attrs.Factory(dict)
    problems: list[FieldProblem] = attrs.Factory(list)
    _read: set[str] = attrs.Factory(set)

    def __attrs_post_init__(self) -> None:
        """Replace input that is no mapping by an empty one."""
        if not isinstance(self.data, dict):
            self._report('', f'must be a mapping, got {self.data!r}')
            self.data = {}

    def text(
        self,
        name: str,
        fallback: str | None = None,
        choices: Sequence[str] = (),
    ) -> str:
        """Read a non-empty string, optionally one of the choices."""
        found = self._take(name, fallback)
        if found is None:
            return ''
        if not isinstance(found, str) or not found:
            self._report(name, f'must be a non-empty string, got {found!r}')
            return fallback or ''
        if choices and found not in choices:
            listed = ', '.join(choices)
            self._report(name, f'must be one of {listed}, got {found!r}')
        return found

    def integer(
        self,
        name: str,
        fallback: int | None = None,
        *,
        minimum: int = 0,
        maximum: int = 1_000_000_000,
    ) -> int:
        """Read an integer within bounds."""
        found = self._take(name, fallback)
        if found is None:
            return minimum
        if isinstance(found, bool) or not isinstance(found, int):
            self._report(
                name, f'must be an integer{_unit_of(name)}, got {found!r}'
            )
            return minimum
        if not minimum <= found <= maximum:
            self._report(
                name,
                f'must be between {minimum} and {maximum}'
                f'{_unit_of(name)}, got {found!r}',
            )
        return found

    def number(
        self,
        name: str,
        fallback: float | None = None,
        *,
        minimum: float = 0,
        maximum: float = 1e9,
    ) -> float:
        """Read a number within bounds."""
        found = self._take(name, fallback)
        if found is None:
            return minimum
        if isinstance(found, bool) or not isinstance(found, int | float):
            self._report(
                name, f'must be a number{_unit_of(name)}, got {found!r}'
            )
            return minimum
        if not minimum <= found <= maximum:
            self._report(
                name,
                f'must be between {minimum} and {maximum}'
                f'{_unit_of(name)}, got {found!r}',
            )
        return float(found)

    def address(self, name: str) -> Address:
        """Read an address written as ``IP:PORT``."""
        found = self.text(name)
        address = _address_of(found)
        if address is None and found:
            self._report(name, f'must be IP:PORT, got {found!r}')
        return address or Address('0.0.0.0', 0)  # noqa: S104

    def addresses(self, name: str) -> tuple[Address, ...]:
        """Read a list of addresses written as ``IP:PORT``."""
        found = self._take(name, None)
        if found is None:
            return ()
        rows = found if isinstance(found, list) else [found]
        addresses = [_address_of(row) for row in rows]
        if not isinstance(found, list) or None in addresses:
            self._report(name, f'must be a list of IP:PORT, got {found!r}')
        return tuple(each for each in addresses if each is not None)

    def child(self, name: str, *, required: bool = True) -> 'FieldReader':
        """Return a reader of a nested mapping."""
        found = self._take(name, None if required else {})
        return self._nested(name, {} if found is None else found)

    def children(
        self, name: str, *, required: bool = True
    ) -> Iterator[tuple[str, 'FieldReader']]:
        """Yield each key of a nested mapping with its reader."""
        mapping = self.child(name, required=required)
        for key in mapping.data:
            mapping.mark_read(key)
            yield str(key), mapping._nested(str(key), mapping.data[key])

    def mark_read(self, name: str) -> None:
        """Treat a field as known."""
        self._read.add(name)

    def has(self, name: str) -> bool:
        """Return whether the field is present."""
        return name in self.data

    def report(self, name: str, message: str) -> None:
        """Add a problem of one field."""
        self._report(name, message)

    def finish(self) -> None:
        """Report every field that was not read as unknown."""
        for name in self.data:
            if name not in self._read:
                self._report(str(name), f'unknown field{self._hint(str(name))}')

    def _hint(self, name: str) -> str:
        known = sorted(each for each in self._read if isinstance(each, str))
        stem = _stem(name)
        for other in known:
            if _stem(other) == stem:
                return f'; write it as {other}{_unit_of(other)}'
        close = difflib.get_close_matches(name, known, 1)
        return f'; did you mean {close[0]}?' if close else ''

    def _take(self, name: str, fallback: Any) -> Any:
        self._read.add(name)
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


def _address_of(text: Any) -> Address | None:
    if not isinstance(text, str):
        return None
    host, _, port = text.rpartition(':')
    numbers = host.split('.')
    is_ip = len(numbers) == 4 and all(
        _is_number(number, 255) for number in numbers
    )
    if is_ip and _is_number(port, MAX_PORT):
        return Address(host, int(port))
    return None


def _is_number(text: str, maximum: int) -> bool:
    # Leading zeros are refused, as some resolvers read them as octal.
    is_plain = text.isascii() and text.isdecimal() and len(text) <= 5
    return is_plain and str(int(text)) == text and int(text) <= maximum


def _unit_of(name: str) -> str:
    for suffix, unit in UNITS_BY_SUFFIX.items():
        if name.endswith(f'_{suffix}'):
            return f' ({unit})'
    return ''


def _stem(name: str) -> str:
    for suffix in (*UNITS_BY_SUFFIX, *OTHER_SUFFIXES):
        if name.endswith(f'_{suffix}'):
            return name.removesuffix(f'_{suffix}')
    return name
