"""Builders of configuration files, their checks and their differences."""

import json

from standins.site.documents import HOST, make_configuration, make_rule
from toucanhall.configuration_check.checking import check_text, compare_texts
from toucanhall.configuration_check.findings import format_path

__all__ = ('check', 'compare', 'make_service', 'make_sound', 'make_team')

SERVICE = 'guide'


def make_service(name=SERVICE, **fields):
    """Return a service whose targets have no cold time."""
    return {'name': name, **fields}


def make_team(name='guides', **fields):
    """Return a team with one key and a limit."""
    return {
        'name': name,
        'api_keys': [f'{name}-key'],
        'rate_per_s': 100,
        'burst': 20,
        **fields,
    }


def make_sound(*rules, version=1, hosts=None, **fields):
    """Return a document without findings, but for what the caller puts in."""
    document = make_configuration(version, rules=rules or (make_rule('/a/'),))
    document['services'] = [make_service()]
    document['tenants'] = [make_team()]
    if hosts is not None:
        document['virtual_hosts'] = hosts
    return {**document, **fields}


def make_host(*rules, host=HOST):
    """Return a host with its rules."""
    return {'host': host, 'path_rules': list(rules)}


def encode(document):
    """Return the text of a file, one value a line."""
    return document if isinstance(document, str) else json.dumps(document)


def check(document):
    """Return the severity, reason and field of each finding."""
    return [
        (finding.severity.value, finding.reason, format_path(finding.path))
        for _line, finding in check_text(encode(document)).findings
    ]


def compare(current, changed):
    """Return the group and text of each difference."""
    report = compare_texts(
        check_text(encode(changed)), check_text(encode(current))
    )
    return [tuple(difference) for difference in report.differences]
