"""Handlers of changes to the whole catalogue or to single entries."""

import time
from typing import Final

from returns.result import Success

from toucanhall.admin import edits
from toucanhall.admin.answers import Reply, make_error_body
from toucanhall.admin.calls import (
    Call,
    get_base_revision,
    get_change_id,
    get_expected_revision,
    parse_body,
)
from toucanhall.admin.writer import CONFLICT, Writer
from toucanhall.catalogue import Holder

__all__ = ('Changes',)

_MAX_EDIT_ATTEMPTS: Final = 5
_EDIT_INTERVAL_SECONDS: Final = 0.2


class Changes:
    """Handles changes to the whole catalogue or to single entries."""

    def __init__(self, *, holder: Holder, writer: Writer) -> None:
        """Base changes on the holder's revision; submit them to the writer."""
        self._holder = holder
        self._writer = writer

    def replace(self, call: Call) -> Reply:
        """Replace the catalogue if If-Match names its revision."""
        expected = get_expected_revision(call.request)
        if expected is None:
            return 428, make_error_body(
                'If-Match needs the revision to replace'
            )
        parsed = parse_body(call.request.body)
        if not isinstance(parsed, Success):
            return parsed.failure()
        self._writer.wait_for_revision(expected)
        base = get_base_revision(self._holder.current)
        document = parsed.unwrap()
        change = get_change_id(call.request)
        return self._writer.submit(call, base, document, change)

    def grant(self, call: Call) -> Reply:
        """Grant a key."""
        parsed = parse_body(call.request.body)
        if not isinstance(parsed, Success):
            return parsed.failure()
        key = parsed.unwrap()
        return self._edit(call, edits.make_grant(call.names[0], key))

    def withdraw(self, call: Call) -> Reply:
        """Withdraw a key."""
        return self._edit(call, edits.make_withdraw(call.names[0]))

    def drain(self, call: Call) -> Reply:
        """Start a drain."""
        return self._edit(call, edits.make_drain(*call.names))

    def undrain(self, call: Call) -> Reply:
        """End a drain."""
        return self._edit(call, edits.make_undrain(*call.names))

    def _edit(self, call: Call, edit: edits.Edit) -> Reply:
        """Edit the document; on a conflict retry on the newer revision."""
        max_attempts = (
            _MAX_EDIT_ATTEMPTS
            if get_expected_revision(call.request) is None
            else 1
        )
        # The same id in all attempts: one that was accepted is found by it.
        change = get_change_id(call.request)
        reply: Reply = (CONFLICT, {})
        for _ in range(max_attempts):
            base = get_base_revision(self._holder.current)
            reply = self._writer.submit(
                call,
                base,
                edit(base.document),
                change,
            )
            if reply[0] != CONFLICT:
                return reply
            time.sleep(_EDIT_INTERVAL_SECONDS)
        return reply
