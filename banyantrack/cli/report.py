"""Command line of banyan-report."""

from __future__ import annotations

import argparse
import pathlib
import signal
import sys
import time

from banyantrack.core import documents
from banyantrack.core import findings
from banyantrack.core import states
from banyantrack.report import burn
from banyantrack.report import logs_reader
from banyantrack.report import text

Exit = states.ExitCode


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
    parser = argparse.ArgumentParser(
        prog='banyan-report',
        description='Service-level burn from the logs of entries.',
    )
    parser.add_argument('logs', nargs='+', type=pathlib.Path, metavar='LOG')
    parser.add_argument(
        '--objectives',
        type=pathlib.Path,
        metavar='FILE',
        help='objectives in YAML (default: 99%% of each route in time)',
    )
    parser.add_argument(
        '--html', type=pathlib.Path, metavar='FILE', help='write a page'
    )
    parser.add_argument(
        '--until',
        type=float,
        metavar='SECONDS',
        help='end of all windows since 1970 (default: the last request)',
    )
    options = parser.parse_args(arguments)
    try:
        objectives = _objectives(options.objectives)
    except findings.FindingsError as error:
        for finding in error.findings:
            print(finding, file=sys.stderr)
        return Exit.BAD_INPUT
    reading = logs_reader.read(options.logs)
    if objectives is None:
        objectives = _default_objectives(reading)
    last = reading.events[-1].at if reading.events else time.time()
    until = options.until or last
    burns = [
        burn.measure(objective, reading.events, until)
        for objective in objectives
    ]
    print(text.render(burns, reading))
    if options.html is not None:
        return _write_page(options.html, burns, reading, until)
    return Exit.DONE


def _write_page(
    path: pathlib.Path,
    burns: list[burn.Burn],
    reading: logs_reader.Reading,
    until: float,
) -> int:
    try:
        # The plotting library is not installed with the daemons.
        from banyantrack.report import html
    except ImportError as error:
        print(
            f'banyan-report: {error}; install banyantrack[report]',
            file=sys.stderr,
        )
        return Exit.REFUSED
    path.write_text(html.render(burns, reading, until), encoding='utf-8')
    print(f'written: {path}')
    return Exit.DONE


def _objectives(path: pathlib.Path | None) -> list | None:
    if path is None:
        return None
    found = findings.Findings()
    reader = documents.Reader(str(path), documents.model('settings'), found)
    nodes = reader.compose(path.read_text(encoding='utf-8'))
    documents_read = [reader.struct(node, 'ReportSettings') for node in nodes]
    found.raise_any(f'objectives in {path}')
    return [
        objective
        for settings in documents_read
        for objective in settings.objectives
    ]


def _default_objectives(reading: logs_reader.Reading) -> list:
    model = documents.model('settings')
    return [
        model.make('Objective', name=route, route=route)
        for route in sorted({event.route for event in reading.events})
    ]


if __name__ == '__main__':
    sys.exit(main())
