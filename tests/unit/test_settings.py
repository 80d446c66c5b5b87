"""Tests of the settings file."""

from tests.builders import make_settings_text
from toucanhall import settings

ENVIRONMENT = {'SECRET': 'fleet'}


def test_comments_are_allowed():
    text = f'// the first VM\n{make_settings_text()}'
    assert settings.read(text, ENVIRONMENT).unwrap().vm == 'north-a-1'


def test_all_errors_are_reported():
    text = make_settings_text(caller_port=0, zone=7, adress='127.0.0.1')
    findings = settings.read(text, ENVIRONMENT).failure()
    assert {finding.path for finding in findings} == {
        '$',
        '$.caller_port',
        '$.zone',
    }


def test_unknown_field_is_reported_with_a_similar_one():
    text = make_settings_text(bounds={'body_byte': 5})
    findings = settings.read(text, ENVIRONMENT).failure()
    assert findings == (
        settings.Finding(
            '$.bounds',
            "unknown field 'body_byte'",
            "did you mean 'body_bytes'?",
        ),
    )


def test_missing_secret_is_reported_with_its_variable():
    findings = settings.read(make_settings_text(), {}).failure()
    assert findings[0].path == '$.secret_variable'
    assert "'SECRET'" in findings[0].found


def test_duplicate_field_is_an_error():
    findings = settings.read('{"vm": "a", "vm": "b"}', ENVIRONMENT).failure()
    assert 'vm' in findings[0].found
