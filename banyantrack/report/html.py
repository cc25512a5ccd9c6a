"""Renders the report as a self-contained HTML page with charts."""

from __future__ import annotations

import base64
import datetime
import html
import io
import typing

import matplotlib

from banyantrack.report import burn as burn_module
from banyantrack.report import text as text_module

if typing.TYPE_CHECKING:
    import collections.abc

    from banyantrack.report import logs_reader

matplotlib.use('Agg')

from matplotlib import pyplot  # noqa: E402

GOOD_COLOR = '#7a9e7e'
BAD_COLOR = '#b5483a'
_PAGE = """<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>Service-level burn</title>
<style>
body {{ font: 15px/1.5 system-ui, sans-serif; margin: 2rem auto;
  max-width: 62rem; color: #222; }}
table {{ border-collapse: collapse; width: 100%; margin-bottom: 1.5rem; }}
th, td {{ text-align: right; padding: .35rem .7rem;
  border-bottom: 1px solid #ddd; }}
th:first-child, td:first-child {{ text-align: left; }}
.bad {{ color: #b5483a; font-weight: 600; }}
img {{ max-width: 100%; }}
pre {{ background: #f6f6f4; padding: .8rem; overflow-x: auto; }}
</style></head><body>
<h1>Service-level burn</h1>
<p>Until {until} UTC. A burn rate of 1 uses the budget up just at the end of
the objective's window.</p>
<table><tr><th>Objective</th><th>Target</th><th>Requests</th><th>Bad</th>
<th>Budget left</th>{windows}</tr>
{rows}</table>
{sections}
<h2>Logs</h2><pre>{gaps}</pre>
</body></html>
"""


def render(
    burns: collections.abc.Sequence[burn_module.Burn],
    reading: logs_reader.Reading,
    now: float,
) -> str:
    """Returns the page as HTML.

    Args:
        burns: Measurements of all objectives.
        reading: The logs behind them.
        now: End of all windows, in seconds since the Unix epoch.
    """
    moment = datetime.datetime.fromtimestamp(now, datetime.timezone.utc)
    return _PAGE.format(
        until=moment.strftime('%Y-%m-%d %H:%M:%S'),
        windows=''.join(
            f'<th>{text_module.window_name(window)}</th>'
            for window in burn_module.WINDOWS_S
        ),
        rows='\n'.join(_row(burn) for burn in burns),
        sections='\n'.join(_section(burn) for burn in burns),
        gaps=html.escape(text_module.gaps_text(reading)),
    )


def _row(burn: burn_module.Burn) -> str:
    cells = [
        html.escape(burn.name),
        f'{burn.target:.2%}',
        str(burn.total),
        str(burn.bad),
        _highlight_if(f'{burn.budget_left:.0%}', burn.budget_left < 0),
    ]
    cells += [
        _highlight_if(f'{burn.rates[window]:.1f}', burn.rates[window] > 1)
        for window in burn_module.WINDOWS_S
    ]
    return '<tr>' + ''.join(f'<td>{cell}</td>' for cell in cells) + '</tr>'


def _highlight_if(text: str, bad: bool) -> str:
    return f'<span class="bad">{text}</span>' if bad else text


def _section(burn: burn_module.Burn) -> str:
    title = html.escape(burn.name)
    if not burn.total:
        return f'<h2>{title}</h2><p>No requests.</p>'
    return (
        f'<h2>{title}</h2><img alt="requests and budget of {title}"'
        f' src="data:image/png;base64,{_chart(burn)}">'
        f'<p>{_counts_text("What burned it", burn.causes)}'
        f' {_counts_text("Customers hit", burn.customers)}</p>'
    )


def _counts_text(title: str, counts: collections.abc.Mapping[str, int]) -> str:
    if not counts:
        return ''
    entries = ', '.join(
        f'{html.escape(name)} {count}'
        for name, count in sorted(counts.items(), key=lambda item: -item[1])
    )
    return f'{title}: {entries}.'


def _chart(burn: burn_module.Burn) -> str:
    """Returns charts of requests and budget over time, as PNG in base64."""
    figure, (requests, budget) = pyplot.subplots(
        2, 1, figsize=(10, 4.6), sharex=True, layout='constrained'
    )
    minutes = [
        position * burn.bucket_s / 60 for position in range(len(burn.series))
    ]
    width = burn.bucket_s / 60
    good = [total - bad for total, bad in burn.series]
    bad = [bad for _, bad in burn.series]
    requests.bar(minutes, good, width, color=GOOD_COLOR, label='in time')
    requests.bar(minutes, bad, width, good, color=BAD_COLOR, label='bad')
    requests.set_ylabel('requests')
    requests.legend(
        loc='lower right', bbox_to_anchor=(1, 1), ncols=2, frameon=False
    )
    budget.plot(minutes, _budget_series(burn), color=BAD_COLOR)
    budget.axhline(0, color='#888', linewidth=0.8)
    budget.set_ylabel('budget left')
    budget.set_xlabel('minutes')
    for axes in (requests, budget):
        axes.spines[['top', 'right']].set_visible(False)
    buffer = io.BytesIO()
    figure.savefig(buffer, format='png', dpi=110)
    pyplot.close(figure)
    return base64.b64encode(buffer.getvalue()).decode('ascii')


def _budget_series(burn: burn_module.Burn) -> list[float]:
    allowed_bad = max(burn.total * (1.0 - burn.target), 1e-9)
    left = []
    used = 0
    for _, bad in burn.series:
        used += bad
        left.append(1.0 - used / allowed_bad)
    return left
