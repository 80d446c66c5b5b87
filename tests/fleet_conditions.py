"""Conditions of a running fleet that process tests wait for."""

import json


def has_all_peers_alive(fleet, vm):
    """Return whether an entry VM takes every other one for alive."""
    done = fleet.run_command('status', '--json', f'--at={vm.url}')
    if done.returncode:
        return False
    members = json.loads(done.stdout)['members']
    alive = {
        member['vm'] for member in members if member['health'] == 'alive'
    }  # fmt: skip
    return alive >= {other.name for other in fleet.vms} - {vm.name}


def has_usable_slots(fleet, vm):
    """Return whether an entry VM may use slots of its zone."""
    done = fleet.run_command('status', '--json', f'--at={vm.url}')
    if done.returncode:
        return False
    return json.loads(done.stdout)['share_slots']['usable'] > 0
