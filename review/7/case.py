"""A replica runs an order and fails with a 503 of its own."""

import asyncio
import collections
import time

from review import standins_2 as standins

NODES = 3
COPIES = 3
ORDERS = 60
FAILING_SHARE = 0.4  # of the requests; the largest dose of srv_grey is 0.6
FAILURE_STATUS = 503
PROMISES = (408, 421, 429, 503)
CLIENT_RETRIES = 1


async def run(has_trouble, record):
    """Runs the case and returns its exit status."""
    runs, counts = [], collections.Counter()

    async def answer(replica, line, headers, body):
        request_id = headers['x-request-id']
        await asyncio.sleep(0.02)
        order = body.decode()
        runs.append((order, request_id, replica.replica_id))
        standins.note(fleet, f'{replica.replica_id} ran {request_id}: {order}')
        headers = standins.signed(replica, request_id)
        counts[replica.replica_id] += 1
        # Every second replica fails two of five requests; its health is good.
        is_grey = int(replica.replica_id[2:], 16) % 2 == 0
        turn = counts[replica.replica_id] % 5
        if has_trouble and is_grey and turn < 5 * FAILING_SHARE:
            return standins.render(FAILURE_STATUS, headers, b'failed')
        return standins.render(200, headers, b'done')

    async with standins.run_fleet() as fleet:
        zones = list(standins.ZONES)
        for copy in range(COPIES):
            await standins.add_replica(
                fleet, 'span-viewer', zones[copy % len(zones)], answer
            )
        route = standins.make_route(
            kind='non_idempotent', backend='span-viewer', max_attempts=2
        )
        standins.put_config(fleet, 7, [route])
        for number in range(NODES):
            await standins.add_node(
                fleet,
                f'front-{number + 1}',
                zones[number % len(zones)],
                standins.BOUNDS,
            )
        await standins.wait_until_ready(fleet)
        await asyncio.sleep(3.0)
        return await _send_orders(fleet, runs, record)


async def _send_orders(fleet, runs, record):
    """Sends orders; a client repeats only what is said not to have run."""
    nodes, answers = list(fleet.nodes), {}
    for number in range(ORDERS):
        deadline = time.monotonic() + 1.5
        for attempt in range(1 + CLIENT_RETRIES):
            request_id = f'order-{number}-{attempt}'
            status, headers, _ = await standins.send(
                fleet,
                nodes[(number + attempt) % len(nodes)],
                '/a/order',
                request_id,
                'POST',
                body=f'replace dropper {number}'.encode(),
            )
            answers[request_id] = status
            executed = any(item[1] == request_id for item in runs)
            standins.note(
                fleet,
                f'{request_id}: {status}, Retry-After '
                f'{headers.get("Retry-After")}; ran: {executed}',
            )
            if status not in PROMISES or time.monotonic() > deadline:
                break
            await asyncio.sleep(0.1)
    ran_ids = {request_id for _, request_id, _ in runs}
    false_promises = [
        request_id
        for request_id, status in answers.items()
        if status in PROMISES and request_id in ran_ids
    ]
    orders = [order for order, _, _ in runs]
    doubled = {order for order in orders if orders.count(order) > 1}
    is_broken = bool(false_promises)
    summary = [
        f'orders: {ORDERS}; attempts of the client: {len(answers)}; '
        'answers: ' + standins.count_statuses(answers.values()),
        f'attempts answered with a promise that ran: {len(false_promises)}',
        f'orders that ran twice, as their client repeated them: '
        f'{len(doubled)}',
        'REFUSED is broken' if is_broken else 'REFUSED held',
    ]
    standins.write_record(fleet, record, summary)
    print('\n'.join(summary))
    return standins.BROKEN if is_broken else standins.HELD


if __name__ == '__main__':
    standins.run_case(run, __file__)
