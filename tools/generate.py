"""Generates banyantrack/generated from schema/ with the thrift compiler.

The generated files are committed. The digest of the schema stands beside
them, so that a test can tell whether they are current without a compiler.
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


def run_thrift(generator: str, source: pathlib.Path, out: str) -> None:
    """Runs the thrift compiler on one file.

    Args:
        generator: Generator and its options, as `--gen` takes them.
        source: The schema file.
        out: Folder that receives the output.

    Raises:
        subprocess.CalledProcessError: If the compiler fails.
    """
    command = ['thrift', '--gen', generator, '-out', out, str(source)]
    subprocess.run(command, check=True)


def generate_python() -> None:
    """Replaces the generated Python packages."""
    with tempfile.TemporaryDirectory() as folder:
        for name in PACKAGES:
            run_thrift('py:dynamic,slots', SCHEMA / f'{name}.thrift', folder)
        made = pathlib.Path(folder) / 'banyantrack' / 'generated'
        shutil.rmtree(GENERATED, ignore_errors=True)
        GENERATED.mkdir(parents=True)
        (GENERATED / '__init__.py').write_text('')
        for name in PACKAGES:
            shutil.copytree(made / name, GENERATED / name)


def field_model(field: dict) -> dict:
    """Reduces one field of the compiler's JSON to what settings need."""
    model = {
        'name': field['name'],
        'type': field['typeId'],
        'required': field['required'] == 'required',
        'doc': field.get('doc', '').strip(),
    }
    kind = field.get('type', {})
    model['class'] = kind.get('class', '')
    model['element'] = kind.get('elemTypeId', '')
    if model['element'] == 'struct':
        model['class'] = kind['elemType']['class']
    model.update(field.get('annotations', {}))
    return model


def generate_model(name: str) -> None:
    """Writes bounds and docs of a schema's fields beside its code.

    Args:
        name: Name of the schema file without its ending.
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
    """Reads the line comments that stand before each field.

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
    """Generates everything and records the digest of the schema."""
    generate_python()
    generate_model('settings')
    generate_model('intent')
    from banyantrack.core import schema_digest

    digest = schema_digest.digest_of_schema(SCHEMA)
    (GENERATED / 'SCHEMA_DIGEST').write_text(digest + '\n')


if __name__ == '__main__':
    main()
