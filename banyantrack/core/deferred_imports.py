"""Defers imports that curio makes but the daemons do not need.

curio imports asyncio, ssl and subprocess for features that this package does
not use. Together they take 6 MB of the 32 MB that a daemon may use. A
placeholder replaces each and loads the module on first attribute access, so
that code which needs the module still works.
"""

from __future__ import annotations

import importlib
import sys
import types

DEFERRED_MODULES = ('asyncio', 'ssl', 'subprocess')


class DeferredModule(types.ModuleType):
    """Placeholder that loads its module on first attribute access."""

    def __getattr__(self, name: str) -> object:
        if name.startswith('__'):
            raise AttributeError(name)
        if sys.modules.get(self.__name__) is self:
            del sys.modules[self.__name__]
        real = importlib.import_module(self.__name__)
        self.__dict__.update(real.__dict__)
        return getattr(real, name)


def install() -> None:
    """Installs placeholders for the modules that are not loaded yet."""
    for name in DEFERRED_MODULES:
        if name not in sys.modules:
            sys.modules[name] = DeferredModule(name)
