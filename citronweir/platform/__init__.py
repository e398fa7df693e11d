"""Adapters for the users' platform: settings, store, callers and replicas.

This package translates between the platform's protocols and the core types;
no other package depends on the platform's names.
"""

from citronweir.platform._boot import BootSettings
from citronweir.platform._boot import BootSettingsError
from citronweir.platform._boot import METRICS_PORT
from citronweir.platform._boot import read_boot
from citronweir.platform._catalogue import decode_record
from citronweir.platform._catalogue import encode_conviction
from citronweir.platform._deploy import check_deploy
from citronweir.platform._deploy import DeployError
from citronweir.platform._ingress import close_ingress
from citronweir.platform._ingress import Ingress
from citronweir.platform._ingress import RequestHandler
from citronweir.platform._ingress import start_ingress
from citronweir.platform._keys import read_credential
from citronweir.platform._readiness import start_readiness
from citronweir.platform._replicas import decode_notice
from citronweir.platform._replicas import decode_reply
from citronweir.platform._replicas import make_encoder
from citronweir.platform._replicas import make_reply_matcher
from citronweir.platform._store import Changes
from citronweir.platform._store import config_copy_key
from citronweir.platform._store import conviction_key
from citronweir.platform._store import end_lease
from citronweir.platform._store import grant_lease
from citronweir.platform._store import KeyValue
from citronweir.platform._store import Lease
from citronweir.platform._store import Listing
from citronweir.platform._store import make_store_session
from citronweir.platform._store import read_all
from citronweir.platform._store import renew_lease
from citronweir.platform._store import StoreCallError
from citronweir.platform._store import StoreFault
from citronweir.platform._store import wait_changes
from citronweir.platform._store import write_config_copy
from citronweir.platform._store import write_conviction
from citronweir.platform._store import write_node
