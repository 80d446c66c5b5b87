"""Documents with a few invalid entries, for property tests."""

import json5
from hypothesis import strategies as st

REPLACEMENTS = st.one_of(
    st.none(),
    st.booleans(),
    st.integers(),
    st.floats(),
    st.text(max_size=8),
    st.sampled_from(('127.1.1.1:9000', '300.1.1.1:1', '1.1.1.1:0', 'a\n')),
    st.lists(st.integers(), max_size=2),
    st.dictionaries(st.text(max_size=3), st.none(), max_size=2),
)


def list_entries(container):
    """Yield the container and key of each entry of a document."""
    items = (
        container.items()
        if isinstance(container, dict)
        else enumerate(container)
    )
    for key, entry in items:
        yield container, key
        if isinstance(entry, (dict, list)):
            yield from list_entries(entry)


@st.composite
def mutate(draw, text):
    """Draw a document in which up to three entries are replaced or renamed."""
    document = json5.loads(text)
    for _ in range(draw(st.integers(1, 3))):
        container, key = draw(st.sampled_from(list(list_entries(document))))
        container[key] = draw(REPLACEMENTS)
        if isinstance(container, dict) and draw(st.booleans()):
            container[f'{key}x'] = container.pop(key)
    return document
