"""Generates completion scripts for shells from the parser."""

from __future__ import annotations

import argparse

_TEMPLATE = """\
_banyan() {{
    local word=${{COMP_WORDS[COMP_CWORD]}} command=${{COMP_WORDS[1]}}
    local words="{commands}"
    if [ "$COMP_CWORD" -gt 1 ]; then
        case "$command" in
{cases}
        esac
    fi
    COMPREPLY=($(compgen -W "$words" -- "$word"))
}}
complete -o default -F _banyan banyan"""


def bash(parser: argparse.ArgumentParser) -> str:
    """Returns a completion script for bash.

    Args:
        parser: Parser whose subcommands are completed.
    """
    commands = _subparsers(parser)
    cases = '\n'.join(
        f'            {name}) words="{" ".join(_words(command))}" ;;'
        for name, command in commands.items()
    )
    return _TEMPLATE.format(commands=' '.join(commands), cases=cases)


def _subparsers(
    parser: argparse.ArgumentParser,
) -> dict[str, argparse.ArgumentParser]:
    for action in parser._actions:
        if isinstance(action, argparse._SubParsersAction):
            return dict(action.choices)
    return {}


def _words(parser: argparse.ArgumentParser) -> list[str]:
    words = list(_subparsers(parser))
    for action in parser._actions:
        words.extend(action.option_strings)
        if not isinstance(action, argparse._SubParsersAction):
            words.extend(str(choice) for choice in action.choices or ())
    return words
