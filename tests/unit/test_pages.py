"""Tests that the committed pages match the code."""

import re

import pytest

from release.pages import DOCS, PAGES


@pytest.mark.parametrize('name', PAGES)
def test_committed_page_is_up_to_date(name):
    page = (DOCS / name).read_text()
    assert page == PAGES[name](), 'run: python -m release.pages'


def test_links_between_pages_exist():
    for page in DOCS.glob('*.md'):
        for link in re.findall(r'\]\(([A-Za-z./-]+)\)', page.read_text()):
            assert (DOCS / link).exists(), f'{page.name}: {link}'
