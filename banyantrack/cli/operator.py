"""Command line `banyan` for operators."""

from __future__ import annotations

import argparse
import json
import os
import pathlib
import signal
import sys
import time
import typing
import urllib.parse

import yaml

from banyantrack.cli import client as client_module
from banyantrack.cli import completion
from banyantrack.cli import tables
from banyantrack.core import findings
from banyantrack.core import registry
from banyantrack.core import states
from banyantrack.intent import objects
from banyantrack.report import explain

if typing.TYPE_CHECKING:
    import collections.abc

    Command = collections.abc.Callable[
        [client_module.OperatorClient, argparse.Namespace], int
    ]

Exit = states.ExitCode
DEFAULT_SERVER = '127.0.0.1:8080'
POLL_INTERVAL_S = 0.5
COMMANDS: registry.Registry[Command] = registry.Registry('command')
_FINAL_PHASES = ('completed', 'failed', 'cancelled')


class _RefusedError(Exception):
    """The server refused a request."""

    def __init__(self, reply: client_module.Reply) -> None:
        super().__init__(str(reply.document.get('detail', reply.status)))
        self.reply = reply


def build_parser() -> argparse.ArgumentParser:
    """Returns the parser of the command line."""
    parser = argparse.ArgumentParser(
        prog='banyan',
        description='Changes and shows the objects and state of banyantrack.',
        epilog='Exit codes: 0 done, 1 refused, 2 bad input, 3 outcome'
        ' unknown.',
    )
    parser.add_argument(
        '--server',
        default=os.environ.get('BANYAN_SERVER', DEFAULT_SERVER),
        metavar='IP:PORT[,IP:PORT...]',
        help='entries or control members (default: BANYAN_SERVER or'
        f' {DEFAULT_SERVER})',
    )
    parser.add_argument(
        '--token-file',
        type=pathlib.Path,
        metavar='FILE',
        help='file with the token (default: the text in BANYAN_TOKEN)',
    )
    parser.add_argument(
        '--timeout',
        type=float,
        default=20.0,
        metavar='SECONDS',
        help='time until a request is aborted (default: 20)',
    )
    commands = parser.add_subparsers(
        dest='command', metavar='COMMAND', required=True
    )
    _add_object_commands(commands)
    _add_job_commands(commands)
    _add_system_commands(commands)
    return parser


def _add_object_commands(commands: typing.Any) -> None:
    apply = commands.add_parser(
        'apply', help='create or change objects, all or nothing'
    )
    apply.add_argument(
        '-f',
        '--file',
        required=True,
        help='YAML or JSON documents; - for standard input',
    )
    get = commands.add_parser('get', help='show objects')
    get.add_argument(
        'kind', choices=sorted((*objects.KIND_BY_PLURAL, 'evacuations'))
    )
    get.add_argument('name', nargs='?')
    get.add_argument(
        '-o', '--output', choices=('table', 'json', 'yaml'), default='table'
    )
    delete = commands.add_parser('delete', help='delete an object')
    delete.add_argument('kind', choices=sorted(objects.KIND_BY_PLURAL))
    delete.add_argument('name')
    delete.add_argument(
        '--if-revision', type=int, metavar='REV', help='only at this revision'
    )
    label = commands.add_parser(
        'label', help='set labels with key=value, remove them with key-'
    )
    label.add_argument('of', choices=('worker', 'backend'))
    label.add_argument('name')
    label.add_argument('labels', nargs='+', metavar='KEY=VALUE|KEY-')


def _add_job_commands(commands: typing.Any) -> None:
    submit = commands.add_parser('submit', help='submit jobs')
    submit.add_argument('-f', '--file', required=True)
    submit.add_argument(
        '--wait', action='store_true', help='wait until the jobs have ended'
    )
    cancel = commands.add_parser('cancel', help='cancel jobs')
    cancel.add_argument('jobs', nargs='+', metavar='JOB')


def _add_system_commands(commands: typing.Any) -> None:
    status = commands.add_parser('status', help='show the whole system')
    rollout = commands.add_parser(
        'rollout', help='show which entry has which revision in force'
    )
    rollout.add_argument(
        '--wait', type=int, metavar='REV', help='wait until all have it'
    )
    evacuate = commands.add_parser(
        'evacuate', help='start nothing new in an availability zone'
    )
    evacuate.add_argument('zone', metavar='ZONE')
    evacuate.add_argument(
        '--end', action='store_true', help='end the evacuation'
    )
    members = commands.add_parser(
        'members', help='show or change the control group'
    )
    actions = members.add_subparsers(dest='action', metavar='ACTION')
    add = actions.add_parser('add', help='make a learner a voter')
    add.add_argument('add', metavar='ID')
    remove = actions.add_parser('remove', help='remove a member')
    remove.add_argument('remove', metavar='ID')
    replace = actions.add_parser(
        'replace', help='swap a lost voter for a learner in one change'
    )
    replace.add_argument('remove', metavar='LOST')
    replace.add_argument('add', metavar='NEW')
    watch = commands.add_parser('watch', help='print changes as they are made')
    watch.add_argument('--from', dest='from_revision', type=int, metavar='REV')
    for with_output in (status, rollout, members):
        with_output.add_argument(
            '-o', '--output', choices=('table', 'json'), default='table'
        )
    explain_parser = commands.add_parser(
        'explain',
        help='show the log lines of a request or job, or where a job would be'
        ' placed',
    )
    explain_parser.add_argument(
        'id', metavar='ID', nargs='?', help='id of a request or a job'
    )
    explain_parser.add_argument(
        'logs', nargs='*', type=pathlib.Path, metavar='LOG'
    )
    explain_parser.add_argument(
        '--dry-run',
        action='store_true',
        help='ask where the job in FILE would be placed now',
    )
    explain_parser.add_argument(
        '-f',
        '--file',
        help='queue, customer and job as YAML or JSON; - for standard input',
    )
    explain_parser.add_argument(
        '-o', '--output', choices=('table', 'json'), default='table'
    )
    shell_parser = commands.add_parser(
        'completion', help='print a completion script for bash'
    )
    shell_parser.add_argument(
        'shell', choices=('bash',), nargs='?', default='bash'
    )


def main(arguments: list[str] | None = None) -> int:
    """Runs the command line.

    Args:
        arguments: Arguments without the program's name; those of the
            process if None.

    Returns:
        The exit code.
    """
    # Unlike daemons, commands end when their terminal is closed.
    signal.signal(signal.SIGHUP, signal.SIG_DFL)
    parser = build_parser()
    options = parser.parse_args(arguments)
    if options.command == 'explain':
        _check_explain(parser, options)
    if options.command == 'completion':
        print(completion.bash(build_parser()))
        return Exit.DONE
    if options.command == 'explain' and not options.dry_run:
        timeline = explain.explain(options.id, options.logs)
        print(explain.render(options.id, timeline))
        return Exit.DONE if timeline.lines else Exit.REFUSED
    try:
        return COMMANDS.get(options.command)(_client(options), options)
    except _RefusedError as error:
        return _print_refusal(error.reply)
    except findings.FindingsError as error:
        for finding in error.findings:
            print(finding, file=sys.stderr)
        return Exit.BAD_INPUT
    except OSError as error:
        print(f'banyan: {error}', file=sys.stderr)
        return Exit.BAD_INPUT
    except client_module.UnconfirmedChangeError as error:
        print(f'banyan: outcome unknown: {error}', file=sys.stderr)
        return Exit.UNKNOWN
    except client_module.UnavailableError as error:
        print(f'banyan: not done: {error}', file=sys.stderr)
        return Exit.REFUSED
    except KeyboardInterrupt:
        return Exit.REFUSED


def _check_explain(
    parser: argparse.ArgumentParser, options: argparse.Namespace
) -> None:
    if options.dry_run and (not options.file or options.id):
        parser.error('explain --dry-run takes -f FILE and no ID')
    if not options.dry_run and (options.file or not options.logs):
        parser.error('explain takes an ID and logs, or --dry-run -f FILE')


def _client(options: argparse.Namespace) -> client_module.OperatorClient:
    token = os.environ.get('BANYAN_TOKEN', '')
    if options.token_file is not None:
        token = options.token_file.read_text().strip()
    return client_module.OperatorClient(
        options.server.split(','), token=token, timeout_s=options.timeout
    )


def _print_refusal(reply: client_module.Reply) -> int:
    document = reply.document
    for finding in document.get('findings', []):
        print(f'{finding["place"]}: {finding["message"]}', file=sys.stderr)
    print(f'banyan: refused: {document.get("detail")}', file=sys.stderr)
    return Exit.BAD_INPUT if reply.status in (400, 422) else Exit.REFUSED


def _call(
    client: client_module.OperatorClient,
    method: str,
    target: str,
    **options: typing.Any,
) -> client_module.Reply:
    reply = client.request(method, target, **options)
    if reply.status >= 300:
        raise _RefusedError(reply)
    return reply


def _path(kind: str, name: str) -> str:
    return f'/v1/{kind}/{urllib.parse.quote(name, safe="")}'


def _read(file: str) -> str:
    if file == '-':
        return sys.stdin.read()
    return pathlib.Path(file).read_text(encoding='utf-8')


def _check_documents(file: str, text: str) -> list[tuple[objects.Kind, str]]:
    """Validates documents before they are sent.

    Returns:
        Kind and name of each object.
    """
    found = findings.Findings()
    read = objects.DocumentReader(file, found).objects(text)
    if not read and not found.found:
        found.add(file, 'got no objects; valid is at least one')
    found.raise_any(file)
    return [(objects.kind_of(stored), stored.name) for stored in read]


def _apply_text(
    client: client_module.OperatorClient, file: str
) -> tuple[list[tuple[objects.Kind, str]], int]:
    text = _read(file)
    applied = _check_documents(file, text)
    reply = _call(
        client,
        'POST',
        '/v1/apply',
        body=text.encode(),
        headers=[('banyan-source', pathlib.PurePath(file).name)],
    )
    return applied, reply.document['revision']


@COMMANDS.register('apply')
def _apply(
    client: client_module.OperatorClient, options: argparse.Namespace
) -> int:
    applied, revision = _apply_text(client, options.file)
    for kind, name in applied:
        print(f'{kind.plural}/{name} applied')
    print(f'revision {revision}')
    return Exit.DONE


@COMMANDS.register('get')
def _get(
    client: client_module.OperatorClient, options: argparse.Namespace
) -> int:
    target = f'/v1/{options.kind}'
    if options.kind == 'evacuations' and options.name:
        raise findings.FindingsError.of(
            'get', [findings.Finding('name', 'valid is none for evacuations')]
        )
    if options.name:
        target = _path(options.kind, options.name)
    document = _call(client, 'GET', target).document
    if options.output == 'json':
        print(json.dumps(document, indent=2))
    elif options.output == 'yaml':
        print(yaml.safe_dump(document, sort_keys=False), end='')
    else:
        items = [document] if options.name else document['items']
        print(tables.KIND_TABLES[options.kind](items))
    return Exit.DONE


@COMMANDS.register('delete')
def _delete(
    client: client_module.OperatorClient, options: argparse.Namespace
) -> int:
    headers = []
    if options.if_revision is not None:
        headers.append(('if-match', f'"{options.if_revision}"'))
    path = _path(options.kind, options.name)
    reply = _call(client, 'DELETE', path, headers=headers)
    print(f'{options.kind}/{options.name} deleted')
    print(f'revision {reply.document["revision"]}')
    return Exit.DONE


@COMMANDS.register('label')
def _label(
    client: client_module.OperatorClient, options: argparse.Namespace
) -> int:
    changes = _parse_labels(options.labels)
    path = _path(f'labels/{options.of}s', options.name)
    while True:
        current = client.request('GET', path)
        labels: dict[str, str] = {}
        condition = ('if-none-match', '*')
        if current.status == 200:
            labels = dict(current.document['labels'])
            condition = ('if-match', f'"{current.etag}"')
        elif current.status != 404:
            raise _RefusedError(current)
        for key, value in changes.items():
            if value is None:
                labels.pop(key, None)
            else:
                labels[key] = value
        reply = client.request(
            'PUT',
            path,
            body=json.dumps({'labels': labels}).encode(),
            headers=[condition],
        )
        # 412: the labels changed since they were read; reads and retries.
        if reply.status != 412:
            break
    if reply.status >= 300:
        raise _RefusedError(reply)
    print(f'{options.of} {options.name}: {tables.label_text(labels)}')
    print(f'revision {reply.document["revision"]}')
    return Exit.DONE


def _parse_labels(texts: list[str]) -> dict[str, str | None]:
    changes: dict[str, str | None] = {}
    found = findings.Findings()
    for text in texts:
        key, separator, value = text.partition('=')
        if separator and key:
            changes[key] = value
        elif text.endswith('-') and len(text) > 1:
            changes[text[:-1]] = None
        else:
            found.add('label', f'got {text!r}; valid are key=value and key-')
    found.raise_any('labels')
    return changes


@COMMANDS.register('submit')
def _submit(
    client: client_module.OperatorClient, options: argparse.Namespace
) -> int:
    applied, revision = _apply_text(client, options.file)
    names = [name for kind, name in applied if kind.plural == 'jobs']
    for name in names:
        print(f'jobs/{name} submitted')
    print(f'revision {revision}')
    if not options.wait:
        return Exit.DONE
    phases = [_wait_job(client, name) for name in names]
    all_completed = all(phase == 'completed' for phase in phases)
    return Exit.DONE if all_completed else Exit.REFUSED


def _wait_job(client: client_module.OperatorClient, name: str) -> str:
    last_text = ''
    while True:
        document = _call(client, 'GET', _path('jobs', name)).document
        status = document['status']
        text = status.get('state', status['phase'])
        if status.get('why'):
            text += f': {status["why"]}'
        if text != last_text:
            print(f'jobs/{name} {text}', flush=True)
            last_text = text
        if status['phase'] in _FINAL_PHASES:
            return status['phase']
        time.sleep(POLL_INTERVAL_S)


@COMMANDS.register('cancel')
def _cancel(
    client: client_module.OperatorClient, options: argparse.Namespace
) -> int:
    body = json.dumps([f'jobs/{name}' for name in options.jobs]).encode()
    reply = _call(client, 'DELETE', '/v1/apply', body=body)
    for name in options.jobs:
        print(f'jobs/{name} cancelled')
    print(f'revision {reply.document["revision"]}')
    return Exit.DONE


def _print_document(
    options: argparse.Namespace,
    document: typing.Any,
    table: collections.abc.Callable[[typing.Any], str],
) -> int:
    if options.output == 'json':
        print(json.dumps(document, indent=2))
    else:
        print(table(document))
    return Exit.DONE


@COMMANDS.register('explain')
def _explain(
    client: client_module.OperatorClient, options: argparse.Namespace
) -> int:
    try:
        document = yaml.safe_load(_read(options.file))
        body = json.dumps(document).encode()
    except (yaml.YAMLError, TypeError, ValueError, RecursionError) as error:
        raise findings.FindingsError.of(
            options.file, [findings.Finding(options.file, str(error))]
        ) from None
    reply = _call(client, 'POST', '/v1/explain', body=body)
    return _print_document(options, reply.document, tables.dry_run)


@COMMANDS.register('status')
def _status(
    client: client_module.OperatorClient, options: argparse.Namespace
) -> int:
    document = _call(client, 'GET', '/v1/status').document
    return _print_document(options, document, tables.status)


@COMMANDS.register('rollout')
def _rollout(
    client: client_module.OperatorClient, options: argparse.Namespace
) -> int:
    deadline = time.monotonic() + options.timeout
    while True:
        document = _call(client, 'GET', '/v1/rollout').document
        behind = [
            entry['name']
            for entry in document['entries']
            if options.wait and entry['revision'] < options.wait
        ]
        if not behind:
            return _print_document(options, document, tables.rollout)
        if time.monotonic() > deadline:
            _print_document(options, document, tables.rollout)
            print(
                f'banyan: not yet in force at {", ".join(behind)}',
                file=sys.stderr,
            )
            return Exit.REFUSED
        time.sleep(POLL_INTERVAL_S / 5)


@COMMANDS.register('evacuate')
def _evacuate(
    client: client_module.OperatorClient, options: argparse.Namespace
) -> int:
    path = _path('evacuations', options.zone)
    if options.end:
        _call(client, 'DELETE', path)
        print(f'zone {options.zone}: evacuation ended')
        return Exit.DONE
    document = _call(client, 'PUT', path).document
    print(f'zone {options.zone} evacuated, {document["runs"]} runs remain')
    for line in tables.affected_customers(document):
        print(line)
    return Exit.DONE


@COMMANDS.register('members')
def _members(
    client: client_module.OperatorClient, options: argparse.Namespace
) -> int:
    if options.action is None:
        document = _call(client, 'GET', '/v1/members').document
        return _print_document(options, document, tables.members)
    change = {
        'add': getattr(options, 'add', ''),
        'remove': getattr(options, 'remove', ''),
    }
    body = json.dumps(change).encode()
    document = _call(client, 'POST', '/v1/members', body=body).document
    return _print_document(options, document, tables.members)


@COMMANDS.register('watch')
def _watch(
    client: client_module.OperatorClient, options: argparse.Namespace
) -> int:
    revision = options.from_revision
    if revision is None:
        revision = _call(client, 'GET', '/v1/status').document['revision']
    while True:
        target = f'/v1/watch?from={revision}'
        document = _call(client, 'GET', target).document
        for change in document['changes']:
            print(json.dumps(change), flush=True)
        revision = document['revision']


if __name__ == '__main__':
    sys.exit(main())
