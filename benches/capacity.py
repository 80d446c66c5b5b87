"""Memory and processor time of control on one entry VM, by fleet size.

Each part calls the functions of the product at four sizes. Times are medians
of the processor time of several rounds; memory is measured by `tracemalloc`.
"""

import argparse
import json
import statistics
import time
import tracemalloc
from collections.abc import Callable, Sequence
from functools import partial
from typing import Any, Final, TypeAlias, cast

import msgspec

from benches.catalogue import change_key, make_document
from benches.membership import make_vm_list
from toucanhall.admin.audit import AuditEntry
from toucanhall.catalogue import Catalogue, Revision
from toucanhall.catalogue.differences import compare
from toucanhall.catalogue.reading import read, revise, revise_after
from toucanhall.membership.contacts import select_contacts
from toucanhall.membership.view import View, merge_list
from toucanhall.objectstore import Listed
from toucanhall.shares import Holding, Ledger
from toucanhall.shares.claimer import Claimer, Place
from toucanhall.shares.messages import Acknowledgement, Probe
from toucanhall.shares.slots import Table
from toucanhall.spread.messages import RevisionAnswer, RevisionQuery
from toucanhall.spread.patches import apply_delta, canonicalise, find_delta
from toucanhall.spread.record import encode
from toucanhall.steering import (
    AdvisedVm,
    EntryVm,
    OwnedSlots,
    Steerer,
    advise,
    size_links,
    size_services,
)
from toucanhall.transport import Envelope, seal, unseal

Row: TypeAlias = dict[str, float]

_TARGET_COUNTS: Final = (400, 800, 1600, 3100)
_VM_COUNTS: Final = (8, 16, 32, 62)
_AUDIT_ENTRY_COUNTS: Final = (10, 25, 50, 100)
_ZONE_COUNT: Final = 72
_ROUND_COUNT: Final = 5
_MAX_PENDING_REVISIONS: Final = 6  # that some zone may still apply
_SECRET: Final = b'bench'
_VM_START_ID: Final = 'start-of-24-hex-digits--'
_ZONE: Final = 'zone-0'
_CHANGE_ID: Final = 'change-of-24-hex-digits-'
_US_PER_SECOND: Final = 1_000_000


def main(arguments: Sequence[str]) -> int:
    """Print a line of JSON per part and size, and the slopes of each part."""
    parser = argparse.ArgumentParser(prog='bench capacity')
    parser.add_argument('--part', choices=sorted(_PARTS))
    options = parser.parse_args(arguments)
    for name, (sizes, measure) in _PARTS.items():
        if options.part in {None, name}:
            print_part(name, sizes, measure)
    return 0


def print_part(
    name: str,
    sizes: Sequence[int],
    measure: Callable[[int], Row],
) -> None:
    """Measure one part at its sizes and print the increase per unit."""
    rows = [measure(size) for size in sizes]
    for size, row in zip(sizes, rows):
        print(json.dumps({'part': name, 'size': size, **row}), flush=True)
    slopes = {
        column: round(
            statistics.linear_regression(
                sizes, [row[column] for row in rows],
            ).slope,
            3,
        )
        for column in rows[0]
    }  # fmt: skip
    print(json.dumps({'part': name, 'slope_per_unit': slopes}), flush=True)


def measure_us(call: Callable[[], object], repeats: int = 1) -> float:
    """Return the median processor time of a call, in microseconds."""
    seconds = []
    for _ in range(_ROUND_COUNT):
        started_at = time.process_time()
        for _ in range(repeats):
            call()
        seconds.append((time.process_time() - started_at) / repeats)
    return round(statistics.median(seconds) * _US_PER_SECOND, 1)


def measure_bytes(make: Callable[[], object]) -> int:
    """Return the memory held by the result of a call."""
    tracemalloc.start()
    held = make()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del held
    return size


def measure_spread(targets: int) -> Row:
    """Measure the delta of one key and the stored object of a revision."""
    base = make_revision(1, make_document(targets))
    changed = make_revision(2, change_key(make_document(targets)))
    delta = find_delta(base, changed)
    if delta is None:
        raise ValueError('no delta found between two canonical catalogues')
    return {
        'delta_bytes': len(seal(_SECRET, 'vm', _VM_START_ID, delta)),
        'object_bytes': len(encode(2, _CHANGE_ID, changed.document)),
        'find_us': measure_us(partial(find_delta, base, changed)),
        'apply_us': measure_us(partial(apply_delta, base, delta)),
        'revise_us': measure_us(
            partial(revise_after, base, 2, _CHANGE_ID, changed.document),
        ),
    }


def measure_admin(targets: int) -> Row:
    """Measure checking and comparing one edit of the operators' API."""
    current = make_document(targets)
    changed = change_key(current)
    return {
        'check_us': measure_us(partial(read, changed, current)),
        'compare_us': measure_us(partial(compare, current, changed)),
    }


def measure_audit(entries: int) -> Row:
    """Measure the size of a page of the audit history."""
    page = [
        AuditEntry(
            f'{_CHANGE_ID}{number}', 'operator', '2027-01-01T00:00:00Z', number,
            (f'keys.key-{number}: added',),
        )
        for number in range(entries)
    ]  # fmt: skip
    return {'page_bytes': len(msgspec.json.encode(page))}


def measure_steering(targets: int) -> Row:
    """Measure the memory of the steerer of a VM, and resizing it."""
    catalogue = make_catalogue(targets)
    entry_vms = make_entry_vms(_VM_COUNTS[-1])
    steerer = Steerer()
    resize_steerer(steerer, catalogue, entry_vms)
    return {
        'held_bytes': measure_bytes(
            partial(resize_steerer, Steerer(), catalogue, entry_vms),
        ),
        'resize_us': measure_us(
            partial(resize_steerer, steerer, catalogue, entry_vms),
        ),
    }


def resize_steerer(
    steerer: Steerer,
    catalogue: Catalogue,
    entry_vms: tuple[EntryVm, ...],
) -> Steerer:
    """Resize a steerer as an entry VM does."""
    owned = OwnedSlots(_ZONE, frozenset((0,)))
    steerer.resize(
        size_services(catalogue, owned, entry_vms, 0),
        size_links(catalogue, owned),
    )
    return steerer


def measure_shares(targets: int) -> Row:
    """Measure handling an acknowledgement, with one team per ten targets."""
    catalogue = make_catalogue(targets)
    envelope = Envelope('Acknowledgement', 'vm-1', _VM_START_ID, msgspec.Raw())
    answer = Acknowledgement(_VM_START_ID, 0, 0, 0, 1, None)
    row: Row = {'teams': len(catalogue.teams)}
    for pending in (1, _MAX_PENDING_REVISIONS):
        claimer = make_claimer(catalogue, pending)
        row[f'answer_us_at_{pending}'] = measure_us(
            partial(claimer.hear, envelope, answer),
        )
    row['held_bytes'] = measure_bytes(partial(make_claimer, catalogue, 1))
    return row


def make_claimer(catalogue: Catalogue, pending: int) -> Claimer:
    """Return a claimer with a number of pending revisions."""
    claimer = Claimer(
        place=Place(_ZONE, Holding('vm', _VM_START_ID)),
        platform=cast(Any, None),
        ledger=Ledger(),
        send=lambda _address, _message: None,
    )
    for number in range(1, pending + 1):
        claimer.take_revision(Revision(number, _CHANGE_ID, b'', catalogue))
    return claimer


def measure_zone(vms: int) -> Row:
    """Measure the fence messages, the view and the advice of one zone."""
    probe = seal(_SECRET, 'zone-00-00', _VM_START_ID, Probe(1000.5, 9, None))
    answer = seal(
        _SECRET, 'zone-00-00', _VM_START_ID,
        Acknowledgement(_VM_START_ID, 1000.5, 9, 9, 50000, None),
    )  # fmt: skip
    listed = make_vm_list([f'zone-00-{number:02}' for number in range(vms)])
    advised = tuple(
        AdvisedVm(entry.vm, 'zone-0', 'http://127.0.0.1:8000')
        for entry in listed
    )
    catalogue = make_catalogue(_TARGET_COUNTS[0])
    return {
        'fence_messages_s': 2 * (vms - 1),
        'fence_payload_bytes_s': (vms - 1) * (len(probe) + len(answer)),
        'fence_codec_us_s': 2 * (vms - 1) * measure_us(
            lambda: unseal(_SECRET, seal(
                _SECRET, 'zone-00-00', _VM_START_ID, Probe(1000.5, 9, None),
            )),
            repeats=200,
        ),
        'view_bytes': measure_bytes(
            partial(merge_list, View({}, {}), listed, '', 0),
        ),
        'table_bytes': len(msgspec.json.encode(make_table(vms))),
        'advise_us': measure_us(
            partial(advise, catalogue, 'team-1', 'zone-0', advised),
            repeats=10,
        ),
    }  # fmt: skip


def make_table(vms: int) -> Table:
    """Return the slot table of a zone with one slot for each VM."""
    holdings = [
        Holding(f'zone-00-{number:02}', _VM_START_ID) for number in range(vms)
    ]
    return Table(dict(enumerate(holdings)), 9, tuple(holdings))


def measure_fleet(vms: int) -> Row:
    """Measure a view of all VMs of a fleet with 72 zones."""
    listed = tuple(
        Listed(
            f'vm-{number}',
            f'zone-{number % _ZONE_COUNT:02}',
            f'127.9.{number // 250}.{number % 250}',
            leaving=False,
        )
        for number in range(vms)
    )
    view = merge_list(View({}, {}), listed, '', 0)
    entry_vms = tuple(
        EntryVm(
            entry.vm, f'zone-{number % _ZONE_COUNT}', f'{entry.address}:8000'
        )
        for number, entry in enumerate(listed)
    )
    advised = tuple(
        AdvisedVm(entry_vm.vm, entry_vm.zone, f'http://{entry_vm.address}')
        for entry_vm in entry_vms
    )
    catalogue = make_catalogue(_TARGET_COUNTS[-1])
    steerer = resize_steerer(Steerer(), catalogue, entry_vms)
    return {
        'view_bytes': measure_bytes(
            partial(merge_list, View({}, {}), listed, '', 0),
        ),
        'list_bytes': len(msgspec.json.encode(listed)),
        'merge_us': measure_us(partial(merge_list, view, listed, '', 0)),
        'select_us': measure_us(
            partial(select_contacts, view, 'vm-0', 'zone-00', 1, 0),
        ),
        'steerer_bytes': measure_bytes(
            partial(resize_steerer, Steerer(), catalogue, entry_vms),
        ),
        'resize_us': measure_us(
            partial(resize_steerer, steerer, catalogue, entry_vms),
        ),
        'advise_us': measure_us(
            partial(advise, catalogue, 'team-1', _ZONE, advised),
        ),
    }


def measure_compare(contacts: int) -> Row:
    """Measure comparing revisions with some contacts each second."""
    query = RevisionQuery(1 << 62, '127.9.0.1', 50000, _CHANGE_ID)
    answer = RevisionAnswer(1 << 62, 50000, _CHANGE_ID, 1.5)
    sizes = [
        len(seal(_SECRET, 'zone-00-00', _VM_START_ID, message))
        for message in (query, answer)
    ]
    return {
        'messages_s': 2 * contacts,
        'payload_bytes_s': contacts * sum(sizes),
    }


def make_revision(number: int, document: dict[str, Any]) -> Revision:
    """Return a revision with a canonical document."""
    content = canonicalise(msgspec.json.encode(document))
    return revise(number, _CHANGE_ID, content).unwrap()


def make_catalogue(targets: int) -> Catalogue:
    """Return a catalogue with a number of targets."""
    return make_revision(1, make_document(targets)).catalogue


def make_entry_vms(vms: int) -> tuple[EntryVm, ...]:
    """Return the VMs of the local zone and two of each other zone."""
    local_vms = [
        EntryVm(f'vm-{number}', _ZONE, '127.0.0.1:8000')
        for number in range(vms)
    ]
    remote_vms = [
        EntryVm(f'far-{number}', f'zone-{number % 71 + 1}', '127.0.0.1:8000')
        for number in range(142)
    ]
    return (*local_vms, *remote_vms)


_PARTS: Final[dict[str, tuple[Sequence[int], Callable[[int], Row]]]] = {
    'spread': (_TARGET_COUNTS, measure_spread),
    'compare': ((1, 2, 4, 8), measure_compare),
    'admin': (_TARGET_COUNTS, measure_admin),
    'audit': (_AUDIT_ENTRY_COUNTS, measure_audit),
    'steering': (_TARGET_COUNTS, measure_steering),
    'shares': (_TARGET_COUNTS, measure_shares),
    'zone': (_VM_COUNTS, measure_zone),
    'fleet': ((562, 1125, 2250, 4500), measure_fleet),
}
