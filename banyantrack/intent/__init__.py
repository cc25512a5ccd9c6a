"""Operators' intent: the replicated objects and the commands on them."""

from banyantrack.intent.feed import CompactedError
from banyantrack.intent.state import IntentState

__all__ = ('CompactedError', 'IntentState')
