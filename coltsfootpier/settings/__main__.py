"""Print the reference page ``docs/settings.md``."""

from coltsfootpier.settings import format_settings_page

print(format_settings_page(), end="")
