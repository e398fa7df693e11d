"""Clients for upstreams: requests to replicas and status probes."""

from citronweir.upstreams._channels import abandon
from citronweir.upstreams._channels import cancel_waiting
from citronweir.upstreams._channels import Channels
from citronweir.upstreams._channels import close_all
from citronweir.upstreams._channels import close_unlisted
from citronweir.upstreams._channels import count_conns
from citronweir.upstreams._channels import Exchange
from citronweir.upstreams._channels import reject_queued
from citronweir.upstreams._channels import submit
from citronweir.upstreams._channels import warm
from citronweir.upstreams._client import fetch_status
from citronweir.upstreams._client import send_order
from citronweir.upstreams._client import send_search
from citronweir.upstreams._client import StatusError
from citronweir.upstreams._exchange import RawReply
from citronweir.upstreams._pool import conn_limit
from citronweir.upstreams._pool import drop_replica
from citronweir.upstreams._pool import open_pools
from citronweir.upstreams._pool import Pools
