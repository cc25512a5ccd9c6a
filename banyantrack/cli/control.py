"""Command line of banyan-control."""

from __future__ import annotations

import argparse
import pathlib
import sys

import curio

from banyantrack.cli import daemon
from banyantrack.core import logs
from banyantrack.core import settings as settings_module
from banyantrack.core import states
from banyantrack.daemons import control
from banyantrack.replication import errors
from banyantrack.replication import inspection

Exit = states.ExitCode


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog='banyan-control',
        description='Member of the control group: replicated intent,'
        ' placement of jobs, and claims of requests.',
    )
    commands = parser.add_subparsers(dest='command', metavar='COMMAND')
    run = commands.add_parser('run', help='run the daemon (the default)')
    daemon.add_options(run)
    bootstrap = commands.add_parser(
        'bootstrap',
        help='make this member the first voter of a new group; done once',
    )
    daemon.add_options(bootstrap)
    inspect = commands.add_parser(
        'inspect', help='print and check a data folder offline'
    )
    inspect.add_argument('folder', type=pathlib.Path)
    backup = commands.add_parser(
        'backup', help='copy a data folder into one file, offline'
    )
    backup.add_argument('folder', type=pathlib.Path)
    backup.add_argument('file', type=pathlib.Path)
    restore = commands.add_parser(
        'restore',
        help='start a new group of one voter from a backup',
    )
    daemon.add_options(restore)
    restore.add_argument('file', type=pathlib.Path)
    return parser


def main(arguments: list[str] | None = None) -> int:
    """Runs the command line.

    Args:
        arguments: Arguments without the program's name; those of the
            process if None.

    Returns:
        The exit code.
    """
    given = sys.argv[1:] if arguments is None else arguments
    if given and given[0].startswith('--') and given[0] != '--help':
        given = ['run', *given]
    parser = _parser()
    options = parser.parse_args(given)
    if options.command is None:
        parser.print_help()
        return Exit.BAD_INPUT
    try:
        return _COMMANDS[options.command](options)
    except errors.ReplicationError as error:
        print(f'banyan-control: {error}', file=sys.stderr)
        return Exit.REFUSED


def _run(options: argparse.Namespace) -> int:
    settings = daemon.load(settings_module.load_control, options.config)
    if options.check:
        return Exit.DONE
    logs.configure(settings.logging)
    return daemon.run(
        lambda: control.ControlDaemon(settings, path=options.config)
    )


def _bootstrap(options: argparse.Namespace) -> int:
    settings = daemon.load(settings_module.load_control, options.config)
    if options.check:
        return Exit.DONE
    member = control.ControlDaemon(settings)
    curio.run(member.replica.bootstrap)
    member.replica.storage.close()
    print(f'{settings.data_folder}: new group with one voter')
    return Exit.DONE


def _inspect(options: argparse.Namespace) -> int:
    report = inspection.inspect(options.folder)
    for line in report.lines:
        print(line)
    for finding in report.findings:
        print(finding, file=sys.stderr)
    return Exit.REFUSED if report.findings else Exit.DONE


def _backup(options: argparse.Namespace) -> int:
    index = inspection.backup(options.folder, options.file)
    print(f'{options.file}: everything up to index {index}')
    return Exit.DONE


def _restore(options: argparse.Namespace) -> int:
    settings = daemon.load(settings_module.load_control, options.config)
    if options.check:
        return Exit.DONE
    folder = pathlib.Path(settings.data_folder)
    index = inspection.restore(
        options.file,
        folder,
        name=settings.name,
        address=settings.rpc_address,
        service_address=settings.http_address,
    )
    print(f'{folder}: new group with one voter at index {index}')
    return Exit.DONE


_COMMANDS = {
    'run': _run,
    'bootstrap': _bootstrap,
    'inspect': _inspect,
    'backup': _backup,
    'restore': _restore,
}

if __name__ == '__main__':
    sys.exit(main())
