"""Renders the report as text for a terminal."""

from __future__ import annotations

import typing

from banyantrack.cli import tables
from banyantrack.report import burn as burn_module

if typing.TYPE_CHECKING:
    import collections.abc

    from banyantrack.report import logs_reader

MAX_SHOWN_GAPS = 20
_SPARKLINE_LEVELS = ' ▁▂▃▄▅▆▇█'


def window_name(seconds: float) -> str:
    """Returns the short name of a window, such as `5m`, `6h` or `3d`."""
    if seconds >= 86_400:
        return f'{seconds / 86_400:.0f}d'
    if seconds >= 3600:
        return f'{seconds / 3600:.0f}h'
    return f'{seconds / 60:.0f}m'


def render(
    burns: collections.abc.Sequence[burn_module.Burn],
    reading: logs_reader.Reading,
) -> str:
    """Returns the report as text."""
    rows = [
        (
            burn.name,
            f'{burn.target:.2%}',
            burn.total,
            burn.bad,
            f'{max(burn.budget_left, -9.99):.0%}',
            *(f'{burn.rates[w]:.1f}' for w in burn_module.WINDOWS_S),
            _sparkline(burn),
        )
        for burn in burns
    ]
    header = ('OBJECTIVE', 'TARGET', 'REQUESTS', 'BAD', 'BUDGET LEFT')
    windows = tuple(window_name(w) for w in burn_module.WINDOWS_S)
    lines = [tables.render((*header, *windows, 'BAD OVER TIME'), rows)]
    for burn in burns:
        if burn.bad:
            causes = ', '.join(
                f'{cause} {count}'
                for cause, count in burn.causes.most_common()
            )
            customers = ', '.join(
                f'{name} {count}'
                for name, count in burn.customers.most_common(5)
            )
            lines.append(f'{burn.name}: {causes}; customers: {customers}')
    lines += ['', gaps_text(reading)]
    return '\n'.join(lines)


def gaps_text(reading: logs_reader.Reading) -> str:
    """Returns the number of lines read and the gaps in the logs."""
    if not reading.gaps:
        return f'{reading.lines} log lines read, without gaps'
    shown = '\n'.join(f'  {gap}' for gap in reading.gaps[:MAX_SHOWN_GAPS])
    hidden = len(reading.gaps) - MAX_SHOWN_GAPS
    more = f'\n  and {hidden} more' if hidden > 0 else ''
    return f'{reading.lines} log lines read; missing:\n{shown}{more}'


def _sparkline(burn: burn_module.Burn) -> str:
    shares = [bad / total if total else 0.0 for total, bad in burn.series]
    highest = max(shares, default=0.0)
    if not highest:
        return '-'
    last = len(_SPARKLINE_LEVELS) - 1
    return ''.join(
        _SPARKLINE_LEVELS[round(share / highest * last)] for share in shares
    )
