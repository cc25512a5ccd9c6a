"""Reads YAML and JSON documents into validated structs of the schema.

Annotations in the schema define the bounds. Each finding has a line and a
column, and all findings of a document are reported together.
"""

from __future__ import annotations

import functools
import importlib
import importlib.resources
import ipaddress
import json
import pathlib
import re
import types
import typing

import yaml

from banyantrack.core import findings
from banyantrack.core import registry
from banyantrack.core import selectors
from banyantrack.core import untrusted

if typing.TYPE_CHECKING:
    import collections.abc

    # Returns what is valid, or '' if the text is.
    FormCheck = collections.abc.Callable[[str], str]

_LOADER = getattr(yaml, 'CSafeLoader', yaml.SafeLoader)
_NAME = re.compile(r'[a-z0-9]([a-z0-9._-]{0,61}[a-z0-9])?')
_ZONE = re.compile(r'[A-Za-z0-9._:-]{1,253}')
_SHA256 = re.compile(r'[0-9a-f]{64}')
_SCALAR_TYPES = {
    'i32': int,
    'i64': int,
    'double': float,
    'bool': bool,
    'string': str,
}
_TYPE_DESCRIPTIONS = {
    'i32': 'a whole number',
    'i64': 'a whole number',
    'double': 'a number',
    'bool': 'true or false',
    'string': 'text',
    'list': 'a list',
    'map': 'a map of text to text',
    'struct': 'a map',
}
MAX_PORT = 65535
MAX_DEPTH = 20

FORMS: registry.Registry[FormCheck] = registry.Registry('form')


@FORMS.register('name')
def _check_name(text: str) -> str:
    if not text or _NAME.fullmatch(text):
        return ''
    return 'valid are up to 63 of a-z, 0-9, ".", "_" and "-"'


@FORMS.register('zone')
def _check_zone(text: str) -> str:
    if _ZONE.fullmatch(text):
        return ''
    return 'valid are 1 to 253 letters, digits, ".", "_", ":" and "-"'


@FORMS.register('address')
def _check_address(text: str) -> str:
    host, _, port = text.rpartition(':')
    try:
        ipaddress.ip_address(host.strip('[]'))
    except ValueError:
        return 'valid is IP:PORT with an IP number'
    if not untrusted.parse_decimal(port, high=MAX_PORT):
        return f'valid is IP:PORT with a port of 1 to {MAX_PORT}'
    return ''


@FORMS.register('folder')
def _check_folder(text: str) -> str:
    return '' if pathlib.PurePath(text).parts else 'valid is a folder'


@FORMS.register('path')
def _check_path(text: str) -> str:
    return '' if text.startswith('/') else 'valid is a path that starts with /'


@FORMS.register('sha256')
def _check_sha256(text: str) -> str:
    return '' if _SHA256.fullmatch(text) else 'valid are 64 of 0-9 and a-f'


@FORMS.register('selector')
def _check_selector(text: str) -> str:
    try:
        selectors.parse(text)
    except selectors.SelectorError as error:
        return f'selector {error}'
    return ''


class FieldModel:
    """Schema of one field, with its annotations.

    Attributes:
        name: Name of the field.
        type: Type in the schema, such as `i32`, `list` or `struct`.
        required: Whether a document must have the field.
        doc: Description of the field.
        struct: Name of the struct, for a struct or a list of structs.
        element: Type of the elements of a list.
        default: Value of an absent field, or None.
        low: Least value, or least size of a list; None for no bounds.
        high: Greatest value, or greatest size of a list.
        choices: The valid values; empty if any is valid.
        form: Name in `FORMS` of the syntax of a text, or ''.
        none_if_absent: Whether an absent struct is None instead of a struct
            of defaults.
    """

    __slots__ = (
        'name',
        'type',
        'required',
        'doc',
        'struct',
        'element',
        'default',
        'low',
        'high',
        'choices',
        'form',
        'none_if_absent',
    )

    def __init__(self, raw: dict) -> None:
        self.name: str = raw['name']
        self.type: str = raw['type']
        self.required: bool = raw['required']
        self.doc: str = raw['doc']
        self.struct: str = raw['class']
        self.element: str = raw['element']
        self.default = self._parse(raw.get('default'))
        self.low = self._parse(raw.get('min'))
        self.high = self._parse(raw.get('max'))
        self.choices = tuple(filter(None, raw.get('choices', '').split(',')))
        self.form: str = raw.get('form', '')
        self.none_if_absent: bool = raw.get('absent') == 'none'

    def _parse(self, text: str | None) -> object:
        if text is None:
            return None
        if self.type == 'bool':
            return text == 'true'
        if self.type in ('list', 'map', 'struct'):
            return int(text)
        return _SCALAR_TYPES[self.type](text)


class Model:
    """Schema of all structs of one schema file.

    Args:
        package: Generated package, such as `settings`.
    """

    def __init__(self, package: str) -> None:
        path = f'banyantrack.generated.{package}'
        resource = importlib.resources.files(path) / 'model.json'
        raw = json.loads(resource.read_text())
        self._types: types.ModuleType = importlib.import_module(
            f'{path}.ttypes'
        )
        self._structs = {
            name: tuple(FieldModel(field) for field in fields)
            for name, fields in raw.items()
        }

    def fields(self, struct: str) -> tuple[FieldModel, ...]:
        """Returns the fields of a struct in order of the schema."""
        return self._structs[struct]

    def make(self, struct: str, **values: object) -> typing.Any:
        """Creates a struct; fields without a value get their defaults."""
        for field in self._structs[struct]:
            if field.name in values:
                continue
            if field.none_if_absent:
                values[field.name] = None
            elif field.type == 'struct' and not field.required:
                values[field.name] = self.make(field.struct)
            elif field.type == 'list':
                values[field.name] = []
            elif field.type == 'map':
                values[field.name] = {}
            else:
                values[field.name] = field.default
        return getattr(self._types, struct)(**values)


@functools.cache
def model(package: str) -> Model:
    """Returns the cached model of a schema file.

    Args:
        package: Generated package, such as `settings`.
    """
    return Model(package)


class Reader:
    """Reads YAML nodes of one source into structs.

    Args:
        source: Name of the source in the locations of findings.
        schema: Model of the structs.
        found: Collects the findings.
    """

    def __init__(
        self, source: str, schema: Model, found: findings.Findings
    ) -> None:
        self._source = source
        self._model = schema
        self._found = found

    def compose(self, text: str) -> list[yaml.Node]:
        """Returns the root nodes of all documents in a text.

        Adds a finding and returns no nodes if the text is not valid YAML.
        """
        try:
            return [
                node
                for node in yaml.compose_all(text, Loader=_LOADER)
                if not _exceeds_max_depth(node)
            ]
        except yaml.MarkedYAMLError as error:
            mark = error.problem_mark
            place = self._place_of_mark(mark) if mark else self._source
            self._found.add(place, f'not valid YAML: {error.problem}')
        except (yaml.YAMLError, RecursionError, ValueError) as error:
            self._found.add(self._source, f'not valid YAML: {error}')
        return []

    def place(self, node: yaml.Node) -> str:
        """Returns the start of a node as `source:line:column`."""
        return self._place_of_mark(node.start_mark)

    def pairs(self, node: yaml.Node) -> dict[str, tuple[yaml.Node, yaml.Node]]:
        """Returns the key node and value node of each key of a map.

        Adds findings if the node is not a map or has duplicate keys.
        """
        if not isinstance(node, yaml.MappingNode):
            self._found.add(
                self.place(node), f'got {_describe(node)}; valid is a map'
            )
            return {}
        pairs: dict[str, tuple[yaml.Node, yaml.Node]] = {}
        for key, value in node.value:
            name = str(key.value)
            if name in pairs:
                self._found.add(self.place(key), f'key {name!r} appears twice')
                continue
            pairs[name] = (key, value)
        return pairs

    def struct(self, node: yaml.Node, name: str) -> typing.Any:
        """Reads a struct.

        Args:
            node: A map.
            name: Name of the struct in the schema.

        Returns:
            The struct, with defaults for absent fields. Fields with findings
            may be None.
        """
        pairs = self.pairs(node)
        fields = {field.name: field for field in self._model.fields(name)}
        for key, (key_node, _) in pairs.items():
            if key not in fields:
                valid = ', '.join(fields)
                self._found.add(
                    self.place(key_node),
                    f'got unknown key {key!r}; valid are: {valid}',
                )
        values: dict[str, object] = {}
        for key, field in fields.items():
            if key in pairs:
                values[key] = self._read_field(pairs[key][1], field)
            elif field.required:
                self._found.add(self.place(node), f'key {key!r} is missing')
                values[key] = None
        return self._model.make(name, **values)

    def _read_field(self, node: yaml.Node, field: FieldModel) -> object:
        if field.type == 'struct':
            return self.struct(node, field.struct)
        if field.type == 'list':
            return self._read_list(node, field)
        if field.type == 'map':
            return self.text_map(node)
        return self._read_scalar(node, field, field.type)

    def text_map(self, node: yaml.Node) -> dict[str, str]:
        """Reads a map of text to text; other scalars are kept as written."""
        values = {}
        for key, (_, value) in self.pairs(node).items():
            if isinstance(value, yaml.ScalarNode):
                values[key] = value.value
            else:
                self._add_type_finding(value, 'string')
        return values

    def _read_list(self, node: yaml.Node, field: FieldModel) -> list[object]:
        if not isinstance(node, yaml.SequenceNode):
            self._add_type_finding(node, 'list')
            return []
        size = len(node.value)
        if field.low is not None and not field.low <= size <= field.high:
            self._found.add(
                self.place(node),
                f'got {size} elements for {field.name};'
                f' valid are {field.low} to {field.high}',
            )
        if field.element == 'struct':
            return [self.struct(item, field.struct) for item in node.value]
        return [
            self._read_scalar(item, field, field.element)
            for item in node.value
        ]

    def _read_scalar(
        self, node: yaml.Node, field: FieldModel, type_name: str
    ) -> object:
        if not isinstance(node, yaml.ScalarNode):
            self._add_type_finding(node, type_name)
            return None
        value = _parse_scalar(node)
        if type_name == 'double' and type(value) is int:
            value = float(value)
        if type(value) is not _SCALAR_TYPES[type_name]:
            self._add_type_finding(node, type_name)
            return None
        self._check_value(node, field, value)
        return value

    def _check_value(
        self, node: yaml.Node, field: FieldModel, value: object
    ) -> None:
        if field.choices and value not in field.choices:
            valid = ', '.join(field.choices)
            self._add_value_finding(node, field, value, f'valid are: {valid}')
        elif field.form:
            problem = FORMS.get(field.form)(value)
            if not problem and field.required and not value:
                problem = 'valid is text that is not empty'
            if problem:
                self._add_value_finding(node, field, value, problem)
        elif field.type in ('list', 'bool') or field.low is None:
            return
        elif not field.low <= value <= field.high:
            self._add_value_finding(
                node, field, value, f'valid are {field.low} to {field.high}'
            )

    def _add_value_finding(
        self, node: yaml.Node, field: FieldModel, value: object, valid: str
    ) -> None:
        self._found.add(
            self.place(node), f'got {value!r} for {field.name}; {valid}'
        )

    def _add_type_finding(self, node: yaml.Node, type_name: str) -> None:
        self._found.add(
            self.place(node),
            f'got {_describe(node)}; valid is {_TYPE_DESCRIPTIONS[type_name]}',
        )

    def _place_of_mark(self, mark: yaml.Mark) -> str:
        return f'{self._source}:{mark.line + 1}:{mark.column + 1}'


def _describe(node: yaml.Node) -> str:
    if isinstance(node, yaml.MappingNode):
        return 'a map'
    if isinstance(node, yaml.SequenceNode):
        return 'a list'
    return repr(node.value)


def _exceeds_max_depth(node: yaml.Node, depth: int = 0) -> bool:
    """Rejects nesting that is too deep for any valid document.

    Returns:
        Always False, so that it can serve as a filter.

    Raises:
        yaml.YAMLError: If the node is nested deeper than `MAX_DEPTH`.
    """
    if depth > MAX_DEPTH:
        raise yaml.YAMLError(f'nested deeper than {MAX_DEPTH}')
    if isinstance(node, yaml.MappingNode):
        for key, value in node.value:
            _exceeds_max_depth(key, depth + 1)
            _exceeds_max_depth(value, depth + 1)
    elif isinstance(node, yaml.SequenceNode):
        for item in node.value:
            _exceeds_max_depth(item, depth + 1)
    return False


def _parse_scalar(node: yaml.ScalarNode) -> object:
    tag = node.tag.rpartition(':')[2]
    try:
        match tag:
            case 'int':
                return int(node.value.replace('_', ''), 0)
            case 'float':
                return float(node.value)
            case 'bool':
                return node.value.lower() in ('true', 'yes', 'on')
            case 'null':
                return None
    except ValueError:
        pass
    return node.value
