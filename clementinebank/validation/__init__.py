"""Parsing and validation of untrusted input such as files and requests."""

from clementinebank.validation._load import load_yaml
from clementinebank.validation._reader import (
    Address,
    FieldReader,
    parse_address,
)
from clementinebank.validation._yaml import YAML_LOADER, ParsedYaml, parse_yaml

__all__ = (
    'YAML_LOADER',
    'Address',
    'FieldReader',
    'ParsedYaml',
    'load_yaml',
    'parse_address',
    'parse_yaml',
)
