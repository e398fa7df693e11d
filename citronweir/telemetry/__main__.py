"""Prints the catalogue of log events, the content of docs/events.md."""

from citronweir import telemetry

print(telemetry.render_catalogue(), end='')
