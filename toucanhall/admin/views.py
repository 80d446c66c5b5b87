"""Read-only handlers of the operators' API."""

from collections.abc import Callable, Mapping
from typing import Any
from urllib.parse import parse_qs

from toucanhall.admin.answers import STORE_UNREACHABLE, Reply, make_error_body
from toucanhall.admin.audit import Audit
from toucanhall.admin.calls import Call, get_base_revision
from toucanhall.catalogue import Holder

__all__ = ('Views',)


class Views:
    """Shows catalogue, history, status, keys and drains."""

    def __init__(
        self,
        *,
        holder: Holder,
        audit: Audit,
        read_status: Callable[[], Mapping[str, Any]],
    ) -> None:
        """Read the revision in force, the audit pages and the status."""
        self._holder = holder
        self._audit = audit
        self._read_status = read_status

    def show_catalogue(self, _call: Call) -> Reply:
        """Show the catalogue in force and its revision."""
        held = self._holder.current
        base = get_base_revision(held)
        change = base.entries[-1].id if base.entries else ''
        return 200, {
            'revision': base.number,
            'change': change,
            'catalogue': base.document if held else None,
        }

    def show_history(self, call: Call) -> Reply:
        """List accepted changes, or the one whose id is in the query."""
        base = get_base_revision(self._holder.current)
        copied = self._audit.read(base.number)
        known = {entry.id: entry for entry in (*(copied or ()), *base.entries)}
        wanted = parse_qs(call.request.query).get('change', [''])[0]
        if copied is None and wanted not in known:
            return 503, make_error_body(STORE_UNREACHABLE)
        entries = sorted(known.values(), key=lambda entry: entry.revision)
        return 200, {
            'revision': base.number,
            'changes': [
                entry._asdict() for entry in entries if wanted in {'', entry.id}
            ],
        }

    def show_status(self, _call: Call) -> Reply:
        """Show the status of this VM, and what each zone has confirmed."""
        status = self._read_status()
        held = self._holder.current
        confirmed = status.get('in_force', {})
        reported = status.get('zones', {})
        zones = held.catalogue.zones if held else ()
        return 200, {
            **status,
            'zones': {
                zone: {
                    **reported.get(zone, {}),
                    'in_force': confirmed.get(zone, 0),
                    'confirmed': confirmed.get(zone, 0) >= status['revision'],
                }
                for zone in sorted(zones)
            },
        }

    def list_keys(self, _call: Call) -> Reply:
        """List granted keys by name."""
        return self._show_section('keys')

    def list_drains(self, _call: Call) -> Reply:
        """List drained targets, VMs and zones."""
        return self._show_section('drains')

    def _show_section(self, section: str) -> Reply:
        base = get_base_revision(self._holder.current)
        return 200, {
            'revision': base.number,
            section: base.document.get(section, {}),
        }
