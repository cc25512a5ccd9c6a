"""Command line of banyan-entry."""

from __future__ import annotations

import argparse
import sys

from banyantrack.cli import daemon
from banyantrack.core import logs
from banyantrack.core import settings as settings_module
from banyantrack.core import states
from banyantrack.daemons import entry
from banyantrack.daemons import entry_platform


def main(arguments: list[str] | None = None) -> int:
    """Runs the command line.

    Args:
        arguments: Arguments without the program's name; those of the
            process if None.

    Returns:
        The exit code.
    """
    parser = argparse.ArgumentParser(
        prog='banyan-entry',
        description='Entry: accepts requests of callers, announcements of'
        ' backends and commands of operators.',
    )
    daemon.add_options(parser)
    options = parser.parse_args(arguments)
    settings = daemon.load(settings_module.load_entry, options.config)
    if options.check:
        return states.ExitCode.DONE
    logs.configure(settings.logging)
    if settings.platform is not None:
        return daemon.run(
            lambda: entry_platform.PlatformEntryDaemon(
                settings, path=options.config
            )
        )
    return daemon.run(lambda: entry.EntryDaemon(settings))


if __name__ == '__main__':
    sys.exit(main())
