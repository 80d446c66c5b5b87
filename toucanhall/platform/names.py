"""Names of paths, headers and kinds of objects on the platform."""

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
# Requests that are suspected to crash targets, by their fingerprints.
SUSPECT_KIND: Final = 'suspects'

# Rises when the store comes back from a copy.
ERA_HEADER: Final = b'store-era'

REQUEST_ID_HEADER: Final = b'x-toucanhall-request-id'
DEADLINE_HEADER: Final = (
    b'x-toucanhall-request-deadline'  # remaining milliseconds
)
EXPECTED_TARGET_HEADER: Final = b'x-toucanhall-expect-instance'
TEAM_HEADER: Final = b'x-toucanhall-tenant-id'
# Of requests that one VM passes to another: the attempts that are left.
RELAY_HEADER: Final = b'x-toucanhall-relay-attempts'
# Of a VM that asks for tables: the form of records that it reads.
RECORD_FORM_HEADER: Final = b'x-toucanhall-record-form'
NOT_EXECUTED_HEADER: Final = b'x-toucanhall-not-executed'
# Running and waiting requests, slots; some targets add how long work takes on
# their machine, in percent of the usual time.
LOAD_HEADER: Final = b'x-toucanhall-backend-load'
# Requests per second from all VMs together. The pages name it without the
# prefix of the other headers, and no log has shown its spelling yet.
LIMIT_HEADERS: Final = frozenset(
    (
        b'server-limit',
        b'x-toucanhall-server-limit',
        b'x-toucanhall-backend-limit',
    )
)
# 1 in all answers of a target that leaves; its spelling was not seen either.
LEAVING_HEADERS: Final = frozenset(
    (
        b'server-leaving',
        b'x-toucanhall-server-leaving',
        b'x-toucanhall-backend-leaving',
    )
)
# The id of the target that answers.
INSTANCE_HEADER: Final = b'x-toucanhall-instance-id'
STAMP_HEADER: Final = b'x-toucanhall-response-stamp'
OBJECT_COOKIE: Final = 'X-Toucanhall-Affinity-Key'
