"""Replaces the tables of a Markdown page between their markers."""

from collections import abc
import re

_TABLE = re.compile(
    r'(<!-- table: (?P<name>[a-z_]+) -->\n).*?(<!-- end -->)', re.DOTALL
)


class PageError(Exception):
    """The markers of a page do not match the tables."""


def render_table(
    header: abc.Sequence[str], rows: abc.Iterable[abc.Sequence[object]]
) -> str:
    """Renders a Markdown table."""
    lines = [header, ['---'] * len(header), *rows]
    return ''.join(
        '| ' + ' | '.join(str(cell) for cell in line) + ' |\n'
        for line in lines
    )


def rewrite_tables(page: str, tables: abc.Mapping[str, str]) -> str:
    """Replaces the text between the markers of each table.

    Args:
        page: Text of the page.
        tables: All tables of the page, rendered, by name.

    Returns:
        The new text.

    Raises:
        PageError: A table has no markers, or markers have no table.
    """
    found = {match['name'] for match in _TABLE.finditer(page)}
    missing = tables.keys() - found
    if missing:
        raise PageError(f'no markers for: {", ".join(sorted(missing))}')
    stale = found - tables.keys()
    if stale:
        raise PageError(f'no table for: {", ".join(sorted(stale))}')

    def replace(match):
        return f'{match[1]}\n{tables[match["name"]]}\n{match[3]}'

    return _TABLE.sub(replace, page)


def format_number(value: float) -> str:
    """Formats a number with three significant digits.

    Numbers from 1000 are rounded to integers with thousands separators.
    """
    if value == 0:
        return '0'
    if abs(value) >= 1000:
        return f'{value:,.0f}'
    if abs(value) >= 100:
        return f'{value:.0f}'
    return f'{value:.3g}'
