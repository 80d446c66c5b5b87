"""Reads the settings file of a process."""

from collections.abc import Mapping
from pathlib import Path
from typing import Any, Final

import yaml

from toucanhall.fleet.model import Address, Bounds, Environment, Listeners
from toucanhall.platform.units import read_seconds

__all__ = ('SettingsError', 'load_settings')

# Clients may keep a directory answer for three times its life: with this one
# they have left a VM that stops before the usual grace of six seconds ends.
_DIRECTORY_TTL: Final = 2.0  # seconds
_DEFAULT_GRACE: Final = '6s'
# What a request takes of a VM: processor seconds (docs/OPERATIONS.md) and the
# bytes of the larger direction of its link.
_REQUEST_CORE_SECONDS: Final = 0.001
_REQUEST_BYTES: Final = 4000
_BYTES_PER_MEGABIT: Final = 125_000
_BYTES_PER_MEGABYTE: Final = 1_000_000
_DEFAULT_DESCRIPTORS: Final = 1535  # of the smallest VM, as the next line
_DEFAULT_MEGABYTES: Final = 152  # of the smallest VM of today's deployments


class SettingsError(ValueError):
    """The settings file lacks something or holds what cannot be read."""


def load_settings(path: Path) -> Environment:
    """Read the settings at a path; raise BadSettings when they are wrong."""
    try:
        return _decode(yaml.load(path.read_bytes(), Loader=_Loader))
    except KeyError as error:
        raise SettingsError(f'{path}: no field {error}') from error
    except _WRONG as error:
        raise SettingsError(f'{path}: {error}') from error


_WRONG: Final = (
    OSError,
    yaml.YAMLError,
    TypeError,
    ValueError,
    AttributeError,
    IndexError,
)
_Loader: Final = getattr(yaml, 'CSafeLoader', yaml.SafeLoader)


def _decode(document: Mapping[str, Any]) -> Environment:
    listen = document['listen']
    limits = document.get('limits') or {}
    return Environment(
        vm=document['node_name'],
        zone=document['zone'],
        region=document['region'],
        regions=dict(document['zones']),
        ip=document['ip'],
        listeners=Listeners(
            requests=_read_listener(listen, 'front'),
            readiness=_read_listener(listen, 'ready'),
            directory=_read_listener(listen, 'directory'),
            control=_read_listener(listen, 'control'),
        ),
        gossip_port=int(document['internal_port_range'][0]),
        seeds=tuple(read_address(seed) for seed in document.get('seeds') or ()),
        store=read_address(document['platform']['address']),
        bounds=_decode_bounds(
            document['bounds'],
            read_seconds(document.get('heartbeat', '1500ms')),
        ),
        capacity=_read_capacity(limits),
        memory=_read_memory(limits),
        max_descriptors=int(limits.get('max_fds') or _DEFAULT_DESCRIPTORS),
    )


def _read_capacity(limits: Mapping[str, Any]) -> float:
    cores = float(limits.get('cpu_share', 1)) * float(
        limits.get('cpu_cores', 1),
    )
    link = float(limits.get('link_mbps', 1000)) * _BYTES_PER_MEGABIT
    return round(
        min(cores / _REQUEST_CORE_SECONDS, link / _REQUEST_BYTES),
        1,
    )


def _read_memory(limits: Mapping[str, Any]) -> int:
    megabytes = float(limits.get('memory_mb') or _DEFAULT_MEGABYTES)
    return int(megabytes * _BYTES_PER_MEGABYTE)


def _decode_bounds(
    bounds: Mapping[str, Any],
    target_heartbeat: float,
) -> Bounds:
    return Bounds(
        shutdown_grace_seconds=read_seconds(
            bounds.get('grace', _DEFAULT_GRACE)
        ),
        directory_ttl_seconds=min(
            _DIRECTORY_TTL,
            read_seconds(bounds.get('ttl_max', '5s')),
        ),
        retry_ratio=float(bounds.get('retry_budget_ratio', 0.2)),
        retry_window_seconds=read_seconds(bounds.get('budget_window', '10s')),
        retry_slack=float(bounds.get('budget_slack', 0)),
        quota_window_seconds=read_seconds(bounds.get('quota_window', '5s')),
        quota_overage=float(bounds.get('quota_overage', 0)),
        quota_slack=float(bounds.get('quota_slack', 0)),
        target_heartbeat_seconds=target_heartbeat,
    )


def _read_listener(listen: Mapping[str, str], name: str) -> Address | None:
    return read_address(listen[name]) if listen.get(name) else None


def read_address(text: str) -> Address:
    """Read `host:port`; raise ValueError when it is something else."""
    host, _, port = text.rpartition(':')
    if not host:
        raise ValueError(f'{text!r} is not host:port')
    return Address(host, int(port))
