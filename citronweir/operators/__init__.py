"""Server and client of the operators' remote procedure calls."""

from citronweir.operators import operators_pb2 as messages
from citronweir.operators._client import call
from citronweir.operators._errors import Code
from citronweir.operators._errors import RpcError
from citronweir.operators._server import Handlers
from citronweir.operators._server import make_app
