"""Generates the reference pages from the code; a test compares them."""

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
_OPENAPI_VERSION: Final = '3.1.0'
_SETTINGS_INTRODUCTION: Final = """# Settings of an entry VM

A file of JSON with comments, read once at the start; `examples/vm.jsonc` is a
commented example. `toucanhall check-settings FILE` tells every error at once:
where it is, what was found and what is allowed. Values after a semicolon are
the defaults. Secrets stand in the environment, never in the file.
"""
_CATALOGUE_INTRODUCTION: Final = """# Catalogue

A file of JSON with comments; `examples/lumina.jsonc` and
`examples/qureshi.jsonc` are commented examples. `toucanhall catalogue check
FILE` tells every error at once, `catalogue diff FILE` what applying it would
change. Values after a semicolon are the defaults. `NAME` stands for the name
of an entry, `[]` for each entry of a list.
"""
_COMMANDS_INTRODUCTION: Final = """# Commands

Results go to standard output, errors to standard error. `--json` prints what a
script reads; tables may change between versions. [CHECK.md](CHECK.md) is on
`toucanhall check`, with its output and exit codes.
"""


def render_commands() -> str:
    """Return the reference page of the command line."""
    parts = [_COMMANDS_INTRODUCTION, _quote_help(make_parser())]
    for command in COMMANDS:
        name = ' '.join(command.words)
        parts.append(f'\n## toucanhall {name}\n')
        parts.append(_quote_help(_find_parser(command.words)))
    return '\n'.join(parts)


def render_settings() -> str:
    """Return the reference page of the settings."""
    return f'{_SETTINGS_INTRODUCTION}\n{_render_fields(SETTINGS_SCHEMA)}'


def render_catalogue() -> str:
    """Return the reference page of the catalogue."""
    return f'{_CATALOGUE_INTRODUCTION}\n{_render_fields(CATALOGUE_SCHEMA)}'


def render_openapi() -> str:
    """Return the OpenAPI description of the operators' API as JSON."""
    paths: dict[str, Any] = {}
    for route in ROUTES:
        operations = paths.setdefault(f'{PREFIX}{route.path}', {})
        operations[route.method.lower()] = _describe_route(route)
    page = {
        'openapi': _OPENAPI_VERSION,
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
                'Problem': _PROBLEM_SCHEMA,
            },
        },
    }
    return f'{msgspec.json.format(msgspec.json.encode(page)).decode()}\n'


_PROBLEM_SCHEMA: Final = {
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
    operation: dict[str, Any] = {
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
        operation['parameters'] += [
            _describe_parameter('If-Match', 'header'),
            _describe_parameter('Toucanhall-Change', 'header'),
        ]
    if route.path == 'history':
        operation['parameters'].append(_describe_parameter('change', 'query'))
    if route.body:
        schema = {'$ref': f'#/components/schemas/{route.body}'}
        operation['requestBody'] = {
            'required': True,
            'content': {'application/json': {'schema': schema}},
        }
    return operation


def _describe_parameter(name: str, location: str) -> dict[str, Any]:
    return {
        'name': name,
        'in': location,
        'required': location == 'path',
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
    output = io.StringIO()
    with redirect_stdout(output):
        parser.print_help()
    return f'```\n{output.getvalue().rstrip()}\n```\n'


def _render_fields(schema: Document) -> str:
    rows = ['| field | needed | allowed | meaning |', '|---|---|---|---|']
    rows.extend(
        f'| `{path}` | {"yes" if is_required else "no"} '
        f'| {_describe_allowed(field)} | {field["description"]} |'
        for path, is_required, field in _list_fields(schema, '')
    )
    return '\n'.join((*rows, ''))


def _list_fields(
    schema: Document,
    path: str,
) -> Iterator[tuple[str, bool, Document]]:
    for name, field in schema.get('properties', {}).items():
        location = f'{path}{name}'
        yield location, name in schema['required'], field
        yield from _list_fields(field, f'{location}.')
    for word, extend_path in _NESTED_PATHS.items():
        entry = schema.get(word)
        if isinstance(entry, Mapping):
            yield from _list_fields(entry, extend_path(path))


def _describe_allowed(field: Document) -> str:
    choices = field.get('enum')
    if choices:
        return ', '.join(f'`{choice}`' for choice in choices)
    field_format = FORMATS.get(field.get('format', ''))
    if field_format:
        return field_format.allowed
    item_format = FORMATS.get(field.get('items', {}).get('format', ''))
    if item_format:
        return f'list; each {item_format.allowed}'
    limits = [
        f'{sign} {field[name]}'
        for name, sign in _LIMIT_LABELS.items()
        if name in field
    ]
    return ' '.join([field['type'], *limits])


_NESTED_PATHS: Final[Mapping[str, Callable[[str], str]]] = {
    'additionalProperties': lambda path: f'{path}NAME.',
    'items': lambda path: f'{path[:-1]}[].',
}
_LIMIT_LABELS: Final = {
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
    """Write all generated pages to the documentation directory."""
    for name, render in PAGES.items():
        (DOCS / name).write_text(render())


if __name__ == '__main__':
    main()
