"""HTTP listeners and their limits, for callers, operators and metrics."""

from citronweir.listeners._guard import begin_request
from citronweir.listeners._guard import end_request
from citronweir.listeners._guard import Guard
from citronweir.listeners._guard import Guards
from citronweir.listeners._guard import hold_body
from citronweir.listeners._guard import Limits
from citronweir.listeners._guard import mark_body_read
from citronweir.listeners._guard import READ_BYTES
from citronweir.listeners._http import BACKLOG
from citronweir.listeners._http import LINGER_TIME
from citronweir.listeners._http import Listener
from citronweir.listeners._http import MAX_HEAD_BYTES
from citronweir.listeners._http import start_listener
from citronweir.listeners._http import stop_listener
from citronweir.listeners._text import start_text_server
