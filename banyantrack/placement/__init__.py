"""Placement of gangs on workers under capacity guarantees."""
