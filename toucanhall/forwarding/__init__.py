"""The request path: admits, forwards and answers callers' requests."""

from toucanhall.forwarding.jobs import Parts
from toucanhall.forwarding.pipeline import serve
from toucanhall.forwarding.problems import Refusal, make_refusal, render
from toucanhall.forwarding.records import Answer, Request

__all__ = (
    'Answer',
    'Parts',
    'Refusal',
    'Request',
    'make_refusal',
    'render',
    'serve',
)
