"""Settings of a node, read from an INI file and validated at startup."""

from citronweir.settings._settings import read_settings
from citronweir.settings._settings import render_reference
from citronweir.settings._settings import Settings
from citronweir.settings._settings import SettingsError
