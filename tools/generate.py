"""Generates banyantrack/generated from schema/ with the thrift compiler.

The generated files are committed. A digest of the schema is stored beside
them, so that a test can check without a compiler whether they are current.
"""

from __future__ import annotations

import json
import pathlib
import shutil
import subprocess
import sys
import tempfile

ROOT = pathlib.Path(__file__).resolve().parent.parent
SCHEMA = ROOT / 'schema'
GENERATED = ROOT / 'banyantrack' / 'generated'
PACKAGES = ('replication', 'workload', 'intent', 'cluster', 'settings')

sys.path.insert(0, str(ROOT))


def run_thrift(generator: str, source: pathlib.Path, folder: str) -> None:
    """Runs the thrift compiler on one file.

    Args:
        generator: Generator and its options, in the form of the flag `--gen`.
        source: The schema file.
        folder: Folder that receives the output.

    Raises:
        subprocess.CalledProcessError: If the compiler fails.
    """
    command = ['thrift', '--gen', generator, '-out', folder, str(source)]
    subprocess.run(command, check=True)


def generate_python() -> None:
    """Replaces the generated Python packages."""
    with tempfile.TemporaryDirectory() as folder:
        for name in PACKAGES:
            run_thrift('py:dynamic,slots', SCHEMA / f'{name}.thrift', folder)
        generated = pathlib.Path(folder) / 'banyantrack' / 'generated'
        shutil.rmtree(GENERATED, ignore_errors=True)
        GENERATED.mkdir(parents=True)
        (GENERATED / '__init__.py').write_text('')
        for name in PACKAGES:
            shutil.copytree(generated / name, GENERATED / name)


def field_model(field: dict) -> dict:
    """Converts one field of the compiler's JSON to its form in `model.json`.

    Args:
        field: The field in the output of the JSON generator.

    Returns:
        Name, type, whether required, doc, class, element type, and the
        annotations of the field.
    """
    model = {
        'name': field['name'],
        'type': field['typeId'],
        'required': field['required'] == 'required',
        'doc': field.get('doc', '').strip(),
    }
    field_type = field.get('type', {})
    model['class'] = field_type.get('class', '')
    model['element'] = field_type.get('elemTypeId', '')
    if model['element'] == 'struct':
        model['class'] = field_type['elemType']['class']
    model.update(field.get('annotations', {}))
    return model


def generate_model(name: str) -> None:
    """Writes `model.json` with the fields of a schema beside its code.

    Args:
        name: Name of the schema file without its extension.
    """
    source = SCHEMA / f'{name}.thrift'
    docs = comment_docs(source)
    with tempfile.TemporaryDirectory() as folder:
        run_thrift('json', source, folder)
        text = (pathlib.Path(folder) / f'{name}.json').read_text()
    structs = {}
    for struct in json.loads(text)['structs']:
        fields = [field_model(field) for field in struct['fields']]
        for field in fields:
            field['doc'] = docs.get((struct['name'], field['name']), '')
        structs[struct['name']] = fields
    target = GENERATED / name / 'model.json'
    target.write_text(json.dumps(structs, indent=1) + '\n')


def comment_docs(source: pathlib.Path) -> dict[tuple[str, str], str]:
    """Reads the line comments before each field.

    Args:
        source: The schema file.

    Returns:
        Comment text by struct and field name.
    """
    docs: dict[tuple[str, str], str] = {}
    struct = ''
    comment: list[str] = []
    for line in source.read_text().splitlines():
        line = line.strip()
        if line.startswith('//'):
            comment.append(line.removeprefix('//').strip())
            continue
        if line.startswith('struct '):
            struct = line.split()[1]
        elif line[:1].isdigit():
            name = line.split('(')[0].split()[-1].rstrip(',')
            docs[(struct, name)] = ' '.join(comment)
        comment = []
    return docs


def main() -> None:
    """Generates the code and models and writes the digest of the schema."""
    generate_python()
    generate_model('settings')
    generate_model('intent')
    from banyantrack.core import schema_digest

    digest = schema_digest.digest_of_schema(SCHEMA)
    (GENERATED / 'SCHEMA_DIGEST').write_text(digest + '\n')


if __name__ == '__main__':
    main()
