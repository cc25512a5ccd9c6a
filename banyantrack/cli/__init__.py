"""Command lines.

Placeholders for unused imports stand before anything imports the event
loop, which the daemons' memory limit asks for. A request to reload that
comes while a daemon still loads its modules must not end it.
"""

import signal

from banyantrack.core import slim

signal.signal(signal.SIGHUP, signal.SIG_IGN)
slim.install()
