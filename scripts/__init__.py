"""Demonstration of the system."""
