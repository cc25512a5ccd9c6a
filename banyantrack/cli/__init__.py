"""Command lines.

Placeholders for unused imports stand before anything imports the event
loop, which the daemons' memory limit asks for.
"""

from banyantrack.core import slim

slim.install()
