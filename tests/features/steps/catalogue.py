"""Steps about changes of the catalogue."""

from behave import given, then, when

from tests.admin_api import AdminApi


@given('a fleet whose catalogue has revision 1')
def make_fleet(context):
    context.api = AdminApi()
    context.holds = 0
    assert context.api.apply()[0] == 200


@when('"{role}" replaces revision {revision:d}')
def replace(context, role, revision):
    context.holds += 1
    context.reply = context.api.apply(
        revision, role, hold_seconds=context.holds,
    )  # fmt: skip


@when('"{role}" withdraws the key "{name}"')
def withdraw(context, role, name):
    context.reply = context.api.call(
        'DELETE', f'keys/{name}', token=role,
    )  # fmt: skip


@when('"{role}" drains the target "{name}"')
def drain(context, role, name):
    context.reply = context.api.call(
        'PUT', f'drains/targets/{name}', token=role,
    )  # fmt: skip


@then('the status is {status:d}')
def assert_status(context, status):
    assert context.reply[0] == status, context.reply


@then('the answer names revision {revision:d} as the current one')
def assert_current(context, revision):
    assert context.reply[1]['current'] == revision


@then('no key is left')
def assert_no_key(context):
    assert context.api.call('GET', 'keys')[1]['keys'] == {}
