"""Steps about settings files."""

import io
import os
import tempfile
from contextlib import redirect_stderr
from pathlib import Path

from behave import given, then, when

from tests.builders import make_settings_text
from toucanhall import cmdline


@given('a settings file that is valid')
def write_valid(context):
    context.settings_text = make_settings_text()


@given('a settings file with the port 0 and an unknown field "{name}"')
def write_invalid(context, name):
    context.settings_text = make_settings_text(caller_port=0, **{name: 'x'})


@when('the operator checks the settings')
def check_settings(context):
    os.environ['SECRET'] = 'fleet'
    output = io.StringIO()
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / 'vm.jsonc'
        path.write_text(context.settings_text)
        with redirect_stderr(output):
            context.code = cmdline.run(['check-settings', str(path)])
    context.output = output.getvalue()


@then('the exit code is {code:d}')
def assert_code(context, code):
    assert context.code == code, context.output


@then('the output names "{text}"')
def assert_output(context, text):
    assert text in context.output, context.output
