"""Tests of timers and of errors in threads."""

import threading

from toucanhall import runtime


def test_ticker_continues_after_an_error():
    calls = []
    stopping = threading.Event()

    def call():
        calls.append(len(calls))
        if len(calls) == 1:
            raise ValueError('unexpected error')
        stopping.set()

    ticker = runtime.start_ticker(0.01, call, stopping)
    ticker.join(5)
    assert calls == [0, 1]


def test_unexpected_error_is_logged_with_its_function(caplog):
    def read_missing():
        return {}['missing']

    runtime.call_and_log_errors(read_missing)
    (record,) = caplog.records
    assert record.event == 110
    assert 'read_missing' in record.fields['work']
    assert 'KeyError' in record.fields['why']
