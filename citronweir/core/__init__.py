"""Decisions and core types; imports no codec, socket, HTTP or loop."""

from citronweir.core._admission import Admission
from citronweir.core._admission import admit
from citronweir.core._admission import check_contract
from citronweir.core._admission import Estimate
from citronweir.core._admission import release
from citronweir.core._budget import Budgets
from citronweir.core._budget import expected_service
from citronweir.core._budget import hedge_delay
from citronweir.core._budget import is_overloaded
from citronweir.core._budget import make_budgets
from citronweir.core._budget import note_latency
from citronweir.core._budget import note_shed
from citronweir.core._budget import note_sub_requests
from citronweir.core._budget import take_hedge
from citronweir.core._budget import take_move
from citronweir.core._budget import take_retry
from citronweir.core._coverage import accept_answer
from citronweir.core._coverage import build_outcome
from citronweir.core._coverage import choose_outcome
from citronweir.core._coverage import is_whole
from citronweir.core._coverage import Merge
from citronweir.core._data import *
from citronweir.core._tiling import choose_plan
from citronweir.core._tiling import plan_share
from citronweir.core._tiling import tile
