"""Command lines of the daemons, of operators and of the report.

Placeholders for unused modules are installed before anything imports curio,
to keep the daemons within their memory limit. SIGHUP is ignored at import,
since one that arrives while a daemon is loading its modules must not end it.
"""

import signal

from banyantrack.core import deferred_imports

signal.signal(signal.SIGHUP, signal.SIG_IGN)
deferred_imports.install()
