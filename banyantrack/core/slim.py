"""Puts off imports that the event loop names but daemons never use.

curio imports asyncio, ssl and subprocess for parts that this package does
not touch. Together they hold 6 MB of the 32 MB that a daemon may have. A
placeholder stands for each and loads the module at its first use, so that
whoever needs it still gets it.
"""

from __future__ import annotations

import importlib
import sys
import types

DEFERRED = ('asyncio', 'ssl', 'subprocess')


class DeferredModule(types.ModuleType):
    """Stands for a module until one of its names is used."""

    def __getattr__(self, name: str) -> object:
        if name.startswith('__'):
            raise AttributeError(name)
        if sys.modules.get(self.__name__) is self:
            del sys.modules[self.__name__]
        real = importlib.import_module(self.__name__)
        self.__dict__.update(real.__dict__)
        return getattr(real, name)


def install() -> None:
    """Puts placeholders in place of modules that are not loaded yet."""
    for name in DEFERRED:
        if name not in sys.modules:
            sys.modules[name] = DeferredModule(name)
