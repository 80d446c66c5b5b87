"""Tests that pages made from the code are those that are committed."""

import re

import pytest

from release.pages import DOCS, PAGES


@pytest.mark.parametrize('name', PAGES)
def test_page_is_what_the_code_says(name):
    page = (DOCS / name).read_text()
    assert page == PAGES[name](), 'run: python -m release.pages'


def test_links_of_the_index_and_between_pages_exist():
    for page in DOCS.glob('*.md'):
        for link in re.findall(r'\]\(([A-Za-z./-]+)\)', page.read_text()):
            assert (DOCS / link).exists(), f'{page.name}: {link}'
