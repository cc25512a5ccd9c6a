"""Writes docs/settings.md from the schema."""

from __future__ import annotations

import pathlib

from banyantrack.core import documents

ROOT = pathlib.Path(__file__).resolve().parent.parent
# Structs of the schema and the title of the section of each.
STRUCTS = (
    ('ControlSettings', 'banyan-control'),
    ('EntrySettings', 'banyan-entry'),
    ('ControlPlatformSettings', 'platform (banyan-control)'),
    ('EntryPlatformSettings', 'platform (banyan-entry)'),
    ('ReplicationSettings', 'replication'),
    ('PlacementSettings', 'placement'),
    ('DispatchSettings', 'dispatch'),
    ('LimitSettings', 'limits'),
    ('LoggingSettings', 'logging'),
    ('ControlMember', 'members'),
    ('Token', 'tokens'),
    ('ReportSettings', 'banyan-report --objectives'),
    ('Objective', 'objectives'),
)


def row(field: documents.FieldModel) -> str:
    """Returns the table row of one field."""
    valid = ''
    if field.choices:
        valid = ', '.join(field.choices)
    elif field.low is not None:
        valid = f'{field.low} to {field.high}'
    elif field.form:
        valid = field.form
    default = 'required' if field.required else f'`{field.default}`'
    if field.type in ('struct', 'list') and not field.required:
        default = '-'
    cells = (f'`{field.name}`', field.type, default, valid, field.doc)
    return f'| {" | ".join(cells)} |'


def main() -> None:
    """Writes a page with one table for each struct."""
    model = documents.model('settings')
    lines = [
        '# Settings',
        '',
        'Made from the schema by `tools/settings_page.py`.',
    ]
    for struct, title in STRUCTS:
        lines += [
            '',
            f'## {title}',
            '',
            '| key | type | default | valid | meaning |',
            '| --- | --- | --- | --- | --- |',
        ]
        lines += [row(field) for field in model.fields(struct)]
    page = '\n'.join(lines) + '\n'
    (ROOT / 'docs' / 'settings.md').write_text(page)


if __name__ == '__main__':
    main()
