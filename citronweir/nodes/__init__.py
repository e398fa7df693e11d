"""Messages and requests between nodes over long-lived TCP streams."""

from citronweir.nodes._calls import call_group
from citronweir.nodes._calls import call_sub
from citronweir.nodes._calls import fetch_config
from citronweir.nodes._calls import send_config
from citronweir.nodes._calls import send_departures
from citronweir.nodes._calls import send_gossip
from citronweir.nodes._calls import send_limited
from citronweir.nodes._calls import send_reports
from citronweir.nodes._calls import send_suspect
from citronweir.nodes._calls import spend
from citronweir.nodes._links import close_links
from citronweir.nodes._links import count_open
from citronweir.nodes._links import has_received
from citronweir.nodes._links import is_open
from citronweir.nodes._links import keep_open
from citronweir.nodes._links import Links
from citronweir.nodes._links import open_links
from citronweir.nodes._links import ping_node
from citronweir.nodes._links import reset_backoff
from citronweir.nodes._server import close_server
from citronweir.nodes._server import get_port
from citronweir.nodes._server import Handlers
from citronweir.nodes._server import Limits
from citronweir.nodes._server import Server
from citronweir.nodes._server import start_server
from citronweir.nodes._streams import Identity
