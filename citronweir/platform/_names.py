"""Names in the platform's protocols, spelled as in its documentation."""

SETTINGS_VARIABLE = 'CITRONWEIR_BOOT'

READY_PATH = '/citronweir/ready'
RANGE_PATH = '/citronweir/kv-range'
WATCH_PATH = '/citronweir/kv-watch'
WRITE_PATH = '/citronweir/kv-txn'
GRANT_PATH = '/citronweir/kv-lease'
RENEW_PATH = '/citronweir/kv-keep'
END_PATH = '/citronweir/kv-lease-end'

CONFIG_KEY = 'op/config'
EVACUATIONS_PREFIX = 'op/evacuate/'
REPLICAS_PREFIX = 'servers/'
# Written by the nodes of this system; other systems write the keys above.
CONFIG_COPY_KEY = 'citronweir/config'
NODES_PREFIX = 'citronweir/nodes/'
CONVICTIONS_PREFIX = 'citronweir/convictions/'

REQUEST_ID = 'X-Request-Id'
DEADLINE = 'X-Deadline-Ms'
SIGNATURE = 'X-Server-Stamp'
EXPECTED_REPLICA = 'X-Expect-Instance'
LOAD = 'X-Server-Load'
NOT_RUN = 'X-Not-Executed'
SIGNATURES = 'X-Part-Stamps'
MISSING_SHARDS = 'X-Parts-Missing'
RETRY_AFTER = 'Retry-After'
LEAVING = 'Server-Leaving'
AUTHORIZATION = 'Authorization'
TENANT = 'X-Tenant'
STORE_ERA = 'Store-Era'
