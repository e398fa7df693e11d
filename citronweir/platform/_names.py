"""Names of the platform's messages, as its pages spell them."""

SETTINGS_VARIABLE = 'CITRONWEIR_BOOT'

READY_PATH = '/citronweir/ready'
RANGE_PATH = '/citronweir/kv-range'
WATCH_PATH = '/citronweir/kv-watch'
WRITE_PATH = '/citronweir/kv-txn'
GRANT_PATH = '/citronweir/kv-lease'
RENEW_PATH = '/citronweir/kv-keep'
END_PATH = '/citronweir/kv-lease-end'

CONFIG_KEY = 'op/config'
REPLICAS_PREFIX = 'servers/'
# Keys of the nodes of this system; the prefixes above are not ours.
NODES_PREFIX = 'citronweir/nodes/'

REQUEST_ID = 'X-Request-Id'
DEADLINE = 'X-Deadline-Ms'
SIGNATURE = 'X-Server-Stamp'
EXPECTED_REPLICA = 'X-Expect-Instance'
LOAD = 'X-Server-Load'
NOT_RUN = 'X-Not-Executed'
SIGNATURES = 'X-Part-Stamps'
MISSING_SHARDS = 'X-Parts-Missing'
RETRY_AFTER = 'Retry-After'
