"""Tracks which VMs are alive, by heartbeats and the platform's VM list."""

from toucanhall.membership.actor import Membership, Platform
from toucanhall.membership.messages import Heartbeat
from toucanhall.membership.view import Health, Member, View, hear, merge_list

__all__ = (
    'Health',
    'Heartbeat',
    'Member',
    'Membership',
    'Platform',
    'View',
    'hear',
    'merge_list',
)
