"""Callers that follow the advice of entry VMs and retry refused calls."""

import itertools
import time
import uuid
from collections.abc import Callable
from typing import Final, NamedTuple

import urllib3

__all__ = ('ATTEMPT_HEADER', 'MAY_HAVE_RUN', 'Attempt', 'Call', 'Caller')

ATTEMPT_HEADER: Final = 'X-Attempt'
MAY_HAVE_RUN: Final = 'refused for good, may have run'

_CALL_TIMEOUT_SECONDS: Final = 5.0
_ADVICE_TIMEOUT_SECONDS: Final = 1.0
_UNANSWERED_PAUSE_SECONDS: Final = 0.05
_OK_STATUS: Final = 200


class Call(NamedTuple):
    """One call; its unique path shows whether an answer belongs to it."""

    kind: str
    method: str
    path: str
    key: str


class Attempt(NamedTuple):
    """One request of a call to an entry VM, with monotonic times."""

    call: Call
    attempt_id: str
    url: str
    started_at: float
    ended_at: float
    result: str
    ran: str
    retry_after: float


class Caller:
    """One caller, which caches the entry VMs that it was advised to use."""

    def __init__(
        self,
        *,
        urls: tuple[str, ...],
        record: Callable[[Attempt], None],
        patience: float,
        follows_advice: bool = True,
    ) -> None:
        """Use the entry VMs at `urls`, and retry for up to `patience` seconds.

        A caller that does not follow advice sends calls to `urls` in turn and
        never retries.
        """
        self._follows_advice = follows_advice
        self._url_rotation = itertools.cycle(urls)
        self._urls = urls
        self._record = record
        self._max_call_seconds = patience
        self._advised_urls: list[str] = []
        self._advice_expires_at = 0.0
        self._http = urllib3.PoolManager(retries=False)

    def make(self, kind: str, method: str, path: str, key: str) -> str:
        """Make one call, with retries, and return its result."""
        call = Call(kind, method, f'{path}?n={uuid.uuid4().hex}', key)
        deadline = time.monotonic() + self._max_call_seconds
        while True:
            attempt = self._attempt_call(call)
            self._record(attempt)
            pause = _choose_pause(attempt) if self._follows_advice else 0
            if pause <= 0 or time.monotonic() + pause > deadline:
                return _get_result(attempt)
            time.sleep(pause)

    def _attempt_call(self, call: Call) -> Attempt:
        url = self._choose_url(call.key)
        attempt_id = uuid.uuid4().hex
        headers = {ATTEMPT_HEADER: attempt_id}
        if call.key:
            headers['X-Api-Key'] = call.key
        if call.method == 'POST':
            headers['Idempotency-Key'] = call.path
        started_at = time.monotonic()
        result, ran, retry_after = self._send(call, url, headers)
        if result == 'unanswered':
            self._advised_urls = [vm for vm in self._advised_urls if vm != url]
        return Attempt(
            call,
            attempt_id,
            url,
            started_at,
            time.monotonic(),
            result,
            ran,
            retry_after,
        )

    def _send(
        self,
        call: Call,
        url: str,
        headers: dict[str, str],
    ) -> tuple[str, str, float]:
        try:
            response = self._http.request(
                call.method,
                f'{url}{call.path}',
                body=call.path.encode() if call.method == 'POST' else None,
                headers=headers,
                timeout=_CALL_TIMEOUT_SECONDS,
            )
        except urllib3.exceptions.HTTPError:
            return 'unanswered', 'maybe', _UNANSWERED_PAUSE_SECONDS
        if response.status == _OK_STATUS:
            echoed = response.json()
            is_matching = (echoed['method'], echoed['path']) == (
                call.method,
                call.path,
            )
            return 'answered' if is_matching else 'wrong', 'yes', 0
        return (
            f'refused: {response.json().get("reason", response.status)}',
            response.headers.get('Toucanhall-Ran', 'none'),
            float(response.headers.get('Retry-After', 0)),
        )

    def _choose_url(self, key: str) -> str:
        if not self._follows_advice:
            return next(self._url_rotation)
        if not self._advised_urls or time.monotonic() > self._advice_expires_at:
            self._fetch_advice(key)
        return self._advised_urls[0] if self._advised_urls else self._urls[0]

    def _fetch_advice(self, key: str) -> None:
        for url in self._urls:
            try:
                response = self._http.request(
                    'GET',
                    f'{url}/.toucanhall/entry-vms',
                    headers={'X-Api-Key': key},
                    timeout=_ADVICE_TIMEOUT_SECONDS,
                )
            except urllib3.exceptions.HTTPError:
                continue
            if response.status == _OK_STATUS:
                advice = response.json()
                self._advised_urls = [vm[2] for vm in advice['vms']]
                self._advice_expires_at = (
                    time.monotonic() + advice['hold_seconds']
                )
                return


def _choose_pause(attempt: Attempt) -> float:
    if attempt.result in {'answered', 'wrong'}:
        return 0
    return attempt.retry_after


def _get_result(attempt: Attempt) -> str:
    is_final = attempt.result.startswith('refused') and not attempt.retry_after
    if is_final and attempt.ran == 'maybe':
        return MAY_HAVE_RUN
    return attempt.result
