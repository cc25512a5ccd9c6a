"""Placement of gangs under guarantees."""
