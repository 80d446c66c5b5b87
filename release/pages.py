"""Writes the pages that are made from the code; tests hold them equal."""

import argparse
import io
from argparse import ArgumentParser
from collections.abc import Callable, Iterator, Mapping
from contextlib import redirect_stdout
from pathlib import Path
from typing import Any, Final

import msgspec

from toucanhall import __version__
from toucanhall.admin.routes import PREFIX, ROUTES, Route
from toucanhall.catalogue.schema import SCHEMA as CATALOGUE_SCHEMA
from toucanhall.cmdline import make_parser
from toucanhall.commands import COMMANDS
from toucanhall.documents import Document
from toucanhall.formats import FORMATS
from toucanhall.settingsschema import SCHEMA as SETTINGS_SCHEMA

__all__ = ('PAGES', 'render_openapi')

DOCS: Final = Path(__file__).parent.parent / 'docs'
_OPENAPI: Final = '3.1.0'
_SETTINGS_HEAD: Final = """# Settings of an entry VM

A file of JSON with comments, read once at the start; `examples/vm.jsonc` is a
commented example. `toucanhall check-settings FILE` tells every error at once:
where it is, what was found and what is allowed. Values after a semicolon are
the defaults. Secrets stand in the environment, never in the file.
"""
_CATALOGUE_HEAD: Final = """# Catalogue

A file of JSON with comments; `examples/lumina.jsonc` and
`examples/qureshi.jsonc` are commented examples. `toucanhall catalogue check
FILE` tells every error at once, `catalogue diff FILE` what applying it would
change. Values after a semicolon are the defaults. `NAME` stands for the name
of an entry, `[]` for each entry of a list.
"""
_COMMANDS_HEAD: Final = """# Commands

Results go to standard output, errors to standard error. `--json` prints what a
script reads; tables may change between versions.
"""


def render_commands() -> str:
    """Return the page of the command line."""
    parts = [_COMMANDS_HEAD, _quote_help(make_parser())]
    for command in COMMANDS:
        name = ' '.join(command.words)
        parts.append(f'\n## toucanhall {name}\n')
        parts.append(_quote_help(_find_parser(command.words)))
    return '\n'.join(parts)


def render_settings() -> str:
    """Return the page of the settings."""
    return f'{_SETTINGS_HEAD}\n{_render_fields(SETTINGS_SCHEMA)}'


def render_catalogue() -> str:
    """Return the page of the catalogue."""
    return f'{_CATALOGUE_HEAD}\n{_render_fields(CATALOGUE_SCHEMA)}'


def render_openapi() -> str:
    """Return the OpenAPI description of the operators' API."""
    paths: dict[str, Any] = {}
    for route in ROUTES:
        operations = paths.setdefault(f'{PREFIX}{route.path}', {})
        operations[route.method.lower()] = _describe_route(route)
    page = {
        'openapi': _OPENAPI,
        'info': {'title': 'toucanhall operators', 'version': __version__},
        'security': [{'token': []}],
        'paths': paths,
        'components': {
            'securitySchemes': {'token': {'type': 'http', 'scheme': 'bearer'}},
            'schemas': {
                'Catalogue': CATALOGUE_SCHEMA,
                'Key': CATALOGUE_SCHEMA['properties']['keys'][
                    'additionalProperties'
                ],
                'Problem': _PROBLEM,
            },
        },
    }
    return f'{msgspec.json.format(msgspec.json.encode(page)).decode()}\n'


_PROBLEM: Final = {
    'type': 'object',
    'required': ['type', 'title', 'status', 'detail'],
    'properties': {
        'type': {'type': 'string'},
        'title': {'type': 'string'},
        'status': {'type': 'integer'},
        'detail': {'type': 'string'},
        'errors': {'type': 'array', 'items': {'type': 'string'}},
        'violations': {'type': 'array', 'items': {'type': 'string'}},
        'expected': {'type': ['integer', 'null']},
        'current': {'type': 'integer'},
        'outcome': {'enum': ['not changed', 'unknown']},
        'change': {'type': 'string'},
    },
}


def _describe_route(route: Route) -> dict[str, Any]:
    described: dict[str, Any] = {
        'summary': route.summary,
        'description': f'Roles: {", ".join(route.roles)}.',
        'parameters': [
            _describe_parameter(part.strip('{}'), 'path')
            for part in route.path.split('/')
            if part.startswith('{')
        ],
        'responses': {
            str(status): _describe_response(status) for status in route.statuses
        },
    }
    if route.method != 'GET':
        described['parameters'] += [
            _describe_parameter('If-Match', 'header'),
            _describe_parameter('Toucanhall-Change', 'header'),
        ]
    if route.path == 'history':
        described['parameters'].append(_describe_parameter('change', 'query'))
    if route.body:
        schema = {'$ref': f'#/components/schemas/{route.body}'}
        described['requestBody'] = {
            'required': True,
            'content': {'application/json': {'schema': schema}},
        }
    return described


def _describe_parameter(name: str, place: str) -> dict[str, Any]:
    return {
        'name': name,
        'in': place,
        'required': place == 'path',
        'schema': {'type': 'string'},
    }


def _describe_response(status: int) -> dict[str, Any]:
    if status == 200:
        return {
            'description': 'done',
            'content': {'application/json': {'schema': {'type': 'object'}}},
        }
    problem = {'$ref': '#/components/schemas/Problem'}
    return {
        'description': 'refused',
        'content': {'application/problem+json': {'schema': problem}},
    }


def _find_parser(words: tuple[str, ...]) -> ArgumentParser:
    parser = make_parser()
    for word in words:
        choices = [
            action.choices
            for action in parser._actions
            if isinstance(action, argparse._SubParsersAction)
        ]
        parser = choices[0][word]
    return parser


def _quote_help(parser: ArgumentParser) -> str:
    written = io.StringIO()
    with redirect_stdout(written):
        parser.print_help()
    return f'```\n{written.getvalue().rstrip()}\n```\n'


def _render_fields(schema: Document) -> str:
    rows = ['| field | needed | allowed | meaning |', '|---|---|---|---|']
    rows.extend(
        f'| `{path}` | {"yes" if needed else "no"} '
        f'| {_tell_allowed(field)} | {field["description"]} |'
        for path, needed, field in _list_fields(schema, '')
    )
    return '\n'.join((*rows, ''))


def _list_fields(
    schema: Document,
    path: str,
) -> Iterator[tuple[str, bool, Document]]:
    for name, field in schema.get('properties', {}).items():
        place = f'{path}{name}'
        yield place, name in schema['required'], field
        yield from _list_fields(field, f'{place}.')
    for word, joined in _NESTED.items():
        entry = schema.get(word)
        if isinstance(entry, Mapping):
            yield from _list_fields(entry, joined(path))


def _tell_allowed(field: Document) -> str:
    choices = field.get('enum')
    if choices:
        return ', '.join(f'`{choice}`' for choice in choices)
    form = FORMATS.get(field.get('format', ''))
    if form:
        return form.allowed
    each = FORMATS.get(field.get('items', {}).get('format', ''))
    if each:
        return f'list; each {each.allowed}'
    limits = [
        f'{sign} {field[name]}'
        for name, sign in _LIMITS.items()
        if name in field
    ]
    return ' '.join([field['type'], *limits])


_NESTED: Final[Mapping[str, Callable[[str], str]]] = {
    'additionalProperties': lambda path: f'{path}NAME.',
    'items': lambda path: f'{path[:-1]}[].',
}
_LIMITS: Final = {
    'minimum': 'from',
    'exclusiveMinimum': 'above',
    'maximum': 'to',
    'maxLength': 'of at most',
}

PAGES: Final[Mapping[str, Callable[[], str]]] = {
    'COMMANDS.md': render_commands,
    'SETTINGS.md': render_settings,
    'CATALOGUE.md': render_catalogue,
    'openapi.json': render_openapi,
}


def main() -> None:
    """Write every page."""
    for name, render in PAGES.items():
        (DOCS / name).write_text(render())


if __name__ == '__main__':
    main()
