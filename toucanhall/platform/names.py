"""Paths, headers and kinds of objects as the platform spells them."""

from typing import Final

SETTINGS_VARIABLE: Final = 'TOUCANHALL_BOOT'

READINESS_PATH: Final = '/toucanhall/ready'
DIRECTORY_PATH: Final = '/toucanhall/resolve'
OBJECTS_PATH: Final = '/toucanhall/objects/'

CONFIGURATION_KIND: Final = 'config'
CONFIGURATION_NAME: Final = 'main'
TARGET_KIND: Final = 'servers'
EVACUATION_KIND: Final = 'evacuations'
VM_KIND: Final = 'vms'

REQUEST_ID_HEADER: Final = b'x-toucanhall-request-id'
DEADLINE_HEADER: Final = b'x-toucanhall-request-deadline'  # milliseconds left
EXPECTED_TARGET_HEADER: Final = b'x-toucanhall-expect-instance'
TEAM_HEADER: Final = b'x-toucanhall-tenant-id'
NOT_EXECUTED_HEADER: Final = b'x-toucanhall-not-executed'
LOAD_HEADER: Final = b'x-toucanhall-backend-load'  # running, waiting, slots
STAMP_HEADER: Final = b'x-toucanhall-response-stamp'
OBJECT_COOKIE: Final = 'X-Toucanhall-Affinity-Key'
