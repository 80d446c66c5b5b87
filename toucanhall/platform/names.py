"""Names of paths, headers and kinds of objects on the platform."""

from typing import Final

SETTINGS_VARIABLE: Final = 'TOUCANHALL_BOOT'

READINESS_PATH: Final = '/toucanhall/ready'
DIRECTORY_PATH: Final = '/toucanhall/resolve'
OBJECTS_PATH: Final = '/toucanhall/objects/'

CONFIGURATIONS: Final = 'config'
CONFIGURATION_NAME: Final = 'main'
TARGETS: Final = 'servers'
EVACUATIONS: Final = 'evacuations'
VMS: Final = 'vms'

REQUEST_ID: Final = b'x-toucanhall-request-id'
DEADLINE: Final = b'x-toucanhall-request-deadline'  # remaining milliseconds
EXPECTED_TARGET: Final = b'x-toucanhall-expect-instance'
TEAM: Final = b'x-toucanhall-tenant-id'
NOT_EXECUTED: Final = b'x-toucanhall-not-executed'
LOAD: Final = (
    b'x-toucanhall-backend-load'  # running and waiting requests, slots
)
STAMP: Final = b'x-toucanhall-response-stamp'
OBJECT_COOKIE: Final = 'X-Toucanhall-Affinity-Key'
