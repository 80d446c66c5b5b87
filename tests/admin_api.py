"""The operators' API of one VM over a store in memory."""

import json

import msgspec

from tests.builders import make_document, make_request
from tests.stores import MemoryStore
from toucanhall.admin import Admin
from toucanhall.admin.routes import PREFIX
from toucanhall.catalogue import Holder
from toucanhall.counters import Counters
from toucanhall.forwarding.credentials import digest_key
from toucanhall.settings import Operator
from toucanhall.settingsschema import ROLES
from toucanhall.spread import Accepting
from toucanhall.spread.actor import read_held

OWNED = {'teams': frozenset(('hostels',)), 'routes': frozenset(('/bookings',))}


class AdminApi:
    """The API of one VM, its store, and who calls it."""

    def __init__(self, store=None):
        self.store = store or MemoryStore()
        self.counters = Counters(host='', port=0)
        holder = Holder()
        self.admin = Admin(
            operators=tuple(
                Operator(role, digest_key(role), role, **OWNED)
                for role in ROLES
            ),
            holder=holder,
            platform=self.store,
            counters=self.counters,
            accepting=Accepting(
                platform=self.store,
                holder=holder,
                read_known=lambda: read_held(holder),
                wait_settled=lambda: True,
            ),
            read_status=lambda: {'revision': 1, 'in_force': {'north-a': 1}},
        )

    def call(self, method, name, body=None, token='administer', **headers):
        """Return the status and the body of an answer."""
        path, _, query = name.partition('?')
        answer = self.admin.serve(
            make_request(
                method=method,
                path=f'{PREFIX}{path}',
                query=query,
                headers=(
                    ('Authorization', f'Bearer {token}'),
                    *((key.replace('_', '-'), headers[key]) for key in headers),
                ),
                body=b'' if body is None else msgspec.json.encode(body),
            ),
        )
        return answer.status, json.loads(b''.join(answer.body))

    def apply(self, revision=0, token='administer', **changes):
        """Replace the catalogue."""
        return self.call(
            'PUT',
            'catalogue',
            make_document(**changes),
            token,
            If_Match=f'"{revision}"',
        )
