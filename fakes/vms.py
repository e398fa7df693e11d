"""Fake VM list that implements Prometheus HTTP service discovery."""

import dataclasses
import time

from aiohttp import web
import cyclopts

LABEL_PREFIX = '__meta_citronweir_'


@dataclasses.dataclass(slots=True)
class VmList:
    """State of the VM list.

    Attributes:
        lag: Seconds after which a change becomes visible.
        entries: Visible entries by the name of the VM.
        pending_changes: Monotonic time in seconds, name and entry (None
            for a removal) of each change that is not visible yet.
    """

    lag: float = 0.0
    entries: dict[str, dict] = dataclasses.field(default_factory=dict)
    pending_changes: list[tuple[float, str, dict | None]] = dataclasses.field(
        default_factory=list
    )


def make_app(vms: VmList) -> web.Application:
    """Builds the HTTP application of the fake."""

    async def show(http_req):
        _apply_due_changes(vms)
        return web.json_response(list(vms.entries.values()))

    async def register(http_req):
        fields = await http_req.json()
        labels = {
            LABEL_PREFIX + name: fields[name]
            for name in ('name', 'role', 'state', 'dc')
        }
        entry = {'targets': [fields['target']], 'labels': labels}
        vms.pending_changes.append((time.monotonic(), fields['name'], entry))
        return web.json_response({})

    async def remove(http_req):
        name = (await http_req.json())['name']
        vms.pending_changes.append((time.monotonic(), name, None))
        return web.json_response({})

    async def set_faults(http_req):
        _apply_due_changes(vms)
        vms.lag = float((await http_req.json())['lag'])
        return web.json_response({})

    app = web.Application()
    app.router.add_get('/vms', show)
    app.router.add_post('/register', register)
    app.router.add_post('/remove', remove)
    app.router.add_post('/faults', set_faults)
    return app


def _apply_due_changes(vms):
    visible_until = time.monotonic() - vms.lag
    while vms.pending_changes and vms.pending_changes[0][0] <= visible_until:
        _, name, entry = vms.pending_changes.pop(0)
        vms.entries.pop(name, None)
        if entry is not None:
            vms.entries[name] = entry


def main(
    *, host: str = '127.0.0.1', port: int = 2380, lag: float = 0.0
) -> None:
    """Runs the fake VM list.

    Args:
        host: Address to listen on.
        port: Port to listen on.
        lag: Seconds after which a change becomes visible.
    """
    web.run_app(make_app(VmList(lag)), host=host, port=port, print=None)


if __name__ == '__main__':
    cyclopts.run(main)
