"""Kinds of objects, and their representation in JSON and YAML."""

from __future__ import annotations

import dataclasses
import typing

import yaml

from banyantrack.core import documents
from banyantrack.core import findings
from banyantrack.generated.intent import ttypes

if typing.TYPE_CHECKING:
    Body = (
        ttypes.Customer
        | ttypes.Guarantee
        | ttypes.Job
        | ttypes.Route
        | ttypes.LabelSet
        | ttypes.Worker
    )

MAX_DOCUMENTS = 10_000


@dataclasses.dataclass(frozen=True, slots=True)
class Kind:
    """One kind of object.

    Attributes:
        number: Value in the schema's `ObjectKind`.
        plural: Name in paths and on the command line.
        field: Field of `StoredObject` that holds the body.
        struct: Schema struct of the body.
    """

    number: int
    plural: str
    field: str
    struct: str


KINDS = (
    Kind(ttypes.ObjectKind.CUSTOMER, 'customers', 'customer', 'Customer'),
    Kind(ttypes.ObjectKind.GUARANTEE, 'guarantees', 'guarantee', 'Guarantee'),
    Kind(ttypes.ObjectKind.JOB, 'jobs', 'job', 'Job'),
    Kind(ttypes.ObjectKind.ROUTE, 'routes', 'route', 'Route'),
    Kind(
        ttypes.ObjectKind.WORKER_LABELS, 'worker-labels', 'labels', 'LabelSet'
    ),
    Kind(
        ttypes.ObjectKind.BACKEND_LABELS,
        'backend-labels',
        'labels',
        'LabelSet',
    ),
    Kind(ttypes.ObjectKind.WORKER, 'workers', 'worker', 'Worker'),
)
KIND_BY_NUMBER = {kind.number: kind for kind in KINDS}
KIND_BY_PLURAL = {kind.plural: kind for kind in KINDS}
# Documents accept the plural and the singular.
KIND_BY_NAME = KIND_BY_PLURAL | {
    kind.plural.removesuffix('s'): kind for kind in KINDS
}


def kind_of(stored: ttypes.StoredObject) -> Kind:
    """Returns the kind of an object."""
    return KIND_BY_NUMBER[stored.kind]


def body_of(stored: ttypes.StoredObject) -> Body:
    """Returns the body of an object."""
    return getattr(stored, kind_of(stored).field)


def make(
    kind: Kind, name: str, body: Body, revision: int = 0
) -> ttypes.StoredObject:
    """Returns an object with a body."""
    stored = ttypes.StoredObject(
        kind=kind.number, name=name, revision=revision, deleted=False
    )
    setattr(stored, kind.field, body)
    return stored


def tombstone(kind: Kind, name: str, revision: int = 0) -> ttypes.StoredObject:
    """Returns an object that marks the deletion of its name."""
    return ttypes.StoredObject(
        kind=kind.number, name=name, revision=revision, deleted=True
    )


def to_document(stored: ttypes.StoredObject) -> dict[str, object]:
    """Returns an object as the map that JSON and YAML documents hold."""
    kind = kind_of(stored)
    document: dict[str, object] = {
        'kind': kind.plural.removesuffix('s'),
        'name': stored.name,
        'revision': stored.revision,
    }
    if stored.deleted:
        document['deleted'] = True
        return document
    body = body_of(stored)
    if isinstance(body, ttypes.LabelSet):
        document['labels'] = dict(body.labels)
        return document
    for field in documents.model('intent').fields(kind.struct):
        document[field.name] = getattr(body, field.name)
    return document


class DocumentReader:
    """Reads objects from YAML or JSON text.

    Args:
        source: Name of the text in the places of findings.
        found: Receives the findings.
    """

    def __init__(self, source: str, found: findings.Findings) -> None:
        self._source = source
        self._found = found
        self._reader = documents.Reader(
            source, documents.model('intent'), found
        )
        self._check_name_form = documents.FORMS.get('name')

    def body(self, text: str, kind: Kind) -> Body | None:
        """Reads the body of one object of a given kind.

        Returns:
            The body, valid only if nothing was added to the findings; None
            if the text is not a single map.
        """
        nodes = self._reader.compose(text)
        if len(nodes) != 1:
            if not self._found.found:
                self._found.add(
                    self._source,
                    f'got {len(nodes)} documents; valid is one map',
                )
            return None
        return self._body(nodes[0], kind, {'kind', 'name', 'revision'})

    def objects(self, text: str) -> list[ttypes.StoredObject]:
        """Reads several objects, each with its kind and name.

        The text consists of documents, each an object or a list of objects.
        One that is no map, or has no name or no known kind, is left out. All
        problems are added to the findings.
        """
        nodes: list[yaml.Node] = []
        for node in self._reader.compose(text):
            if isinstance(node, yaml.SequenceNode):
                nodes.extend(node.value)
            else:
                nodes.append(node)
        if len(nodes) > MAX_DOCUMENTS:
            self._found.add(
                self._source,
                f'got {len(nodes)} objects; valid are up to {MAX_DOCUMENTS}',
            )
            return []
        read = [self._object(node) for node in nodes]
        return [stored for stored in read if stored is not None]

    def check_name(self, place: str, name: str) -> None:
        """Adds a finding if a name is not valid."""
        problem = self._check_name_form(name)
        if not name:
            problem = 'valid is text that is not empty'
        if problem:
            self._found.add(place, f'got {name!r} for name; {problem}')

    def _object(self, node: yaml.Node) -> ttypes.StoredObject | None:
        pairs = self._reader.pairs(node)
        if not pairs:
            return None
        name = self._text(node, pairs, 'name')
        kind_name = self._text(node, pairs, 'kind')
        if name is None or kind_name is None:
            return None
        self.check_name(self._reader.place(pairs['name'][1]), name)
        kind = KIND_BY_NAME.get(kind_name)
        if kind is None:
            valid = ', '.join(k.plural.removesuffix('s') for k in KINDS)
            self._found.add(
                self._reader.place(pairs['kind'][1]),
                f'got kind {kind_name!r}; valid are: {valid}',
            )
            return None
        body = self._body(node, kind, {'kind', 'name', 'revision'})
        return make(kind, name, body)

    def _text(
        self,
        node: yaml.Node,
        pairs: dict[str, tuple[yaml.Node, yaml.Node]],
        key: str,
    ) -> str | None:
        if key not in pairs:
            self._found.add(
                self._reader.place(node), f'key {key!r} is missing'
            )
            return None
        return str(pairs[key][1].value)

    def _body(
        self, node: yaml.Node, kind: Kind, excluded_keys: set[str]
    ) -> Body | None:
        if not isinstance(node, yaml.MappingNode):
            self._reader.pairs(node)
            return None
        body_pairs = [
            (key, value)
            for key, value in node.value
            if key.value not in excluded_keys
        ]
        body_node = yaml.MappingNode(
            node.tag, body_pairs, node.start_mark, node.end_mark
        )
        if kind.struct == 'LabelSet':
            pairs = self._reader.pairs(body_node)
            if set(pairs) != {'labels'}:
                self._found.add(
                    self._reader.place(node),
                    f'got keys {sorted(pairs)}; valid is labels',
                )
                return None
            labels = self._reader.text_map(pairs['labels'][1])
            return ttypes.LabelSet(labels=labels)
        return self._reader.struct(body_node, kind.struct)
