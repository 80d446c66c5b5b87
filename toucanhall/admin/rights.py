"""Checks whether an operator's role allows a change."""

from collections.abc import Callable, Mapping
from typing import Any, Final

from toucanhall.catalogue.differences import Difference, describe
from toucanhall.settings import Operator

__all__ = ('find_violations',)

_OPERATOR_SECTIONS: Final = frozenset(('keys', 'drains'))
_LIMITS: Final = ('rate', 'burst', 'weight')
_DEFAULT_WEIGHT: Final = 1  # of a team without a weight


def find_violations(
    operator: Operator,
    differences: tuple[Difference, ...],
) -> tuple[str, ...]:
    """Describe the differences that the operator's role does not allow."""
    is_allowed = _ROLE_RULES[operator.role]
    return tuple(
        describe(difference)
        for difference in differences
        if not is_allowed(operator, difference)
    )


def _allow_none(_operator: Operator, _difference: Difference) -> bool:
    return False


def _allow_all(_operator: Operator, _difference: Difference) -> bool:
    return True


def _allow_operated(_operator: Operator, difference: Difference) -> bool:
    return difference.section in _OPERATOR_SECTIONS


def _allow_owned(operator: Operator, difference: Difference) -> bool:
    is_allowed = _OWNER_RULES.get(difference.section)
    return is_allowed is not None and is_allowed(operator, difference)


def _owns_key(operator: Operator, difference: Difference) -> bool:
    return all(key['team'] in operator.teams for key in _list_sides(difference))


def _owns_route(operator: Operator, difference: Difference) -> bool:
    owners = {route['owner'] for route in _list_sides(difference)}
    return difference.name in operator.routes and len(owners) == 1


def _lowers_team_limits(operator: Operator, difference: Difference) -> bool:
    before, after = difference.before, difference.after
    if before is None or after is None:
        return False
    if difference.name not in operator.teams:
        return False
    if _drop_limits(before) != _drop_limits(after):
        return False
    return all(
        _read_limit(after, name) <= _read_limit(before, name)
        for name in _LIMITS
    )


def _drop_limits(team: Mapping[str, Any]) -> Mapping[str, Any]:
    return {name: team[name] for name in team if name not in _LIMITS}


def _read_limit(team: Mapping[str, Any], name: str) -> float:
    limit: float = team.get(name, _DEFAULT_WEIGHT)
    return limit


def _list_sides(difference: Difference) -> tuple[Any, ...]:
    sides = (difference.before, difference.after)
    return tuple(side for side in sides if side is not None)


_ROLE_RULES: Final[Mapping[str, Callable[[Operator, Difference], bool]]] = {
    'read': _allow_none,
    'owner': _allow_owned,
    'operate': _allow_operated,
    'administer': _allow_all,
}
_OWNER_RULES: Final[Mapping[str, Callable[[Operator, Difference], bool]]] = {
    'keys': _owns_key,
    'routes': _owns_route,
    'teams': _lowers_team_limits,
}
