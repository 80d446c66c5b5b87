"""Runs requests with an idempotency key at most once."""

from toucanhall.idempotency.attempt import Verdict, may_send
from toucanhall.idempotency.claims import (
    Claim,
    Found,
    Outcome,
    Standing,
    judge,
    name_claim,
)
from toucanhall.idempotency.keeper import Begun, Keeper

__all__ = (
    'Begun',
    'Claim',
    'Found',
    'Keeper',
    'Outcome',
    'Standing',
    'Verdict',
    'judge',
    'may_send',
    'name_claim',
)
