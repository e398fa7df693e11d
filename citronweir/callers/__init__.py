"""HTTP API for callers: its server and a client."""

from citronweir.callers._client import CallerError
from citronweir.callers._client import post_order
from citronweir.callers._client import post_search
from citronweir.callers._codec import decode_search
from citronweir.callers._codec import encode_outcome
from citronweir.callers._codec import MAX_BUDGET
from citronweir.callers._server import Handlers
from citronweir.callers._server import start_server
from citronweir.callers._server import stop_server
