"""Tests of revisions that are sent as merge patches."""

import msgspec
from hypothesis import given
from hypothesis import strategies as st

from tests.builders import make_document, make_revision
from toucanhall.catalogue import Catalogue, Revision
from toucanhall.spread.patches import (
    apply_delta,
    canonicalise,
    find_delta,
    make_delta,
)

NAMES = st.sampled_from(('one', 'two', 'three'))
DOCUMENTS = st.dictionaries(
    NAMES,
    st.recursive(
        st.integers() | st.text(max_size=3) | st.lists(st.integers()),
        lambda inner: st.dictionaries(NAMES, inner),
        max_leaves=6,
    ),
)


def make_plain(number, document) -> Revision:
    """Return a revision of any document, without a catalogue."""
    content = canonicalise(msgspec.json.encode(document))
    catalogue: Catalogue = make_revision().catalogue
    return Revision(number, f'change-{number}', content, catalogue)


@given(DOCUMENTS, DOCUMENTS)
def test_delta_turns_any_document_into_any_other(base, wanted):
    first, second = make_plain(1, base), make_plain(2, wanted)
    applied = apply_delta(first, make_delta(first, second))
    assert applied.unwrap() == second.document


def test_delta_of_a_withdrawn_key_is_small():
    first = make_plain(1, make_document())
    second = make_plain(2, make_document(keys={}))
    delta = make_delta(first, second)
    assert delta.patch == b'{"keys":{"hostels-key":null}}'


def test_delta_with_another_base_or_digest_is_not_applied():
    first = make_plain(1, {'one': 1})
    second = make_plain(2, {'one': 2})
    delta = make_delta(first, second)
    other = first._replace(change='other')
    assert 'base' in apply_delta(other, delta).failure()
    invalid = delta._replace(patch=b'{"one":3}')
    assert 'digest' in apply_delta(first, invalid).failure()


def test_document_not_in_canonical_form_has_no_delta():
    first = make_plain(1, {'one': 1})
    second = make_plain(2, {})._replace(document=b'{"two": 1, "one": 1}')
    assert find_delta(first, second) is None
    assert find_delta(None, first) is None
