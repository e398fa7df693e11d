"""Tests of replacing the tables of a page."""

import pytest

from bench import _page as page

TEXT = """before
<!-- table: one -->
old
<!-- end -->
between
<!-- table: two -->
<!-- end -->
after
"""


def test_only_tables_change():
    # Guards against a rewrite that loses prose or swaps two tables.
    table = page.render_table(('a', 'b'), [(1, 2)])
    text = page.rewrite_tables(TEXT, {'one': 'new\n', 'two': table})
    one = '<!-- table: one -->\n\nnew\n\n<!-- end -->\n'
    two = '<!-- table: two -->\n\n| a | b |\n| --- | --- |\n| 1 | 2 |\n\n'
    assert text == f'before\n{one}between\n{two}<!-- end -->\nafter\n'


def test_table_that_is_no_longer_rendered_is_an_error():
    # Guards against outdated figures that remain on the page.
    with pytest.raises(page.PageError, match='two'):
        page.rewrite_tables(TEXT, {'one': ''})


def test_rewriting_twice_gives_the_same_page():
    # Guards against blank lines that accumulate with every run.
    tables = {'one': page.render_table(('a',), [(1,)]), 'two': ''}
    once = page.rewrite_tables(TEXT, tables)
    assert page.rewrite_tables(once, tables) == once


def test_table_without_markers_is_an_error():
    # Guards against a table that is silently left out of the page.
    with pytest.raises(page.PageError, match='three'):
        page.rewrite_tables(TEXT, {'one': '', 'two': '', 'three': ''})


def test_backslashes_in_a_table_are_kept():
    # Guards against text that is interpreted as a regex replacement template.
    tables = {'one': '\\1 \\g<name>\n', 'two': ''}
    text = page.rewrite_tables(TEXT, tables)
    assert '\\1 \\g<name>' in text


@pytest.mark.parametrize(
    ('value', 'text'),
    [(0, '0'), (0.01234, '0.0123'), (123.4, '123'), (84000.4, '84,000')],
)
def test_numbers_have_three_digits(value, text):
    # Guards against exponent notation and false precision in the tables.
    assert page.format_number(value) == text
