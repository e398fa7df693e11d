"""Coroutines that serve requests and maintain the state of a node.

They perform no network I/O themselves: each is given the functions that
it calls, so that tests can replace them.
"""

from citronweir.service._attempts import RequestDependencies
from citronweir.service._attempts import RequestReport
from citronweir.service._catalogue import apply_records
from citronweir.service._catalogue import Catalogue
from citronweir.service._changes import run_change
from citronweir.service._config import answer_sync
from citronweir.service._config import AskPeer
from citronweir.service._config import compact_config
from citronweir.service._config import config_age
from citronweir.service._config import ConfigDependencies
from citronweir.service._config import Configuration
from citronweir.service._config import load_config
from citronweir.service._config import receive_announced
from citronweir.service._config import receive_records
from citronweir.service._config import RecordSource
from citronweir.service._config import run_watch
from citronweir.service._config import sync_config
from citronweir.service._dispatch import dispatch_sub
from citronweir.service._dispatch import DispatchDependencies
from citronweir.service._dispatch import Route
from citronweir.service._loops import run_periodically
from citronweir.service._membership import broadcast_leave
from citronweir.service._membership import find_owner
from citronweir.service._membership import handle_gossip
from citronweir.service._membership import is_watcher
from citronweir.service._membership import MembershipDependencies
from citronweir.service._membership import run_membership
from citronweir.service._membership import spread_replica
from citronweir.service._orders import OrderDependencies
from citronweir.service._orders import run_order
from citronweir.service._owner import drop_replica
from citronweir.service._owner import Owner
from citronweir.service._owner import OwnerDependencies
from citronweir.service._owner import submit
from citronweir.service._probes import check_crash
from citronweir.service._probes import probe_owned
from citronweir.service._probes import ProbeDependencies
from citronweir.service._probes import Probes
from citronweir.service._registration import Registration
from citronweir.service._registration import RegistryDependencies
from citronweir.service._registration import run_registration
from citronweir.service._requests import end_requests
from citronweir.service._requests import run_group
from citronweir.service._requests import run_request
from citronweir.service._search import run_search
from citronweir.service._search_dependencies import SearchDependencies
from citronweir.service._stop import count_work
from citronweir.service._stop import is_stopping
from citronweir.service._stop import make_stop_state
from citronweir.service._stop import stop_node
from citronweir.service._stop import StopDependencies
from citronweir.service._stop import StopPhase
from citronweir.service._stop import StopState
from citronweir.service._stop import WorkKind
