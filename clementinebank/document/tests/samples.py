"""Example documents, changes and head records for tests."""

import uuid

from clementinebank.document import Change, HeadRecord, merge_change

FLEET = """\
# Owned by the platform team.
owner: platform-team
max_instances: 2
data_centres:
  north-a:
    region: north
"""
DESK = """\
owner: desk-team
kind: search
slots: 2  # measured in May
connections: 20
groups:
  group-0:
    yard: arima
    leafs:
      desk-0-a:
        address: 127.0.0.1:10001
        data_centre: north-a
"""
ORDERS = """\
owner: orders-team
kind: booking
slots: 4
connections: 40
leafs:
  orders-0:
    address: 127.0.0.1:10002
    data_centre: north-a
"""
TEXTS = {'fleet': FLEET, 'service.desk': DESK, 'service.orders': ORDERS}


def change_id(number):
    """Return a UUID made from a number."""
    return str(uuid.UUID(int=number))


def desk(slots):
    """Return the text of the desk section with a number of slots."""
    return DESK.replace('slots: 2', f'slots: {slots}')


def orders(slots):
    """Return the text of the orders section with a number of slots."""
    return ORDERS.replace('slots: 4', f'slots: {slots}')


def change(number, base, editor='ana', **texts):
    """Return a change with a text, or ``None``, for each section.

    The section ``service.desk`` is given as ``desk=...``, and so on.
    """
    texts_by_section = {
        name if name == 'fleet' else f'service.{name}': text
        for name, text in texts.items()
    }
    return Change(change_id(number), base, editor, texts_by_section)


def first_head():
    """Return the head record that holds ``TEXTS`` at revision 1."""
    first = Change(change_id(1), 0, 'setup', TEXTS)
    return merge_change(HeadRecord(), first, 100).unwrap()


def next_head(head, number, editor='ana', time=None, **texts):
    """Return the head record after a change whose base is ``head``."""
    new_change = change(number, head.revision, editor, **texts)
    return merge_change(head, new_change, time or 100 * number).unwrap()
