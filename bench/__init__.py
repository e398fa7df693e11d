"""Measurements of the algorithms and of the running system."""
