"""The operators' API."""

from toucanhall.admin.service import Admin

__all__ = ('Admin',)
